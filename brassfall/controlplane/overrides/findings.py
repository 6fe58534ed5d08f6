"""The findings of the reconciler: what is wrong with a sidecar's overrides, and the operator's action."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Kind(StrEnum):
    """What is wrong with a node; the values are those on the wire and in stored rows."""

    EXPIRY = "missed-expiry"
    END = "missed-end"
    START = "missed-start"
    EXTENSION = "missed-extension"
    OLD = "old-state"
    STRANGE = "unknown-override"
    WITHOUT = "without-overrides"
    UNREADABLE = "unreadable"


ACTIONS = {
    Kind.EXPIRY: "Restart this sidecar: its clock or its process does not go on. It has no lease.",
    Kind.END: "Restart this sidecar if it goes on: it acts on an override that was ended by hand.",
    Kind.START: "Look at the sidecar's log for its objection to the edition, or restart it.",
    Kind.EXTENSION: "Restart this sidecar if it goes on; it acts on an older revision until that one's end.",
    Kind.OLD: "Restart this sidecar without its old files: it came back with overrides that have ended.",
    Kind.STRANGE: "See if a second list service, or one with an old disk, answers it; stop the wrong one.",
    Kind.WITHOUT: "Upgrade this sidecar or take it out of traffic: its version does not support overrides.",
    Kind.UNREADABLE: "Look at the sidecar's version and log: its list of overrides can't be read.",
}
ACTS_PAST_END = frozenset({Kind.EXPIRY, Kind.END, Kind.OLD, Kind.STRANGE})  # the other kinds lack something


class Finding(msgspec.Struct, frozen=True, omit_defaults=True):
    """One kind of fault of one node; times are Unix ms by the service's clock."""

    node: str
    kind: Kind
    since: int
    ids: tuple[str, ...] = ()
    ended: int | None = None
    alerted: bool = False  # the operator has been

    @property
    def action(self) -> str:
        """The operator's action."""
        return ACTIONS[self.kind]
