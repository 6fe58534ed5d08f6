"""Temporary overrides at a sidecar: until when each is acted on, and what those in force come to.

No socket and no clock of its own: times are handed in, in seconds of the sidecar's monotonic clock. What is
in force is judged at each decision by that clock alone, so that a process that was stopped, cut off, or told
late is right with its first decision. Names of the wire are in `docs/overrides.md`.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple, TypeGuard

# Two clocks whose rates are each within 1% of the true one differ by less than this. A deadline that was told
# long before is early by it, so that it is never late; telling anew takes the margin back.
DRIFT = 0.0203
RETELL_PART = 0.5  # of the time left that was told last: with less left, it is asked for anew
SLOW_S = 0.5  # an answer that took longer makes the end early by that much: it is asked for anew at once
LONGEST_MS = 25 * 3_600_000.0  # more than an override can have left: such an answer is not believed
OVERRIDES_MOST = 4096
FORGOTTEN_S = 60.0  # after its end; a late copy of an old answer is past by itself
KINDS = ("shift", "hold", "cap", "pin", "freeze")
EPS = 1e-9


def digest(pairs: Iterable[tuple[str, int]]) -> str:
    """A short word for a set of (id, revision); the list service makes the same one."""
    rows = sorted(pairs)
    return f"{len(rows)}-{zlib.crc32(''.join(f'{key}:{rev};' for key, rev in rows).encode()):08x}"


@dataclass(slots=True)
class _Told:
    """What was told of one revision; times by the sidecar's clock."""

    rev: int
    same_from: int
    low_s: float  # surely not over before then, whatever the ways took and at any rate of the two clocks
    high_s: float  # surely over then
    retell_s: float

    @property
    def end_s(self) -> float:
        """From then on it is not acted on."""
        return min(self.low_s, self.high_s)


class Deadlines:
    """Until when each override is acted on, from the times left that answers told."""

    def __init__(self, drift: float = DRIFT) -> None:
        self._drift = drift
        self._told: dict[str, list[_Told]] = {}  # newest revision first, and the one before it

    def told(
        self, asked_at_s: float, times: Mapping[str, Any], heard_at_s: float | None = None
    ) -> tuple[str, ...]:
        """An answer: `{ID: {"rev", "same_from", "left_ms"}}` to what was sent and came at these times.

        The time left is counted from the asking, so that it is never too long; when the answer was heard
        bounds it from above. The ids of what could not be read, or contradicts what was told of the same
        revision before, are returned; they change nothing."""
        heard = asked_at_s if heard_at_s is None else max(asked_at_s, heard_at_s)
        bad = []
        for key, row in times.items():
            try:
                rev, same_from, left_ms = _time(row)
            except ValueError:
                bad.append(str(key))
                continue
            low, high = left_ms / 1000.0 * (1.0 - self._drift), left_ms / 1000.0 * (1.0 + self._drift)
            retell = asked_at_s + (left_ms / 1000.0 * RETELL_PART if heard - asked_at_s < SLOW_S else 0.0)
            new = _Told(rev, same_from, asked_at_s + low, heard + high, retell)
            if not self._take(str(key), new, asked_at_s):
                bad.append(str(key))
        return tuple(bad)

    def _take(self, key: str, new: _Told, now_s: float) -> bool:
        held = self._told.get(key)
        if held is None and len(self._told) >= OVERRIDES_MOST:
            self._forget(now_s)
            if len(self._told) >= OVERRIDES_MOST:
                return False
        if held is None or new.rev > held[0].rev:
            self._told[key] = [new, *(held or [])[:1]]
        elif new.rev == held[0].rev:
            old = held[0]
            if new.low_s > old.high_s:
                return False  # a service that begins it anew, or one with another clock, prolongs nothing
            old.low_s, old.high_s = max(old.low_s, new.low_s), min(old.high_s, new.high_s)
            old.retell_s = max(old.retell_s, new.retell_s)
        return True

    def _forget(self, now_s: float) -> None:
        self._told = {k: rows for k, rows in self._told.items() if rows[0].end_s > now_s - FORGOTTEN_S}

    def acts(self, key: str, rev: int, now_s: float) -> bool:
        """Whether a revision that an edition has is to be acted on now.

        The times of a newer revision are told before the edition that has it: they count for an older one
        that says the same. Never the other way: the newer one may have been shortened."""
        for told in self._told.get(key, ()):
            if told.same_from <= rev <= told.rev:
                return now_s < told.end_s
        return False

    def active(self, now_s: float) -> tuple[str, ...]:
        """Ids whose newest revision is not over."""
        return tuple(sorted(key for key, rows in self._told.items() if now_s < rows[0].end_s))

    def digest(self, now_s: float) -> str:
        """Of those ids, with their revisions."""
        return digest((key, self._told[key][0].rev) for key in self.active(now_s))

    def next_end(self, now_s: float) -> float | None:
        """When the next of what was told is over, or None."""
        ends = (told.end_s for rows in self._told.values() for told in rows)
        return min((end for end in ends if end > now_s), default=None)

    def wants(self, now_s: float) -> bool:
        """Whether the next report should ask for the times anew, since half of one has passed."""
        newest = (rows[0] for rows in self._told.values())
        return any(told.retell_s <= now_s < told.end_s for told in newest)


def _time(row: Any) -> tuple[int, int, float]:
    if not isinstance(row, Mapping):
        raise ValueError("no object")
    rev, left = row.get("rev"), row.get("left_ms")
    same_from = row.get("same_from", rev)
    if not (_whole(rev) and _whole(same_from) and 0 < same_from <= rev):
        raise ValueError("no revision")
    if isinstance(left, bool) or not isinstance(left, int | float) or not -math.inf < left <= LONGEST_MS:
        raise ValueError("no time left")
    return rev, same_from, max(0.0, float(left))


def _whole(value: Any) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool)


# --- the layer of an edition ---------------------------------------------------------------------


class Line(NamedTuple):
    """One override as an edition has it."""

    id: str
    rev: int
    from_ms: int
    priority: int
    kind: str  # of KINDS
    spec: Any  # of that kind: a share by region; (what, name); a rate; a region; True
    cls: str | None = None
    tenant: str | None = None
    groups: frozenset[str] = frozenset()
    regions: frozenset[str] = frozenset()


def read_layer(raw: Any) -> tuple[tuple[Line, ...], tuple[str, ...]]:
    """The overrides of an edition, those that go first in front, and what this program can't read:
    the reasons of its objection to the edition."""
    lines, wrong = [], []
    if not isinstance(raw, Mapping):
        return (), ("the layer of overrides is no object",)
    for key, row in raw.items():
        try:
            lines.append(_line(str(key), row))
        except (ValueError, TypeError, AttributeError, KeyError) as error:
            wrong.append(f"override {key!r}: {error}")
    lines.sort(key=lambda line: (-line.priority, -line.from_ms, -line.rev, line.id))
    return tuple(lines), tuple(wrong)


def _line(key: str, row: Any) -> Line:
    action, match, places = row["action"], row.get("match", {}), row.get("places", {})
    kinds = [kind for kind in action if action[kind] is not None and action[kind] is not False]
    if len(kinds) != 1 or kinds[0] not in KINDS:
        raise ValueError(f"this version knows no action {' and '.join(map(str, kinds)) or 'without a name'}")
    for name, known, has in (
        ("match", {"class", "tenant"}, match),
        ("places", {"groups", "regions"}, places),
    ):
        if not set(has) <= known:
            raise ValueError(f"this version knows no {name} by {', '.join(sorted(set(has) - known))}")
    if not all(_whole(row[name]) for name in ("rev", "from_ms", "priority")):
        raise ValueError("its numbers are none")
    spec = _spec(kinds[0], action[kinds[0]])
    groups, regions = (frozenset(map(str, places.get(name, ()))) for name in ("groups", "regions"))
    cls, tenant = match.get("class"), match.get("tenant")
    return Line(
        key, row["rev"], row["from_ms"], row["priority"], kinds[0], spec, cls, tenant, groups, regions
    )


def _spec(kind: str, value: Any) -> Any:
    if kind == "shift":
        to = {str(region): float(share) for region, share in value["to"].items()}
        if not all(0.0 <= share <= 1.0 for share in to.values()):
            raise ValueError("a share is not between 0 and 1")
        return to
    if kind == "hold":
        named = [(what, str(name)) for what, name in value.items() if name is not None]
        if len(named) != 1 or named[0][0] not in ("server", "group", "region"):
            raise ValueError("this version knows no hold of " + " and ".join(what for what, _ in named))
        return named[0]
    if kind == "cap":
        rate = float(value["per_s"])
        if not 0.0 < rate < math.inf:
            raise ValueError("a cap is no rate")
        return rate
    return str(value["region"]) if kind == "pin" else True


# --- what they come to -----------------------------------------------------------------------------

Shares = Mapping[str, float]


class Place(NamedTuple):
    """Where this sidecar stands: `fleet.place`."""

    group: str = ""
    region: str = ""


class Names(NamedTuple):
    """What is known here, of the list and of the settings."""

    regions: frozenset[str] = frozenset()
    groups: frozenset[str] = frozenset()
    servers: frozenset[str] = frozenset()
    classes: frozenset[str] = frozenset()
    tenants: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Rules:
    """What the settings say of the same things; a cap is the whole fleet's."""

    shares: Shares = field(default_factory=dict)
    class_shares: Mapping[str, Shares] = field(default_factory=dict)
    tenant_shares: Mapping[str, Shares] = field(default_factory=dict)
    tenant_pins: Mapping[str, str] = field(default_factory=dict)
    held_regions: frozenset[str] = frozenset()
    held_groups: frozenset[str] = frozenset()
    held_servers: frozenset[str] = frozenset()
    caps: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Effective:
    """What settings and overrides say now, together."""

    shares: Shares = field(default_factory=dict)
    class_shares: Mapping[str, Shares] = field(default_factory=dict)
    tenant_shares: Mapping[str, Shares] = field(default_factory=dict)
    tenant_pins: Mapping[str, str] = field(default_factory=dict)  # to that region and no other
    held_regions: frozenset[str] = frozenset()
    held_groups: frozenset[str] = frozenset()
    held_servers: frozenset[str] = frozenset()
    caps: Mapping[str, float] = field(default_factory=dict)  # this sidecar's part, in requests/s
    frozen: bool = False
    acted: tuple[tuple[str, int], ...] = ()  # id and revision of all in force here, for the report
    unknown: tuple[str, ...] = ()  # names of overrides that mean nothing here
    notes: tuple[str, ...] = ()  # what is not acted on although it is in force, and why


def effective(
    now_s: float,
    settings: Rules,
    layer: Sequence[Line],
    deadlines: Deadlines,
    place: Place,
    names: Names,
    sidecars: int = 1,
) -> Effective:
    """What is to be done now, made anew from the settings and the overrides in force: nothing is undone.

    `layer` is `read_layer`'s, `sidecars` how many share a cap. It changes only when one of these
    does, or at `deadlines.next_end`."""
    lines = [line for line in layer if _here(line, place) and deadlines.acts(line.id, line.rev, now_s)]
    said: list[str] = []
    unknown: list[str] = []
    known = [line for line in lines if _known(line, names, unknown)]
    held = {
        what: _holds(what, known, of_settings, all_known, said)
        for what, of_settings, all_known in (
            ("region", settings.held_regions, names.regions),
            ("group", settings.held_groups, names.groups),
            ("server", settings.held_servers, names.servers),
        )
    }
    pins = dict(settings.tenant_pins)
    for line in reversed(known):  # the one that goes first is written last
        if line.kind == "pin" and line.tenant is not None:
            pins[line.tenant] = line.spec
    said += [
        f"tenant {t} is pinned to region {r}, which is held"
        for t, r in sorted(pins.items())
        if r in held["region"]
    ]
    shares = _shares(settings.shares, known, None, None, names, held["region"])
    by_class = {
        cls: _shares(settings.class_shares.get(cls, settings.shares), known, cls, None, names, held["region"])
        for cls in {*settings.class_shares, *(ln.cls for ln in known if ln.kind == "shift" and ln.cls)}
    }
    by_tenant = {
        tenant: _shares(
            settings.tenant_shares.get(tenant, settings.shares), known, None, tenant, names, held["region"]
        )
        for tenant in {
            *settings.tenant_shares,
            *(ln.tenant for ln in known if ln.kind == "shift" and ln.tenant),
        }
        if tenant not in pins
    }
    caps = dict(settings.caps)
    for line in known:
        if line.kind == "cap" and line.cls is not None:
            caps[line.cls] = min(caps.get(line.cls, math.inf), line.spec)
    return Effective(
        shares=shares,
        class_shares={cls: found for cls, found in by_class.items() if found},
        tenant_shares={tenant: found for tenant, found in by_tenant.items() if found},
        tenant_pins=pins,
        held_regions=held["region"],
        held_groups=held["group"],
        held_servers=held["server"],
        caps={cls: rate / max(1, sidecars) for cls, rate in caps.items()},
        frozen=any(line.kind == "freeze" for line in known),
        acted=tuple(sorted((line.id, line.rev) for line in lines)),
        unknown=tuple(unknown),
        notes=tuple(said),
    )


def _here(line: Line, place: Place) -> bool:
    groups = not line.groups or place.group in line.groups
    return groups and (not line.regions or place.region in line.regions)


def _known(line: Line, names: Names, unknown: list[str]) -> bool:
    """Whether all that an override needs is known here; names that are not are said."""
    needs = []
    if line.cls is not None:
        needs.append(("class", line.cls, names.classes))
    if line.tenant is not None:
        needs.append(("tenant", line.tenant, names.tenants))
    if line.kind == "hold":
        what, name = line.spec
        needs.append((what, name, {"region": names.regions, "group": names.groups}.get(what, names.servers)))
    if line.kind == "pin":
        needs.append(("region", line.spec, names.regions))
    strange = [f"{line.id}: {what} {name}" for what, name, among in needs if name not in among]
    if line.kind == "shift":  # the rest of it has a meaning all the same
        unknown += [f"{line.id}: region {name}" for name in sorted(line.spec) if name not in names.regions]
    unknown += strange
    return not strange


def _holds(
    what: str, lines: Sequence[Line], of_settings: frozenset[str], among: frozenset[str], said: list[str]
) -> frozenset[str]:
    """What is held off. Overrides together never hold all there is: the last of them is let go."""
    by: dict[str, str] = {}
    for line in lines:
        if line.kind == "hold" and line.spec[0] == what:
            by.setdefault(line.spec[1], line.id)
    held = of_settings | by.keys()
    free = [name for name in by if name not in of_settings]
    while free and among and among <= held:
        name = free.pop()
        held -= {name}
        said.append(f"{by[name]}: {what} {name} is not held off, since no other {what} would be left")
    return held


def _shares(
    base: Shares,
    lines: Sequence[Line],
    cls: str | None,
    tenant: str | None,
    names: Names,
    held: frozenset[str],
) -> Shares:
    """Shares over the regions after all shifts of one kind of request; empty: as without shares."""
    found = dict(base)
    # Each covers what is below it, and shows it again when it ends.
    for line in reversed(lines):
        if line.kind == "shift" and (line.cls, line.tenant) in ((None, None), (cls, tenant)):
            found = _shifted(found, line.spec, names.regions)
    open_ones = {region: share for region, share in found.items() if region not in held}
    total = sum(open_ones.values())
    return (
        {region: share / total for region, share in open_ones.items() if share > EPS} if total > EPS else {}
    )


def _shifted(base: Mapping[str, float], to: Shares, regions: frozenset[str]) -> dict[str, float]:
    """The shares that are named; what they leave goes on over the other regions as below, evenly where
    nothing is said below."""
    named = {region: share for region, share in to.items() if region in regions}
    rest = 1.0 - sum(named.values())
    if not named:
        return dict(base)
    others = {region: share for region, share in base.items() if region not in named and share > EPS}
    if not others:
        others = dict.fromkeys(sorted(regions - named.keys()), 1.0)
    total = sum(others.values())
    if rest > EPS and total > EPS:
        named |= {region: rest * share / total for region, share in others.items()}
    return named
