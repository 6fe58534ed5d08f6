"""An aggregator's mirror of the endpoint list, with the list service's own indices. No I/O, no clock.

Since the indices are those of the list service, a sidecar can continue here from an index that it got at
another address. A list that is older than the mirrored one, or empty, may be due to a fault, and is not
accepted for `DOUBT_MS`. Times are milliseconds of one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from brassfall.controlplane.registry.entries import INSTANCES, NAME
from brassfall.controlplane.store.records import Change, Record, RecordKind, Row, Snapshot
from brassfall.controlplane.store.state import State
from brassfall.errors import RequestError

DOUBT_MS = 30_000.0  # time after which a list that is empty, or older than the mirrored one, is accepted
HEARTBEAT_MS = 2000.0  # the k-th heartbeat of a watch is sent k times this after the call, or later
CLOCK_RATE = 0.99  # minimum rate of the list service's clock relative to the local clock
MALFORMED, NOT_ACCEPTED = "no list", "a list that is not accepted"
STATUS_LEFT = "left"  # status of a server that has left the list
MAX_REASON, MAX_QUOTED = 200, 100  # lengths to which a reason, and an entry in it, are cut, in characters


class MirrorError(RequestError):
    """A line of the list service is malformed or not accepted; the mirrored list stays as it is."""

    action = "Look at the list service, which lost its list or runs twice; past 30 s it is believed."


class ListLine(msgspec.Struct, frozen=True):
    """A complete endpoint list, or the entries that have changed since the last line of the watch."""

    index: int
    snapshot: bool
    endpoints: list[dict[str, Any]]


@dataclass(frozen=True, slots=True)
class MirrorUpdate:
    """The effect of a line on the mirror.

    `index_grew` may be True without changes. `replaced` is True if the list was replaced as a whole, so that
    no sidecar can continue from an index of the earlier list.
    """

    changes: tuple[Change, ...] = ()
    index_grew: bool = False
    replaced: bool = False


def parse_line(line: bytes) -> ListLine:
    """Parse a line of the watch on the list service; raise `MirrorError` if it is malformed."""
    try:
        decoded = msgspec.json.decode(line, type=ListLine)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise MirrorError(MALFORMED, str(error)[:MAX_REASON]) from error
    if not 0 < decoded.index < 2**53:
        raise MirrorError(MALFORMED, "index is out of range")
    for entry in decoded.endpoints:
        name, status = entry.get("name"), entry.get("status")
        if not (isinstance(name, str) and NAME.fullmatch(name) and isinstance(status, str)):
            raise MirrorError(MALFORMED, f"an entry without name or status: {str(entry)[:MAX_QUOTED]}")
    return decoded


class Mirror:
    """The mirrored endpoint list, and the history of its last changes."""

    def __init__(self, ring: int) -> None:
        self.state = State(ring)
        self.holds_list = False
        self.confirmed_ms = 0.0  # latest time at which the list service is known to have had nothing newer
        self._ring = ring
        self._doubted_since_ms: float | None = None

    @property
    def index(self) -> int:
        """The index of the mirrored list; 0 before the first list."""
        return self.state.last_index(INSTANCES)

    @property
    def count(self) -> int:
        """The number of servers on the mirrored list."""
        return self.state.count(INSTANCES)

    def age_ms(self, now_ms: float) -> float:
        """Return an upper bound on the time since the mirrored list was the newest, in ms."""
        return max(0.0, now_ms - self.confirmed_ms)

    # --- lines of the service -------------------------------------------------------------

    def apply_line(self, now_ms: float, line: ListLine, *, first: bool = False) -> MirrorUpdate:
        """Apply a line of the watch on the list service; `first` marks the first line on a connection.

        Raise `MirrorError` for an implausible list that is not accepted yet.
        """
        reason = self._implausibility(line) if line.snapshot else ""
        if reason:
            self._raise_while_doubted(now_ms, reason)
        self._doubted_since_ms = None
        if not line.snapshot:
            return self._apply_changes(line, first=first)
        if not self.holds_list or line.index < self.index:
            return self._replace_list(line)
        return self._apply_complete_list(line)

    def _implausibility(self, line: ListLine) -> str:
        if self.count and not line.endpoints:
            return f"a list without servers, where {self.count} are known"
        return f"index {line.index}, where {self.index} is mirrored" if line.index < self.index else ""

    def _raise_while_doubted(self, now_ms: float, reason: str) -> None:
        """Raise `MirrorError`, unless the lines have been implausible for `DOUBT_MS`."""
        if self._doubted_since_ms is None:
            self._doubted_since_ms = now_ms
        if now_ms - self._doubted_since_ms < DOUBT_MS:
            raise MirrorError(NOT_ACCEPTED, reason)

    def _replace_list(self, line: ListLine) -> MirrorUpdate:
        replaced = self.holds_list
        rows = [Row(entry["name"], line.index, entry) for entry in line.endpoints]
        self.state = State.from_snapshot(Snapshot(line.index, 0, {INSTANCES: rows}, []), self._ring)
        self.holds_list = True
        return MirrorUpdate(replaced=replaced)

    def _apply_complete_list(self, line: ListLine) -> MirrorUpdate:
        """Apply a complete list as changes to the mirrored list.

        A sidecar with the index of the mirrored list, or an earlier one, can continue with these changes. A
        sidecar with an index between those of the two lists can't, since changes that it received may be
        lost.
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
        return self._apply_records(records)

    def _apply_changes(self, line: ListLine, *, first: bool) -> MirrorUpdate:
        if not self.holds_list:
            raise MirrorError(MALFORMED, "changes before a complete list")
        if line.index < self.index:
            return MirrorUpdate()  # a complete list received before already has these changes
        records = []
        index_grew = line.index > self.index
        if index_grew and (first or not line.endpoints):
            # A restarted list service continues at a higher index. Its disk may be an older copy that lacks
            # changes between the two indices, so that no sidecar can continue from an index between them.
            records.append(Record(RecordKind.INCARNATION, line.index, 0))
        for entry in line.endpoints:
            # The change of a server that has left is sent on even if the mirror does not know the server: a
            # sidecar that comes from another address may know it.
            row = Row(entry["name"], line.index, entry)
            kind = RecordKind.DELETE if entry["status"] == STATUS_LEFT else RecordKind.PUT
            records.append(Record(kind, line.index, 0, INSTANCES, row))
        return self._apply_records(records)

    def _apply_records(self, records: list[Record]) -> MirrorUpdate:
        before = self.index
        changes = tuple(change for _, change in self.state.apply(records))
        return MirrorUpdate(changes, index_grew=self.index > before)

    # --- age ------------------------------------------------------------------------

    def confirm(self, at: float) -> None:
        """Record that the list service had nothing newer than the mirrored list at the time `at` or later."""
        if self.holds_list and self._doubted_since_ms is None:
            self.confirmed_ms = max(self.confirmed_ms, at)

    def confirm_by_watch(self, opened_ms: float, received_ms: float, heartbeats: int) -> None:
        """Record a line of a watch, which confirms the mirrored list.

        The watch was opened at `opened_ms`, the line was received at `received_ms`, and `heartbeats` counts
        the heartbeats on the watch so far.
        """
        self.confirm(min(received_ms, opened_ms + HEARTBEAT_MS * CLOCK_RATE * heartbeats))

    def confirm_by_answer(self, sent_ms: float, index: int) -> None:
        """Record the list's index in the answer to a call; it confirms the mirrored list if that is as new.

        The call was sent at `sent_ms`.
        """
        if index <= self.index:
            self.confirm(sent_ms)
