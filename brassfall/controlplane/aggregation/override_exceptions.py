"""Children whose overrides differ from those expected at their place; an aggregator reports only these.

A report names places, and its answer has the digests of the overrides that the service expects there. Places
with a child that differs are named first. `IN_TURN` others are named in rotation, so that the aggregator
receives changed digests.
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

NO_OVERRIDES = "0-00000000"  # the digest of an empty set of overrides
IN_TURN = 4  # number of places in each report that are named in rotation
MAX_PLACES_KNOWN = 4096  # the maximum number of places whose digests are requested


@dataclass(slots=True)
class OverrideExceptions:
    """Expected digests by place, children whose overrides differ, and orders about single children."""

    late_ms: float  # how long overrides of a child may differ until it is reported, in ms
    # The expected digest by place, None until it is received; the next place in the rotation is first.
    _expected: dict[Place, str | None] = field(default_factory=dict)
    # Places where a child differs or the digest is unknown; the next reports request their digests.
    _digests_needed: dict[Place, None] = field(default_factory=dict)
    _differing: dict[ChildKey, Child] = field(default_factory=dict)
    # Children that a report has named; once they no longer differ, one last report names them again.
    _reported: dict[ChildKey, None] = field(default_factory=dict)
    _orders: dict[str, ChildOrder] = field(default_factory=dict)

    def report_received(self, now: float, child: Child) -> None:
        """Compare the digest in a child's newest report with the one expected at its place.

        `now` is in ms of the aggregator's clock.
        """
        place = Place(child.report.group, child.report.region)
        if not self._requests_digest(place):
            return
        expected, actual = self._expected[place], _digest(child)
        if expected is None or actual != expected:
            self._digests_needed[place] = None
        if expected is None:
            return
        if actual == expected or (actual is None and expected == NO_OVERRIDES):
            child.differs_since_ms = None
            self._differing.pop(child.key, None)
            return
        if child.differs_since_ms is None:
            child.differs_since_ms = now
        self._differing[child.key] = child

    def _requests_digest(self, place: Place) -> bool:
        """Return whether the digest of a place is requested; add a new place unless there are too many."""
        if place not in self._expected:
            if len(self._expected) >= MAX_PLACES_KNOWN:
                return False
            self._expected[place] = None
        return True

    def remove(self, key: ChildKey) -> None:
        """Remove a child, which is then in no further report."""
        self._differing.pop(key, None)
        self._reported.pop(key, None)

    def receive_digests(self, rows: Iterable[PlaceDigest]) -> None:
        """Store the expected digests from an answer of the service."""
        for row in rows:
            if row.place in self._expected:
                self._expected[row.place] = row.digest
                self._digests_needed.pop(row.place, None)

    def places(self) -> list[Place]:
        """Return the places whose digests the next report requests, and advance the rotation."""
        requested = dict.fromkeys(list(self._digests_needed)[: PLACES_MOST - IN_TURN])
        for place in list(self._expected)[:IN_TURN]:
            self._expected[place] = self._expected.pop(place)  # the place moves to the end of the rotation
            requested[place] = None
        return list(requested)

    def rows(self, now: float, children: dict[ChildKey, Child]) -> list[ChildException]:
        """Return the rows for a report: children that have differed for `late_ms`, and last rows.

        A last row is one of a child that an earlier report named and that no longer differs.
        """
        late = [
            child
            for child in self._differing.values()
            if child.differs_since_ms is not None and now - child.differs_since_ms >= self.late_ms
        ][:EXCEPTIONS_MOST]
        keys = {child.key for child in late}
        last_rows = self._last_rows(children, keys, EXCEPTIONS_MOST - len(late))
        self._reported |= dict.fromkeys(keys)
        return [_row(child) for child in (*late, *last_rows)]

    def _last_rows(self, children: dict[ChildKey, Child], late: set[ChildKey], most: int) -> list[Child]:
        """Return at most `most` children that a report has named and that no longer differ.

        They are in no later report, unless they differ again.
        """
        resolved = [key for key in self._reported if key not in late and key not in self._differing]
        last_rows = [children[key] for key in resolved if key in children][:most]
        taken_keys = {child.key for child in last_rows}
        for key in resolved:
            if key not in children or key in taken_keys:
                del self._reported[key]
        return last_rows

    def receive_orders(self, orders: Sequence[ChildOrder]) -> None:
        """Store orders of the service; an order replaces the earlier one about the same child."""
        for order in orders:
            if order.blocked or order.list_overrides or order.refresh_times:
                self._orders[order.name] = order
            else:
                self._orders.pop(order.name, None)

    def order(self, name: str) -> ChildOrder | None:
        """Return the order about a child; None if there is no order about it."""
        return self._orders.get(name)

    def carry_out(self, name: str, *, listed: bool) -> None:
        """Update the order about a child after the child was answered in accordance with it.

        `listed` is True if the child's report listed its overrides. A blocked child stays blocked.
        """
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
