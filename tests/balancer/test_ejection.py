"""Tests of outlier ejection and of pauses after rejections: which servers are at fault, and for how long."""

from __future__ import annotations

from collections import Counter

import pytest

from brassfall.balancer.events import AttemptEnded, ClientLeft, EndpointListReceived, TimerDue
from brassfall.balancer.model import ListForm, Outcome, SendAttempt, StartTimer
from tests.support.helpers import attempt_answered, make_balancer, of_type, request_arrival, serve_requests


def test_a_server_that_fails_quickly_is_not_preferred():
    balancer = make_balancer("safe", servers=8)
    sends = serve_requests(
        balancer, 200, lambda server: (Outcome.ERROR, 1.0) if server == "s0" else (Outcome.OK, 20.0)
    )
    assert sends["s0"] < 0.25 * 200 / 8
    assert balancer.components.throttle.refusal_probability(10_000.0) == 0.0


def test_if_all_servers_fail_at_most_half_of_them_are_ejected():
    balancer = make_balancer("unsafe", servers=8)
    serve_requests(balancer, 40, lambda server: (Outcome.ERROR, 1.0))
    ejected = [s for s in balancer.components.endpoints.servers.values() if s.ejected_until > 2000.0]
    assert len(ejected) <= 4


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED])
def test_a_single_fault_at_each_server_ejects_none(outcome):
    # With short and long requests, each server soon has one time-out that is not its fault.
    balancer = make_balancer("unsafe", servers=8)
    failed_once = set()

    def fail_once(server):
        is_first = server not in failed_once
        failed_once.add(server)
        return (outcome, 200.0) if is_first else (Outcome.OK, 20.0)

    serve_requests(balancer, 80, fail_once)
    assert len(failed_once) == 8
    assert not [
        s for s in balancer.components.endpoints.servers.values() if s.consecutive_failures or s.ejected_until
    ]


def test_a_server_gets_one_request_at_a_time_after_its_ejection():
    balancer = make_balancer("safe", servers=1)
    serve_requests(balancer, 2, lambda server: (Outcome.ERROR, 1.0), now=0.0)
    balancer.step(0.0, EndpointListReceived(ListForm.CHANGES, []))
    server = balancer.components.endpoints.servers["s0"]
    assert server.consecutive_failures
    now = server.ejected_until + 1.0
    assert of_type(balancer.step(now, request_arrival(50, now)), SendAttempt)
    assert not of_type(balancer.step(now, request_arrival(51, now)), SendAttempt)


def test_a_server_that_never_answers_is_ejected_although_others_fail_as_well():
    # Faults of other servers must not hide that a server has more faults than the others.
    balancer = make_balancer("unsafe", servers=4)
    sends = Counter()
    for number in range(400):
        now = 50.0 * number
        for send in of_type(balancer.step(now, request_arrival(number, now)), SendAttempt):
            sends[send.server] += now > 5_000.0
            is_faulty = send.server == "s0" or number % 4 == 0
            outcome = Outcome.TIMEOUT if is_faulty else Outcome.OK
            balancer.step(now + 10.0, AttemptEnded(number, 0, outcome, 10.0, request_ended=not is_faulty))
    assert sends["s0"] < 0.5 * sum(sends.values()) / 4


def test_a_stall_of_the_own_process_counts_as_no_fault_of_a_server():
    balancer = make_balancer("late", servers=4)
    actions = balancer.step(0.0, request_arrival(1))
    (due,) = of_type(actions, StartTimer)
    balancer.step(due.delay + 500.0, TimerDue(due.token))
    assert balancer.components.shedder.probability(700.0) == 0.0
    assert all(server.fault_share == 0.0 for server in balancer.components.endpoints.servers.values())


def test_the_pause_after_a_rejection_grows_while_a_server_rejects_all_requests():
    # A server that rejects immediately has no requests in flight, so it would be preferred without the pause.
    balancer = make_balancer("unsafe", servers=4)
    attempts = Counter()
    for number in range(400):
        now = 50.0 * number
        for send in of_type(balancer.step(now, request_arrival(number, now)), SendAttempt):
            attempts[send.server] += 1
            outcome = Outcome.REJECTED if send.server == "s0" else Outcome.OK
            balancer.step(
                now + 2.0, AttemptEnded(number, 0, outcome, 2.0, request_ended=outcome == Outcome.OK)
            )
    assert attempts["s0"] < 20


@pytest.mark.parametrize("answers", [True, False])
def test_a_time_out_counts_as_a_fault_only_if_the_server_has_not_answered_since_the_send(answers):
    # A burst of long requests must not eject servers that continue to answer other requests.
    balancer = make_balancer("unsafe", servers=1)
    for number in range(0, 20, 2):
        now = 300.0 * number
        balancer.step(now, request_arrival(number, now))
        if answers:
            balancer.step(now + 20.0, request_arrival(number + 1, now + 20.0))
            balancer.step(now + 50.0, attempt_answered(number + 1, 30.0))
        balancer.step(now + 200.0, AttemptEnded(number, 0, Outcome.TIMEOUT, 200.0))
        balancer.step(now + 200.0, ClientLeft(number))
    assert bool(balancer.components.endpoints.servers["s0"].consecutive_failures) != answers


def test_a_faulty_server_is_ejected_in_spite_of_local_refusals():
    # If local refusals counted as faults of the service, a faulty server would not differ from the others.
    balancer = make_balancer("safe", servers=4)
    sends = Counter()
    for number in range(300):
        now = 20.0 * number
        if number % 2:
            balancer.components.throttle.count_request(now, 0.0)
        for send in of_type(balancer.step(now, request_arrival(number, now)), SendAttempt):
            sends[send.server] += number >= 50
            is_faulty = send.server == "s0" and number % 5
            outcome = Outcome.ERROR if is_faulty else Outcome.OK
            balancer.step(now + 10.0, AttemptEnded(number, 0, outcome, 10.0, request_ended=not is_faulty))
            balancer.step(now + 10.0, ClientLeft(number))
    assert sends["s0"] < 0.25 * sum(sends.values()) / 4
