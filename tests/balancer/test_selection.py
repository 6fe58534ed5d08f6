"""The choice of a server: the subset, and what makes a candidate the least loaded one."""

from __future__ import annotations

from collections import Counter

from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import AttemptEnded, EndpointListReceived
from brassfall.balancer.model import ListForm, EndpointEntry, Outcome, CheckServerHealth, SendAttempt
from tests.support.helpers import (
    LOAD_REPORTS,
    attempt_answered,
    request_arrival,
    make_balancer,
    endpoint_entries,
    of_type,
    raw_settings,
    make_selector,
    serve_requests,
)

HEALTH_CHECKS = {
    "PolicyLimits": {"MaxAttempts": 4, "MayProbe": True},
    "Report": {"How": "on_probe", "Fields": ["inflight"]},
    "WeightKind": "nominal",
}


def test_a_slow_kind_of_machine_gets_fewer_requests():
    made = make_balancer("safe", servers=0)
    entries = [EndpointEntry(f"s{i}", kind=i % 2) for i in range(8)]
    made.step(0.0, EndpointListReceived(ListForm.COMPLETE, entries))
    slow = {e.server for e in entries if e.kind == 1}
    sends = serve_requests(made, 400, lambda s: (Outcome.OK, 60.0 if s in slow else 20.0))
    assert sum(sends[s] for s in slow) < 0.4 * 400


def test_no_health_check_is_sent_before_a_request():
    made = make_balancer("safe", **HEALTH_CHECKS)
    actions = made.step(0.0, request_arrival(1))
    assert of_type(actions, SendAttempt) and not of_type(actions, CheckServerHealth)


def test_a_sidecar_keeps_to_a_small_subset_and_sidecars_cover_the_fleet():
    met = Counter()
    for me in range(30):
        made = Balancer(0.0, Settings.parse(raw_settings("safe", Me=me, Balancers=30)), me)
        made.step(0.0, EndpointListReceived(ListForm.CONFIGURED, endpoint_entries(40)))
        sends = serve_requests(made, 60, lambda s: (Outcome.OK, 20.0), interval=500.0)
        assert len(sends) <= 12
        met.update(sends)
    assert len(met) >= 38
    assert max(met.values()) < 3 * sum(met.values()) / 40


def test_a_retry_may_go_beyond_the_subset():
    made = make_balancer("safe", servers=40)
    small = set(serve_requests(made, 60, lambda s: (Outcome.OK, 20.0), interval=500.0))
    wide = serve_requests(
        made,
        30,
        lambda s: (Outcome.REJECTED, 1.0) if s in small else (Outcome.OK, 20.0),
        now=100_000.0,
        interval=500.0,
    )
    assert set(wide) - small


def test_a_sidecar_does_not_overload_the_servers_of_its_own_zone():
    # A zone may have more traffic than its servers have capacity.
    made = make_balancer("safe", servers=0)
    entries = [EndpointEntry(f"s{i}", zone=0 if i < 2 else 1) for i in range(8)]
    made.step(0.0, EndpointListReceived(ListForm.COMPLETE, entries))
    sends = serve_requests(made, 400, lambda s: (Outcome.OK, 20.0))
    assert sends["s0"] + sends["s1"] < 0.4 * 400


def test_a_server_with_a_stalled_attempt_is_chosen_last():
    made = make_balancer("safe", servers=2)
    (stalled,) = of_type(made.step(0.0, request_arrival(1)), SendAttempt)
    for number in range(2, 5):
        (send,) = of_type(made.step(150.0 + number, request_arrival(number, 150.0)), SendAttempt)
        assert send.server != stalled.server


def test_load_reports_decide_between_equal_servers_and_fade_towards_the_mean():
    made = make_balancer("safe", servers=2, **LOAD_REPORTS)
    in_flight = {"s0": 9.0, "s1": 0.0}
    for number in range(6):
        (send,) = of_type(made.step(10.0 * number, request_arrival(number)), SendAttempt)
        made.step(10.0 * number + 5.0, attempt_answered(number, 5.0, in_flight=in_flight[send.server]))
    fresh = {of_type(made.step(70.0, request_arrival(100 + i, 70.0)), SendAttempt)[0].server for i in range(2)}
    assert fresh == {"s1"}
    reporting = made.components.endpoints.servers["s0"]
    assert make_selector(made).load(10_000.0, reporting) < make_selector(made).load(70.0, reporting)


def priced_zones():
    made = make_balancer("unsafe", servers=0, Prices={"CrossZone": 0.2})
    made.step(0.0, EndpointListReceived(ListForm.COMPLETE, [EndpointEntry(f"s{i}", zone=i % 2) for i in range(8)]))
    return made


def cross_zone_share(made, count, near_status, now=0.0):
    """Return the share of sends to the other zone; `near_status(number)` is the outcome in the own one."""
    met = Counter()
    for number in range(count):
        at = now + 100.0 * number
        for send in of_type(made.step(at, request_arrival(int(at), at)), SendAttempt):
            near = int(send.server[1:]) % 2 == 0
            met[near] += 1
            status = near_status(number) if near else Outcome.OK
            made.step(at + 20.0, AttemptEnded(int(at), 0, status, 20.0, request_ended=status == Outcome.OK))
    return met[False] / max(1, sum(met.values()))


def test_priced_zones_get_requests_only_while_the_own_zone_fails():
    made = priced_zones()
    assert cross_zone_share(made, 100, lambda n: Outcome.OK) == 0.0
    assert cross_zone_share(made, 300, lambda n: Outcome.ERROR if n % 2 else Outcome.OK, now=50_000.0) > 0.2


def test_a_retry_with_a_key_finds_its_group_in_a_large_fleet():
    # Random samples of the whole fleet would seldom contain a server of the group.
    found = 0
    for seed in range(20):
        made = make_balancer("keyed", servers=60, seed=seed)
        (send,) = of_type(made.step(0.0, request_arrival(1)), SendAttempt)
        retries = of_type(made.step(5.0, AttemptEnded(1, 0, Outcome.ERROR, 5.0)), SendAttempt)
        assert all(int(a.server[1:]) // 2 == int(send.server[1:]) // 2 for a in retries)
        found += len(retries)
    assert found == 20


def test_servers_with_idle_connections_are_preferred_while_new_ones_fail():
    made = make_balancer("unsafe", servers=8)
    known = set()
    for number in range(4):
        (send,) = of_type(made.step(500.0 * number, request_arrival(number, 500.0 * number)), SendAttempt)
        known.add(send.server)
        made.step(500.0 * number + 20.0, attempt_answered(number, 20.0))
    made.components.ejector.connect_failure_share = 0.9
    sends = [of_type(made.step(3000.0 + n, request_arrival(50 + n, 3000.0)), SendAttempt)[0].server for n in range(2)]
    assert set(sends) <= known


def test_reported_queues_decide_between_equal_servers():
    made = make_balancer("safe", servers=2, Report={"How": "inline", "Fields": ["queue", "util"]})
    for number in range(6):
        now = 10.0 * number
        (send,) = of_type(made.step(now, request_arrival(number, now)), SendAttempt)
        report = {"queue": 9.0 if send.server == "s0" else 0.0, "util": 0.5}
        made.step(now + 5.0, AttemptEnded(number, 0, Outcome.OK, 5.0, request_ended=True, report=report))
    fresh = {of_type(made.step(70.0, request_arrival(100 + i, 70.0)), SendAttempt)[0].server for i in range(2)}
    assert fresh == {"s1"}


def test_recent_faults_decide_between_equal_servers():
    made = make_balancer("safe", servers=3)
    servers = made.components.endpoints.servers
    servers["s0"].fault_share = servers["s1"].fault_share = 0.3
    sends = []
    for number in range(10):
        (send,) = of_type(made.step(10.0 * number, request_arrival(number, 10.0 * number)), SendAttempt)
        sends.append(send.server)
        made.step(10.0 * number + 5.0, attempt_answered(number, 5.0))
    assert sends.count("s2") >= 8
