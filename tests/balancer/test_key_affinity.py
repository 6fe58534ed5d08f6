"""Tests of key affinity: the servers that have a key cached get the requests with the key."""

from __future__ import annotations

from collections import Counter

from brassfall.balancer.events import EndpointListReceived, RequestArrived
from brassfall.balancer.model import EndpointEntry, ListForm, SendAttempt
from tests.support.helpers import attempt_answered, endpoint_entries, make_balancer, of_type


def warm_keys_balancer(servers=30, me=0, seed=1, **changes):
    """Return a balancer of the sidecar `me` that prefers the servers that have a key cached."""
    balancer = make_balancer(
        "safe", servers=0, seed=seed, Domain={"WarmKeys": True}, Me=me, Balancers=40, **changes
    )
    balancer.step(0.0, EndpointListReceived(ListForm.COMPLETE, endpoint_entries(servers)))
    return balancer


def sends_for(balancer, key, count=20, now=0.0, first=0):
    """Return the attempts by server of `count` requests with a key, each of which is answered at once."""
    sends = Counter()
    for number in range(first, first + count):
        now += 500.0
        (send,) = of_type(balancer.step(now, RequestArrived(number, 0, now + 1000.0, key=key)), SendAttempt)
        sends[send.server] += 1
        balancer.step(now + 20.0, attempt_answered(number, 20.0))
    return sends


def test_all_sidecars_send_a_key_to_the_same_few_servers():
    attempts = Counter()
    for me in range(20):
        attempts.update(sends_for(warm_keys_balancer(me=me, seed=me), key=77, count=2))
    assert len(attempts) <= 3


def test_a_popular_key_is_spread_by_its_share_and_rare_keys_cover_the_fleet():
    balancer = warm_keys_balancer()
    assert len(sends_for(balancer, key=5, count=300)) > 10
    balancer, attempts = warm_keys_balancer(), Counter()
    for key in range(600):
        attempts.update(sends_for(balancer, key=key * 7919, count=1, now=600.0 * key, first=key))
    assert len(attempts) == 30 and max(attempts.values()) < 3 * 600 / 30


def servers_of_key(key, gone=()):
    """Return the servers that a dozen sidecars send a key to after the servers in `gone` have left."""
    servers = set()
    for seed in range(12):
        balancer = warm_keys_balancer(seed=seed)
        balancer.step(
            0.0, EndpointListReceived(ListForm.CHANGES, [EndpointEntry(name, state="left") for name in gone])
        )
        servers |= set(sends_for(balancer, key=key, count=1))
    return servers


def test_only_the_keys_of_a_lost_server_move():
    servers_before = {key: servers_of_key(key) for key in range(12)}
    lost = min(servers_before[0])
    for key, servers in servers_before.items():
        after = servers_of_key(key, [lost])
        assert lost not in after
        assert after == servers if lost not in servers else after & servers == servers - {lost}
