"""Large messages in the balancer: a body that was passed on is not retried."""

from __future__ import annotations

from brassfall.balancer.events import AnswerStarted, AttemptEnded, BodyDiscarded, RequestArrived, TimerDue
from brassfall.balancer.model import Outcome, SendAttempt, StartTimer
from tests.support.helpers import make_balancer, of_type


def test_the_balancer_does_not_retry_a_body_that_was_passed_on():
    made = make_balancer("safe")
    (send, *_) = of_type(made.step(0.0, RequestArrived(1, 0, 1000.0, large=True)), SendAttempt)
    assert of_type(made.step(1.0, AttemptEnded(1, 0, Outcome.CONNECT_FAILED, 1.0)), SendAttempt)
    made.step(2.0, BodyDiscarded(1))
    assert not of_type(made.step(3.0, AttemptEnded(1, 1, Outcome.CONNECT_FAILED, 1.0)), SendAttempt)
    assert send.request == 1


def test_a_large_request_or_a_started_answer_does_not_make_a_server_count_as_stalled():
    made = make_balancer("safe", servers=1)
    assert not of_type(made.step(0.0, RequestArrived(1, 0, 1000.0, large=True)), StartTimer)
    (due,) = of_type(made.step(0.0, RequestArrived(2, 0, 1000.0)), StartTimer)
    made.step(100.0, AnswerStarted(2, 0))
    made.step(due.delay, TimerDue(due.token))
    (server,) = made.components.endpoints.servers.values()
    assert server.fault_share == 0.0 and not server.outstanding
    assert made.components.shedder.probability(200.0) == 0.0
    assert server.in_flight == 2
    made.step(5000.0, AttemptEnded(2, 0, Outcome.OK, 100.0, request_ended=True))
    made.step(5000.0, AttemptEnded(1, 0, Outcome.OK, 100.0, request_ended=True))
    assert server.in_flight == 0 and not made.open_requests
