"""The documents of temporary overrides, and their checks. Pure code.

`docs/overrides.md` describes the wire form. An `Override` is one revision of such a document in the override
store; its end is a point in time.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from brassfall.errors import RequestError

# Longest duration of an override, in ms: a change that has to last longer belongs into the settings.
MAX_LENGTH_MS = 24 * 3_600_000
NAME = re.compile(r"[A-Za-z0-9._:-]{1,128}\Z")
TEXT_MOST = 500  # Longest text of `by` and of `why` in a document, in characters
MAX_PLACES = 256  # Largest number of groups, of regions, or of regions of a shift in a document
MAX_PRIORITY = 1000
MAX_CAP_PER_S = 1e9
# What the `match` of a document has to name for each kind of action; "" means that it has to be empty. For a
# shift any `match` is allowed.
MATCH_NEEDED = {"hold": "", "freeze": "", "cap": "class", "pin": "tenant"}
SUM_SLACK = 1e-6  # Allowed rounding error of a sum of shares that are written as decimals


class BadOverrideError(RequestError):
    """A malformed override document (status 400)."""

    action = "Correct the document as the reason says, and send it again; docs/overrides.md has its form."


class Shift(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The shares of requests by region; what is missing to 1 is distributed as without the override."""

    to: dict[str, float]


class Hold(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """The server, group or region that gets no requests; exactly one field is set."""

    server: str | None = None
    group: str | None = None
    region: str | None = None


class Cap(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The cap of a request class: a rate for the whole fleet, in requests/s."""

    per_s: float


class Pin(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The one region that serves a tenant."""

    region: str


class Action(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """The action of an override; exactly one field is set."""

    shift: Shift | None = None
    hold: Hold | None = None
    cap: Cap | None = None
    pin: Pin | None = None
    freeze: bool = False

    @property
    def kinds(self) -> list[str]:
        """The names of the fields that are set."""
        return [name for name in self.__struct_fields__ if getattr(self, name)]


class Match(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """The requests to which an override applies: those of one class, of one tenant, or all."""

    cls: str | None = msgspec.field(name="class", default=None)
    tenant: str | None = None


class Places(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """The groups and regions whose sidecars act on an override; an empty field means all of them."""

    groups: tuple[str, ...] = ()
    regions: tuple[str, ...] = ()

    def includes(self, group: str, region: str) -> bool:
        """Return whether a sidecar of `group` in `region` acts on the override."""
        return (not self.groups or group in self.groups) and (not self.regions or region in self.regions)


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The body of `PUT /overrides/ID`; `until_ms` is a Unix time by the clock of the service."""

    action: Action
    match: Match = Match()
    places: Places = Places()
    by: str
    why: str
    until_ms: int
    priority: int = 0

    @property
    def content(self) -> tuple[Action, Match, Places, int]:
        """The part of the document that sidecars act on: all fields but `by`, `why` and `until_ms`."""
        return self.action, self.match, self.places, self.priority


class Override(Document, frozen=True, kw_only=True):
    """One revision of an override.

    The revisions of all ids share one sequence of numbers that only grows, also after deletions and restarts.
    """

    id: str
    rev: int
    same_from: int  # Number of the oldest revision from which on the content has not changed
    from_ms: int  # Unix time at which the override was started, in ms

    @property
    def document(self) -> Document:
        """The document that the operator sent."""
        return Document(**{name: getattr(self, name) for name in Document.__struct_fields__})


def parse_document(override_id: str, body: bytes | str, now_ms: int) -> Document:
    """Return the document in the body of a call at `now_ms`; raise `BadOverrideError` if it is not valid."""
    summary = f"override {override_id!r} is not taken"
    if not NAME.match(override_id):
        raise BadOverrideError(summary, "an id is 1 to 128 letters, digits, '.', '_', ':' or '-'")
    try:
        document = msgspec.json.decode(body, type=Document, strict=True)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:  # DecodeError includes ValidationError
        raise BadOverrideError(summary, str(error)) from error
    except RecursionError as error:
        raise BadOverrideError(summary, "it is nested too deep") from error
    fault = next(faults(document, now_ms), "")
    if fault:
        raise BadOverrideError(summary, fault)
    return document


def faults(document: Document, now_ms: int) -> Iterator[str]:
    """Yield one line of text for each fault of a decoded document."""
    yield from _action_faults(document.action, document.match)
    for name, text in (("by", document.by), ("why", document.why)):
        if not text.strip() or len(text) > TEXT_MOST:
            yield f"`{name}` has to have 1 to {TEXT_MOST} characters"
    for name, places in (("groups", document.places.groups), ("regions", document.places.regions)):
        if len(places) > MAX_PLACES or not all(map(NAME.match, places)):
            yield f"`places.{name}` has to be at most {MAX_PLACES} names"
    if abs(document.priority) > MAX_PRIORITY:
        yield f"`priority` has to be between -{MAX_PRIORITY} and {MAX_PRIORITY}"
    left = document.until_ms - now_ms
    if left <= 0:
        yield f"`until_ms` is past by {-left} ms; it is {now_ms} here"
    if left > MAX_LENGTH_MS:
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
    elif action.cap is not None and not 0.0 < action.cap.per_s <= MAX_CAP_PER_S:
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
    """Yield a fault unless `match` names exactly what an action of this kind needs."""
    if kind not in MATCH_NEEDED:
        return
    named = {name for name, value in (("class", match.cls), ("tenant", match.tenant)) if value is not None}
    need = MATCH_NEEDED[kind]
    if named != ({need} if need else set()):
        yield f"`match` of a {kind} has to name " + (f"a {need} and nothing else" if need else "nothing")


def _share_faults(to: dict[str, float]) -> Iterator[str]:
    if not 1 <= len(to) <= MAX_PLACES or not all(map(NAME.match, to)):
        yield f"`action.shift.to` has to be 1 to {MAX_PLACES} regions"
    elif not all(math.isfinite(share) and 0.0 <= share <= 1.0 for share in to.values()):
        yield "a share of `action.shift.to` is not between 0 and 1"
    elif sum(to.values()) > 1.0 + SUM_SLACK:
        yield f"the shares of `action.shift.to` add up to {sum(to.values()):g}, which is over 1"


def listing_row(override: Override, now_ms: int) -> dict[str, Any]:
    """Return an override in the form that answers and listings have, with the time left in ms."""
    row: dict[str, Any] = msgspec.to_builtins(override)
    return {"id": override.id, **row, "left_ms": max(0, override.until_ms - now_ms)}


def overrides_layer(overrides: Iterable[Override]) -> list[dict[str, Any]]:
    """Return the overrides layer of a configuration revision.

    The layer has no times left, since a revision is in use for longer than they are valid: they are sent with
    each answer to a report.
    """
    names = ("id", "rev", "from_ms", "priority", "action", "match", "places")
    return [{name: msgspec.to_builtins(getattr(override, name)) for name in names} for override in overrides]


def times_left(overrides: Iterable[Override], now_ms: int, newest: int = 0) -> dict[str, dict[str, int]]:
    """Return the times left of overrides by id, in ms, for the answer to a report.

    `newest` is the newest override revision that the sidecar has received, or 0. Overrides up to that
    revision are left out: the sidecar knows them, because all ids share one sequence of revisions.
    """
    return {
        override.id: {
            "rev": override.rev,
            "same_from": override.same_from,
            "left_ms": override.until_ms - now_ms,
        }
        for override in overrides
        if override.rev > newest
    }
