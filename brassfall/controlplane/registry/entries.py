"""JSON forms of instances: registrations, updates and list entries, with their validation. No I/O."""

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
MAX_INTEGER = 2**53  # JSON parsers with double-precision numbers lose precision above this value
MAX_QUOTED = 140  # length to which a malformed name is cut in an error message, in characters


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
    ttl_ms: int | None = None  # length of the lease; 0: no lease, None: the configured default


class InstanceUpdate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of `PATCH /registry/instances/NAME`."""

    status: Literal["active", "leaving"] | None = None
    weight: float | None = None
    since_ms: int | None = None  # if given, the update applies only to this incarnation of the server


class IncarnationReference(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a renewal or `DELETE` of an instance, which may name the incarnation that it is for."""

    since_ms: int | None = None


class Endpoint(msgspec.Struct, frozen=True):
    """One entry of the endpoint list, in the form of the discovery protocol."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str
    weight: float
    since_ms: int


class InstanceList(msgspec.Struct, frozen=True):
    """The answer to `GET /registry/instances`, or a line of a watch on it.

    With `snapshot` the endpoints are the complete list, otherwise the entries changed since the last line.
    """

    index: int
    endpoints: list[Endpoint]
    snapshot: bool = True


def check_name(text: str) -> str:
    """Return a valid name of an instance, table or key as it is; raise `RequestError` for a malformed one."""
    if not NAME.fullmatch(text):
        message = f"name {text[:MAX_QUOTED]!r}: expected 1 to 128 letters, digits, '.', '_', ':' or '-'"
        raise RequestError(message)
    return text


def parse_registration(key: str, body: bytes, leases: LeaseSettings) -> tuple[Registration, int]:
    """Parse the body of a registration of the instance `key`; return it with its time to live in ms.

    Raise `RequestError` if a field is malformed or out of range.
    """
    try:
        registration = msgspec.json.decode(body, type=Registration)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise RequestError(str(error)) from error
    if registration.name not in (None, key):
        message = f"name: the path says {key!r}, the entry says {str(registration.name)[:MAX_QUOTED]!r}"
        raise RequestError(message)
    try:
        parse_address(registration.address)
    except ValueError as error:
        message = f"address: {error}"
        raise RequestError(message) from error
    for field in ("address", "zone", "type"):
        if not TEXT.fullmatch(getattr(registration, field)):
            message = f"{field}: expected up to 128 printable characters"
            raise RequestError(message)
    _weight(registration.weight)
    _check_range("since_ms", registration.since_ms)
    _check_range("group", registration.group)
    return registration, check_ttl(registration.ttl_ms, leases)


def check_ttl(requested: int | None, leases: LeaseSettings) -> int:
    """Return the requested time to live in ms, or the configured default for None.

    Raise `RequestError` if it is outside the configured limits; 0 stands for no lease, and is allowed.
    """
    if requested is None:
        return leases.default_ms
    if requested != 0 and not leases.least_ms <= requested <= leases.most_ms:
        message = f"ttl_ms: {requested} is not between {leases.least_ms} and {leases.most_ms}"
        raise RequestError(message)
    return requested


def register_command(
    key: str, registration: Registration, ttl_ms: int, if_match: int | None, request_id: str
) -> Put:
    """Return the store command for a registration.

    The start time of the server is the fence: of two processes with one name, the later one gets the row.
    """
    entry = Endpoint(
        key,
        registration.address,
        registration.zone,
        registration.type,
        registration.group,
        registration.status,
        registration.weight,
        registration.since_ms,
    )
    return Put(
        table=INSTANCES,
        key=key,
        value=msgspec.structs.asdict(entry),
        lease_ms=ttl_ms,
        fence=registration.since_ms,
        owner=registration.address,
        if_match=if_match,
        request_id=request_id,
        quiet=True,
    )


def update_command(key: str, body: bytes, if_match: int | None, request_id: str) -> Patch:
    """Parse an update of an instance's status or weight into a store command.

    Raise `RequestError` if the body is malformed or changes nothing.
    """
    try:
        update = msgspec.json.decode(body, type=InstanceUpdate)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise RequestError(str(error)) from error
    changes: dict[str, Any] = {}
    if update.status is not None:
        changes["status"] = update.status
    if update.weight is not None:
        changes["weight"] = _weight(update.weight)
    if not changes:
        message = "neither status nor weight is named"
        raise RequestError(message)
    return Patch(
        table=INSTANCES,
        key=key,
        changes=changes,
        fence=update.since_ms,
        if_match=if_match,
        request_id=request_id,
    )


def parse_incarnation(body: bytes) -> int | None:
    """Return the incarnation in the body of a renewal or removal; None for an empty body or without one.

    Raise `RequestError` if the body is malformed.
    """
    if not body:
        return None
    try:
        return msgspec.json.decode(body, type=IncarnationReference).since_ms
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise RequestError(str(error)) from error


def remove_command(key: str, fence: int | None, if_match: int | None, request_id: str) -> Delete:
    """Return the store command that removes an instance."""
    return Delete(table=INSTANCES, key=key, fence=fence, if_match=if_match, request_id=request_id)


def is_guarded(table: str, row: Row) -> bool:
    """Return whether the guard against mass expiry applies to a row.

    It applies to instances that are not leaving: their missing renewals may be due to a network fault.
    """
    return table == INSTANCES and row.value["status"] == "active"


def list_entries(rows: Iterable[Row]) -> list[Any]:
    """Return the JSON entries of a complete endpoint list."""
    return [row.value for row in rows]


def change_entries(changes: Iterable[Change]) -> list[Any]:
    """Return the JSON entries of changed instances; a removed instance has the status `left`."""
    return [
        {**change.row.value, "status": "left"} if change.deleted else change.row.value for change in changes
    ]


def _weight(weight: float) -> float:
    if not (math.isfinite(weight) and 0.0 < weight <= 1e6):
        message = f"weight: {weight} is not above 0 and up to 1e6"
        raise RequestError(message)
    return weight


def _check_range(field: str, value: int) -> None:
    if not 0 <= value < MAX_INTEGER:
        message = f"{field}: {value} is not between 0 and 2^53"
        raise RequestError(message)
