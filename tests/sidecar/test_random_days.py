"""Hundreds of random days for driver, balancer and pool; days with an injected defect must show it."""

from __future__ import annotations

import asyncio
import copy
from dataclasses import replace

import pytest

from brassfall.balancer import Balancer
from brassfall.balancer.events import RequestArrived
from brassfall.balancer.model import FailRequest, RefuseRequest, SendAttempt, StartTimer
from brassfall.sidecar.body import Body
from brassfall.sidecar.core.attempt_runner import AttemptRunner
from brassfall.sidecar.core.driver import Driver
from brassfall.sidecar.core.request_lifecycle import RequestLifecycle
from brassfall.sidecar.core.request_table import RequestTable
from brassfall.sidecar.servers.pool import ConnectionPool
from tests.support.loopback import ScriptedBalancer
from tests.support.random_day import Day, play
from tests.support.random_day.clients import BodySource, ClientCall

SEEDS = range(300)
FAULTY_SEEDS = range(300)  # of these one at least shows each defect


@pytest.mark.parametrize("seed", SEEDS)
def test_a_random_day_keeps_the_rules(seed):
    breaches, trace = play(seed)
    assert not breaches, "\n".join([f"seed {seed}", *breaches, "", *trace])


# --- injected defects -----------------------------------------------------------------


def found(breach, distort=lambda raw: raw):
    """Return whether one of the days shows a breach."""
    return any(breach in line for seed in FAULTY_SEEDS for line in play(seed, distort)[0])


def distorted(**changes):
    """Let the program go by other settings than those that the oracle holds it to."""

    def distort(raw):
        made = copy.deepcopy(raw)
        for row in made["Profiles"]:
            row |= changes.get("classes", {})
        made["PolicyLimits"] |= changes.get("limits", {})
        made["Rules"] |= changes.get("rules", {})
        return made

    return distort


@pytest.mark.parametrize(
    ("changes", "breach"),
    [
        ({"classes": {"Semantics": "pure"}}, "an unsafe request sent again"),
        ({"classes": {"Semantics": "pure"}}, "refused though it may have run"),
        ({"classes": {"KeyTtl": 5000.0}}, "sent again past its window"),
        ({"classes": {"KeyTtl": 5000.0}}, "complete past its window"),
        ({"classes": {"Group": "all"}}, "sent again outside its group"),
        ({"limits": {"MaxAttempts": 9}}, "more attempts than allowed"),
        ({"rules": {"StopSendingWithin": 9000.0}}, "past the grace of a process that leaves"),
    ],
)
def test_a_program_that_goes_by_other_rules_is_found(changes, breach):
    assert found(breach, distorted(**changes))


def test_a_client_whose_leaving_is_not_reported_is_found(monkeypatch):
    monkeypatch.setattr(Driver, "client_disconnected", lambda self, request: None)
    assert found("written after its client had left")


def test_bytes_that_are_written_after_the_client_has_left_are_found(monkeypatch):
    monkeypatch.setattr(AttemptRunner, "drop_unwritten", lambda self, attempt: None)
    assert found("complete after its client had left")


def test_a_request_that_is_answered_twice_is_found(monkeypatch):
    end = RequestTable.end

    def keep_guard(self, request):
        request.deadline_guard = None  # so that it is not cancelled
        end(self, request)

    monkeypatch.setattr(RequestTable, "end", keep_guard)
    monkeypatch.setattr(
        RequestLifecycle, "fail_overdue", lambda self, request: request.call.send_failure(late=True)
    )
    assert found("a second final answer")


def test_a_second_copy_beside_the_first_is_found(monkeypatch):
    step = Balancer.step

    def twice(self, now, event):
        actions = list(step(self, now, event))
        if isinstance(event, RequestArrived):
            actions += [action for action in actions if isinstance(action, SendAttempt)]
        return actions

    monkeypatch.setattr(Balancer, "step", twice)
    assert found("two copies at once") and found("an unsafe request sent again")


def test_a_pool_that_knows_servers_by_name_alone_is_found(monkeypatch):
    update = ConnectionPool.update_servers

    def by_name(self, now, servers, *, complete):
        fresh = [entry for entry in servers.entries if entry.server not in self.servers]
        update(self, now, replace(servers, entries=fresh), complete=False)

    monkeypatch.setattr(ConnectionPool, "update_servers", by_name)
    assert found("sent to a process that was known to have left")


def test_a_request_that_is_never_released_is_found(monkeypatch):
    monkeypatch.setattr(RequestTable, "release_if_over", lambda self, request: None)
    assert found("driver's requests is")


def test_an_exception_that_the_driver_catches_is_found(monkeypatch):
    step = Balancer.step

    def faulty(self, now, event):
        if isinstance(event, RequestArrived):
            raise ValueError("a fault")
        return step(self, now, event)

    monkeypatch.setattr(Balancer, "step", faulty)
    assert found("a line in the log")


# --- what these days have found -------------------------------------------------------


@pytest.fixture
def day_of():
    """Makes the first day with a scripted balancer, and closes it at the end."""
    made = []

    def make(balancer):
        made.append(Day(0, balancer=balancer))
        return made[-1]

    yield make
    for day in made:
        day.loop.close()


def call_in(day, body=None, source=None):
    """A call of the first class that has not arrived yet."""
    row = day.settings.raw["Profiles"][0]
    return ClientCall(
        day.clients, 1, request_class=0, row=row, limits={}, budget=300.0, body=body, source=source
    )


def test_a_large_request_that_is_complete_after_its_deadline_is_failed_at_once(day_of):
    day = day_of(ScriptedBalancer(request=lambda now, arrival: []))
    source = BodySource()
    call = call_in(day, Body(source, b"x", 1), source)
    call.request = day.driver.accept_request(call, day.oracle.now)
    day.driver.answer_all_by(day.oracle.now - 1.0)
    call.body.end()
    day.driver.body_read(call.request, day.oracle.now)
    assert call.final == "failed" and day.driver.counts.awaiting_answer == 0


@pytest.mark.parametrize("answer", [lambda number: RefuseRequest(number, 0.0), FailRequest])
def test_a_request_that_a_timer_answers_is_released(day_of, answer):
    scripted = ScriptedBalancer(
        request=lambda now, arrival: [StartTimer(10.0, f"{arrival.request}")],
        timer=lambda now, token: [answer(int(token))],
    )
    day = day_of(scripted)
    call = call_in(day)
    day.driver.accept_request(call, day.oracle.now)
    day.loop.run_until_complete(asyncio.sleep(1.0))
    assert call.final and not any(day.driver.counts) and not day.driver.request_classes
