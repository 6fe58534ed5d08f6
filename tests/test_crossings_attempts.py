"""Crossings between a decided send and its outcome: each is forced, on real sockets, and at the end of
each test every request has had one answer, every attempt one outcome, and nothing is left over."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from poppypulley.model import Fail, Outcome, Refuse, Send
from tests.loopback import OK, App, Scripted, Upstream, hang, loopback, running, until


class Gate:
    """Connections to the servers come up late: when the test lets them."""

    def __init__(self, monkeypatch, upstreams):
        self.open = asyncio.Event()
        self.waiting = 0
        loop = asyncio.get_running_loop()
        connect = loop.create_connection
        held = {upstream.address for upstream in upstreams}

        async def late(factory, host=None, port=None, **more):
            if f"{host}:{port}" in held:
                self.waiting += 1
                await self.open.wait()
            return await connect(factory, host, port, **more)

        monkeypatch.setattr(loop, "create_connection", late)


def nothing_left(sidecar):
    """Whether every count is back at none, and each open connection is an idle one."""
    driver, pool = sidecar.driver, sidecar.pool
    idle = [connection for server in pool._servers.values() for connection in server.idle]
    counts = [driver._open, driver._flowing, len(driver._requests), len(pool._opening)]
    balancer = driver._balancer
    if not isinstance(balancer, Scripted):
        servers = balancer._servers.values()
        counts += [balancer._open, len(balancer._requests), *(server.open for server in servers)]
        counts += [-min(0, server.idle) for server in servers]
    free = all(connection._exchange is None for connection in idle)
    return not any(counts) and free and set(idle) == pool._connections and len(set(idle)) == len(idle)


@contextlib.asynccontextmanager
async def tidy(*upstreams, **settings):
    """A sidecar of which nothing is left over at the end: no request, attempt or connection."""
    async with running(*upstreams, **settings) as sidecar:
        yield sidecar
        await until(lambda: nothing_left(sidecar))
        module = sidecar.driver._balancer
        if isinstance(module, Scripted):
            told = [(number, hop) for number, hop, *_ in module.named("outcome")]
            assert len(told) == len(set(told))


def never_cancels():
    """Settings that allow no cancelling, and connections that may take their time."""
    return {"PolicyLimits": {"MaxAttempts": 3, "ParallelTries": True, "ConnectTimeout": 9000.0}}


async def asked(sidecar, target="/look", method="GET", **headers):
    """A client whose request has been taken."""
    app = await App.connect(sidecar.address)
    held = len(sidecar.driver._requests)
    app.send(method, target, **headers)
    await until(lambda: len(sidecar.driver._requests) > held)
    return app


# --- nobody wants it any more -----------------------------------------------------------


@pytest.mark.parametrize("real", [True, False])
@loopback
async def test_what_waits_for_its_connection_is_not_written_once_its_client_has_gone(monkeypatch, real):
    upstream = await Upstream([OK]).start()
    gate = Gate(monkeypatch, [upstream])
    module = None if real else Scripted()
    async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
        app = await asked(sidecar)
        await until(lambda: gate.waiting)
        app.close()
        await until(lambda: not sidecar.driver._requests)  # at once, not when the connection is up
        assert not gate.open.is_set()
        gate.open.set()
        await until(lambda: sidecar.pool._servers["s0"].idle)  # it was paid for: the next one has it
        if module is not None:
            assert module.outcomes() == [(0, Outcome.MOOT, True)]
            assert len(module.named("client_gone")) == 1 and not module.named("unsent")
        else:
            server = sidecar.driver._balancer._servers["s0"]
            assert (server.ill, server.strikes, sidecar.driver._balancer._connect_ill) == (0.0, 0, 0.0)
        assert (await (await App.connect(sidecar.address)).ask()).body == b"done"
        assert [seen.connection for seen in upstream.seen] == [0]


@pytest.mark.parametrize("answer", [Refuse, Fail, "guard"])
@loopback
async def test_what_waits_for_its_connection_is_not_written_past_the_final_answer(monkeypatch, answer):
    upstream = await Upstream([OK]).start()
    gate = Gate(monkeypatch, [upstream])
    module = Scripted()
    async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
        app = await asked(sidecar)
        await until(lambda: gate.waiting)
        (request,) = sidecar.driver._requests.values()
        if answer == "guard":
            sidecar.driver._overdue(request)
        else:
            sidecar.driver._act(Refuse(request.id, 0.0) if answer is Refuse else Fail(request.id))
        gate.open.set()
        assert (await app.answer()).start.split(" ")[1] in ("502", "503", "504")
        await until(lambda: sidecar.pool._servers["s0"].idle)
        assert module.outcomes() == [(0, Outcome.MOOT, True)]
        assert upstream.seen == []


@loopback
async def test_a_copy_that_waits_for_its_connection_is_not_written_once_another_has_served(monkeypatch):
    late, quick = await Upstream([OK]).start(), await Upstream([OK]).start()
    gate = Gate(monkeypatch, [late])
    module = Scripted(
        request=lambda now, arrival: [Send(arrival.request, "s0", 0.0), Send(arrival.request, "s1", 0.0)]
    )
    async with tidy(late, quick, balancer=module, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).body == b"done"
        gate.open.set()
        await until(lambda: sidecar.pool._servers["s0"].idle)
        assert module.outcomes() == [(1, Outcome.OK, True), (0, Outcome.MOOT, True)]
        assert late.seen == []


@loopback
async def test_a_connection_that_comes_up_for_nobody_is_closed_where_its_server_leaves(monkeypatch):
    upstream = await Upstream([OK]).start()
    gate = Gate(monkeypatch, [upstream])
    async with tidy(upstream, balancer=Scripted(), **never_cancels()) as sidecar:
        app = await asked(sidecar)
        await until(lambda: gate.waiting)
        app.close()
        await until(lambda: not sidecar.driver._requests)
        sidecar.pool._leave(sidecar.driver._clock.now(), "s0", "leaving")
        gate.open.set()
        await until(lambda: upstream.writers and not sidecar.pool._opening)
        assert not sidecar.pool._servers["s0"].idle


@loopback
async def test_what_the_kernel_has_not_taken_whole_is_dropped_when_the_client_has_gone(monkeypatch):
    upstream = await Upstream([hang]).start()
    module = Scripted()
    async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
        app = await asked(sidecar)
        await until(lambda: upstream.seen)
        (connection,) = sidecar.pool._connections
        connection.written = False  # as if its last byte were still held back here
        app.close()
        await until(lambda: module.outcomes())
        assert module.outcomes() == [(0, Outcome.MOOT, True)]


@loopback
async def test_what_is_written_whole_goes_on_where_cancelling_is_not_allowed():
    go_on = asyncio.Event()

    async def wait(reader, writer):
        await go_on.wait()
        return OK

    upstream = await Upstream([wait]).start()
    module = Scripted()
    async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
        app = await asked(sidecar)
        await until(lambda: upstream.seen)
        app.close()
        await until(lambda: module.named("client_gone"))
        assert module.outcomes() == []
        go_on.set()
        await until(lambda: module.outcomes())
        assert module.outcomes() == [(0, Outcome.OK, True)]
