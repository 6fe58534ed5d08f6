"""The findings of the reconciler: faults of the overrides of a sidecar, and what an operator should do."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class FindingKind(StrEnum):
    """The kinds of faults of a node; the values are those on the wire and in stored rows."""

    MISSED_EXPIRY = "missed-expiry"
    MISSED_END = "missed-end"
    MISSED_START = "missed-start"
    MISSED_EXTENSION = "missed-extension"
    OLD_STATE = "old-state"
    UNKNOWN_OVERRIDE = "unknown-override"
    WITHOUT_OVERRIDES = "without-overrides"
    UNREADABLE = "unreadable"


# What the operator should do about each kind of finding.
ACTIONS = {
    FindingKind.MISSED_EXPIRY: "Restart this sidecar: its clock or its process has stopped. It has no lease.",
    FindingKind.MISSED_END: (
        "Restart this sidecar if it continues: it acts on an override that an operator ended."
    ),
    FindingKind.MISSED_START: "Look at the sidecar's log for its objection to the edition, or restart it.",
    FindingKind.MISSED_EXTENSION: (
        "Restart this sidecar if it continues: it acts on an older revision until the end of that revision."
    ),
    FindingKind.OLD_STATE: (
        "Restart this sidecar without its old files: it started with overrides that have ended."
    ),
    FindingKind.UNKNOWN_OVERRIDE: (
        "See if a second list service, or one with an old disk, answers it; stop the wrong one."
    ),
    FindingKind.WITHOUT_OVERRIDES: (
        "Upgrade this sidecar or take it out of traffic: its version does not support overrides."
    ),
    FindingKind.UNREADABLE: "Look at the sidecar's version and log: its list of overrides can't be read.",
}
# Kinds of findings about a node that acts on an override which is not in force. A node with a finding of
# another kind does not act on an override which is in force.
ACTS_PAST_END = frozenset(
    {
        FindingKind.MISSED_EXPIRY,
        FindingKind.MISSED_END,
        FindingKind.OLD_STATE,
        FindingKind.UNKNOWN_OVERRIDE,
    }
)


class Finding(msgspec.Struct, frozen=True, omit_defaults=True):
    """One kind of fault of one node; times are Unix ms by the clock of the service."""

    node: str
    kind: FindingKind
    since: int
    ids: tuple[str, ...] = ()
    ended: int | None = None
    alerted: bool = False  # True once the operator has been alerted

    @property
    def action(self) -> str:
        """The text for the operator that says what to do."""
        return ACTIONS[self.kind]
