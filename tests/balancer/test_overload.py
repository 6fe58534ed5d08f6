"""Signals of overload: what outcomes and load reports do to the shed probability."""

from __future__ import annotations

import pytest

from brassfall.balancer.events import AttemptEnded, RequestArrived, TimerDue
from brassfall.balancer.model import ObjectiveTimer, Outcome, SendAttempt, StartTimer
from tests.support.helpers import LOAD_REPORTS, attempt_answered, request_arrival, make_balancer, of_type


def test_a_load_report_that_is_not_a_number_is_ignored():
    made = make_balancer("safe", servers=2, **LOAD_REPORTS)
    made.step(0.0, request_arrival(1))
    made.step(5.0, attempt_answered(1, 5.0, in_flight=float("nan")))
    assert of_type(made.step(6.0, request_arrival(2, 6.0)), SendAttempt)
    assert made.components.shedder.probability(6.0) == 0.0


def test_time_outs_shed_little_while_load_reports_show_no_overload():
    # Time-outs at a few slow servers must not refuse requests that others could serve.
    calm, overloaded = (make_balancer("safe", servers=8, **LOAD_REPORTS) for _ in range(2))
    for number in range(60):
        now = 100.0 * number
        for made, in_flight in ((calm, 0.0), (overloaded, 9.0)):
            if not of_type(made.step(now, request_arrival(number, now)), SendAttempt):
                continue
            late = number % 6 == 0
            status = Outcome.TIMEOUT if late else Outcome.OK
            report = None if late else {"inflight": in_flight}
            made.step(now + 50.0, AttemptEnded(number, 0, status, 50.0, request_ended=True, report=report))
    assert calm.components.shedder.probability(6000.0) < 0.2
    assert overloaded.components.shedder.probability(6000.0) > 0.5


def test_an_attempt_in_flight_at_its_objective_signals_overload_at_once():
    # Otherwise a stalled service is noticed only as clients give up.
    made = make_balancer("late", servers=4)
    timers = [of_type(made.step(0.0, request_arrival(number)), StartTimer) for number in range(6)]
    for (due,) in timers:
        assert due.delay == 200.0 and not made.step(200.0, TimerDue(due.token))
    assert made.components.shedder.probability(200.0) > 0.1
    assert not made.step(200.0, TimerDue(ObjectiveTimer(request=999, attempt=0)))


@pytest.mark.parametrize("now", [0.0, 1e6 / 7.0, 1.7e12 / 3.0, 1.7e12 + 1.0 / 3.0])
def test_an_attempt_that_ends_at_its_objective_counts_once_whatever_the_rounding(now):
    # Rounding must not let the time-out come before the timer: the attempt would be blamed twice.
    made = make_balancer("safe", servers=8, now=now)
    actions = made.step(now, RequestArrived(1, 0, now + 1000.0))
    (send,), (timer,) = of_type(actions, SendAttempt), of_type(actions, StartTimer)
    assert timer.delay < send.timeout
    made.step(now + timer.delay, TimerDue(timer.token))
    assert made.components.shedder.probability(now + timer.delay) > 0.0
    made.step(now + send.timeout, AttemptEnded(1, 0, Outcome.TIMEOUT, send.timeout))
    assert made.components.endpoints.servers[send.server].fault_share == pytest.approx(0.3)
    assert made.components.endpoints.servers[send.server].ejected_until <= now


def test_time_outs_signal_no_more_overload_to_a_busy_sidecar_than_to_a_quiet_one():
    # Counted in full, the few time-outs of a busy sidecar would add up to an overload.
    probabilities = []
    for step in (20.0, 8.0):
        seen = []  # the shed probability changes with each event, so its mean is compared
        made = make_balancer("safe", servers=8, **LOAD_REPORTS)
        for number in range(int(10_000.0 / step)):
            now = step * number
            actions = made.step(now, request_arrival(number, now))
            if sends := of_type(actions, SendAttempt):
                late = number % 25 == 0
                for timer in of_type(actions, StartTimer) if late else ():
                    made.step(now + timer.delay, TimerDue(timer.token))
                spent = sends[0].timeout if late else 20.0
                status = Outcome.TIMEOUT if late else Outcome.OK
                made.step(
                    now + spent,
                    AttemptEnded(number, 0, status, spent, request_ended=not late, report={"inflight": 1.0}),
                )
            seen.append(made.components.shedder.probability(now))
        probabilities.append(sum(seen) / len(seen))
    assert 0.0 < probabilities[1] < 0.45 and probabilities[1] == pytest.approx(probabilities[0], rel=0.3)


@pytest.mark.parametrize(
    ("how", "report", "overloaded"),
    [
        ("inline", {"inflight": 9.0}, True),  # it is overloaded
        ("inline", {"inflight": 1.0}, False),  # it is at fault itself
        ("off", None, True),  # without load reports a rejection is the only signal
    ],
)
def test_a_rejection_signals_overload_as_far_as_its_load_report_shows_it(how, report, overloaded):
    made = make_balancer("safe", Report={"How": how, "Fields": ["inflight"]})
    made.step(0.0, request_arrival(1))
    made.step(5.0, AttemptEnded(1, 0, Outcome.REJECTED, 5.0, request_ended=True, report=report))
    assert (made.components.shedder.probability(5.0) > 0.0) == overloaded
    assert made.components.throttle.requests == 1 and made.components.throttle.accepts == 0.0


@pytest.mark.parametrize(("each", "least", "most"), [(100, 0.0, 0.2), (3, 0.4, 1.0)])
def test_rejections_without_a_load_report_count_by_their_share(each, least, most):
    # A few servers that drain during an upgrade must not have requests refused.
    made = make_balancer("safe", **LOAD_REPORTS)
    for number in range(1000):
        now = 4.0 * number
        actions, hop = made.step(now, request_arrival(number, now)), 0
        while of_type(actions, SendAttempt):
            rejected = hop == 0 and number % each == 0
            status, report = (Outcome.REJECTED, None) if rejected else (Outcome.OK, {"inflight": 1.0})
            actions = made.step(
                now + 2.0, AttemptEnded(number, hop, status, 2.0, request_ended=not rejected, report=report)
            )
            hop += 1
    assert least <= made.components.shedder.probability(4000.0) <= most


def test_lost_answers_shed_no_load_while_answers_are_quick():
    # Lost answers say nothing of the capacity of servers that answer quickly.
    made = make_balancer("unsafe", servers=8)
    for number in range(200):
        now = 100.0 * number
        made.step(now, request_arrival(number, now))
        lost = number % 6 == 0
        status = Outcome.TIMEOUT if lost else Outcome.OK
        made.step(
            now + 50.0, AttemptEnded(number, 0, status, 200.0 if lost else 30.0, request_ended=not lost)
        )
    assert made.components.shedder.probability(20_000.0) < 0.05


def test_load_reports_count_by_their_mean_and_not_by_their_number():
    # A busy sidecar receives more load reports of the same load.
    probabilities = []
    for step in (500.0, 50.0):
        made = make_balancer("safe", servers=4, **LOAD_REPORTS)
        now = 0.0
        while now < 20_000.0:
            number = int(now)
            if of_type(made.step(now, request_arrival(number, now)), SendAttempt):
                made.step(now + 20.0, attempt_answered(number, 20.0, in_flight=4.0))
            now += step
        probabilities.append(made.components.shedder.probability(now))
    assert probabilities[1] < 2.0 * probabilities[0] and probabilities[1] < 0.5


@pytest.mark.parametrize(("in_flight", "overloaded"), [(0.0, False), (20.0, True)])
def test_rejections_by_servers_with_few_requests_in_flight_signal_no_overload(in_flight, overloaded):
    # Servers that reject one class while they are idle must not have all classes refused.
    made = make_balancer("unsafe", servers=8, **LOAD_REPORTS)
    most = 0.0
    for number in range(400):
        now = 10.0 * number
        actions, hop = made.step(now, request_arrival(number, now)), 0
        while sends := of_type(actions, SendAttempt):
            rejects = hop == 0 and sends[0].server in ("s0", "s1")
            status, report = (Outcome.REJECTED, in_flight) if rejects else (Outcome.OK, 1.0)
            actions = made.step(
                now + 5.0,
                AttemptEnded(
                    number, hop, status, 5.0, request_ended=not rejects, report={"inflight": report}
                ),
            )
            hop += 1
        most = max(most, made.components.shedder.probability(now))
    assert most > 0.1 if overloaded else most == 0.0


def test_a_load_report_signals_no_more_overload_to_a_new_sidecar():
    # The rate of sends is little known just after a start, and the weight of a report rests on it.
    probabilities = []
    for quiet in (0, 40):  # requests before the load, ten a second
        made = make_balancer("safe", servers=8, **LOAD_REPORTS)
        for step in range(quiet + 20):
            now, in_flight = 100.0 * step, 0.0 if step < quiet else 4.5
            if of_type(made.step(now, request_arrival(step, now)), SendAttempt):
                made.step(now + 20.0, attempt_answered(step, 20.0, in_flight=in_flight))
        probabilities.append(made.components.shedder.probability(now))
    assert probabilities[0] < 1.5 * probabilities[1]
    assert max(probabilities) < 0.5  # the mean of the signals: (4.5 - 3) / 3
