"""Instances on the wire: registrations, changes and list entries, with their checks. Pure code."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from typing import Any, Literal

import msgspec

from brassfall.controlplane.store.commands import Delete, Patch, Put
from brassfall.controlplane.store.records import Change, Row
from brassfall.errors import RequestError
from brassfall.settings import LeaseSettings, parse_address

INSTANCES = "instances"
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
TEXT = re.compile(r"[\x20-\x7e]{0,128}")
MAX_INTEGER = 2**53  # above it JSON readers lose precision
MAX_QUOTED = 140  # characters of a malformed name


class Registration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of `PUT /registry/instances/NAME`."""

    address: str
    name: str | None = None
    zone: str = ""
    type: str = ""
    group: int = 0
    status: Literal["active", "leaving"] = "active"
    weight: float = 1.0
    since_ms: int = 0
    ttl_ms: int | None = None  # 0: until it leaves


class InstanceUpdate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of `PATCH`."""

    status: Literal["active", "leaving"] | None = None
    weight: float | None = None
    since_ms: int | None = None  # only if this incarnation has the name


class IncarnationReference(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of `renew` and `DELETE`, which may be empty."""

    since_ms: int | None = None


class Endpoint(msgspec.Struct, frozen=True):
    """One entry of a list, in the protocol's form."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str
    weight: float
    since_ms: int


class InstanceList(msgspec.Struct, frozen=True):
    """A complete list, or a line of a watch."""

    index: int
    endpoints: list[Endpoint]
    snapshot: bool = True


def check_name(text: str) -> str:
    """Return a name of an instance, a table or a key; raise `RequestError` if it is malformed."""
    if not NAME.fullmatch(text):
        message = f"name {text[:MAX_QUOTED]!r}: expected 1 to 128 letters, digits, '.', '_', ':' or '-'"
        raise RequestError(message)
    return text


def parse_registration(key: str, body: bytes, leases: LeaseSettings) -> tuple[Registration, int]:
    """Return a registration and its time to live in ms; raise `RequestError` if it is malformed."""
    try:
        asked = msgspec.json.decode(body, type=Registration)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise RequestError(str(error)) from error
    if asked.name not in (None, key):
        message = f"name: the path says {key!r}, the entry says {str(asked.name)[:MAX_QUOTED]!r}"
        raise RequestError(message)
    try:
        parse_address(asked.address)
    except ValueError as error:
        message = f"address: {error}"
        raise RequestError(message) from error
    for field in ("address", "zone", "type"):
        if not TEXT.fullmatch(getattr(asked, field)):
            message = f"{field}: expected up to 128 printable characters"
            raise RequestError(message)
    _weight(asked.weight)
    _check_range("since_ms", asked.since_ms)
    _check_range("group", asked.group)
    return asked, check_ttl(asked.ttl_ms, leases)


def check_ttl(asked: int | None, leases: LeaseSettings) -> int:
    """Return a time to live in ms, by default the configured one; raise `RequestError` out of range."""
    if asked is None:
        return leases.default_ms
    if asked != 0 and not leases.least_ms <= asked <= leases.most_ms:
        message = f"ttl_ms: {asked} is not between {leases.least_ms} and {leases.most_ms}"
        raise RequestError(message)
    return asked


def register_command(
    key: str, asked: Registration, ttl_ms: int, if_match: int | None, request_id: str
) -> Put:
    """Return the command of a registration: of two processes with one name the one started later has it."""
    entry = Endpoint(
        key, asked.address, asked.zone, asked.type, asked.group, asked.status, asked.weight, asked.since_ms
    )
    return Put(
        table=INSTANCES,
        key=key,
        value=msgspec.structs.asdict(entry),
        lease_ms=ttl_ms,
        fence=asked.since_ms,
        owner=asked.address,
        if_match=if_match,
        request_id=request_id,
        quiet=True,
    )


def update_command(key: str, body: bytes, if_match: int | None, request_id: str) -> Patch:
    """Return the command that changes status or weight; raise `RequestError` if it is malformed."""
    try:
        asked = msgspec.json.decode(body, type=InstanceUpdate)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise RequestError(str(error)) from error
    changes: dict[str, Any] = {}
    if asked.status is not None:
        changes["status"] = asked.status
    if asked.weight is not None:
        changes["weight"] = _weight(asked.weight)
    if not changes:
        message = "neither status nor weight is named"
        raise RequestError(message)
    return Patch(
        table=INSTANCES,
        key=key,
        changes=changes,
        fence=asked.since_ms,
        if_match=if_match,
        request_id=request_id,
    )


def parse_incarnation(body: bytes) -> int | None:
    """Return the incarnation that a call names, or None; raise `RequestError` if the body is malformed."""
    if not body:
        return None
    try:
        return msgspec.json.decode(body, type=IncarnationReference).since_ms
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise RequestError(str(error)) from error


def remove_command(key: str, fence: int | None, if_match: int | None, request_id: str) -> Delete:
    """Return the command that removes an instance."""
    return Delete(table=INSTANCES, key=key, fence=fence, if_match=if_match, request_id=request_id)


def is_guarded(table: str, row: Row) -> bool:
    """Return whether a missing renewal of a row may be a network fault, since its server is not leaving."""
    return table == INSTANCES and row.value["status"] == "active"


def list_entries(rows: Iterable[Row]) -> list[Any]:
    """Return the entries of a complete list."""
    return [row.value for row in rows]


def change_entries(changes: Iterable[Change]) -> list[Any]:
    """Return the entries of a watch's line; a removed one has the status `left`."""
    return [{**change.row.value, "status": "left"} if change.gone else change.row.value for change in changes]


def _weight(weight: float) -> float:
    if not (math.isfinite(weight) and 0.0 < weight <= 1e6):
        message = f"weight: {weight} is not above 0 and up to 1e6"
        raise RequestError(message)
    return weight


def _check_range(field: str, value: int) -> None:
    if not 0 <= value < MAX_INTEGER:
        message = f"{field}: {value} is not between 0 and 2^53"
        raise RequestError(message)
