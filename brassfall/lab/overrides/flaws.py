"""List services that break one rule of overrides each: what the judge has to find, by name."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from brassfall.controlplane.overrides import events
from brassfall.controlplane.overrides.clock import SteadyClock
from brassfall.controlplane.overrides.document import Override
from brassfall.controlplane.overrides.history import WriteEntry
from brassfall.controlplane.overrides.store import OverrideStore
from brassfall.lab.overrides.parts import Clock, Parts


class WallClock:
    """Goes by the wall clock, which jumps."""

    def __init__(self, wall: Callable[[], float], mono: float, mark: float, marked_at: float | None) -> None:
        self._wall = wall

    def now(self, monotonic_ms: float) -> int:
        """Unix ms."""
        return int(self._wall())

    def mark(self, monotonic_ms: float) -> int | None:
        """The mark to write."""
        return self.now(monotonic_ms)


def unmarked(wall: Callable[[], float], mono: float, mark: float, marked_at: float | None) -> Clock:
    """Begins with the wall clock at each start, whatever an earlier life has reached."""
    return SteadyClock(wall(), mono)


def begun_anew(rows: Iterable[tuple[str, Any]], now: int) -> list[tuple[str, Any]]:
    """Gives each override its whole length again after a start, as a lease would have it."""
    return [(k, {**row, "until_ms": now + row["until_ms"] - row["from_ms"]}) for k, row in rows]


class EndsOverExtensions(OverrideStore):
    """Deletes what is over although its extension is on its way, and forgets what it has stored."""

    def _expire(self, now: int) -> Iterator[events.Action]:
        self._writing.clear()
        yield from super()._expire(now)


class AnswersAtOnce(OverrideStore):
    """Answers before the row is durable."""

    def _write(self, write: Any) -> Iterator[events.Action]:
        yield from super()._write(write)
        if write.call is not None:
            yield events.Answer(write.call, write.made or self._rows.get(write.id))
            self._writes[self._ticket] = type(write)(write.id, None, write.made)

    def _written(self, now: int, event: events.Written) -> Iterator[events.Action]:
        yield from super()._written(now, event)
        self._publish_by(now)


class CountsByName(OverrideStore):
    """Counts revisions of each id anew, so that one that was deleted begins at one."""

    def step(self, now_ms: int, event: events.Event) -> list[events.Action]:
        """What to do after an event."""
        return [self._renumbered(action) for action in super().step(now_ms, event)]

    def _renumbered(self, action: events.Action) -> events.Action:
        if not isinstance(action, events.WriteRow):
            return action
        before = self._rows.get(action.override.id)
        rev = before.rev + 1 if before is not None else 1
        same = before.same_from if before is not None and before.content == action.override.content else rev
        made: Override = msgspec.structs.replace(action.override, rev=rev, same_from=same)
        write = self._writes[action.ticket]
        self._writes[action.ticket] = type(write)(write.id, write.call, made)
        return events.WriteRow(action.ticket, made)


class ForgetsHistory(OverrideStore):
    """Writes no history of what is extended."""

    def step(self, now_ms: int, event: events.Event) -> list[events.Action]:
        """What to do after an event."""
        actions = super().step(now_ms, event)
        return [a for a in actions if not (isinstance(a, WriteEntry) and a.entry.kind == "extended")]


class PublishesNoEnds(OverrideStore):
    """Does not publish what an operator ended."""

    def _end(self, now: int, event: events.End) -> Iterator[events.Action]:
        yield from super()._end(now, event)
        self._silent = True

    _silent = False

    def _publish_by(self, at: int) -> None:
        if not self._silent:
            super()._publish_by(at)
        self._silent = False


# By name: the service's side with it, and the rules of which one is broken then.
FLAWS: dict[str, tuple[Parts, frozenset[str]]] = {
    "expiry by the wall clock": (
        Parts(clock=WallClock),
        frozenset({"a start or an extension was lost", "acted on past its end", "a revision was used twice"}),
    ),
    "time begins before the mark": (Parts(clock=unmarked), frozenset({"time went back"})),
    "a restart begins anew": (Parts(loaded=begun_anew), frozenset({"acted on past its end"})),
    "an end goes over an extension": (
        Parts(store=EndsOverExtensions),
        frozenset({"ended before its time"}),
    ),
    "answered before durable": (Parts(store=AnswersAtOnce), frozenset({"an answered change was lost"})),
    "revisions counted by name": (
        Parts(store=CountsByName),
        frozenset({"a revision was used twice"}),
    ),
    "an extension without history": (Parts(store=ForgetsHistory), frozenset({"a change has no history"})),
    "an end is not published": (Parts(store=PublishesNoEnds), frozenset({"acted on after it was ended"})),
}
