"""What an aggregator is ordered to do about single children, told until it must have come through. Pure code.

An order holds at the aggregator until another comes. Answers get lost: so each answer repeats who is barred,
and for a while who is no longer. The size grows with what is wrong, not with the children.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from brassfall.controlplane.aggregation.messages import EXCEPTIONS_MOST, TEXT_MOST, ChildOrder

REPEATED_MS = 10_000.0  # that a child is not barred any more
ORDERS_MOST = 4 * EXCEPTIONS_MOST


@dataclass(slots=True)
class Orders:
    """The orders to one aggregator process."""

    _until_ms: dict[str, float] = field(default_factory=dict)  # by child that is or was barred

    def due(
        self, now: float, named: Iterable[str], barred: Mapping[str, str], ask: set[str], tell: set[str]
    ) -> list[ChildOrder]:
        """Orders for the next answer: about the children that the report names, and those barred before.

        `ask`: who is to list what it acts on; `tell`: who is told all times left anew; `barred`: reasons."""
        names = dict.fromkeys(named)
        for name in names:
            if name in barred:
                self._until_ms[name] = now + REPEATED_MS
        for name, until in list(self._until_ms.items()):
            if name in barred:
                self._until_ms[name] = now + REPEATED_MS
            elif now > until:
                del self._until_ms[name]
        names |= dict.fromkeys(self._until_ms)
        return [
            ChildOrder(name, name in ask, name in tell, barred.get(name, "")[:TEXT_MOST])
            for name in list(names)[:ORDERS_MOST]
        ]
