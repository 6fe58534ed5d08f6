"""A process that pauses for 0.15 s between reading its clock and writing to a socket.

The remaining time that it passes on to servers, the windows of idempotency keys and the grace periods of
draining servers allow for such a pause.
"""

from __future__ import annotations

import asyncio
import re
import socket
import time
from dataclasses import dataclass

import pytest

from brassfall.balancer.model import FailRequest, ListForm, Outcome, SendAttempt, StartTimer
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

PAUSE_MS = 150.0
SLACK_MS = 150.0  # Time by which the remaining time that is passed on may be too long, in milliseconds
# Header with the remaining time as the sidecar writes it, in microseconds; clients write milliseconds.
TIME_LEFT = re.compile(rb"X-Budget: (\d+)u\r\n")


@dataclass(frozen=True)
class Write:
    """A write of an attempt's first bytes: its time and the remaining time that the bytes state."""

    at: float
    left_ms: float


class PauseBeforeWrites(ManualClock):
    """Simulates a process pause before each write of an attempt: the clock advances, no timer fires."""

    def __init__(self, monkeypatch, sidecar, app):
        """Patch the transport type of `app`, which all connections of the process use."""
        super().__init__(sidecar)
        self.writes: list[Write] = []
        transport_type = type(app.writer.transport)
        original_write = transport_type.write

        def write(transport, data):
            if found := TIME_LEFT.search(bytes(data)):
                self.advance(PAUSE_MS)
                self.writes.append(Write(self.clock.now(), int(found[1]) / 1000.0))
            original_write(transport, data)

        monkeypatch.setattr(transport_type, "write", write)


def hedged(now, arrival):
    return [SendAttempt(arrival.request, "s0", 0.0), SendAttempt(arrival.request, "s1", 0.0)]


def hedged_later(now, arrival):
    return [SendAttempt(arrival.request, "s0", 0.0), StartTimer(80.0, f"{arrival.request}", arrival.request)]


def retry(now, number, hop, status, spent, last, report):
    return [] if last else [SendAttempt(number, "s1", 0.0)]


ATTEMPTS = {
    "the first attempt": {},
    "a hedged request": {"request": hedged},
    "a hedged request, later": {
        "request": hedged_later,
        "timer": lambda now, token: [SendAttempt(int(token), "s1", 0.0)],
    },
    "a retry": {"outcome": retry},
}


@pytest.mark.parametrize("budget_ms", [400, 4000])
@pytest.mark.parametrize("attempt", ATTEMPTS)
@loopback
async def test_an_attempt_passes_on_at_most_the_remaining_time(monkeypatch, attempt, budget_ms):
    first = await Upstream([break_off if attempt == "a retry" else hang]).start()
    second = await Upstream([OK]).start()
    balancer = ScriptedBalancer(**ATTEMPTS[attempt])
    async with running(first, second, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        pause = PauseBeforeWrites(monkeypatch, sidecar, app)
        app.send(X_Budget=f"{budget_ms}m")
        await until(lambda: len(pause.writes) == (1 if attempt == "the first attempt" else 2))
        ((arrival,),) = balancer.named("request")
        deadline = arrival.give_up_at + DEADLINE_MARGIN_MS
        for write in pause.writes:
            assert 0.0 < write.left_ms <= max(0.0, deadline - write.at) + SLACK_MS
        app.close()


@pytest.mark.parametrize("before_ms", [400.0, 160.0, 140.0, 60.0, 25.0])
@loopback
async def test_a_retry_is_written_within_its_key_window_or_not_at_all(monkeypatch, before_ms):
    """The retry is decided `before_ms` before the end of the window."""
    window_ms = 3000.0
    window_ends = []

    def retry_late(now, number, hop, status, spent, last, report):
        if last or hop:
            return [] if last else [FailRequest(number)]
        pause.advance(window_ends[0] - before_ms - now)
        return [SendAttempt(number, "s1", 0.0, window_ends[0])]

    def send_first(now, arrival):
        window_ends.append(now + window_ms)
        return [SendAttempt(arrival.request, "s0", 0.0)]

    upstreams = await Upstream([break_off]).start(), await Upstream([OK]).start()
    async with running(
        *upstreams, balancer=ScriptedBalancer(request=send_first, outcome=retry_late)
    ) as sidecar:
        app = await App.connect(sidecar.address)
        pause = PauseBeforeWrites(monkeypatch, sidecar, app)
        app.send("POST", "/book")
        answer = await app.answer()
        app.close()
    assert all(write.at < window_ends[0] for write in pause.writes)
    written = before_ms > PAUSE_MS
    assert len(pause.writes) == 1 + written
    assert answer.start.split(" ")[1] == ("200" if written else "502")


@pytest.mark.parametrize("before_ms", [400.0, 160.0, 140.0, 60.0])
@loopback
async def test_no_attempt_is_written_after_the_grace_period_of_a_draining_server(monkeypatch, before_ms):
    """The connection of the attempt opens `before_ms` before the end of the grace period."""
    grace_ms, gate, loop = 3000.0, asyncio.Event(), asyncio.get_running_loop()
    connect = loop.create_connection

    async def connect_late(*args, **kwargs):
        await gate.wait()
        return await connect(*args, **kwargs)

    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(
        outcome=lambda now, number, hop, status, spent, last, report: [] if last else [FailRequest(number)]
    )
    async with running(upstream, balancer=balancer, Rules={"StopSendingWithin": grace_ms}) as sidecar:
        app = await App.connect(sidecar.address)
        pause = PauseBeforeWrites(monkeypatch, sidecar, app)
        monkeypatch.setattr(loop, "create_connection", connect_late)
        app.send()
        await until(lambda: balancer.named("request"))
        row = entry("s0", upstream.address, status="leaving")
        changes = parse_list(listed(42, row, snapshot=False), sidecar.configuration.names)
        grace_end = pause.clock.now() + grace_ms
        sidecar.driver.endpoints_listed(ListForm.CHANGES, changes)
        pause.advance(grace_end - before_ms - pause.clock.now())
        gate.set()
        answer = await app.answer()
        app.close()
    assert all(write.at <= grace_end for write in pause.writes)
    assert answer.start.split(" ")[1] == ("200" if before_ms > PAUSE_MS else "502")


@pytest.mark.parametrize("kind", ["a retry", "a hedged request"])
@loopback
async def test_no_attempt_is_written_for_a_client_that_disconnected_during_a_pause_of_the_process(kind):
    """The event loop has not read the end of the client's connection when the next attempt is due.

    The loop runs due callbacks before it reads from sockets, and the next attempt uses an idle connection.
    """
    first, second = await Upstream([hang]).start(), await Upstream([OK]).start()
    targets = iter(["s1", "s0"])
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [SendAttempt(arrival.request, next(targets), 0.0)]
    )
    async with running(first, second, balancer=balancer) as sidecar:
        await (await App.connect(sidecar.address)).ask()  # From now on a connection to s1 is idle
        app = await App.connect(sidecar.address)
        app.send()
        await until(lambda: first.seen)
        await asyncio.sleep(0.03)
        number = balancer.named("request")[1][0].request
        # `shutdown` closes the connection at once, not in the next turn of the event loop.
        app.writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        time.sleep(0.15)
        if kind == "a retry":
            first.writers[0].transport.abort()
        carry_out(sidecar, balancer, SendAttempt(number, "s1", 0.0))
        await until(lambda: balancer.named("client_gone"))
        await asyncio.sleep(0.05)
        assert len(second.seen) == 1
        assert [number, 1, Outcome.ABANDONED] in [row[:3] for row in balancer.named("outcome")]
