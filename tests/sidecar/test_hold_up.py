"""A process that is held up for 0.15 s between reading its clock and writing: what it tells a server of the
time left, the windows of idempotency keys and the grace of servers that drain allow for that."""

from __future__ import annotations

import asyncio
import re
import socket
import time
from asyncio import selector_events
from dataclasses import dataclass

import pytest

from brassfall.balancer.model import Fail, ListForm, Outcome, Send, Timer
from brassfall.sidecar.core.request_lifecycle import DEADLINE_MARGIN_MS
from brassfall.sidecar.discovery.endpoint_list import parse_list
from tests.support.loopback import (
    OK,
    App,
    Scripted,
    Upstream,
    break_off,
    entry,
    hang,
    listed,
    loopback,
    running,
    until,
)

HOLD_UP_MS = 150.0
SLACK_MS = 150.0  # of the time that an attempt tells
TOLD = re.compile(rb"X-Budget: (\d+)u\r\n")  # as the sidecar writes it; clients tell milliseconds


@dataclass(frozen=True)
class Write:
    """The first bytes of an attempt: when they were really written, and the time left that they tell."""

    at: float
    left_ms: float


class HeldUp:
    """Holds the process up before each attempt is written, by its clock: no timer runs for it."""

    def __init__(self, monkeypatch, sidecar):
        self.clock = sidecar.driver.clock
        self.writes: list[Write] = []
        self._write = selector_events._SelectorSocketTransport.write
        held = self

        def write(self, data):
            if found := TOLD.search(bytes(data)):
                held.on(HOLD_UP_MS)
                held.writes.append(Write(held.clock.now(), int(found[1]) / 1000.0))
            held._write(self, data)

        monkeypatch.setattr(selector_events._SelectorSocketTransport, "write", write)

    def on(self, ms):
        self.clock.offset_ms += ms


def hedged(now, arrival):
    return [Send(arrival.request, "s0", 0.0), Send(arrival.request, "s1", 0.0)]


def hedged_later(now, arrival):
    return [Send(arrival.request, "s0", 0.0), Timer(80.0, f"{arrival.request}", arrival.request)]


def again(now, number, hop, status, spent, last, report):
    return [] if last else [Send(number, "s1", 0.0)]


WAYS = {
    "the first attempt": {},
    "a hedged request": {"request": hedged},
    "a hedged request, later": {
        "request": hedged_later,
        "timer": lambda now, token: [Send(int(token), "s1", 0.0)],
    },
    "a retry": {"outcome": again},
}


@pytest.mark.parametrize("budget_ms", [400, 4000])
@pytest.mark.parametrize("way", WAYS)
@loopback
async def test_an_attempt_tells_no_more_time_than_is_left(monkeypatch, way, budget_ms):
    first = await Upstream([break_off if way == "a retry" else hang]).start()
    second = await Upstream([OK]).start()
    module = Scripted(**WAYS[way])
    async with running(first, second, balancer=module) as sidecar:
        held = HeldUp(monkeypatch, sidecar)
        app = await App.connect(sidecar.address)
        app.send(X_Budget=f"{budget_ms}m")
        await until(lambda: len(held.writes) == (1 if way == "the first attempt" else 2))
        ((arrival,),) = module.named("request")
        deadline = arrival.give_up_at + DEADLINE_MARGIN_MS
        for write in held.writes:
            assert 0.0 < write.left_ms <= max(0.0, deadline - write.at) + SLACK_MS
        app.close()


@pytest.mark.parametrize("before_ms", [400.0, 160.0, 140.0, 60.0, 25.0])
@loopback
async def test_a_retry_under_a_key_is_written_within_its_window_or_not_at_all(monkeypatch, before_ms):
    """So long before the end of the window it is decided on."""
    window_ms = 3000.0
    ends = []

    def retry(now, number, hop, status, spent, last, report):
        if last or hop:
            return [] if last else [Fail(number)]
        held.on(ends[0] - before_ms - now)
        return [Send(number, "s1", 0.0, ends[0])]

    def first(now, arrival):
        ends.append(now + window_ms)
        return [Send(arrival.request, "s0", 0.0)]

    upstreams = await Upstream([break_off]).start(), await Upstream([OK]).start()
    async with running(*upstreams, balancer=Scripted(request=first, outcome=retry)) as sidecar:
        held = HeldUp(monkeypatch, sidecar)
        app = await App.connect(sidecar.address)
        app.send("POST", "/book")
        answer = await app.answer()
        app.close()
    assert all(write.at < ends[0] for write in held.writes)
    written = before_ms > HOLD_UP_MS
    assert len(held.writes) == 1 + written
    assert answer.start.split(" ")[1] == ("200" if written else "502")


@pytest.mark.parametrize("before_ms", [400.0, 160.0, 140.0, 60.0])
@loopback
async def test_nothing_is_begun_past_the_grace_of_a_server_that_drains(monkeypatch, before_ms):
    """Its connection comes up so long before the end of the grace."""
    grace_ms, gate, loop = 3000.0, asyncio.Event(), asyncio.get_running_loop()
    connect = loop.create_connection

    async def late(*args, **kwargs):
        await gate.wait()
        return await connect(*args, **kwargs)

    upstream = await Upstream([OK]).start()
    module = Scripted(
        outcome=lambda now, number, hop, status, spent, last, report: [] if last else [Fail(number)]
    )
    async with running(upstream, balancer=module, Rules={"StopSendingWithin": grace_ms}) as sidecar:
        held = HeldUp(monkeypatch, sidecar)
        app = await App.connect(sidecar.address)
        monkeypatch.setattr(loop, "create_connection", late)
        app.send()
        await until(lambda: module.named("request"))
        row = entry("s0", upstream.address, status="leaving")
        news = parse_list(listed(42, row, snapshot=False), sidecar.running.names)
        ends = held.clock.now() + grace_ms
        sidecar.driver.endpoints_listed(ListForm.CHANGES, news)
        held.on(ends - before_ms - held.clock.now())
        gate.set()
        answer = await app.answer()
        app.close()
    assert all(write.at <= ends for write in held.writes)
    assert answer.start.split(" ")[1] == ("200" if before_ms > HOLD_UP_MS else "502")


@pytest.mark.parametrize("late", ["a retry", "a hedged request"])
@loopback
async def test_no_attempt_begins_for_a_client_that_closed_while_the_process_stood_still(late):
    """Its end lies unread when the next attempt is due on a connection that is ready: the loop runs what is
    due before it reads."""
    first, second = await Upstream([hang]).start(), await Upstream([OK]).start()
    targets = iter(["s1", "s0"])
    module = Scripted(request=lambda now, arrival: [Send(arrival.request, next(targets), 0.0)])
    async with running(first, second, balancer=module) as sidecar:
        await (await App.connect(sidecar.address)).ask()  # a connection to s1 is idle from now on
        app = await App.connect(sidecar.address)
        app.send()
        await until(lambda: first.seen)
        await asyncio.sleep(0.03)
        number = module.named("request")[1][0].request
        app.writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)  # at once, not in the next turn
        time.sleep(0.15)
        if late == "a retry":
            first.writers[0].transport.abort()
        sidecar.driver.perform(Send(number, "s1", 0.0))
        await until(lambda: module.named("client_gone"))
        await asyncio.sleep(0.05)
        assert len(second.seen) == 1
        assert [number, 1, Outcome.ABANDONED] in [row[:3] for row in module.named("outcome")]
