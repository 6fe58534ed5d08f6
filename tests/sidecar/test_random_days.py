"""Randomized scenarios for the driver, the balancer and the pool, and checks that injected defects are found.

Each scenario is called a day, and follows from its seed.
"""

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
FAULTY_SEEDS = range(300)  # seeds of which at least one shows each injected defect


@pytest.mark.parametrize("seed", SEEDS)
def test_a_random_day_breaches_no_rule_of_the_protocol(seed):
    breaches, trace = play(seed)
    assert not breaches, "\n".join([f"seed {seed}", *breaches, "", *trace])


# --- injected defects -----------------------------------------------------------------


def breach_is_found(breach, distort=lambda raw: raw):
    """Return whether a day of `FAULTY_SEEDS` breaches the protocol in a way whose text contains `breach`."""
    return any(breach in line for seed in FAULTY_SEEDS for line in play(seed, distort)[0])


def distorted(**changes):
    """Return a function that changes the program's settings, while the oracle keeps the original ones."""

    def distort(raw):
        changed = copy.deepcopy(raw)
        for row in changed["Profiles"]:
            row |= changes.get("classes", {})
        changed["PolicyLimits"] |= changes.get("limits", {})
        changed["Rules"] |= changes.get("rules", {})
        return changed

    return distort


@pytest.mark.parametrize(
    ("changes", "breach"),
    [
        ({"classes": {"Semantics": "pure"}}, "an unsafe request sent again"),
        ({"classes": {"Semantics": "pure"}}, "refused though it may have run"),
        ({"classes": {"KeyTtl": 5000.0}}, "sent again after its key window"),
        ({"classes": {"KeyTtl": 5000.0}}, "written completely after its key window"),
        ({"classes": {"Group": "all"}}, "sent again outside its group"),
        ({"limits": {"MaxAttempts": 9}}, "more attempts than allowed"),
        ({"rules": {"StopSendingWithin": 9000.0}}, "after the grace period of a leaving process"),
    ],
)
def test_a_program_with_other_settings_is_found(changes, breach):
    assert breach_is_found(breach, distorted(**changes))


def test_an_unreported_departure_of_a_client_is_found(monkeypatch):
    monkeypatch.setattr(Driver, "client_disconnected", lambda self, request: None)
    assert breach_is_found("written after its client had left")


def test_writing_after_the_client_has_left_is_found(monkeypatch):
    monkeypatch.setattr(AttemptRunner, "drop_unwritten", lambda self, attempt: None)
    assert breach_is_found("written completely after its client had left")


def test_a_request_that_is_answered_twice_is_found(monkeypatch):
    end = RequestTable.end

    def keep_guard(self, request):
        request.deadline_guard = None  # prevents `end` from cancelling the guard timer
        end(self, request)

    monkeypatch.setattr(RequestTable, "end", keep_guard)
    monkeypatch.setattr(
        RequestLifecycle, "fail_overdue", lambda self, request: request.call.send_failure(late=True)
    )
    assert breach_is_found("a second final answer")


def test_a_second_concurrent_attempt_is_found(monkeypatch):
    step = Balancer.step

    def send_twice(self, now, event):
        actions = list(step(self, now, event))
        if isinstance(event, RequestArrived):
            actions += [action for action in actions if isinstance(action, SendAttempt)]
        return actions

    monkeypatch.setattr(Balancer, "step", send_twice)
    assert breach_is_found("two concurrent attempts") and breach_is_found("an unsafe request sent again")


def test_a_pool_that_identifies_servers_by_name_only_is_found(monkeypatch):
    update = ConnectionPool.update_servers

    def update_by_name(self, now, servers, *, complete):
        new_entries = [entry for entry in servers.entries if entry.server not in self.servers]
        update(self, now, replace(servers, entries=new_entries), complete=False)

    monkeypatch.setattr(ConnectionPool, "update_servers", update_by_name)
    assert breach_is_found("sent to a process that was known to have left")


def test_a_request_that_is_never_released_is_found(monkeypatch):
    monkeypatch.setattr(RequestTable, "release_if_over", lambda self, request: None)
    assert breach_is_found("driver's requests is")


def test_an_exception_that_the_driver_catches_and_logs_is_found(monkeypatch):
    step = Balancer.step

    def raise_on_request(self, now, event):
        if isinstance(event, RequestArrived):
            raise ValueError("a fault")
        return step(self, now, event)

    monkeypatch.setattr(Balancer, "step", raise_on_request)
    assert breach_is_found("an error in the log")


# --- regressions: faults that random days have found -------------------------------------------------------


@pytest.fixture
def day_with_balancer():
    """Return a function that creates the day of seed 0 with a given balancer; closes its loop at the end."""
    days = []

    def create_day(balancer):
        days.append(Day(0, balancer=balancer))
        return days[-1]

    yield create_day
    for day in days:
        day.loop.close()


def unsent_call(day, body=None, source=None):
    """Return a request of the first class that has not been passed to the driver yet."""
    row = day.settings.raw["Profiles"][0]
    return ClientCall(
        day.clients, 1, request_class=0, row=row, limits={}, budget=300.0, body=body, source=source
    )


def test_a_large_request_that_is_complete_after_its_deadline_fails_at_once(day_with_balancer):
    day = day_with_balancer(ScriptedBalancer(request=lambda now, arrival: []))
    source = BodySource(lambda: day.oracle.now)
    call = unsent_call(day, Body(source, b"x", 1), source)
    call.request = day.driver.accept_request(call, day.oracle.now)
    day.driver.answer_all_by(day.oracle.now - 1.0)
    call.body.end()
    day.driver.body_read(call.request, day.oracle.now)
    assert call.final == "failed" and day.driver.counts.awaiting_answer == 0


@pytest.mark.parametrize("answer", [lambda number: RefuseRequest(number, 0.0), FailRequest])
def test_a_request_that_a_timer_answers_is_released(day_with_balancer, answer):
    scripted = ScriptedBalancer(
        request=lambda now, arrival: [StartTimer(10.0, f"{arrival.request}")],
        timer=lambda now, token: [answer(int(token))],
    )
    day = day_with_balancer(scripted)
    call = unsent_call(day)
    day.driver.accept_request(call, day.oracle.now)
    day.loop.run_until_complete(asyncio.sleep(1.0))
    assert call.final and not any(day.driver.counts) and not day.driver.request_classes
