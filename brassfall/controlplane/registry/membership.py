"""A server's place in the list, as pure code: what to call next, and when.

The holder of a `Membership` makes the call that it names at the time it names, and tells how that
ended. `chance`, from 0 to 1, spreads the calls of a fleet that would else come together.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

FIRST_WAIT_MS, WAIT_MOST_MS = 100.0, 1000.0
PATIENCE_MOST_MS = 2000.0


class Place(Enum):
    """Where a server stands with the list service."""

    OUT = "not registered"
    HELD = "registered"
    LOST = "a newer process holds the name"
    REFUSED = "refused"
    GONE = "left"


@dataclass(frozen=True, slots=True)
class Call:
    """One call to make: at which of the addresses, and what."""

    address: int
    method: str
    path: str
    body: dict[str, Any]


@dataclass(slots=True)
class Membership:
    """One server's place. Times are monotonic ms."""

    entry: Mapping[str, Any]  # as PROTOCOL's list has it
    ttl_ms: int
    addresses: int = 1
    place: Place = Place.OUT
    reason: str = ""
    due: float = 0.0  # when the next call is to be made
    index: int = 0  # of the last change that the service told of
    heard: float | None = None  # when the last call that was answered had been made
    _status: str = "active"
    _told: str = ""  # the status that the service has
    _address: int = 0
    _failures: int = 0
    _calling: tuple[str, float] = field(default=("", 0.0))

    @property
    def over(self) -> bool:
        """Whether there is nothing more to call."""
        return self.place in (Place.LOST, Place.REFUSED, Place.GONE)

    @property
    def settled(self) -> bool:
        """Whether the service has been told all that was wished."""
        return self.over or (self.place is Place.HELD and self._told == self._status)

    @property
    def patience_ms(self) -> float:
        """How long to wait for an answer: so that two calls may come to nothing within one lease."""
        return min(PATIENCE_MOST_MS, self.ttl_ms / 4.0)

    def wish(self, now: float, status: str) -> None:
        """The server wants to be `leaving`, or to have `left`; it is told at once."""
        self._status = status
        self.due = min(self.due, now)

    def call(self, now: float) -> Call:
        """What to call now."""
        name, since = self.entry["name"], self.entry["since_ms"]
        path = f"/registry/instances/{name}"
        mine = {"since_ms": since}
        if self._status == "left":
            made = Call(self._address, "DELETE", path, mine)
        elif self.place is Place.OUT:
            body = {**self.entry, "status": self._status, "ttl_ms": self.ttl_ms}
            made = Call(self._address, "PUT", path, body)
        elif self._told != self._status:
            made = Call(self._address, "PATCH", path, {**mine, "status": self._status})
        else:
            made = Call(self._address, "POST", f"{path}/renew", mine)
        self._calling = (self._status, now)
        return made

    def ended(self, now: float, status: int, chance: float, retry_s: float = 0.0, reason: str = "") -> None:
        """How the call ended: its status, or 0 where there was no answer in time."""
        asked, begun = self._calling
        if status == 200 or (asked == "left" and status in (404, 409)):
            self._carried_out(asked, begun, chance)
        elif status == 404:
            # The service has lost it: the list has a hole until it is back.
            self.place, self._told, self._failures = Place.OUT, "", 0
            self.due = now + 50.0 * chance
        elif status == 409:
            self.place, self.reason = Place.LOST, reason
        elif 400 <= status < 500 and status not in (408, 429):
            self.place, self.reason = Place.REFUSED, reason
        else:
            self._again(now, chance, retry_s)

    def _carried_out(self, asked: str, begun: float, chance: float) -> None:
        self.place = Place.GONE if asked == "left" else Place.HELD
        self._told, self._failures, self.heard = asked, 0, begun
        third = self.ttl_ms / 3.0
        # Counted from the call, as the lease may be; sooner than a third, so that two may fail.
        self.due = begun + third * (0.8 + 0.2 * chance) if self._told == self._status else begun

    def _again(self, now: float, chance: float, retry_s: float) -> None:
        """No answer, or not now: another address after a silence, a wait that grows, and is spread."""
        wait = min(FIRST_WAIT_MS * 2.0**self._failures, WAIT_MOST_MS) * (0.5 + 0.5 * chance)
        self._failures += 1
        if retry_s:
            wait = retry_s * 1000.0 * (1.0 + 0.25 * chance)
        else:
            self._address = (self._address + 1) % self.addresses
        self.due = now + wait
