"""Injected defects: list services that break one rule of overrides each, which the judge has to find."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterator
from typing import NamedTuple

import msgspec

from brassfall.controlplane.overrides import events
from brassfall.controlplane.overrides.clock import SteadyClock
from brassfall.controlplane.overrides.document import Override
from brassfall.controlplane.overrides.history import WriteEntry
from brassfall.controlplane.overrides.store import OverrideStore
from brassfall.lab.overrides.parts import Clock, ClockStart, Parts, StoredRows


class WallClock:
    """A clock that follows the wall clock, which jumps."""

    def __init__(self, start: ClockStart) -> None:
        self._wall: Callable[[], float] = start.wall

    def now(self, _monotonic_ms: float, /) -> int:
        """Return Unix ms."""
        return int(self._wall())

    def mark(self, monotonic_ms: float, /) -> int | None:
        """Return the mark to store."""
        return self.now(monotonic_ms)


def clock_without_mark(start: ClockStart) -> Clock:
    """Return a clock that begins with the wall clock at each start and ignores the stored mark."""
    return SteadyClock(start.wall(), start.monotonic_ms)


def restarted_rows(rows: StoredRows, now_ms: int) -> StoredRows:
    """Return rows that have their full length again after a start, as a lease would."""
    return [(key, {**row, "until_ms": now_ms + row["until_ms"] - row["from_ms"]}) for key, row in rows]


class ExpiresDuringExtension(OverrideStore):
    """A store that deletes an expired override although its extension is being written."""

    def _expire(self, now: int) -> Iterator[events.Action]:
        self._writing.clear()
        yield from super()._expire(now)


class AnswersBeforeDurable(OverrideStore):
    """A store that answers before the row is durable."""

    def step(self, now_ms: int, event: events.Event) -> list[events.Action]:
        """Return the actions after an event."""
        actions: list[events.Action] = []
        for action in super().step(now_ms, event):
            actions.append(action)
            if isinstance(action, events.WriteRow | events.DeleteRow):
                actions += self._answers(action.ticket)
        return actions

    def _answers(self, ticket: int) -> list[events.Action]:
        write = self._writes[ticket]
        if write.call is None:
            return []
        self._writes[ticket] = dataclasses.replace(write, call=None)
        return [events.Answer(write.call, write.override or self._rows.get(write.id))]

    def _written(self, now: int, event: events.RowWritten) -> Iterator[events.Action]:
        yield from super()._written(now, event)
        self._publish_by(now)


class CountsRevisionsById(OverrideStore):
    """A store that counts revisions of each id, so that a new override begins at one again."""

    def step(self, now_ms: int, event: events.Event) -> list[events.Action]:
        """Return the actions after an event."""
        return [self._renumbered(action) for action in super().step(now_ms, event)]

    def _renumbered(self, action: events.Action) -> events.Action:
        if not isinstance(action, events.WriteRow):
            return action
        before = self._rows.get(action.override.id)
        rev = before.rev + 1 if before is not None else 1
        same = before.same_from if before is not None and before.content == action.override.content else rev
        made: Override = msgspec.structs.replace(action.override, rev=rev, same_from=same)
        self._writes[action.ticket] = dataclasses.replace(self._writes[action.ticket], override=made)
        return events.WriteRow(action.ticket, made)


class OmitsExtensionHistory(OverrideStore):
    """A store that writes no history of extensions."""

    def step(self, now_ms: int, event: events.Event) -> list[events.Action]:
        """Return the actions after an event."""
        actions = super().step(now_ms, event)
        return [a for a in actions if not (isinstance(a, WriteEntry) and a.entry.kind == "extended")]


class OmitsPublicationOfEnds(OverrideStore):
    """A store that doesn't publish that an operator ended an override."""

    _silent = False

    def _end(self, now: int, event: events.End) -> Iterator[events.Action]:
        yield from super()._end(now, event)
        self._silent = True

    def _publish_by(self, at: int) -> None:
        if not self._silent:
            super()._publish_by(at)
        self._silent = False


class Defect(NamedTuple):
    """A defect of the service, and the rules of which it breaks at least one."""

    parts: Parts
    rules: frozenset[str]


DEFECTS: dict[str, Defect] = {
    "expiry by the wall clock": Defect(
        Parts(clock=WallClock),
        frozenset({"a start or an extension was lost", "acted on past its end", "a revision was used twice"}),
    ),
    "time begins before the mark": Defect(Parts(clock=clock_without_mark), frozenset({"time went back"})),
    "a restart begins anew": Defect(Parts(loaded=restarted_rows), frozenset({"acted on past its end"})),
    "an end goes over an extension": Defect(
        Parts(store=ExpiresDuringExtension), frozenset({"ended before its time"})
    ),
    "answered before durable": Defect(
        Parts(store=AnswersBeforeDurable), frozenset({"an answered change was lost"})
    ),
    "revisions counted by name": Defect(
        Parts(store=CountsRevisionsById), frozenset({"a revision was used twice"})
    ),
    "an extension without history": Defect(
        Parts(store=OmitsExtensionHistory), frozenset({"a change has no history"})
    ),
    "an end is not published": Defect(
        Parts(store=OmitsPublicationOfEnds), frozenset({"acted on after it was ended"})
    ),
}
