"""The content of a configuration revision: its layers, and the keys of its settings.

Every key of the settings is declared here as one of three kinds:

- *exclusive*: it does harm if two sidecars act on two values at the same time, for example on two regions
  that serve one tenant;
- *additive*: its value is a limit on the sum over all sidecars;
- *free*: sidecars may act on different values at the same time.

An undeclared key counts as exclusive, and a sidecar that does not know a key objects to the revision. The
sidecars have the same table in `sidecar/agent/rules.py`; a test compares the two.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import Any

import msgspec

LAYERS = ("settings", "plan", "overrides")


class KeyKind(StrEnum):
    """What happens if two sidecars act on two values of a key at the same time."""

    EXCLUSIVE = "exclusive"
    ADDITIVE = "additive"
    FREE = "free"


KEYS: Mapping[str, KeyKind] = {
    "Profiles": KeyKind.FREE,  # Profiles of request classes by `Name`, in the form of a sidecar's settings
    "PolicyLimits": KeyKind.FREE,  # Limits on attempts and waits, in the form of a sidecar's settings
    "shares": KeyKind.FREE,  # Share of requests by group and region: {GROUP: {REGION: share}}
    "caps": KeyKind.ADDITIVE,  # Cap of a request class, in requests/s of the whole fleet: {CLASS: rate}
    "regions": KeyKind.EXCLUSIVE,  # Regions that get no requests: {"held": [REGION, ...]}
    "tenants": KeyKind.EXCLUSIVE,  # The one region that serves a tenant: {TENANT: REGION}
    "affinity": KeyKind.EXCLUSIVE,
    "floor": KeyKind.FREE,  # Exclusive keys of the fallback configuration, for sidecars without a lease
}


def kind_of(key: str) -> KeyKind:
    """Return the declared kind of a settings key; an undeclared key is exclusive, the strictest kind."""
    return KEYS.get(key, KeyKind.EXCLUSIVE)


class Revision(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={"epoch": "life", "plan_revision": "plan_edition"},
):
    """One immutable, numbered configuration; number 0 stands for the settings file of each sidecar.

    `rename` gives the names of fields that have another name in stored data and on the wire.
    """

    number: int = 0
    epoch: int = 0  # Epoch of the service that numbered this revision
    follows: int = 0  # Number of the newest revision when this one was published
    list_index: int = 0  # Index of the list of servers when this revision was published
    settings: dict[str, Any] = {}
    plan: dict[str, Any] | None = None
    plan_revision: int = 0  # Number of the revision that stated the plan: the age of the plan counts from it
    overrides: list[dict[str, Any]] = []
    forced: bool = False  # True if the revision was published although its settings are harmful
    layers: list[
        str
    ] = []  # Names of the layers that the publisher stated; others are those of the previous one
