"""The durable history of overrides and findings: a ring buffer of rows. Pure code."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

TABLE = "overrides-history"
MAX_ENTRIES = 10_000


class EntryKind(StrEnum):
    """What happened; the values are those of stored rows."""

    STARTED = "started"
    EXTENDED = "extended"
    SHORTENED = "shortened"
    CHANGED = "changed"
    ENDED = "ended"  # by an operator
    EXPIRED = "expired"
    FOUND = "found"  # a finding began
    SETTLED = "settled"  # a finding ended


class Entry(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """One row of the history; `at_ms` is Unix time by the service's clock."""

    at_ms: int
    kind: str  # of `EntryKind`, or one that only a later version knows
    id: str = ""  # of an override
    rev: int = 0
    node: str = ""  # of a finding: the sidecar
    by: str = ""
    why: str = ""
    override: dict[str, Any] | None = None  # as it was from then on; of a finding, the ids


@dataclass(frozen=True, slots=True)
class WriteEntry:
    """Write a row, and delete the oldest one if `drop` names it."""

    key: str
    entry: Entry
    drop: str = ""

    @property
    def value(self) -> dict[str, Any]:
        """The row's value."""
        found: dict[str, Any] = msgspec.to_builtins(self.entry)
        return found


class HistoryRing:
    """The numbers of the entries; the override store and the reconciler share one ring."""

    def __init__(self, most: int = MAX_ENTRIES) -> None:
        self._most = most
        self._oldest = self._next = 1

    def restore(self, keys: Iterable[str]) -> None:
        """Continue after the numbers of existing rows; ignore other keys."""
        numbers = [int(key) for key in keys if key.isascii() and key.isdigit()]
        if numbers:
            self._oldest, self._next = min(numbers), max(numbers) + 1

    def add(self, entry: Entry) -> WriteEntry:
        """Return the action that makes an entry durable."""
        key, drop = f"{self._next:012d}", ""
        self._next += 1
        if self._next - self._oldest > self._most:
            drop = f"{self._oldest:012d}"
            self._oldest += 1
        return WriteEntry(key, entry, drop)
