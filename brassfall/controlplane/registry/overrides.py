"""Overrides in the list service: HTTP calls under `/overrides`, and fields of reports and answers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from typing import Any, Protocol, Unpack

import msgspec
from aiohttp import web

from brassfall.controlplane.aggregation.child_orders import ChildOrders
from brassfall.controlplane.aggregation.messages import (
    AggregatorReport,
    ChildException,
    ChildOrder,
    PlaceDigest,
)
from brassfall.controlplane.overrides import document, events, history
from brassfall.controlplane.overrides import reconciler as reconciliation
from brassfall.controlplane.overrides.document import Override
from brassfall.controlplane.overrides.reconciler import Reconciler
from brassfall.controlplane.overrides.store import TABLE, OverrideStore
from brassfall.controlplane.registry import entries
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.override_clock import OverrideClock
from brassfall.controlplane.registry.tasks import Tasks
from brassfall.controlplane.revisions.messages import DraftFields
from brassfall.controlplane.revisions.reports import Report
from brassfall.controlplane.store.commands import Command, Delete, Put
from brassfall.controlplane.store.outcomes import OutcomeUnknownError
from brassfall.controlplane.store.store import Store
from brassfall.controlplane.store.writer import UNKNOWN_AFTER_S
from brassfall.errors import UnavailableError
from brassfall.logs import faults, logger

TICK_S = 0.1  # interval at which the ends of overrides are checked
# Backoff between attempts to publish the overrides in force, from the first pause to the longest. It limits
# the number of revisions if sidecars object to each of them.
REPUBLISH_S, MAX_REPUBLISH_S = 1.0, 30.0
REPEAT_CALL_ACTION = "Send the same call again: it is answered with the outcome, and changes nothing twice."
LEASE_DENIED = "it acts on other overrides than are due"  # on the wire, as the reason to grant no lease

NOT_PUBLISHED_ACTION = "See the reason and /status. The overrides are published again automatically."

log = logger("overrides")
_encode = msgspec.json.Encoder().encode


class Host(Protocol):
    """The part of the list service that overrides use."""

    store: Store

    async def body(self, request: web.Request) -> bytes:
        """Return the complete body of a call; raise if it exceeds the limits."""


class Revisions(Protocol):
    """The part of the revision service that overrides use."""

    blocked: dict[str, str]  # sidecars that get no lease, with the reason

    def overrides_in_force(self) -> list[dict[str, Any]] | None:
        """Return the overrides of the committed revision; None while another one is pending."""

    def publish(self, **draft: Unpack[DraftFields]) -> asyncio.Future[int]:
        """Publish a revision; the future's result is its number, once the revision is durable."""


@dataclass(frozen=True, slots=True)
class OverrideMessages:
    """The part of an answer to an aggregator's report that is about overrides."""

    left: dict[str, dict[str, int]]
    digests: list[PlaceDigest]
    orders: list[ChildOrder]


@dataclass(slots=True)
class Overrides:
    """Connects the override store and the reconciler of a list service with its disk, calls and reports."""

    host: Host
    revisions: Revisions
    store: OverrideStore = field(init=False)
    reconciler: Reconciler = field(init=False)
    clock: OverrideClock = field(init=False)
    _call_numbers: count[int] = field(default_factory=count)
    # Results of the calls under way, by the number of the call.
    _answers: dict[int, asyncio.Future[Override | None]] = field(default_factory=dict)
    _tasks: Tasks = field(default_factory=Tasks)
    _in_force: tuple[Override, ...] = ()
    _publishing: bool = False
    _republish_at: float = 0.0  # earliest time at which the overrides are published again, monotonic s
    _republish_pause_s: float = REPUBLISH_S
    _resend_times: set[str] = field(default_factory=set)  # sidecars whose next answer has all times left
    _request_details: set[str] = field(default_factory=set)  # sidecars whose next answer requests details

    async def start(self) -> None:
        """Load the durable state, store the time of the clock, and start to end overrides that are over.

        Raise `UnavailableError` while the disk fails; then it may be called again.
        """
        state = self.host.store.state
        ring = history.HistoryRing()
        history_entries = sorted(state.rows(history.TABLE), key=lambda row: row.key)
        ring.restore(row.key for row in history_entries)
        self.store, self.reconciler = OverrideStore(ring), Reconciler(ring)
        self.clock = OverrideClock(self.host.store, self._tasks)
        rows = ((row.key, row.value) for row in state.rows(TABLE))
        for key in self.store.restore(rows, (row.value for row in history_entries)):
            log.error(
                "stored override unreadable",
                override=key,
                action="End it with `override end`, and write it anew.",
            )
        self.reconciler.restore(row.value for row in history_entries)
        await self.clock.write_first_mark()
        self._tasks.spawn(self._tick())

    async def close(self) -> None:
        """Cancel all tasks, including writes under way."""
        await self._tasks.end()

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes under `/overrides`."""
        return [
            web.get("/overrides", self._list),
            web.get("/overrides/{name}", self._get),
            web.put("/overrides/{name}", self._put),
            web.delete("/overrides/{name}", self._end),
        ]

    # --- the store and the reconciler -------------------------------------------------

    def now(self) -> int:
        """Return the time in Unix ms by the override clock, which does not follow steps of the wall clock."""
        return self.clock.now()

    def _step(self, event: events.Event) -> None:
        """Pass an event to the override store, and perform the actions that it returns."""
        for action in self.store.step(self.now(), event):
            match action:
                case events.WriteRow(ticket, override):
                    row = Put(table=TABLE, key=override.id, value=action.value)
                    # The clock's time is stored with the override, so that after a crash the clock does not
                    # restart at a time before it.
                    self._tasks.spawn(self._write_and_report(ticket, row, self.clock.mark()))
                case events.DeleteRow(ticket, name):
                    self._tasks.spawn(self._write_and_report(ticket, Delete(table=TABLE, key=name)))
                case history.WriteEntry():
                    self._write_history(action)
                case events.Publish(overrides):
                    self._in_force = overrides
                    self._republish_at, self._republish_pause_s = 0.0, REPUBLISH_S
                    self._reconcile(reconciliation.OverridesPublished(overrides))
                    self._publish_in_force()
                case events.Answer():
                    self._resolve_call(action)

    def _resolve_call(self, result: events.Answer) -> None:
        future = self._answers.pop(result.call, None)
        if future is None or future.done():
            return
        if result.error is not None:
            future.set_exception(result.error)
        else:
            future.set_result(result.override)

    def _reconcile(self, event: reconciliation.Event) -> None:
        """Pass an event to the reconciler, and perform the actions that it returns."""
        for action in self.reconciler.step(self.now(), event):
            match action:
                case reconciliation.RequestDetails(node):
                    self._request_details.add(node)
                case reconciliation.Resend(node):
                    self._resend_times.add(node)
                case reconciliation.DenyLease(node):
                    self.revisions.blocked[node] = LEASE_DENIED
                    log.warning(
                        "sidecar gets no lease, it acts on other overrides than are due",
                        edge=node,
                        action="Upgrade that sidecar, or end the override.",
                    )
                case reconciliation.AllowLease(node):
                    self.revisions.blocked.pop(node, None)
                case reconciliation.AlertOperator(finding):
                    log.error(
                        "sidecar acts on other overrides than are due",
                        edge=finding.node,
                        kind=finding.kind,
                        ids=finding.ids,
                        action=finding.action,
                    )
                case history.WriteEntry():
                    self._write_history(action)

    def _write_history(self, action: history.WriteEntry) -> None:
        rows: list[Command] = [Put(table=history.TABLE, key=action.key, value=action.value)]
        if action.drop:
            rows.append(Delete(table=history.TABLE, key=action.drop))
        self._tasks.spawn(self._write_rows(rows))

    async def _write_rows(self, rows: Iterable[Command]) -> str:
        """Write rows to the store; return the reason if that fails, an empty text if they are durable."""
        try:
            # All rows are submitted before the first is awaited, so that they share one commit.
            for future in [self.host.store.submit(row) for row in rows]:
                await future
        except UnavailableError as error:
            return str(error)
        return ""

    async def _write_and_report(self, ticket: int, *rows: Command) -> None:
        self._step(events.RowWritten(ticket, await self._write_rows(rows)))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            with faults(log):
                self._step(events.Tick())
                self._reconcile(reconciliation.Tick())
                self._publish_in_force()
            if self._in_force:
                self.clock.write_mark_when_due()  # only the ends of overrides depend on this time

    def _publish_in_force(self) -> None:
        """Start to publish the overrides in force, unless the committed revision has them."""
        published = self.revisions.overrides_in_force()
        if published is None or self._publishing or time.monotonic() < self._republish_at:
            return
        overrides_in_force = document.overrides_layer(self._in_force)
        if published == overrides_in_force:
            self._republish_pause_s = REPUBLISH_S
            return
        self._publishing = True
        self._republish_at = time.monotonic() + self._republish_pause_s
        self._republish_pause_s = min(MAX_REPUBLISH_S, 2.0 * self._republish_pause_s)
        self._tasks.spawn(self._publish(overrides_in_force))

    async def _publish(self, layer: list[dict[str, Any]]) -> None:
        try:
            await self.revisions.publish(overrides=layer)
        except UnavailableError as error:
            log.warning("overrides not published", reason=str(error), action=NOT_PUBLISHED_ACTION)
        finally:
            self._publishing = False

    # --- reports ------------------------------------------------------------------------

    def receive_report(self, name: str, report: Report) -> dict[str, Any]:
        """Apply the part of a sidecar's report about overrides; return the fields of the answer about them.

        Call it before the lease is decided, since it may block the sidecar's lease.
        """
        digest = report.digest if report.overrides is not None else None
        place = (report.group, report.region)
        self._reconcile(reconciliation.DigestReported(name, report.process_id, *place, digest))
        if report.acted_overrides is not None:
            self._reconcile(reconciliation.DetailsReceived(name, report.acted_overrides))
        answered: dict[str, Any] = {}
        send_all = report.refresh_times or name in self._resend_times
        self._resend_times.discard(name)
        now = self.now()
        left = document.times_left(
            self.store.active(now), now, 0 if send_all else report.known_override_revision
        )
        if left:
            answered["left"] = left
        if name in self._request_details:
            self._request_details.discard(name)
            answered["list_overrides"] = True
        return answered

    def receive_aggregator_report(
        self, now: float, rows: Iterable[ChildException], report: AggregatorReport, orders: ChildOrders
    ) -> OverrideMessages:
        """Apply the part of an aggregator's report about overrides; return that part of the answer.

        `rows` holds the children whose digest of overrides differs from the expected one; `now` is monotonic
        ms.
        """
        names = []
        for row in rows:
            names.append(row.name)
            place = (row.place.group, row.place.region)
            self._reconcile(reconciliation.DigestReported(row.name, row.process_id, *place, row.digest))
            if row.acted_overrides is not None:
                self._reconcile(reconciliation.DetailsReceived(row.name, row.acted_overrides))
        due = orders.due(now, names, self.revisions.blocked, self._request_details, self._resend_times)
        self._request_details.difference_update(names)
        self._resend_times.difference_update(names)
        unix_ms = self.now()
        digests = [
            PlaceDigest(place, self.reconciler.expected_digest(unix_ms, place.group, place.region))
            for place in report.places
        ]
        left = document.times_left(self.store.active(unix_ms), unix_ms, report.known_override_revision)
        return OverrideMessages(left, digests, due)

    def forget_moved_sidecar(self, name: str) -> None:
        """Close the findings about a sidecar that has moved to another aggregator, or left its aggregator."""
        if self.reconciler.has_node(name):
            self.forget_sidecar(name)

    def forget_sidecar(self, name: str) -> None:
        """Close the findings about a sidecar that has left the fleet, and unblock its lease."""
        self._reconcile(reconciliation.NodeLeft(name))
        self.revisions.blocked.pop(name, None)

    def findings(self) -> dict[str, list[str]]:
        """Return the findings by sidecar, each as a text with the action for the operator."""
        found: dict[str, list[str]] = {}
        for finding in self.reconciler.findings:
            found.setdefault(finding.node, []).append(f"{finding.kind}: {finding.action}")
        return found

    # --- calls ----------------------------------------------------------------------------

    async def _apply_change(self, event_for_call: Callable[[int], events.Event]) -> web.Response:
        """Pass a change to the override store, and answer once it is durable.

        `event_for_call` returns the event of the change for the number of this call. Cancelling does not undo
        the change.
        """
        call = next(self._call_numbers)
        future: asyncio.Future[Override | None] = asyncio.get_running_loop().create_future()
        self._answers[call] = future
        self._step(event_for_call(call))
        override = await self._wait_for_outcome(future)
        return answer(_encode(document.listing_row(override, self.now()) if override is not None else {}))

    async def _wait_for_outcome(self, future: asyncio.Future[Override | None]) -> Override | None:
        """Return the result of a change; raise `OutcomeUnknownError` if the disk does not answer in time."""
        while not future.done():
            await asyncio.wait({future}, timeout=UNKNOWN_AFTER_S)
            if not future.done() and self.host.store.outcome_unknown:
                future.cancel()  # only the wait ends; the change may still be carried out
                what, why = "the change may have happened", self.host.store.statistics.disk_error
                raise OutcomeUnknownError(what, why, REPEAT_CALL_ACTION)
        return future.result()

    async def _put(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        override = document.parse_document(name, await self.host.body(request), self.now())
        return await self._apply_change(lambda call: events.Put(call, name, override))

    async def _end(self, request: web.Request) -> web.Response:
        name = entries.check_name(request.match_info["name"])
        by, why = (request.query.get(key, "")[: document.TEXT_MOST] for key in ("by", "why"))
        return await self._apply_change(lambda call: events.End(call, name, by, why))

    async def _get(self, request: web.Request) -> web.Response:
        name, now = entries.check_name(request.match_info["name"]), self.now()
        override = self.store.get(name, now)
        if override is None:
            raise events.NoSuchOverrideError(name, "shown")
        return answer(_encode(document.listing_row(override, now)))

    async def _list(self, _request: web.Request) -> web.Response:
        now = self.now()
        rows = [document.listing_row(override, now) for override in self.store.active(now)]
        return answer(_encode({"overrides": rows, "findings": self.findings(), "now_ms": now}))
