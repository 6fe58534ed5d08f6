"""Requests of one idempotency key, one at a time and in the order of their arrival."""

from __future__ import annotations

from brassfall.balancer.events import AttemptEnded, ClientLeft, RequestArrived, TimerDue
from brassfall.balancer.model import Outcome, QueueDeadlineTimer, RefuseRequest, SendAttempt, StartTimer
from tests.support.helpers import CLASSES, attempt_answered, make_balancer, of_type

ORDERED = {**CLASSES["late"], "InTurn": True}


def ordered(settle=100.0, **changes):
    return make_balancer(servers=4, Profiles=[dict(ORDERED)], Rules={"SettleAfterDoubt": settle}, **changes)


def keyed(number, now=0.0, key=7, left=1000.0):
    return RequestArrived(number, 0, now + left, key=key)


def test_requests_of_one_key_run_one_at_a_time_in_order():
    made = ordered()
    assert of_type(made.step(0.0, keyed(1)), SendAttempt)
    assert not of_type(made.step(1.0, keyed(2)), SendAttempt)
    assert not of_type(made.step(2.0, keyed(3)), SendAttempt)
    assert of_type(made.step(3.0, keyed(4, key=8)), SendAttempt)
    (second,) = of_type(made.step(20.0, attempt_answered(1, 20.0)), SendAttempt)
    assert second.request == 2
    started = of_type(made.step(30.0, ClientLeft(2)), SendAttempt)
    assert not started, "the attempt of a client that left may still be running"
    (third,) = of_type(made.step(40.0, attempt_answered(2, 20.0)), SendAttempt)
    assert third.request == 3


def test_a_key_pauses_after_an_attempt_that_may_still_run_and_leaves_no_record():
    made = ordered()
    made.step(0.0, keyed(1))
    made.step(1.0, keyed(2))
    made.step(5.0, ClientLeft(1))
    actions = made.step(10.0, AttemptEnded(1, 0, Outcome.CANCELLED, 10.0, request_ended=True))
    (timer,) = of_type(actions, StartTimer)
    assert not of_type(actions, SendAttempt) and timer.delay == 100.0
    (send,) = of_type(made.step(110.0, TimerDue(timer.token)), SendAttempt)
    made.step(120.0, attempt_answered(send.request, 10.0))
    assert not made.key_queues and not made.open_requests


def test_a_queued_request_is_refused_at_its_deadline():
    made = ordered()
    made.step(0.0, keyed(1))
    (deadline,) = of_type(made.step(1.0, keyed(2, 1.0, left=300.0)), StartTimer)
    assert deadline.token == QueueDeadlineTimer(request=2) and deadline.delay <= 300.0
    assert of_type(made.step(1.0 + deadline.delay, TimerDue(deadline.token)), RefuseRequest)


def test_a_request_is_refused_at_once_if_its_queue_is_too_long():
    made = ordered()
    for number in range(5):
        made.step(0.0, keyed(100 + number, key=number))
        made.step(150.0, attempt_answered(100 + number, 150.0))
    refused = [n for n in range(40) if of_type(made.step(200.0, keyed(n, 200.0, key=99)), RefuseRequest)]
    assert refused and refused[0] < 10 and made.key_queues.length(99) < 10
