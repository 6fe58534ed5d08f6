"""The content of a configuration revision: its layers, and the keys of its settings.

Every key of the settings is declared here. Two values of an *exclusive* key do harm at the same time (which
region serves a tenant, which regions are held); the sum over all sidecars of an *additive* key must not be
exceeded; two values of a *free* key may be acted on at the same time. An undeclared key counts as exclusive,
and a sidecar that does not know it objects. Sidecars have the same table in `sidecar/agent/rules.py`; a test
compares the two.
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
    "Profiles": KeyKind.FREE,  # rows by `Name`: the amounts of classes, as in a sidecar's settings
    "PolicyLimits": KeyKind.FREE,  # attempts, waits: as in a sidecar's settings
    "shares": KeyKind.FREE,  # {GROUP: {REGION: share}}
    "caps": KeyKind.ADDITIVE,  # {CLASS: requests a second of the whole fleet}
    "regions": KeyKind.EXCLUSIVE,  # {"held": [REGION, ...]}
    "tenants": KeyKind.EXCLUSIVE,  # {TENANT: the one REGION that serves it}
    "affinity": KeyKind.EXCLUSIVE,
    "floor": KeyKind.FREE,  # the fallback configuration's exclusive keys, for sidecars without a lease
}


def kind_of(key: str) -> KeyKind:
    """Return the declared kind of a key; the strictest one if it is not declared."""
    return KEYS.get(key, KeyKind.EXCLUSIVE)


class Revision(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={"epoch": "life", "plan_revision": "plan_edition"},
):
    """One immutable, numbered configuration; number 0 stands for each sidecar's own file.

    It is stored under the names that `rename` gives.
    """

    number: int = 0
    epoch: int = 0  # of the service that numbered it
    follows: int = 0  # the number of the newest revision before it
    list_index: int = 0  # of the list of servers, when it was published
    settings: dict[str, Any] = {}
    plan: dict[str, Any] | None = None
    plan_revision: int = 0  # the revision that stated the plan, whose age counts from there
    overrides: list[dict[str, Any]] = []
    forced: bool = False  # published although it is harmful
    layers: list[str] = []  # the layers that it states itself; the others are from the revision before
