"""Starts, extends and ends overrides, and says which are in force. Pure code.

A change is answered and published only when its row is durable. One write of an id is under way at a time;
what comes meanwhile waits for it, so that of an extension and an end in the same moment the one that is
durable first decides what the other one is: an extension of what has ended is a new start.

The actions of one step belong into one commit, the history's entries with what they record. A row has the
absolute end, and what is in force is always judged by it: neither a restart nor a deletion that is late
gives an override more time.
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
    Tick,
    TooManyOverridesError,
    WriteRow,
    Written,
)
from brassfall.controlplane.overrides.history import Entry, HistoryRing, WriteEntry

TABLE = "overrides"
OVERRIDES_MOST = 4096
WAITING_MOST = 16  # calls for one id that wait for its write
WORK_MOST = 256  # overrides that one step ends
PROMPT_MS = 200  # between two publications
EXPIRED_MS = 1000  # how long ends by time are gathered: sidecars know them without being told
RETRY_MS = 1000  # of a deletion that failed


@dataclass(frozen=True, slots=True)
class _Write:
    """One that is under way; `made` is None for a deletion, `call` for an end by time."""

    id: str
    call: int | None
    made: Override | None


class OverrideStore:
    """All overrides of one service, at most `most`. `step` takes Unix ms of a `SteadyClock`."""

    def __init__(self, ring: HistoryRing, most: int = OVERRIDES_MOST) -> None:
        self._ring = ring
        self._most = most
        self._rows: dict[str, Override] = {}  # as they are durable
        self._ends: list[tuple[int, str, int]] = []  # when to look at an id's revision
        self._writes: dict[int, _Write] = {}
        self._writing: set[str] = set()
        self._waiting: dict[str, deque[Put | End]] = {}
        self._ticket = 0
        self._last_rev = 0
        self._now = 0
        self._publish_at: int | None = None
        self._published_at = -PROMPT_MS
        self._mending: list[Entry] = []

    def restore(self, rows: Iterable[tuple[str, Any]], history: Iterable[Any]) -> list[str]:
        """Take in what an earlier incarnation made durable; the keys of rows that can't be read.

        The newest revision is among the rows or in the history, so that none is given out twice. A row
        without its entry, or an entry without its row (a commit torn by a kill), is mended with the
        first step."""
        bad = []
        for key, value in rows:
            try:
                found = msgspec.convert(value, Override)
            except msgspec.ValidationError:
                bad.append(key)
                continue
            self._take(found)
        newest: dict[str, Entry] = {}
        for value in history:
            try:
                entry = msgspec.convert(value, Entry)
            except msgspec.ValidationError:
                continue
            self._last_rev = max(self._last_rev, entry.rev)
            if entry.id:
                newest[entry.id] = entry
        self._mending = list(self._torn_commits(newest))
        self._publish_at = 0
        return bad

    def step(self, now_ms: int, event: Event) -> list[Action]:
        """What to do after an event."""
        now = self._now = max(now_ms, self._now)
        actions: list[Action] = [self._ring.add(entry) for entry in self._mending]
        self._mending = []
        match event:
            case Put() | End():
                actions += self._call(now, event)
            case Written():
                actions += self._written(now, event)
            case Tick():
                pass
        actions += self._expire(now)
        if self._publish_at is not None and now >= self._publish_at:
            self._publish_at, self._published_at = None, now
            actions.append(Publish(self.active(now)))
        return actions

    def active(self, now_ms: int) -> tuple[Override, ...]:
        """What is in force, by id."""
        return tuple(self._rows[key] for key in sorted(self._rows) if self._rows[key].until_ms > now_ms)

    def get(self, override_id: str, now_ms: int) -> Override | None:
        """One that is in force."""
        found = self._rows.get(override_id)
        return found if found is not None and found.until_ms > now_ms else None

    def wake(self) -> int | None:
        """When the next `Tick` has something to do; None while nothing is held."""
        times = [self._ends[0][0]] if self._ends else []
        return min([*times, *([self._publish_at] if self._publish_at is not None else [])], default=None)

    # --- calls ----------------------------------------------------------------------------

    def _call(self, now: int, event: Put | End) -> Iterator[Action]:
        if event.id not in self._writing:
            yield from self._put(now, event) if isinstance(event, Put) else self._end(now, event)
            return
        waiting = self._waiting.setdefault(event.id, deque())
        if len(waiting) < WAITING_MOST:
            waiting.append(event)
        else:
            yield Answer(event.call, error=OverrideNotWrittenError(event.id, "too many calls wait for it"))

    def _put(self, now: int, event: Put) -> Iterator[Action]:
        document, row = event.document, self._rows.get(event.id)
        before = row if row is not None and row.until_ms > now else None
        if before is not None and before.document == document:
            yield Answer(event.call, before)  # the same document changes nothing
            return
        error = self._refusal(now, event, new=row is None)
        if error is not None:
            yield Answer(event.call, error=error)
            return
        if row is not None and before is None:
            yield self._entry(now, "expired", row)
        made = self._revision(now, event, before)
        yield from self._write(_Write(event.id, event.call, made))
        yield self._entry(now, _kind_of_change(before, made), made)

    def _refusal(self, now: int, event: Put, *, new: bool) -> BadOverrideError | TooManyOverridesError | None:
        if event.document.until_ms <= now:
            what = f"override {event.id!r} is not taken"
            return BadOverrideError(what, "its end passed while it waited")
        if new and len(self._rows) + len(self._writes) >= self._most:
            return TooManyOverridesError(event.id, self._most)
        return None

    def _revision(self, now: int, event: Put, before: Override | None) -> Override:
        """The next revision of an id; `before` is the one in force."""
        document = event.document
        rev = max(self._last_rev + 1, now)  # above all of an incarnation whose disk was lost, too
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
        yield from self._write(_Write(event.id, event.call, None))
        yield self._entry(now, "ended", before, event.by, event.why)

    # --- writes ---------------------------------------------------------------------------

    def _write(self, write: _Write) -> Iterator[Action]:
        self._ticket += 1
        self._writes[self._ticket] = write
        self._writing.add(write.id)
        if write.made is not None:
            self._last_rev = write.made.rev
            yield WriteRow(self._ticket, write.made)
        else:
            yield DeleteRow(self._ticket, write.id)

    def _written(self, now: int, event: Written) -> Iterator[Action]:
        write = self._writes.pop(event.ticket, None)
        if write is None:
            return
        self._writing.discard(write.id)
        yield from self._failed(now, write, event.why) if event.why else self._durable(now, write)
        waiting = self._waiting.pop(write.id, deque())
        while waiting and write.id not in self._writing:
            yield from self._call(now, waiting.popleft())
        if waiting:
            self._waiting[write.id] = waiting

    def _failed(self, now: int, write: _Write, why: str) -> Iterator[Action]:
        before = self._rows.get(write.id)
        if before is not None:
            heapq.heappush(self._ends, (max(before.until_ms, now + RETRY_MS), write.id, before.rev))
        if write.call is not None:
            yield Answer(write.call, error=OverrideNotWrittenError(write.id, why))

    def _durable(self, now: int, write: _Write) -> Iterator[Action]:
        before = self._rows.get(write.id)
        if write.made is not None:
            self._take(write.made)
        else:
            self._rows.pop(write.id, None)
        if write.call is not None:
            self._publish_by(max(now, self._published_at + PROMPT_MS))
            yield Answer(write.call, write.made or before)

    def _take(self, found: Override) -> None:
        self._rows[found.id] = found
        self._last_rev = max(self._last_rev, found.rev)
        heapq.heappush(self._ends, (found.until_ms, found.id, found.rev))

    # --- time -----------------------------------------------------------------------------

    def _expire(self, now: int) -> Iterator[Action]:
        for _ in range(WORK_MOST):
            if not self._ends or self._ends[0][0] > now:
                return
            _, key, rev = heapq.heappop(self._ends)
            found = self._rows.get(key)
            if found is None or found.rev != rev:
                continue
            self._publish_by(now + EXPIRED_MS)
            if key in self._writing:
                # An extension, or an end, is under way and is durable first: it is checked after that.
                heapq.heappush(self._ends, (now + PROMPT_MS, key, rev))
                continue
            yield from self._write(_Write(key, None, None))
            yield self._entry(now, "expired", found)

    def _publish_by(self, at: int) -> None:
        self._publish_at = at if self._publish_at is None else min(at, self._publish_at)

    # --- history --------------------------------------------------------------------------

    def _entry(self, now: int, kind: str, found: Override, by: str = "", why: str = "") -> WriteEntry:
        return self._ring.add(_entry_of(now, kind, found, by, why))

    def _torn_commits(self, newest: dict[str, Entry]) -> Iterator[Entry]:
        for key, found in self._rows.items():
            entry = newest.get(key)
            if entry is None or entry.rev < found.rev or entry.kind == "ended":
                yield _entry_of(found.from_ms, "started", found)
        for key, entry in newest.items():
            row = self._rows.get(key)
            if row is None and entry.kind not in ("ended", "expired"):
                yield Entry(
                    at_ms=entry.at_ms, kind="ended", id=key, rev=entry.rev, why="no row after a start"
                )


def _entry_of(now: int, kind: str, found: Override, by: str = "", why: str = "") -> Entry:
    over = kind == "expired"
    return Entry(
        at_ms=now,
        kind=kind,
        id=found.id,
        rev=found.rev,
        by=by or ("" if over else found.by),
        why=why or ("" if over else found.why),
        override=None if kind in ("ended", "expired") else msgspec.to_builtins(found),
    )


def _kind_of_change(before: Override | None, made: Override) -> str:
    """How the history calls a revision that follows another, or none."""
    if before is None:
        return "started"
    if before.content != made.content or before.until_ms == made.until_ms:
        return "changed"
    return "extended" if made.until_ms > before.until_ms else "shortened"
