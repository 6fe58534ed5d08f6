"""Retry-After, time-outs and the time of answers."""

from __future__ import annotations

import pytest

from brassfall.balancer.events import AttemptEnded, EndpointsListed
from brassfall.balancer.model import ListForm, Outcome, Refuse, Send
from tests.support.helpers import answered, arrival, balancer, of_type


@pytest.mark.parametrize(
    ("limits", "wait"),
    [
        ({"RetryAfter": True, "MaxRetryAfter": 2000.0}, 20.0),
        ({"RetryAfter": True, "MaxRetryAfter": 5.0}, 5.0),
        ({"RetryAfter": False, "MaxRetryAfter": 2000.0}, 0.0),
    ],
)
def test_a_refusal_is_immediate_and_has_a_retry_after(limits, wait):
    made = balancer("safe", servers=0, PolicyLimits={"MaxAttempts": 3, **limits})
    assert made.step(0.0, arrival(1)) == [Refuse(1, wait)]


def test_a_client_whose_retry_would_come_too_late_gets_the_longest_retry_after():
    made = balancer("safe", servers=4, PolicyLimits={"RetryAfter": True, "MaxRetryAfter": 2000.0})
    made.step(0.0, arrival(1))
    assert made.step(200.0, AttemptEnded(1, 0, Outcome.TIMEOUT, 200.0)) == [Refuse(1, 2000.0)]
    (send,) = of_type(made.step(300.0, arrival(2, 300.0)), Send)
    made.step(310.0, EndpointsListed(ListForm.COMPLETE, []))
    # A retry can still be served in time here.
    assert made.step(320.0, AttemptEnded(send.request, 0, Outcome.FULL, 20.0)) == [Refuse(2, 20.0)]


def test_after_a_silent_server_idempotent_requests_get_a_short_time_out():
    made = balancer("late", servers=4)
    (before,) = of_type(made.step(0.0, arrival(1)), Send)
    assert before.timeout == 1000.0
    made.step(30.0, answered(1, 30.0))
    for number in range(10, 40):
        made.step(100.0, arrival(number, 100.0))
        made.step(130.0, answered(number, 30.0))
    (silent,) = of_type(made.step(200.0, arrival(50, 200.0)), Send)
    made.step(1200.0, AttemptEnded(50, 0, Outcome.TIMEOUT, 1000.0))
    (once,) = of_type(made.step(1300.0, arrival(51, 1300.0)), Send)
    assert once.timeout == 1000.0, "a single silence may be a burst of one's own"
    made.step(1330.0, answered(51, 30.0))
    for _ in range(2):
        made.components.ejector.blame(1400.0, made.components.endpoints.servers[silent.server], silent=True)
    (after,) = of_type(made.step(1500.0, arrival(2, 1500.0)), Send)
    assert after.timeout < 300.0


def test_a_first_answer_that_took_no_time_is_learned_from():
    # An answer may begin before its request has ended; the pace must not be divided by zero then.
    made = balancer()
    made.step(0.0, arrival(1))
    made.step(0.0, answered(1, 0.0))
    assert not made.open_requests
    assert of_type(made.step(1.0, arrival(2)), Send)
