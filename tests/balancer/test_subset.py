"""Tests of the subset of servers that a sidecar sends to, of its size, and of the groups on the ring."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from brassfall.balancer.events import EndpointListReceived, SteeringChanged
from brassfall.balancer.model import EndpointEntry, ListForm, SendAttempt, SteeringDirectives
from brassfall.balancer.settings import KeyScope
from tests.support.helpers import attempt_answered, endpoint_entries, make_balancer, of_type, request_arrival

PRICED = {"Connection": 0.05}


def attempts_by_server(count: int, **changes) -> Counter[str]:
    """Return the attempts by server of `count` requests that arrive together and stay in flight."""
    balancer = make_balancer(servers=16, **changes)
    servers: Counter[str] = Counter()
    for number in range(count):
        actions = balancer.step(float(number), request_arrival(number, float(number)))
        servers.update(send.server for send in of_type(actions, SendAttempt))
    return servers


def test_a_sidecar_with_few_requests_uses_few_servers_if_connections_have_a_price():
    assert len(attempts_by_server(4, Prices=PRICED)) <= 4


@pytest.mark.parametrize("count", [16, 32, 64])
def test_a_busy_sidecar_overloads_no_server_if_connections_have_a_price(count):
    """A small subset would be overloaded if one sidecar has most of the traffic of a fleet."""
    servers = attempts_by_server(count, Prices=PRICED)
    assert len(servers) > 4
    assert max(servers.values()) <= 2 * max(4, count // 8)


def count_refused(balancer, first: int, count: int, elapsed: float) -> int:
    """Return how many of `count` requests are not sent; the others are answered after `elapsed` ms."""
    refused = 0
    for number in range(first, first + count):
        now = float(number)
        sends = of_type(balancer.step(now, request_arrival(number, now)), SendAttempt)
        refused += not sends
        if sends:
            balancer.step(now + 0.5, attempt_answered(number, elapsed))
    return refused


@pytest.mark.parametrize("seed", range(1, 9))
def test_after_slow_answers_from_all_servers_no_request_is_refused_while_they_are_idle(seed):
    """After a stall, the mean pace recovers sooner than the pace of each server, so all servers look slow."""
    balancer = make_balancer(servers=17, seed=seed)
    assert count_refused(balancer, 0, 500, 0.5) == 0
    assert count_refused(balancer, 500, 50, 60.0) == 0
    assert count_refused(balancer, 550, 2000, 0.5) == 0


def test_a_server_in_slow_start_that_was_declined_for_its_capacity_share_gets_no_request():
    """A warmed-up server that sampling declined may still get the request; one in slow start may not."""
    rules = {"ColdFrom": 0.02, "WarmUp": 20000.0, "FallMultiple": 1000.0, "OverloadFor": 2000.0}
    balancer = make_balancer(servers=0, now=1000.0, Rules=rules)
    balancer.step(1000.0, EndpointListReceived(ListForm.COMPLETE, endpoint_entries(1, started=1000.0)))
    sends = [balancer.step(1000.0 + n, request_arrival(n, 1000.0 + n)) for n in range(100)]
    assert sum(bool(of_type(actions, SendAttempt)) for actions in sends) < 50


@pytest.mark.parametrize("seed", range(20))
def test_the_members_of_a_group_are_its_servers_on_the_ring_or_else_its_excluded_servers(seed):
    """Groups are computed when they are first used, because computing them with each list takes too long."""
    rng = random.Random(seed)
    balancer = make_balancer(servers=0)
    servers = [
        EndpointEntry(
            f"s{n:02}", zone=rng.randrange(3), cell=rng.randrange(4), state=rng.choice(["active", "left"])
        )
        for n in range(rng.randrange(1, 30))
    ]
    balancer.step(0.0, EndpointListReceived(ListForm.COMPLETE, servers))
    excluded_zones = frozenset(rng.sample(range(3), rng.randrange(4)))
    excluded_names = frozenset(rng.sample([s.server for s in servers], min(len(servers), 3)))
    balancer.step(
        1.0,
        SteeringChanged(SteeringDirectives(excluded_zones=excluded_zones, excluded_servers=excluded_names)),
    )
    assert not balancer.components.endpoints.known_groups
    usable = [s for s in servers if s.state == "active"]
    allowed = [s for s in usable if s.zone not in excluded_zones and s.server not in excluded_names] or usable
    assert sorted(s.name for s in balancer.components.endpoints.ring) == sorted(s.server for s in allowed)
    for scope, numbers in ((KeyScope.ZONE, range(3)), (KeyScope.CELL, range(4))):
        for number in numbers:
            expected = [s for s in allowed if getattr(s, scope.value) == number]
            expected = expected or [s for s in usable if getattr(s, scope.value) == number]
            members = [server.name for server in balancer.components.endpoints.group_members((scope, number))]
            assert sorted(members) == sorted(s.server for s in expected)
            on_ring = [server.name for server in balancer.components.endpoints.ring if server.name in members]
            assert members == on_ring or not on_ring, "the members have to be in the order of the ring"
    balancer.step(2.0, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("s00", zone=7)]))
    assert not balancer.components.endpoints.known_groups and [
        s.name for s in balancer.components.endpoints.group_members((KeyScope.ZONE, 7))
    ] == ["s00"]
