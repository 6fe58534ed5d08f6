"""Calls of an aggregator to the list service: watches, reports and single calls, with time limits."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import aiohttp
import msgspec

from brassfall import logs
from brassfall.controlplane.aggregation.messages import AggregatorLease, AggregatorReport
from brassfall.controlplane.registry.aggregator.addresses import Addresses
from brassfall.controlplane.registry.client import (
    CONNECTION_ERRORS,
    DECODING_ERRORS,
    read_bounded,
    retry_after_s,
)
from brassfall.errors import RequestError, UnreachableError
from brassfall.logs import logger

# Time limit of a call. A lease counts from when its report was sent, so that a later answer is of little use.
CALL_TIMEOUT_S = 1.0
SILENCE_TIMEOUT_S = 4.5  # time limit for the next bytes of a watch, which sends a line every 2 s
CONNECT_TIMEOUT_S = 1.0
MAX_LINE_BYTES = 2**24  # maximum length of a line of a watch, enough for a list of about 120,000 servers
MAX_ANSWER_BYTES = 2**24  # maximum length of the body of an answer
MAX_REASON = 200  # length to which the reason of a failed call is cut, in characters

log = logger("upstream")
_encode = msgspec.json.Encoder().encode
_lease = msgspec.json.Decoder(AggregatorLease)


class UpstreamError(UnreachableError):
    """A call to the list service got no good answer; the caller repeats it."""

    action = (
        "See that the list service runs at its address; calls are repeated, and the known state is served."
    )

    def __init__(
        self, what: str, why: str = "", action: str = "", *, status: int = 0, retry_s: float = 0.0
    ) -> None:
        super().__init__(what, why, action)
        self.status = status  # HTTP status of the answer; 0 without an answer
        self.retry_s = retry_s  # `Retry-After` of the answer, in s; 0 without one


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer of the list service, with any status."""

    status: int
    body: bytes
    headers: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class WatchLine:
    """A line of a watch on the list service; times are in ms of the clock of `Upstream`.

    `heartbeats` and `content_lines` count the empty and the other lines on the connection, including this
    line. Before the first line with content a heartbeat confirms nothing, since the service may wait before
    it sends its list.
    """

    text: bytes
    opened_ms: float
    received_ms: float
    heartbeats: int
    content_lines: int


@dataclass(slots=True)
class WatchState:
    """The state of a watch on the list service."""

    at: str
    open: bool = False
    failing: str = ""  # reason why the watch is not open
    opened: int = 0  # number of connections on which the watch was opened
    refused_lines: int = 0  # number of lines that were malformed or not accepted


@dataclass(slots=True)
class Upstream:
    """A client of the list service, at any of its addresses; `now` returns the time in ms."""

    addresses: Sequence[str]
    now: Callable[[], float]
    rng: random.Random
    _session: aiohttp.ClientSession = field(init=False)

    def open(self) -> None:
        """Open the client session; call it within the running loop."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10.0)
        self._session = aiohttp.ClientSession(connector=connector, read_bufsize=MAX_LINE_BYTES)

    async def close(self) -> None:
        """Close the client session, which ends all calls."""
        await self._session.close()

    def new_addresses(self) -> Addresses:
        """Return a new chooser among the addresses, for calls that fail over independently of others."""
        return Addresses(self.addresses, self.rng)

    async def call(
        self, address: str, method: str, path: str, body: bytes | None = None, **headers: str
    ) -> Answer:
        """Make one call; return the answer, or raise `UpstreamError` without one within `CALL_TIMEOUT_S`."""
        limit = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                data=body,
                headers=headers,
                timeout=limit,
                allow_redirects=False,
            ) as answer:
                return Answer(answer.status, await read_bounded(answer, MAX_ANSWER_BYTES), answer.headers)
        except CONNECTION_ERRORS as error:
            raise UpstreamError(address, _error_text(error)) from error

    async def report(self, address: str, name: str, report: AggregatorReport) -> AggregatorLease:
        """Send the report of the aggregator `name`; return the answer, or raise `UpstreamError`."""
        answer = await self.call(address, "POST", f"/aggregators/{name}", _encode(report))
        if answer.status != 200:
            raise _refusal_error(address, answer)
        try:
            return _lease.decode(answer.body)
        except DECODING_ERRORS as error:
            raise UpstreamError(address, f"malformed answer: {error}"[:MAX_REASON]) from error

    async def keep_watch(
        self, path: Callable[[], str], receive: Callable[[WatchLine], None], state: WatchState
    ) -> None:
        """Keep a watch open until cancelled, and pass its lines to `receive`.

        `path` returns the path and query of each new connection. A `RequestError` of `receive` refuses a
        line: the connection is closed, and another one is opened.
        """
        addresses = self.new_addresses()
        while True:
            state.at, retry_s = addresses.current, 0.0
            try:
                await self._watch(addresses, path(), receive, state)
                state.failing = "the watch has ended"
            except UpstreamError as error:
                state.failing, retry_s = error.summary, error.retry_s
            except RequestError as error:
                state.failing = error.summary
                state.refused_lines += 1
                log.warning(
                    "line of a watch on the list service rejected",
                    at=state.at,
                    reason=error.summary,
                    action=error.action,
                )
            except Exception as error:  # the watch has to go on, since without it children get no changes
                state.failing = f"a defect here: {error!r}"
                log.exception("unexpected exception in this program", action=logs.REPORT)
            state.open = False
            await asyncio.sleep(addresses.record_failure(retry_s))

    async def _watch(
        self, addresses: Addresses, path: str, receive: Callable[[WatchLine], None], state: WatchState
    ) -> None:
        limit = aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S, sock_read=SILENCE_TIMEOUT_S)
        address, opened_ms, heartbeats, content_lines = addresses.current, self.now(), 0, 0
        try:
            async with self._session.get(f"http://{address}{path}", timeout=limit) as answer:
                if answer.status != 200:
                    body = await read_bounded(answer, MAX_ANSWER_BYTES)
                    raise _refusal_error(address, Answer(answer.status, body, answer.headers))
                async for raw in answer.content:
                    text = raw.strip()
                    heartbeats += not text
                    content_lines += bool(text)
                    receive(WatchLine(text, opened_ms, self.now(), heartbeats, content_lines))
                    addresses.record_success()
                    if not state.open:
                        state.open, state.failing = True, ""
                        state.opened += 1
        except CONNECTION_ERRORS as error:
            raise UpstreamError(address, _error_text(error)) from error


def _error_text(error: Exception) -> str:
    return str(error)[:MAX_REASON] or type(error).__name__


def _refusal_error(address: str, answer: Answer) -> UpstreamError:
    reason = answer.body[:MAX_REASON].decode("utf-8", "replace")
    retry_s = retry_after_s(answer.headers.get("Retry-After"))
    return UpstreamError(address, f"{answer.status}, {reason}", status=answer.status, retry_s=retry_s)
