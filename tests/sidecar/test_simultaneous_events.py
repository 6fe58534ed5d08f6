"""Events in the same turn of the event loop or in the turns after a send.

Each request gets one answer and each attempt one outcome.
"""

from __future__ import annotations

import asyncio
import os

import pytest

from brassfall.balancer import Balancer
from brassfall.balancer.events import AttemptEnded
from brassfall.balancer.model import CancelAttempt, ListForm, Outcome
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.driver import Driver
from brassfall.sidecar.core.interfaces import Answer, ExchangeResult
from tests.support.balancer_records import leaked_counts
from tests.support.driver_stubs import RecordedCall, UpstreamsStub
from tests.support.loopback import (
    OK,
    App,
    ScriptedBalancer,
    Upstream,
    entry,
    failing,
    list_changes,
    loopback,
    never_cancels,
    nothing_left,
    running_until_idle,
    sidecar_config,
    until,
)


class OutcomeRecorder:
    """The real balancer, with a record of the attempts that have ended."""

    def __init__(self, balancer):
        self.balancer, self.ended = balancer, []

    @property
    def refusals(self):
        return self.balancer.refusals

    def step(self, now, event):
        if isinstance(event, AttemptEnded):
            self.ended.append(event.attempt)
        return self.balancer.step(now, event)


class AttemptRace:
    """A driver with the real balancer and one attempt in flight, and the events that may happen to it."""

    EVENTS = (
        "answer",
        "spoilt",
        "reset",
        "rules_changed",
        "starts",
        "expire",
        "overdue",
        "cancel",
        "gone",
        "window",
        "body_read",
    )

    def __init__(self, state, cancels, large=False):
        self.loop = asyncio.get_running_loop()
        limits = {"MaxAttempts": 3, "MayCancel": cancels, "ConnectTimeout": 250.0}
        config = sidecar_config(
            [Upstream(address=f"127.0.0.1:{port}") for port in (9, 10, 11)], PolicyLimits=limits
        )
        self.clock = Clock(self.loop)
        self.balancer = OutcomeRecorder(Balancer(self.clock.now(), config.settings, config.seed))
        self.driver = Driver(self.loop, self.clock, config, self.balancer)
        self.attempts = self.driver.request_lifecycle.attempts
        self.upstreams = UpstreamsStub(self.loop, state)
        self.driver.connect(self.upstreams, None, None)
        self.driver.endpoints_listed(ListForm.CONFIGURED, config.known_servers)
        self.call = RecordedCall(large)
        self.request = self.driver.accept_request(self.call, self.clock.now())
        self.attempt = self.request.attempts[0]
        self.exchange = self.upstreams.sent[0]
        self.client_left = False

    def trigger(self, event):
        getattr(self, event)()

    def answer(self):
        self.exchange.end(ExchangeResult(Outcome.OK, Answer([], b"")))

    def spoilt(self):
        self.exchange.end(ExchangeResult(Outcome.ERROR))

    def reset(self):
        self.exchange.end(ExchangeResult(Outcome.RESET))

    def rules_changed(self):
        self.loop.call_soon(self.exchange.end, ExchangeResult(Outcome.ABANDONED))

    def starts(self):
        """Start a large answer, which is complete one turn of the event loop later."""
        if not self.exchange.ended and self.exchange.observer is not None:
            self.exchange.observer.answer_started(Answer([], b"", None), None)
            self.loop.call_soon(self.exchange.end, ExchangeResult(Outcome.OK))

    def expire(self):
        self.attempts.expire(self.attempt)

    def overdue(self):
        self.driver.request_lifecycle.fail_overdue(self.request)

    def cancel(self):
        self.driver.perform(CancelAttempt(self.request.id, 0))

    def gone(self):
        self.client_left, self.sent_before_leaving = True, len(self.upstreams.sent)
        self.driver.client_disconnected(self.request)

    def window(self):
        self.attempts.drop_unwritten(self.attempt)

    def body_read(self):
        self.driver.body_read(self.request, self.clock.now())

    def check(self):
        """Check that there was one answer, one outcome for each attempt, and that everything is released."""
        finals = self.call.finals
        assert len(finals) == (0 if self.client_left and not finals else 1)
        assert sorted(self.balancer.ended) == list(range(len(self.request.attempts)))
        assert not any(self.driver.counts), self.driver.counts
        counts = leaked_counts(self.balancer.balancer)
        assert not any(counts.values()), counts
        timers = (self.attempt.timeout, self.attempt.key_window_timer, self.request.deadline_guard)
        assert all(timer is None or timer.cancelled() for timer in timers)
        if self.client_left:  # No attempt may start once the client has left
            assert len(self.upstreams.sent) <= self.sent_before_leaving


PAIRS = [(first, second) for first in AttemptRace.EVENTS for second in AttemptRace.EVENTS]


async def loop_turns(count=40):
    for _ in range(count):
        await asyncio.sleep(0)


@pytest.mark.parametrize("state", ["waits", "half", "written"])
@pytest.mark.parametrize("cancels", [True, False])
@loopback
async def test_two_events_in_one_turn_give_one_answer_and_one_outcome_per_attempt(state, cancels):
    """All pairs of events are tried in both orders, in the same turn and with one turn between them."""
    for first, second in PAIRS:
        for turns_between in (0, 1):
            race = AttemptRace(state, cancels)
            race.trigger(first)
            await loop_turns(turns_between)
            race.trigger(second)
            await loop_turns()
            if not race.request.answered or race.request.attempts_in_flight:
                race.answer()  # An attempt that is still in flight gets an answer
                await loop_turns()
            try:
                race.check()
            except AssertionError as error:
                error.add_note(f"{first}, {second}, {turns_between} turns between")
                raise


def open_descriptors():
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("event", ["gone", "cancel", "expire", "overdue", "window", "restart", "close_idle"])
@pytest.mark.parametrize("fresh", [True, False])
@loopback
async def test_an_event_in_any_turn_between_a_send_and_its_end_leaves_nothing_open(event, fresh):
    """This runs on real sockets, where opening, writing and reading each take turns of the event loop."""
    upstream = await Upstream([OK]).start()
    async with running_until_idle(
        upstream, balancer=ScriptedBalancer(outcome=failing), **never_cancels()
    ) as sidecar:
        driver, attempts = sidecar.driver, sidecar.driver.request_lifecycle.attempts
        await (await App.connect(sidecar.address)).ask()
        descriptors_before = open_descriptors()
        sent = asyncio.Event()
        send = sidecar.pool.send

        def recorded_send(*args):
            sent.set()
            return send(*args)

        sidecar.pool.send = recorded_send
        for turns_after in range(24):
            if fresh:
                sidecar.pool.close_idle("s0")
            sent.clear()
            app = await App.connect(sidecar.address)
            app.send()
            await sent.wait()
            (request,) = driver.requests
            await loop_turns(turns_after)
            match event:
                case "gone":
                    driver.client_disconnected(request)
                case "cancel":
                    driver.perform(CancelAttempt(request.id, len(request.attempts) - 1))
                case "expire":
                    attempts.expire(request.attempts[-1])
                case "overdue":
                    driver.request_lifecycle.fail_overdue(request)
                case "window":
                    attempts.drop_unwritten(request.attempts[-1])
                case "restart":
                    list_changes(sidecar, entry("s0", upstream.address, since_ms=1 + turns_after))
                case "close_idle":
                    sidecar.pool.close_idle("s0")
            await until(lambda: nothing_left(sidecar))
            if event != "gone":
                assert (await app.answer()).status in (200, 502, 503, 504)
            app.close()
        sidecar.pool.close_idle("s0")
        await until(lambda: open_descriptors() <= descriptors_before)
