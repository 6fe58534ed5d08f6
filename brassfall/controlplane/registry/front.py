"""The HTTP server of a list service or aggregator: connections, limits, errors and watches."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import random
import resource
import socket
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field

from aiohttp import web

from brassfall import logs
from brassfall.controlplane.registry import calls
from brassfall.controlplane.registry.callers import HEAD_BYTES, SILENCED_LOGGER, CallerConnections, Connection
from brassfall.controlplane.registry.http_errors import UnknownPathError, error_response, status_response
from brassfall.controlplane.registry.limits import CallerQuotas, CallRateLimiter, JoinLimiter
from brassfall.controlplane.registry.watches import TICK_S, Channel, chunk
from brassfall.errors import RequestError, UnavailableError
from brassfall.logs import faults, logger
from brassfall.settings import CallerLimits, parse_address

BACKLOG = 4096  # length of the listening socket's backlog, since a whole fleet may connect at once
BIND_RETRY_S, BIND_PAUSE_S = 3.0, 0.1  # time for which a failed bind is retried, and pause between attempts
# Errors of `bind` for lack of memory, buffers or descriptors, which may pass by themselves.
TEMPORARY_ERRORS = frozenset({errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
BODY_TIMEOUT_S = 5.0  # time limit for the complete body of a request
SHUTDOWN_TIMEOUT_S = 5.0  # time limit for the answers to calls under way when the server closes
WATCH_RETRY_S = 5.0  # minimum `Retry-After` for a caller without a free place for a watch; at most twice that

log = logger("http")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
CallObserver = Callable[[str, int, float], None]


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """What a new watch is on; `channel` and `deferred` are called once the watch has been admitted."""

    index: int  # index up to which the caller has received all changes
    channel: Callable[[], Channel]
    deferred: Callable[[], bool] = lambda: False  # True if the first line waits for `Channel.release`
    headers: Mapping[str, str] = field(default_factory=dict)


class HttpServer:
    """The HTTP server of one process within a running loop, with limits on its callers.

    `on_call` is called with the method, status and duration in seconds of each answered call. `channels` maps
    names to the channels of watches; the parts of the process add theirs.
    """

    def __init__(self, limits: CallerLimits, on_call: CallObserver) -> None:
        self.limits = limits
        self.callers = CallerConnections(limits)
        self._watches = CallerQuotas(limits.watches, limits.caller_share)
        self.channels: dict[str, Channel] = {}
        self.rejected = 0  # number of calls answered with 503 and `Retry-After`
        self.rng = random.Random()
        self._on_call = on_call
        self._rates = CallRateLimiter(limits.caller_calls_per_s)
        self._join_limiter = JoinLimiter(limits.joins_per_s)
        self._socket: socket.socket | None = None
        self._runner: web.AppRunner | None = None
        self._server: asyncio.Server | None = None
        self._tick_task: asyncio.Task[None] | None = None

    # --- start and end ------------------------------------------------------

    async def bind(self, listen: str) -> None:
        """Bind the listening socket to an address HOST:PORT; raise `OSError` if that fails.

        A failure for lack of memory or descriptors is retried for `BIND_RETRY_S`.
        """
        _raise_descriptor_limit()
        self._socket = await _create_server(parse_address(listen))
        # Accepted sockets inherit this send buffer. Without it the kernel buffers megabytes for each slow
        # reader, beyond the limit on the unread bytes of a watch.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.limits.watch_bytes // 2)

    def unbind(self) -> None:
        """Close the listening socket after a failed start, unless calls are already served."""
        if self._socket is not None and self._server is None:
            self._socket.close()

    async def serve(self, routes: Iterable[web.RouteDef], after_tick: Callable[[], None]) -> str:
        """Start to serve calls; return the bound address as HOST:PORT.

        `after_tick` is called every `TICK_S`, after the channels have sent their heartbeats.
        """
        app = web.Application(middlewares=[self._call], client_max_size=self.limits.body_bytes)
        app.on_response_prepare.append(calls.drop_optional_headers)
        app.router.add_routes(routes)
        self._runner = web.AppRunner(app, handler_cancellation=True)
        await self._runner.setup()
        manager, sock = self._runner.server, self._socket
        assert manager is not None
        assert sock is not None
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(
                self.callers,
                manager,
                loop=loop,
                access_log=None,
                logger=SILENCED_LOGGER,
                max_line_size=HEAD_BYTES,
                max_field_size=HEAD_BYTES,
                max_headers=64,
                lingering_time=0.5,
                read_bufsize=16_384,
            ),
            sock=sock,
            backlog=BACKLOG,
        )
        self._tick_task = loop.create_task(self._tick(after_tick))
        host, port = sock.getsockname()[:2]
        return f"{host}:{port}"

    async def close(self) -> None:
        """Stop accepting connections, end the watches, and wait for the answers to calls under way."""
        if self._server is not None:
            self._server.close()
        else:
            self.unbind()
        for channel in self.channels.values():
            channel.abort_all()
        if self._tick_task is not None:
            self._tick_task.cancel()
            await asyncio.wait({self._tick_task})
        if self._runner is not None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._runner.cleanup(), SHUTDOWN_TIMEOUT_S)

    async def _tick(self, after_tick: Callable[[], None]) -> None:
        """Tick the channels and close idle connections every `TICK_S`; a late tick is not made up for."""
        while True:
            await asyncio.sleep(TICK_S)
            with faults(log):
                for channel in self.channels.values():
                    channel.tick()
                self.callers.sweep()
                after_tick()

    # --- calls --------------------------------------------------------------

    @web.middleware
    async def _call(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Limit the caller's rate of calls, and pass the call on; errors are answered in JSON."""
        connection = request.protocol
        assert isinstance(connection, Connection)
        self.callers.mark_busy(connection)
        started_s = time.perf_counter()
        status = 500
        try:
            wait_s = self._rates.admission_wait_s(connection.caller, time.monotonic())
            response = (
                status_response(429, f"{connection.caller} calls too often", wait_s)
                if wait_s
                else await self._handle(request, handler)
            )
            status = response.status
            return response
        finally:
            self._on_call(request.method, status, time.perf_counter() - started_s)
            self.callers.mark_idle(connection)

    async def _handle(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            return await handler(request)
        except UnavailableError as error:
            return error_response(error, error.retry_s * (0.5 + self.rng.random()))
        except RequestError as error:
            return error_response(error)
        except web.HTTPNotFound:
            return error_response(UnknownPathError("no such path", request.path[:200]))
        except web.HTTPRequestEntityTooLarge:
            return _closing(status_response(413, f"the body is larger than {self.limits.body_bytes} bytes"))
        except web.HTTPException as error:
            return status_response(error.status, error.reason)
        except TimeoutError:
            return _closing(status_response(408, f"the body did not come within {BODY_TIMEOUT_S} s"))
        except (ConnectionError, asyncio.CancelledError, web.RequestPayloadError):
            raise
        except Exception:
            log.exception("unexpected exception in this program", path=request.path, action=logs.REPORT)
            return status_response(500, "a fault in the service")

    async def body(self, request: web.Request) -> bytes:
        """Return the complete body of a call; raise `TimeoutError` if it takes over `BODY_TIMEOUT_S`."""
        if not request.can_read_body:
            return b""
        if request.content.is_eof():
            return await request.read()  # the body arrived with the head, so that no time limit is needed
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await request.read()

    # --- complete lists and watches ----------------------------------------------

    def reject(self, reason: str, retry_s: float) -> web.Response:
        """Count a rejected call; return a 503 whose `Retry-After` is `retry_s`, in s."""
        self.rejected += 1
        return status_response(503, reason, retry_s)

    def admit_join(self, reason: str) -> web.Response | None:
        """Count a complete list or a new watch; return the rejection if there are too many, else None."""
        wait_s = self._join_limiter.admission_wait_s(time.monotonic(), self.rng.random())
        return self.reject(reason, wait_s) if wait_s else None

    async def watch(self, request: web.Request, watch_request: WatchRequest) -> web.StreamResponse:
        """Serve a watch until it ends, or reject it if there are too many.

        Cancelling ends the watch; aiohttp cancels it when the caller has disconnected.
        """
        connection = request.protocol
        assert isinstance(connection, Connection)
        rejection = self.admit_join("too many open a watch at once")
        if rejection is not None:
            return rejection
        refusal = self._watches.acquire(connection.caller)
        if refusal:
            return self.reject(refusal, WATCH_RETRY_S * (1.0 + self.rng.random()))
        try:
            return await _serve_watch(request, watch_request)
        finally:
            self._watches.release(connection.caller)


async def _serve_watch(request: web.Request, watch_request: WatchRequest) -> web.StreamResponse:
    """Serve an admitted watch until it ends; lines are written to the transport, past aiohttp's stream."""
    response = web.StreamResponse(headers={"Content-Type": "application/json", **watch_request.headers})
    response.enable_chunked_encoding()
    deferred = watch_request.deferred()
    await response.prepare(request)
    # aiohttp sends the response head with the first byte of the body. That byte is the `{` of the first line,
    # or a blank before a deferred first line.
    await response.write(b" " if deferred else b"{")
    transport = request.transport
    ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    if transport is None or transport.is_closing():
        return response
    channel, index = watch_request.channel(), watch_request.index
    if not deferred:
        transport.write(chunk(channel.first_line(index)[1:]))
    watch = channel.add_watch(transport, index if deferred else channel.last_index, ended, deferred=deferred)
    try:
        await ended
    finally:
        channel.remove_watch(watch)
    return response


async def _create_server(address: tuple[str, int]) -> socket.socket:
    deadline_s = time.monotonic() + BIND_RETRY_S
    while True:
        try:
            return socket.create_server(address, backlog=BACKLOG)
        except OSError as error:
            if error.errno not in TEMPORARY_ERRORS or time.monotonic() >= deadline_s:
                raise
        await asyncio.sleep(BIND_PAUSE_S)


def _closing(response: web.Response) -> web.Response:
    """Return a response after which its connection is closed."""
    response.force_close()
    return response


def _raise_descriptor_limit() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        with contextlib.suppress(ValueError, OSError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
