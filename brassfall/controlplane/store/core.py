"""The versioned table, as pure code: commands in, results and changes out.

All tables of one service share one index that only grows; the version of a row is the index of
the change that made it. A command is decided on a `Stage`, which sees the table as it will be
but leaves it as it is: only when the stage's records are durable does the table absorb them, so
that a reader never sees, and a failed disk never leaves behind, a change that may yet be lost.

What is logged is what was decided, not the command (as primary-backup replication does): a
later version that decides otherwise replays an old log to the same rows.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import islice
from typing import Any, Literal

import msgspec

RING = 8192  # changes remembered of each table, for watchers that come back
REMEMBERED_MS = 600_000  # how long the answer to a request id is kept, in table time
REMEMBERED_MOST = 100_000


class Status(StrEnum):
    """How a command ended."""

    DONE = "done"
    MISSING = "missing"  # no row has that key
    CONFLICT = "conflict"  # the row belongs to somebody newer
    STALE = "stale"  # the row has another version than the one named


class Result(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a command; `index` is that of its change, or of the row as it stands."""

    status: Status
    index: int
    reason: str = ""

    @property
    def done(self) -> bool:
        """Whether the command did what it asked for."""
        return self.status is Status.DONE


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One entry. Values are never changed in place."""

    key: str
    version: int
    value: Any
    lease_ms: int = 0  # time to live without renewal; 0 is for ever
    fence: int = 0  # of the holder: a lower one may change nothing
    owner: str = ""  # tells two holders with the same fence apart


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One decision as the log has it."""

    kind: Literal["put", "delete", "answer", "life"]
    index: int
    at: int  # table time, ms
    table: str = ""
    row: Row | None = None  # of a deletion: the row that is gone
    request_id: str = ""
    result: Result | None = None


@dataclass(frozen=True, slots=True)
class Change:
    """What became of one key."""

    index: int
    row: Row
    gone: bool


class Kept(msgspec.Struct, frozen=True, array_like=True):
    """A remembered answer."""

    request_id: str
    at: int
    result: Result


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All of a table at one index, for the disk."""

    index: int
    at: int
    rows: dict[str, list[Row]]
    kept: list[Kept]


@dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """What all commands have: where, on which condition, and the id that makes a repeat harmless."""

    table: str
    key: str
    if_match: int | None = None  # the version that the row must have; 0 means that there must be none
    fence: int | None = None
    request_id: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Put(Command):
    """Write a row. `quiet`: one that is there already, just so, is not written again."""

    value: Any
    lease_ms: int = 0
    owner: str = ""
    quiet: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Patch(Command):
    """Replace some members of a row's value, which is an object; lease and holder stay."""

    changes: dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class Delete(Command):
    """Remove a row."""


class Ring:
    """The last changes of one table, and from which index on they are all there."""

    def __init__(self, since: int, most: int) -> None:
        self.since = since
        self._changes: deque[Change] = deque(maxlen=most)

    def add(self, change: Change) -> None:
        """The newest change; the oldest may go for it."""
        if len(self._changes) == self._changes.maxlen:
            self.since = self._changes[0].index
        self._changes.append(change)

    def after(self, index: int) -> list[Change]:
        """The newest change of each key that changed after an index, oldest first."""
        newest: dict[str, Change] = {}
        for change in reversed(self._changes):
            if change.index <= index:
                break
            newest.setdefault(change.row.key, change)
        return list(reversed(newest.values()))


class Table:
    """All tables of one service."""

    def __init__(self, ring: int = RING) -> None:
        self.index = 0
        self.at = 0
        self._ring = ring
        self._rows: dict[str, dict[str, Row]] = {}
        self._rings: dict[str, Ring] = {}
        self._last: dict[str, int] = {}
        self._kept: dict[str, Kept] = {}
        self._gaps: list[tuple[int, int]] = []
        self._oldest = 0  # no ring reaches further back than this

    # --- reading ----------------------------------------------------------

    def get(self, table: str, key: str) -> Row | None:
        """One row."""
        return self._rows.get(table, {}).get(key)

    def rows(self, table: str) -> Iterable[Row]:
        """The rows of one table, in the order of their first writing."""
        return self._rows.get(table, {}).values()

    def count(self, table: str) -> int:
        """How many rows a table has."""
        return len(self._rows.get(table, ()))

    @property
    def names(self) -> Collection[str]:
        """The tables that have been written to."""
        return self._rows.keys()

    def answer(self, request_id: str) -> Result | None:
        """The first answer to a request id, while it is remembered."""
        kept = self._kept.get(request_id)
        return kept.result if kept is not None and kept.at >= self.at - REMEMBERED_MS else None

    def last(self, table: str) -> int:
        """The index that a list of this table has: of its last change, or of this life's start."""
        return max(self._last.get(table, 0), self._gaps[-1][1] if self._gaps else 0)

    def since(self, table: str, index: int) -> list[Change] | None:
        """What changed after an index, each key once; None where only the whole list will do:
        the index is too old, was never told by this table, or lies in the future."""
        if index <= 0 or index > self.index:
            return None
        if any(low < index < high for low, high in self._gaps):
            return None
        ring = self._rings.get(table)
        if index < (ring.since if ring is not None else self._oldest):
            return None
        return ring.after(index) if ring is not None else []

    # --- writing ----------------------------------------------------------

    def stage(self, at: int) -> Stage:
        """Somewhere to decide commands at a table time, which never goes back."""
        return Stage(self, max(at, self.at))

    def life(self, floor: int, at: int) -> Record:
        """The record that begins a life of the service: its indexes start above all of earlier lives.

        Guards against a disk that was lost or put back from an old copy: an index told by the
        life that is forgotten is used by no other."""
        return Record("life", max(floor, self.index + 1), max(at, self.at))

    def absorb(self, records: Iterable[Record]) -> list[tuple[str, Change]]:
        """Take in records that are durable, in their order; the changes, each with its table."""
        changes = []
        for record in records:
            self.at = max(self.at, record.at)
            if record.request_id and record.result is not None:
                self._keep(Kept(record.request_id, record.at, record.result))
            if record.kind == "life":
                self._gaps = [*self._gaps[-15:], (self.index, record.index)]
                self.index = record.index
            elif record.kind != "answer" and record.row is not None:
                changes.append((record.table, self._change(record.table, record.row, record)))
        return changes

    def recall(self, records: Iterable[Record]) -> None:
        """Records from before the snapshot that this table was loaded from: they fill the rings only."""
        found = [record for record in records if record.index <= self.index]
        if not found:
            return
        # An answer, or a life's start, does not say that the change before it is among these.
        self._oldest = found[0].index - (found[0].kind in ("put", "delete"))
        self._rings = {name: Ring(self._oldest, self._ring) for name in self._rows}
        before = self._oldest
        for record in found:
            if record.kind == "life":
                self._gaps.append((before, record.index))
            elif record.kind != "answer" and record.row is not None:
                change = Change(record.index, record.row, record.kind == "delete")
                self._ring_of(record.table).add(change)
            before = record.index

    def dump(self) -> Snapshot:
        """All of it, for the disk."""
        rows = {name: list(rows.values()) for name, rows in self._rows.items()}
        return Snapshot(self.index, self.at, rows, list(self._kept.values()))

    @classmethod
    def load(cls, snapshot: Snapshot, ring: int = RING) -> Table:
        """The table that a snapshot was taken of."""
        made = cls(ring)
        made.index, made.at, made._oldest = snapshot.index, snapshot.at, snapshot.index
        for name, rows in snapshot.rows.items():
            made._rows[name] = {row.key: row for row in rows}
            made._last[name] = snapshot.index
        made._kept = {kept.request_id: kept for kept in snapshot.kept}
        return made

    def _change(self, table: str, row: Row, record: Record) -> Change:
        change = Change(record.index, row, record.kind == "delete")
        rows = self._rows.setdefault(table, {})
        if change.gone:
            rows.pop(row.key, None)
        else:
            rows[row.key] = row
        self._ring_of(table).add(change)
        self.index = self._last[table] = record.index
        return change

    def _ring_of(self, table: str) -> Ring:
        if table not in self._rings:
            self._rings[table] = Ring(self._oldest, self._ring)
        return self._rings[table]

    def _keep(self, kept: Kept) -> None:
        self._kept[kept.request_id] = kept
        old = self.at - REMEMBERED_MS
        over = len(self._kept) - REMEMBERED_MOST
        # Oldest first, so that each look costs no more than what it drops.
        drop = [
            found.request_id
            for number, found in enumerate(islice(self._kept.values(), max(over, 2)))
            if number < over or found.at < old
        ]
        for request_id in drop:
            del self._kept[request_id]


@dataclass(slots=True)
class Stage:
    """Decides commands one after the other, each in sight of those before it."""

    table: Table
    at: int
    records: list[Record] = field(default_factory=list)
    _index: int = 0
    _rows: dict[tuple[str, str], Row | None] = field(default_factory=dict)
    _kept: dict[str, Result] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._index = self.table.index

    def get(self, table: str, key: str) -> Row | None:
        """A row as it will be."""
        place = (table, key)
        return self._rows[place] if place in self._rows else self.table.get(table, key)

    def run(self, command: Command) -> Result:
        """Decide one command; a request id that was answered gets that answer again."""
        if command.request_id:
            first = self._kept.get(command.request_id) or self.table.answer(command.request_id)
            if first is not None:
                return first
        row = self.get(command.table, command.key)
        result = _refusal(command, row)
        if result is not None:
            return self._answer(command, result)
        match command:
            case Put():
                return self._put(command, row)
            case Patch():
                assert row is not None  # _refusal has seen to it
                value = {**row.value, **command.changes}
                return self._write(command, msgspec.structs.replace(row, value=value, version=0))
            case Delete():
                assert row is not None
                return self._write(command, row, gone=True)
        raise TypeError(f"{command!r} is no command")

    def _put(self, command: Put, row: Row | None) -> Result:
        fence = command.fence if command.fence is not None else row.fence if row is not None else 0
        new = Row(command.key, 0, command.value, command.lease_ms, fence, command.owner)
        if command.quiet and row is not None and msgspec.structs.replace(row, version=0) == new:
            return self._answer(command, Result(Status.DONE, row.version))
        return self._write(command, new)

    def _write(self, command: Command, row: Row, gone: bool = False) -> Result:
        self._index += 1
        if not gone:
            row = msgspec.structs.replace(row, version=self._index)
        result = Result(Status.DONE, self._index)
        self._rows[command.table, command.key] = None if gone else row
        self._record("delete" if gone else "put", command, result, row)
        return result

    def _answer(self, command: Command, result: Result) -> Result:
        if command.request_id:
            self._record("answer", command, result)
        return result

    def _record(
        self,
        kind: Literal["put", "delete", "answer"],
        command: Command,
        result: Result,
        row: Row | None = None,
    ) -> None:
        kept = result if command.request_id else None
        if kept is not None:
            self._kept[command.request_id] = kept
        self.records.append(Record(kind, self._index, self.at, command.table, row, command.request_id, kept))


def _refusal(command: Command, row: Row | None) -> Result | None:
    """Why a command can't be carried out on this row, if it can't."""
    version = row.version if row is not None else 0
    if row is None and not isinstance(command, Put):
        return Result(Status.MISSING, 0, f"{command.key} is not there")
    if row is not None and command.fence is not None:
        if command.fence > row.fence and not isinstance(command, Put):
            # What a newer holder wrote is gone, with a disk: it has to write anew, and will be let.
            return Result(Status.MISSING, 0, f"{command.key} belongs to an older holder, {row.fence}")
        wrong = _out_of_turn(command, row)
        if wrong:
            return Result(Status.CONFLICT, version, wrong)
    if command.if_match is not None and command.if_match != version:
        held = f"has version {version}" if version else "is not there"
        return Result(Status.STALE, version, f"{command.key} {held}, not version {command.if_match}")
    if isinstance(command, Patch) and row is not None and not isinstance(row.value, dict):
        return Result(Status.CONFLICT, version, f"{command.key} holds no object")
    return None


def _out_of_turn(command: Command, row: Row) -> str:
    """Why the holder that a command names may not change a row."""
    if command.fence is not None and command.fence < row.fence:
        return f"{command.key} belongs to a newer holder, {row.fence}"
    if isinstance(command, Put) and command.fence == row.fence and command.owner != row.owner:
        return f"{command.key} belongs to another holder with the same start, {row.owner}"
    return ""
