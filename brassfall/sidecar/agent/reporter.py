"""Reports to the list service or an aggregator: when they are sent, their fields, and their answers."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple, Protocol

from brassfall.sidecar import log
from brassfall.sidecar.agent.calls import Caller, CallError
from brassfall.sidecar.agent.lease_client import LeaseClient
from brassfall.sidecar.agent.lists import RETRY_SPREAD, Sources
from brassfall.sidecar.config import Agreement

INTERVAL_MS, MAX_INTERVAL_MS = 750.0, 10_000.0  # between reports; the service may ask for a longer one
JITTER = 1.0 / 3.0  # of the interval, either way
URGENT_SPREAD_MS, MAX_URGENT_SPREAD_MS = 100.0, 10_000.0  # within which an urgent report is sent
CALL_S = 1.0  # time limit for an answer; a lease counts from sending, so a later one is of little use
DEREGISTER_S = 0.3  # time limit for the last report
RETRY_S = 0.1  # least wait after a failed report, where the answer names none
REVISIONS_PATH = "/rules"
# A report leaves these out where they are as in the previous one on the same connection.
DELTA_FIELDS = frozenset(
    (
        *("life", "of", "held", "prepared", "acting", "list_index", "list_age_ms"),
        *("overrides", "digest", "told", "group", "region"),
    )
)

ReportExtension = Callable[[], dict[str, Any]]  # returns further fields of the next report
AnswerListener = Callable[[float, float, Mapping[str, Any]], None]  # sent at, received at, the answer


class Node(NamedTuple):
    """This sidecar, as reports name it."""

    name: str
    agreement: Agreement


class Configuration(Protocol):
    """The active configuration, as far as reports bring changes to it."""

    lease_client: LeaseClient

    def current_stamp(self, now: float) -> bytes:
        """Act on what holds at this time."""

    def refresh(self, now: float) -> None:
        """Determine anew what to act on."""


class Reporter:
    """Sends a report at each interval or when one is urgent, and applies the answers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        node: Node,
        sources: Sources,
        configuration: Configuration,
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._path = f"/edges/{node.name}"
        self._agreement = node.agreement
        self._sources = sources
        self._configuration = configuration
        self._rng = rng
        self._caller = Caller(loop)
        self._interval_ms, self._urgent_spread_ms = INTERVAL_MS, URGENT_SPREAD_MS
        self._urgent = asyncio.Event()  # a report is to be sent before the next is due
        self._last_report: dict[str, Any] = {}  # the last one that was answered
        self.failure = ""  # why reports fail; empty while they are answered
        self.extensions: list[ReportExtension] = []
        self.answer_listeners: list[AnswerListener] = []

    async def run(self) -> None:
        """Send reports until cancelled; a call under way is then closed with its connection."""
        while True:
            wait = self._interval_ms / 1000.0 * (1.0 + JITTER * (2.0 * self._rng.random() - 1.0))
            pause: Callable[[float], Awaitable[None]] = asyncio.sleep
            try:
                await self._report()
                self._sources.worked()
                self._note_failure("")
                pause = self._pause
            except CallError as error:
                self._note_failure(str(error))
                wait = self._wait_after(error)
            except Exception as error:  # noqa: BLE001 - without reports this sidecar would lose its lease
                self._note_failure(f"malformed answer: {error!r}")
                wait = min(wait, self._sources.failed())
            await pause(wait)

    async def deregister(self) -> None:
        """Send a last report: this process acts on nothing any more. Close the connection."""
        body = self._configuration.lease_client.report_fields(self._loop.time()) | {"leaving": True}
        try:
            await self._caller.call(self._sources.current, "POST", self._path, DEREGISTER_S, body)
        except CallError as error:
            log.warning(
                "configuration: could not deregister from the list service",
                reason=error,
                action="if this sidecar is not started again, remove it there with DELETE /edges/NAME",
            )
        self._caller.close()

    def wake_if_urgent(self) -> None:
        """Send the next report early if it is urgent."""
        if self._configuration.lease_client.has_urgent_report:
            self._urgent.set()

    # --- waits --------------------------------------------------------------------------

    def _wait_after(self, error: CallError) -> float:
        """Return the wait after a failed report, in seconds; the next may go to another address.

        A Retry-After is kept if the lease lasts for it and one more call, or if there is no lease to lose: it
        gives this sidecar its own place in time. Without a lease the waits grow while all addresses fail, as
        the whole fleet may be asking.
        """
        left_s = self._configuration.lease_client.lease_left_ms(self._loop.time()) / 1000.0
        longest_wait_s = (left_s - CALL_S) / (1.0 + RETRY_SPREAD) if left_s else math.inf
        before = self._sources.current
        wait = self._sources.failed(error.retry_after, longest_wait_s)
        if (error.retry_after and self._sources.current == before) or not left_s:
            return wait
        return min(wait, RETRY_S * (1.0 + self._rng.random()))

    async def _pause(self, wait: float) -> None:
        """Wait until the next report is due or urgent.

        An urgent one takes the place of the next: the service decides once all have acknowledged, and each
        sidecar acts on the decision with its report after that. They are spread over a time that the service
        names and that grows with the fleet.
        """
        if not self._configuration.lease_client.has_urgent_report:
            self._urgent.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                await self._urgent.wait()
                await asyncio.sleep(self._urgent_spread_ms / 1000.0 * self._rng.random())
        self._urgent.clear()

    def _note_failure(self, reason: str) -> None:
        if reason and not self.failure:
            log.warning("configuration: reports fail", reason=reason, action=CallError.action)
        if self.failure and not reason:
            log.info("configuration: reports are answered again")
        self.failure = reason

    # --- one report -----------------------------------------------------------------------

    async def _report(self) -> None:
        """Send one report and apply its answer; raise `CallError` if there is none that counts."""
        configuration = self._configuration
        configuration.current_stamp(self._loop.time())
        body = self._body()
        whole = not self._caller.is_connected_to(self._sources.current)
        sent = body if whole else report_delta(body, self._last_report)
        answer: Any = await self._caller.call(self._sources.current, "POST", self._path, CALL_S, sent)
        asked = self._caller.asked_at
        self._last_report = body
        if isinstance(answer, dict):
            self._complete(answer, body)
        if not configuration.lease_client.receive_answer(asked, int(body["seq"]), answer):
            message = "answered by a service that another has succeeded"
            raise CallError(message)
        for listener in self.answer_listeners:
            listener(asked, self._loop.time(), answer)
        self._note_address(answer)
        self._note_pace(answer)
        if answer.get("news") and configuration.lease_client.lacks_revision(answer):
            await self._fetch_revisions()
        configuration.refresh(self._loop.time())

    def _body(self) -> dict[str, Any]:
        body = self._configuration.lease_client.report_fields(self._loop.time())
        body |= {"group": self._agreement.group, "region": self._agreement.region}
        for extension in self.extensions:
            body |= extension()
        return body

    def _complete(self, answer: dict[str, Any], body: Mapping[str, Any]) -> None:
        """Add the epoch to an answer that leaves it out, and limit the lease to this sidecar's setting."""
        answer.setdefault("life", body["of"])  # left out if it is the one that the report named
        lease_ms = answer.get("permission_ms", 0.0)
        if isinstance(lease_ms, int | float):
            lease_ms = min(lease_ms, self._agreement.agree_ms)
        answer["permission_ms"] = lease_ms

    def _note_address(self, answer: Mapping[str, Any]) -> None:
        if answer.get("elsewhere") is True:
            # The next report goes elsewhere, at its usual time; a lease that still runs goes on meanwhile.
            self._sources.sent_on()
        else:
            self._sources.settled()

    def _note_pace(self, answer: Mapping[str, Any]) -> None:
        interval_ms = float(answer.get("every_ms", INTERVAL_MS))
        self._interval_ms = min(MAX_INTERVAL_MS, max(INTERVAL_MS, interval_ms))
        spread_ms = float(answer.get("spread_ms", URGENT_SPREAD_MS))
        self._urgent_spread_ms = min(MAX_URGENT_SPREAD_MS, max(URGENT_SPREAD_MS, spread_ms))

    async def _fetch_revisions(self) -> None:
        """Fetch the revisions that the watch did not bring."""
        update = await self._caller.call(self._sources.current, "GET", REVISIONS_PATH, CALL_S)
        self._configuration.lease_client.receive_update(update)
        self.wake_if_urgent()


def report_delta(body: dict[str, Any], last: Mapping[str, Any]) -> dict[str, Any]:
    """Return a report without the fields that the service knows from the last one on the connection.

    A report from which a field of the last one is missing is returned as it is: only a complete one can say
    so.
    """
    if not last.keys() & DELTA_FIELDS <= body.keys():
        return body
    changed = {
        key: value
        for key, value in body.items()
        if key not in DELTA_FIELDS or key not in last or last[key] != value
    }
    return changed | {"after": last["seq"]}
