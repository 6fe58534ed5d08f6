"""The registration of a server on the endpoint list: which call comes next, and when. No I/O, no clock.

The host of a `ServerRegistration` makes the call that `next_call` returns at the time `due_ms`, and passes
its result to `apply_result`. `chance`, a random number from 0 to 1, spreads the calls of a fleet that would
otherwise be made at once.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

# Backoff after a failed call: it doubles with each further failure in a row, up to the maximum.
FIRST_BACKOFF_MS, MAX_BACKOFF_MS = 100.0, 1000.0
MAX_CALL_TIMEOUT_MS = 2000.0
REJOIN_SPREAD_MS = 50.0  # time over which servers spread their calls when the service has lost its list
RETRY_AFTER_SPREAD = 0.25  # fraction of a `Retry-After` by which the wait is lengthened at random
LEFT = "left"  # status of a server that has left the list


class RegistrationState(Enum):
    """The state of a server's registration; the values are texts for logs."""

    UNREGISTERED = "not registered"
    REGISTERED = "registered"
    REPLACED = "a newer process holds the name"
    REFUSED = "refused"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class RegistrationCall:
    """An HTTP call to make, at the address with the index `address_index`."""

    address_index: int
    method: str
    path: str
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class _PendingCall:
    """The server's status that a call under way reports, and when the call was made."""

    status: str
    made_ms: float


@dataclass(slots=True)
class ServerRegistration:
    """The registration of one server. Times are monotonic ms."""

    entry: Mapping[str, Any]  # the server's entry on the list
    ttl_ms: int
    address_count: int = 1
    state: RegistrationState = RegistrationState.UNREGISTERED
    reason: str = ""  # why the service refused the registration, or gave the name to another process
    due_ms: float = 0.0  # time at which the next call is to be made
    _wanted_status: str = "active"  # status that the server wants to have on the list
    _confirmed_status: str = ""  # status that the service confirmed last
    _address_index: int = 0
    _failures: int = 0  # number of failed calls in a row
    _pending: _PendingCall = _PendingCall("", 0.0)

    @property
    def is_finished(self) -> bool:
        """True if no more calls are to be made."""
        return self.state in (RegistrationState.REPLACED, RegistrationState.REFUSED, RegistrationState.LEFT)

    @property
    def is_confirmed(self) -> bool:
        """True if the service has confirmed the wanted status, or no more calls are to be made."""
        return self.is_finished or (
            self.state is RegistrationState.REGISTERED and self._confirmed_status == self._wanted_status
        )

    @property
    def call_timeout_ms(self) -> float:
        """The time limit of a call, in ms; it is so short that two calls may fail within one lease."""
        return min(MAX_CALL_TIMEOUT_MS, self.ttl_ms / 4.0)

    def request_status(self, now_ms: float, status: str) -> None:
        """Set the wanted status to `leaving` or `left`, and make a call due at once."""
        self._wanted_status = status
        self.due_ms = min(self.due_ms, now_ms)

    def next_call(self, now_ms: float) -> RegistrationCall:
        """Return the call to make now, and remember it as under way."""
        self._pending = _PendingCall(self._wanted_status, now_ms)
        path = f"/registry/instances/{self.entry['name']}"
        incarnation = {"since_ms": self.entry["since_ms"]}
        if self._wanted_status == LEFT:
            return RegistrationCall(self._address_index, "DELETE", path, incarnation)
        if self.state is RegistrationState.UNREGISTERED:
            body = {**self.entry, "status": self._wanted_status, "ttl_ms": self.ttl_ms}
            return RegistrationCall(self._address_index, "PUT", path, body)
        if self._confirmed_status != self._wanted_status:
            return RegistrationCall(
                self._address_index, "PATCH", path, {**incarnation, "status": self._wanted_status}
            )
        return RegistrationCall(self._address_index, "POST", f"{path}/renew", incarnation)

    def apply_result(
        self, now_ms: float, status: int, chance: float, retry_s: float = 0.0, reason: str = ""
    ) -> None:
        """Apply the result of the call under way: its HTTP status, or 0 if there was no answer in time.

        `retry_s` is the `Retry-After` of the answer in s, 0 without one; `reason` is that of an error answer.
        """
        leaves = self._pending.status == LEFT
        if status == 200 or (leaves and status in (404, 409)):
            self._apply_success(chance)
        elif status == 404:
            # The service does not know the registration, so that the server is missing on the list.
            self.state, self._confirmed_status, self._failures = RegistrationState.UNREGISTERED, "", 0
            self.due_ms = now_ms + REJOIN_SPREAD_MS * chance
        elif status == 409:
            self.state, self.reason = RegistrationState.REPLACED, reason
        elif 400 <= status < 500 and status not in (408, 429):
            self.state, self.reason = RegistrationState.REFUSED, reason
        else:
            self._schedule_retry(now_ms, chance, retry_s)

    def _apply_success(self, chance: float) -> None:
        call = self._pending
        self.state = RegistrationState.LEFT if call.status == LEFT else RegistrationState.REGISTERED
        self._confirmed_status, self._failures = call.status, 0
        # The lease counts from the time of the call at the earliest. The next call follows after less than a
        # third of the lease, so that two calls may fail before it ends.
        third_ms = self.ttl_ms / 3.0
        wait_ms = third_ms * (0.8 + 0.2 * chance) if self._confirmed_status == self._wanted_status else 0.0
        self.due_ms = call.made_ms + wait_ms

    def _schedule_retry(self, now_ms: float, chance: float, retry_s: float) -> None:
        """Schedule another call: at the next address after a backoff, or at this one after `Retry-After`."""
        wait_ms = min(FIRST_BACKOFF_MS * 2.0**self._failures, MAX_BACKOFF_MS) * (0.5 + 0.5 * chance)
        self._failures += 1
        if retry_s:
            wait_ms = retry_s * 1000.0 * (1.0 + RETRY_AFTER_SPREAD * chance)
        else:
            self._address_index = (self._address_index + 1) % self.address_count
        self.due_ms = now_ms + wait_ms
