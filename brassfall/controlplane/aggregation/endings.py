"""Until when overrides are in force, as told from above, and what children are told of it. Pure code.

The service tells how much time is left; here that becomes two bounds on the aggregator's clock: not over
before the lower one, over at the upper one. Children are told the lower one as `left_ms` and the difference
as `slack_ms`; they add bounds of their own for the way and their clocks.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

# Two clocks whose rates are each within 1% of the true one differ by less than this.
DRIFT = 0.0203
RETELL_PART = 0.5  # of the time left that was told last: with less left, it is asked for anew
SLOW_MS = 500.0  # an answer that took longer bounds badly: it is asked for anew at once
RETELL_EVERY_MS = 1000.0
KEPT_MS = 60_000.0  # after its end
OVERRIDES_MOST = 4096
LONGEST_MS = 25 * 3_600_000.0


@dataclass(slots=True)
class _Ending:
    """What is known of one revision of an override; times on the aggregator's clock."""

    rev: int
    same_from: int
    low_ms: float
    high_ms: float
    retell_ms: float


@dataclass(slots=True)
class Endings:
    """The ends of all overrides that were told."""

    newest: int = 0  # the newest revision told
    unread: int = 0  # rows that made no sense
    _endings: dict[str, _Ending] = field(default_factory=dict)
    _asked_anew_ms: float = -RETELL_EVERY_MS

    def told(self, asked: float, heard: float, left: Mapping[str, Mapping[str, int]]) -> None:
        """Take in times left: the report was begun at `asked`, its answer came at `heard`."""
        for key, row in left.items():
            rev, same_from, left_ms = row.get("rev", 0), row.get("same_from", 0), row.get("left_ms", 0)
            if not 0 < same_from <= rev or left_ms > LONGEST_MS:
                self.unread += 1
                continue
            left_ms = max(0, left_ms)
            low, high = asked + left_ms * (1.0 - DRIFT), heard + left_ms * (1.0 + DRIFT)
            retell = asked + (left_ms * RETELL_PART if heard - asked < SLOW_MS else 0.0)
            self._take(heard, key, _Ending(rev, same_from, low, high, retell))

    def _take(self, now: float, key: str, new: _Ending) -> None:
        held = self._endings.get(key)
        if held is None and len(self._endings) >= OVERRIDES_MOST:
            self._forget(now)
            if len(self._endings) >= OVERRIDES_MOST:
                self.unread += 1
                return
        self.newest = max(self.newest, new.rev)
        if held is None or new.rev > held.rev:
            self._endings[key] = new
        elif new.rev == held.rev and new.low_ms <= held.high_ms:
            held.low_ms, held.high_ms = max(held.low_ms, new.low_ms), min(held.high_ms, new.high_ms)
            held.retell_ms = max(held.retell_ms, new.retell_ms)

    def _forget(self, now: float) -> None:
        self._endings = {key: row for key, row in self._endings.items() if row.high_ms > now - KEPT_MS}

    def begin_anew(self) -> None:
        """Another epoch of the service counts: have it tell everything, and keep what was told meanwhile."""
        self.newest = 0

    def told_for_report(self, now: float) -> int:
        """What a report says to have been told: 0 asks for all anew."""
        wanted = any(row.retell_ms <= now < row.low_ms for row in self._endings.values())
        if wanted and now - self._asked_anew_ms >= RETELL_EVERY_MS:
            self._asked_anew_ms = now
            return 0
        return self.newest

    def for_child(self, now: float, told: int) -> dict[str, dict[str, int]]:
        """What a child's answer tells, of revisions after the newest that it was told; 0 tells all."""
        if told >= self.newest:
            return {}
        return {
            key: {
                "rev": row.rev,
                "same_from": row.same_from,
                "left_ms": max(0, int(row.low_ms - now)),
                "slack_ms": 2 + max(0, int(row.high_ms - max(now, row.low_ms))),
            }
            for key, row in self._endings.items()
            if row.rev > told and row.high_ms > now
        }
