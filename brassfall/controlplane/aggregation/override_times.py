"""The ends of overrides at an aggregator, and the times left for its children. Pure code.

The service sends the time left of an override. It becomes two bounds on the aggregator's clock: the override
has not ended before the lower one, and has ended at the upper one. Children are sent the lower one as
`left_ms` and the difference as `slack_ms`; they add their own bounds for the network and their clocks.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from brassfall.controlplane.aggregation.messages import TimesLeft

DRIFT = 0.0203  # by which two clocks can differ whose rates are each within 1% of the true one
REFRESH_PART = 0.5  # of the time left received last: once it has passed, the times are requested anew
SLOW_MS = 500.0  # an answer that took longer gives wide bounds: requested anew at once
REFRESH_EVERY_MS = 1000.0
FORGET_AFTER_MS = 60_000.0  # from its end
ROUNDED_MS = 2  # by which `left_ms` and `slack_ms` are too low as integers
MAX_OVERRIDES = 4096
MAX_LEFT_MS = 25 * 3_600_000.0


@dataclass(slots=True)
class _Bounds:
    """When one revision of an override ends, as far as known, by the aggregator's clock."""

    revision: int
    same_from: int  # the oldest revision with the same content, without an end in between
    low_ms: float
    high_ms: float
    refresh_ms: float

    def narrow(self, other: _Bounds) -> None:
        """Narrow the bounds by others of the same revision; contradictory ones are ignored."""
        if other.low_ms <= self.high_ms:
            self.low_ms, self.high_ms = max(self.low_ms, other.low_ms), min(self.high_ms, other.high_ms)
            self.refresh_ms = max(self.refresh_ms, other.refresh_ms)


@dataclass(slots=True)
class OverrideTimes:
    """The ends of the overrides that the service sent."""

    newest: int = 0  # the newest revision received
    rejected: int = 0  # rows that were malformed, or too many
    _bounds: dict[str, _Bounds] = field(default_factory=dict)
    _refreshed_ms: float = -REFRESH_EVERY_MS

    def receive(self, asked_ms: float, received_ms: float, left: Mapping[str, Mapping[str, int]]) -> None:
        """Use the times left in the answer to a report that was begun at `asked_ms`."""
        for key, row in left.items():
            bounds = _read(asked_ms, received_ms, row)
            if bounds is None:
                self.rejected += 1
            else:
                self._take(received_ms, key, bounds)

    def _take(self, now: float, key: str, new: _Bounds) -> None:
        known = self._bounds.get(key)
        if known is None and not self._has_room(now):
            self.rejected += 1
            return
        self.newest = max(self.newest, new.revision)
        if known is None or new.revision > known.revision:
            self._bounds[key] = new
        elif new.revision == known.revision:
            known.narrow(new)

    def _has_room(self, now: float) -> bool:
        if len(self._bounds) >= MAX_OVERRIDES:
            after_ms = now - FORGET_AFTER_MS
            self._bounds = {key: row for key, row in self._bounds.items() if row.high_ms > after_ms}
        return len(self._bounds) < MAX_OVERRIDES

    def begin_epoch(self) -> None:
        """Request all times from another epoch of the service; the known ones are used meanwhile."""
        self.newest = 0

    def known_for_report(self, now: float) -> int:
        """Return the newest revision for the next report; 0 requests all times."""
        due = any(row.refresh_ms <= now < row.low_ms for row in self._bounds.values())
        if due and now - self._refreshed_ms >= REFRESH_EVERY_MS:
            self._refreshed_ms = now
            return 0
        return self.newest

    def for_child(self, now: float, known: int) -> TimesLeft:
        """Return the times left of revisions after the newest that a child knows; all if that is 0."""
        if known >= self.newest:
            return {}
        return {
            key: {
                "rev": row.revision,
                "same_from": row.same_from,
                "left_ms": max(0, int(row.low_ms - now)),
                "slack_ms": ROUNDED_MS + max(0, int(row.high_ms - max(now, row.low_ms))),
            }
            for key, row in self._bounds.items()
            if row.revision > known and row.high_ms > now
        }


def _read(asked_ms: float, received_ms: float, row: Mapping[str, int]) -> _Bounds | None:
    revision, same_from, left_ms = row.get("rev", 0), row.get("same_from", 0), row.get("left_ms", 0)
    if not 0 < same_from <= revision or left_ms > MAX_LEFT_MS:
        return None
    left_ms = max(0, left_ms)
    prompt = received_ms - asked_ms < SLOW_MS
    return _Bounds(
        revision,
        same_from,
        low_ms=asked_ms + left_ms * (1.0 - DRIFT),
        high_ms=received_ms + left_ms * (1.0 + DRIFT),
        refresh_ms=asked_ms + (left_ms * REFRESH_PART if prompt else 0.0),
    )
