"""What the override store is told, and what it wants done. Pure code."""

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
    """The row could not be made durable; nothing has changed (503)."""

    action = "Look at /status and at the disk of the list service, then send the call again."

    def __init__(self, override_id: str, why: str) -> None:
        super().__init__(f"override {override_id!r} is not changed", why)


# --- events ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Put:
    """An operator starts, extends or changes an override; the document is parsed."""

    call: int  # the caller's number, for the answer
    id: str
    document: Document


@dataclass(frozen=True, slots=True)
class End:
    """An operator ends one now."""

    call: int
    id: str
    by: str = ""
    why: str = ""


@dataclass(frozen=True, slots=True)
class Written:
    """A `WriteRow` or a `DeleteRow` is durable, or failed (`why`)."""

    ticket: int
    why: str = ""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time went on."""


Event = Put | End | Written | Tick

# --- actions ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write a row; then `Written`."""

    ticket: int
    override: Override

    @property
    def value(self) -> dict[str, Any]:
        """The row's value; its key is the id."""
        found: dict[str, Any] = msgspec.to_builtins(self.override)
        return found


@dataclass(frozen=True, slots=True)
class DeleteRow:
    """Delete a row; then `Written`."""

    ticket: int
    id: str


@dataclass(frozen=True, slots=True)
class Publish:
    """What is in force from now on, by id. Publishing what is published already is to change nothing."""

    overrides: tuple[Override, ...]


@dataclass(frozen=True, slots=True)
class Answer:
    """To a call: the override as it is (or was, where it was ended), or the error."""

    call: int
    override: Override | None = None
    error: BrassfallError | None = None


Action = WriteRow | DeleteRow | WriteEntry | Publish | Answer
