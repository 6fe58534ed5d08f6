"""List services that break one rule of overrides each: what the judge has to find, by name."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from brassfall.controlplane.overrides import book as books
from brassfall.controlplane.overrides.clock import SteadyClock
from brassfall.controlplane.overrides.document import Override
from brassfall.controlplane.overrides.history import History
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


class EndsOverExtensions(books.Book):
    """Deletes what is over although its extension is on its way, and forgets what it has stored."""

    def _expire(self, now: int) -> Iterator[books.Action]:
        self._writing.clear()
        yield from super()._expire(now)


class AnswersAtOnce(books.Book):
    """Answers before the row is durable."""

    def _write(self, write: Any) -> Iterator[books.Action]:
        yield from super()._write(write)
        if write.call is not None:
            yield books.Answer(write.call, write.made or self._held.get(write.id))
            self._writes[self._ticket] = type(write)(write.id, None, write.made)

    def _written(self, now: int, event: books.Written) -> Iterator[books.Action]:
        yield from super()._written(now, event)
        self._publish_by(now)


class CountsByName(books.Book):
    """Counts revisions of each id anew, so that one that was deleted begins at one."""

    def step(self, now_ms: int, event: books.Event) -> list[books.Action]:
        """What to do after an event."""
        return [self._renumbered(action) for action in super().step(now_ms, event)]

    def _renumbered(self, action: books.Action) -> books.Action:
        if not isinstance(action, books.Store):
            return action
        held = self._held.get(action.override.id)
        rev = held.rev + 1 if held is not None else 1
        same = held.same_from if held is not None and held.content == action.override.content else rev
        made: Override = msgspec.structs.replace(action.override, rev=rev, same_from=same)
        write = self._writes[action.ticket]
        self._writes[action.ticket] = type(write)(write.id, write.call, made)
        return books.Store(action.ticket, made)


class ForgetsHistory(books.Book):
    """Writes no history of what is extended."""

    def step(self, now_ms: int, event: books.Event) -> list[books.Action]:
        """What to do after an event."""
        actions = super().step(now_ms, event)
        return [a for a in actions if not (isinstance(a, History) and a.entry.kind == "extended")]


class PublishesNoEnds(books.Book):
    """Does not publish what an operator ended."""

    def _end(self, now: int, event: books.End) -> Iterator[books.Action]:
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
        Parts(book=EndsOverExtensions),
        frozenset({"ended before its time"}),
    ),
    "answered before durable": (Parts(book=AnswersAtOnce), frozenset({"an answered change was lost"})),
    "revisions counted by name": (
        Parts(book=CountsByName),
        frozenset({"a revision was used twice"}),
    ),
    "an extension without history": (Parts(book=ForgetsHistory), frozenset({"a change has no history"})),
    "an end is not published": (Parts(book=PublishesNoEnds), frozenset({"acted on after it was ended"})),
}
