"""The driver without sockets: the states of requests and attempts, its counts and its log lines."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from brassfall.balancer.model import Outcome, SendAttempt, StartTimer
from brassfall.sidecar.core import attempts
from brassfall.sidecar.core.attempts import (
    Attempt,
    AttemptState,
    Request,
    RequestState,
    StateTransitionError,
)
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.driver import Driver, DriverCounts
from brassfall.sidecar.core.interfaces import Answer, ExchangeResult
from tests.support.driver_stubs import RecordedCall, UpstreamsStub
from tests.support.loopback import ScriptedBalancer, loopback, sidecar_config, until

NO_REQUESTS = DriverCounts(
    awaiting_answer=0, streaming_answer=0, requests=0, attempts_in_flight=0, armed_timers=0
)


def driver_of(balancer, state="written"):
    """Return a driver with a scripted balancer, and the stub of the connection pool."""
    loop = asyncio.get_running_loop()
    driver = Driver(loop, Clock(loop), sidecar_config(), balancer)
    upstreams = UpstreamsStub(loop, state)
    driver.connect(upstreams, None, None)
    return driver, upstreams


# --- states -----------------------------------------------------------------------


def request_in(state):
    request = Request(id=1, call=RecordedCall(), give_up_at=0.0, max_attempts=1, read_at=0.0)
    request.state = state
    return request


def attempt_in(state):
    attempt = Attempt(owner=None, request=None, number=0, started_at=0.0, time_limit=0.0)
    attempt.state = state
    return attempt


@pytest.mark.parametrize(
    ("record_in", "transitions"),
    [(request_in, attempts.REQUEST_TRANSITIONS), (attempt_in, attempts.ATTEMPT_TRANSITIONS)],
)
def test_only_the_transitions_in_the_table_are_allowed(record_in, transitions):
    states = list(transitions)
    assert states in (list(RequestState), list(AttemptState))
    for before, after in itertools.product(states, states):
        record = record_in(before)
        if after in transitions[before]:
            record.enter(after)
            assert record.state is after
        else:
            with pytest.raises(StateTransitionError, match=f"{before.name} can't become {after.name}"):
                record.enter(after)
            assert record.state is before


@pytest.mark.parametrize("transitions", [attempts.REQUEST_TRANSITIONS, attempts.ATTEMPT_TRANSITIONS])
def test_the_last_state_is_reachable_from_every_state_and_final(transitions):
    *others, last = transitions
    assert not transitions[last]
    for state in others:
        reached, successors = {state}, transitions[state]
        while new := set(successors) - reached:
            reached |= new
            successors = [after for before in new for after in transitions[before]]
        assert last in reached


# --- counts ------------------------------------------------------------------------


@loopback
async def test_counts_track_a_request_from_its_arrival_to_the_end_of_its_streamed_answer():
    send_and_wait = ScriptedBalancer(
        request=lambda now, arrival: [
            SendAttempt(arrival.request, "s0", 0.0),
            StartTimer(60_000.0, "later", arrival.request),
        ]
    )
    driver, upstreams = driver_of(send_and_wait)
    assert driver.counts == NO_REQUESTS and driver.idle
    call = RecordedCall()
    request = driver.accept_request(call, driver.clock.now())
    assert driver.counts == DriverCounts(
        awaiting_answer=1, streaming_answer=0, requests=1, attempts_in_flight=1, armed_timers=1
    )
    assert list(driver.requests) == [request] and driver.in_flight == 1 and not driver.idle
    (exchange,) = upstreams.sent
    exchange.observer.answer_started(Answer([], b"", None), None)
    assert driver.counts == DriverCounts(
        awaiting_answer=0, streaming_answer=1, requests=1, attempts_in_flight=1, armed_timers=1
    )
    assert driver.in_flight == 1 and not driver.idle
    exchange.end(ExchangeResult(Outcome.OK))
    assert driver.counts == NO_REQUESTS and driver.idle
    assert call.answers == ["begun", "finished"]


@loopback
async def test_more_requests_than_may_be_open_are_rejected_and_counted():
    driver, _ = driver_of(ScriptedBalancer(request=lambda now, arrival: []))
    calls = [RecordedCall() for _ in range(3)]
    driver.reload(sidecar_config(PolicyLimits={"MaxOpen": 2}), frozenset())
    requests = [driver.accept_request(call, driver.clock.now()) for call in calls]
    assert [call.answers for call in calls] == [[], [], ["refused"]]
    assert requests[2] is None and driver.counts.awaiting_answer == 2
    assert driver.refusals == "full=1"


# --- log lines ------------------------------------------------------------------


@loopback
async def test_an_attempt_for_an_unknown_request_is_logged_and_not_sent(capsys):
    driver, upstreams = driver_of(ScriptedBalancer())
    driver.perform(SendAttempt(99, "s0", 0.0))
    line = (
        "ERROR balancer asked for an attempt of an unknown request, not sent, request=99; "
        "report it as a defect\n"
    )
    assert capsys.readouterr().err == line
    assert not upstreams.sent


@loopback
async def test_a_request_that_the_balancer_never_answers_is_failed_after_its_deadline_and_logged(capsys):
    balancer = ScriptedBalancer(request=lambda now, arrival: [])
    driver, _ = driver_of(balancer)
    call = RecordedCall()
    call.budget = 30.0
    request = driver.accept_request(call, driver.clock.now())
    await until(lambda: not driver.requests)
    assert call.answers == ["failed"] and driver.counts == NO_REQUESTS
    line = (
        "ERROR balancer did not answer a request by its deadline, request failed, "
        f"request={request.id}; report it as a defect\n"
    )
    assert capsys.readouterr().err == line
    assert balancer.named("client_gone") == [[request.id]]


@loopback
async def test_an_exception_of_the_balancer_is_logged_and_fails_the_request_of_the_event(capsys):
    def raise_error(now, arrival):
        raise ValueError("a defect")

    balancer = ScriptedBalancer(request=raise_error)
    driver, _ = driver_of(balancer)
    call = RecordedCall()
    request = driver.accept_request(call, driver.clock.now())
    assert call.answers == ["failed"] and driver.counts == NO_REQUESTS
    assert balancer.named("client_gone") == [[request.id]]
    log = capsys.readouterr().err
    assert log.startswith(
        "ERROR balancer raised an exception, event not handled; report it as a defect\nTraceback"
    )
    assert log.endswith("ValueError: a defect\n")
