"""Calls of an aggregator to the list service: kept watches, reports, single calls; all are bounded."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import aiohttp
import msgspec

from brassfall.controlplane.aggregation.messages import AggregatorLease, AggregatorReport
from brassfall.controlplane.registry.aggregator.addresses import Addresses
from brassfall.controlplane.registry.client import UNANSWERED, UNREADABLE, read_bounded, retry_after_s
from brassfall.errors import RequestError, UnreachableError
from brassfall.logs import logger

CALL_TIMEOUT_S = 1.0  # an answer that takes longer is of no use: a lease is counted from asking
SILENCE_TIMEOUT_S = 4.5  # a watch brings a line every 2 s
CONNECT_TIMEOUT_S = 1.0
LINE_MOST = 2**24  # bytes of a line, about 120,000 servers
ANSWER_MOST = 2**24
REASON_MOST = 200  # characters

log = logger("upstream")
_encode = msgspec.json.Encoder().encode
_lease = msgspec.json.Decoder(AggregatorLease)


class UpstreamError(UnreachableError):
    """The list service gave no good answer; it is asked again by itself."""

    action = "See that the list service runs at its address; it is asked again, and what is held here serves."

    def __init__(
        self, what: str, why: str = "", action: str = "", *, status: int = 0, retry_s: float = 0.0
    ) -> None:
        super().__init__(what, why, action)
        self.status = status  # 0 where no answer came
        self.retry_s = retry_s  # of its `Retry-After`; 0 where there was none


@dataclass(frozen=True, slots=True)
class Answer:
    """What was answered, whatever the status."""

    status: int
    body: bytes
    headers: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Line:
    """A line of a watch: empty ones are counted. Times are `now` of the upstream, in ms.

    `lines` counts those with something in them on this connection, this one included: until there is one,
    empty lines say nothing, since the service may hold its list back."""

    text: bytes
    asked: float
    heard: float
    empties: int
    lines: int


@dataclass(slots=True)
class WatchState:
    """How a kept watch stands."""

    at: str
    open: bool = False
    failing: str = ""  # why it is not open
    opened: int = 0
    refused_lines: int = 0


@dataclass(slots=True)
class Upstream:
    """The list service, at any of its addresses. `now` is the clock, in ms."""

    addresses: Sequence[str]
    now: Callable[[], float]
    rng: random.Random
    _session: aiohttp.ClientSession = field(init=False)

    def open(self) -> None:
        """Begin; within the running loop."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10.0)
        self._session = aiohttp.ClientSession(connector=connector, read_bufsize=LINE_MOST)

    async def close(self) -> None:
        """End all calls."""
        await self._session.close()

    def spread(self) -> Addresses:
        """The addresses for one purpose, which finds by itself which of them works."""
        return Addresses(self.addresses, self.rng)

    async def call(
        self, address: str, method: str, path: str, body: bytes | None = None, **headers: str
    ) -> Answer:
        """One call, within `CALL_TIMEOUT_S`; `UpstreamError` where no answer came."""
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
                return Answer(answer.status, await read_bounded(answer, ANSWER_MOST), answer.headers)
        except UNANSWERED as error:
            raise UpstreamError(address, _why(error)) from error

    async def report(self, address: str, name: str, report: AggregatorReport) -> AggregatorLease:
        """The answer to a report; `UpstreamError` where there is none."""
        answer = await self.call(address, "POST", f"/aggregators/{name}", _encode(report))
        if answer.status != 200:
            raise _refused(address, answer)
        try:
            return _lease.decode(answer.body)
        except UNREADABLE as error:
            raise UpstreamError(address, f"its answer is none: {error}"[:REASON_MOST]) from error

    async def keep_watch(
        self, path: Callable[[], str], take: Callable[[Line], None], state: WatchState
    ) -> None:
        """Watch until this task is cancelled. A `RequestError` of `take` ends one connection only."""
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
            except Exception as error:  # without a watch the children would get no changes any more
                state.failing = f"a fault here: {error!r}"
                log.exception("fault")
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
                    body = await read_bounded(answer, ANSWER_MOST)
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
    return str(error)[:REASON_MOST] or type(error).__name__


def _refused(address: str, answer: Answer) -> UpstreamError:
    reason = answer.body[:REASON_MOST].decode("utf-8", "replace")
    retry_s = retry_after_s(answer.headers.get("Retry-After"))
    return UpstreamError(address, f"{answer.status}, {reason}", status=answer.status, retry_s=retry_s)
