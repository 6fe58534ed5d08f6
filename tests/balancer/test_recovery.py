"""Refusal in a closed loop: many decision modules, servers, and clients who come again when refused."""

from __future__ import annotations

from collections import Counter

import pytest

from brassfall.balancer.model import RefusalReason, Refuse
from brassfall.lab import day, ledger, spec
from brassfall.lab.sim.sidecar import Sidecar
from brassfall.lab.sim.world import World
from tests.support.helpers import answered, arrival, balancer, of_type, selector

# Every reason that the balancer itself has, by its name in `REFUSALS`.
LOCAL_REFUSALS = ("formula", "level", "heavy", "room", "line", "failed")

# Servers with room for twice the load, which no crowd slows down for good; a burst of 2.5 times.
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
ROOM_AT, WITHIN = 6, 4  # s: when the burst is over, and the time stated for refusal to be over


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_refusal_is_over_four_seconds_after_servers_have_room(tmp_path, seed):
    file = tmp_path / "e.toml"
    file.write_text(BURST)
    told = spec.load(file)
    book = ledger.LedgerWriter(tmp_path / "play")
    world = World(day.sample_day(told, seed), lambda me: day.wire_settings(told, me, {}), book, Sidecar)
    world.begin()
    world.run()
    book.close()
    tries, refused = Counter(), Counter()
    for answer in ledger.read(tmp_path / "play", ledger.Answer):
        tries[int(answer.sent // 1000)] += 1
        refused[int(answer.sent // 1000)] += answer.status == "refused"
    assert max(refused[second] / tries[second] for second in range(3, ROOM_AT)) > 0.3  # the burst bites
    after = range(ROOM_AT + WITHIN, 12)
    assert sum(refused[second] for second in after) <= 0.02 * sum(tries[second] for second in after)


def test_what_the_level_refuses_closes_no_window():
    # Found on calm+mass: refusals by the level filled windows, which then refused on no other evidence.
    made = balancer("safe", Report={"How": "inline", "Fields": ["inflight"]})
    for number in range(200):
        made.components.shedder.observe(number, 1.0)
        actions = made.step(float(number), arrival(number, number))
        if not of_type(actions, Refuse):
            made.step(
                number + 0.5,
                answered(number, 0.5, in_flight=1.0),
            )
    assert made.refusals[RefusalReason.SHED] > 100 and made.refusals[RefusalReason.THROTTLED] == 0
    assert made.components.throttle.drop_chance(200.0) == 0.0


def test_each_request_given_up_is_counted_by_its_reason():
    made = balancer("safe", servers=0)
    for number in range(3):
        assert of_type(made.step(0.0, arrival(number)), Refuse)
    assert made.refusals == dict.fromkeys(LOCAL_REFUSALS, 0) | {RefusalReason.NO_SERVER: 3}
    for _ in range(40):
        made.components.throttle.add(1.0, 0.0)
    refused = sum(bool(of_type(made.step(1.0, arrival(number, 1.0)), Refuse)) for number in range(10, 50))
    assert made.refusals[RefusalReason.THROTTLED] > 20 and sum(made.refusals.values()) == refused + 3


def test_a_server_never_heard_counts_as_the_mean_of_those_heard():
    # Found in the lab at 200 sidecars: a busy sidecar widens, and unknown servers drew all that came.
    made = balancer("safe", servers=2, Report={"How": "inline", "Fields": ["inflight"]})
    known, unknown = made.components.endpoints.servers["s0"], made.components.endpoints.servers["s1"]
    for number in range(30):
        made.components.overload.observe_report(10.0 * number, known, {"inflight": 6.0})
    assert selector(made).load(300.0, unknown) == pytest.approx(selector(made).load(300.0, known), rel=0.1)
