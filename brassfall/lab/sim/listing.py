"""The list service under simulated time: its state machines, with a list of records in place of its disk."""

from __future__ import annotations

from typing import Any

import msgspec

from brassfall import settings
from brassfall.controlplane.registry import entries
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.membership import RegistrationCall
from brassfall.controlplane.store.commands import Command, Delete
from brassfall.controlplane.store.incarnations import index_at
from brassfall.controlplane.store.leases import ExpiryGuard, Leases
from brassfall.controlplane.store.records import Change, Record, Result, Status
from brassfall.controlplane.store.state import State
from brassfall.errors import RequestError

STATUS = {Status.DONE: 200, Status.MISSING: 404, Status.CONFLICT: 409, Status.STALE: 412}


class ListService:
    """One list service; `changes` collects what its watches are to be sent. Times are in ms."""

    def __init__(self, clock_s: float = 1000.0, keep_ms: float | None = None) -> None:
        self.disk: list[Record] = []
        self.announced: list[int] = []  # every index, in the order in which it was announced
        self.changes: list[Change] = []
        self.up = self.stalled = False
        self.gathered_at = 0.0
        self._clock_s = clock_s  # wall time at time 0
        self._wants = settings.LeaseSettings()
        self._keep_ms = settings.GuardSettings().keep_ms if keep_ms is None else keep_ms

    def start(self, now: float, *, disk_lost: bool = False) -> None:
        """Begin an incarnation, with the disk of the one before or without it."""
        if disk_lost:
            self.disk = []
        self.state = State()
        self.state.apply(self.disk)
        self._write([self.state.begin_incarnation(index_at(self._clock_s + now / 1000.0), 0)])
        self.leases = Leases(ExpiryGuard(keep_ms=self._keep_ms))
        for row in self.state.rows(INSTANCES):
            grace = float(self._wants.restart_grace_ms)
            self.leases.grant(
                now, row.key, row.lease_ms, guarded=entries.is_guarded(INSTANCES, row), grace_ms=grace
            )
        # Servers of an earlier incarnation are to register again before any list without them is sent.
        self.gathered_at = now + self._wants.gather_ms if disk_lost else now
        self.up = True

    def is_ready(self, now: float) -> bool:
        """Whether it answers requests for the list."""
        return self.up and now >= self.gathered_at

    def stop(self) -> None:
        """End this incarnation; what was not sent to watches is lost."""
        self.up = False
        self.changes.clear()

    def _write(self, records: list[Record]) -> None:
        self.disk += records
        self.changes += [change for _, change in self.state.apply(records)]
        self.announced.append(self.state.index)

    def run(self, command: Command) -> Result:
        """Carry out one command."""
        transaction = self.state.begin(0)
        result = transaction.run(command)
        if transaction.records:
            self._write(transaction.records)
        return result

    def expire(self, now: float) -> list[str]:
        """Remove the servers whose leases have expired; their names."""
        expired = self.leases.check(now).expired
        for key in expired:
            self.run(Delete(table=INSTANCES, key=key))
        return expired

    def call(self, now: float, call: RegistrationCall) -> int:
        """Carry out one call of a member; the HTTP status of the answer."""
        key, body = call.path.split("/")[3], msgspec.json.encode(call.body)
        if call.method == "POST":
            return self._renew(now, key, call.body["since_ms"])
        try:
            command = self._command(call.method, key, body)
        except RequestError:
            return 400
        result = self.run(command)
        row = self.state.get(INSTANCES, key)
        if row is None:
            self.leases.drop(key)
        elif result.done:
            self.leases.grant(now, key, row.lease_ms, guarded=entries.is_guarded(INSTANCES, row))
        return STATUS[result.status]

    def _command(self, method: str, key: str, body: bytes) -> Command:
        if method == "PUT":
            return entries.register_command(
                key, *entries.parse_registration(key, body, self._wants), None, ""
            )
        if method == "PATCH":
            return entries.update_command(key, body, None, "")
        return entries.remove_command(key, entries.parse_incarnation(body), None, "")

    def _renew(self, now: float, key: str, since: int) -> int:
        row = self.state.get(INSTANCES, key)
        if row is None:
            return 404
        if row.fence != since:
            return 409 if row.fence > since else 404
        self.leases.renew(now, key)
        return 200

    def listed(self) -> list[dict[str, Any]]:
        """The complete list."""
        return entries.list_entries(self.state.rows(INSTANCES))

    def since(self, index: int) -> list[dict[str, Any]] | None:
        """The changes after an announced index; None where only the complete list will do."""
        changes = self.state.changes_since(INSTANCES, index)
        return None if changes is None else entries.change_entries(changes)

    def take_changes(self) -> list[dict[str, Any]]:
        """The changes since this was called last, as a watch sends them."""
        announced = entries.change_entries(self.changes)
        self.changes.clear()
        return announced
