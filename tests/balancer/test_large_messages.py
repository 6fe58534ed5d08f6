"""Tests of large requests and answers in the balancer."""

from __future__ import annotations

from brassfall.balancer.events import AnswerStarted, AttemptEnded, BodyDiscarded, RequestArrived, TimerDue
from brassfall.balancer.model import Outcome, SendAttempt, StartTimer
from tests.support.helpers import make_balancer, of_type


def test_a_request_is_not_retried_once_more_of_its_body_was_forwarded_than_is_buffered():
    balancer = make_balancer("safe")
    (send, *_) = of_type(balancer.step(0.0, RequestArrived(1, 0, 1000.0, large=True)), SendAttempt)
    assert of_type(balancer.step(1.0, AttemptEnded(1, 0, Outcome.CONNECT_FAILED, 1.0)), SendAttempt)
    balancer.step(2.0, BodyDiscarded(1))
    assert not of_type(balancer.step(3.0, AttemptEnded(1, 1, Outcome.CONNECT_FAILED, 1.0)), SendAttempt)
    assert send.request == 1


def test_a_large_request_or_a_started_answer_does_not_make_a_server_count_as_stalled():
    balancer = make_balancer("safe", servers=1)
    assert not of_type(balancer.step(0.0, RequestArrived(1, 0, 1000.0, large=True)), StartTimer)
    (timer,) = of_type(balancer.step(0.0, RequestArrived(2, 0, 1000.0)), StartTimer)
    balancer.step(100.0, AnswerStarted(2, 0))
    balancer.step(timer.delay, TimerDue(timer.token))
    (server,) = balancer.components.endpoints.servers.values()
    assert server.fault_share == 0.0 and not server.outstanding
    assert balancer.components.shedder.probability(200.0) == 0.0
    assert server.in_flight == 2
    balancer.step(5000.0, AttemptEnded(2, 0, Outcome.OK, 100.0, request_ended=True))
    balancer.step(5000.0, AttemptEnded(1, 0, Outcome.OK, 100.0, request_ended=True))
    assert server.in_flight == 0 and not balancer.open_requests
