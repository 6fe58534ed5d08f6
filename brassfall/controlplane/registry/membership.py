"""A server's registration in the list: the next call, and when it is due. Pure code.

The host of a `Membership` makes the call that `call` returns at the time `due`, and passes its result to
`ended`. `chance`, from 0 to 1, spreads the calls of a fleet that would otherwise be made at once.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

FIRST_WAIT_MS, MAX_WAIT_MS = 100.0, 1000.0  # between attempts that get no answer; doubled each time
MAX_PATIENCE_MS = 2000.0
REJOIN_SPREAD_MS = 50.0  # over which servers register again after the service has lost its list
RETRY_AFTER_SPREAD = 0.25  # of a wait that the service names
LEFT = "left"


class Place(Enum):
    """The state of a server's registration; the values are for logs."""

    UNREGISTERED = "not registered"
    REGISTERED = "registered"
    REPLACED = "a newer process holds the name"
    REFUSED = "refused"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Call:
    """One call to make, at the address of this number."""

    address: int
    method: str
    path: str
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class _PendingCall:
    """The status in a call, and when it was made."""

    status: str
    begun_ms: float


@dataclass(slots=True)
class Membership:
    """One server's registration. Times are monotonic ms."""

    entry: Mapping[str, Any]  # the server's, as the list has it
    ttl_ms: int
    addresses: int = 1
    place: Place = Place.UNREGISTERED
    reason: str = ""  # why the service refused it, or gave the name to another
    due: float = 0.0  # when the next call is to be made
    _status: str = "active"  # as the server wants it
    _confirmed: str = ""  # the status that the service has
    _address: int = 0
    _failures: int = 0  # in a row
    _pending: _PendingCall = _PendingCall("", 0.0)

    @property
    def over(self) -> bool:
        """True if no more calls are to be made."""
        return self.place in (Place.REPLACED, Place.REFUSED, Place.LEFT)

    @property
    def settled(self) -> bool:
        """True if the service has the status that the server wants."""
        return self.over or (self.place is Place.REGISTERED and self._confirmed == self._status)

    @property
    def patience_ms(self) -> float:
        """The time limit of a call, in ms: two calls may fail within one lease."""
        return min(MAX_PATIENCE_MS, self.ttl_ms / 4.0)

    def request_status(self, now: float, status: str) -> None:
        """Request the status `leaving` or `left`; a call is due at once."""
        self._status = status
        self.due = min(self.due, now)

    def call(self, now: float) -> Call:
        """Return the call to make now."""
        self._pending = _PendingCall(self._status, now)
        path = f"/registry/instances/{self.entry['name']}"
        incarnation = {"since_ms": self.entry["since_ms"]}
        if self._status == LEFT:
            return Call(self._address, "DELETE", path, incarnation)
        if self.place is Place.UNREGISTERED:
            body = {**self.entry, "status": self._status, "ttl_ms": self.ttl_ms}
            return Call(self._address, "PUT", path, body)
        if self._confirmed != self._status:
            return Call(self._address, "PATCH", path, {**incarnation, "status": self._status})
        return Call(self._address, "POST", f"{path}/renew", incarnation)

    def ended(self, now: float, status: int, chance: float, retry_s: float = 0.0, reason: str = "") -> None:
        """Apply the result of the call: its HTTP status, or 0 without an answer in time.

        `retry_s` is its `Retry-After`; 0 without one.
        """
        leaves = self._pending.status == LEFT
        if status == 200 or (leaves and status in (404, 409)):
            self._confirm(chance)
        elif status == 404:
            # The service has lost the registration: the list lacks this server.
            self.place, self._confirmed, self._failures = Place.UNREGISTERED, "", 0
            self.due = now + REJOIN_SPREAD_MS * chance
        elif status == 409:
            self.place, self.reason = Place.REPLACED, reason
        elif 400 <= status < 500 and status not in (408, 429):
            self.place, self.reason = Place.REFUSED, reason
        else:
            self._retry(now, chance, retry_s)

    def _confirm(self, chance: float) -> None:
        call = self._pending
        self.place = Place.LEFT if call.status == LEFT else Place.REGISTERED
        self._confirmed, self._failures = call.status, 0
        # The lease may count from the call; less than a third of it, so that two calls may fail.
        third_ms = self.ttl_ms / 3.0
        wait_ms = third_ms * (0.8 + 0.2 * chance) if self._confirmed == self._status else 0.0
        self.due = call.begun_ms + wait_ms

    def _retry(self, now: float, chance: float, retry_s: float) -> None:
        """Call again after a backoff at another address, or at the same one after its `Retry-After`."""
        wait_ms = min(FIRST_WAIT_MS * 2.0**self._failures, MAX_WAIT_MS) * (0.5 + 0.5 * chance)
        self._failures += 1
        if retry_s:
            wait_ms = retry_s * 1000.0 * (1.0 + RETRY_AFTER_SPREAD * chance)
        else:
            self._address = (self._address + 1) % self.addresses
        self.due = now + wait_ms
