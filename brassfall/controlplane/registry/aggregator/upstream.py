"""The calls of an aggregator to the list service: watches, reports and single calls, with time limits."""

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
from brassfall.controlplane.registry.client import UNANSWERED, UNREADABLE, read_bounded, retry_after_s
from brassfall.errors import RequestError, UnreachableError
from brassfall.logs import logger

CALL_TIMEOUT_S = 1.0  # a lease counts from when its report was sent, so a later answer is of little use
SILENCE_TIMEOUT_S = 4.5  # a watch has a line every 2 s
CONNECT_TIMEOUT_S = 1.0
MAX_LINE = 2**24  # bytes of a line, about 120,000 servers
MAX_ANSWER = 2**24
MAX_REASON = 200  # characters

log = logger("upstream")
_encode = msgspec.json.Encoder().encode
_lease = msgspec.json.Decoder(AggregatorLease)


class UpstreamError(UnreachableError):
    """A call to the list service had no good answer; it is repeated."""

    action = (
        "See that the list service runs at its address; calls are repeated, and the known state is served."
    )

    def __init__(
        self, what: str, why: str = "", action: str = "", *, status: int = 0, retry_s: float = 0.0
    ) -> None:
        super().__init__(what, why, action)
        self.status = status  # 0 without an answer
        self.retry_s = retry_s  # of its `Retry-After`; 0 without one


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer with any status."""

    status: int
    body: bytes
    headers: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Line:
    """A line of a watch; times are ms of the upstream's clock.

    `empties` and `lines` count the empty and the other lines on the connection, with this one. Before the
    first other line, empty ones confirm nothing: the service may wait before it sends its list.
    """

    text: bytes
    asked: float
    heard: float
    empties: int
    lines: int


@dataclass(slots=True)
class WatchState:
    """The state of a watch."""

    at: str
    open: bool = False
    failing: str = ""  # why it is not open
    opened: int = 0
    refused_lines: int = 0


@dataclass(slots=True)
class Upstream:
    """The list service, at any of its addresses; `now` is the clock, in ms."""

    addresses: Sequence[str]
    now: Callable[[], float]
    rng: random.Random
    _session: aiohttp.ClientSession = field(init=False)

    def open(self) -> None:
        """Open the client session; call it within the running loop."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10.0)
        self._session = aiohttp.ClientSession(connector=connector, read_bufsize=MAX_LINE)

    async def close(self) -> None:
        """Cancel all calls."""
        await self._session.close()

    def spread(self) -> Addresses:
        """Return the addresses for one purpose, with their own choice of the one that works."""
        return Addresses(self.addresses, self.rng)

    async def call(
        self, address: str, method: str, path: str, body: bytes | None = None, **headers: str
    ) -> Answer:
        """Make one call; raise `UpstreamError` if there is no answer within `CALL_TIMEOUT_S`."""
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
                return Answer(answer.status, await read_bounded(answer, MAX_ANSWER), answer.headers)
        except UNANSWERED as error:
            raise UpstreamError(address, _why(error)) from error

    async def report(self, address: str, name: str, report: AggregatorReport) -> AggregatorLease:
        """Return the answer to a report; raise `UpstreamError` if there is none."""
        answer = await self.call(address, "POST", f"/aggregators/{name}", _encode(report))
        if answer.status != 200:
            raise _refused(address, answer)
        try:
            return _lease.decode(answer.body)
        except UNREADABLE as error:
            raise UpstreamError(address, f"malformed answer: {error}"[:MAX_REASON]) from error

    async def keep_watch(
        self, path: Callable[[], str], take: Callable[[Line], None], state: WatchState
    ) -> None:
        """Watch until cancelled; a `RequestError` of `take` ends one connection only."""
        addresses = self.spread()
        while True:
            state.at, retry_s = addresses.current, 0.0
            try:
                await self._watch(addresses, path(), take, state)
                state.failing = "the watch has ended"
            except UpstreamError as error:
                state.failing, retry_s = error.summary, error.retry_s
            except RequestError as error:
                state.failing = error.summary
                state.refused_lines += 1
                log.warning("line refused", at=state.at, reason=error.summary, action=error.action)
            except Exception as error:  # without a watch the children would get no changes
                state.failing = f"a defect here: {error!r}"
                log.exception("fault", action=logs.REPORT)
            state.open = False
            await asyncio.sleep(addresses.failed(retry_s))

    async def _watch(
        self, addresses: Addresses, path: str, take: Callable[[Line], None], state: WatchState
    ) -> None:
        limit = aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S, sock_read=SILENCE_TIMEOUT_S)
        address, asked, empties, lines = addresses.current, self.now(), 0, 0
        try:
            async with self._session.get(f"http://{address}{path}", timeout=limit) as answer:
                if answer.status != 200:
                    body = await read_bounded(answer, MAX_ANSWER)
                    raise _refused(address, Answer(answer.status, body, answer.headers))
                async for raw in answer.content:
                    text = raw.strip()
                    empties += not text
                    lines += bool(text)
                    take(Line(text, asked, self.now(), empties, lines))
                    addresses.worked()
                    if not state.open:
                        state.open, state.failing = True, ""
                        state.opened += 1
        except UNANSWERED as error:
            raise UpstreamError(address, _why(error)) from error


def _why(error: Exception) -> str:
    return str(error)[:MAX_REASON] or type(error).__name__


def _refused(address: str, answer: Answer) -> UpstreamError:
    reason = answer.body[:MAX_REASON].decode("utf-8", "replace")
    retry_s = retry_after_s(answer.headers.get("Retry-After"))
    return UpstreamError(address, f"{answer.status}, {reason}", status=answer.status, retry_s=retry_s)
