"""Tests of the choice of a server: the subset, and the load by which the candidates are compared."""

from __future__ import annotations

from collections import Counter

from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import AttemptEnded, EndpointListReceived
from brassfall.balancer.model import CheckServerHealth, EndpointEntry, ListForm, Outcome, SendAttempt
from tests.support.helpers import (
    LOAD_REPORTS,
    attempt_answered,
    endpoint_entries,
    make_balancer,
    make_selector,
    of_type,
    raw_settings,
    request_arrival,
    serve_requests,
)

# Settings with which health checks are allowed and report the load of servers.
HEALTH_CHECKS = {
    "PolicyLimits": {"MaxAttempts": 4, "MayProbe": True},
    "Report": {"How": "on_probe", "Fields": ["inflight"]},
    "WeightKind": "nominal",
}


def test_a_slow_kind_of_machine_gets_fewer_requests():
    balancer = make_balancer("safe", servers=0)
    entries = [EndpointEntry(f"s{i}", kind=i % 2) for i in range(8)]
    balancer.step(0.0, EndpointListReceived(ListForm.COMPLETE, entries))
    slow = {entry.server for entry in entries if entry.kind == 1}
    sends = serve_requests(balancer, 400, lambda server: (Outcome.OK, 60.0 if server in slow else 20.0))
    assert sum(sends[server] for server in slow) < 0.4 * 400


def test_no_health_check_is_sent_before_a_request():
    balancer = make_balancer("safe", **HEALTH_CHECKS)
    actions = balancer.step(0.0, request_arrival(1))
    assert of_type(actions, SendAttempt) and not of_type(actions, CheckServerHealth)


def test_a_sidecar_sends_to_a_small_subset_and_all_subsets_together_cover_the_fleet():
    sends_of_all = Counter()
    for me in range(30):
        balancer = Balancer(0.0, Settings.parse(raw_settings("safe", Me=me, Balancers=30)), me)
        balancer.step(0.0, EndpointListReceived(ListForm.CONFIGURED, endpoint_entries(40)))
        sends = serve_requests(balancer, 60, lambda s: (Outcome.OK, 20.0), interval=500.0)
        assert len(sends) <= 12
        sends_of_all.update(sends)
    assert len(sends_of_all) >= 38
    assert max(sends_of_all.values()) < 3 * sum(sends_of_all.values()) / 40


def test_a_retry_may_go_beyond_the_subset():
    balancer = make_balancer("safe", servers=40)
    subset = set(serve_requests(balancer, 60, lambda s: (Outcome.OK, 20.0), interval=500.0))
    sends = serve_requests(
        balancer,
        30,
        lambda s: (Outcome.REJECTED, 1.0) if s in subset else (Outcome.OK, 20.0),
        now=100_000.0,
        interval=500.0,
    )
    assert set(sends) - subset


def test_a_sidecar_does_not_overload_the_servers_of_its_own_zone():
    # The traffic of a zone may exceed the capacity of its servers.
    balancer = make_balancer("safe", servers=0)
    entries = [EndpointEntry(f"s{i}", zone=0 if i < 2 else 1) for i in range(8)]
    balancer.step(0.0, EndpointListReceived(ListForm.COMPLETE, entries))
    sends = serve_requests(balancer, 400, lambda s: (Outcome.OK, 20.0))
    assert sends["s0"] + sends["s1"] < 0.4 * 400


def test_a_server_with_a_stalled_attempt_is_chosen_last():
    balancer = make_balancer("safe", servers=2)
    (stalled,) = of_type(balancer.step(0.0, request_arrival(1)), SendAttempt)
    for number in range(2, 5):
        (send,) = of_type(balancer.step(150.0 + number, request_arrival(number, 150.0)), SendAttempt)
        assert send.server != stalled.server


def test_load_reports_decide_between_equal_servers_and_decay_to_the_mean():
    balancer = make_balancer("safe", servers=2, **LOAD_REPORTS)
    in_flight = {"s0": 9.0, "s1": 0.0}
    for number in range(6):
        (send,) = of_type(balancer.step(10.0 * number, request_arrival(number)), SendAttempt)
        balancer.step(10.0 * number + 5.0, attempt_answered(number, 5.0, in_flight=in_flight[send.server]))
    chosen = {
        of_type(balancer.step(70.0, request_arrival(100 + i, 70.0)), SendAttempt)[0].server for i in range(2)
    }
    assert chosen == {"s1"}
    reporting = balancer.components.endpoints.servers["s0"]
    assert make_selector(balancer).load(10_000.0, reporting) < make_selector(balancer).load(70.0, reporting)


def balancer_with_priced_zones():
    """Return a balancer with two zones, where sending to the other zone has a price."""
    balancer = make_balancer("unsafe", servers=0, Prices={"CrossZone": 0.2})
    balancer.step(
        0.0, EndpointListReceived(ListForm.COMPLETE, [EndpointEntry(f"s{i}", zone=i % 2) for i in range(8)])
    )
    return balancer


def cross_zone_share(balancer, count, local_outcome, now=0.0):
    """Return the share of attempts in the other zone; `local_outcome(number)` gives outcomes in the own."""
    attempts = Counter()  # Attempts by whether they were sent to the own zone
    for number in range(count):
        at = now + 100.0 * number
        for send in of_type(balancer.step(at, request_arrival(int(at), at)), SendAttempt):
            is_local = int(send.server[1:]) % 2 == 0
            attempts[is_local] += 1
            outcome = local_outcome(number) if is_local else Outcome.OK
            balancer.step(
                at + 20.0, AttemptEnded(int(at), 0, outcome, 20.0, request_ended=outcome == Outcome.OK)
            )
    return attempts[False] / max(1, sum(attempts.values()))


def test_a_zone_with_a_price_gets_requests_only_while_the_own_zone_fails():
    balancer = balancer_with_priced_zones()
    assert cross_zone_share(balancer, 100, lambda n: Outcome.OK) == 0.0
    assert (
        cross_zone_share(balancer, 300, lambda n: Outcome.ERROR if n % 2 else Outcome.OK, now=50_000.0) > 0.2
    )


def test_a_retry_with_a_key_finds_its_group_in_a_large_fleet():
    # Random samples of the whole fleet would rarely contain a server of the group.
    retry_count = 0
    for seed in range(20):
        balancer = make_balancer("keyed", servers=60, seed=seed)
        (send,) = of_type(balancer.step(0.0, request_arrival(1)), SendAttempt)
        retries = of_type(balancer.step(5.0, AttemptEnded(1, 0, Outcome.ERROR, 5.0)), SendAttempt)
        assert all(int(a.server[1:]) // 2 == int(send.server[1:]) // 2 for a in retries)
        retry_count += len(retries)
    assert retry_count == 20


def test_servers_with_idle_connections_are_preferred_while_new_connections_fail():
    balancer = make_balancer("unsafe", servers=8)
    connected = set()
    for number in range(4):
        (send,) = of_type(balancer.step(500.0 * number, request_arrival(number, 500.0 * number)), SendAttempt)
        connected.add(send.server)
        balancer.step(500.0 * number + 20.0, attempt_answered(number, 20.0))
    balancer.components.ejector.connect_failure_share = 0.9
    sends = [
        of_type(balancer.step(3000.0 + n, request_arrival(50 + n, 3000.0)), SendAttempt)[0].server
        for n in range(2)
    ]
    assert set(sends) <= connected


def test_reported_queues_decide_between_equal_servers():
    balancer = make_balancer("safe", servers=2, Report={"How": "inline", "Fields": ["queue", "util"]})
    for number in range(6):
        now = 10.0 * number
        (send,) = of_type(balancer.step(now, request_arrival(number, now)), SendAttempt)
        report = {"queue": 9.0 if send.server == "s0" else 0.0, "util": 0.5}
        balancer.step(now + 5.0, AttemptEnded(number, 0, Outcome.OK, 5.0, request_ended=True, report=report))
    chosen = {
        of_type(balancer.step(70.0, request_arrival(100 + i, 70.0)), SendAttempt)[0].server for i in range(2)
    }
    assert chosen == {"s1"}


def test_recent_faults_decide_between_equal_servers():
    balancer = make_balancer("safe", servers=3)
    servers = balancer.components.endpoints.servers
    servers["s0"].fault_share = servers["s1"].fault_share = 0.3
    sends = []
    for number in range(10):
        (send,) = of_type(balancer.step(10.0 * number, request_arrival(number, 10.0 * number)), SendAttempt)
        sends.append(send.server)
        balancer.step(10.0 * number + 5.0, attempt_answered(number, 5.0))
    assert sends.count("s2") >= 8
