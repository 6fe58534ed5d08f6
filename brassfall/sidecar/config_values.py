"""Values in configuration files and endpoint lists: addresses, names, and checks of single values.

The checks raise `ValueError` or another of `MALFORMED_ERRORS`, with a text that names the invalid value.
"""

from __future__ import annotations

import contextlib
import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, NamedTuple

NUMBERS_BELOW = 2**53  # Upper limit of numbers: integers below it are exact in JSON
PORTS_BELOW = 2**16  # Upper limit of port numbers


class Address(NamedTuple):
    """A network address to listen on or to connect to."""

    host: str
    port: int


# How many servers share the idempotency keys of a class, by the class's `Group` in the settings.
KEY_SCOPE_RANKS = {"cell": 1, "zone": 2, "all": 3}
DEFAULT_KEY_SCOPE = "cell"


class RepeatLimits(NamedTuple):
    """How freely a request may be sent again after an attempt that may have run; lower values allow less."""

    scope_rank: float  # Value of `KEY_SCOPE_RANKS`; 0 for a class without idempotency keys
    key_ttl_ms: float  # Time for which servers know an idempotency key


NO_REPEATS = RepeatLimits(0, 0.0)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class: its slot in the settings, and what a reload compares to tell if it is another one."""

    slot: int  # Index of the class in the settings' profiles, which a reload keeps
    method: str
    keyed: bool  # True if requests of the class carry an idempotency key
    repeat_limits: RepeatLimits = NO_REPEATS  # Only for classes that are keyed

    def same_semantics(self, other: RequestClass) -> bool:
        """Return whether requests of both classes are accepted and sent again under the same rules."""
        return (self.method, self.keyed, self.repeat_limits) == (
            other.method,
            other.keyed,
            other.repeat_limits,
        )


@dataclass(frozen=True, slots=True)
class WireNames:
    """The names that requests and endpoint lists use, each with its index in the settings."""

    classes: Mapping[str, RequestClass]
    tenants: Mapping[str, int]
    zones: Mapping[str, int]
    kinds: Mapping[str, int]


def stable_number(text: str) -> int:
    """Return a number below 2^53 for a text, which is the same in every process.

    The built-in `hash()` differs between processes, so that sidecars would disagree on the number of a key.
    """
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest()) % NUMBERS_BELOW


# Exceptions that the checks of values raise; each is logged as one line.
MALFORMED_ERRORS = (ValueError, TypeError, KeyError, AttributeError, OverflowError, RecursionError)


def malformed_reason(error: Exception) -> str:
    """Return the reason why a value is invalid, from one of `MALFORMED_ERRORS`."""
    if isinstance(error, KeyError):
        return f"{error.args[0]} is missing"
    if isinstance(error, AttributeError | TypeError):
        return f"value of the wrong type: {error}"
    return str(error)


@contextlib.contextmanager
def error_prefix(key: str) -> Iterator[None]:
    """Re-raise any of `MALFORMED_ERRORS` as a `ValueError` whose text starts with the key."""
    try:
        yield
    except MALFORMED_ERRORS as error:
        message = f"{key}: {malformed_reason(error)}"
        raise ValueError(message) from error


def read_names(settings: Mapping[str, Any]) -> WireNames:
    """Return the names in the settings; raise one of `MALFORMED_ERRORS` if a name is invalid."""
    rows = settings["Profiles"]
    with error_prefix("Profiles"):
        class_names = [row["Name"] for row in rows]
    valid = all(isinstance(name, str) and name for name in class_names)
    if len(set(class_names)) < len(class_names) or not valid:
        message = "Profiles: each request class needs a non-empty name that no other class has"
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
    keyed = semantics == "token"
    return RequestClass(
        slot=slot,
        method="GET" if semantics == "pure" else "POST",
        keyed=keyed,
        repeat_limits=_repeat_limits(row) if keyed else NO_REPEATS,
    )


def _repeat_limits(row: Mapping[str, Any]) -> RepeatLimits:
    """Return the limits of a keyed class; values that are not valid are reported by `balancer.settings`."""
    scope_rank = KEY_SCOPE_RANKS.get(str(row.get("Group", DEFAULT_KEY_SCOPE)), 0)
    key_ttl_ms = row.get("KeyTtl")
    return RepeatLimits(scope_rank, key_ttl_ms if isinstance(key_ttl_ms, int | float) else 0.0)


def _indices(names: Iterable[object]) -> dict[str, int]:
    return {str(name): index for index, name in enumerate(names)}


def parse_address(text: object) -> Address:
    """Return the address from a text `host:port`; raise `ValueError` if it is invalid."""
    host, separator, port = str(text).rpartition(":")
    port_is_valid = port.isascii() and port.isdigit() and int(port) < PORTS_BELOW
    if not (separator and host and port_is_valid):
        raise _not_an_address(text)
    return Address(host.strip("[]"), int(port))


def resolvable_address(text: object) -> Address:
    """Return an address to listen on or to call; raise `ValueError` if it is invalid.

    Also reject host names whose look-up would fail with other errors than network errors. Addresses of
    servers are not checked for this: a server with such a name merely can't be connected to.
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
    return ValueError(f"{text!r} is not an address in the form host:port")


def as_object(value: object, key: str = "") -> Mapping[str, Any]:
    """Return a value that is a JSON object; raise `ValueError` if it has another type."""
    if not isinstance(value, Mapping):
        message = f"{key}: expected an object" if key else "expected an object"
        raise ValueError(message)
    return value


def bounded_number(value: object, key: str, low: int = 1) -> float:
    """Return a number that is at least `low`; raise `ValueError` if it is smaller, too large or no number."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value < NUMBERS_BELOW:
        message = f"{key}: {value!r} is not a number of at least {low} and below 2^53"
        raise ValueError(message)
    return value


def non_negative_number(value: object) -> float:
    """Return a finite number that is at least 0 and may be written as text.

    Raise one of `MALFORMED_ERRORS` if the value is not such a number.
    """
    number = float(_numeric(value))
    if not math.isfinite(number) or number < 0.0:
        message = f"{value!r} is not a finite number of at least 0"
        raise ValueError(message)
    return number


def to_integer(value: object) -> int:
    """Return the integer part of a number, which may be written as text.

    Raise one of `MALFORMED_ERRORS` if the value is not a number.
    """
    return int(_numeric(value))


def _numeric(value: object) -> str | float:
    if not isinstance(value, str | int | float):
        message = f"expected a number, not {type(value).__name__}"
        raise TypeError(message)
    return value
