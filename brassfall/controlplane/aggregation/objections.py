"""Objections of an aggregator's children to the pending revision."""

from __future__ import annotations

from itertools import islice

from brassfall.controlplane.aggregation.messages import OBJECTIONS_MOST, TEXT_MOST
from brassfall.controlplane.revisions.reports import Objection


class ChildObjections:
    """Objections to the revision that was objected to last; a new epoch does not remove them."""

    def __init__(self) -> None:
        self._revision = 0
        self._reasons: dict[str, str] = {}  # reasons of the objections, by child
        self._unreported = False

    def add(self, name: str, objection: Objection) -> None:
        """Add the objection of a child; the first objection to a revision makes a report urgent."""
        if self._revision != objection.revision:
            self._revision, self._reasons = objection.revision, {}
        self._unreported |= not self._reasons
        self._reasons[name] = objection.reason[:TEXT_MOST]

    def withdraw(self, name: str) -> None:
        """Remove the objection of a child that shuts down."""
        self._reasons.pop(name, None)

    def take_unreported(self) -> bool:
        """Return whether a first objection has to be reported urgently; later calls return False for it."""
        unreported, self._unreported = self._unreported, False
        return unreported

    def reasons(self, pending: int) -> dict[str, str]:
        """Return the reasons of the first objections to the revision `pending`, by child.

        At most `OBJECTIONS_MOST` are returned, for a report to the service; none if `pending` is 0.
        """
        if not pending or self._revision != pending:
            return {}
        return dict(islice(self._reasons.items(), OBJECTIONS_MOST))
