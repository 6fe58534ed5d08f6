"""Requests too heavy to end in time under overload, by the work that clients give or by class."""

from __future__ import annotations

import pytest

from brassfall.balancer import Settings
from brassfall.balancer.events import SettingsReloaded
from brassfall.balancer.model import RefusalReason, SendAttempt
from tests.support.helpers import LOAD_REPORTS, attempt_answered, request_arrival, make_balancer, of_type, raw_settings

SHORT = {"Semantics": "pure", "Objective": 250.0, "Deadline": 360.0}
LONG = {"Semantics": "pure", "Objective": 2000.0, "Deadline": 4000.0}


def overloaded(short_ms: float, long_ms: float, seen: tuple[int, ...] = (0, 1, 1, 1)):
    """Return an overloaded balancer that has served the classes in `seen`, and the time."""
    made = make_balancer(Profiles=[SHORT, LONG], **LOAD_REPORTS)
    now = 0.0
    for number in range(80):
        now += 50.0
        request_class = seen[number % len(seen)]
        spent = short_ms if request_class == 0 else long_ms
        request = request_arrival(number, now, request_class, left=4000.0)
        if of_type(made.step(now, request), SendAttempt):
            made.step(
                now + spent,
                attempt_answered(number, spent, in_flight=1.0),
            )
    made.components.shedder.observe(now, 0.4)
    return made, now


def refused_and_sent(made, now: float, request_class: int) -> tuple[int, int]:
    """Send twenty more requests of a class; return how many are too heavy, and how many are sent."""
    before, sent = made.refusals[RefusalReason.TOO_HEAVY], 0
    for number in range(1000, 1020):
        sent += len(of_type(made.step(now, request_arrival(number, now, request_class, left=4000.0)), SendAttempt))
    return made.refusals[RefusalReason.TOO_HEAVY] - before, sent


def test_a_class_of_short_requests_is_not_judged_by_the_long_ones():
    made, now = overloaded(short_ms=90.0, long_ms=900.0)
    heavy, sent = refused_and_sent(made, now, 0)
    assert heavy == 0 and sent > 0


def test_a_class_whose_own_answers_take_too_long_is_refused():
    made, now = overloaded(short_ms=800.0, long_ms=900.0)
    assert refused_and_sent(made, now, 0) == (20, 0)


def test_a_class_without_answers_yet_is_not_refused():
    made, now = overloaded(short_ms=0.0, long_ms=900.0, seen=(1,))
    assert refused_and_sent(made, now, 0)[0] == 0


def test_a_class_that_a_reload_puts_in_place_of_another_inherits_no_time():
    made, now = overloaded(short_ms=800.0, long_ms=900.0)
    made.step(
        now, SettingsReloaded(Settings.parse(raw_settings(Profiles=[SHORT, LONG], **LOAD_REPORTS)), {1})
    )
    assert refused_and_sent(made, now, 0)[0] == 0


@pytest.mark.parametrize(("work", "heavy"), [(0.1, 0), (50.0, 1)])
def test_work_given_by_clients_outweighs_what_was_learned(work, heavy):
    made, now = overloaded(short_ms=800.0, long_ms=900.0)
    made.step(now, request_arrival(5000, now, 0, left=4000.0)._replace(work=work))
    assert made.refusals[RefusalReason.TOO_HEAVY] == heavy
