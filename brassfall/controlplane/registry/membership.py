"""A server's registration in the list: the next call, and when it is due. Pure code.

The host of a `ServerRegistration` makes the call that `next_call` returns at the time `due_ms`, and passes
its result to `apply_result`. `chance`, a random number from 0 to 1, spreads the calls of a fleet that would
otherwise be made at once.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

FIRST_WAIT_MS, MAX_WAIT_MS = 100.0, 1000.0  # between attempts that get no answer; doubled each time
MAX_CALL_TIMEOUT_MS = 2000.0
REJOIN_SPREAD_MS = 50.0  # over which servers register again after the service has lost its list
RETRY_AFTER_SPREAD = 0.25  # of a wait that the service names
LEFT = "left"


class RegistrationState(Enum):
    """The state of a server's registration; the values are for logs."""

    UNREGISTERED = "not registered"
    REGISTERED = "registered"
    REPLACED = "a newer process holds the name"
    REFUSED = "refused"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class RegistrationCall:
    """One call to make, at the address of this number."""

    address_index: int
    method: str
    path: str
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class _PendingCall:
    """The status in a call, and when it was made."""

    status: str
    begun_ms: float


@dataclass(slots=True)
class ServerRegistration:
    """One server's registration. Times are monotonic ms."""

    entry: Mapping[str, Any]  # the server's, as the list has it
    ttl_ms: int
    addresses: int = 1
    state: RegistrationState = RegistrationState.UNREGISTERED
    reason: str = ""  # why the service refused it, or gave the name to another
    due_ms: float = 0.0  # when the next call is to be made
    _status: str = "active"  # as the server wants it
    _confirmed: str = ""  # the status that the service has
    _address: int = 0
    _failures: int = 0  # in a row
    _pending: _PendingCall = _PendingCall("", 0.0)

    @property
    def is_finished(self) -> bool:
        """True if no more calls are to be made."""
        return self.state in (RegistrationState.REPLACED, RegistrationState.REFUSED, RegistrationState.LEFT)

    @property
    def is_confirmed(self) -> bool:
        """True if the service has the status that the server wants."""
        return self.is_finished or (
            self.state is RegistrationState.REGISTERED and self._confirmed == self._status
        )

    @property
    def call_timeout_ms(self) -> float:
        """The time limit of a call, in ms: two calls may fail within one lease."""
        return min(MAX_CALL_TIMEOUT_MS, self.ttl_ms / 4.0)

    def request_status(self, now: float, status: str) -> None:
        """Request the status `leaving` or `left`; a call is due at once."""
        self._status = status
        self.due_ms = min(self.due_ms, now)

    def next_call(self, now: float) -> RegistrationCall:
        """Return the call to make now."""
        self._pending = _PendingCall(self._status, now)
        path = f"/registry/instances/{self.entry['name']}"
        incarnation = {"since_ms": self.entry["since_ms"]}
        if self._status == LEFT:
            return RegistrationCall(self._address, "DELETE", path, incarnation)
        if self.state is RegistrationState.UNREGISTERED:
            body = {**self.entry, "status": self._status, "ttl_ms": self.ttl_ms}
            return RegistrationCall(self._address, "PUT", path, body)
        if self._confirmed != self._status:
            return RegistrationCall(self._address, "PATCH", path, {**incarnation, "status": self._status})
        return RegistrationCall(self._address, "POST", f"{path}/renew", incarnation)

    def apply_result(
        self, now: float, status: int, chance: float, retry_s: float = 0.0, reason: str = ""
    ) -> None:
        """Apply the result of the call: its HTTP status, or 0 without an answer in time.

        `retry_s` is its `Retry-After`; 0 without one.
        """
        leaves = self._pending.status == LEFT
        if status == 200 or (leaves and status in (404, 409)):
            self._confirm(chance)
        elif status == 404:
            # The service has lost the registration: the list lacks this server.
            self.state, self._confirmed, self._failures = RegistrationState.UNREGISTERED, "", 0
            self.due_ms = now + REJOIN_SPREAD_MS * chance
        elif status == 409:
            self.state, self.reason = RegistrationState.REPLACED, reason
        elif 400 <= status < 500 and status not in (408, 429):
            self.state, self.reason = RegistrationState.REFUSED, reason
        else:
            self._retry(now, chance, retry_s)

    def _confirm(self, chance: float) -> None:
        call = self._pending
        self.state = RegistrationState.LEFT if call.status == LEFT else RegistrationState.REGISTERED
        self._confirmed, self._failures = call.status, 0
        # The lease may count from the call; less than a third of it, so that two calls may fail.
        third_ms = self.ttl_ms / 3.0
        wait_ms = third_ms * (0.8 + 0.2 * chance) if self._confirmed == self._status else 0.0
        self.due_ms = call.begun_ms + wait_ms

    def _retry(self, now: float, chance: float, retry_s: float) -> None:
        """Schedule another call: at the next address after a backoff, or at this one after `Retry-After`."""
        wait_ms = min(FIRST_WAIT_MS * 2.0**self._failures, MAX_WAIT_MS) * (0.5 + 0.5 * chance)
        self._failures += 1
        if retry_s:
            wait_ms = retry_s * 1000.0 * (1.0 + RETRY_AFTER_SPREAD * chance)
        else:
            self._address = (self._address + 1) % self.addresses
        self.due_ms = now + wait_ms
