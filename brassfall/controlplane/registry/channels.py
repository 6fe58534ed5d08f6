"""Two kinds of watch channels: the rows of a table, or one small state that is sent complete each time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from brassfall.controlplane.registry.watches import Channel, chunk
from brassfall.controlplane.store.records import Change, Row
from brassfall.controlplane.store.state import State

CACHED_LINES = 64  # maximum number of encoded lines that a table's channel keeps
AGE_MARGIN_S = 0.1  # added to each age that is sent, since an encoded list is reused for that time

_encode = msgspec.json.Encoder().encode


@dataclass(frozen=True, slots=True)
class ListFormat:
    """The JSON form of a table's lists: the name of the field with the rows, and how rows are encoded."""

    list_field: str
    rows: Callable[[Iterable[Row]], list[Any]]
    changes: Callable[[Iterable[Change]], list[Any]]
    has_ages: bool = False  # True if rows state ages, so that an encoded list expires after `AGE_MARGIN_S`


class TableChannel(Channel):
    """All watches on the table `name`, whose lines are complete lists or the changes since the last line.

    A line is a JSON object with `index`, `snapshot` (True for a complete list) and the field with the rows.
    `state` returns the current state of the store.
    """

    def __init__(
        self, state: Callable[[], State], name: str, list_format: ListFormat, max_unread: int, stuck_s: float
    ) -> None:
        super().__init__(max_unread, stuck_s)
        self._state = state
        self._name = name
        self._format = list_format
        self._snapshot: tuple[int, bytes] | None = None
        self._encoded_at_s = 0.0
        self._lines: dict[tuple[int, int], bytes] = {}
        self._changes: list[Change] = []

    @property
    def last_index(self) -> int:
        """The index of the table's newest change."""
        return self._state().last_index(self._name)

    def snapshot(self) -> bytes:
        """Return the complete list as an encoded line, which is encoded once for each index."""
        index, now = self.last_index, asyncio.get_running_loop().time()
        aged = self._format.has_ages and now - self._encoded_at_s > AGE_MARGIN_S
        if self._snapshot is None or self._snapshot[0] != index or aged:
            self._encoded_at_s = now
            rows = self._format.rows(self._state().rows(self._name))
            self._snapshot = (index, self._encode_line(index, rows, snapshot=True))
            self.statistics.lists_encoded += 1
        return self._snapshot[1]

    def first_line(self, index: int) -> bytes:
        """Return the changes after an index, or the complete list if the history starts later."""
        changes = self._state().changes_since(self._name, index)
        return self.snapshot() if changes is None else self._line(index, changes)

    def _line(self, after: int, changes: list[Change]) -> bytes:
        """Return the encoded line with the changes after an index; all watches share one encoding."""
        last = self.last_index
        key = (after, last)
        if key not in self._lines or self._format.has_ages:
            if len(self._lines) >= CACHED_LINES:
                self._lines.clear()
            self._lines[key] = self._encode_line(last, self._format.changes(changes), snapshot=False)
            self.statistics.lines_encoded += 1
        return self._lines[key]

    def queue_change(self, change: Change) -> None:
        """Queue a durable change for all watches; the changes of one commit are sent in one line."""
        self._changes.append(change)
        self.flush_soon()

    def _changes_chunk(self) -> bytes:
        newest = {change.row.key: change for change in self._changes}
        self._changes = []
        changes = self._format.changes(newest.values())
        return chunk(self._encode_line(self.last_index, changes, snapshot=False))

    def _encode_line(self, index: int, rows: list[Any], *, snapshot: bool) -> bytes:
        return _encode({"index": index, "snapshot": snapshot, self._format.list_field: rows})


class StateChannel(Channel):
    """All watches on one small state; each line is the complete state, which `encode_state` returns."""

    def __init__(self, encode_state: Callable[[], bytes], max_unread: int, stuck_s: float) -> None:
        super().__init__(max_unread, stuck_s)
        self._encode_state = encode_state
        self._version = 1

    @property
    def last_index(self) -> int:
        """The number of changes of the state so far, plus one."""
        return self._version

    def snapshot(self) -> bytes:
        """Return the complete state, encoded."""
        return self._encode_state()

    def first_line(self, _index: int) -> bytes:
        """Return the complete state whatever the index, since the watch may have missed earlier states."""
        return self._encode_state()

    def state_changed(self) -> None:
        """Send the state to all watches once the callbacks that are due have run."""
        self._version += 1
        self.flush_soon()

    def _changes_chunk(self) -> bytes:
        return chunk(self._encode_state())
