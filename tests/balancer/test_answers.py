"""Retry-After, time-outs and the time of answers."""

from __future__ import annotations

import pytest

from brassfall.balancer.events import AttemptEnded, EndpointListReceived
from brassfall.balancer.model import ListForm, Outcome, RefuseRequest, SendAttempt
from tests.support.helpers import attempt_answered, request_arrival, make_balancer, of_type


@pytest.mark.parametrize(
    ("limits", "wait"),
    [
        ({"RetryAfter": True, "MaxRetryAfter": 2000.0}, 20.0),
        ({"RetryAfter": True, "MaxRetryAfter": 5.0}, 5.0),
        ({"RetryAfter": False, "MaxRetryAfter": 2000.0}, 0.0),
    ],
)
def test_a_refusal_is_immediate_and_has_a_retry_after(limits, wait):
    made = make_balancer("safe", servers=0, PolicyLimits={"MaxAttempts": 3, **limits})
    assert made.step(0.0, request_arrival(1)) == [RefuseRequest(1, wait)]


def test_a_client_whose_retry_would_come_too_late_gets_the_longest_retry_after():
    made = make_balancer("safe", servers=4, PolicyLimits={"RetryAfter": True, "MaxRetryAfter": 2000.0})
    made.step(0.0, request_arrival(1))
    assert made.step(200.0, AttemptEnded(1, 0, Outcome.TIMEOUT, 200.0)) == [RefuseRequest(1, 2000.0)]
    (send,) = of_type(made.step(300.0, request_arrival(2, 300.0)), SendAttempt)
    made.step(310.0, EndpointListReceived(ListForm.COMPLETE, []))
    # A retry can still be served in time here.
    assert made.step(320.0, AttemptEnded(send.request, 0, Outcome.REJECTED, 20.0)) == [RefuseRequest(2, 20.0)]


def test_after_a_silent_server_idempotent_requests_get_a_short_time_out():
    made = make_balancer("late", servers=4)
    (before,) = of_type(made.step(0.0, request_arrival(1)), SendAttempt)
    assert before.timeout == 1000.0
    made.step(30.0, attempt_answered(1, 30.0))
    for number in range(10, 40):
        made.step(100.0, request_arrival(number, 100.0))
        made.step(130.0, attempt_answered(number, 30.0))
    (silent,) = of_type(made.step(200.0, request_arrival(50, 200.0)), SendAttempt)
    made.step(1200.0, AttemptEnded(50, 0, Outcome.TIMEOUT, 1000.0))
    (once,) = of_type(made.step(1300.0, request_arrival(51, 1300.0)), SendAttempt)
    assert once.timeout == 1000.0, "a single silence may be a burst of one's own"
    made.step(1330.0, attempt_answered(51, 30.0))
    for _ in range(2):
        made.components.ejector.count_fault(1400.0, made.components.endpoints.servers[silent.server], silent=True)
    (after,) = of_type(made.step(1500.0, request_arrival(2, 1500.0)), SendAttempt)
    assert after.timeout < 300.0


def test_a_first_answer_that_took_no_time_is_learned_from():
    # An answer may begin before its request has ended; the pace must not be divided by zero then.
    made = make_balancer()
    made.step(0.0, request_arrival(1))
    made.step(0.0, attempt_answered(1, 0.0))
    assert not made.open_requests
    assert of_type(made.step(1.0, request_arrival(2)), SendAttempt)
