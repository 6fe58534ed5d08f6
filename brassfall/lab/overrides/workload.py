"""Random overrides, as operators write them."""

from __future__ import annotations

import random

from brassfall.controlplane.overrides import document as doc
from brassfall.controlplane.overrides.document import Document, Override

REGIONS, TENANTS, CLASSES = ("a", "b", "c"), ("t1", "t2"), ("c1", "c2")
IDS = tuple(f"o{number}" for number in range(6))
LENGTHS_MS = (800.0, 4000.0, 15_000.0, 60_000.0)
SAME_CONTENT_SHARE = 0.6  # of the writes to an existing override


def random_document(rng: random.Random, now_ms: int, current: Override | None) -> Document:
    """Return a random override; often with the content of the current one of the same id."""
    action, match = _random_content(rng)
    if current is not None and rng.random() < SAME_CONTENT_SHARE:
        action, match = current.action, current.match
    places = doc.Places(regions=(rng.choice(REGIONS),)) if rng.random() < 0.2 else doc.Places()
    until_ms = now_ms + int(rng.choice(LENGTHS_MS) * rng.uniform(0.5, 1.5))
    return Document(
        action=action,
        match=match,
        places=places,
        by="op",
        why="drawn",
        until_ms=until_ms,
        priority=rng.choice((0, 0, 5)),
    )


def _random_content(rng: random.Random) -> tuple[doc.Action, doc.Match]:
    kind = rng.choice(("hold", "hold", "pin", "pin", "shift", "cap", "freeze"))
    if kind == "hold":
        return doc.Action(hold=doc.Hold(region=rng.choice(REGIONS))), doc.Match()
    if kind == "pin":
        pin = doc.Pin(rng.choice(REGIONS))
        return doc.Action(pin=pin), doc.Match(tenant=rng.choice(TENANTS))
    if kind == "shift":
        return doc.Action(shift=doc.Shift({rng.choice(REGIONS): 1.0})), doc.Match(tenant="t1")
    if kind == "cap":
        cap = doc.Cap(rng.choice((50.0, 80.0)))
        return doc.Action(cap=cap), doc.Match(cls=rng.choice(CLASSES))
    return doc.Action(freeze=True), doc.Match()


def extended(current: Override, until_ms: int) -> Document:
    """Return the document of an override with another end."""
    fields = {name: getattr(current, name) for name in Document.__struct_fields__}
    return Document(**{**fields, "until_ms": until_ms})
