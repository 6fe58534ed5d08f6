"""The children whose overrides differ from those due at their place: only these are reported. Pure code.

The service answers with the expected digests of the places in a report: places where a child differs first,
and some others in turn, so that changed digests are received.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from brassfall.controlplane.aggregation.child_leases import ChildKey
from brassfall.controlplane.aggregation.children import Child
from brassfall.controlplane.aggregation.messages import (
    EXCEPTIONS_MOST,
    PLACES_MOST,
    ChildException,
    ChildOrder,
    Place,
    PlaceDigest,
)

NO_OVERRIDES = "0-00000000"  # the digest of no overrides
IN_TURN = 4  # places in each report beside the doubtful ones
MAX_PLACES_KNOWN = 4096


@dataclass(slots=True)
class OverrideExceptions:
    """The expected digests by place, the children that differ, and the orders about single children."""

    late_ms: float
    _due: dict[Place, str | None] = field(default_factory=dict)  # None: not known yet; the next in turn first
    _doubtful: dict[Place, None] = field(default_factory=dict)
    _differing: dict[ChildKey, Child] = field(default_factory=dict)
    _reported: dict[ChildKey, None] = field(default_factory=dict)  # those in a report, which get one last row
    _orders: dict[str, ChildOrder] = field(default_factory=dict)

    def report_received(self, now: float, child: Child) -> None:
        """Compare a child's newest report with the digest expected at its place; `now` is in ms."""
        place = Place(child.report.group, child.report.region)
        if not self._watches(place):
            return
        due, acted = self._due[place], _digest(child)
        if due is None or acted != due:
            self._doubtful[place] = None
        if due is None:
            return
        if acted == due or (acted is None and due == NO_OVERRIDES):
            child.differs_since_ms = None
            self._differing.pop(child.key, None)
            return
        if child.differs_since_ms is None:
            child.differs_since_ms = now
        self._differing[child.key] = child

    def _watches(self, place: Place) -> bool:
        """Return whether the digest of a place is requested; a new place is added if there is room."""
        if place not in self._due:
            if len(self._due) >= MAX_PLACES_KNOWN:
                return False
            self._due[place] = None
        return True

    def remove(self, key: ChildKey) -> None:
        """Remove a child."""
        self._differing.pop(key, None)
        self._reported.pop(key, None)

    def receive_digests(self, rows: Iterable[PlaceDigest]) -> None:
        """Store the digests that the service expects."""
        for row in rows:
            if row.place in self._due:
                self._due[row.place] = row.digest
                self._doubtful.pop(row.place, None)

    def places(self) -> list[Place]:
        """Return the places whose digests the next report requests."""
        asked = dict.fromkeys(list(self._doubtful)[: PLACES_MOST - IN_TURN])
        for place in list(self._due)[:IN_TURN]:
            self._due[place] = self._due.pop(place)  # to the end of the turn
            asked[place] = None
        return list(asked)

    def rows(self, now: float, children: dict[ChildKey, Child]) -> list[ChildException]:
        """Return the rows of children that differ for too long, and a last row of those that did."""
        late = [
            child
            for child in self._differing.values()
            if child.differs_since_ms is not None and now - child.differs_since_ms >= self.late_ms
        ][:EXCEPTIONS_MOST]
        keys = {child.key for child in late}
        last = self._last_rows(children, keys, EXCEPTIONS_MOST - len(late))
        self._reported |= dict.fromkeys(keys)
        return [_row(child) for child in (*late, *last)]

    def _last_rows(self, children: dict[ChildKey, Child], late: set[ChildKey], most: int) -> list[Child]:
        """Return the children that were in a report and no longer differ, and forget them."""
        over = [key for key in self._reported if key not in late and key not in self._differing]
        last = [children[key] for key in over if key in children][:most]
        taken = {child.key for child in last}
        for key in over:
            if key not in children or key in taken:
                del self._reported[key]
        return last

    def receive_orders(self, orders: Sequence[ChildOrder]) -> None:
        """Store the service's orders; one replaces an earlier one about the same child."""
        for order in orders:
            if order.blocked or order.list_overrides or order.refresh_times:
                self._orders[order.name] = order
            else:
                self._orders.pop(order.name, None)

    def order(self, name: str) -> ChildOrder | None:
        """Return the order about a child; None if there is none."""
        return self._orders.get(name)

    def carry_out(self, name: str, *, listed: bool) -> None:
        """Note that a child was answered as ordered; `listed` if it has reported its overrides."""
        order = self._orders.get(name)
        if order is None:
            return
        remaining = ChildOrder(
            name, list_overrides=order.list_overrides and not listed, blocked=order.blocked
        )
        self.receive_orders([remaining])


def _digest(child: Child) -> str | None:
    return child.report.digest if child.report.overrides is not None else None


def _row(child: Child) -> ChildException:
    report = child.report
    place = Place(report.group, report.region)
    return ChildException(child.key.name, child.key.process_id, place, _digest(child), report.acted_overrides)
