"""Orders of the service to an aggregator about single children, sent in the answers to its reports.

An order is valid at the aggregator until it receives another order about the same child. Since answers can
get lost, each answer names all children that are blocked, and for `REPEATED_MS` those that no longer are. The
size of an answer depends on the number of children with findings, not on the number of all children.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from brassfall.controlplane.aggregation.messages import EXCEPTIONS_MOST, TEXT_MOST, ChildOrder

REPEATED_MS = 10_000.0  # how long answers go on naming a child that is no longer blocked
MAX_ORDERS = 4 * EXCEPTIONS_MOST  # the maximum number of orders in one answer


@dataclass(slots=True)
class ChildOrders:
    """Orders to one aggregator process."""

    # Until when each child that is or was blocked is named in answers, in ms of the service clock.
    _named_until_ms: dict[str, float] = field(default_factory=dict)

    def due(
        self,
        now: float,
        named: Iterable[str],
        blocked: Mapping[str, str],
        to_list: set[str],
        to_refresh: set[str],
    ) -> list[ChildOrder]:
        """Return the orders for the next answer: about children in `named`, and about those blocked before.

        `named` has the children that the aggregator's report names. `blocked` maps the names of children
        that get no lease to the reasons. The children in `to_list` are ordered to list the overrides that
        they act on, and those in `to_refresh` are sent the remaining times of all overrides anew. `now` is
        in ms of the service's monotonic clock.
        """
        names = dict.fromkeys(named)
        for name in names:
            if name in blocked:
                self._named_until_ms[name] = now + REPEATED_MS
        self._update_named_until(now, blocked)
        names |= dict.fromkeys(self._named_until_ms)
        return [
            ChildOrder(
                name,
                list_overrides=name in to_list,
                refresh_times=name in to_refresh,
                blocked=blocked.get(name, "")[:TEXT_MOST],
            )
            for name in list(names)[:MAX_ORDERS]
        ]

    def _update_named_until(self, now: float, blocked: Mapping[str, str]) -> None:
        for name, until_ms in list(self._named_until_ms.items()):
            if name in blocked:
                self._named_until_ms[name] = now + REPEATED_MS
            elif now > until_ms:
                del self._named_until_ms[name]
