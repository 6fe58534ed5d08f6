"""Tests that, under overload, requests are refused if they need too much work to end in time."""

from __future__ import annotations

import pytest

from brassfall.balancer import Settings
from brassfall.balancer.events import SettingsReloaded
from brassfall.balancer.model import RefusalReason, SendAttempt
from tests.support.helpers import (
    LOAD_REPORTS,
    attempt_answered,
    make_balancer,
    of_type,
    raw_settings,
    request_arrival,
)

SHORT = {"Semantics": "pure", "Objective": 250.0, "Deadline": 360.0}
LONG = {"Semantics": "pure", "Objective": 2000.0, "Deadline": 4000.0}


def overloaded_balancer(short_ms: float, long_ms: float, classes: tuple[int, ...] = (0, 1, 1, 1)):
    """Return an overloaded balancer that has served requests of `classes`, and the time of its clock.

    `short_ms` and `long_ms` are the times of the answers of class 0 and class 1.
    """
    balancer = make_balancer(Profiles=[SHORT, LONG], **LOAD_REPORTS)
    now = 0.0
    for number in range(80):
        now += 50.0
        request_class = classes[number % len(classes)]
        elapsed = short_ms if request_class == 0 else long_ms
        request = request_arrival(number, now, request_class, left=4000.0)
        if of_type(balancer.step(now, request), SendAttempt):
            balancer.step(
                now + elapsed,
                attempt_answered(number, elapsed, in_flight=1.0),
            )
    balancer.components.shedder.observe(now, 0.4)
    return balancer, now


def count_too_heavy_and_sent(balancer, now: float, request_class: int) -> tuple[int, int]:
    """Pass 20 requests of a class to a balancer; return how many are too heavy, and how many are sent."""
    refused_before, sent = balancer.refusals[RefusalReason.TOO_HEAVY], 0
    for number in range(1000, 1020):
        sent += len(
            of_type(balancer.step(now, request_arrival(number, now, request_class, left=4000.0)), SendAttempt)
        )
    return balancer.refusals[RefusalReason.TOO_HEAVY] - refused_before, sent


def test_a_class_of_short_requests_is_not_refused_because_of_another_class_of_long_requests():
    balancer, now = overloaded_balancer(short_ms=90.0, long_ms=900.0)
    heavy, sent = count_too_heavy_and_sent(balancer, now, 0)
    assert heavy == 0 and sent > 0


def test_a_class_whose_own_answers_take_too_long_is_refused():
    balancer, now = overloaded_balancer(short_ms=800.0, long_ms=900.0)
    assert count_too_heavy_and_sent(balancer, now, 0) == (20, 0)


def test_a_class_without_answers_yet_is_not_refused():
    balancer, now = overloaded_balancer(short_ms=0.0, long_ms=900.0, classes=(1,))
    assert count_too_heavy_and_sent(balancer, now, 0)[0] == 0


def test_a_class_that_replaces_another_at_a_reload_does_not_inherit_its_times():
    balancer, now = overloaded_balancer(short_ms=800.0, long_ms=900.0)
    balancer.step(
        now, SettingsReloaded(Settings.parse(raw_settings(Profiles=[SHORT, LONG], **LOAD_REPORTS)), {1})
    )
    assert count_too_heavy_and_sent(balancer, now, 0)[0] == 0


@pytest.mark.parametrize(("work", "refused"), [(0.1, 0), (50.0, 1)])
def test_work_stated_by_clients_takes_precedence_over_earlier_answers(work, refused):
    balancer, now = overloaded_balancer(short_ms=800.0, long_ms=900.0)
    balancer.step(now, request_arrival(5000, now, 0, left=4000.0)._replace(work=work))
    assert balancer.refusals[RefusalReason.TOO_HEAVY] == refused
