"""Discovery's form of an endpoint list, read into typed values."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from brassfall.balancer import model
from brassfall.sidecar.config_values import (
    MALFORMED,
    Address,
    Names,
    amount,
    as_object,
    integer,
    parse_address,
    reason,
    stable_number,
)

STATES = frozenset(("active", "leaving", "left"))
FIRST_UNNAMED_ZONE = -2  # zones that the settings don't name have numbers from here down; -1 is no zone
ACTIVE, LEFT = "active", "left"


@dataclass(frozen=True, slots=True)
class ServerList:
    """One message of discovery: the complete list, or the entries that changed."""

    version: int
    complete: bool
    entries: list[model.Listing]
    addresses: dict[str, Address]
    # When the list before this one was last known to be the newest, in seconds of the loop: what this one
    # adds was not there then. -inf where discovery has sent none before.
    previous_list_fresh_at: float = -math.inf


def parse_list(raw: object, names: Names, invalid: dict[str, str] | None = None) -> ServerList:
    """Read discovery's form of a list; raise one of `MALFORMED` if it is none.

    If `invalid` is given, invalid entries are left out and named there, by server, each with its reason, and
    each server that has not left needs an address. Otherwise one invalid entry makes the list invalid.
    """
    message = as_object(raw)
    rows, complete, version = message["endpoints"], message.get("snapshot"), integer(message["index"])
    # Guards against a complete list without servers where there is only something of another type.
    if not isinstance(rows, list) or not isinstance(complete, bool | None) or version < 0:
        why = "index, snapshot and endpoints have to be a number, true or false, and a list"
        raise ValueError(why)
    update = ServerList(version, bool(complete), [], {})
    for number, row in enumerate(rows):
        try:
            _add(update, row, names, address_needed=invalid is not None)
        except MALFORMED as error:
            if invalid is None:
                why = f"endpoints[{number}]: {reason(error)}"
                raise ValueError(why) from error
            invalid[_name_of(row)] = repr(error)
    return update


def _add(update: ServerList, raw: object, names: Names, *, address_needed: bool) -> None:
    """Add an entry to a list; nothing is added if one of `MALFORMED` is raised."""
    row = as_object(raw)
    entry = _listing(row, names)
    if row.get("address"):
        update.addresses[entry.server] = parse_address(row["address"])
    elif address_needed and entry.state != LEFT:
        why = "no address"
        raise ValueError(why)
    update.entries.append(entry)


def _name_of(row: object) -> str:
    return str(row.get("name", "")) if isinstance(row, Mapping) else ""


def _listing(row: Mapping[str, Any], names: Names) -> model.Listing:
    state = row.get("status", ACTIVE)
    if state not in STATES:
        why = f"status {state!r} is not known"
        raise ValueError(why)
    name = row["name"]
    if not isinstance(name, str) or not name or not name.isprintable():
        why = f"name {name!r} is not valid"
        raise ValueError(why)
    return model.Listing(
        server=name,
        zone=_zone(row.get("zone") or "", names),
        kind=names.kinds.get(row.get("type", ""), 0),
        cell=integer(row.get("group") or 0),
        state=state,
        weight=amount(row.get("weight") or 1.0),
        # Unix time in ms, which the driver bounds by what it has observed; 0 stays 0, which is long ago.
        started=amount(row.get("since_ms") or 0.0),
    )


def _zone(name: str, names: Names) -> int:
    """Return a zone's number; an entry that names none is in the first one.

    A zone that the settings don't name, as a new one that waits for a restart, is one of its own: a retry
    that has to stay in its zone must not go from there to another.
    """
    if (number := names.zones.get(name)) is not None:
        return number
    return FIRST_UNNAMED_ZONE - stable_number(str(name)) if name else 0
