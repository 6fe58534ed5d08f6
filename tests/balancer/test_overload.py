"""Tests of overload signals: how outcomes and load reports change the shed probability."""

from __future__ import annotations

import pytest

from brassfall.balancer.events import AttemptEnded, RequestArrived, TimerDue
from brassfall.balancer.model import ObjectiveTimer, Outcome, SendAttempt, StartTimer
from tests.support.helpers import LOAD_REPORTS, attempt_answered, make_balancer, of_type, request_arrival


def test_a_load_report_that_is_not_a_number_is_ignored():
    balancer = make_balancer("safe", servers=2, **LOAD_REPORTS)
    balancer.step(0.0, request_arrival(1))
    balancer.step(5.0, attempt_answered(1, 5.0, in_flight=float("nan")))
    assert of_type(balancer.step(6.0, request_arrival(2, 6.0)), SendAttempt)
    assert balancer.components.shedder.probability(6.0) == 0.0


def test_time_outs_shed_few_requests_while_load_reports_show_no_overload():
    # Time-outs at a few slow servers must not cause refusals of requests that other servers could serve.
    calm, overloaded = (make_balancer("safe", servers=8, **LOAD_REPORTS) for _ in range(2))
    for number in range(60):
        now = 100.0 * number
        for balancer, in_flight in ((calm, 0.0), (overloaded, 9.0)):
            if not of_type(balancer.step(now, request_arrival(number, now)), SendAttempt):
                continue
            is_late = number % 6 == 0
            outcome = Outcome.TIMEOUT if is_late else Outcome.OK
            report = None if is_late else {"inflight": in_flight}
            balancer.step(
                now + 50.0, AttemptEnded(number, 0, outcome, 50.0, request_ended=True, report=report)
            )
    assert calm.components.shedder.probability(6000.0) < 0.2
    assert overloaded.components.shedder.probability(6000.0) > 0.5


def test_an_attempt_in_flight_at_its_objective_signals_overload_immediately():
    # Otherwise a stalled service would be noticed only when clients give up.
    balancer = make_balancer("late", servers=4)
    timers = [of_type(balancer.step(0.0, request_arrival(number)), StartTimer) for number in range(6)]
    for (timer,) in timers:
        assert timer.delay == 200.0 and not balancer.step(200.0, TimerDue(timer.token))
    assert balancer.components.shedder.probability(200.0) > 0.1
    assert not balancer.step(200.0, TimerDue(ObjectiveTimer(request=999, attempt=0)))


@pytest.mark.parametrize("now", [0.0, 1e6 / 7.0, 1.7e12 / 3.0, 1.7e12 + 1.0 / 3.0])
def test_an_attempt_that_ends_at_its_objective_counts_once_whatever_the_rounding(now):
    # If rounding let the time-out come before the timer, the attempt would count twice as a fault of its
    # server.
    balancer = make_balancer("safe", servers=8, now=now)
    actions = balancer.step(now, RequestArrived(1, 0, now + 1000.0))
    (send,), (timer,) = of_type(actions, SendAttempt), of_type(actions, StartTimer)
    assert timer.delay < send.timeout
    balancer.step(now + timer.delay, TimerDue(timer.token))
    assert balancer.components.shedder.probability(now + timer.delay) > 0.0
    balancer.step(now + send.timeout, AttemptEnded(1, 0, Outcome.TIMEOUT, send.timeout))
    assert balancer.components.endpoints.servers[send.server].fault_share == pytest.approx(0.3)
    assert balancer.components.endpoints.servers[send.server].ejected_until <= now


def test_time_outs_signal_no_more_overload_to_a_busy_sidecar_than_to_a_quiet_one():
    # If each time-out counted fully, the few time-outs of a busy sidecar would add up to an overload.
    probabilities = []
    for interval in (20.0, 8.0):
        samples = []  # The shed probability changes with each event, so its mean is compared
        balancer = make_balancer("safe", servers=8, **LOAD_REPORTS)
        for number in range(int(10_000.0 / interval)):
            now = interval * number
            actions = balancer.step(now, request_arrival(number, now))
            if sends := of_type(actions, SendAttempt):
                is_late = number % 25 == 0
                for timer in of_type(actions, StartTimer) if is_late else ():
                    balancer.step(now + timer.delay, TimerDue(timer.token))
                elapsed = sends[0].timeout if is_late else 20.0
                outcome = Outcome.TIMEOUT if is_late else Outcome.OK
                balancer.step(
                    now + elapsed,
                    AttemptEnded(
                        number, 0, outcome, elapsed, request_ended=not is_late, report={"inflight": 1.0}
                    ),
                )
            samples.append(balancer.components.shedder.probability(now))
        probabilities.append(sum(samples) / len(samples))
    assert 0.0 < probabilities[1] < 0.45 and probabilities[1] == pytest.approx(probabilities[0], rel=0.3)


@pytest.mark.parametrize(
    ("report_mode", "report", "is_overloaded"),
    [
        ("inline", {"inflight": 9.0}, True),  # The load report shows that the server is overloaded
        ("inline", {"inflight": 1.0}, False),  # The load report shows that the server itself is faulty
        ("off", None, True),  # Without load reports, the rejection is the only signal
    ],
)
def test_a_rejection_signals_overload_if_its_load_report_shows_it(report_mode, report, is_overloaded):
    balancer = make_balancer("safe", Report={"How": report_mode, "Fields": ["inflight"]})
    balancer.step(0.0, request_arrival(1))
    balancer.step(5.0, AttemptEnded(1, 0, Outcome.REJECTED, 5.0, request_ended=True, report=report))
    assert (balancer.components.shedder.probability(5.0) > 0.0) == is_overloaded
    assert balancer.components.throttle.requests == 1 and balancer.components.throttle.accepts == 0.0


@pytest.mark.parametrize(("rejected_every", "lowest", "highest"), [(100, 0.0, 0.2), (3, 0.4, 1.0)])
def test_rejections_without_a_load_report_count_by_their_share(rejected_every, lowest, highest):
    # A few servers that drain during an upgrade must not cause refusals of requests.
    balancer = make_balancer("safe", **LOAD_REPORTS)
    for number in range(1000):
        now = 4.0 * number
        actions, attempt = balancer.step(now, request_arrival(number, now)), 0
        while of_type(actions, SendAttempt):
            rejected = attempt == 0 and number % rejected_every == 0
            outcome, report = (Outcome.REJECTED, None) if rejected else (Outcome.OK, {"inflight": 1.0})
            actions = balancer.step(
                now + 2.0,
                AttemptEnded(number, attempt, outcome, 2.0, request_ended=not rejected, report=report),
            )
            attempt += 1
    assert lowest <= balancer.components.shedder.probability(4000.0) <= highest


def test_lost_answers_shed_no_load_while_other_answers_are_quick():
    # Lost answers tell nothing about the capacity of servers that answer quickly.
    balancer = make_balancer("unsafe", servers=8)
    for number in range(200):
        now = 100.0 * number
        balancer.step(now, request_arrival(number, now))
        lost = number % 6 == 0
        outcome = Outcome.TIMEOUT if lost else Outcome.OK
        balancer.step(
            now + 50.0, AttemptEnded(number, 0, outcome, 200.0 if lost else 30.0, request_ended=not lost)
        )
    assert balancer.components.shedder.probability(20_000.0) < 0.05


def test_load_reports_count_by_their_mean_and_not_by_their_number():
    # A busy sidecar receives more load reports than a quiet one that state the same load.
    probabilities = []
    for interval in (500.0, 50.0):
        balancer = make_balancer("safe", servers=4, **LOAD_REPORTS)
        now = 0.0
        while now < 20_000.0:
            number = int(now)
            if of_type(balancer.step(now, request_arrival(number, now)), SendAttempt):
                balancer.step(now + 20.0, attempt_answered(number, 20.0, in_flight=4.0))
            now += interval
        probabilities.append(balancer.components.shedder.probability(now))
    assert probabilities[1] < 2.0 * probabilities[0] and probabilities[1] < 0.5


@pytest.mark.parametrize(("in_flight", "is_overloaded"), [(0.0, False), (20.0, True)])
def test_rejections_by_servers_with_few_requests_in_flight_signal_no_overload(in_flight, is_overloaded):
    # Servers that reject one class while they are idle must not cause refusals of all classes.
    balancer = make_balancer("unsafe", servers=8, **LOAD_REPORTS)
    highest = 0.0
    for number in range(400):
        now = 10.0 * number
        actions, attempt = balancer.step(now, request_arrival(number, now)), 0
        while sends := of_type(actions, SendAttempt):
            rejects = attempt == 0 and sends[0].server in ("s0", "s1")
            outcome, report = (Outcome.REJECTED, in_flight) if rejects else (Outcome.OK, 1.0)
            actions = balancer.step(
                now + 5.0,
                AttemptEnded(
                    number, attempt, outcome, 5.0, request_ended=not rejects, report={"inflight": report}
                ),
            )
            attempt += 1
        highest = max(highest, balancer.components.shedder.probability(now))
    assert highest > 0.1 if is_overloaded else highest == 0.0


def test_a_load_report_signals_no_more_overload_to_a_new_sidecar():
    # The weight of a load report depends on the send rate, which is uncertain just after a start.
    probabilities = []
    for quiet_requests in (0, 40):  # Number of requests before the load, ten per second
        balancer = make_balancer("safe", servers=8, **LOAD_REPORTS)
        for step in range(quiet_requests + 20):
            now, in_flight = 100.0 * step, 0.0 if step < quiet_requests else 4.5
            if of_type(balancer.step(now, request_arrival(step, now)), SendAttempt):
                balancer.step(now + 20.0, attempt_answered(step, 20.0, in_flight=in_flight))
        probabilities.append(balancer.components.shedder.probability(now))
    assert probabilities[0] < 1.5 * probabilities[1]
    assert max(probabilities) < 0.5  # The mean of the signals is (4.5 - 3) / 3
