"""Parser of endpoint lists in discovery's wire form."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from brassfall.balancer import model
from brassfall.sidecar.config_values import (
    MALFORMED_ERRORS,
    Address,
    WireNames,
    as_object,
    malformed_reason,
    non_negative_number,
    parse_address,
    stable_number,
    to_integer,
)

STATES = frozenset(("active", "leaving", "left"))
# Zones that the settings don't name have this number or a lower one; -1 stands for no zone.
FIRST_UNNAMED_ZONE = -2
ACTIVE, LEFT = "active", "left"


@dataclass(frozen=True, slots=True)
class ServerList:
    """One message of discovery: the complete list, or the entries that changed."""

    version: int
    complete: bool  # True for the complete list, False for changes
    entries: list[model.EndpointEntry]
    addresses: dict[str, Address]  # Address of each server whose entry states one, by the server's name
    # Time at which the previous list was last known to be the newest, in seconds of the loop. The servers
    # that this message adds did not exist then. It is -inf if discovery has sent no list before.
    previous_list_fresh_at: float = -math.inf


def parse_list(raw: object, names: WireNames, invalid: dict[str, str] | None = None) -> ServerList:
    """Parse a list in discovery's wire form; raise one of `MALFORMED_ERRORS` if it is invalid.

    Without `invalid`, one invalid entry makes the whole list invalid. With `invalid`, invalid entries are
    left out, and the reason for each is added to `invalid` under the name of the server. In that case the
    entry of each server that has not left must also have an address.
    """
    message = as_object(raw)
    rows, complete, version = message["endpoints"], message.get("snapshot"), to_integer(message["index"])
    # Without these checks a value of another type, such as an empty text, would be read as a complete list
    # without servers.
    if not isinstance(rows, list) or not isinstance(complete, bool | None) or version < 0:
        why = "index has to be a number from 0, snapshot true or false, and endpoints a list"
        raise ValueError(why)
    update = ServerList(version, bool(complete), [], {})
    for number, row in enumerate(rows):
        try:
            _add_entry(update, row, names, requires_address=invalid is not None)
        except MALFORMED_ERRORS as error:
            if invalid is None:
                why = f"endpoints[{number}]: {malformed_reason(error)}"
                raise ValueError(why) from error
            invalid[_name_of(row)] = repr(error)
    return update


def _add_entry(update: ServerList, raw: object, names: WireNames, *, requires_address: bool) -> None:
    """Parse an entry and add it to `update`.

    Raise one of `MALFORMED_ERRORS`, and add nothing, if the entry is invalid.
    """
    row = as_object(raw)
    entry = _parse_entry(row, names)
    if row.get("address"):
        update.addresses[entry.server] = parse_address(row["address"])
    elif requires_address and entry.state != LEFT:
        why = "the entry has no address"
        raise ValueError(why)
    update.entries.append(entry)


def _name_of(row: object) -> str:
    """Return the name in an invalid entry; empty if the entry has none."""
    return str(row.get("name", "")) if isinstance(row, Mapping) else ""


def _parse_entry(row: Mapping[str, Any], names: WireNames) -> model.EndpointEntry:
    """Return a parsed entry; raise one of `MALFORMED` if it is invalid."""
    state = row.get("status", ACTIVE)
    if state not in STATES:
        why = f"status {state!r} is none of active, leaving and left"
        raise ValueError(why)
    name = row["name"]
    if not isinstance(name, str) or not name or not name.isprintable():
        why = f"name {name!r} is not a text of printable characters"
        raise ValueError(why)
    return model.EndpointEntry(
        server=name,
        zone=_zone_number(row.get("zone") or "", names),
        kind=names.kinds.get(row.get("type", ""), 0),
        cell=to_integer(row.get("group") or 0),
        state=state,
        weight=non_negative_number(row.get("weight") or 1.0),
        # Unix time in milliseconds; 0 stands for a start long ago. The driver corrects it by what it has
        # observed, with `StartTimes`.
        started=non_negative_number(row.get("since_ms") or 0.0),
    )


def _zone_number(name: str, names: WireNames) -> int:
    """Return the number of a zone; an entry without a zone is in the first one.

    A zone that the settings don't name gets a number of its own. An example is a new zone that the settings
    will name after a restart. A retry that has to stay within a zone then does not leave the unnamed zone.
    """
    if (number := names.zones.get(name)) is not None:
        return number
    return FIRST_UNNAMED_ZONE - stable_number(str(name)) if name else 0
