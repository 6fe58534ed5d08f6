"""Connects the coordinator of configuration revisions with the clock, the store and the service's calls."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from itertools import count
from typing import Any, Protocol, Unpack

import msgspec
from aiohttp import web

from brassfall.controlplane.aggregation.directory import Directory
from brassfall.controlplane.registry import revision_state
from brassfall.controlplane.registry.channels import StateChannel
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.tasks import Tasks
from brassfall.controlplane.registry.watches import Channel
from brassfall.controlplane.revisions import messages
from brassfall.controlplane.revisions.coordinator import RevisionCoordinator
from brassfall.controlplane.revisions.membership import Membership
from brassfall.controlplane.revisions.reports import Objection, Report
from brassfall.controlplane.revisions.state import DurableState
from brassfall.controlplane.revisions.timing import LeaseTiming
from brassfall.controlplane.store.commands import Delete, Put
from brassfall.controlplane.store.outcomes import NotWrittenError
from brassfall.controlplane.store.store import Store
from brassfall.errors import PreconditionFailedError, UnavailableError
from brassfall.logs import faults, logger
from brassfall.settings import AgreementSettings

STATE_TABLE, STATE_KEY = "rules", "state"  # table and key of the row with the coordinator's durable state
MEMBER_TABLE = "edges"  # table with one row for each member
CHANNEL = "/rules"  # name of the watch channel of the revision state
TICK_S = 0.05  # interval at which the coordinator of revisions gets a tick event
SWEEP_S = 60.0  # interval at which nodes that no longer report are removed
WRITE_FAILED_ACTION = "Check the disk of the list service (/status has its error); nothing has changed."
FORGOTTEN_ACTION = "If the node is not gone for good, check its process and its network to the list service."
HALTED_ACTION = "Fix what the objections name, and publish again. The committed revision stays active."

AnswerFields = dict[str, Any]  # fields of an answer, by their names in JSON

log = logger("rules")
_encode = msgspec.json.Encoder().encode


class Host(Protocol):
    """The part of a list service that the revision service uses."""

    store: Store
    channels: dict[str, Channel]

    async def body(self, request: web.Request) -> bytes:
        """Return the complete body of a call; raise if it exceeds the limits."""

    async def watch(self, request: web.Request, place: str) -> web.StreamResponse:
        """Serve a watch on a channel until it ends."""


class ReportExtension(Protocol):
    """A part of the list service with its own fields in reports and in the answers to them."""

    def receive_report(self, name: str, report: Report) -> AnswerFields:
        """Apply a sidecar's report; return the extension's fields of the answer."""

    def forget_sidecar(self, name: str) -> None:
        """Remove all state about a sidecar that has left the fleet."""

    def findings(self) -> dict[str, list[str]]:
        """Return the extension's findings, as texts, by sidecar."""


class UnwrittenError(UnavailableError):
    """A published revision could not be written to disk; the configuration has not changed."""

    action = "Look at the disk of the list service (/status says what it answered), then publish again."


@dataclass(slots=True)
class RevisionStatistics:
    """Counts of reports and publications since the start of the process."""

    reports: int = 0  # number of answered reports, of sidecars and aggregators
    refused_reports: int = 0
    granted: int = 0  # number of reports answered with a lease
    published: int = 0
    harmful: int = 0  # number of revisions refused as harmful
    forced: int = 0  # number of harmful revisions that were published by force


@dataclass(slots=True)
class RevisionService:
    """Runs the coordinator of a list service; all methods are to be called in the service's loop."""

    host: Host
    settings: AgreementSettings
    statistics: RevisionStatistics = field(default_factory=RevisionStatistics)
    blocked: dict[str, str] = field(default_factory=dict)  # sidecars that get no lease, with the reason
    extensions: list[ReportExtension] = field(default_factory=list)
    coordinator: RevisionCoordinator = field(init=False)
    directory: Directory = field(init=False)  # aggregators, and which children belong to which of them
    channel: StateChannel = field(init=False)
    started_ms: float = 0.0
    _tickets: count[int] = field(default_factory=count)
    # Futures of the publications under way, by ticket.
    _publishers: dict[int, asyncio.Future[int]] = field(default_factory=dict)
    # The coordinator's answers to reports, by the ticket of the report.
    _lease_answers: dict[int, messages.LeaseAnswer] = field(default_factory=dict)
    _members_being_written: set[str] = field(default_factory=set)  # members whose row is being written
    _tasks: Tasks = field(default_factory=Tasks)
    _encoded_line: tuple[DurableState, bytes] | None = None  # the last encoded state, and its line

    def start(self, watch_bytes: int, stuck_s: float) -> None:
        """Read the durable state from the store, and begin an epoch; call it once the store is loaded.

        `watch_bytes` and `stuck_s` limit the watches on the revision state: how many unread bytes a watch may
        have, and for how long it may then read nothing, in s.
        """
        table = self.host.store.state
        row = table.get(STATE_TABLE, STATE_KEY)
        state = msgspec.convert(row.value, DurableState) if row is not None else DurableState()
        members = {row.key for row in table.rows(MEMBER_TABLE)}
        membership = Membership(epoch=self.host.store.incarnation, names=members)
        timing = LeaseTiming(agree_ms=self.settings.agree_ms)
        self.started_ms = self.now()
        self.coordinator = RevisionCoordinator(
            timing, self.started_ms, state, membership, blocked=self.blocked
        )
        self.directory = Directory(timing.expiry_bound_ms, self.settings.members_most)
        self.channel = StateChannel(self.line, watch_bytes, stuck_s)
        self.host.channels[CHANNEL] = self.channel
        self._tasks.spawn(self._tick())

    async def close(self) -> None:
        """Cancel all tasks, including writes under way."""
        await self._tasks.end()

    @staticmethod
    def now() -> float:
        """Return the time that the coordinator uses, in monotonic ms."""
        return time.monotonic() * 1000.0

    # --- the coordinator --------------------------------------------------------------

    def step(self, event: messages.Event) -> None:
        """Pass an event to the coordinator, and perform the actions that it returns."""
        for action in self.coordinator.step(self.now(), event):
            self._carry_out(action)

    def _carry_out(self, action: messages.Action) -> None:
        match action:
            case messages.Persist(state):
                self._tasks.spawn(self._persist(state))
            case messages.PersistMember(name, member=True):
                self._start_member_write(name)
            case messages.PersistMember(name):
                self._start_member_delete(name)
                self.forget(name)
            case messages.LeaseAnswer(ticket):
                self._lease_answers[ticket] = action
            case messages.Published(ticket, revision):
                self._resolve_publication(ticket, revision)
            case messages.PublishConflict(ticket, newest):
                error = PreconditionFailedError("not published", f"the newest edition is {newest}")
                self._resolve_publication(ticket, error)
            case messages.PublishFailed(ticket):
                self._resolve_publication(ticket, UnwrittenError("not published", "the disk refused it"))
            case messages.NotifyWatches():
                self._encoded_line = None
                self.channel.state_changed()

    async def _tick(self) -> None:
        swept_ms = self.now()
        while True:
            await asyncio.sleep(TICK_S)
            with faults(log):
                self.step(messages.Tick())
                if self.now() - swept_ms > SWEEP_S * 1000.0:
                    swept_ms = self.now()
                    self.sweep(swept_ms)

    # --- reports ----------------------------------------------------------------------

    def answer_report(
        self, name: str, report: Report, objections: Mapping[str, Objection] | None = None
    ) -> messages.LeaseAnswer:
        """Pass a report to the coordinator; return its answer.

        `objections` maps children of a reporting aggregator to their objections.
        """
        ticket = next(self._tickets)
        self.step(messages.ReportReceived(ticket, name, report, objections or {}))
        answer = self._lease_answers.pop(ticket)
        self.statistics.reports += 1
        self.statistics.granted += answer.lease_ms > 0.0
        return answer

    # --- publications -----------------------------------------------------------------

    def publish(self, **draft: Unpack[messages.DraftFields]) -> asyncio.Future[int]:
        """Publish a revision; the future's result is its number, once the revision is durable.

        The future fails with `PreconditionFailedError` if the draft follows a revision that is not the
        newest, and with `UnwrittenError` if the write fails. Cancelling it does not end the publication.
        """
        ticket = next(self._tickets)
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._publishers[ticket] = future
        list_index = self.host.store.state.last_index(INSTANCES)
        self.step(messages.Publish(ticket, list_index=list_index, **draft))
        return future

    def _resolve_publication(self, ticket: int, result: int | Exception) -> None:
        future = self._publishers.pop(ticket, None)
        if future is None or future.done():
            return
        if isinstance(result, int):
            future.set_result(result)
        else:
            future.set_exception(result)

    async def _persist(self, state: DurableState) -> None:
        before = self.coordinator.state
        row = Put(table=STATE_TABLE, key=STATE_KEY, value=msgspec.to_builtins(state))
        try:
            await self.host.store.submit(row)
        except NotWrittenError as error:
            log.error(  # noqa: TRY400 - the reason says enough without a traceback
                "state of the configuration revisions not written to disk",
                reason=str(error),
                action=WRITE_FAILED_ACTION,
            )
            self.step(messages.PersistFailed())
            return
        self.step(messages.Persisted())
        _log_changes(before, state)

    # --- members ----------------------------------------------------------------------

    def forget(self, name: str) -> None:
        """Make all extensions forget a node that has left, and the children of an aggregator with it."""
        for sidecar in (name, *self.directory.remove(name)):
            for extension in self.extensions:
                extension.forget_sidecar(sidecar)

    def sweep(self, now_ms: float) -> None:
        """Remove nodes, members or not, that have not reported for `forget_ms`.

        Members are removed only while the coordinator may grant leases. Otherwise a minority of the members
        could become the majority.
        """
        may_grant = self.coordinator.grant_refusal(now_ms) is None
        membership, limit_ms = self.coordinator.membership, now_ms - self.settings.forget_ms
        self.coordinator.leases.active(now_ms)  # this call also removes leases that have ended
        for name in [*membership.nodes.keys() | membership.names]:
            if name in membership.names and not may_grant:
                continue
            node = membership.nodes.get(name)
            if (node.reported_ms if node is not None else self.started_ms) < limit_ms:
                log.warning(
                    "node removed for lack of reports",
                    name=name,
                    reason="no report for too long",
                    action=FORGOTTEN_ACTION,
                )
                self.step(messages.RemoveMember(name))
                self.forget(name)

    def remove_migrated(self) -> None:
        """Remove members that now report to an aggregator, so that they no longer count towards a majority.

        As with all members that leave, this is done only while the coordinator may grant leases.
        """
        now_ms, membership = self.now(), self.coordinator.membership
        if self.coordinator.grant_refusal(now_ms) is not None:
            return
        for name in [name for name in membership.names if name in self.directory]:
            node = membership.nodes.get(name)
            if node is None or now_ms - node.reported_ms > self.coordinator.timing.epoch_wait_ms:
                self.step(messages.RemoveMember(name))

    def _start_member_write(self, name: str) -> None:
        if name not in self._members_being_written:
            self._members_being_written.add(name)
            self._tasks.spawn(self._write_member_row(name))

    async def _write_member_row(self, name: str) -> None:
        with self._member_write(name):
            await self.host.store.submit(Put(table=MEMBER_TABLE, key=name, value={}, quiet=True))
            self.coordinator.member_added(name)

    def _start_member_delete(self, name: str) -> None:
        self._members_being_written.add(name)
        self._tasks.spawn(self._delete_member_row(name))

    async def _delete_member_row(self, name: str) -> None:
        with self._member_write(name):
            await self.host.store.submit(Delete(table=MEMBER_TABLE, key=name))

    @contextlib.contextmanager
    def _member_write(self, name: str) -> Iterator[None]:
        """Guard a write of a member's row: log a failure, and allow another write after the end."""
        try:
            yield
        except NotWrittenError as error:
            log.warning(
                "membership change of a node not written to disk",
                name=name,
                reason=str(error),
                action=WRITE_FAILED_ACTION,
            )
        finally:
            self._members_being_written.discard(name)

    # --- views ------------------------------------------------------------------------

    def line(self) -> bytes:
        """Return the encoded line that watches on the revision state get."""
        state = self.coordinator.state
        if self._encoded_line is None or self._encoded_line[0] is not state:
            encoded = _encode(revision_state.current_state(state, self.coordinator.epoch))
            self._encoded_line = (state, encoded)
        return self._encoded_line[1]

    def durable_state(self) -> DurableState:
        """Return the durable state of the configuration revisions."""
        return self.coordinator.state

    def overrides_in_force(self) -> list[dict[str, Any]] | None:
        """Return the overrides in the committed revision; None while another revision is pending."""
        state = self.coordinator.state
        return None if state.pending is not None else state.committed.overrides


def _log_changes(before: DurableState, after: DurableState) -> None:
    if after.committed.number != before.committed.number:
        log.info("configuration revision committed", edition=after.committed.number)
    if after.halted is not None and after.halted != before.halted:
        log.warning(
            "configuration revision halted, nodes object to it",
            edition=after.halted.revision.number,
            objections=after.halted.objections,
            action=HALTED_ACTION,
        )
    if after.pending is not None and after.pending != before.pending:
        log.info(
            "configuration revision prepared, waiting for acknowledgements",
            edition=after.pending.number,
            layers=after.pending.layers,
        )
