"""When overrides end at this sidecar, computed from the times left that answers to reports state.

The module is pure code: times are passed in, in seconds of the sidecar's monotonic clock. Each decision
compares that clock with the end of an override, and none relies on a timer. The first decision of a process
is therefore correct even if the process was stopped, was partitioned or received a late answer.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple, TypeGuard

# Largest relative difference between two clocks whose rates are each within 1% of the true rate.
DRIFT = 0.0203
# The times left are requested again once this part of the time left that was received last has passed.
REFRESH_PART = 0.5
# A slow answer makes this sidecar end the override early by as much as the answer took. After an answer that
# took longer than this time in seconds, the times left are therefore requested again at once.
SLOW_ANSWER_S = 0.5
# Longest accepted time left, in milliseconds; no override can have more.
MAX_LEFT_MS = 25 * 3_600_000.0
MAX_OVERRIDES = 4096  # Largest number of overrides whose ends are stored
# Number of revisions of one override whose ends are stored: a configuration revision may still contain an
# older revision of the override.
MAX_REVISIONS = 4
# Ends are rounded to a multiple of this time in seconds, so that many ends close together cause few changes.
# The end at this sidecar is rounded down, and the end in the whole fleet is rounded up.
END_STEP_S = 0.0625
FORGET_AFTER_S = 60.0  # Time for which an ended override is remembered, in seconds after its end


class Phase(IntEnum):
    """Whether an override has ended, as far as this sidecar knows at one moment."""

    OVER = 0
    # The override has ended by this sidecar's clock, but may still be in force at another sidecar. This
    # sidecar neither acts on the override nor does anything that contradicts it.
    DOUBTFUL = 1
    IN_FORCE = 2


def digest(pairs: Iterable[tuple[str, int]]) -> str:
    """Return a short text that identifies a set of (override id, override revision) pairs.

    The list service computes the same text for the same set.
    """
    rows = sorted(pairs)
    return f"{len(rows)}-{zlib.crc32(''.join(f'{key}:{revision};' for key, revision in rows).encode()):08x}"


class _TimeLeft(NamedTuple):
    """The time left of one override, as an answer states it."""

    revision: int
    same_from: int  # The first revision of the override with the same content as `revision`
    min_ms: float
    max_ms: float


@dataclass(slots=True)
class _Bounds:
    """Bounds on the end of one revision of an override, in seconds of the sidecar's clock."""

    revision: int
    same_from: int  # The first revision of the override with the same content as `revision`
    # The earliest possible end, whatever the delay of the answer and the rates of the two clocks.
    earliest_end_s: float
    latest_end_s: float  # The latest possible end
    refresh_at_s: float  # Time from which the next report requests the time left again

    local_end_s: float = 0.0  # Time from which this sidecar does not act on the override
    fleet_end_s: float = 0.0  # Time from which no sidecar of the fleet acts on the override

    def __post_init__(self) -> None:
        self.set_bounds(self.earliest_end_s, self.latest_end_s)

    def set_bounds(self, earliest_end_s: float, latest_end_s: float) -> None:
        """Replace the bounds, and compute the rounded ends that follow from them."""
        self.earliest_end_s, self.latest_end_s = earliest_end_s, latest_end_s
        self.local_end_s = math.floor(min(earliest_end_s, latest_end_s) / END_STEP_S) * END_STEP_S
        self.fleet_end_s = math.ceil(latest_end_s / END_STEP_S) * END_STEP_S

    def narrow(self, other: _Bounds) -> bool:
        """Narrow these bounds by other bounds of the same revision.

        Return False, and change nothing, if the two contradict each other.
        """
        if other.earliest_end_s > self.latest_end_s:
            return False  # The list service has started the override again, or its clock has changed.
        self.set_bounds(
            max(self.earliest_end_s, other.earliest_end_s), min(self.latest_end_s, other.latest_end_s)
        )
        self.refresh_at_s = max(self.refresh_at_s, other.refresh_at_s)
        return True

    def phase(self, now_s: float) -> Phase:
        """Return the phase of the override at `now_s`."""
        if now_s < self.local_end_s:
            return Phase.IN_FORCE
        return Phase.DOUBTFUL if now_s < self.fleet_end_s else Phase.OVER


class Deadlines:
    """The ends of overrides, computed from the times left in answers to reports.

    `drift` is the largest relative difference between this sidecar's clock and another one.
    """

    def __init__(self, drift: float = DRIFT) -> None:
        self._drift = drift
        # The bounds of each override by its id; the newest revision comes first.
        self._bounds: dict[str, list[_Bounds]] = {}
        # Number of times left that were accepted. While this number stays the same, the phases change only at
        # the times that `next_end` returns.
        self.changes = 0
        # The newest override revision received. Reports state it, and the list service sends the times left
        # of newer revisions only.
        self.newest_revision = 0

    def receive(
        self, sent_at_s: float, times: Mapping[str, Any], received_at_s: float | None = None
    ) -> tuple[str, ...]:
        """Store the times left in an answer; return the ids of the overrides whose times are rejected.

        `times` is `{ID: {"rev", "same_from", "left_ms", "slack_ms"}}`: the override has at least `left_ms`
        left, and at most `slack_ms` more, which an aggregator adds. The earliest end counts from the time at
        which the report was sent, and the latest end from the time at which the answer was received. Both
        bounds are therefore correct however long the answer took. A time left is rejected if it is malformed
        or contradicts earlier ones, or if `MAX_OVERRIDES` overrides are stored; it then changes nothing.
        """
        received_s = sent_at_s if received_at_s is None else max(sent_at_s, received_at_s)
        rejected = []
        for key, row in times.items():
            try:
                left = _read_time_left(row)
            except ValueError:
                rejected.append(str(key))
                continue
            if not self._store(str(key), self._bounds_of(left, sent_at_s, received_s), sent_at_s):
                rejected.append(str(key))
        return tuple(rejected)

    def _bounds_of(self, left: _TimeLeft, sent_s: float, received_s: float) -> _Bounds:
        is_quick_answer = received_s - sent_s < SLOW_ANSWER_S
        return _Bounds(
            revision=left.revision,
            same_from=left.same_from,
            earliest_end_s=sent_s + left.min_ms / 1000.0 * (1.0 - self._drift),
            latest_end_s=received_s + left.max_ms / 1000.0 * (1.0 + self._drift),
            refresh_at_s=sent_s + (left.min_ms / 1000.0 * REFRESH_PART if is_quick_answer else 0.0),
        )

    def _store(self, key: str, new: _Bounds, now_s: float) -> bool:
        """Store the bounds of an override.

        Return False, and store nothing, if they contradict the known bounds or if too many overrides are
        stored.
        """
        known = self._bounds.get(key)
        if known is None and not self._has_room(now_s):
            return False
        self.newest_revision = max(self.newest_revision, new.revision)
        if known is None or new.revision > known[0].revision:
            self._bounds[key] = [new, *(known or [])[: MAX_REVISIONS - 1]]
        elif new.revision == known[0].revision and not known[0].narrow(new):
            return False
        self.changes += 1
        return True

    def _has_room(self, now_s: float) -> bool:
        """Return whether another override can be stored; forget ended overrides if there are too many."""
        if len(self._bounds) >= MAX_OVERRIDES:
            self._bounds = {
                key: rows
                for key, rows in self._bounds.items()
                if rows[0].local_end_s > now_s - FORGET_AFTER_S
            }
        return len(self._bounds) < MAX_OVERRIDES

    def phase(self, key: str, revision: int, now_s: float) -> Phase:
        """Return the phase at `now_s` of an override that a configuration document contains at `revision`.

        The times left of a new override revision arrive before the configuration document that contains it.
        They apply to an older override revision if it has the same content. The times left of an older
        override revision never apply to a newer one, which may end earlier.
        """
        for bounds in self._bounds.get(key, ()):
            if bounds.same_from <= revision <= bounds.revision:
                return bounds.phase(now_s)
        return Phase.OVER

    def exclusive_phase(self, key: str, revision: int, now_s: float) -> Phase:
        """Return the phase of an override, such as a pin, that must not be in force beside another value.

        An extension of the override counts only once this sidecar acts on the configuration document that
        contains the extension. Another sidecar that has not received the newer times left ends the override
        at the older end, as long as its lease lasts.
        """
        phase = self.phase(key, revision, now_s)
        rows: Sequence[_Bounds] = self._bounds.get(key, ())
        if phase is not Phase.IN_FORCE or rows[0].revision == revision:
            return phase
        own = next((bounds for bounds in rows if bounds.revision == revision), None)
        return Phase.IN_FORCE if own is not None and now_s < own.local_end_s else Phase.DOUBTFUL

    def active_ids(self, now_s: float) -> tuple[str, ...]:
        """Return the ids of the overrides whose newest known revision is in force, in order."""
        return tuple(sorted(key for key, rows in self._bounds.items() if now_s < rows[0].local_end_s))

    def digest(self, now_s: float) -> str:
        """Return the digest of the overrides in force, each with its newest known revision."""
        return digest((key, self._bounds[key][0].revision) for key in self.active_ids(now_s))

    def next_end(self, now_s: float) -> float | None:
        """Return the time at which the phase of an override changes next; None if no change is due."""
        rows = (bounds for known in self._bounds.values() for bounds in known)
        ends = (end for bounds in rows for end in (bounds.local_end_s, bounds.fleet_end_s))
        return min((end for end in ends if end > now_s), default=None)

    def refresh_due(self, now_s: float) -> bool:
        """Return whether the next report should request all times left, to narrow the bounds of an end."""
        newest = (rows[0] for rows in self._bounds.values())
        return any(bounds.refresh_at_s <= now_s < bounds.local_end_s for bounds in newest)


def _read_time_left(row: object) -> _TimeLeft:
    """Return the time left that a row of an answer states; raise `ValueError` if it is malformed."""
    if not isinstance(row, Mapping):
        message = "time left: expected an object"
        raise ValueError(message)
    revision = row.get("rev")
    same_from = row.get("same_from", revision)
    if not (is_whole_number(revision) and is_whole_number(same_from) and 0 < same_from <= revision):
        message = "rev, same_from: expected whole numbers, with same_from from 1 to rev"
        raise ValueError(message)
    left_ms, slack_ms = row.get("left_ms"), row.get("slack_ms", 0)
    if not (_is_duration(left_ms) and _is_duration(slack_ms)) or slack_ms < 0:
        message = "left_ms, slack_ms: expected milliseconds up to 25 hours, and slack_ms not negative"
        raise ValueError(message)
    return _TimeLeft(revision, same_from, max(0.0, float(left_ms)), max(0.0, float(left_ms + slack_ms)))


def _is_duration(value: object) -> TypeGuard[int | float]:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return -math.inf < value <= MAX_LEFT_MS


def is_whole_number(value: object) -> TypeGuard[int]:
    """Return whether a value parsed from JSON is an integer; true and false are none."""
    return isinstance(value, int) and not isinstance(value, bool)
