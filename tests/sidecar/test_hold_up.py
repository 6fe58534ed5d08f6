"""A process that is held up for 0.15 s between reading its clock and writing.

The time left that it passes on to servers, the windows of idempotency keys and the grace of draining servers
allow for that."""

from __future__ import annotations

import asyncio
import re
import socket
import time
from dataclasses import dataclass

import pytest

from brassfall.balancer.model import Fail, ListForm, Outcome, Send, Timer
from brassfall.sidecar.core.request_lifecycle import DEADLINE_MARGIN_MS
from brassfall.sidecar.discovery.endpoint_list import parse_list
from tests.support.loopback import (
    OK,
    App,
    ManualClock,
    ScriptedBalancer,
    Upstream,
    break_off,
    entry,
    hang,
    listed,
    loopback,
    running,
    until,
)
from tests.support.sidecar_views import carry_out

HOLD_UP_MS = 150.0
SLACK_MS = 150.0  # of the time left that an attempt passes on
TIME_LEFT = re.compile(rb"X-Budget: (\d+)u\r\n")  # as the sidecar writes it, in us; clients write ms


@dataclass(frozen=True)
class Write:
    """The first bytes of an attempt: when they were really written, and the time left that they state."""

    at: float
    left_ms: float


class HoldUp(ManualClock):
    """Holds the process up before each attempt is written: its clock moves on, and no timer runs."""

    def __init__(self, monkeypatch, sidecar, app):
        """All connections of the process have the transport type of `app`'s."""
        super().__init__(sidecar)
        self.writes: list[Write] = []
        transport_type = type(app.writer.transport)
        write_at_once = transport_type.write

        def write(transport, data):
            if found := TIME_LEFT.search(bytes(data)):
                self.advance(HOLD_UP_MS)
                self.writes.append(Write(self.clock.now(), int(found[1]) / 1000.0))
            write_at_once(transport, data)

        monkeypatch.setattr(transport_type, "write", write)


def hedged(now, arrival):
    return [Send(arrival.request, "s0", 0.0), Send(arrival.request, "s1", 0.0)]


def hedged_later(now, arrival):
    return [Send(arrival.request, "s0", 0.0), Timer(80.0, f"{arrival.request}", arrival.request)]


def retry(now, number, hop, status, spent, last, report):
    return [] if last else [Send(number, "s1", 0.0)]


ATTEMPTS = {
    "the first attempt": {},
    "a hedged request": {"request": hedged},
    "a hedged request, later": {
        "request": hedged_later,
        "timer": lambda now, token: [Send(int(token), "s1", 0.0)],
    },
    "a retry": {"outcome": retry},
}


@pytest.mark.parametrize("budget_ms", [400, 4000])
@pytest.mark.parametrize("attempt", ATTEMPTS)
@loopback
async def test_an_attempt_passes_on_no_more_time_than_is_left(monkeypatch, attempt, budget_ms):
    first = await Upstream([break_off if attempt == "a retry" else hang]).start()
    second = await Upstream([OK]).start()
    balancer = ScriptedBalancer(**ATTEMPTS[attempt])
    async with running(first, second, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        hold_up = HoldUp(monkeypatch, sidecar, app)
        app.send(X_Budget=f"{budget_ms}m")
        await until(lambda: len(hold_up.writes) == (1 if attempt == "the first attempt" else 2))
        ((arrival,),) = balancer.named("request")
        deadline = arrival.give_up_at + DEADLINE_MARGIN_MS
        for write in hold_up.writes:
            assert 0.0 < write.left_ms <= max(0.0, deadline - write.at) + SLACK_MS
        app.close()


@pytest.mark.parametrize("before_ms", [400.0, 160.0, 140.0, 60.0, 25.0])
@loopback
async def test_a_retry_under_a_key_is_written_within_its_window_or_not_at_all(monkeypatch, before_ms):
    """It is decided on `before_ms` before the end of the window."""
    window_ms = 3000.0
    ends = []

    def retry_late(now, number, hop, status, spent, last, report):
        if last or hop:
            return [] if last else [Fail(number)]
        hold_up.advance(ends[0] - before_ms - now)
        return [Send(number, "s1", 0.0, ends[0])]

    def first(now, arrival):
        ends.append(now + window_ms)
        return [Send(arrival.request, "s0", 0.0)]

    upstreams = await Upstream([break_off]).start(), await Upstream([OK]).start()
    async with running(*upstreams, balancer=ScriptedBalancer(request=first, outcome=retry_late)) as sidecar:
        app = await App.connect(sidecar.address)
        hold_up = HoldUp(monkeypatch, sidecar, app)
        app.send("POST", "/book")
        answer = await app.answer()
        app.close()
    assert all(write.at < ends[0] for write in hold_up.writes)
    written = before_ms > HOLD_UP_MS
    assert len(hold_up.writes) == 1 + written
    assert answer.start.split(" ")[1] == ("200" if written else "502")


@pytest.mark.parametrize("before_ms", [400.0, 160.0, 140.0, 60.0])
@loopback
async def test_no_attempt_begins_past_the_grace_of_a_draining_server(monkeypatch, before_ms):
    """Its connection comes up `before_ms` before the end of the grace."""
    grace_ms, gate, loop = 3000.0, asyncio.Event(), asyncio.get_running_loop()
    connect = loop.create_connection

    async def late(*args, **kwargs):
        await gate.wait()
        return await connect(*args, **kwargs)

    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(
        outcome=lambda now, number, hop, status, spent, last, report: [] if last else [Fail(number)]
    )
    async with running(upstream, balancer=balancer, Rules={"StopSendingWithin": grace_ms}) as sidecar:
        app = await App.connect(sidecar.address)
        hold_up = HoldUp(monkeypatch, sidecar, app)
        monkeypatch.setattr(loop, "create_connection", late)
        app.send()
        await until(lambda: balancer.named("request"))
        row = entry("s0", upstream.address, status="leaving")
        changes = parse_list(listed(42, row, snapshot=False), sidecar.configuration.names)
        ends = hold_up.clock.now() + grace_ms
        sidecar.driver.endpoints_listed(ListForm.CHANGES, changes)
        hold_up.advance(ends - before_ms - hold_up.clock.now())
        gate.set()
        answer = await app.answer()
        app.close()
    assert all(write.at <= ends for write in hold_up.writes)
    assert answer.start.split(" ")[1] == ("200" if before_ms > HOLD_UP_MS else "502")


@pytest.mark.parametrize("late", ["a retry", "a hedged request"])
@loopback
async def test_no_attempt_begins_for_a_client_that_closed_while_the_process_stood_still(late):
    """The end of its connection is unread when the next attempt is due on a ready connection.

    The loop runs what is due before it reads."""
    first, second = await Upstream([hang]).start(), await Upstream([OK]).start()
    targets = iter(["s1", "s0"])
    balancer = ScriptedBalancer(request=lambda now, arrival: [Send(arrival.request, next(targets), 0.0)])
    async with running(first, second, balancer=balancer) as sidecar:
        await (await App.connect(sidecar.address)).ask()  # a connection to s1 is idle from now on
        app = await App.connect(sidecar.address)
        app.send()
        await until(lambda: first.seen)
        await asyncio.sleep(0.03)
        number = balancer.named("request")[1][0].request
        app.writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)  # at once, not in the next turn
        time.sleep(0.15)
        if late == "a retry":
            first.writers[0].transport.abort()
        carry_out(sidecar, balancer, Send(number, "s1", 0.0))
        await until(lambda: balancer.named("client_gone"))
        await asyncio.sleep(0.05)
        assert len(second.seen) == 1
        assert [number, 1, Outcome.ABANDONED] in [row[:3] for row in balancer.named("outcome")]
