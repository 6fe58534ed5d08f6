"""The list of servers as an aggregator mirrors it: rows and changes by the list service's own indices.

A sidecar can so go on here from an index that it got at another address. The mirror never goes back: a list
that is older than the one held, or empty, is not believed for as long as that may be a fault. Pure code;
times are milliseconds of one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from brassfall.controlplane.registry.entries import INSTANCES, NAME
from brassfall.controlplane.store.records import Change, Record, RecordKind, Row, Snapshot
from brassfall.controlplane.store.state import State
from brassfall.errors import RequestError

DOUBT_MS = 30_000.0  # how long a list that is empty, or goes back, is not believed
HEARTBEAT_MS = 2000.0  # the k-th heartbeat of a watch comes no sooner than k times this after the call
CLOCK_RATE = 0.99  # the least rate of the service's clock by this one
LEFT = "left"


class MirrorError(RequestError):
    """A line of the list service that is no list, or not believed; the list held stays."""

    action = "Look at the list service, which lost its list or runs twice; past 30 s it is believed."


class ListLine(msgspec.Struct, frozen=True):
    """A whole list, or a line of a watch on it."""

    index: int
    snapshot: bool
    endpoints: list[dict[str, Any]]


@dataclass(frozen=True, slots=True)
class Taken:
    """What a line has changed. `replaced`: the list began anew, and nobody can go on from an earlier one.
    `index_grew`: perhaps without a change."""

    changes: tuple[Change, ...] = ()
    index_grew: bool = False
    replaced: bool = False


def parse_line(line: bytes) -> ListLine:
    """Read a line of the watch; `MirrorError` says what is wrong with it."""
    try:
        found = msgspec.json.decode(line, type=ListLine)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise MirrorError("no list", str(error)[:200]) from error
    if not 0 < found.index < 2**53:
        raise MirrorError("no list", "index is out of range")
    for entry in found.endpoints:
        name, status = entry.get("name"), entry.get("status")
        if not (isinstance(name, str) and NAME.fullmatch(name) and isinstance(status, str)):
            raise MirrorError("no list", f"an entry without name or status: {str(entry)[:100]}")
    return found


class Mirror:
    """The list held, and the last changes of it."""

    def __init__(self, ring: int) -> None:
        self.state = State(ring)
        self.holds_list = False
        self.confirmed_ms = 0.0  # when the service last had nothing newer, as far as is known
        self._ring = ring
        self._doubted_since: float | None = None

    @property
    def index(self) -> int:
        """Of the list held; 0 before the first."""
        return self.state.last_index(INSTANCES)

    @property
    def count(self) -> int:
        """How many servers are listed."""
        return self.state.count(INSTANCES)

    def age_ms(self, now: float) -> float:
        """An upper bound on how long ago the list held was last the newest."""
        return max(0.0, now - self.confirmed_ms)

    # --- lines of the service -------------------------------------------------------------

    def take(self, now: float, line: ListLine, *, first: bool = False) -> Taken:
        """Take in a line of the watch, the `first` on a connection or a later one; `MirrorError` where it is
        not believed yet."""
        why = self._unbelievable(line) if line.snapshot else ""
        if why:
            self._doubt(now, why)
        self._doubted_since = None
        if not line.snapshot:
            return self._take_changes(line, first=first)
        if not self.holds_list or line.index < self.index:
            return self._begin(line)
        return self._take_list(line)

    def _unbelievable(self, line: ListLine) -> str:
        if self.count and not line.endpoints:
            return f"a list without servers, where {self.count} are known"
        return f"index {line.index}, where {self.index} is held" if line.index < self.index else ""

    def _doubt(self, now: float, why: str) -> None:
        """Raise `MirrorError`, unless nothing else has come for long."""
        if self._doubted_since is None:
            self._doubted_since = now
        if now - self._doubted_since < DOUBT_MS:
            raise MirrorError("a list that is not believed", why)

    def _begin(self, line: ListLine) -> Taken:
        replaced = self.holds_list
        rows = [Row(entry["name"], line.index, entry) for entry in line.endpoints]
        self.state = State.from_snapshot(Snapshot(line.index, 0, {INSTANCES: rows}, []), self._ring)
        self.holds_list = True
        return Taken(replaced=replaced)

    def _take_list(self, line: ListLine) -> Taken:
        """Who has the present list, or one before it, can go on from it; nobody from between the two: what
        came between was sent by others, and may not be there any more."""
        if line.index == self.index:
            return Taken()
        listed = {entry["name"]: entry for entry in line.endpoints}
        gone = [row for row in self.state.rows(INSTANCES) if row.key not in listed]
        records = [Record(RecordKind.INCARNATION, line.index, 0)]
        records += [Record(RecordKind.DELETE, line.index, 0, INSTANCES, row) for row in gone]
        for name, entry in listed.items():
            row = self.state.get(INSTANCES, name)
            if row is None or row.value != entry:
                records.append(Record(RecordKind.PUT, line.index, 0, INSTANCES, Row(name, line.index, entry)))
        return self._absorb(records)

    def _take_changes(self, line: ListLine, *, first: bool) -> Taken:
        if not self.holds_list:
            raise MirrorError("no list", "changes came before a whole list")
        if line.index < self.index:
            return Taken()  # a list that came meanwhile has them
        records = []
        index_grew = line.index > self.index
        if index_grew and (first or not line.endpoints):
            # A restarted service counts from a higher index. Its disk may be an older copy: what others sent
            # between the two indices may be forgotten, so nobody goes on from there.
            records.append(Record(RecordKind.INCARNATION, line.index, 0))
        for entry in line.endpoints:
            # What has left may be unknown here, and known to a sidecar that comes from another address: it
            # is sent all the same.
            row = Row(entry["name"], line.index, entry)
            kind = RecordKind.DELETE if entry["status"] == LEFT else RecordKind.PUT
            records.append(Record(kind, line.index, 0, INSTANCES, row))
        return self._absorb(records)

    def _absorb(self, records: list[Record]) -> Taken:
        before = self.index
        changes = tuple(change for _, change in self.state.apply(records))
        return Taken(changes, index_grew=self.index > before)

    # --- how old it is ------------------------------------------------------------------------

    def confirmed(self, at: float) -> None:
        """At this time, or later, the service had nothing newer than the list held."""
        if self.holds_list and self._doubted_since is None:
            self.confirmed_ms = max(self.confirmed_ms, at)

    def confirmed_by_watch(self, asked: float, heard: float, empties: int) -> None:
        """A line came at `heard` on a watch that was opened at `asked`, after so many heartbeats."""
        self.confirmed(min(heard, asked + HEARTBEAT_MS * CLOCK_RATE * empties))

    def confirmed_by_answer(self, asked: float, index: int) -> None:
        """An answer to a call made at `asked` has the index of the service's list at some time after that."""
        if index <= self.index:
            self.confirmed(asked)
