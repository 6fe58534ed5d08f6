"""Outlier ejection and pauses after rejections: which servers are blamed, and for how long."""

from __future__ import annotations

from collections import Counter

import pytest

from brassfall.balancer.events import AttemptEnded, ClientLeft, EndpointListReceived, TimerDue
from brassfall.balancer.model import ListForm, Outcome, SendAttempt, StartTimer
from tests.support.helpers import attempt_answered, request_arrival, make_balancer, of_type, serve_requests


def test_a_server_that_fails_quickly_is_not_preferred():
    made = make_balancer("safe", servers=8)
    sends = serve_requests(made, 200, lambda s: (Outcome.ERROR, 1.0) if s == "s0" else (Outcome.OK, 20.0))
    assert sends["s0"] < 0.25 * 200 / 8
    assert made.components.throttle.refusal_probability(10_000.0) == 0.0


def test_if_all_servers_fail_at_most_half_of_them_are_ejected():
    made = make_balancer("unsafe", servers=8)
    serve_requests(made, 40, lambda s: (Outcome.ERROR, 1.0))
    ejected = [s for s in made.components.endpoints.servers.values() if s.ejected_until > 2000.0]
    assert len(ejected) <= 4


@pytest.mark.parametrize("status", [Outcome.TIMEOUT, Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED])
def test_a_single_fault_at_each_server_ejects_none(status):
    # Requests of mixed length soon bring each server one time-out.
    made = make_balancer("unsafe", servers=8)
    faulty = set()

    def once(server):
        first = server not in faulty
        faulty.add(server)
        return (status, 200.0) if first else (Outcome.OK, 20.0)

    serve_requests(made, 80, once)
    assert len(faulty) == 8
    assert not [
        s for s in made.components.endpoints.servers.values() if s.consecutive_failures or s.ejected_until
    ]


def test_a_server_gets_one_request_at_a_time_after_its_ejection():
    made = make_balancer("safe", servers=1)
    serve_requests(made, 2, lambda s: (Outcome.ERROR, 1.0), now=0.0)
    made.step(0.0, EndpointListReceived(ListForm.CHANGES, []))
    server = made.components.endpoints.servers["s0"]
    assert server.consecutive_failures
    after = server.ejected_until + 1.0
    assert of_type(made.step(after, request_arrival(50, after)), SendAttempt)
    assert not of_type(made.step(after, request_arrival(51, after)), SendAttempt)


def test_a_silent_server_is_ejected_although_others_fail_as_well():
    # Faults elsewhere must not keep a server from being blamed for its own.
    made = make_balancer("unsafe", servers=4)
    sends = Counter()
    for number in range(400):
        now = 50.0 * number
        for send in of_type(made.step(now, request_arrival(number, now)), SendAttempt):
            sends[send.server] += now > 5_000.0
            bad = send.server == "s0" or number % 4 == 0
            status = Outcome.TIMEOUT if bad else Outcome.OK
            made.step(now + 10.0, AttemptEnded(number, 0, status, 10.0, request_ended=not bad))
    assert sends["s0"] < 0.5 * sum(sends.values()) / 4


def test_a_stall_of_the_process_itself_blames_no_server():
    made = make_balancer("late", servers=4)
    actions = made.step(0.0, request_arrival(1))
    (due,) = of_type(actions, StartTimer)
    made.step(due.delay + 500.0, TimerDue(due.token))
    assert made.components.shedder.probability(700.0) == 0.0
    assert all(server.fault_share == 0.0 for server in made.components.endpoints.servers.values())


def test_a_server_that_rejects_all_requests_gets_longer_and_longer_pauses():
    # A server that rejects at once has no requests in flight and would be preferred.
    made = make_balancer("unsafe", servers=4)
    full = Counter()
    for number in range(400):
        now = 50.0 * number
        for send in of_type(made.step(now, request_arrival(number, now)), SendAttempt):
            full[send.server] += 1
            status = Outcome.REJECTED if send.server == "s0" else Outcome.OK
            made.step(now + 2.0, AttemptEnded(number, 0, status, 2.0, request_ended=status == Outcome.OK))
    assert full["s0"] < 20


@pytest.mark.parametrize("answers", [True, False])
def test_a_time_out_blames_a_server_only_if_it_has_not_answered_since_the_send(answers):
    # A burst of long requests must not eject servers that go on answering.
    made = make_balancer("unsafe", servers=1)
    for number in range(0, 20, 2):
        now = 300.0 * number
        made.step(now, request_arrival(number, now))
        if answers:
            made.step(now + 20.0, request_arrival(number + 1, now + 20.0))
            made.step(now + 50.0, attempt_answered(number + 1, 30.0))
        made.step(now + 200.0, AttemptEnded(number, 0, Outcome.TIMEOUT, 200.0))
        made.step(now + 200.0, ClientLeft(number))
    assert bool(made.components.endpoints.servers["s0"].consecutive_failures) != answers


def test_local_refusals_do_not_excuse_a_server_that_fails():
    # If local refusals counted as faults of the service, a faulty server would not stand out.
    made = make_balancer("safe", servers=4)
    sends = Counter()
    for number in range(300):
        now = 20.0 * number
        if number % 2:
            made.components.throttle.count_request(now, 0.0)
        for send in of_type(made.step(now, request_arrival(number, now)), SendAttempt):
            sends[send.server] += number >= 50
            bad = send.server == "s0" and number % 5
            status = Outcome.ERROR if bad else Outcome.OK
            made.step(now + 10.0, AttemptEnded(number, 0, status, 10.0, request_ended=not bad))
            made.step(now + 10.0, ClientLeft(number))
    assert sends["s0"] < 0.25 * sum(sends.values()) / 4
