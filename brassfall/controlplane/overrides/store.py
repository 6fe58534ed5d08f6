"""The override store: starts, extends and ends overrides. Pure code.

A change is answered and published only when its row is durable. Only one write of an id is under way at a
time, and further calls for that id wait for it. If an extension and an end coincide, the one that is durable
first decides about the other: the extension of an ended override is a new start.

The actions of one step have to be written in one commit, so that changes and their history entries are
durable together. A row states the end as a Unix time, which alone decides whether the override is in force:
neither a restart nor a late deletion extends it.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from brassfall.controlplane.overrides.document import BadOverrideError, Document, Override
from brassfall.controlplane.overrides.events import (
    Action,
    Answer,
    DeleteRow,
    End,
    Event,
    NoSuchOverrideError,
    OverrideNotWrittenError,
    Publish,
    Put,
    RowWritten,
    Tick,
    TooManyOverridesError,
    WriteRow,
)
from brassfall.controlplane.overrides.history import Entry, EntryKind, HistoryRing, WriteEntry

TABLE = "overrides"
MAX_OVERRIDES = 4096
MAX_WAITING = 16  # Largest number of calls for one override id that wait for a write of that id
MAX_EXPIRED = 256  # Largest number of expired overrides that one step deletes
PUBLISH_MS = 200  # Least time between two publications of the overrides in force, in ms
# Time for which expired overrides are collected before they are published as ended, in ms. Sidecars end an
# expired override without waiting for the publication.
EXPIRED_MS = 1000
RETRY_MS = 1000  # Time from a failed deletion of an expired override to the next attempt, in ms


@dataclass(frozen=True, slots=True)
class _Write:
    """A write under way; `override` is None for a deletion, `call` is None for an expired override."""

    id: str
    call: int | None
    override: Override | None


class OverrideStore:
    """The overrides of one service, at most `max_overrides`; `step` takes the Unix ms of a `SteadyClock`."""

    def __init__(self, ring: HistoryRing, max_overrides: int = MAX_OVERRIDES) -> None:
        self._ring = ring
        self._max_overrides = max_overrides
        self._rows: dict[str, Override] = {}  # Durable overrides by id
        # Heap of the times in Unix ms at which revisions have to be deleted: (time, id, revision).
        self._ends: list[tuple[int, str, int]] = []
        self._writes: dict[int, _Write] = {}  # Writes under way, by ticket
        self._writing: set[str] = set()  # Override ids that have a write under way
        self._waiting: dict[str, deque[Put | End]] = {}  # Calls that wait for a write, by override id
        self._last_ticket = 0
        self._last_rev = 0
        self._now = 0
        self._publish_at: int | None = None
        self._published_at = -PUBLISH_MS
        self._missing_entries: list[Entry] = []  # History entries that are missing because of a torn commit

    def restore(self, rows: Iterable[tuple[str, Any]], history: Iterable[Any]) -> list[str]:
        """Restore the rows of an earlier incarnation; return the keys of rows that can't be read.

        The newest revision number is either in a row or in the history, so no number is used twice. If a kill
        tore a commit, a row lacks its history entry or an entry lacks its row: the first step writes entries
        that correct this.
        """
        unreadable = []
        for key, value in rows:
            try:
                override = msgspec.convert(value, Override)
            except msgspec.ValidationError:
                unreadable.append(key)
                continue
            self._add_row(override)
        newest: dict[str, Entry] = {}
        for value in history:
            try:
                entry = msgspec.convert(value, Entry)
            except msgspec.ValidationError:
                continue
            self._last_rev = max(self._last_rev, entry.rev)
            if entry.id:
                newest[entry.id] = entry
        self._missing_entries = list(self._entries_of_torn_commits(newest))
        self._publish_at = 0
        return unreadable

    def step(self, now_ms: int, event: Event) -> list[Action]:
        """Apply an event at `now_ms`; return the actions, whose writes have to be made in one commit."""
        now = self._now = max(now_ms, self._now)
        actions: list[Action] = [self._ring.add(entry) for entry in self._missing_entries]
        self._missing_entries = []
        match event:
            case Put() | End():
                actions += self._call(now, event)
            case RowWritten():
                actions += self._written(now, event)
            case Tick():
                pass
        actions += self._expire(now)
        if self._publish_at is not None and now >= self._publish_at:
            self._publish_at, self._published_at = None, now
            actions.append(Publish(self.active(now)))
        return actions

    def active(self, now_ms: int) -> tuple[Override, ...]:
        """Return the overrides in force at `now_ms`, sorted by id."""
        return tuple(self._rows[key] for key in sorted(self._rows) if self._rows[key].until_ms > now_ms)

    def get(self, override_id: str, now_ms: int) -> Override | None:
        """Return the override with this id; None if it is not in force at `now_ms`."""
        override = self._rows.get(override_id)
        return override if override is not None and override.until_ms > now_ms else None

    def next_tick_ms(self) -> int | None:
        """Return the Unix time in ms at which the next `Tick` is needed; None if none is needed."""
        times = [self._ends[0][0]] if self._ends else []
        return min([*times, *([self._publish_at] if self._publish_at is not None else [])], default=None)

    # --- calls ----------------------------------------------------------------------------

    def _call(self, now: int, event: Put | End) -> Iterator[Action]:
        if event.id not in self._writing:
            yield from self._put(now, event) if isinstance(event, Put) else self._end(now, event)
            return
        waiting = self._waiting.setdefault(event.id, deque())
        if len(waiting) < MAX_WAITING:
            waiting.append(event)
        else:
            yield Answer(event.call, error=OverrideNotWrittenError(event.id, "too many calls wait for it"))

    def _put(self, now: int, event: Put) -> Iterator[Action]:
        document, row = event.document, self._rows.get(event.id)
        before = row if row is not None and row.until_ms > now else None
        if before is not None and before.document == document:
            yield Answer(event.call, before)  # A repeated document changes nothing
            return
        error = self._refusal(now, event, new=row is None)
        if error is not None:
            yield Answer(event.call, error=error)
            return
        if row is not None and before is None:
            yield self._history_entry(now, EntryKind.EXPIRED, row)
        revision = self._revision(now, event, before)
        yield from self._start_write(_Write(event.id, event.call, revision))
        yield self._history_entry(now, _kind_of_change(before, revision), revision)

    def _refusal(self, now: int, event: Put, *, new: bool) -> BadOverrideError | TooManyOverridesError | None:
        if event.document.until_ms <= now:
            summary = f"override {event.id!r} is not taken"
            return BadOverrideError(summary, "its end passed while it waited")
        if new and len(self._rows) + len(self._writes) >= self._max_overrides:
            return TooManyOverridesError(event.id, self._max_overrides)
        return None

    def _revision(self, now: int, event: Put, before: Override | None) -> Override:
        """Return the next revision of an id; `before` is the revision in force, or None."""
        document = event.document
        # A number is at least the Unix time in ms, and so above those of an incarnation whose disk was lost.
        rev = max(self._last_rev + 1, now)
        same = before is not None and before.content == document.content
        return Override(
            **{name: getattr(document, name) for name in Document.__struct_fields__},
            id=event.id,
            rev=rev,
            same_from=before.same_from if before is not None and same else rev,
            from_ms=before.from_ms if before is not None else now,
        )

    def _end(self, now: int, event: End) -> Iterator[Action]:
        before = self.get(event.id, now)
        if before is None:
            yield Answer(event.call, error=NoSuchOverrideError(event.id, "ended"))
            return
        yield from self._start_write(_Write(event.id, event.call, None))
        yield self._history_entry(now, EntryKind.ENDED, before, event.by, event.why)

    # --- writes ---------------------------------------------------------------------------

    def _start_write(self, write: _Write) -> Iterator[Action]:
        self._last_ticket += 1
        self._writes[self._last_ticket] = write
        self._writing.add(write.id)
        if write.override is not None:
            self._last_rev = write.override.rev
            yield WriteRow(self._last_ticket, write.override)
        else:
            yield DeleteRow(self._last_ticket, write.id)

    def _written(self, now: int, event: RowWritten) -> Iterator[Action]:
        write = self._writes.pop(event.ticket, None)
        if write is None:
            return
        self._writing.discard(write.id)
        yield from (
            self._write_failed(now, write, event.why) if event.why else self._write_succeeded(now, write)
        )
        waiting = self._waiting.pop(write.id, deque())
        while waiting and write.id not in self._writing:
            yield from self._call(now, waiting.popleft())
        if waiting:
            self._waiting[write.id] = waiting

    def _write_failed(self, now: int, write: _Write, why: str) -> Iterator[Action]:
        before = self._rows.get(write.id)
        if before is not None:
            heapq.heappush(self._ends, (max(before.until_ms, now + RETRY_MS), write.id, before.rev))
        if write.call is not None:
            yield Answer(write.call, error=OverrideNotWrittenError(write.id, why))

    def _write_succeeded(self, now: int, write: _Write) -> Iterator[Action]:
        before = self._rows.get(write.id)
        if write.override is not None:
            self._add_row(write.override)
        else:
            self._rows.pop(write.id, None)
        if write.call is not None:
            self._publish_by(max(now, self._published_at + PUBLISH_MS))
            yield Answer(write.call, write.override or before)

    def _add_row(self, override: Override) -> None:
        self._rows[override.id] = override
        self._last_rev = max(self._last_rev, override.rev)
        heapq.heappush(self._ends, (override.until_ms, override.id, override.rev))

    # --- time -----------------------------------------------------------------------------

    def _expire(self, now: int) -> Iterator[Action]:
        for _ in range(MAX_EXPIRED):
            if not self._ends or self._ends[0][0] > now:
                return
            _, key, rev = heapq.heappop(self._ends)
            override = self._rows.get(key)
            if override is None or override.rev != rev:
                continue
            self._publish_by(now + EXPIRED_MS)
            if key in self._writing:
                # An extension or a deletion of this override is being written: check its expiry later.
                heapq.heappush(self._ends, (now + PUBLISH_MS, key, rev))
                continue
            yield from self._start_write(_Write(key, None, None))
            yield self._history_entry(now, EntryKind.EXPIRED, override)

    def _publish_by(self, at: int) -> None:
        self._publish_at = at if self._publish_at is None else min(at, self._publish_at)

    # --- history --------------------------------------------------------------------------

    def _history_entry(
        self, now: int, kind: EntryKind, override: Override, by: str = "", why: str = ""
    ) -> WriteEntry:
        return self._ring.add(_entry_of(now, kind, override, by, why))

    def _entries_of_torn_commits(self, newest: dict[str, Entry]) -> Iterator[Entry]:
        for key, override in self._rows.items():
            entry = newest.get(key)
            if entry is None or entry.rev < override.rev or entry.kind == EntryKind.ENDED:
                yield _entry_of(override.from_ms, EntryKind.STARTED, override)
        for key, entry in newest.items():
            row = self._rows.get(key)
            if row is None and entry.kind not in (EntryKind.ENDED, EntryKind.EXPIRED):
                yield Entry(
                    at_ms=entry.at_ms,
                    kind=EntryKind.ENDED,
                    id=key,
                    rev=entry.rev,
                    why="no row after a start",
                )


def _entry_of(now: int, kind: EntryKind, override: Override, by: str = "", why: str = "") -> Entry:
    expired = kind is EntryKind.EXPIRED
    return Entry(
        at_ms=now,
        kind=kind,
        id=override.id,
        rev=override.rev,
        by=by or ("" if expired else override.by),
        why=why or ("" if expired else override.why),
        override=None if kind in (EntryKind.ENDED, EntryKind.EXPIRED) else msgspec.to_builtins(override),
    )


def _kind_of_change(before: Override | None, after: Override) -> EntryKind:
    """Return the kind of history entry for the revision `after`; `before` is the one in force, or None."""
    if before is None:
        return EntryKind.STARTED
    if before.content != after.content or before.until_ms == after.until_ms:
        return EntryKind.CHANGED
    return EntryKind.EXTENDED if after.until_ms > before.until_ms else EntryKind.SHORTENED
