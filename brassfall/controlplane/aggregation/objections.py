"""Objections of children to the pending revision. Pure code."""

from __future__ import annotations

from itertools import islice

from brassfall.controlplane.aggregation.messages import OBJECTIONS_MOST, TEXT_MOST
from brassfall.controlplane.revisions.reports import Objection


class ChildObjections:
    """The objections to the revision objected to last; a new epoch does not remove them."""

    def __init__(self) -> None:
        self._revision = 0
        self._reasons: dict[str, str] = {}  # by child
        self._unreported = False

    def add(self, name: str, objection: Objection) -> None:
        """Add a child's objection; the first one to a revision makes a report urgent."""
        if self._revision != objection.revision:
            self._revision, self._reasons = objection.revision, {}
        self._unreported |= not self._reasons
        self._reasons[name] = objection.reason[:TEXT_MOST]

    def withdraw(self, name: str) -> None:
        """Remove the objection of a child that has left."""
        self._reasons.pop(name, None)

    def take_unreported(self) -> bool:
        """Return whether there is a first objection that has made no report urgent yet; then it has."""
        unreported, self._unreported = self._unreported, False
        return unreported

    def reasons(self, pending: int) -> dict[str, str]:
        """Return the first objections to a revision by child, for a report; none if `pending` is 0."""
        if not pending or self._revision != pending:
            return {}
        return dict(islice(self._reasons.items(), OBJECTIONS_MOST))
