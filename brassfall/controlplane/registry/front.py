"""The HTTP side that the processes of this package share: connections, limits, refusals, watches, signals."""

from __future__ import annotations

import asyncio
import contextlib
import random
import resource
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from aiohttp import web

from brassfall.controlplane.registry import calls
from brassfall.controlplane.registry.callers import (
    HEAD_BYTES,
    QUIET,
    Callers,
    Connection,
    NoSuchPath,
    error,
    refusal,
)
from brassfall.controlplane.registry.limits import Door, Rates, Shares
from brassfall.controlplane.registry.watches import BEAT_S, SLOTS, Channel, chunk
from brassfall.errors import BrassfallError, CantListen, Refused, Unavailable
from brassfall.logs import faults, logger
from brassfall.settings import CallerLimits, address

SWITCH_S = 0.0002
BACKLOG = 4096  # a fleet connects at once
BODY_S = 5.0  # for a body to arrive
CLEANUP_S = 5.0  # for calls under way, when the process ends

log = logger("http")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Called = Callable[[str, int, float], None]


@dataclass(frozen=True, slots=True)
class Watched:
    """What a watch is opened on. `channel` and `held` are asked anew when they are needed."""

    index: int  # up to which the caller has been told all
    channel: Callable[[], Channel]
    held: Callable[[], bool] = lambda: False  # whether its first line waits for `Channel.release`
    headers: Mapping[str, str] = field(default_factory=dict)


class Front:
    """Connections of one process within a running loop, and what their callers may take up.

    `called` is given the method, status and seconds of each call that was answered."""

    def __init__(self, limits: CallerLimits, called: Called) -> None:
        self.limits = limits
        self.callers = Callers(limits)
        self.watching = Shares(limits.watches, limits.caller_share)
        self.channels: dict[str, Channel] = {}
        self.turned_away = 0
        self.rng = random.Random()
        self._called = called
        self._rates = Rates(limits.caller_calls_per_s)
        self._door = Door(limits.joins_per_s)
        self._socket: socket.socket | None = None
        self._runner: web.AppRunner | None = None
        self._server: asyncio.Server | None = None
        self._heartbeat: asyncio.Task[None] | None = None

    # --- start and end ------------------------------------------------------

    def bind(self, listen: str) -> None:
        """Take the address, before anything else is begun; `OSError` where it can't be had."""
        _raise_descriptors()
        self._socket = socket.create_server(address(listen), backlog=BACKLOG)
        # Else the kernel holds megabytes for each slow reader, unseen by the bound on its watch.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.limits.watch_bytes // 2)

    def unbind(self) -> None:
        """Give the address back where no calls are taken yet: what had to be begun before has failed."""
        if self._socket is not None and self._server is None:
            self._socket.close()

    async def serve(self, routes: Iterable[web.RouteDef], after_heartbeat: Callable[[], None]) -> str:
        """Take calls; where. `after_heartbeat` is called after each round of empty lines, every 0.1 s."""
        app = web.Application(middlewares=[self._call], client_max_size=self.limits.body_bytes)
        app.on_response_prepare.append(calls.shorten)
        app.router.add_routes(routes)
        self._runner = web.AppRunner(app, handler_cancellation=True)
        await self._runner.setup()
        manager, sock = self._runner.server, self._socket
        assert manager is not None and sock is not None
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(
                self.callers,
                manager,
                loop=loop,
                access_log=None,
                logger=QUIET,
                max_line_size=HEAD_BYTES,
                max_field_size=HEAD_BYTES,
                max_headers=64,
                lingering_time=0.5,
                read_bufsize=16_384,
            ),
            sock=sock,
            backlog=BACKLOG,
        )
        self._heartbeat = loop.create_task(self._beat(after_heartbeat))
        host, port = sock.getsockname()[:2]
        return f"{host}:{port}"

    async def close(self) -> None:
        """Take no more calls, end the watches, and let calls under way be answered."""
        if self._server is not None:
            self._server.close()
        else:
            self.unbind()
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        for channel in self.channels.values():
            channel.end()
        if self._runner is not None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._runner.cleanup(), CLEANUP_S)

    async def _beat(self, after: Callable[[], None]) -> None:
        """Empty lines and sweeps. A heartbeat that is late is not made up for."""
        while True:
            await asyncio.sleep(BEAT_S / SLOTS)
            with faults(log):
                for channel in self.channels.values():
                    channel.beat()
                self.callers.sweep()
                after()

    # --- calls --------------------------------------------------------------

    @web.middleware
    async def _call(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Around each call: the caller's rate, and whatever goes wrong as an answer in JSON."""
        connection = request.protocol
        assert isinstance(connection, Connection)
        self.callers.busy(connection)
        begun = time.perf_counter()
        status = 500
        try:
            wait = self._rates.wait(connection.caller, time.monotonic())
            made = (
                error(429, f"{connection.caller} calls too often", wait)
                if wait
                else await self._handle(request, handler)
            )
            status = made.status
            return made
        finally:
            self._called(request.method, status, time.perf_counter() - begun)
            self.callers.free(connection)

    async def _handle(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            return await handler(request)
        except Unavailable as told:
            return refusal(told, told.retry_s * (0.5 + self.rng.random()))
        except Refused as told:
            return refusal(told)
        except web.HTTPNotFound:
            return refusal(NoSuchPath("no such path", request.path[:200]))
        except web.HTTPRequestEntityTooLarge:
            made = error(413, f"the body is larger than {self.limits.body_bytes} bytes")
            made.force_close()
            return made
        except web.HTTPException as http:
            return error(http.status, http.reason)
        except TimeoutError:
            made = error(408, f"the body did not come within {BODY_S} s")
            made.force_close()
            return made
        except (ConnectionError, asyncio.CancelledError, web.RequestPayloadError):
            raise
        except Exception:
            log.exception("fault", path=request.path)
            return error(500, "a fault in the service")

    async def body(self, request: web.Request) -> bytes:
        """The whole body of a call; `TimeoutError` where it does not come in time."""
        if not request.can_read_body:
            return b""
        if request.content.is_eof():
            return await request.read()  # it came with the head, as small ones do
        async with asyncio.timeout(BODY_S):
            return await request.read()

    # --- whole lists and watches ----------------------------------------------

    def turn_away(self, reason: str, wait: float) -> web.Response:
        """503, and when to come again, in s."""
        self.turned_away += 1
        return error(503, reason, wait)

    def joins(self, reason: str) -> web.Response | None:
        """One more that takes a whole list or opens a watch; the answer if there are too many at once."""
        wait = self._door.wait(time.monotonic(), self.rng.random())
        return self.turn_away(reason, wait) if wait else None

    async def watch(self, request: web.Request, watched: Watched) -> web.StreamResponse:
        """Keep a watch until it ends."""
        connection = request.protocol
        assert isinstance(connection, Connection)
        refused = self.joins("too many open a watch at once")
        if refused is not None:
            return refused
        why = self.watching.take(connection.caller)
        if why:
            return self.turn_away(why, 5.0 + 5.0 * self.rng.random())
        try:
            return await _tell(request, watched)
        finally:
            self.watching.give(connection.caller)


async def _tell(request: web.Request, watched: Watched) -> web.StreamResponse:
    """Keep a watch until it ends. Its lines are written past aiohttp's stream, to all watches alike."""
    response = web.StreamResponse(headers={"Content-Type": "application/json", **watched.headers})
    response.enable_chunked_encoding()
    held = watched.held()
    await response.prepare(request)
    # The head goes out with the first byte: half of the first line, or of an empty one.
    await response.write(b" " if held else b"{")
    transport = request.transport
    ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    if transport is None or transport.is_closing():
        return response
    channel, index = watched.channel(), watched.index
    if not held:
        transport.write(chunk(channel.first(index)[1:]))
    watch = channel.add(transport, index if held else channel.last, held, ended)
    try:
        await ended
    finally:
        channel.drop(watch)
    return response


def _raise_descriptors() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        with contextlib.suppress(ValueError, OSError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


class Served(Protocol):
    """A process that is started, and closed when it is told to end."""

    async def start(self) -> str:
        """Begin, and take calls; where. `OSError` where the address can't be had."""

    async def close(self) -> None:
        """Take no more calls, and end what was begun."""


async def run(served: Served, listen: str, part: str, **said: str) -> int:
    """Run until SIGTERM or SIGINT, also while it starts; the exit status. `said` goes into the log beside
    `ready`."""
    # Threads of a log ask for the interpreter several times in each commit, and would wait 5 ms
    # for it each time while calls come in.
    sys.setswitchinterval(SWITCH_S)
    own = logger(part)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    try:
        at = await _started(served, stop)
    except (BrassfallError, OSError) as failed:
        wrong = (
            failed
            if isinstance(failed, BrassfallError)
            else CantListen(listen, failed.strerror or str(failed))
        )
        own.error("can't start", reason=wrong.told, action=wrong.action)
        return wrong.exit_status
    if at is not None:
        own.info("ready", listen=at, **said)
        await stop.wait()
    own.info("stopping")
    await served.close()
    return 0


async def _started(served: Served, stop: asyncio.Event) -> str | None:
    """Where it listens; None where it was told to end before it had started."""
    start = asyncio.ensure_future(served.start())
    stopped = asyncio.ensure_future(stop.wait())
    await asyncio.wait({start, stopped}, return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    if start.done():
        return await start
    start.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await start
    return None
