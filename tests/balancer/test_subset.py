"""The subset of servers that a sidecar sends to, what widens it, and the groups on its ring."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from brassfall.balancer.events import EndpointListReceived, SteeringChanged
from brassfall.balancer.model import ListForm, EndpointEntry, SendAttempt, SteeringDirectives
from brassfall.balancer.settings import KeyScope
from tests.support.helpers import attempt_answered, request_arrival, make_balancer, endpoint_entries, of_type

PRICED = {"Connection": 0.05}


def sent(count: int, **changes) -> Counter[str]:
    """Return the sends by server of requests that arrive together and are all in flight at the end."""
    made = make_balancer(servers=16, **changes)
    servers: Counter[str] = Counter()
    for number in range(count):
        actions = made.step(float(number), request_arrival(number, float(number)))
        servers.update(send.server for send in of_type(actions, SendAttempt))
    return servers


def test_a_quiet_sidecar_uses_few_servers_where_connections_have_a_price():
    assert len(sent(4, Prices=PRICED)) <= 4


@pytest.mark.parametrize("count", [16, 32, 64])
def test_a_busy_sidecar_overloads_no_server_where_connections_have_a_price(count):
    """One sidecar may have most of the traffic of a fleet."""
    servers = sent(count, Prices=PRICED)
    assert len(servers) > 4
    assert max(servers.values()) <= 2 * max(4, count // 8)


def refused_of(made, first: int, count: int, elapsed: float) -> int:
    """Return how many of some requests get no server; the others are answered after `elapsed`."""
    refused = 0
    for number in range(first, first + count):
        now = float(number)
        sends = of_type(made.step(now, request_arrival(number, now)), SendAttempt)
        refused += not sends
        if sends:
            made.step(now + 0.5, attempt_answered(number, elapsed))
    return refused


@pytest.mark.parametrize("seed", range(1, 9))
def test_after_slow_answers_from_all_servers_no_request_is_refused_while_they_are_idle(seed):
    """The mean pace forgets a stall sooner than the pace of each server, so that all servers look slow."""
    made = make_balancer(servers=17, seed=seed)
    assert refused_of(made, 0, 500, 0.5) == 0
    assert refused_of(made, 500, 50, 60.0) == 0
    assert refused_of(made, 550, 2000, 0.5) == 0


def test_a_server_in_slow_start_that_was_passed_over_by_its_warmth_is_not_sent_to():
    """A warm server that was passed over may have the request; one in slow start may not."""
    rules = {"ColdFrom": 0.02, "WarmUp": 20000.0, "FallMultiple": 1000.0, "OverloadFor": 2000.0}
    made = make_balancer(servers=0, now=1000.0, Rules=rules)
    made.step(1000.0, EndpointListReceived(ListForm.COMPLETE, endpoint_entries(1, started=1000.0)))
    sends = [made.step(1000.0 + n, request_arrival(n, 1000.0 + n)) for n in range(100)]
    assert sum(bool(of_type(actions, SendAttempt)) for actions in sends) < 50


@pytest.mark.parametrize("seed", range(20))
def test_the_members_of_a_group_are_those_on_the_ring_or_else_the_excluded_ones(seed):
    """Groups are made when they are first asked for: with each list it would take too long."""
    rng = random.Random(seed)
    made = make_balancer(servers=0)
    servers = [
        EndpointEntry(
            f"s{n:02}", zone=rng.randrange(3), cell=rng.randrange(4), state=rng.choice(["active", "left"])
        )
        for n in range(rng.randrange(1, 30))
    ]
    made.step(0.0, EndpointListReceived(ListForm.COMPLETE, servers))
    zones = frozenset(rng.sample(range(3), rng.randrange(4)))
    names = frozenset(rng.sample([s.server for s in servers], min(len(servers), 3)))
    made.step(1.0, SteeringChanged(SteeringDirectives(excluded_zones=zones, excluded_servers=names)))
    assert not made.components.endpoints.known_groups
    usable = [s for s in servers if s.state == "active"]
    free = [s for s in usable if s.zone not in zones and s.server not in names] or usable
    assert sorted(s.name for s in made.components.endpoints.ring) == sorted(s.server for s in free)
    for scope, numbers in ((KeyScope.ZONE, range(3)), (KeyScope.CELL, range(4))):
        for number in numbers:
            wanted = [s for s in free if getattr(s, scope.value) == number]
            wanted = wanted or [s for s in usable if getattr(s, scope.value) == number]
            members = [server.name for server in made.components.endpoints.group_members((scope, number))]
            assert sorted(members) == sorted(s.server for s in wanted)
            on_ring = [server.name for server in made.components.endpoints.ring if server.name in members]
            assert members == on_ring or not on_ring, "the order is the ring's"
    made.step(2.0, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("s00", zone=7)]))
    assert not made.components.endpoints.known_groups and [
        s.name for s in made.components.endpoints.group_members((KeyScope.ZONE, 7))
    ] == ["s00"]
