"""Tests of Retry-After, of time-outs and of answers that take no time."""

from __future__ import annotations

import pytest

from brassfall.balancer.events import AttemptEnded, EndpointListReceived
from brassfall.balancer.model import ListForm, Outcome, RefuseRequest, SendAttempt
from tests.support.helpers import attempt_answered, make_balancer, of_type, request_arrival


@pytest.mark.parametrize(
    ("limits", "retry_after_ms"),
    [
        ({"RetryAfter": True, "MaxRetryAfter": 2000.0}, 20.0),
        ({"RetryAfter": True, "MaxRetryAfter": 5.0}, 5.0),
        ({"RetryAfter": False, "MaxRetryAfter": 2000.0}, 0.0),
    ],
)
def test_a_refusal_is_immediate_and_has_a_retry_after(limits, retry_after_ms):
    balancer = make_balancer("safe", servers=0, PolicyLimits={"MaxAttempts": 3, **limits})
    assert balancer.step(0.0, request_arrival(1)) == [RefuseRequest(1, retry_after_ms)]


def test_a_client_whose_retry_would_come_too_late_gets_the_longest_retry_after():
    balancer = make_balancer("safe", servers=4, PolicyLimits={"RetryAfter": True, "MaxRetryAfter": 2000.0})
    balancer.step(0.0, request_arrival(1))
    assert balancer.step(200.0, AttemptEnded(1, 0, Outcome.TIMEOUT, 200.0)) == [RefuseRequest(1, 2000.0)]
    (send,) = of_type(balancer.step(300.0, request_arrival(2, 300.0)), SendAttempt)
    balancer.step(310.0, EndpointListReceived(ListForm.COMPLETE, []))
    # A retry of the second request can still be served in time.
    assert balancer.step(320.0, AttemptEnded(send.request, 0, Outcome.REJECTED, 20.0)) == [
        RefuseRequest(2, 20.0)
    ]


def test_after_a_server_did_not_answer_idempotent_requests_get_a_shorter_time_out():
    balancer = make_balancer("late", servers=4)
    (first,) = of_type(balancer.step(0.0, request_arrival(1)), SendAttempt)
    assert first.timeout == 1000.0
    balancer.step(30.0, attempt_answered(1, 30.0))
    for number in range(10, 40):
        balancer.step(100.0, request_arrival(number, 100.0))
        balancer.step(130.0, attempt_answered(number, 30.0))
    (silent,) = of_type(balancer.step(200.0, request_arrival(50, 200.0)), SendAttempt)
    balancer.step(1200.0, AttemptEnded(50, 0, Outcome.TIMEOUT, 1000.0))
    (after_one_fault,) = of_type(balancer.step(1300.0, request_arrival(51, 1300.0)), SendAttempt)
    assert after_one_fault.timeout == 1000.0, (
        "one missing answer may have been caused by a burst of this sidecar"
    )
    balancer.step(1330.0, attempt_answered(51, 30.0))
    for _ in range(2):
        balancer.components.ejector.count_fault(
            1400.0, balancer.components.endpoints.servers[silent.server], silent=True
        )
    (after_more_faults,) = of_type(balancer.step(1500.0, request_arrival(2, 1500.0)), SendAttempt)
    assert after_more_faults.timeout < 300.0


def test_a_first_answer_that_took_no_time_causes_no_division_by_zero():
    # An answer may begin before its request has ended, and the pace divides by the time of the answers.
    balancer = make_balancer()
    balancer.step(0.0, request_arrival(1))
    balancer.step(0.0, attempt_answered(1, 0.0))
    assert not balancer.open_requests
    assert of_type(balancer.step(1.0, request_arrival(2)), SendAttempt)
