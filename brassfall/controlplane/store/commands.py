"""The commands that the versioned store carries out. Pure code."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """The fields of all commands: a row, conditions on it, and an id by which a repeat is recognized."""

    table: str
    key: str
    if_match: int | None = None  # the version that the row must have; 0: there must be no row
    fence: int | None = None
    request_id: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Put(Command):
    """Write a row; with `quiet`, only if it differs from the present one."""

    value: Any
    lease_ms: int = 0
    owner: str = ""
    quiet: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Patch(Command):
    """Replace members of a row's value, which is an object; its lease and owner stay."""

    changes: dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class Delete(Command):
    """Remove a row."""
