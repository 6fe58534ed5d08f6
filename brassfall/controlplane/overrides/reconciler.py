"""The reconciler: finds sidecars that act on other overrides than are due, and corrects them. Pure code.

Sidecars report a digest of the overrides that they act on. The reconciler requests details only if the
digest differs from the expected one for longer than `LATE_MS`. It can't find a sidecar that reports something
else than it does; the headers that servers receive show that.

A node with a finding is sent the times left of all its overrides again, up to `MAX_RESENDS` times,
`RESEND_MS` apart. If that does not help, the node gets no lease any more, and after another `DENIED_MS` the
operator is alerted.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from itertools import islice
from typing import Any

import msgspec

from brassfall.controlplane.overrides.document import Override
from brassfall.controlplane.overrides.expected import DELIVERY_MS, LATE_MS, EndedOverride, ExpectedOverrides
from brassfall.controlplane.overrides.findings import ACTS_PAST_END, Finding, FindingKind
from brassfall.controlplane.overrides.history import Entry, EntryKind, HistoryRing, WriteEntry

RESEND_MS = 1000  # Least time between two resends of overrides to one node, in ms
MAX_RESENDS = 3  # Number of resends of overrides to a node before its lease is denied
DENIED_MS = 6000  # Time from the denial of a lease to the alert, in ms; the lease has ended by then
FORGET_MS = 600_000  # Time without a report after which a node is forgotten, in ms
MAX_NODES = 10_000
# Number of findings that are opened in one second, because each is a write to the disk. Further findings are
# opened with a later report of their node.
MAX_OPENED_PER_S = 200
MAX_CHECKED = 256  # Number of nodes that one `Tick` checks for silence
MAX_IDS = 20  # Largest number of override ids that a finding names


# --- events ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class OverridesPublished:
    """The override store has published the overrides that are in force from now on."""

    overrides: tuple[Override, ...]


@dataclass(frozen=True, slots=True)
class DigestReported:
    """A sidecar has reported the digest of the overrides that it acts on.

    `digest` is None if the version of the sidecar does not support overrides. `incarnation` distinguishes the
    processes of one node.
    """

    node: str
    incarnation: str
    group: str = ""
    region: str = ""
    digest: str | None = None


@dataclass(frozen=True, slots=True)
class DetailsReceived:
    """A sidecar has sent the requested details: the overrides that it acts on.

    `acted` should be a map from ids to revisions, but may be any JSON value.
    """

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
    """Request the overrides that a node acts on, with the answer to its report."""

    node: str


@dataclass(frozen=True, slots=True)
class Resend:
    """Send a node the times left of all overrides that it should act on."""

    node: str


@dataclass(frozen=True, slots=True)
class DenyLease:
    """Grant a node no lease until `AllowLease` follows."""

    node: str


@dataclass(frozen=True, slots=True)
class AllowLease:
    """Grant a node leases again."""

    node: str


@dataclass(frozen=True, slots=True)
class AlertOperator:
    """Log a finding for the operator; neither resending nor a denied lease has corrected the node."""

    finding: Finding


Action = RequestDetails | Resend | DenyLease | AllowLease | AlertOperator | WriteEntry


class Stage(Enum):
    """The last measure that was taken against the findings of a node."""

    RESEND = auto()
    DENIED = auto()
    ALERTED = auto()


@dataclass(slots=True)
class _Node:
    """The state of one sidecar; times are Unix ms by the clock of the service."""

    incarnation: str
    reported_ms: int
    started_ms: int  # Time of the first report of the present incarnation
    place: tuple[str, str] = ("", "")  # Group and region of the sidecar
    differs_since: int | None = None  # Time since which the reported digest differs from the expected one
    unknown_since: int | None = None  # Time since which the sidecar acts on unknown overrides
    suspected: set[FindingKind] = field(default_factory=set)  # Kinds of faults that the last details showed
    findings: dict[FindingKind, Finding] = field(default_factory=dict)
    resends: int = 0  # Number of resends of overrides to the node since its first finding
    resent_ms: int = 0
    denied_ms: int | None = None
    stage: Stage = Stage.RESEND


class Reconciler:
    """The state machine that compares reports with the overrides due; `step` takes ms of a `SteadyClock`."""

    def __init__(self, ring: HistoryRing) -> None:
        self._ring = ring
        self._expected = ExpectedOverrides()
        self._nodes: dict[str, _Node] = {}  # Nodes by name, in the order of their last reports
        self._opened_since_ms = 0  # Start of the second in which opened findings are counted
        self._opened = 0  # Number of findings that were opened in that second

    def restore(self, history: Iterable[Any]) -> None:
        """Restore the open findings from the rows of the history, which have to be sorted by their keys.

        A finding of an earlier incarnation of the service stays open until a report of its node shows that
        the fault is gone.
        """
        for value in history:
            try:
                entry = msgspec.convert(value, Entry)
                kind = FindingKind(entry.why) if entry.kind in (EntryKind.FOUND, EntryKind.SETTLED) else None
            except (msgspec.ValidationError, ValueError):
                continue
            if entry.kind in (EntryKind.ENDED, EntryKind.EXPIRED):
                end = EndedOverride(entry.rev, entry.at_ms, by_time=entry.kind == EntryKind.EXPIRED)
                self._expected.remember_end(entry.id, end)
            if kind is None:
                continue
            node = self._nodes.setdefault(entry.node, _Node("", entry.at_ms, entry.at_ms))
            node.findings.pop(kind, None)
            if entry.kind == EntryKind.FOUND:
                node.findings[kind] = Finding(entry.node, kind, entry.at_ms)
        self._nodes = {name: node for name, node in self._nodes.items() if node.findings}

    @property
    def findings(self) -> list[Finding]:
        """The open findings about all nodes."""
        return [finding for node in self._nodes.values() for finding in node.findings.values()]

    def is_denied(self, node: str) -> bool:
        """Return whether a node is denied a lease because of its overrides."""
        state = self._nodes.get(node)
        return state is not None and state.denied_ms is not None

    def has_node(self, node: str) -> bool:
        """Return whether a node has reported and is not forgotten, or has open findings."""
        return node in self._nodes

    def expected_digest(self, now: int, group: str, region: str) -> str:
        """Return the digest that a sidecar of `group` in `region` should report."""
        return self._expected.digest(now, group, region)

    def step(self, now: int, event: Event) -> list[Action]:
        """Apply an event at `now`, in Unix ms; return the actions that the host has to carry out."""
        match event:
            case OverridesPublished():
                self._expected.publish(now, event.overrides)
                return []
            case DigestReported():
                return list(self._receive_digest(now, event))
            case DetailsReceived():
                return list(self._receive_details(now, event))
            case NodeLeft():
                return list(self._remove_node(now, event.node))
            case Tick():
                return list(self._forget_silent(now))

    # --- reports --------------------------------------------------------------------------------

    def _receive_digest(self, now: int, report: DigestReported) -> Iterator[Action]:
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
            yield from self._close_findings(now, report.node, node, set())
            node.differs_since = node.unknown_since = None
            node.suspected = set()
        else:
            yield from self._handle_difference(now, report.node, node)

    def _handle_difference(self, now: int, name: str, node: _Node) -> Iterator[Action]:
        if node.differs_since is None:
            node.differs_since = now
        elif now - node.differs_since >= LATE_MS:
            yield RequestDetails(name)
        yield from self._escalate(now, name, node)

    def _without_overrides(self, now: int, name: str, node: _Node) -> Iterator[Action]:
        """Alert the operator if a sidecar whose version does not support overrides should act on some.

        Resending and denying the lease can't correct such a sidecar.
        """
        node.differs_since = None
        overdue = self._expected.overdue(now, *node.place)
        faults = {FindingKind.WITHOUT_OVERRIDES: overdue} if overdue else {}
        yield from self._close_findings(now, name, node, set(faults))
        yield from self._open_findings(now, name, node, faults)
        yield from self._alert_operator(node)

    def _receive_details(self, now: int, event: DetailsReceived) -> Iterator[Action]:
        node = self._nodes.get(event.node)
        if node is None:
            return
        faults = self._expected.compare(now, node.place, node.started_ms, event.acted)
        if not faults:
            node.differs_since = now  # The digest differs only because a change is being delivered
        node.unknown_since = (node.unknown_since or now) if FindingKind.UNKNOWN_OVERRIDE in faults else None
        if node.unknown_since is not None and now - node.unknown_since <= DELIVERY_MS:
            # A new override may reach a sidecar before it is published to this reconciler.
            del faults[FindingKind.UNKNOWN_OVERRIDE]
        # A report may have been delayed, so a finding is opened only if two details in a row show the fault.
        confirmed = {kind: ids for kind, ids in faults.items() if kind in node.suspected}
        node.suspected = set(faults)
        yield from self._close_findings(now, event.node, node, set(faults))
        yield from self._open_findings(now, event.node, node, confirmed)
        yield from self._escalate(now, event.node, node)

    # --- findings ---------------------------------------------------------------------------------

    def _open_findings(
        self, now: int, name: str, node: _Node, found: dict[FindingKind, tuple[str, ...]]
    ) -> Iterator[Action]:
        for kind, ids in found.items():
            if kind not in node.findings and self._may_open(now):
                node.findings[kind] = Finding(name, kind, now, ids[:MAX_IDS])
                yield self._history_entry(now, EntryKind.FOUND, node.findings[kind])

    def _may_open(self, now: int) -> bool:
        if now - self._opened_since_ms >= 1000:
            self._opened_since_ms, self._opened = now, 0
        self._opened += 1
        return self._opened <= MAX_OPENED_PER_S

    def _close_findings(
        self, now: int, name: str, node: _Node, present: set[FindingKind]
    ) -> Iterator[Action]:
        """Close the findings whose kinds are not in `present`; after the last one, allow leases again."""
        for kind in [kind for kind in node.findings if kind not in present]:
            ended = msgspec.structs.replace(node.findings.pop(kind), ended=now)
            yield self._history_entry(now, EntryKind.SETTLED, ended)
        if not node.findings:
            if node.denied_ms is not None:
                yield AllowLease(name)
            node.resends, node.resent_ms, node.denied_ms, node.stage = 0, 0, None, Stage.RESEND

    def _escalate(self, now: int, name: str, node: _Node) -> Iterator[Action]:
        """Take the next measure against the findings of a node: resend, deny the lease, or alert."""
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
                yield from self._alert_operator(node)
                if not node.findings.keys() & ACTS_PAST_END:
                    # The node lacks an override, and without a lease it could not act on it.
                    node.denied_ms = None
                    yield AllowLease(name)
            case Stage.ALERTED:
                yield from self._alert_operator(
                    node
                )  # Alert the operator of findings that were opened after the first alert
        node.resent_ms = now
        yield Resend(name)

    def _alert_operator(self, node: _Node) -> Iterator[Action]:
        for kind, finding in node.findings.items():
            if not finding.alerted:
                node.findings[kind] = msgspec.structs.replace(finding, alerted=True)
                yield AlertOperator(node.findings[kind])

    def _remove_node(self, now: int, name: str) -> Iterator[Action]:
        node = self._nodes.pop(name, None)
        if node is not None:
            yield from self._close_findings(now, name, node, set())

    def _forget_silent(self, now: int) -> Iterator[Action]:
        """Forget nodes whose last report is older than `FORGET_MS`."""
        for name in list(islice(self._nodes, MAX_CHECKED)):
            if now - self._nodes[name].reported_ms < FORGET_MS:
                return  # `_nodes` is in the order of the last reports, so all further nodes reported later
            yield from self._remove_node(now, name)

    def _history_entry(self, now: int, kind: EntryKind, finding: Finding) -> WriteEntry:
        return self._ring.add(
            Entry(
                at_ms=now,
                kind=kind,
                node=finding.node,
                why=finding.kind.value,
                by="reconciler",
                override={"ids": finding.ids} if finding.ids else None,
            )
        )
