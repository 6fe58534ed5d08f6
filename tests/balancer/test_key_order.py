"""Tests that the requests with one idempotency key run one at a time, in order of arrival."""

from __future__ import annotations

from brassfall.balancer.events import AttemptEnded, ClientLeft, RequestArrived, TimerDue
from brassfall.balancer.model import Outcome, QueueDeadlineTimer, RefuseRequest, SendAttempt, StartTimer
from tests.support.helpers import CLASSES, attempt_answered, make_balancer, of_type

ORDERED = {**CLASSES["late"], "InTurn": True}


def ordered_balancer(settle=100.0, **changes):
    """Return a balancer with an ordered class, whose keys pause for `settle` ms after a doubtful outcome."""
    return make_balancer(servers=4, Profiles=[dict(ORDERED)], Rules={"SettleAfterDoubt": settle}, **changes)


def keyed_arrival(number, now=0.0, key=7, left=1000.0):
    """Return the arrival of a request with a key, whose client gives up after `left` milliseconds."""
    return RequestArrived(number, 0, now + left, key=key)


def test_requests_with_one_key_run_one_at_a_time_in_order_of_arrival():
    balancer = ordered_balancer()
    assert of_type(balancer.step(0.0, keyed_arrival(1)), SendAttempt)
    assert not of_type(balancer.step(1.0, keyed_arrival(2)), SendAttempt)
    assert not of_type(balancer.step(2.0, keyed_arrival(3)), SendAttempt)
    assert of_type(balancer.step(3.0, keyed_arrival(4, key=8)), SendAttempt)
    (second,) = of_type(balancer.step(20.0, attempt_answered(1, 20.0)), SendAttempt)
    assert second.request == 2
    sends = of_type(balancer.step(30.0, ClientLeft(2)), SendAttempt)
    assert not sends, "the attempt of a client that left may still be running"
    (third,) = of_type(balancer.step(40.0, attempt_answered(2, 20.0)), SendAttempt)
    assert third.request == 3


def test_a_key_pauses_after_an_attempt_that_may_still_run_and_its_queue_is_dropped_at_the_end():
    balancer = ordered_balancer()
    balancer.step(0.0, keyed_arrival(1))
    balancer.step(1.0, keyed_arrival(2))
    balancer.step(5.0, ClientLeft(1))
    actions = balancer.step(10.0, AttemptEnded(1, 0, Outcome.CANCELLED, 10.0, request_ended=True))
    (timer,) = of_type(actions, StartTimer)
    assert not of_type(actions, SendAttempt) and timer.delay == 100.0
    (send,) = of_type(balancer.step(110.0, TimerDue(timer.token)), SendAttempt)
    balancer.step(120.0, attempt_answered(send.request, 10.0))
    assert not balancer.key_queues and not balancer.open_requests


def test_a_queued_request_is_refused_at_its_deadline():
    balancer = ordered_balancer()
    balancer.step(0.0, keyed_arrival(1))
    (deadline,) = of_type(balancer.step(1.0, keyed_arrival(2, 1.0, left=300.0)), StartTimer)
    assert deadline.token == QueueDeadlineTimer(request=2) and deadline.delay <= 300.0
    assert of_type(balancer.step(1.0 + deadline.delay, TimerDue(deadline.token)), RefuseRequest)


def test_a_request_is_refused_immediately_if_the_queue_of_its_key_is_too_long():
    balancer = ordered_balancer()
    for number in range(5):
        balancer.step(0.0, keyed_arrival(100 + number, key=number))
        balancer.step(150.0, attempt_answered(100 + number, 150.0))
    refused = [
        n for n in range(40) if of_type(balancer.step(200.0, keyed_arrival(n, 200.0, key=99)), RefuseRequest)
    ]
    assert refused and refused[0] < 10 and balancer.key_queues.length(99) < 10
