"""Lines of the list service's watch on the configuration, as far as an aggregator reads them. Pure code."""

from __future__ import annotations

import msgspec

from brassfall.controlplane.aggregation.events import StateReceived
from brassfall.errors import RequestError

STATES = ("prepared", "committed", "halted")


class StateError(RequestError):
    """A line of the rules from above that can't be read."""

    action = "See which version of the list service runs there; its watch is opened again."


class RevisionInForce(msgspec.Struct, frozen=True):
    """The revision in force, beside one that is not."""

    revision: int = msgspec.field(name="edition")


class StateLine(msgspec.Struct, frozen=True):
    """What an aggregator reads of a line; its children are sent the line as it is."""

    revision: int = msgspec.field(name="edition")
    epoch: int = msgspec.field(name="life")
    state: str
    committed: RevisionInForce | None = None


def read_state(line: bytes) -> StateReceived:
    """A line of the configuration, for the core; `StateError` says what is wrong with it."""
    try:
        found = msgspec.json.decode(line, type=StateLine)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise StateError("no state of the rules", str(error)[:200]) from error
    if found.state not in STATES:
        raise StateError("no state of the rules", f"state: {found.state[:40]!r}")
    committed = found.committed.revision if found.committed is not None else 0
    in_force = found.revision if found.state == "committed" else committed
    return StateReceived(found.epoch, found.revision, found.state, in_force, line)
