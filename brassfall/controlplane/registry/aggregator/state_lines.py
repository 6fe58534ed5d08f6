"""Parsing of the revision state in lines of the list service's watch on `/rules`. No I/O."""

from __future__ import annotations

import msgspec

from brassfall.controlplane.aggregation.events import StateReceived
from brassfall.controlplane.revisions.state import RevisionState
from brassfall.errors import RequestError

UNREADABLE = "no state of the rules"
MAX_REASON, MAX_QUOTED = 200, 40  # lengths to which a reason, and a state in it, are cut, in characters


class StateError(RequestError):
    """A line with the revision state is malformed."""

    action = "See which version of the list service runs there; its watch is opened again."


class RevisionInForce(msgspec.Struct, frozen=True):
    """The number of the committed revision, in a line about another revision."""

    revision: int = msgspec.field(name="edition")


class StateLine(msgspec.Struct, frozen=True):
    """The part of a revision state line that an aggregator reads; children get the line unchanged."""

    revision: int = msgspec.field(name="edition")
    epoch: int = msgspec.field(name="life")
    state: str
    committed: RevisionInForce | None = None


def read_state(line: bytes) -> StateReceived:
    """Parse a line with the revision state into an event for the core; raise `StateError` if malformed."""
    try:
        decoded = msgspec.json.decode(line, type=StateLine)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise StateError(UNREADABLE, str(error)[:MAX_REASON]) from error
    if decoded.state not in set(RevisionState):
        raise StateError(UNREADABLE, f"state: {decoded.state[:MAX_QUOTED]!r}")
    committed = decoded.committed.revision if decoded.committed is not None else 0
    in_force = decoded.revision if decoded.state == RevisionState.COMMITTED else committed
    return StateReceived(decoded.epoch, decoded.revision, decoded.state, in_force, line)
