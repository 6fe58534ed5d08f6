"""Tests of how soon refusals end after an overload, and of how they are counted."""

from __future__ import annotations

from collections import Counter

import pytest

from brassfall.balancer.model import RefusalReason, RefuseRequest
from brassfall.lab import day, ledger, spec
from brassfall.lab.sim.sidecar import Sidecar
from brassfall.lab.sim.world import World
from tests.support.helpers import (
    LOAD_REPORTS,
    attempt_answered,
    make_balancer,
    make_selector,
    of_type,
    request_arrival,
)

# The reasons of the refusals that the balancer itself decides on, by their names in `REFUSALS`.
LOCAL_REFUSALS = ("formula", "level", "heavy", "room", "line", "failed")

# An experiment in which the servers have 2.5 times the capacity that the load needs, and a burst multiplies
# the load by 2.5. Clients retry refused requests.
BURST = """
[experiment]
name = "a burst"
mode = "simulated"
for = "12 s"
[fleet]
sidecars = 40
servers = 20
[fleet.crowding]
servers = 0.0
[clients]
retries = 3.5
backoff = "0 ms"
[[classes]]
name = "read"
share = 1.0
work = "80 ms"
wanted = "400 ms"
deadline = "1200 ms"
worth = 1.0
effect = "safe"
cv = 0.5
noise = 0.1
[load]
share = 0.4
bursts = [{ at = "3 s", for = "3 s", times = 2.5 }]
"""
BURST_END_S, RECOVERY_S = 6, 4


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_refusals_end_within_four_seconds_of_servers_having_capacity(tmp_path, seed):
    file = tmp_path / "e.toml"
    file.write_text(BURST)
    experiment = spec.load(file)
    writer = ledger.LedgerWriter(tmp_path / "play")
    sampled_day = day.sample_day(experiment, seed)
    world = World(sampled_day, lambda me: day.wire_settings(experiment, me, {}), writer, Sidecar)
    world.begin()
    world.run()
    writer.close()
    sent, refused = Counter(), Counter()  # Requests by the second in which they were sent
    for answer in ledger.read(tmp_path / "play", ledger.Answer):
        sent[int(answer.sent // 1000)] += 1
        refused[int(answer.sent // 1000)] += answer.status == "refused"
    worst = max(refused[second] / sent[second] for second in range(3, BURST_END_S))
    assert worst > 0.3, "the burst does not overload the servers"
    after = range(BURST_END_S + RECOVERY_S, 12)
    assert sum(refused[second] for second in after) <= 0.02 * sum(sent[second] for second in after)


def test_requests_refused_by_the_shed_probability_do_not_count_for_the_throttle():
    # Otherwise the throttle would continue to refuse requests only because of earlier refusals.
    balancer = make_balancer("safe", **LOAD_REPORTS)
    for number in range(200):
        balancer.components.shedder.observe(number, 1.0)
        actions = balancer.step(float(number), request_arrival(number, number))
        if not of_type(actions, RefuseRequest):
            balancer.step(
                number + 0.5,
                attempt_answered(number, 0.5, in_flight=1.0),
            )
    assert balancer.refusals[RefusalReason.SHED] > 100 and balancer.refusals[RefusalReason.THROTTLED] == 0
    assert balancer.components.throttle.refusal_probability(200.0) == 0.0


def test_each_refusal_is_counted_by_its_reason():
    balancer = make_balancer("safe", servers=0)
    for number in range(3):
        assert of_type(balancer.step(0.0, request_arrival(number)), RefuseRequest)
    assert balancer.refusals == dict.fromkeys(LOCAL_REFUSALS, 0) | {RefusalReason.NO_SERVER: 3}
    for _ in range(40):
        balancer.components.throttle.count_request(1.0, 0.0)
    refused = sum(
        bool(of_type(balancer.step(1.0, request_arrival(number, 1.0)), RefuseRequest))
        for number in range(10, 50)
    )
    assert balancer.refusals[RefusalReason.THROTTLED] > 20 and sum(balancer.refusals.values()) == refused + 3


def test_a_server_without_a_load_report_counts_as_the_mean_of_the_others():
    # The subset of a busy sidecar grows, and the servers that are new in it must not get all requests.
    balancer = make_balancer("safe", servers=2, **LOAD_REPORTS)
    known, unknown = balancer.components.endpoints.servers["s0"], balancer.components.endpoints.servers["s1"]
    for number in range(30):
        balancer.components.overload.observe_report(10.0 * number, known, {"inflight": 6.0})
    assert make_selector(balancer).load(300.0, unknown) == pytest.approx(
        make_selector(balancer).load(300.0, known), rel=0.1
    )
