"""When overrides end at this sidecar, from the times left in answers to reports. Pure code.

Times are passed in, in seconds of the sidecar's monotonic clock. Each decision compares that clock with the
ends; none relies on a timer. So a process that was stopped, partitioned or answered late is right with its
first decision.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple, TypeGuard

DRIFT = 0.0203  # by which two clocks can differ whose rates are each within 1% of the true one
REFRESH_PART = 0.5  # of the time left received last: once it has passed, the times are requested anew
SLOW_ANSWER_S = 0.5  # an answer that took longer ends the override early by as much: requested anew at once
MAX_LEFT_MS = 25 * 3_600_000.0  # more than any override can have left: a longer time is not believed
MAX_OVERRIDES = 4096
MAX_REVISIONS = 4  # kept of one override: a configuration revision may still have an older one
END_STEP_S = 0.0625  # ends are rounded to this, the safe way, so that few of them are separate changes
FORGET_AFTER_S = 60.0  # from the end on


class Phase(IntEnum):
    """What is known of an override's end at one moment."""

    OVER = 0
    DOUBTFUL = 1  # over by this clock, maybe not by another sidecar's: neither acted on nor contradicted
    IN_FORCE = 2


def digest(pairs: Iterable[tuple[str, int]]) -> str:
    """Return a short text that identifies a set of (id, revision), the same as the list service's."""
    rows = sorted(pairs)
    return f"{len(rows)}-{zlib.crc32(''.join(f'{key}:{rev};' for key, rev in rows).encode()):08x}"


class _TimeLeft(NamedTuple):
    """The time left of one override, as an answer states it."""

    revision: int
    same_from: int  # the first revision with the same content
    least_ms: float
    most_ms: float


@dataclass(slots=True)
class _Bounds:
    """When one revision of an override ends, as far as known."""

    rev: int
    same_from: int
    low_s: float  # not over before, at any delay of the answer and any rates of the clocks
    high_s: float  # over from then on
    refresh_s: float  # from then on its time is requested anew

    end_s: float = 0.0  # from then on this sidecar does not act on it
    over_s: float = 0.0  # from then on no other sidecar acts on it either

    def __post_init__(self) -> None:
        self.set_bounds(self.low_s, self.high_s)

    def set_bounds(self, low_s: float, high_s: float) -> None:
        """Replace the bounds, and round the ends that follow from them."""
        self.low_s, self.high_s = low_s, high_s
        self.end_s = math.floor(min(low_s, high_s) / END_STEP_S) * END_STEP_S
        self.over_s = math.ceil(high_s / END_STEP_S) * END_STEP_S

    def narrow(self, other: _Bounds) -> bool:
        """Narrow the bounds by others of the same revision; False if the two contradict each other."""
        if other.low_s > self.high_s:
            return False  # from a service that started it anew, or has another clock
        self.set_bounds(max(self.low_s, other.low_s), min(self.high_s, other.high_s))
        self.refresh_s = max(self.refresh_s, other.refresh_s)
        return True

    def phase(self, now_s: float) -> Phase:
        """Return the phase at this time."""
        if now_s < self.end_s:
            return Phase.IN_FORCE
        return Phase.DOUBTFUL if now_s < self.over_s else Phase.OVER


class Deadlines:
    """The ends of overrides, from the times left in answers."""

    def __init__(self, drift: float = DRIFT) -> None:
        self._drift = drift
        self._bounds: dict[str, list[_Bounds]] = {}  # by id, the newest revision first
        self.changes = 0  # times received; while it stays, a phase changes at `next_end` alone
        # The newest override revision received; the service sends the times of newer ones.
        self.newest_revision = 0

    def receive(
        self, asked_at_s: float, times: Mapping[str, Any], received_at_s: float | None = None
    ) -> tuple[str, ...]:
        """Use the times left in an answer; return the ids of those that are malformed or contradictory.

        `times` is `{ID: {"rev", "same_from", "left_ms", "slack_ms"}}`: at least `left_ms` are left, and at
        most `slack_ms` more, which an aggregator adds. The least is counted from when the report was sent,
        the most from when the answer was received, so that neither depends on how long that took. The times
        of the ids returned change nothing.
        """
        received_s = asked_at_s if received_at_s is None else max(asked_at_s, received_at_s)
        rejected = []
        for key, row in times.items():
            try:
                left = _read_time_left(row)
            except ValueError:
                rejected.append(str(key))
                continue
            if not self._store(str(key), self._bounds_of(left, asked_at_s, received_s), asked_at_s):
                rejected.append(str(key))
        return tuple(rejected)

    def _bounds_of(self, left: _TimeLeft, asked_s: float, received_s: float) -> _Bounds:
        quick = received_s - asked_s < SLOW_ANSWER_S
        return _Bounds(
            rev=left.revision,
            same_from=left.same_from,
            low_s=asked_s + left.least_ms / 1000.0 * (1.0 - self._drift),
            high_s=received_s + left.most_ms / 1000.0 * (1.0 + self._drift),
            refresh_s=asked_s + (left.least_ms / 1000.0 * REFRESH_PART if quick else 0.0),
        )

    def _store(self, key: str, new: _Bounds, now_s: float) -> bool:
        """Store the bounds of an override; False if they contradict known ones, or there are too many."""
        known = self._bounds.get(key)
        if known is None and not self._has_room(now_s):
            return False
        self.newest_revision = max(self.newest_revision, new.rev)
        if known is None or new.rev > known[0].rev:
            self._bounds[key] = [new, *(known or [])[: MAX_REVISIONS - 1]]
        elif new.rev == known[0].rev and not known[0].narrow(new):
            return False
        self.changes += 1
        return True

    def _has_room(self, now_s: float) -> bool:
        if len(self._bounds) >= MAX_OVERRIDES:
            self._bounds = {
                key: rows for key, rows in self._bounds.items() if rows[0].end_s > now_s - FORGET_AFTER_S
            }
        return len(self._bounds) < MAX_OVERRIDES

    def phase(self, key: str, rev: int, now_s: float) -> Phase:
        """Return the phase of an override at the revision that a configuration document has.

        The times of a newer revision are received before the document that has it. They count for an older
        revision with the same content; an older revision's times never count for a newer one, which may have
        been shortened.
        """
        for bounds in self._bounds.get(key, ()):
            if bounds.same_from <= rev <= bounds.rev:
                return bounds.phase(now_s)
        return Phase.OVER

    def exclusive_phase(self, key: str, rev: int, now_s: float) -> Phase:
        """Return the phase of an override that must not be acted on beside another value.

        A later end counts once the document that states it is acted on, and not before: a sidecar that has
        not received the newer times ends the override at the older end, for as long as its lease lasts.
        """
        phase = self.phase(key, rev, now_s)
        rows: Sequence[_Bounds] = self._bounds.get(key, ())
        if phase is not Phase.IN_FORCE or rows[0].rev == rev:
            return phase
        own = next((bounds for bounds in rows if bounds.rev == rev), None)
        return Phase.IN_FORCE if own is not None and now_s < own.end_s else Phase.DOUBTFUL

    def active(self, now_s: float) -> tuple[str, ...]:
        """Return the ids whose newest revision is in force."""
        return tuple(sorted(key for key, rows in self._bounds.items() if now_s < rows[0].end_s))

    def digest(self, now_s: float) -> str:
        """Return the digest of the active ids with their newest revisions."""
        return digest((key, self._bounds[key][0].rev) for key in self.active(now_s))

    def next_end(self, now_s: float) -> float | None:
        """Return when the phase of an override changes next; None if no change is due."""
        rows = (bounds for known in self._bounds.values() for bounds in known)
        ends = (end for bounds in rows for end in (bounds.end_s, bounds.over_s))
        return min((end for end in ends if end > now_s), default=None)

    def refresh_due(self, now_s: float) -> bool:
        """Return whether the next report should request all times anew, to narrow an end that is near."""
        newest = (rows[0] for rows in self._bounds.values())
        return any(bounds.refresh_s <= now_s < bounds.end_s for bounds in newest)


def _read_time_left(row: object) -> _TimeLeft:
    """Return the time left in a row of an answer; raise `ValueError` if it is malformed."""
    if not isinstance(row, Mapping):
        message = "expected an object"
        raise ValueError(message)
    revision = row.get("rev")
    same_from = row.get("same_from", revision)
    if not (is_whole_number(revision) and is_whole_number(same_from) and 0 < same_from <= revision):
        message = "rev, same_from: expected whole numbers"
        raise ValueError(message)
    left_ms, slack_ms = row.get("left_ms"), row.get("slack_ms", 0)
    if not (_is_duration(left_ms) and _is_duration(slack_ms)) or slack_ms < 0:
        message = "left_ms, slack_ms: expected milliseconds"
        raise ValueError(message)
    return _TimeLeft(revision, same_from, max(0.0, float(left_ms)), max(0.0, float(left_ms + slack_ms)))


def _is_duration(value: object) -> TypeGuard[int | float]:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return -math.inf < value <= MAX_LEFT_MS


def is_whole_number(value: object) -> TypeGuard[int]:
    """Return whether a value is an integer in JSON."""
    return isinstance(value, int) and not isinstance(value, bool)
