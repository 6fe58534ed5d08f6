"""The commands that the versioned store carries out. Pure code."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """The fields of all commands: a row, conditions on it, and an id by which a repeat is recognized."""

    table: str
    key: str
    if_match: int | None = None  # Version that the row must have; 0: the row must not exist; None: any
    fence: int | None = None  # Fencing token of the owner that sends the command; None: not sent by an owner
    request_id: str = ""  # Id by which a repeated command is recognized; empty: repeats are not recognized


@dataclass(frozen=True, slots=True, kw_only=True)
class Put(Command):
    """Write a row; with `quiet`, only if it differs from the present row."""

    value: Any
    lease_ms: int = 0  # Time to live of the row without renewal, in ms; 0: unlimited
    owner: str = ""
    quiet: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Patch(Command):
    """Replace members of the value of a row, which has to be an object; the lease and the owner stay."""

    changes: dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class Delete(Command):
    """Delete a row."""
