"""The orders to an aggregator about single children, which are repeated in its answers. Pure code.

An order is valid at the aggregator until another one about the child is received. Since answers get lost,
each answer names the children that are blocked, and for a while those that no longer are. Its size depends
on the children with findings, not on all children.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from brassfall.controlplane.aggregation.messages import EXCEPTIONS_MOST, TEXT_MOST, ChildOrder

REPEATED_MS = 10_000.0  # for which answers name a child that is no longer blocked
MAX_ORDERS = 4 * EXCEPTIONS_MOST


@dataclass(slots=True)
class ChildOrders:
    """The orders to one aggregator process."""

    _until_ms: dict[str, float] = field(default_factory=dict)  # by child that is or was blocked

    def due(
        self,
        now: float,
        named: Iterable[str],
        blocked: Mapping[str, str],
        to_list: set[str],
        to_refresh: set[str],
    ) -> list[ChildOrder]:
        """Return the orders for the next answer: about children in the report and those blocked before.

        `blocked` has the names that get no lease, with reasons; the children in `to_list` have to list the
        overrides that they act on, those in `to_refresh` are sent all times left. `now` is ms of the
        service's monotonic clock.
        """
        names = dict.fromkeys(named)
        for name in names:
            if name in blocked:
                self._until_ms[name] = now + REPEATED_MS
        self._update(now, blocked)
        names |= dict.fromkeys(self._until_ms)
        return [
            ChildOrder(
                name,
                list_overrides=name in to_list,
                refresh_times=name in to_refresh,
                blocked=blocked.get(name, "")[:TEXT_MOST],
            )
            for name in list(names)[:MAX_ORDERS]
        ]

    def _update(self, now: float, blocked: Mapping[str, str]) -> None:
        for name, until_ms in list(self._until_ms.items()):
            if name in blocked:
                self._until_ms[name] = now + REPEATED_MS
            elif now > until_ms:
                del self._until_ms[name]
