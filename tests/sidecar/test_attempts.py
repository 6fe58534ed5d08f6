"""Attempts on real sockets: the requests that servers get, the outcomes, and the release of resources."""

from __future__ import annotations

import asyncio
import gc

import pytest

from brassfall.balancer.events import TimerDue
from brassfall.balancer.model import (
    CancelAttempt,
    CheckServerHealth,
    Outcome,
    RefuseRequest,
    SendAttempt,
    StartTimer,
)
from brassfall.sidecar.clients import client_request, request_message
from brassfall.sidecar.core.attempts import Attempt, Request
from brassfall.sidecar.servers.exchange import Exchange
from tests.support.balancer_records import shed_probability
from tests.support.loopback import (
    OK,
    App,
    ScriptedBalancer,
    Upstream,
    break_off,
    failing,
    hang,
    loopback,
    running,
    until,
)

ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
OVERDUE = b"HTTP/1.1 504 Gateway Timeout\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
UNMARKED_503 = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
ENDED_BY_CLOSE = b"HTTP/1.1 200 OK\r\n\r\nuntil the end"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


async def close_within_body(reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf")


async def close_after_body(reader, writer):
    writer.write(ENDED_BY_CLOSE)


@pytest.mark.parametrize(
    ("reply", "outcome", "status"),
    [
        (OK, Outcome.OK, "200"),
        (INTERIM + OK, Outcome.OK, "200"),
        (close_after_body, Outcome.OK, "200"),
        (ERROR, Outcome.ERROR, "502"),
        (UNMARKED_503, Outcome.ERROR, "502"),
        (FULL, Outcome.REJECTED, "502"),
        (OVERDUE, Outcome.REJECTED, "502"),
        (break_off, Outcome.RESET, "502"),
        (close_within_body, Outcome.RESET, "502"),
        (b"no HTTP at all\r\n\r\n", Outcome.RESET, "502"),
    ],
)
@loopback
async def test_each_kind_of_answer_gives_its_outcome_and_status(reply, outcome, status):
    async def reply_then_close(reader, writer):
        await reply(reader, writer)

    upstream = await Upstream([reply_then_close if callable(reply) else reply]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        answer = await app.ask()
        assert answer.start.split(" ")[1] == status
        await until(lambda: balancer.outcomes() == [(0, outcome, outcome == Outcome.OK)])


@pytest.mark.parametrize(
    "extra_bytes",
    [
        OK.replace(b"done", b"evil"),
        ERROR,
        b"no HTTP",
        b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70000,
    ],
)
@loopback
async def test_bytes_after_an_answer_are_ignored_and_the_connection_is_not_reused(extra_bytes):
    upstream = await Upstream([OK + extra_bytes, OK]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        for _ in range(2):
            answer = await app.ask()
            assert (answer.start, answer.body) == ("HTTP/1.1 200 OK", b"done")
        assert [message.connection for message in upstream.seen] == [0, 1]
        assert balancer.outcomes() == [(0, Outcome.OK, True)] * 2


@loopback
async def test_request_and_answer_are_forwarded_unchanged_apart_from_the_remaining_budget():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        answer = await app.ask("POST", "/book/1?a=b", b"\x00body", Cookie="user=u1")
    (seen,) = upstream.seen
    assert seen.start == "POST /book/1?a=b HTTP/1.1"
    assert (seen.body, answer.body) == (b"\x00body", b"done")
    assert (seen.headers["x-call-id"], seen.headers["idempotency-key"]) == ("9b1f03aa5c7e2d41", "k1")
    assert 0 < int(seen.headers["x-budget"].removesuffix("u")) < 4_000_000


@loopback
async def test_a_refused_connection_gives_the_outcome_connect_failed():
    upstream = await Upstream().start()
    balancer = ScriptedBalancer(outcome=failing)
    async with running(upstream, balancer=balancer) as sidecar:
        upstream.stop()
        await (await App.connect(sidecar.address)).ask()
        assert balancer.outcomes() == [(0, Outcome.CONNECT_FAILED, False)]


@loopback
async def test_an_attempt_cancelled_while_its_connection_opens_is_not_written():
    upstream = await Upstream().start()
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [
            SendAttempt(arrival.request, "s0", 0.0),
            CancelAttempt(arrival.request, 0),
        ],
        outcome=failing,
    )
    async with running(upstream, balancer=balancer) as sidecar:
        answer = await (await App.connect(sidecar.address)).ask()
        assert answer.status == 502
        assert balancer.outcomes() == [(0, Outcome.CANCELLED, False)]
        await asyncio.sleep(0)
        assert upstream.seen == []


@loopback
async def test_a_timeout_closes_the_connection_and_gives_one_outcome():
    upstream = await Upstream([hang]).start()
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [SendAttempt(arrival.request, "s0", 500.0)], outcome=failing
    )
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        await until(lambda: upstream.writers[0].is_closing())
        assert balancer.outcomes() == [(0, Outcome.TIMEOUT, False)]


@loopback
async def test_a_cancelled_attempt_has_one_outcome_and_its_connection_is_not_reused():
    upstream = await Upstream([hang, OK]).start()

    def retry_unless_ended(now, number, hop, status, spent, last, report):
        return [] if last else [SendAttempt(number, "s0", 0.0)]

    balancer = ScriptedBalancer(outcome=retry_unless_ended)
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        await until(lambda: upstream.seen)
        (request,) = sidecar.driver.requests
        sidecar.driver.perform(CancelAttempt(request.id, 0))
        sidecar.driver.perform(CancelAttempt(request.id, 0))
        # The attempt also times out before its outcome is reported.
        sidecar.driver.request_lifecycle.attempts.expire(request.attempts[0])
        assert (await app.answer()).body == b"done"
        assert balancer.outcomes() == [(0, Outcome.TIMEOUT, False), (1, Outcome.OK, True)]
        assert [seen.connection for seen in upstream.seen] == [0, 1]
        assert not sidecar.driver.requests


@loopback
async def test_an_attempt_beyond_max_attempts_or_after_the_final_answer_is_abandoned():
    upstream = await Upstream([FULL, FULL, FULL, OK]).start()

    def retry(now, number, hop, status, spent, last, report):
        if status == Outcome.REJECTED:
            return [SendAttempt(number, "s0", 0.0)]
        return [RefuseRequest(number, 0.0), SendAttempt(number, "s0", 0.0)] if hop == 3 else []

    balancer = ScriptedBalancer(outcome=retry)
    async with running(upstream, balancer=balancer) as sidecar:
        await (await App.connect(sidecar.address)).ask()
        await until(lambda: len(balancer.outcomes()) == 5)
        assert balancer.outcomes()[3:] == [(3, Outcome.ABANDONED, False), (4, Outcome.ABANDONED, True)]
        assert len(upstream.seen) == 3
        assert not sidecar.driver.requests


@loopback
async def test_of_two_hedged_attempts_only_the_first_answer_counts():
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK.replace(b"done", b"late")

    first, second = await Upstream([wait]).start(), await Upstream([OK]).start()
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [
            SendAttempt(arrival.request, "s0", 0.0),
            SendAttempt(arrival.request, "s1", 0.0),
        ]
    )
    async with running(first, second, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).body == b"done"
        release.set()
        await until(lambda: len(balancer.outcomes()) == 2)
        assert balancer.outcomes() == [(1, Outcome.OK, True), (0, Outcome.OK, True)]
        assert (await app.ask()).body in (b"done", b"late")


@loopback
async def test_a_request_on_a_connection_that_breaks_has_the_outcome_reset_and_is_not_resent_by_the_pool():
    upstream = await Upstream([OK, break_off]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        await app.ask()
        assert [status for _, status, _ in balancer.outcomes()] == [Outcome.OK, Outcome.RESET]
        assert len(upstream.seen) == 2


# --- release of resources after a request -----------------------------------------------------------


@loopback
async def test_no_timer_of_a_request_is_armed_after_its_release(monkeypatch):
    """Guards against timers that would wake the process at the objective of a request long answered."""
    upstream = await Upstream([OK, OK, ERROR, OK]).start()
    async with running(upstream, upstream) as sidecar:
        driver, balancer = sidecar.driver, sidecar.driver.balancer
        loop, step, requested_timers, armed = asyncio.get_running_loop(), balancer.step, [], []
        call_later = loop.call_later

        def recorded_step(now, event):
            actions = step(now, event)
            timers = [action for action in actions if isinstance(action, StartTimer)]
            requested_timers.extend(timer for timer in timers if timer.request is not None)
            return actions

        def recorded_call(delay, callback, *args):
            handle = call_later(delay, callback, *args)
            if args and args[0] in requested_timers:
                armed.append(handle)
            return handle

        balancer.step = recorded_step
        monkeypatch.setattr(loop, "call_later", recorded_call)
        assert driver.counts.armed_timers == 0
        app = await App.connect(sidecar.address)
        for _ in range(5):
            assert (await app.ask()).status == 200
        await until(lambda: not driver.requests)
        # The retry after an error has a timer only if it follows within 1 ms.
        assert len(requested_timers) >= 5
        assert len(armed) == len(requested_timers)
        assert all(handle.cancelled() or handle.when() <= loop.time() for handle in armed)
        assert driver.counts.armed_timers == 0
        now = driver.clock.now()
        before = shed_probability(balancer, now)
        assert not any(step(now, TimerDue(timer.token)) for timer in requested_timers)
        assert shed_probability(balancer, now) == before, "a cancelled timer would have had an effect"


@pytest.mark.parametrize("replies", [[OK], [ERROR, OK], [FULL], [*[OK] * 5, hang]])
@loopback
async def test_a_released_request_is_freed_without_the_garbage_collector(replies):
    """Guards against reference cycles, which would keep a request's bodies until the collector runs."""
    upstream = await Upstream(list(replies)).start()
    async with running(upstream, upstream) as sidecar:
        app = await App.connect(sidecar.address)
        gc.collect()
        gc.disable()
        gc.set_debug(gc.DEBUG_SAVEALL)
        try:
            for _ in range(5):
                await app.ask()
            app.send()
            await until(lambda: sidecar.driver.requests or replies[-1] is not hang)
            app.close()
            await until(lambda: not sidecar.driver.requests and sidecar.driver.idle)
            gc.collect()
            collected_types = [type(item) for item in gc.garbage]
        finally:
            gc.set_debug(0)
            gc.garbage.clear()
            gc.enable()
        records = (
            Request,
            Attempt,
            client_request.ClientRequest,
            request_message.RequestMessage,
            Exchange,
        )
        assert not [kind for kind in collected_types if kind in records]


@loopback
async def test_a_timer_of_an_open_request_comes_due_and_a_later_one_is_cancelled_at_its_release():
    upstream = await Upstream([hang]).start()
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [
            StartTimer(20.0, "due", arrival.request),
            StartTimer(60_000.0, "later", arrival.request),
            SendAttempt(arrival.request, "s0", 0.0),
        ],
        timer=lambda now, token: [CancelAttempt(balancer.named("request")[0][0].request, 0)],
        outcome=failing,
    )
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        await until(lambda: sidecar.driver.counts.armed_timers)
        assert (await app.answer()).status == 502
        assert balancer.named("timer") == [["due"]]
        await until(lambda: not sidecar.driver.requests)
        assert sidecar.driver.counts.armed_timers == 0


# --- load reports and health checks --------------------------------------------------------------


@loopback
async def test_load_reports_are_read_from_answers_and_health_checks():
    upstream = await Upstream([OK, b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ninflight=3"]).start()
    balancer = ScriptedBalancer()
    async with running(upstream, balancer=balancer) as sidecar:
        await (await App.connect(sidecar.address)).ask()
        assert balancer.named("outcome")[0][-1] == {"inflight": 1.0, "queue": 0.0}
        sidecar.driver.perform(CheckServerHealth("s0"))
        await until(lambda: balancer.named("probe_result"))
        ((server, status, spent, report),) = balancer.named("probe_result")
        assert (server, status, report) == ("s0", Outcome.OK, {"inflight": 3.0})
        assert spent > 0.0
        assert upstream.seen[1].start == "GET /stats HTTP/1.1"
        assert "x-call-id" not in upstream.seen[1].headers
