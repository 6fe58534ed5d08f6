"""The rows, records, snapshots and changes of the versioned store. Pure code.

They are arrays on the disk: the order of the fields is the stored form, their names are not stored.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec


class Status(StrEnum):
    """The outcome of a command."""

    DONE = "done"
    MISSING = "missing"  # no row has that key
    CONFLICT = "conflict"  # the row belongs to a newer owner
    STALE = "stale"  # the row has another version than `if_match`


class RecordKind(StrEnum):
    """The decision of a record; the values are those on the disk."""

    PUT = "put"
    DELETE = "delete"
    ANSWER = "answer"  # nothing changed, but a request id was answered
    INCARNATION = "life"  # the service has started


class Result(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a command; `index` is that of its change, or of the row as it stands."""

    status: Status
    index: int
    reason: str = ""

    @property
    def done(self) -> bool:
        """True if the command was carried out."""
        return self.status is Status.DONE


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One row of a table; values are never changed in place."""

    key: str
    version: int
    value: Any
    lease_ms: int = 0  # time to live without renewal; 0: unlimited
    fence: int = 0  # fencing token of the owner; commands with a lower one are refused
    owner: str = ""  # distinguishes two owners with the same fencing token


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One decision, as it is logged."""

    kind: RecordKind
    index: int
    time_ms: int  # of the store, which never goes back
    table: str = ""
    row: Row | None = None  # of a deletion: the deleted row
    request_id: str = ""
    result: Result | None = None


class RememberedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The first answer to a request id."""

    request_id: str
    time_ms: int
    result: Result


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The complete state at one index."""

    index: int
    time_ms: int
    rows: dict[str, list[Row]]
    answers: list[RememberedAnswer]


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one key: its new row, or with `deleted` its deleted row."""

    index: int
    row: Row
    deleted: bool
