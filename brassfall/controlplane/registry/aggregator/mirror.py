"""An aggregator's mirror of the endpoint list: rows and changes by the list service's own indices. Pure code.

Since the indices are the service's, a sidecar can continue here from an index that it got at another
address. A list that is older than the mirrored one, or empty, is not accepted while that may be a fault.
Times are milliseconds of one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from brassfall.controlplane.registry.entries import INSTANCES, NAME
from brassfall.controlplane.store.records import Change, Record, RecordKind, Row, Snapshot
from brassfall.controlplane.store.state import State
from brassfall.errors import RequestError

DOUBT_MS = 30_000.0  # until an empty list, or an older one, is accepted
HEARTBEAT_MS = 2000.0  # the k-th heartbeat of a watch is sent no sooner than k times this after the call
CLOCK_RATE = 0.99  # the least rate of the service's clock relative to this one
MALFORMED, NOT_ACCEPTED = "no list", "a list that is not accepted"
LEFT = "left"  # the status of a server that has left
MAX_REASON, MAX_QUOTED = 200, 100  # characters of a reason, and of an entry in it


class MirrorError(RequestError):
    """A line of the list service that is malformed or not accepted; the mirrored list stays."""

    action = "Look at the list service, which lost its list or runs twice; past 30 s it is believed."


class ListLine(msgspec.Struct, frozen=True):
    """A complete list, or a line of a watch on it."""

    index: int
    snapshot: bool
    endpoints: list[dict[str, Any]]


@dataclass(frozen=True, slots=True)
class MirrorUpdate:
    """The effect of a line.

    `index_grew` may be set without changes. `replaced` says that the list was begun anew: no sidecar can
    continue from an earlier one.
    """

    changes: tuple[Change, ...] = ()
    index_grew: bool = False
    replaced: bool = False


def parse_line(line: bytes) -> ListLine:
    """Return a line of the watch; raise `MirrorError` if it is malformed."""
    try:
        found = msgspec.json.decode(line, type=ListLine)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise MirrorError(MALFORMED, str(error)[:MAX_REASON]) from error
    if not 0 < found.index < 2**53:
        raise MirrorError(MALFORMED, "index is out of range")
    for entry in found.endpoints:
        name, status = entry.get("name"), entry.get("status")
        if not (isinstance(name, str) and NAME.fullmatch(name) and isinstance(status, str)):
            raise MirrorError(MALFORMED, f"an entry without name or status: {str(entry)[:MAX_QUOTED]}")
    return found


class Mirror:
    """The mirrored list, and its last changes."""

    def __init__(self, ring: int) -> None:
        self.state = State(ring)
        self.holds_list = False
        self.confirmed_ms = 0.0  # when the service is last known to have had nothing newer
        self._ring = ring
        self._doubted_since: float | None = None

    @property
    def index(self) -> int:
        """The index of the mirrored list; 0 before the first."""
        return self.state.last_index(INSTANCES)

    @property
    def count(self) -> int:
        """The number of servers on the list."""
        return self.state.count(INSTANCES)

    def age_ms(self, now: float) -> float:
        """Return an upper bound on the time since the mirrored list was the newest."""
        return max(0.0, now - self.confirmed_ms)

    # --- lines of the service -------------------------------------------------------------

    def take(self, now: float, line: ListLine, *, first: bool = False) -> MirrorUpdate:
        """Apply a line of the watch, the `first` on its connection or a later one.

        Raise `MirrorError` if it is not accepted yet.
        """
        why = self._implausible(line) if line.snapshot else ""
        if why:
            self._doubt(now, why)
        self._doubted_since = None
        if not line.snapshot:
            return self._take_changes(line, first=first)
        if not self.holds_list or line.index < self.index:
            return self._begin(line)
        return self._take_list(line)

    def _implausible(self, line: ListLine) -> str:
        if self.count and not line.endpoints:
            return f"a list without servers, where {self.count} are known"
        return f"index {line.index}, where {self.index} is mirrored" if line.index < self.index else ""

    def _doubt(self, now: float, why: str) -> None:
        """Raise `MirrorError`, unless all lines have been implausible for `DOUBT_MS`."""
        if self._doubted_since is None:
            self._doubted_since = now
        if now - self._doubted_since < DOUBT_MS:
            raise MirrorError(NOT_ACCEPTED, why)

    def _begin(self, line: ListLine) -> MirrorUpdate:
        replaced = self.holds_list
        rows = [Row(entry["name"], line.index, entry) for entry in line.endpoints]
        self.state = State.from_snapshot(Snapshot(line.index, 0, {INSTANCES: rows}, []), self._ring)
        self.holds_list = True
        return MirrorUpdate(replaced=replaced)

    def _take_list(self, line: ListLine) -> MirrorUpdate:
        """Apply a complete list as changes.

        A sidecar with the mirrored list, or an earlier one, can continue from it. One with an index between
        the two can't: what it received between may be lost.
        """
        if line.index == self.index:
            return MirrorUpdate()
        listed = {entry["name"]: entry for entry in line.endpoints}
        gone = [row for row in self.state.rows(INSTANCES) if row.key not in listed]
        records = [Record(RecordKind.INCARNATION, line.index, 0)]
        records += [Record(RecordKind.DELETE, line.index, 0, INSTANCES, row) for row in gone]
        for name, entry in listed.items():
            row = self.state.get(INSTANCES, name)
            if row is None or row.value != entry:
                records.append(Record(RecordKind.PUT, line.index, 0, INSTANCES, Row(name, line.index, entry)))
        return self._absorb(records)

    def _take_changes(self, line: ListLine, *, first: bool) -> MirrorUpdate:
        if not self.holds_list:
            raise MirrorError(MALFORMED, "changes before a complete list")
        if line.index < self.index:
            return MirrorUpdate()  # a list received meanwhile has them
        records = []
        index_grew = line.index > self.index
        if index_grew and (first or not line.endpoints):
            # A restarted service counts from a higher index. Its disk may be an older copy, which lacks
            # changes between the two indices: no sidecar can continue from there.
            records.append(Record(RecordKind.INCARNATION, line.index, 0))
        for entry in line.endpoints:
            # A server that has left may be unknown here, and known to a sidecar that was at another address:
            # its change is sent on in any case.
            row = Row(entry["name"], line.index, entry)
            kind = RecordKind.DELETE if entry["status"] == LEFT else RecordKind.PUT
            records.append(Record(kind, line.index, 0, INSTANCES, row))
        return self._absorb(records)

    def _absorb(self, records: list[Record]) -> MirrorUpdate:
        before = self.index
        changes = tuple(change for _, change in self.state.apply(records))
        return MirrorUpdate(changes, index_grew=self.index > before)

    # --- age ------------------------------------------------------------------------

    def confirmed(self, at: float) -> None:
        """Note that the service had nothing newer than the mirrored list at this time or later."""
        if self.holds_list and self._doubted_since is None:
            self.confirmed_ms = max(self.confirmed_ms, at)

    def confirmed_by_watch(self, asked: float, heard: float, empties: int) -> None:
        """Note a line received at `heard` on a watch opened at `asked`, after so many heartbeats."""
        self.confirmed(min(heard, asked + HEARTBEAT_MS * CLOCK_RATE * empties))

    def confirmed_by_answer(self, asked: float, index: int) -> None:
        """Note the index of the service's list in an answer to a call made at `asked`."""
        if index <= self.index:
            self.confirmed(asked)
