"""What an operator writes to override the rules for a while, checked. Pure code.

The wire form is in `docs/overrides.md`. An `Override` is one revision of such a document as the override
store has it: frozen, with the absolute end of its row.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from brassfall.errors import RequestError

LONGEST_MS = 24 * 3_600_000  # a measure that lasts longer belongs into the settings
NAME = re.compile(r"[A-Za-z0-9._:-]{1,128}\Z")
TEXT_MOST = 500  # characters of `by` and of `why`
PLACES_MOST = 256  # groups, regions, and regions of a shift
PRIORITY_MOST = 1000
CAP_MOST_PER_S = 1e9
MATCH_NEEDED = {"hold": "", "freeze": "", "cap": "class", "pin": "tenant"}  # a shift takes any match
SUM_SLACK = 1e-6  # shares that add up to one, written as decimals


class BadOverrideError(RequestError):
    """A document that can't be an override (400)."""

    action = "Mend the document as the reason says, and send it again; docs/overrides.md has its form."


class Shift(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shares of the requests by region; what is left of one goes on as without this override."""

    to: dict[str, float]


class Hold(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Hold off one of these."""

    server: str | None = None
    group: str | None = None
    region: str | None = None


class Cap(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole fleet's most for a class."""

    per_s: float


class Pin(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant is served by this region, and by no other."""

    region: str


class Action(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """What is done: exactly one of these."""

    shift: Shift | None = None
    hold: Hold | None = None
    cap: Cap | None = None
    pin: Pin | None = None
    freeze: bool = False

    @property
    def kinds(self) -> list[str]:
        """Which of them are there."""
        return [name for name in self.__struct_fields__ if getattr(self, name)]


class Match(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Whose requests: one class, one tenant, or all."""

    cls: str | None = msgspec.field(name="class", default=None)
    tenant: str | None = None


class Places(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """At which sidecars, by where they stand; empty is everywhere."""

    groups: tuple[str, ...] = ()
    regions: tuple[str, ...] = ()

    def holds(self, group: str, region: str) -> bool:
        """Whether a sidecar that stands there is meant."""
        return (not self.groups or group in self.groups) and (not self.regions or region in self.regions)


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The body of `PUT /overrides/ID`; `until_ms` is Unix time by the service's clock."""

    action: Action
    match: Match = Match()
    places: Places = Places()
    by: str
    why: str
    until_ms: int
    priority: int = 0

    @property
    def content(self) -> tuple[Action, Match, Places, int]:
        """What sidecars act on; the rest says who, why and how long."""
        return self.action, self.match, self.places, self.priority


class Override(Document, frozen=True, kw_only=True):
    """One revision. Revisions of all ids share numbers that only grow, over deletes and restarts too."""

    id: str
    rev: int
    same_from: int  # the oldest revision, without an end in between, that says the same
    from_ms: int  # of the first revision without an end in between

    @property
    def document(self) -> Document:
        """What the operator wrote."""
        return Document(**{name: getattr(self, name) for name in Document.__struct_fields__})


def parse(override_id: str, body: bytes | str, now_ms: int) -> Document:
    """The document that an operator sent at a time of the service; `BadOverrideError` says what is wrong."""
    what = f"override {override_id!r} is not taken"
    if not NAME.match(override_id):
        raise BadOverrideError(what, "an id is 1 to 128 letters, digits, '.', '_', ':' or '-'")
    try:
        document = msgspec.json.decode(body, type=Document, strict=True)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:  # ValidationError is one of the first
        raise BadOverrideError(what, str(error)) from error
    except RecursionError as error:
        raise BadOverrideError(what, "it is nested too deep") from error
    wrong = next(faults(document, now_ms), "")
    if wrong:
        raise BadOverrideError(what, wrong)
    return document


def faults(document: Document, now_ms: int) -> Iterator[str]:
    """Why a document can't be meant, one reason at a time."""
    yield from _action_faults(document.action, document.match)
    for name, text in (("by", document.by), ("why", document.why)):
        if not text.strip() or len(text) > TEXT_MOST:
            yield f"`{name}` has to have 1 to {TEXT_MOST} characters"
    for name, places in (("groups", document.places.groups), ("regions", document.places.regions)):
        if len(places) > PLACES_MOST or not all(map(NAME.match, places)):
            yield f"`places.{name}` has to be at most {PLACES_MOST} names"
    if abs(document.priority) > PRIORITY_MOST:
        yield f"`priority` has to be between -{PRIORITY_MOST} and {PRIORITY_MOST}"
    left = document.until_ms - now_ms
    if left <= 0:
        yield f"`until_ms` is past by {-left} ms; it is {now_ms} here"
    if left > LONGEST_MS:
        yield f"`until_ms` is {left / 3.6e6:.1f} h off, and 24 h are the most; what lasts longer is a setting"


def _action_faults(action: Action, match: Match) -> Iterator[str]:
    kinds = action.kinds
    if len(kinds) != 1:
        yield f"`action` names {len(kinds)} of shift, hold, cap, pin and freeze, not exactly one"
        return
    yield from _match_faults(match)
    if action.shift is not None:
        yield from _share_faults(action.shift.to)
    elif action.hold is not None:
        yield from _hold_faults(action.hold)
    elif action.cap is not None and not 0.0 < action.cap.per_s <= CAP_MOST_PER_S:
        yield "`action.cap.per_s` has to be over 0 and at most 1e9; to shut a class off is a setting"
    elif action.pin is not None and not NAME.match(action.pin.region):
        yield "`action.pin.region` is no name"
    yield from _pairing_faults(kinds[0], match)


def _match_faults(match: Match) -> Iterator[str]:
    if match.cls is not None and match.tenant is not None:
        yield "`match` names a class and a tenant; only one of them can be meant"
    for name, value in (("class", match.cls), ("tenant", match.tenant)):
        if value is not None and not NAME.match(value):
            yield f"`match.{name}` is no name"


def _hold_faults(hold: Hold) -> Iterator[str]:
    named = [name for name in (hold.server, hold.group, hold.region) if name is not None]
    if len(named) != 1 or not NAME.match(named[0]):
        yield "`action.hold` has to name exactly one server, group or region"


def _pairing_faults(kind: str, match: Match) -> Iterator[str]:
    """Whether the match names what an action of this kind needs, and nothing else."""
    if kind not in MATCH_NEEDED:
        return
    named = {name for name, value in (("class", match.cls), ("tenant", match.tenant)) if value is not None}
    need = MATCH_NEEDED[kind]
    if named != ({need} if need else set()):
        yield f"`match` of a {kind} has to name " + (f"a {need} and nothing else" if need else "nothing")


def _share_faults(to: dict[str, float]) -> Iterator[str]:
    if not 1 <= len(to) <= PLACES_MOST or not all(map(NAME.match, to)):
        yield f"`action.shift.to` has to be 1 to {PLACES_MOST} regions"
    elif not all(math.isfinite(share) and 0.0 <= share <= 1.0 for share in to.values()):
        yield "a share of `action.shift.to` is not between 0 and 1"
    elif sum(to.values()) > 1.0 + SUM_SLACK:
        yield f"the shares of `action.shift.to` add up to {sum(to.values()):g}, which is over 1"


def listing(override: Override, now_ms: int) -> dict[str, Any]:
    """The form of answers and listings, with the time left."""
    found: dict[str, Any] = msgspec.to_builtins(override)
    return {"id": override.id, **found, "left_ms": max(0, override.until_ms - now_ms)}


def layer(overrides: Iterable[Override]) -> list[dict[str, Any]]:
    """The overrides layer of a configuration revision: what sidecars act on, and nothing about time.

    Times left are sent apart from it, with each answer, since a revision lasts longer than they hold."""
    names = ("id", "rev", "from_ms", "priority", "action", "match", "places")
    return [{name: msgspec.to_builtins(getattr(found, name)) for name in names} for found in overrides]


def times_left(overrides: Iterable[Override], now_ms: int, newest: int = 0) -> dict[str, dict[str, int]]:
    """The time left of overrides in force, by id, for the answer to a report; each in ms.

    Only of revisions after the newest that the sidecar has received, as it reports: revisions of all ids grow
    together. 0 gives all, for a sidecar that asks for all times or is to get them once more."""
    return {
        found.id: {"rev": found.rev, "same_from": found.same_from, "left_ms": found.until_ms - now_ms}
        for found in overrides
        if found.rev > newest
    }
