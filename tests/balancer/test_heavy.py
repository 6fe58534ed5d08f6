"""Work that is too heavy to end in time under strain: told by clients, or learned by class."""

from __future__ import annotations

import pytest

from brassfall.balancer import Settings
from brassfall.balancer.events import SettingsReloaded
from brassfall.balancer.model import RefusalReason, Send
from tests.support.helpers import answered, arrival, balancer, of_type, raw_settings

SHORT = {"Semantics": "pure", "Objective": 250.0, "Deadline": 360.0}
LONG = {"Semantics": "pure", "Objective": 2000.0, "Deadline": 4000.0}
REPORT = {"How": "inline", "Fields": ["inflight"]}


def strained(short_ms: float, long_ms: float, seen: tuple[int, ...] = (0, 1, 1, 1)):
    """A balancer that has served some of each class, one in four of them short, and is under strain now."""
    made = balancer(Profiles=[SHORT, LONG], Report=REPORT)
    now = 0.0
    for number in range(80):
        now += 50.0
        band = seen[number % len(seen)]
        spent = short_ms if band == 0 else long_ms
        request = arrival(number, now, band, left=4000.0)
        if of_type(made.step(now, request), Send):
            made.step(
                now + spent,
                answered(number, spent, in_flight=1.0),
            )
    made.components.shedder.observe(now, 0.4)
    return made, now


def more(made, now: float, band: int) -> tuple[int, int]:
    """Of twenty more of a class: how many are refused as too heavy, and how many are sent."""
    before, sent = made.refusals[RefusalReason.TOO_HEAVY], 0
    for number in range(1000, 1020):
        sent += len(of_type(made.step(now, arrival(number, now, band, left=4000.0)), Send))
    return made.refusals[RefusalReason.TOO_HEAVY] - before, sent


def test_a_short_class_is_not_held_to_the_time_that_long_ones_take():
    """On a site with a class of 250 ms beside some of seconds, all of the first was refused from then on."""
    made, now = strained(short_ms=90.0, long_ms=900.0)
    heavy, sent = more(made, now, 0)
    assert heavy == 0 and sent > 0


def test_a_class_whose_own_answers_take_too_long_is_still_refused():
    made, now = strained(short_ms=800.0, long_ms=900.0)
    assert more(made, now, 0) == (20, 0)


def test_a_class_that_was_never_served_is_tried():
    made, now = strained(short_ms=0.0, long_ms=900.0, seen=(1,))
    assert more(made, now, 0)[0] == 0


def test_a_slot_that_another_class_has_after_a_reload_keeps_no_length():
    made, now = strained(short_ms=800.0, long_ms=900.0)
    made.step(now, SettingsReloaded(Settings.parse(raw_settings(Profiles=[SHORT, LONG], Report=REPORT)), {1}))
    assert more(made, now, 0)[0] == 0


@pytest.mark.parametrize(("work", "heavy"), [(0.1, 0), (50.0, 1)])
def test_work_that_clients_tell_goes_before_what_was_learned(work, heavy):
    made, now = strained(short_ms=800.0, long_ms=900.0)
    made.step(now, arrival(5000, now, 0, left=4000.0)._replace(work=work))
    assert made.refusals[RefusalReason.TOO_HEAVY] == heavy
