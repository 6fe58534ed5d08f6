"""The reporter: sends reports to the list service or an aggregator, and applies the answers."""

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
from brassfall.sidecar.agent.lists import RETRY_SPREAD, ServiceAddresses
from brassfall.sidecar.config import Agreement

# Default and longest interval between reports, in milliseconds. An answer may request a longer interval than
# the default.
INTERVAL_MS, MAX_INTERVAL_MS = 750.0, 10_000.0
JITTER = 1.0 / 3.0  # Largest random deviation of the interval in either direction, as a part of it
# An urgent report is sent at a random time within this span, in milliseconds: the default and the longest
# span that an answer may request.
URGENT_SPREAD_MS, MAX_URGENT_SPREAD_MS = 100.0, 10_000.0
# Time limit for the answer to a report, in seconds. A lease counts from the time at which the report was
# sent, so a later answer would be of little use.
CALL_S = 1.0
DEREGISTER_S = 0.3  # Time limit for the answer to the last report, in seconds
# Shortest wait after a failed report while a lease runs, if the answer has no Retry-After, in seconds.
RETRY_S = 0.1
REVISIONS_PATH = "/rules"  # Path of the configuration revisions at the list service and at aggregators
# A report omits each of these fields that has the same value as in the previous report on the connection.
DELTA_FIELDS = frozenset(
    (
        *("life", "of", "held", "prepared", "acting", "list_index", "list_age_ms"),
        *("overrides", "digest", "told", "group", "region"),
    )
)

ReportExtension = Callable[[], dict[str, Any]]  # Function that returns additional fields of the next report
# Function that is called with each answer. Its arguments are the time at which the report was sent, the time
# at which the answer was received, both in seconds of the loop, and the answer.
AnswerListener = Callable[[float, float, Mapping[str, Any]], None]


class Node(NamedTuple):
    """Name of this sidecar, and its settings for reports."""

    name: str
    agreement: Agreement


class Configuration(Protocol):
    """Interface of the agent to the reporter: the lease, and the configuration to act on.

    Times are in seconds of the loop.
    """

    lease_client: LeaseClient

    def current_stamp(self, now: float) -> bytes:
        """Act on the configuration that is active at `now`, if it has changed; return the stamp."""

    def refresh(self, now: float) -> None:
        """Determine the configuration that is active at `now`, and act on it."""


class Reporter:
    """Sends reports at an interval, or earlier if a report is urgent, and applies the answers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        node: Node,
        addresses: ServiceAddresses,
        configuration: Configuration,
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._path = f"/edges/{node.name}"
        self._agreement = node.agreement
        self._addresses = addresses
        self._configuration = configuration
        self._rng = rng
        self._caller = Caller(loop)
        self._interval_ms, self._urgent_spread_ms = INTERVAL_MS, URGENT_SPREAD_MS
        self._urgent_event = asyncio.Event()  # Set if the next report should not wait for its interval
        self._last_report: dict[str, Any] = {}  # The fields of the last report that was answered
        self.failure = ""  # The reason why reports fail; empty while reports are answered
        self.extensions: list[ReportExtension] = []
        self.answer_listeners: list[AnswerListener] = []

    async def run(self) -> None:
        """Send reports until cancelled; cancelling closes the connection of a report under way."""
        while True:
            wait_s = self._interval_ms / 1000.0 * (1.0 + JITTER * (2.0 * self._rng.random() - 1.0))
            pause: Callable[[float], Awaitable[None]] = asyncio.sleep
            try:
                await self._report()
                self._addresses.record_success()
                self._record_failure("")
                pause = self._pause
            except CallError as error:
                self._record_failure(str(error))
                wait_s = self._wait_after_failure(error)
            except Exception as error:  # noqa: BLE001 - without reports this sidecar would lose its lease
                self._record_failure(f"malformed answer: {error!r}")
                wait_s = min(wait_s, self._addresses.record_failure())
            await pause(wait_s)

    async def deregister(self) -> None:
        """Report that this process acts on no configuration any more, and close the connection."""
        body = self._configuration.lease_client.report_fields(self._loop.time()) | {"leaving": True}
        try:
            await self._caller.call(self._addresses.current, "POST", self._path, DEREGISTER_S, body)
        except CallError as error:
            log.warning(
                "configuration: could not deregister from the list service",
                reason=error,
                action="if this sidecar will not be started again, remove it from the list service with "
                "DELETE /edges/NAME",
            )
        self._caller.close()

    def wake_if_urgent(self) -> None:
        """Let `run` send the next report before its interval has passed, if that report is urgent."""
        if self._configuration.lease_client.has_urgent_report:
            self._urgent_event.set()

    # --- waits --------------------------------------------------------------------------

    def _wait_after_failure(self, error: CallError) -> float:
        """Return the wait before the next report after a failed one, in seconds.

        The next report may go to another address. A Retry-After is kept if the lease lasts for that time and
        one more call, or if there is no lease to lose: the service gives each sidecar another Retry-After, to
        spread their reports over time. Without a lease the waits grow while all addresses fail, because the
        whole fleet may be requesting leases.
        """
        lease_left_s = self._configuration.lease_client.lease_left_ms(self._loop.time()) / 1000.0
        longest_wait_s = (lease_left_s - CALL_S) / (1.0 + RETRY_SPREAD) if lease_left_s else math.inf
        previous_address = self._addresses.current
        wait_s = self._addresses.record_failure(error.retry_after, longest_wait_s)
        if (error.retry_after and self._addresses.current == previous_address) or not lease_left_s:
            return wait_s
        return min(wait_s, RETRY_S * (1.0 + self._rng.random()))

    async def _pause(self, wait_s: float) -> None:
        """Wait for `wait_s` seconds, or until an urgent report is to be sent.

        An urgent report replaces the next regular one. The list service commits a revision once all sidecars
        have acknowledged it, and each sidecar then needs another report to get a lease on the revision. The
        urgent reports of a fleet are spread over a span that the list service states, and that grows with the
        size of the fleet.
        """
        if not self._configuration.lease_client.has_urgent_report:
            self._urgent_event.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._urgent_event.wait()
                await asyncio.sleep(self._urgent_spread_ms / 1000.0 * self._rng.random())
        self._urgent_event.clear()

    def _record_failure(self, reason: str) -> None:
        """Store why the last report failed; `reason` is empty if the report was answered.

        The log gets one line when reports begin to fail, and one when they are answered again.
        """
        if reason and not self.failure:
            log.warning(
                "configuration: reports to the control plane fail", reason=reason, action=CallError.action
            )
        if self.failure and not reason:
            log.info("configuration: reports to the control plane are answered again")
        self.failure = reason

    # --- one report -----------------------------------------------------------------------

    async def _report(self) -> None:
        """Send one report and apply its answer.

        Raise `CallError` if there is no answer, or if the answer comes from a list service of a lower epoch.
        """
        configuration = self._configuration
        configuration.current_stamp(self._loop.time())
        body = self._report_body()
        is_complete = not self._caller.is_connected_to(self._addresses.current)
        report = body if is_complete else report_delta(body, self._last_report)
        answer: Any = await self._caller.call(self._addresses.current, "POST", self._path, CALL_S, report)
        sent_at = self._caller.sent_at
        self._last_report = body
        if isinstance(answer, dict):
            self._complete_answer(answer, body)
        if not configuration.lease_client.receive_answer(sent_at, int(body["seq"]), answer):
            message = "the answer comes from a list service of a lower epoch, which another one has succeeded"
            raise CallError(message)
        for listener in self.answer_listeners:
            listener(sent_at, self._loop.time(), answer)
        self._choose_address(answer)
        self._store_pace(answer)
        if answer.get("news") and configuration.lease_client.lacks_revision(answer):
            await self._fetch_revisions()
        configuration.refresh(self._loop.time())

    def _report_body(self) -> dict[str, Any]:
        """Return all fields of the next report."""
        body = self._configuration.lease_client.report_fields(self._loop.time())
        body |= {"group": self._agreement.group, "region": self._agreement.region}
        for extension in self.extensions:
            body |= extension()
        return body

    def _complete_answer(self, answer: dict[str, Any], body: Mapping[str, Any]) -> None:
        """Add the epoch to an answer without one, and limit the lease to the setting `agree_ms`."""
        answer.setdefault("life", body["of"])  # The answer omits the epoch if the report stated the same one.
        lease_ms = answer.get("permission_ms", 0.0)
        if isinstance(lease_ms, int | float):
            lease_ms = min(lease_ms, self._agreement.agree_ms)
        answer["permission_ms"] = lease_ms

    def _choose_address(self, answer: Mapping[str, Any]) -> None:
        """Choose the address of the next report by whether the answer redirects this sidecar."""
        if answer.get("elsewhere") is True:
            # The next report goes to another address, at its regular time. A running lease stays valid.
            self._addresses.record_redirect()
        else:
            self._addresses.record_no_redirect()

    def _store_pace(self, answer: Mapping[str, Any]) -> None:
        """Store the interval and the spread of urgent reports that the answer requests, within limits."""
        interval_ms = float(answer.get("every_ms", INTERVAL_MS))
        self._interval_ms = min(MAX_INTERVAL_MS, max(INTERVAL_MS, interval_ms))
        spread_ms = float(answer.get("spread_ms", URGENT_SPREAD_MS))
        self._urgent_spread_ms = min(MAX_URGENT_SPREAD_MS, max(URGENT_SPREAD_MS, spread_ms))

    async def _fetch_revisions(self) -> None:
        """Fetch the current revisions, which the watch has not delivered yet."""
        update = await self._caller.call(self._addresses.current, "GET", REVISIONS_PATH, CALL_S)
        self._configuration.lease_client.receive_update(update)
        self.wake_if_urgent()


def report_delta(body: dict[str, Any], last: Mapping[str, Any]) -> dict[str, Any]:
    """Return the report `body` without the fields that equal those of the last report on the connection.

    If a field of the last report is missing in `body`, the complete report is returned: a report without the
    field would mean that the field has not changed.
    """
    if not last.keys() & DELTA_FIELDS <= body.keys():
        return body
    changed = {
        key: value
        for key, value in body.items()
        if key not in DELTA_FIELDS or key not in last or last[key] != value
    }
    return changed | {"after": last["seq"]}
