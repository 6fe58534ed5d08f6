"""Attempts are written within the window of their idempotency key and before their deadline, or never."""

from __future__ import annotations

import contextlib

import pytest

from brassfall.balancer.model import Outcome, SendAttempt
from brassfall.sidecar.core.attempt_runner import KEY_MARGIN_MS
from tests.support.loopback import (
    OK,
    SETTINGS,
    App,
    Gate,
    ManualClock,
    ScriptedBalancer,
    Upstream,
    Waiting,
    break_off,
    failing,
    hang,
    loopback,
    never_cancels,
    request,
    request_that_waits,
    running_until_idle,
    small_buffers,
    start_request,
    until,
)

LARGE = b"0123456789abcdef" * 16384


def keyed(**changes):
    """Return settings with a keyed class, whose requests may be retried at any server of a zone."""
    profile = {**SETTINGS["Profiles"][1], **changes}
    return {**never_cancels(), "Profiles": [SETTINGS["Profiles"][0], profile]}


@contextlib.asynccontextmanager
async def waiting_retry(monkeypatch, **changes):
    """Give a keyed request whose first attempt was reset and whose retry waits for its connection."""
    servers = [await Upstream([break_off]).start() for _ in range(2)]
    async with running_until_idle(*servers, **keyed(**changes)) as sidecar:
        gate = Gate(monkeypatch, servers, free=1)
        app = await start_request(sidecar, "/book", "POST")
        await until(lambda: gate.waiting == 2)
        yield Waiting(sidecar, servers, gate, app)


def request_count(servers):
    """Return how many requests the servers have received."""
    return sum(len(server.seen) for server in servers)


@loopback
async def test_a_retry_whose_connection_opens_after_the_key_window_is_not_written(monkeypatch):
    async with waiting_retry(monkeypatch) as waiting:
        # The timer of the limit has not fired yet.
        ManualClock(waiting.sidecar).advance(1200.0 - KEY_MARGIN_MS)
        waiting.gate.open.set()
        assert (await waiting.app.answer()).status == 502
        assert request_count(waiting.upstream) == 1


@loopback
async def test_a_retry_without_a_connection_at_the_end_of_its_key_window_ends_with_the_final_answer(
    monkeypatch,
):
    async with waiting_retry(monkeypatch, KeyTtl=700.0) as waiting:
        assert (await waiting.app.answer()).status == 502  # The retry still waits for its connection
        assert not waiting.gate.open.is_set()
        waiting.gate.open.set()
        await until(lambda: any(server.idle for server in waiting.sidecar.pool.servers.values()))
        assert request_count(waiting.upstream) == 1


@loopback
async def test_a_retry_whose_connection_opens_late_is_written_within_the_key_window(monkeypatch):
    async with waiting_retry(monkeypatch, KeyTtl=60_000.0) as waiting:
        for server in waiting.upstream:
            server.replies = [OK]
        waiting.gate.open.set()
        assert (await waiting.app.answer()).body == b"done"
        assert request_count(waiting.upstream) == 2


@pytest.mark.parametrize("part", [LARGE[:100_000], LARGE])
@loopback
async def test_a_body_that_is_incomplete_at_the_end_of_the_key_window_is_broken_off(part):
    """The end of the body is either not sent by the client yet, or buffered in this process."""
    upstream = await Upstream([hang]).start()
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [SendAttempt(arrival.request, "s0", 0.0, now + KEY_MARGIN_MS + 130.0)],
        outcome=failing,
    )
    async with running_until_idle(upstream, balancer=balancer, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(request("POST", "/book", LARGE)[: -len(LARGE)] + part[:-1])
        assert (await app.answer()).status == 502
        # The server never runs a part of a request.
        assert balancer.outcomes() == [(0, Outcome.ABANDONED, False)]
        assert upstream.seen == []
        app.close()


@loopback
async def test_a_part_of_a_body_that_arrives_after_the_key_window_is_not_written():
    upstream = await Upstream([hang]).start()
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [SendAttempt(arrival.request, "s0", 0.0, now + 9000.0)],
        outcome=failing,
    )
    async with running_until_idle(upstream, balancer=balancer, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        message = request("POST", "/book", LARGE)
        app.writer.write(message[:-1])
        await until(lambda: balancer.named("body_gone") and upstream.writers)
        ManualClock(sidecar).advance(9000.0)  # The timer of the limit has not fired yet
        app.writer.write(message[-1:])
        assert (await app.answer()).status == 502
        assert balancer.outcomes() == [(0, Outcome.ABANDONED, False)]
        assert upstream.seen == []


@loopback
async def test_a_retry_still_in_the_write_buffer_at_the_end_of_its_key_window_is_never_sent(monkeypatch):
    """The retry is buffered in this process until its key window ends, and is dropped with its connection."""
    upstream = await Upstream([OK, hang]).start()
    windows = iter([float("inf"), KEY_MARGIN_MS + 80.0])
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [SendAttempt(arrival.request, "s0", 0.0, now + next(windows))],
        outcome=failing,
    )
    async with running_until_idle(upstream, balancer=balancer, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        (connection,) = sidecar.pool.connections
        small_buffers(connection.transport, upstream.writers[0].transport)
        upstream.writers[0].transport.pause_reading()
        connection.transport.write(b"x" * 4_000_000)  # Fills the kernel's buffers
        assert connection.transport.get_write_buffer_size()
        assert (await app.ask("POST", "/book", b"body")).status == 502
        assert balancer.outcomes()[1:] == [(0, Outcome.ABANDONED, False)]
        upstream.writers[0].transport.resume_reading()


@loopback
async def test_a_request_is_not_written_after_its_deadline(monkeypatch):
    balancer = ScriptedBalancer(outcome=failing)
    async with request_that_waits(monkeypatch, balancer) as waiting:
        ManualClock(waiting.sidecar).advance(4000.0)  # The timer of the limit has not fired yet
        waiting.gate.open.set()
        assert (await waiting.app.answer()).status == 504
        assert balancer.outcomes() == [(0, Outcome.ABANDONED, False)]
        assert waiting.upstream.seen == []
