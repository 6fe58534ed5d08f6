"""The durable history of overrides and findings: a ring buffer of rows in the store. Pure code."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

TABLE = "overrides-history"
MAX_ENTRIES = 10_000


class EntryKind(StrEnum):
    """The kinds of history entries; the values are those in stored rows."""

    STARTED = "started"
    EXTENDED = "extended"
    SHORTENED = "shortened"
    CHANGED = "changed"
    ENDED = "ended"  # An operator ended the override
    EXPIRED = "expired"
    FOUND = "found"  # The reconciler opened a finding
    SETTLED = "settled"  # The reconciler closed a finding


class Entry(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """One row of the history; `at_ms` is a Unix time by the clock of the service."""

    at_ms: int
    kind: str  # An `EntryKind`, or a kind that only a later version of the program knows
    id: str = ""  # Id of the override; empty for a finding
    rev: int = 0
    node: str = ""  # Name of the sidecar that a finding is about; empty for an override
    by: str = ""
    why: str = ""
    override: dict[str, Any] | None = None  # Fields of the new override revision; for a finding, its ids


@dataclass(frozen=True, slots=True)
class WriteEntry:
    """Write a row of the history, and delete the row with the key `drop` unless that is empty."""

    key: str
    entry: Entry
    drop: str = ""

    @property
    def value(self) -> dict[str, Any]:
        """The value of the row."""
        fields: dict[str, Any] = msgspec.to_builtins(self.entry)
        return fields


class HistoryRing:
    """The numbers of the history entries; the override store and the reconciler share one ring."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._oldest = self._next = 1

    def restore(self, keys: Iterable[str]) -> None:
        """Continue after the numbers that are the keys of stored rows; other keys are ignored."""
        numbers = [int(key) for key in keys if key.isascii() and key.isdigit()]
        if numbers:
            self._oldest, self._next = min(numbers), max(numbers) + 1

    def add(self, entry: Entry) -> WriteEntry:
        """Return the action that makes an entry durable, and drops the oldest one if the ring is full."""
        key, drop = f"{self._next:012d}", ""
        self._next += 1
        if self._next - self._oldest > self._max_entries:
            drop = f"{self._oldest:012d}"
            self._oldest += 1
        return WriteEntry(key, entry, drop)
