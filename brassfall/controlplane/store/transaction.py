"""Transactions, which decide commands before they are durable; only they see the changes. Pure code."""

from __future__ import annotations

from typing import Protocol

import msgspec

from brassfall.controlplane.store.commands import Command, Delete, Patch, Put
from brassfall.controlplane.store.records import Record, RecordKind, Result, Row, Status


class BaseState(Protocol):
    """The state to which the commands of a transaction are applied."""

    index: int

    def get(self, table: str, key: str) -> Row | None:
        """Return the row with this key; None if there is none."""

    def remembered_answer(self, request_id: str) -> Result | None:
        """Return the first answer to a request id; None if there is none."""


class Transaction:
    """A sequence of commands, each of which is decided with the changes of the commands before it.

    The base state does not change. `records` has the decisions in the form for the log.
    """

    def __init__(self, base: BaseState, time_ms: int) -> None:
        self.records: list[Record] = []
        self._base = base
        self._time_ms = time_ms
        self._index = base.index
        self._rows: dict[tuple[str, str], Row | None] = {}
        self._answers: dict[str, Result] = {}

    def get(self, table: str, key: str) -> Row | None:
        """Return the row with this key after the commands of this transaction; None if there is none."""
        place = (table, key)
        return self._rows[place] if place in self._rows else self._base.get(table, key)

    def run(self, command: Command) -> Result:
        """Decide one command and return its result; a repeated request id gets the first result again."""
        if command.request_id:
            first = self._answers.get(command.request_id) or self._base.remembered_answer(command.request_id)
            if first is not None:
                return first
        row = self.get(command.table, command.key)
        refusal = refusal_of(command, row)
        if refusal is not None:
            return self._answer(command, refusal)
        match command:
            case Put():
                return self._put(command, row)
            case Patch():
                assert row is not None  # `refusal_of` refuses a `Patch` or `Delete` of a missing row
                value = {**row.value, **command.changes}
                return self._write(command, msgspec.structs.replace(row, value=value, version=0))
            case Delete():
                assert row is not None
                return self._delete(command, row)
        message = f"{command!r} is no command"
        raise TypeError(message)

    def _put(self, command: Put, row: Row | None) -> Result:
        fence = command.fence if command.fence is not None else row.fence if row is not None else 0
        new = Row(command.key, 0, command.value, command.lease_ms, fence, command.owner)
        if command.quiet and row is not None and msgspec.structs.replace(row, version=0) == new:
            return self._answer(command, Result(Status.DONE, row.version))
        return self._write(command, new)

    def _write(self, command: Command, row: Row) -> Result:
        self._index += 1
        row = msgspec.structs.replace(row, version=self._index)
        self._rows[command.table, command.key] = row
        return self._record(RecordKind.PUT, command, Result(Status.DONE, self._index), row)

    def _delete(self, command: Command, row: Row) -> Result:
        self._index += 1
        self._rows[command.table, command.key] = None
        return self._record(RecordKind.DELETE, command, Result(Status.DONE, self._index), row)

    def _answer(self, command: Command, result: Result) -> Result:
        return self._record(RecordKind.ANSWER, command, result) if command.request_id else result

    def _record(self, kind: RecordKind, command: Command, result: Result, row: Row | None = None) -> Result:
        remembered = result if command.request_id else None
        if remembered is not None:
            self._answers[command.request_id] = remembered
        self.records.append(
            Record(kind, self._index, self._time_ms, command.table, row, command.request_id, remembered)
        )
        return result


def refusal_of(command: Command, row: Row | None) -> Result | None:
    """Return the result of a command that can't be carried out on `row`; None if it can be."""
    if row is None and not isinstance(command, Put):
        return Result(Status.MISSING, 0, f"{command.key} is not there")
    version = row.version if row is not None else 0
    if row is not None and command.fence is not None:
        if command.fence > row.fence and not isinstance(command, Put):
            return older_owner(row)
        reason = _owner_refusal(command, row)
        if reason:
            return Result(Status.CONFLICT, version, reason)
    if command.if_match is not None and command.if_match != version:
        found = f"has version {version}" if version else "is not there"
        return Result(Status.STALE, version, f"{command.key} {found}, not version {command.if_match}")
    if isinstance(command, Patch) and row is not None and not isinstance(row.value, dict):
        return Result(Status.CONFLICT, version, f"{command.key} holds no object")
    return None


def older_owner(row: Row) -> Result:
    """Return the answer to an owner with a newer fencing token than that of the row.

    The row that this owner wrote was lost with a disk. MISSING makes the owner write its row again, and that
    write is not refused.
    """
    return Result(Status.MISSING, 0, f"{row.key} belongs to an older holder, {row.fence}")


def newer_owner(row: Row) -> str:
    """Return the reason for the refusal of an owner with an older fencing token than that of the row."""
    return f"{row.key} belongs to a newer holder, {row.fence}"


def _owner_refusal(command: Command, row: Row) -> str:
    """Return why the owner that sends a command must not change a row; empty if it may."""
    if command.fence is not None and command.fence < row.fence:
        return newer_owner(row)
    if isinstance(command, Put) and command.fence == row.fence and command.owner != row.owner:
        return f"{command.key} belongs to another holder with the same start, {row.owner}"
    return ""
