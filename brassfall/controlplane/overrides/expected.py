"""Which overrides sidecars are to act on, by place, and what it is when one acts on others. Pure code."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from brassfall.controlplane.overrides.document import Override
from brassfall.controlplane.overrides.findings import Kind

LATE_MS = 1500  # past its end by this, counting a report's interval and its way: an expiry was missed
DELIVERY_MS = 5000  # what a start, a change or an end by hand may take until it is acted on
FRESH_MS = 100  # a place's digest is not made anew sooner, however many end
PLACES_MOST = 10_000  # whose digests are cached
ENDED_MOST = 8192  # ended overrides that are remembered
NAME_MOST = 128  # characters of an id
NEVER_MS = 1 << 62


@dataclass(frozen=True, slots=True)
class Ended:
    """An override that is over: its last revision, when it ended, and whether by time or by hand."""

    rev: int
    at_ms: int
    by_time: bool

    @property
    def grace_ms(self) -> int:
        """How long after its end a node may still report that it acts on it."""
        return LATE_MS if self.by_time else DELIVERY_MS


@dataclass(frozen=True, slots=True)
class Due:
    """A revision that is due, and since when."""

    rev: int
    since_ms: int


@dataclass(frozen=True, slots=True)
class CachedDigest:
    """The digest of a place, and until when it is right."""

    digest: str
    until_ms: int


def digest(pairs: Iterable[tuple[str, int]]) -> str:
    """A short text for a set of (id, revision); sidecars make the same one."""
    rows = sorted(pairs)
    return f"{len(rows)}-{zlib.crc32(''.join(f'{key}:{rev};' for key, rev in rows).encode()):08x}"


def readable(acted: Any) -> bool:
    """Whether details are a map from ids to revisions."""
    return (
        isinstance(acted, dict)
        and len(acted) <= ENDED_MOST
        and all(isinstance(key, str) and len(key) <= NAME_MOST for key in acted)
        and all(isinstance(rev, int) and not isinstance(rev, bool) for rev in acted.values())
    )


class ExpectedOverrides:
    """What is in force, since when, and what was; times are Unix ms by the service's clock."""

    def __init__(self) -> None:
        self._in_force: dict[str, Override] = {}
        self._due: dict[str, Due] = {}
        self._ended: dict[str, Ended] = {}  # oldest first
        self._digests: dict[tuple[str, str], CachedDigest] = {}

    def publish(self, now: int, overrides: Iterable[Override]) -> None:
        """These are in force from now on, and no others."""
        published = {found.id: found for found in overrides}
        for key, old in self._in_force.items():
            if key not in published:
                self.remember_end(key, Ended(old.rev, min(now, old.until_ms), old.until_ms <= now))
        for key, found in published.items():
            before = self._due.get(key)
            if before is None or before.rev != found.rev:
                self._due[key] = Due(found.rev, now)
            self._ended.pop(key, None)
        self._in_force = published
        self._due = {key: due for key, due in self._due.items() if key in published}
        self._digests.clear()

    def remember_end(self, key: str, ended: Ended) -> None:
        """An override has ended; the oldest may be forgotten for it."""
        self._ended.pop(key, None)
        self._ended[key] = ended
        if len(self._ended) > ENDED_MOST:
            del self._ended[next(iter(self._ended))]

    def due(self, now: int, group: str, region: str) -> dict[str, int]:
        """Id to revision of what is due at a place."""
        return {
            key: found.rev
            for key, found in self._in_force.items()
            if found.until_ms > now and found.places.holds(group, region)
        }

    def overdue(self, now: int, group: str, region: str) -> tuple[str, ...]:
        """What is due at a place for longer than its delivery takes, in order."""
        due = self.due(now, group, region)
        return tuple(sorted(key for key in due if now - self._due[key].since_ms > DELIVERY_MS))

    def digest(self, now: int, group: str, region: str) -> str:
        """The digest that a sidecar at a place is to report."""
        place = (group, region)
        cached = self._digests.get(place)
        if cached is None or now >= cached.until_ms:
            ends = (found.until_ms for found in self._in_force.values() if found.until_ms > now)
            if len(self._digests) >= PLACES_MOST:
                self._digests.clear()
            until = max(now + FRESH_MS, min(ends, default=NEVER_MS))
            cached = CachedDigest(digest(self.due(now, group, region).items()), until)
            self._digests[place] = cached
        return cached.digest

    def compare(
        self, now: int, place: tuple[str, str], started_ms: int, acted: Any
    ) -> dict[Kind, tuple[str, ...]]:
        """What is wrong with a node that acts on this (any JSON), each kind with its ids in order.

        `started_ms` is when this run of the node was first heard of."""
        if not readable(acted):
            return {Kind.UNREADABLE: ()}
        wrong: dict[Kind, list[str]] = {}
        due = self.due(now, *place)
        for key, rev in acted.items():
            kind = (
                self._not_due(now, started_ms, key, rev)
                if key not in due
                else self._other_revision(now, key, rev, due[key])
            )
            if kind is not None:
                wrong.setdefault(kind, []).append(key)
        for key in due.keys() - acted.keys():
            if now - max(self._due[key].since_ms, started_ms) > DELIVERY_MS:
                wrong.setdefault(Kind.START, []).append(key)
        return {kind: tuple(sorted(ids)) for kind, ids in wrong.items()}

    def _not_due(self, now: int, started_ms: int, key: str, rev: int) -> Kind | None:
        """What it is that a node acts on something that is not due there; None while it may."""
        ended = self._end_of(now, key, rev)
        if ended is None or rev > ended.rev:
            return Kind.STRANGE
        if now - ended.at_ms <= ended.grace_ms:
            return None
        if started_ms > ended.at_ms:
            return Kind.OLD  # this run of it began after the end
        return Kind.EXPIRY if ended.by_time else Kind.END

    def _end_of(self, now: int, key: str, rev: int) -> Ended | None:
        found = self._in_force.get(key)
        if found is None:
            return self._ended.get(key)
        if found.until_ms <= now:
            return Ended(found.rev, found.until_ms, by_time=True)  # over, and not yet published
        if rev < found.rev:  # the revision after it is for other places
            return Ended(rev, self._due[key].since_ms, by_time=False)
        return None

    def _other_revision(self, now: int, key: str, rev: int, due: int) -> Kind | None:
        if rev > due:
            return Kind.STRANGE
        late = rev < due and now - self._due[key].since_ms > DELIVERY_MS
        return Kind.EXTENSION if late else None
