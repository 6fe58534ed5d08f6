"""The durable history of overrides and findings: a bounded ring of rows, the oldest dropped. Pure code."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

TABLE = "overrides-history"
ENTRIES_MOST = 10_000


class Entry(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """One thing that happened, as its row has it; `at_ms` is Unix time by the service's clock."""

    at_ms: int
    kind: str
    id: str = ""  # of an override
    rev: int = 0
    node: str = ""  # of a finding: the sidecar
    by: str = ""
    why: str = ""
    override: dict[str, Any] | None = None  # as it was from then on


@dataclass(frozen=True, slots=True)
class WriteEntry:
    """Write this row, and delete another one that is too old to be kept (where one is named)."""

    key: str
    entry: Entry
    drop: str = ""

    @property
    def value(self) -> dict[str, Any]:
        """The row's value."""
        found: dict[str, Any] = msgspec.to_builtins(self.entry)
        return found


class HistoryRing:
    """Numbers the entries of one service; the override store and the reconciler share it."""

    def __init__(self, most: int = ENTRIES_MOST) -> None:
        self._most = most
        self._oldest = self._next = 1

    def restore(self, keys: Iterable[str]) -> None:
        """Go on after the rows that are there; keys that are no number are none of ours."""
        numbers = [int(key) for key in keys if key.isascii() and key.isdigit()]
        if numbers:
            self._oldest, self._next = min(numbers), max(numbers) + 1

    def add(self, entry: Entry) -> WriteEntry:
        """The action that makes an entry durable."""
        key, drop = f"{self._next:012d}", ""
        self._next += 1
        if self._next - self._oldest > self._most:
            drop = f"{self._oldest:012d}"
            self._oldest += 1
        return WriteEntry(key, entry, drop)
