"""The reconciler: finds sidecars that act on other overrides than are due, and corrects them. Pure code.

Sidecars report a digest of the overrides that they act on. Details are requested only if the digest differs
for longer than delivery takes. A sidecar that reports falsely is not found here, but by the headers that
servers receive.

A node with a finding is sent all overrides that are due, up to `MAX_RESENDS` times `RESEND_MS` apart; then
its lease is denied; after `DENIED_MS` more the operator is alerted.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from itertools import islice
from typing import Any

import msgspec

from brassfall.controlplane.overrides.document import Override
from brassfall.controlplane.overrides.expected import DELIVERY_MS, LATE_MS, Ended, ExpectedOverrides
from brassfall.controlplane.overrides.findings import ACTS_PAST_END, Finding, Kind
from brassfall.controlplane.overrides.history import Entry, EntryKind, HistoryRing, WriteEntry

RESEND_MS = 1000  # between two resends
MAX_RESENDS = 3  # before the lease is denied
DENIED_MS = 6000  # from denying the lease, which has ended by then, to the alert
FORGET_MS = 600_000  # without a report, until a node is forgotten
MAX_NODES = 10_000
MAX_OPENED_PER_S = 200  # findings, each of which is a write; others wait for their next report
MAX_CHECKED = 256  # nodes that one `Tick` checks
MAX_IDS = 20  # that a finding names


# --- events ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class OverridesPublished:
    """The overrides in force from now on, as the override store publishes them."""

    overrides: tuple[Override, ...]


@dataclass(frozen=True, slots=True)
class DigestReported:
    """A sidecar's report; `digest` is None from a version without overrides.

    `incarnation` distinguishes the processes of one node.
    """

    node: str
    incarnation: str
    group: str = ""
    region: str = ""
    digest: str | None = None


@dataclass(frozen=True, slots=True)
class DetailsReceived:
    """The overrides that a sidecar says it acts on, revisions by id, as requested; any JSON."""

    node: str
    acted: object


@dataclass(frozen=True, slots=True)
class NodeLeft:
    """A sidecar has left the fleet."""

    node: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; nothing else has happened."""


Event = OverridesPublished | DigestReported | DetailsReceived | NodeLeft | Tick

# --- actions ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestDetails:
    """Request details with the answer to the node's report."""

    node: str


@dataclass(frozen=True, slots=True)
class Resend:
    """Send the node all times left of the overrides due there."""

    node: str


@dataclass(frozen=True, slots=True)
class DenyLease:
    """Grant the node no lease until `AllowLease` follows."""

    node: str


@dataclass(frozen=True, slots=True)
class AllowLease:
    """Grant the node leases again."""

    node: str


@dataclass(frozen=True, slots=True)
class AlertOperator:
    """Log a finding that neither resending nor denying the lease has ended."""

    finding: Finding


Action = RequestDetails | Resend | DenyLease | AllowLease | AlertOperator | WriteEntry


class Stage(Enum):
    """The last step taken for a node with findings."""

    RESEND = auto()
    DENIED = auto()
    ALERTED = auto()


@dataclass(slots=True)
class _Node:
    """The state of one sidecar; times are Unix ms by the service's clock."""

    incarnation: str
    reported_ms: int
    started_ms: int  # when this incarnation reported first
    place: tuple[str, str] = ("", "")
    differs_since: int | None = None  # since when its digest differs from the expected one
    strange_since: int | None = None  # since when it acts on unknown overrides
    suspected: set[Kind] = field(default_factory=set)  # the kinds that its last details showed
    findings: dict[Kind, Finding] = field(default_factory=dict)
    resends: int = 0  # since the first finding
    resent_ms: int = 0
    denied_ms: int | None = None
    stage: Stage = Stage.RESEND


class Reconciler:
    """Compares reports with the overrides due. `step` takes Unix ms of a `SteadyClock`."""

    def __init__(self, ring: HistoryRing) -> None:
        self._ring = ring
        self._expected = ExpectedOverrides()
        self._nodes: dict[str, _Node] = {}  # least recently reported first
        self._opened_since = 0
        self._opened = 0  # findings opened in the second that began then

    def restore(self, history: Iterable[Any]) -> None:
        """Restore open findings from the history's rows, which are in the order of their keys.

        A finding of an earlier incarnation stays open until a report of its node shows that it has ended.
        """
        for value in history:
            try:
                entry = msgspec.convert(value, Entry)
                kind = Kind(entry.why) if entry.kind in (EntryKind.FOUND, EntryKind.SETTLED) else None
            except (msgspec.ValidationError, ValueError):
                continue
            if entry.kind in (EntryKind.ENDED, EntryKind.EXPIRED):
                ended = Ended(entry.rev, entry.at_ms, by_time=entry.kind == EntryKind.EXPIRED)
                self._expected.remember_end(entry.id, ended)
            if kind is None:
                continue
            node = self._nodes.setdefault(entry.node, _Node("", entry.at_ms, entry.at_ms))
            node.findings.pop(kind, None)
            if entry.kind == EntryKind.FOUND:
                node.findings[kind] = Finding(entry.node, kind, entry.at_ms)
        self._nodes = {name: node for name, node in self._nodes.items() if node.findings}

    @property
    def findings(self) -> list[Finding]:
        """The open findings."""
        return [found for node in self._nodes.values() for found in node.findings.values()]

    def is_denied(self, node: str) -> bool:
        """Return whether a node is denied a lease because of its overrides."""
        found = self._nodes.get(node)
        return found is not None and found.denied_ms is not None

    def has_node(self, node: str) -> bool:
        """Return whether a sidecar has reported, or has open findings."""
        return node in self._nodes

    def expected_digest(self, now: int, group: str, region: str) -> str:
        """Return the digest that a sidecar at a place should report."""
        return self._expected.digest(now, group, region)

    def step(self, now: int, event: Event) -> list[Action]:
        """Apply an event at `now`; return the actions to carry out."""
        match event:
            case OverridesPublished():
                self._expected.publish(now, event.overrides)
                return []
            case DigestReported():
                return list(self._reported(now, event))
            case DetailsReceived():
                return list(self._details(now, event))
            case NodeLeft():
                return list(self._left(now, event.node))
            case Tick():
                return list(self._forget_silent(now))

    # --- reports --------------------------------------------------------------------------------

    def _reported(self, now: int, report: DigestReported) -> Iterator[Action]:
        node = self._nodes.pop(report.node, None)
        if node is None:
            if len(self._nodes) >= MAX_NODES:
                return
            node = _Node(report.incarnation, now, now)
        self._nodes[report.node] = node
        node.reported_ms, node.place = now, (report.group, report.region)
        if node.incarnation != report.incarnation:
            node.incarnation, node.started_ms, node.differs_since = report.incarnation, now, None
        if report.digest is None:
            yield from self._without_overrides(now, report.node, node)
        elif report.digest == self._expected.digest(now, *node.place):
            yield from self._settle(now, report.node, node, set())
            node.differs_since = node.strange_since = None
            node.suspected = set()
        else:
            yield from self._differs(now, report.node, node)

    def _differs(self, now: int, name: str, node: _Node) -> Iterator[Action]:
        if node.differs_since is None:
            node.differs_since = now
        elif now - node.differs_since >= LATE_MS:
            yield RequestDetails(name)
        yield from self._escalate(now, name, node)

    def _without_overrides(self, now: int, name: str, node: _Node) -> Iterator[Action]:
        """Alert the operator, who alone can help, if overrides are due at a version without them."""
        node.differs_since = None
        overdue = self._expected.overdue(now, *node.place)
        found = {Kind.WITHOUT: overdue} if overdue else {}
        yield from self._settle(now, name, node, set(found))
        yield from self._open(now, name, node, found)
        yield from self._alert(node)

    def _details(self, now: int, event: DetailsReceived) -> Iterator[Action]:
        node = self._nodes.get(event.node)
        if node is None:
            return
        found = self._expected.compare(now, node.place, node.started_ms, event.acted)
        if not found:
            node.differs_since = now  # a change is being delivered
        node.strange_since = (node.strange_since or now) if Kind.STRANGE in found else None
        if node.strange_since is not None and now - node.strange_since <= DELIVERY_MS:
            del found[Kind.STRANGE]  # a new override may reach it before it is published here
        # A report may have been delayed: a finding needs two in a row.
        sure = {kind: ids for kind, ids in found.items() if kind in node.suspected}
        node.suspected = set(found)
        yield from self._settle(now, event.node, node, set(found))
        yield from self._open(now, event.node, node, sure)
        yield from self._escalate(now, event.node, node)

    # --- findings ---------------------------------------------------------------------------------

    def _open(self, now: int, name: str, node: _Node, found: dict[Kind, tuple[str, ...]]) -> Iterator[Action]:
        for kind, ids in found.items():
            if kind not in node.findings and self._may_open(now):
                node.findings[kind] = Finding(name, kind, now, ids[:MAX_IDS])
                yield self._entry(now, EntryKind.FOUND, node.findings[kind])

    def _may_open(self, now: int) -> bool:
        if now - self._opened_since >= 1000:
            self._opened_since, self._opened = now, 0
        self._opened += 1
        return self._opened <= MAX_OPENED_PER_S

    def _settle(self, now: int, name: str, node: _Node, still: set[Kind]) -> Iterator[Action]:
        """Close findings that have ended; with the last of them, end what was done about the node."""
        for kind in [kind for kind in node.findings if kind not in still]:
            ended = msgspec.structs.replace(node.findings.pop(kind), ended=now)
            yield self._entry(now, EntryKind.SETTLED, ended)
        if not node.findings:
            if node.denied_ms is not None:
                yield AllowLease(name)
            node.resends, node.resent_ms, node.denied_ms, node.stage = 0, 0, None, Stage.RESEND

    def _escalate(self, now: int, name: str, node: _Node) -> Iterator[Action]:
        """Resend; if that is not enough, deny the lease; then alert the operator."""
        if not node.findings or now - node.resent_ms < RESEND_MS:
            return
        match node.stage:
            case Stage.RESEND if node.resends < MAX_RESENDS:
                node.resends += 1
            case Stage.RESEND:
                node.stage, node.denied_ms = Stage.DENIED, now
                yield DenyLease(name)
            case Stage.DENIED if node.denied_ms is not None and now - node.denied_ms >= DENIED_MS:
                node.stage = Stage.ALERTED
                yield from self._alert(node)
                if not node.findings.keys() & ACTS_PAST_END:
                    # It lacks an override: without a lease it could not act on it.
                    node.denied_ms = None
                    yield AllowLease(name)
            case Stage.ALERTED:
                yield from self._alert(node)  # of further findings
        node.resent_ms = now
        yield Resend(name)

    def _alert(self, node: _Node) -> Iterator[Action]:
        for kind, found in node.findings.items():
            if not found.alerted:
                node.findings[kind] = msgspec.structs.replace(found, alerted=True)
                yield AlertOperator(node.findings[kind])

    def _left(self, now: int, name: str) -> Iterator[Action]:
        node = self._nodes.pop(name, None)
        if node is not None:
            yield from self._settle(now, name, node, set())

    def _forget_silent(self, now: int) -> Iterator[Action]:
        """Forget nodes that have stopped reporting."""
        for name in list(islice(self._nodes, MAX_CHECKED)):
            if now - self._nodes[name].reported_ms < FORGET_MS:
                return  # nodes are in the order of their last reports
            yield from self._left(now, name)

    def _entry(self, now: int, kind: EntryKind, found: Finding) -> WriteEntry:
        return self._ring.add(
            Entry(
                at_ms=now,
                kind=kind,
                node=found.node,
                why=found.kind.value,
                by="reconciler",
                override={"ids": found.ids} if found.ids else None,
            )
        )
