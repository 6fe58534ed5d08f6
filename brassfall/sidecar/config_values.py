"""The values of configuration files and endpoint lists: addresses, names, and checks of single values.

The checks raise `ValueError`, or another of `MALFORMED_ERRORS`, whose text names the invalid value.
"""

from __future__ import annotations

import contextlib
import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, NamedTuple

NUMBERS_BELOW = 2**53  # integers up to here are exact in JSON
PORTS_BELOW = 2**16


class Address(NamedTuple):
    """Where to listen or connect."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class as requests name it: its slot in the settings and the method that it requires."""

    slot: int  # its index in the settings' profiles; a reload keeps it
    method: str
    keyed: bool  # whether its requests carry an idempotency key


@dataclass(frozen=True, slots=True)
class WireNames:
    """The names on the wire, each with its index in the settings."""

    classes: Mapping[str, RequestClass]
    tenants: Mapping[str, int]
    zones: Mapping[str, int]
    kinds: Mapping[str, int]


def stable_number(text: str) -> int:
    """Return a number below 2^53 for a text, the same in every process.

    Guards against `hash()`, which differs between processes: sidecars would disagree on a key.
    """
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest()) % NUMBERS_BELOW


# Raised for invalid values; each is logged as one line.
MALFORMED_ERRORS = (ValueError, TypeError, KeyError, AttributeError, OverflowError, RecursionError)


def malformed_reason(error: Exception) -> str:
    """Return why a value is invalid, by one of `MALFORMED_ERRORS`."""
    if isinstance(error, KeyError):
        return f"{error.args[0]} is missing"
    if isinstance(error, AttributeError | TypeError):
        return f"of the wrong type: {error}"
    return str(error)


@contextlib.contextmanager
def error_prefix(key: str) -> Iterator[None]:
    """Put the key in front of the text of any of `MALFORMED_ERRORS`, and raise it as `ValueError`."""
    try:
        yield
    except MALFORMED_ERRORS as error:
        message = f"{key}: {malformed_reason(error)}"
        raise ValueError(message) from error


def read_names(settings: Mapping[str, Any]) -> WireNames:
    """Return the names in the settings; raise one of `MALFORMED_ERRORS` if they are invalid."""
    rows = settings["Profiles"]
    with error_prefix("Profiles"):
        class_names = [row["Name"] for row in rows]
    valid = all(isinstance(name, str) and name for name in class_names)
    if len(set(class_names)) < len(class_names) or not valid:
        message = "Profiles: each class needs a name of its own"
        raise ValueError(message)
    with error_prefix("Tenants"):
        tenants = _indices(row["Name"] for row in settings.get("Tenants") or ())
    return WireNames(
        classes={row["Name"]: _request_class(slot, row) for slot, row in enumerate(rows)},
        tenants=tenants,
        zones=_indices(settings.get("FailureDomains") or ()),
        kinds=_indices(settings.get("Kinds") or ()),
    )


def _request_class(slot: int, row: Mapping[str, Any]) -> RequestClass:
    semantics = row["Semantics"]
    return RequestClass(
        slot=slot, method="GET" if semantics == "pure" else "POST", keyed=semantics == "token"
    )


def _indices(names: Iterable[object]) -> dict[str, int]:
    return {str(name): index for index, name in enumerate(names)}


def parse_address(text: object) -> Address:
    """Return the address in `host:port`; raise `ValueError` if it is none."""
    host, found, port = str(text).rpartition(":")
    numbered = port.isascii() and port.isdigit() and int(port) < PORTS_BELOW
    if not (found and host and numbered):
        raise _not_an_address(text)
    return Address(host.strip("[]"), int(port))


def resolvable_address(text: object) -> Address:
    """Return an address to listen at or to call; raise `ValueError` if it is none.

    Guards against names whose look-up fails by other errors than those of the network. A server with such a
    name is merely one that can't be connected to.
    """
    address = parse_address(text)
    try:
        address.host.encode("idna")
    except UnicodeError:
        raise _not_an_address(text) from None
    if not address.host.isprintable() or " " in address.host:
        raise _not_an_address(text)
    return address


def _not_an_address(text: object) -> ValueError:
    return ValueError(f"{text!r} is not an address")


def as_object(value: object, key: str = "") -> Mapping[str, Any]:
    """Return a JSON object; raise `ValueError` if it is of another type."""
    if not isinstance(value, Mapping):
        message = f"{key}: expected an object" if key else "expected an object"
        raise ValueError(message)
    return value


def bounded_number(value: object, key: str, low: int = 1) -> float:
    """Return a number from `low` on; raise `ValueError` if it is none."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value < NUMBERS_BELOW:
        message = f"{key}: {value!r} is not a number from {low} on"
        raise ValueError(message)
    return value


def non_negative_number(value: object) -> float:
    """Return a finite number from 0 on, which may be written as text.

    Raise one of `MALFORMED_ERRORS` if it is none.
    """
    number = float(_numeric(value))
    if not math.isfinite(number) or number < 0.0:
        message = f"{value!r} is not a number from 0 on"
        raise ValueError(message)
    return number


def to_integer(value: object) -> int:
    """Return a number, which may be written as text, without its fraction.

    Raise one of `MALFORMED_ERRORS` if it is none.
    """
    return int(_numeric(value))


def _numeric(value: object) -> str | float:
    if not isinstance(value, str | int | float):
        message = f"expected a number, not {type(value).__name__}"
        raise TypeError(message)
    return value
