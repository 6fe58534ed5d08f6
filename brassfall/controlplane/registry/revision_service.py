"""The coordinator of revisions within a running service: its clock, its disk and its publishers."""

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

STATE_TABLE, STATE_KEY = "rules", "state"  # the row of the durable state
MEMBER_TABLE = "edges"  # one row for each durable member
CHANNEL = "/rules"  # among the channels of watches
TICK_S = 0.05
SWEEP_S = 60.0
UNWRITTEN = "Look at the disk of the list service (/status says what it answered); nothing has changed."
FORGOTTEN = "Nothing if it is gone for good; else look at its process and its network to the service."
HALTED = "Fix what the objections name and publish again; the revision before stays active."

AnswerFields = dict[str, Any]  # by the wire's names

log = logger("rules")
_encode = msgspec.json.Encoder().encode


class Host(Protocol):
    """What the parts of a list service use of it."""

    store: Store
    channels: dict[str, Channel]

    async def body(self, request: web.Request) -> bytes:
        """Return the complete body of a call; raise if it exceeds the limits."""

    async def watch(self, request: web.Request, place: str) -> web.StreamResponse:
        """Serve a watch on a channel until it ends."""


class ReportExtension(Protocol):
    """A part of the service with its own fields in reports and their answers."""

    def receive_report(self, name: str, report: Report) -> AnswerFields:
        """Apply a sidecar's report; return its fields of the answer."""

    def forget_sidecar(self, name: str) -> None:
        """Forget a sidecar that has left the fleet."""

    def findings(self) -> dict[str, list[str]]:
        """Return the findings by sidecar."""


class UnwrittenError(UnavailableError):
    """A revision could not be made durable; nothing has changed."""

    action = "Look at the disk of the list service (/status says what it answered), then publish again."


@dataclass(slots=True)
class RevisionStatistics:
    """Counts since the start."""

    reports: int = 0  # answered, of sidecars and aggregators
    refused_reports: int = 0
    granted: int = 0
    published: int = 0
    harmful: int = 0  # refused
    forced: int = 0


@dataclass(slots=True)
class RevisionService:
    """The coordinator of a list service; everything runs in the service's loop."""

    host: Host
    settings: AgreementSettings
    statistics: RevisionStatistics = field(default_factory=RevisionStatistics)
    blocked: dict[str, str] = field(default_factory=dict)  # sidecars that get no lease, and why
    extensions: list[ReportExtension] = field(default_factory=list)
    coordinator: RevisionCoordinator = field(init=False)
    directory: Directory = field(init=False)  # of the children of aggregators
    channel: StateChannel = field(init=False)
    started_ms: float = 0.0
    _tickets: count[int] = field(default_factory=count)
    _publishers: dict[int, asyncio.Future[int]] = field(default_factory=dict)  # by ticket
    _answers: dict[int, messages.LeaseAnswer] = field(default_factory=dict)  # by ticket
    _writing: set[str] = field(default_factory=set)  # members whose rows are being written
    _tasks: Tasks = field(default_factory=Tasks)
    _line: tuple[DurableState, bytes] | None = None  # a state, and its encoded line

    def start(self, watch_bytes: int, stuck_s: float) -> None:
        """Load the durable state from the store, which has to be loaded, and begin an epoch.

        `watch_bytes` and `stuck_s` limit the watches on the state as they do those on tables.
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
        """Stop; writes under way are cancelled."""
        await self._tasks.end()

    @staticmethod
    def now() -> float:
        """Return the coordinator's time, in monotonic ms."""
        return time.monotonic() * 1000.0

    # --- the coordinator --------------------------------------------------------------

    def step(self, event: messages.Event) -> None:
        """Pass an event to the coordinator, and carry its actions out."""
        for action in self.coordinator.step(self.now(), event):
            self._carry_out(action)

    def _carry_out(self, action: messages.Action) -> None:
        match action:
            case messages.Persist(state):
                self._tasks.spawn(self._persist(state))
            case messages.PersistMember(name, member=True):
                self._add_member(name)
            case messages.PersistMember(name):
                self._delete_member(name)
                self.forget(name)
            case messages.LeaseAnswer(ticket):
                self._answers[ticket] = action
            case messages.Published(ticket, revision):
                self._settle(ticket, revision)
            case messages.PublishConflict(ticket, newest):
                error = PreconditionFailedError("not published", f"the newest edition is {newest}")
                self._settle(ticket, error)
            case messages.PublishFailed(ticket):
                self._settle(ticket, UnwrittenError("not published", "the disk refused it"))
            case messages.NotifyWatches():
                self._line = None
                self.channel.state_changed()

    async def _tick(self) -> None:
        swept = self.now()
        while True:
            await asyncio.sleep(TICK_S)
            with faults(log):
                self.step(messages.Tick())
                if self.now() - swept > SWEEP_S * 1000.0:
                    swept = self.now()
                    self.sweep(swept)

    # --- reports ----------------------------------------------------------------------

    def report(
        self, name: str, report: Report, objections: Mapping[str, Objection] | None = None
    ) -> messages.LeaseAnswer:
        """Return the coordinator's answer to a report; `objections` are those of an aggregator's children."""
        ticket = next(self._tickets)
        self.step(messages.ReportReceived(ticket, name, report, objections or {}))
        answer = self._answers.pop(ticket)
        self.statistics.reports += 1
        self.statistics.granted += answer.lease_ms > 0.0
        return answer

    # --- publications -----------------------------------------------------------------

    def publish(self, **draft: Unpack[messages.DraftFields]) -> asyncio.Future[int]:
        """Publish a revision; return a future of its number, which is set once it is durable.

        The future fails with `PreconditionFailedError` if another revision is the newest, and with
        `UnwrittenError` if the write fails; cancelling it does not end the publication.
        """
        ticket = next(self._tickets)
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._publishers[ticket] = future
        list_index = self.host.store.state.last_index(INSTANCES)
        self.step(messages.Publish(ticket, list_index=list_index, **draft))
        return future

    def _settle(self, ticket: int, result: int | Exception) -> None:
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
            log.error("not durable", reason=str(error), action=UNWRITTEN)  # noqa: TRY400 - no traceback is needed
            self.step(messages.PersistFailed())
            return
        self.step(messages.Persisted())
        _log_changes(before, state)

    # --- members ----------------------------------------------------------------------

    def forget(self, name: str) -> None:
        """Have all parts forget a node that has left, and an aggregator's children with it."""
        for sidecar in (name, *self.directory.remove(name)):
            for extension in self.extensions:
                extension.forget_sidecar(sidecar)

    def sweep(self, now: float) -> None:
        """Remove nodes, members or not, that have not reported for `forget_ms`; `now` is monotonic ms.

        Members are removed only if this service may grant leases: otherwise a minority could become the
        majority.
        """
        may_grant = self.coordinator.grant_refusal(now) is None
        membership, limit_ms = self.coordinator.membership, now - self.settings.forget_ms
        self.coordinator.leases.active(now)  # forgets those that have ended
        for name in [*membership.nodes.keys() | membership.names]:
            if name in membership.names and not may_grant:
                continue
            node = membership.nodes.get(name)
            if (node.reported_ms if node is not None else self.started_ms) < limit_ms:
                log.warning("forgotten", name=name, reason="no report for too long", action=FORGOTTEN)
                self.step(messages.RemoveMember(name))
                self.forget(name)

    def remove_migrated(self) -> None:
        """Remove members that now report to an aggregator, and so no longer count towards a majority.

        Only a service that may grant leases does so, as with all members that leave.
        """
        now, membership = self.now(), self.coordinator.membership
        if self.coordinator.grant_refusal(now) is not None:
            return
        for name in [name for name in membership.names if name in self.directory]:
            node = membership.nodes.get(name)
            if node is None or now - node.reported_ms > self.coordinator.timing.epoch_wait_ms:
                self.step(messages.RemoveMember(name))

    def _add_member(self, name: str) -> None:
        if name not in self._writing:
            self._writing.add(name)
            self._tasks.spawn(self._write_member(name))

    async def _write_member(self, name: str) -> None:
        with self._member_written(name):
            await self.host.store.submit(Put(table=MEMBER_TABLE, key=name, value={}, quiet=True))
            self.coordinator.member_added(name)

    def _delete_member(self, name: str) -> None:
        self._writing.add(name)
        self._tasks.spawn(self._unwrite_member(name))

    async def _unwrite_member(self, name: str) -> None:
        with self._member_written(name):
            await self.host.store.submit(Delete(table=MEMBER_TABLE, key=name))

    @contextlib.contextmanager
    def _member_written(self, name: str) -> Iterator[None]:
        """Note that a member's row is being written; a failed write is tried again with a later report."""
        try:
            yield
        except NotWrittenError as error:
            log.warning("member not durable", name=name, reason=str(error), action=UNWRITTEN)
        finally:
            self._writing.discard(name)

    # --- views ------------------------------------------------------------------------

    def line(self) -> bytes:
        """Return the line that watches on the state get."""
        state = self.coordinator.state
        if self._line is None or self._line[0] is not state:
            encoded = _encode(revision_state.current_state(state, self.coordinator.epoch))
            self._line = (state, encoded)
        return self._line[1]

    def durable_state(self) -> DurableState:
        """Return the durable state of the revisions."""
        return self.coordinator.state

    def overrides_in_force(self) -> list[dict[str, Any]] | None:
        """Return the overrides layer of the committed revision; None while another one is pending."""
        state = self.coordinator.state
        return None if state.pending is not None else state.committed.overrides


def _log_changes(before: DurableState, after: DurableState) -> None:
    if after.committed.number != before.committed.number:
        log.info("committed", edition=after.committed.number)
    if after.halted is not None and after.halted != before.halted:
        log.warning(
            "halted",
            edition=after.halted.revision.number,
            objections=after.halted.objections,
            action=HALTED,
        )
    if after.pending is not None and after.pending != before.pending:
        log.info("prepared", edition=after.pending.number, layers=after.pending.layers)
