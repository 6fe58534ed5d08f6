"""The channels of watches: the rows of a table, or one small state that is always sent complete."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from brassfall.controlplane.registry.watches import Channel, chunk
from brassfall.controlplane.store.records import Change, Row
from brassfall.controlplane.store.state import State

CACHED_LINES = 64
AGE_MARGIN_S = 0.1  # added to ages that are sent, since an encoded list is used for as long

_encode = msgspec.json.Encoder().encode


@dataclass(frozen=True, slots=True)
class ListFormat:
    """The form in which a table is sent: the field of its rows, and their encoding."""

    list_field: str
    rows: Callable[[Iterable[Row]], list[Any]]
    changes: Callable[[Iterable[Change]], list[Any]]
    has_ages: bool = False  # rows have ages: an encoded list is used for `AGE_MARGIN_S` at most


class TableChannel(Channel):
    """All watches on one table: `{"index", "snapshot", LIST}` lines, with complete lists or changes.

    `state` returns the state of the store, `name` is the table.
    """

    def __init__(
        self, state: Callable[[], State], name: str, form: ListFormat, max_unread: int, stuck_s: float
    ) -> None:
        super().__init__(max_unread, stuck_s)
        self._state = state
        self._name = name
        self._format = form
        self._snapshot: tuple[int, bytes] | None = None
        self._encoded_at = 0.0
        self._lines: dict[tuple[int, int], bytes] = {}
        self._changes: list[Change] = []

    @property
    def last(self) -> int:
        """The index up to which all changes are known."""
        return self._state().last_index(self._name)

    def snapshot(self) -> bytes:
        """Return the complete list, encoded once for each version."""
        index, now = self.last, asyncio.get_running_loop().time()
        aged = self._format.has_ages and now - self._encoded_at > AGE_MARGIN_S
        if self._snapshot is None or self._snapshot[0] != index or aged:
            self._encoded_at = now
            rows = self._format.rows(self._state().rows(self._name))
            self._snapshot = (index, self._encode_line(index, rows, snapshot=True))
            self.statistics.lists_encoded += 1
        return self._snapshot[1]

    def first_line(self, index: int) -> bytes:
        """Return the changes after an index, or the complete list if not all of them are known."""
        changes = self._state().changes_since(self._name, index)
        return self.snapshot() if changes is None else self._line(index, changes)

    def _line(self, after: int, changes: list[Change]) -> bytes:
        """Return the line of the changes after an index, encoded once for all watches."""
        last = self.last
        key = (after, last)
        if key not in self._lines or self._format.has_ages:
            if len(self._lines) >= CACHED_LINES:
                self._lines.clear()
            self._lines[key] = self._encode_line(last, self._format.changes(changes), snapshot=False)
            self.statistics.lines_encoded += 1
        return self._lines[key]

    def changed(self, change: Change) -> None:
        """Send a durable change; those of one commit are sent in one line."""
        self._changes.append(change)
        self.flush_soon()

    def _changes_chunk(self) -> bytes:
        newest = {change.row.key: change for change in self._changes}
        self._changes = []
        changes = self._format.changes(newest.values())
        return chunk(self._encode_line(self.last, changes, snapshot=False))

    def _encode_line(self, index: int, rows: list[Any], *, snapshot: bool) -> bytes:
        return _encode({"index": index, "snapshot": snapshot, self._format.list_field: rows})


class StateChannel(Channel):
    """Watches on one small state, which `encoded` returns: each line is the complete state."""

    def __init__(self, encoded: Callable[[], bytes], max_unread: int, stuck_s: float) -> None:
        super().__init__(max_unread, stuck_s)
        self._encoded = encoded
        self._version = 1

    @property
    def last(self) -> int:
        """The number of changes of the state."""
        return self._version

    def snapshot(self) -> bytes:
        """Return the state."""
        return self._encoded()

    def first_line(self, _index: int) -> bytes:
        """Return the state for any index: the watch may have missed earlier ones."""
        return self._encoded()

    def state_changed(self) -> None:
        """Send the state once the running callbacks are done."""
        self._version += 1
        self.flush_soon()

    def _changes_chunk(self) -> bytes:
        return chunk(self._encoded())
