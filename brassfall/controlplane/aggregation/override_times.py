"""End times of overrides as known at an aggregator, and the remaining times sent to its children.

The service sends the remaining time of an override. The aggregator derives two bounds from it, on its own
clock: the override does not end before the lower bound, and has ended by the upper bound. Children are sent
the time until the lower bound as `left_ms` and the difference of the bounds as `slack_ms`. They add their own
bounds for the delay of the network and the drift of their clocks.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from brassfall.controlplane.aggregation.messages import TimesLeft

DRIFT = 0.0203  # relative difference of two clocks whose rates are each within 1% of true time
REFRESH_PART = 0.5  # fraction of a remaining time after which the times are requested anew
# After an answer that took this long the times are requested anew at once, since its bounds are wide.
SLOW_MS = 500.0
REFRESH_EVERY_MS = 1000.0  # the minimum time between two requests for all times
FORGET_AFTER_MS = 60_000.0  # how long after its end the times of an override may be removed
ROUNDED_MS = 2  # added to `slack_ms`, since `left_ms` and `slack_ms` are each rounded down to integers
MAX_OVERRIDES = 4096  # the maximum number of overrides whose times are stored
MAX_LEFT_MS = 25 * 3_600_000.0  # the maximum remaining time that is accepted


@dataclass(slots=True)
class _Bounds:
    """Bounds on the end of one revision of an override, in ms of the aggregator's clock."""

    revision: int
    same_from: int  # the oldest revision with the same content, without an end in between
    low_ms: float  # the override does not end before this time
    high_ms: float  # the override has ended by this time
    refresh_ms: float  # when the remaining times of all overrides are requested anew

    def narrow(self, other: _Bounds) -> None:
        """Narrow the bounds to their intersection with `other`, bounds of the same revision.

        Bounds that begin after these ones end are ignored.
        """
        if other.low_ms <= self.high_ms:
            self.low_ms, self.high_ms = max(self.low_ms, other.low_ms), min(self.high_ms, other.high_ms)
            self.refresh_ms = max(self.refresh_ms, other.refresh_ms)


@dataclass(slots=True)
class OverrideTimes:
    """Bounds on the ends of the overrides whose remaining times the service has sent."""

    newest: int = 0  # the newest revision of overrides received; 0: none in this epoch
    rejected: int = 0  # number of rows rejected as malformed or because of `MAX_OVERRIDES`
    _bounds: dict[str, _Bounds] = field(default_factory=dict)  # bounds by override id
    _refreshed_ms: float = -REFRESH_EVERY_MS  # when all times were requested last

    def receive(self, asked_ms: float, received_ms: float, left: Mapping[str, Mapping[str, int]]) -> None:
        """Store the remaining times in `left`, from the answer to a report that was begun at `asked_ms`.

        The answer was received at `received_ms`; both are times of the aggregator's clock.
        """
        for key, row in left.items():
            bounds = _parse_bounds(asked_ms, received_ms, row)
            if bounds is None:
                self.rejected += 1
            else:
                self._store_bounds(received_ms, key, bounds)

    def _store_bounds(self, now: float, key: str, new: _Bounds) -> None:
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
            removed_before_ms = now - FORGET_AFTER_MS
            self._bounds = {key: row for key, row in self._bounds.items() if row.high_ms > removed_before_ms}
        return len(self._bounds) < MAX_OVERRIDES

    def begin_epoch(self) -> None:
        """Let the next report request all times, since another epoch of the service begins.

        The known times are used until new ones are received.
        """
        self.newest = 0

    def known_for_report(self, now: float) -> int:
        """Return the newest revision known, for the next report; 0 if the report has to request all times."""
        due = any(row.refresh_ms <= now < row.low_ms for row in self._bounds.values())
        if due and now - self._refreshed_ms >= REFRESH_EVERY_MS:
            self._refreshed_ms = now
            return 0
        return self.newest

    def for_child(self, now: float, known: int) -> TimesLeft:
        """Return the remaining times of overrides with a revision after `known`; all of them if it is 0.

        `known` is the newest revision of overrides that the child knows.
        """
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


def _parse_bounds(asked_ms: float, received_ms: float, row: Mapping[str, int]) -> _Bounds | None:
    revision, same_from, left_ms = row.get("rev", 0), row.get("same_from", 0), row.get("left_ms", 0)
    if not 0 < same_from <= revision or left_ms > MAX_LEFT_MS:
        return None
    left_ms = max(0, left_ms)
    was_fast = received_ms - asked_ms < SLOW_MS
    return _Bounds(
        revision,
        same_from,
        low_ms=asked_ms + left_ms * (1.0 - DRIFT),
        high_ms=received_ms + left_ms * (1.0 + DRIFT),
        refresh_ms=asked_ms + (left_ms * REFRESH_PART if was_fast else 0.0),
    )
