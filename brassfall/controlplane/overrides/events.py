"""The events and actions of the override store, and the errors in its answers. Pure code."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from brassfall.controlplane.overrides.document import Document, Override
from brassfall.controlplane.overrides.history import WriteEntry
from brassfall.errors import BrassfallError, ConflictError, NotFoundError, UnavailableError


class TooManyOverridesError(ConflictError):
    """A new override while the override store is full (status 409)."""

    action = "End overrides that are no longer needed, or put what they have in common into the settings."

    def __init__(self, override_id: str, most: int) -> None:
        super().__init__(f"override {override_id!r} is not taken", f"{most} are the most")


class NoSuchOverrideError(NotFoundError):
    """An override id of which no override is in force (status 404)."""

    action = "List the overrides, and name one of them; it may have ended by itself."

    def __init__(self, override_id: str, what: str) -> None:
        super().__init__(f"override {override_id!r} is not {what}", "it is not in force")


class OverrideNotWrittenError(UnavailableError):
    """A change of an override that could not be made durable and has no effect (status 503)."""

    action = "Look at /status and at the disk of the list service, then send the call again."

    def __init__(self, override_id: str, why: str) -> None:
        super().__init__(f"override {override_id!r} is not changed", why)


# --- events ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Put:
    """An operator starts, extends or changes an override."""

    call: int  # Number that the caller chooses and that the `Answer` repeats
    id: str
    document: Document


@dataclass(frozen=True, slots=True)
class End:
    """An operator ends an override now."""

    call: int
    id: str
    by: str = ""
    why: str = ""


@dataclass(frozen=True, slots=True)
class RowWritten:
    """A `WriteRow` or `DeleteRow` is durable or, if `why` is not empty, has failed for that reason."""

    ticket: int
    why: str = ""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; nothing else has happened."""


Event = Put | End | RowWritten | Tick

# --- actions ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the row of an override; the host has to answer with `RowWritten`."""

    ticket: int
    override: Override

    @property
    def value(self) -> dict[str, Any]:
        """The value of the row, whose key is the id of the override."""
        fields: dict[str, Any] = msgspec.to_builtins(self.override)
        return fields


@dataclass(frozen=True, slots=True)
class DeleteRow:
    """Delete the row of an override; the host has to answer with `RowWritten`."""

    ticket: int
    id: str


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish the overrides in force, unless exactly these are published already."""

    overrides: tuple[Override, ...]


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer a call with the override or an error; for an ended override, with its last revision."""

    call: int
    override: Override | None = None
    error: BrassfallError | None = None


Action = WriteRow | DeleteRow | WriteEntry | Publish | Answer
