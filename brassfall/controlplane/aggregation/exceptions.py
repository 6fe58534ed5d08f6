"""Children that act on other overrides than are due where they stand: only these are named upward. Pure code.

The service tells the digest that is due at a place where it is asked for; it is asked for places in doubt
first, and for some others in turn, so that a digest that has changed is learned.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from brassfall.controlplane.aggregation.children import Child, ChildKey
from brassfall.controlplane.aggregation.messages import (
    EXCEPTIONS_MOST,
    PLACES_MOST,
    ChildException,
    ChildOrder,
    Place,
    PlaceDigest,
)

NO_OVERRIDES = "0-00000000"  # the digest of none
REFRESHED = 4  # places that are asked for in turn, with each report
PLACES_KNOWN_MOST = 4096


@dataclass(slots=True)
class OverrideExceptions:
    """Digests due by place, children that differ, and orders from above about single children."""

    late_ms: float
    _due: dict[Place, str | None] = field(default_factory=dict)  # None: not known yet; in turn
    _doubtful: dict[Place, None] = field(default_factory=dict)
    _differing: dict[ChildKey, Child] = field(default_factory=dict)
    _named: dict[ChildKey, None] = field(default_factory=dict)  # were in a report, and get one last row
    _orders: dict[str, ChildOrder] = field(default_factory=dict)

    def heard(self, now: float, child: Child) -> None:
        """Compare a child's newest report with what is due at its place."""
        report = child.report
        place = Place(report.group, report.region)
        if place not in self._due:
            if len(self._due) >= PLACES_KNOWN_MOST:
                return
            self._due[place] = None
        due = self._due[place]
        acted = _digest(child)
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

    def gone(self, key: ChildKey) -> None:
        """A child is one no longer."""
        self._differing.pop(key, None)
        self._named.pop(key, None)

    def digests(self, rows: Iterable[PlaceDigest]) -> None:
        """What is due, as told from above."""
        for row in rows:
            if row.place in self._due:
                self._due[row.place] = row.digest
                self._doubtful.pop(row.place, None)

    def places(self) -> list[Place]:
        """Places whose digests the next report asks for."""
        asked = dict.fromkeys(list(self._doubtful)[: PLACES_MOST - REFRESHED])
        for place in list(self._due)[:REFRESHED]:
            self._due[place] = self._due.pop(place)  # to the end of the turn
            asked[place] = None
        return list(asked)

    def rows(self, now: float, children: dict[ChildKey, Child]) -> list[ChildException]:
        """Children that the next report names: those that differ for too long; once more, those that did."""
        late = [
            child
            for child in self._differing.values()
            if child.differs_since_ms is not None and now - child.differs_since_ms >= self.late_ms
        ][:EXCEPTIONS_MOST]
        keys = {child.key for child in late}
        over = [key for key in self._named if key not in keys and key not in self._differing]
        last = [children[key] for key in over if key in children][: EXCEPTIONS_MOST - len(late)]
        for key in over:
            if key not in children or any(child.key == key for child in last):
                del self._named[key]
        self._named |= dict.fromkeys(keys)
        return [_row(child) for child in (*late, *last)]

    def ordered(self, orders: Sequence[ChildOrder]) -> None:
        """Orders from above; one takes the place of the one before about the same child."""
        for order in orders:
            if order.barred or order.list_overrides or order.retell:
                self._orders[order.name] = order
            else:
                self._orders.pop(order.name, None)

    def order(self, name: str) -> ChildOrder | None:
        """What is ordered about a child."""
        return self._orders.get(name)

    def carried_out(self, name: str, listed: bool) -> None:
        """A child was told an order; `listed`: it has reported what it acts on."""
        order = self._orders.get(name)
        if order is None:
            return
        left = ChildOrder(name, order.list_overrides and not listed, False, order.barred)
        self.ordered([left])


def _digest(child: Child) -> str | None:
    return child.report.digest if child.report.overrides is not None else None


def _row(child: Child) -> ChildException:
    report = child.report
    place = Place(report.group, report.region)
    return ChildException(child.key.name, child.key.life, place, _digest(child), report.acted_overrides)
