"""The rows, records, snapshots and changes of the versioned store. Pure code.

They are stored as arrays: the order of the fields is the stored form, and the names are not stored.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec


class Status(StrEnum):
    """The outcome of a command."""

    DONE = "done"
    MISSING = "missing"  # There is no row with this key
    CONFLICT = "conflict"  # The row belongs to another owner, or a patch needs an object as its value
    STALE = "stale"  # The version of the row is not `if_match`


class RecordKind(StrEnum):
    """The kinds of decisions that a record states; the values are those on the disk."""

    PUT = "put"
    DELETE = "delete"
    ANSWER = "answer"  # A request id was answered, and nothing changed
    INCARNATION = "life"  # The service has started


class Result(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a command; `index` is that of its change, or else the version of the present row."""

    status: Status
    index: int
    reason: str = ""

    @property
    def done(self) -> bool:
        """Whether the command was carried out."""
        return self.status is Status.DONE


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One row of a table; its value is never changed in place."""

    key: str
    version: int  # Index of the change that wrote the row
    value: Any
    lease_ms: int = 0  # Time to live without renewal, in ms; 0: unlimited
    fence: int = 0  # Fencing token of the owner; commands with a lower token are refused
    owner: str = ""  # Distinguishes two owners that have the same fencing token


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One decision in the form in which it is logged."""

    kind: RecordKind
    index: int
    time_ms: int  # Time of the store in ms, which never goes back
    table: str = ""
    row: Row | None = None  # The new row, or for a deletion the deleted row
    request_id: str = ""
    result: Result | None = None


class RememberedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The first answer to a request id, which is also the answer to its repeats."""

    request_id: str
    time_ms: int
    result: Result


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The complete state of the store at one index."""

    index: int
    time_ms: int
    rows: dict[str, list[Row]]
    answers: list[RememberedAnswer]


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one key: its new row, or if `deleted` is True the row that was deleted."""

    index: int
    row: Row
    deleted: bool
