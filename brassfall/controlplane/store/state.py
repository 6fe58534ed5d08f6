"""The state machine of the versioned store: commands are decided, and durable records applied. Pure code.

All tables of one service share one index that only grows; the version of a row is the index of the change
that wrote it. A command is decided in a `Transaction`, which does not change the state: its records are
applied once they are durable, so that no reader sees a change that may still be lost.

The log has the decisions and not the commands, as in primary-backup replication: a later version of the
program that decides differently still replays an old log to the same rows.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from itertools import islice

from brassfall.controlplane.store.records import (
    Change,
    Record,
    RecordKind,
    RememberedAnswer,
    Result,
    Row,
    Snapshot,
)
from brassfall.controlplane.store.transaction import Transaction

HISTORY_LENGTH = 8192  # Number of changes that are kept of each table, for watchers that reconnect
ANSWERS_KEPT_MS = 600_000  # Time for which the answer to a request id is kept, in ms of the store's time
MAX_ANSWERS = 100_000
MAX_GAPS = 16  # Number of gaps between the indexes of incarnations that are kept
ROW_CHANGES = (RecordKind.PUT, RecordKind.DELETE)


class ChangeHistory:
    """The last changes of one table, at most `length`; it has all changes after the index `since`."""

    def __init__(self, since: int, length: int) -> None:
        self.since = since
        self._changes: deque[Change] = deque(maxlen=length)

    def add(self, change: Change) -> None:
        """Append the newest change; if the history is full, the oldest change is dropped."""
        if len(self._changes) == self._changes.maxlen:
            self.since = self._changes[0].index
        self._changes.append(change)

    def after(self, index: int) -> list[Change]:
        """Return the newest change of each key that changed after an index, oldest first."""
        newest: dict[str, Change] = {}
        for change in reversed(self._changes):
            if change.index <= index:
                break
            newest.setdefault(change.row.key, change)
        return list(reversed(newest.values()))


class State:
    """The tables of one service.

    `index` is the index of the last record. `time_ms` is the time of the store in ms, which never goes back.
    """

    def __init__(self, history_length: int = HISTORY_LENGTH) -> None:
        self.index = 0
        self.time_ms = 0
        self._history_length = history_length
        self._rows: dict[str, dict[str, Row]] = {}
        self._histories: dict[str, ChangeHistory] = {}
        self._last_indexes: dict[str, int] = {}  # Index of the last change, by table
        self._answers: dict[str, RememberedAnswer] = {}  # Answers by request id, oldest first
        # Pairs of the last index of an incarnation and the first index of the next one: the indexes between
        # them were never used.
        self._gaps: list[tuple[int, int]] = []
        self._oldest = 0  # Index before which no history has changes

    # --- reading ----------------------------------------------------------

    def get(self, table: str, key: str) -> Row | None:
        """Return the row with this key; None if there is none."""
        return self._rows.get(table, {}).get(key)

    def rows(self, table: str) -> Iterable[Row]:
        """Return the rows of a table, in the order in which they were first written."""
        return self._rows.get(table, {}).values()

    def count(self, table: str) -> int:
        """Return the number of rows of a table."""
        return len(self._rows.get(table, ()))

    @property
    def row_count(self) -> int:
        """The number of rows of all tables."""
        return sum(map(len, self._rows.values()))

    @property
    def names(self) -> Collection[str]:
        """The names of the tables that have been written to."""
        return self._rows.keys()

    def remembered_answer(self, request_id: str) -> Result | None:
        """Return the first answer to a request id; None if there was none in the last `ANSWERS_KEPT_MS`."""
        answer = self._answers.get(request_id)
        return (
            answer.result if answer is not None and answer.time_ms >= self.time_ms - ANSWERS_KEPT_MS else None
        )

    def last_index(self, table: str) -> int:
        """Return the index of the last change of a table, or of this incarnation's start if that is later."""
        return max(self._last_indexes.get(table, 0), self._gaps[-1][1] if self._gaps else 0)

    def changes_since(self, table: str, index: int) -> list[Change] | None:
        """Return the newest change of each key after an index; None if the watcher needs the complete list.

        It needs the complete list if the index is older than the history, was never used by this store, or
        lies in the future.
        """
        if index <= 0 or index > self.index:
            return None
        if any(low < index < high for low, high in self._gaps):
            return None
        history = self._histories.get(table)
        if index < (history.since if history is not None else self._oldest):
            return None
        return history.after(index) if history is not None else []

    # --- writing ----------------------------------------------------------

    def begin(self, time_ms: int) -> Transaction:
        """Return a transaction in which commands are decided; its time is not before that of the state."""
        return Transaction(self, max(time_ms, self.time_ms))

    def begin_incarnation(self, least_index: int, time_ms: int) -> Record:
        """Return the record that begins an incarnation, whose indexes start above all earlier ones.

        They start at `least_index` or above: so an index that was used by an incarnation whose data is lost,
        with the disk or by the restoration of an old copy, is not used again.
        """
        index = max(least_index, self.index + 1)
        return Record(RecordKind.INCARNATION, index, max(time_ms, self.time_ms))

    def apply(self, records: Iterable[Record]) -> list[tuple[str, Change]]:
        """Apply durable records in their order; return their changes as pairs of table and change."""
        changes = []
        for record in records:
            self.time_ms = max(self.time_ms, record.time_ms)
            if record.request_id and record.result is not None:
                self._remember_answer(RememberedAnswer(record.request_id, record.time_ms, record.result))
            if record.kind is RecordKind.INCARNATION:
                self._gaps = [*self._gaps[1 - MAX_GAPS :], (self.index, record.index)]
                self.index = record.index
            elif record.kind in ROW_CHANGES and record.row is not None:
                changes.append((record.table, self._apply_change(record.table, record.row, record)))
        return changes

    def restore_history(self, records: Iterable[Record]) -> None:
        """Fill the histories from records that precede the snapshot from which this state was made."""
        earlier = [record for record in records if record.index <= self.index]
        if not earlier:
            return
        # If the first record is an answer or the start of an incarnation, a change with the same index may
        # precede it that is missing here. The histories then start after this index.
        self._oldest = earlier[0].index - (earlier[0].kind in ROW_CHANGES)
        self._histories = {name: ChangeHistory(self._oldest, self._history_length) for name in self._rows}
        previous_index = self._oldest
        for record in earlier:
            if record.kind is RecordKind.INCARNATION:
                self._gaps.append((previous_index, record.index))
            elif record.kind in ROW_CHANGES and record.row is not None:
                change = Change(record.index, record.row, record.kind is RecordKind.DELETE)
                self._history_of(record.table).add(change)
            previous_index = record.index

    def snapshot(self) -> Snapshot:
        """Return the complete state in the form that is stored."""
        rows = {name: list(rows.values()) for name, rows in self._rows.items()}
        return Snapshot(self.index, self.time_ms, rows, list(self._answers.values()))

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot, history_length: int = HISTORY_LENGTH) -> State:
        """Return the state of a snapshot, with histories that begin at the index of the snapshot."""
        state = cls(history_length)
        state.index, state.time_ms, state._oldest = snapshot.index, snapshot.time_ms, snapshot.index
        for name, rows in snapshot.rows.items():
            state._rows[name] = {row.key: row for row in rows}
            state._last_indexes[name] = snapshot.index
        state._answers = {answer.request_id: answer for answer in snapshot.answers}
        return state

    def _apply_change(self, table: str, row: Row, record: Record) -> Change:
        change = Change(record.index, row, record.kind is RecordKind.DELETE)
        rows = self._rows.setdefault(table, {})
        if change.deleted:
            rows.pop(row.key, None)
        else:
            rows[row.key] = row
        self._history_of(table).add(change)
        self.index = self._last_indexes[table] = record.index
        return change

    def _history_of(self, table: str) -> ChangeHistory:
        if table not in self._histories:
            self._histories[table] = ChangeHistory(self._oldest, self._history_length)
        return self._histories[table]

    def _remember_answer(self, answer: RememberedAnswer) -> None:
        self._answers[answer.request_id] = answer
        oldest_ms = self.time_ms - ANSWERS_KEPT_MS
        surplus = len(self._answers) - MAX_ANSWERS
        # Only the oldest answers are looked at, so the cost of one call is bounded.
        expired = [
            candidate.request_id
            for number, candidate in enumerate(islice(self._answers.values(), max(surplus, 2)))
            if number < surplus or candidate.time_ms < oldest_ms
        ]
        for request_id in expired:
            del self._answers[request_id]
