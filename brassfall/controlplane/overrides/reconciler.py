"""Finds sidecars that act on other overrides than are due, and has them told again. Pure code.

Sidecars report a digest of what they act on; only where it differs for longer than news takes are the
details asked for. It goes by what they report: one that lies is found by what servers saw, not here.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Literal

import msgspec

from brassfall.controlplane.overrides.document import Override
from brassfall.controlplane.overrides.history import Entry, History, Ring

LATE_MS = 1500  # past its end by this, counting a report's interval and its way: an expiry was missed
NEWS_MS = 5000  # what a start, a change or an end by hand may take to be acted on
FRESH_MS = 100  # a place's digest is not made anew sooner, however many end
AGAIN_MS = 1000  # between two tellings
TELL_MOST = 3  # tellings without effect before the permission is refused
REFUSED_MS = 6000  # longer than a permission lasts; then the operator is told
FORGET_MS = 600_000  # a node without a report for this long is none any more
NODES_MOST = 10_000
ENDED_MOST = 8192  # ended overrides that are remembered
OPENED_MOST = 200  # findings opened in a second, since each is written; others wait for their next report
LOOK_MOST = 256  # nodes that one step looks at for another reason than their report
IDS_SHOWN = 20


class Kind(StrEnum):
    """What is wrong with a node; each has an action for the operator."""

    EXPIRY = "missed-expiry"
    END = "missed-end"
    START = "missed-start"
    EXTENSION = "missed-extension"
    OLD = "old-state"
    STRANGE = "unknown-override"
    WITHOUT = "without-overrides"
    UNREADABLE = "unreadable"


ACTIONS = {
    Kind.EXPIRY: "Restart this sidecar: its clock or its process does not go on. It has no permission.",
    Kind.END: "Restart this sidecar if it goes on: it acts on an override that was ended by hand.",
    Kind.START: "Look at the sidecar's log for its objection to the edition, or restart it.",
    Kind.EXTENSION: "Restart this sidecar if it goes on; it acts on an older revision until that one's end.",
    Kind.OLD: "Restart this sidecar without its old files: it came back with overrides that are over.",
    Kind.STRANGE: "See whether a second list service, or one with an old disk, tells it; stop the wrong one.",
    Kind.WITHOUT: "Upgrade this sidecar or take it out of traffic: its version knows no overrides.",
    Kind.UNREADABLE: "Look at the sidecar's version and log: its list of overrides can't be read.",
}


# --- events ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Due:
    """What is in force from now on, as the book publishes it."""

    overrides: tuple[Override, ...]


@dataclass(frozen=True, slots=True)
class Reported:
    """A sidecar's report; `digest` is None where it has no word on overrides. `life` tells its runs apart."""

    node: str
    life: str
    group: str = ""
    region: str = ""
    digest: str | None = None


@dataclass(frozen=True, slots=True)
class Details:
    """What a sidecar acts on, id to revision, as asked for; any JSON."""

    node: str
    acted: Any


@dataclass(frozen=True, slots=True)
class Gone:
    """A sidecar has left the fleet."""

    node: str


@dataclass(frozen=True, slots=True)
class Look:
    """Time went on."""


Event = Due | Reported | Details | Gone | Look

# --- actions ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Ask:
    """Have the node list what it acts on, with the answer to its report."""

    node: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Tell the node all that is due there, with the times left."""

    node: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Give the node no permission until `Allow`."""

    node: str


@dataclass(frozen=True, slots=True)
class Allow:
    """Permissions as before."""

    node: str


class Finding(msgspec.Struct, frozen=True, omit_defaults=True):
    """One thing that is wrong with a node; times are Unix ms by the service's clock."""

    node: str
    kind: Kind
    since: int
    ids: tuple[str, ...] = ()
    ended: int | None = None
    named: bool = False

    @property
    def action(self) -> str:
        """What an operator can do."""
        return ACTIONS[self.kind]


@dataclass(frozen=True, slots=True)
class Name:
    """Tell the operator: neither telling nor refusing was enough."""

    finding: Finding


Action = Ask | Tell | Refuse | Allow | Name | History


def digest(pairs: Iterable[tuple[str, int]]) -> str:
    """A short word for a set of (id, revision); sidecars make the same one."""
    rows = sorted(pairs)
    return f"{len(rows)}-{zlib.crc32(''.join(f'{key}:{rev};' for key, rev in rows).encode()):08x}"


@dataclass(slots=True)
class _Node:
    """What is known of one sidecar."""

    life: str
    heard: int
    life_since: int
    place: tuple[str, str] = ("", "")
    other_since: int | None = None  # since when its digest differs from what is due
    strange_since: int | None = None  # since when it acts on what was never heard of
    suspected: set[Kind] = field(default_factory=set)  # what its last details showed
    findings: dict[Kind, Finding] = field(default_factory=dict)
    told: int = 0  # tellings since the first finding
    told_at: int = 0
    refused_at: int | None = None
    stage: Literal["tell", "refuse", "named"] = "tell"


class Reconciler:
    """Compares reports with what is due. `step` takes Unix ms of a `SteadyClock`."""

    def __init__(self, ring: Ring) -> None:
        self._ring = ring
        self._due: dict[str, Override] = {}
        self._seen: dict[str, tuple[int, int]] = {}  # id: revision, and since when it is due
        self._ended: dict[
            str, tuple[int, int, bool]
        ] = {}  # id: revision, when, whether by time; oldest first
        self._digests: dict[tuple[str, str], tuple[str, int]] = {}  # by place: and until when it is right
        self._nodes: dict[str, _Node] = {}  # least recently looked at first
        self._opened = (0, 0)  # in the second that began then: how many

    def restore(self, history: Iterable[Any]) -> None:
        """Take in the history's rows in the order of their keys: findings of an earlier life without an end
        are open until their node shows that they are over."""
        for value in history:
            try:
                entry = msgspec.convert(value, Entry)
                kind = Kind(entry.why) if entry.kind in ("found", "settled") else None
            except (msgspec.ValidationError, ValueError):
                continue
            if entry.kind in ("ended", "expired"):
                self._remember(entry.id, entry.rev, entry.at_ms, entry.kind == "expired")
            if kind is None:
                continue
            node = self._nodes.setdefault(entry.node, _Node("", entry.at_ms, entry.at_ms))
            node.findings.pop(kind, None)
            if entry.kind == "found":
                node.findings[kind] = Finding(entry.node, kind, entry.at_ms)
        self._nodes = {name: node for name, node in self._nodes.items() if node.findings}

    @property
    def findings(self) -> list[Finding]:
        """All that are open."""
        return [found for node in self._nodes.values() for found in node.findings.values()]

    def refused(self, node: str) -> bool:
        """Whether a node has no permission because of its overrides."""
        found = self._nodes.get(node)
        return found is not None and found.refused_at is not None

    def step(self, now: int, event: Event) -> list[Action]:
        """What to do after an event."""
        match event:
            case Due():
                self._take(now, event.overrides)
                return []
            case Reported():
                return list(self._reported(now, event))
            case Details():
                return list(self._details(now, event))
            case Gone():
                return list(self._gone(now, event.node))
            case Look():
                return list(self._look(now))

    # --- what is due ------------------------------------------------------------------------

    def _take(self, now: int, overrides: tuple[Override, ...]) -> None:
        new = {found.id: found for found in overrides}
        for key, old in self._due.items():
            if key not in new:
                self._remember(key, old.rev, min(now, old.until_ms), old.until_ms <= now)
        for key, found in new.items():
            before = self._seen.get(key)
            if before is None or before[0] != found.rev:
                self._seen[key] = (found.rev, now)
            self._ended.pop(key, None)
        self._due = new
        self._seen = {key: seen for key, seen in self._seen.items() if key in new}
        self._digests.clear()

    def _remember(self, key: str, rev: int, ended: int, by_time: bool) -> None:
        self._ended.pop(key, None)
        self._ended[key] = (rev, ended, by_time)
        if len(self._ended) > ENDED_MOST:
            del self._ended[next(iter(self._ended))]

    def due(self, now: int, group: str, region: str) -> dict[str, int]:
        """Id to revision of what is due at a place."""
        return {
            key: found.rev
            for key, found in self._due.items()
            if found.until_ms > now and found.places.holds(group, region)
        }

    def expected_digest(self, now: int, group: str, region: str) -> str:
        """The digest that a sidecar at a place is to report."""
        return self._digest(now, (group, region))

    def knows(self, node: str) -> bool:
        """Whether anything is known of a sidecar."""
        return node in self._nodes

    def _digest(self, now: int, place: tuple[str, str]) -> str:
        kept = self._digests.get(place)
        if kept is None or now >= kept[1]:
            ends = (found.until_ms for found in self._due.values() if found.until_ms > now)
            if len(self._digests) >= NODES_MOST:
                self._digests.clear()
            until = max(now + FRESH_MS, min(ends, default=1 << 62))
            kept = self._digests[place] = (digest(self.due(now, *place).items()), until)
        return kept[0]

    # --- reports --------------------------------------------------------------------------------

    def _reported(self, now: int, report: Reported) -> Iterator[Action]:
        node = self._nodes.pop(report.node, None)
        if node is None:
            if len(self._nodes) >= NODES_MOST:
                return
            node = _Node(report.life, now, now)
        self._nodes[report.node] = node
        node.heard, node.place = now, (report.group, report.region)
        if node.life != report.life:
            node.life, node.life_since, node.other_since = report.life, now, None
        if report.digest is None:
            yield from self._silent(now, report.node, node)
            return
        if report.digest == self._digest(now, node.place):
            yield from self._settle(now, report.node, node, set())
            node.other_since = node.strange_since = None
            node.suspected = set()
            return
        if node.other_since is None:
            node.other_since = now
        elif now - node.other_since >= LATE_MS:
            yield Ask(report.node)
        yield from self._press(now, report.node, node)

    def _silent(self, now: int, name: str, node: _Node) -> Iterator[Action]:
        """A report without a word on overrides: only an operator can help, and only if one is due there."""
        node.other_since = None
        due = self.due(now, *node.place)
        late = {key: rev for key, rev in due.items() if now - self._seen[key][1] > NEWS_MS}
        found = {Kind.WITHOUT: tuple(sorted(late))} if late else {}
        yield from self._settle(now, name, node, set(found))
        yield from self._open(now, name, node, found)
        yield from self._name(node)

    def _details(self, now: int, event: Details) -> Iterator[Action]:
        node = self._nodes.get(event.node)
        if node is None:
            return
        found = self._compare(now, node, event.acted)
        if not found:
            node.other_since = now  # news on its way, and nothing more
        node.strange_since = (node.strange_since or now) if Kind.STRANGE in found else None
        if node.strange_since is not None and now - node.strange_since <= NEWS_MS:
            del found[Kind.STRANGE]  # what is newer than is known here may be told before it is published
        # A report may have been long on its way: what one alone shows is not believed.
        sure = {kind: ids for kind, ids in found.items() if kind in node.suspected}
        node.suspected = set(found)
        yield from self._settle(now, event.node, node, set(found))
        yield from self._open(now, event.node, node, sure)
        yield from self._press(now, event.node, node)

    def _compare(self, now: int, node: _Node, acted: Any) -> dict[Kind, tuple[str, ...]]:
        """What is wrong, each kind with its ids."""
        if not _readable(acted):
            return {Kind.UNREADABLE: ()}
        wrong: dict[Kind, list[str]] = {}
        due = self.due(now, *node.place)
        for key, rev in acted.items():
            kind = (
                self._extra(now, node, key, rev) if key not in due else self._other(now, key, rev, due[key])
            )
            if kind is not None:
                wrong.setdefault(kind, []).append(key)
        for key in due.keys() - acted.keys():
            if now - max(self._seen[key][1], node.life_since) > NEWS_MS:
                wrong.setdefault(Kind.START, []).append(key)
        return {kind: tuple(sorted(ids)) for kind, ids in wrong.items()}

    def _extra(self, now: int, node: _Node, key: str, rev: int) -> Kind | None:
        """What it is that a node acts on something that is not due there."""
        held = self._due.get(key)
        if held is not None and held.until_ms <= now:
            ended = (held.rev, held.until_ms, True)  # over, and not yet published
        elif held is not None and rev < held.rev:
            ended = (rev, self._seen[key][1], False)  # the revision after it is for other places
        elif held is None and key in self._ended:
            ended = self._ended[key]
        else:
            return Kind.STRANGE
        if rev > ended[0]:
            return Kind.STRANGE
        if now - ended[1] <= (LATE_MS if ended[2] else NEWS_MS):
            return None
        if node.life_since > ended[1]:
            return Kind.OLD  # this run of it began after the end
        return Kind.EXPIRY if ended[2] else Kind.END

    def _other(self, now: int, key: str, rev: int, due: int) -> Kind | None:
        if rev > due:
            return Kind.STRANGE
        late = rev < due and now - self._seen[key][1] > NEWS_MS
        return Kind.EXTENSION if late else None

    # --- findings ---------------------------------------------------------------------------------

    def _open(self, now: int, name: str, node: _Node, found: dict[Kind, tuple[str, ...]]) -> Iterator[Action]:
        for kind, ids in found.items():
            if kind not in node.findings and self._may_open(now):
                node.findings[kind] = Finding(name, kind, now, ids[:IDS_SHOWN])
                yield self._note(now, "found", node.findings[kind])

    def _may_open(self, now: int) -> bool:
        began, count = self._opened
        self._opened = (now, 1) if now - began >= 1000 else (began, count + 1)
        return self._opened[1] <= OPENED_MOST

    def _settle(self, now: int, name: str, node: _Node, still: set[Kind]) -> Iterator[Action]:
        """Findings that are over; with the last of them the node is as any other."""
        for kind in [kind for kind in node.findings if kind not in still]:
            ended = msgspec.structs.replace(node.findings.pop(kind), ended=now)
            yield self._note(now, "settled", ended)
        if not node.findings:
            if node.refused_at is not None:
                yield Allow(name)
            node.told, node.told_at, node.refused_at, node.stage = 0, 0, None, "tell"

    def _press(self, now: int, name: str, node: _Node) -> Iterator[Action]:
        """Tell again, refuse the permission where that is not enough, else name the node."""
        if not node.findings or now - node.told_at < AGAIN_MS:
            return
        if node.stage == "tell" and node.told < TELL_MOST:
            node.told += 1
        elif node.stage == "tell":
            node.stage, node.refused_at = "refuse", now
            yield Refuse(name)
        elif node.stage == "named":
            yield from self._name(node)  # what else has been found since
        elif node.stage == "refuse" and node.refused_at is not None and now - node.refused_at >= REFUSED_MS:
            node.stage = "named"
            yield from self._name(node)
            if not node.findings.keys() & {Kind.EXPIRY, Kind.END, Kind.OLD, Kind.STRANGE}:
                # It lacks something: without a permission it could never take it.
                node.refused_at = None
                yield Allow(name)
        node.told_at = now
        yield Tell(name)

    def _name(self, node: _Node) -> Iterator[Action]:
        for kind, found in node.findings.items():
            if not found.named:
                node.findings[kind] = msgspec.structs.replace(found, named=True)
                yield Name(node.findings[kind])

    def _gone(self, now: int, name: str) -> Iterator[Action]:
        node = self._nodes.pop(name, None)
        if node is not None:
            yield from self._settle(now, name, node, set())

    def _look(self, now: int) -> Iterator[Action]:
        """Forget nodes that report no more; the rest is done with reports."""
        for name in [name for _, name in zip(range(LOOK_MOST), self._nodes, strict=False)]:
            if now - self._nodes[name].heard < FORGET_MS:
                return  # the others were heard of later
            yield from self._gone(now, name)

    def _note(self, now: int, kind: str, found: Finding) -> History:
        entry = Entry(at_ms=now, kind=kind, node=found.node, why=found.kind.value, by="reconciler",
                      override={"ids": found.ids} if found.ids else None)  # fmt: skip
        return self._ring.add(entry)


def _readable(acted: Any) -> bool:
    return (
        isinstance(acted, dict)
        and len(acted) <= ENDED_MOST
        and all(isinstance(key, str) and len(key) <= 128 for key in acted)
        and all(isinstance(rev, int) and not isinstance(rev, bool) for rev in acted.values())
    )
