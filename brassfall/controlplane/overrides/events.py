"""The events and actions of the override store, and the errors of its answers. Pure code."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from brassfall.controlplane.overrides.document import Document, Override
from brassfall.controlplane.overrides.history import WriteEntry
from brassfall.errors import BrassfallError, ConflictError, NotFoundError, UnavailableError


class TooManyOverridesError(ConflictError):
    """The override store is full (409)."""

    action = "End overrides that are no longer needed, or put what they have in common into the settings."

    def __init__(self, override_id: str, most: int) -> None:
        super().__init__(f"override {override_id!r} is not taken", f"{most} are the most")


class NoSuchOverrideError(NotFoundError):
    """No override with that id is in force (404)."""

    action = "List the overrides, and name one of them; it may have ended by itself."

    def __init__(self, override_id: str, what: str) -> None:
        super().__init__(f"override {override_id!r} is not {what}", "it is not in force")


class OverrideNotWrittenError(UnavailableError):
    """A row could not be made durable; nothing has changed (503)."""

    action = "Look at /status and at the disk of the list service, then send the call again."

    def __init__(self, override_id: str, why: str) -> None:
        super().__init__(f"override {override_id!r} is not changed", why)


# --- events ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Put:
    """An operator starts, extends or changes an override."""

    call: int  # the caller's number, for the answer
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
    """A `WriteRow` or a `DeleteRow` is durable, or has failed if `why` is set."""

    ticket: int
    why: str = ""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; nothing else has happened."""


Event = Put | End | RowWritten | Tick

# --- actions ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write a row; `RowWritten` has to follow."""

    ticket: int
    override: Override

    @property
    def value(self) -> dict[str, Any]:
        """The row's value; its key is the id."""
        found: dict[str, Any] = msgspec.to_builtins(self.override)
        return found


@dataclass(frozen=True, slots=True)
class DeleteRow:
    """Delete a row; `RowWritten` has to follow."""

    ticket: int
    id: str


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish the overrides in force, unless the same ones are published already."""

    overrides: tuple[Override, ...]


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer a call with the override (the last revision, if it was ended) or an error."""

    call: int
    override: Override | None = None
    error: BrassfallError | None = None


Action = WriteRow | DeleteRow | WriteEntry | Publish | Answer
