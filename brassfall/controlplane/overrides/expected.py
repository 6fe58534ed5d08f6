"""The overrides that sidecars should act on, by place, and the findings if one acts on others. Pure code."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeGuard

from brassfall.controlplane.overrides.document import Override
from brassfall.controlplane.overrides.findings import Kind

LATE_MS = 1500  # from an expiry, until acting on the override is a finding: a report's interval and delay
DELIVERY_MS = 5000  # from a start, a change or an end by hand, until sidecars have to act on it
FRESH_MS = 100  # for which a place's digest is used, however many overrides end
MAX_PLACES = 10_000  # whose digests are cached
MAX_ENDED = 8192  # ended overrides that are kept
MAX_NAME = 128  # characters of an id
NEVER_MS = 1 << 62


@dataclass(frozen=True, slots=True)
class Ended:
    """The end of an override: its last revision, when it ended, and whether by time or by hand."""

    rev: int
    at_ms: int
    by_time: bool

    @property
    def grace_ms(self) -> int:
        """The time for which a node may still report that it acts on it."""
        return LATE_MS if self.by_time else DELIVERY_MS


@dataclass(frozen=True, slots=True)
class Due:
    """The revision of an override that is due, and since when."""

    rev: int
    since_ms: int


@dataclass(frozen=True, slots=True)
class CachedDigest:
    """The digest of a place, and until when it is valid."""

    digest: str
    until_ms: int


def digest(pairs: Iterable[tuple[str, int]]) -> str:
    """Return a short text that identifies a set of (id, revision), the same as the sidecars'."""
    rows = sorted(pairs)
    return f"{len(rows)}-{zlib.crc32(''.join(f'{key}:{rev};' for key, rev in rows).encode()):08x}"


def readable(acted: object) -> TypeGuard[dict[str, int]]:
    """Return whether details are a map from ids to revisions."""
    return (
        isinstance(acted, dict)
        and len(acted) <= MAX_ENDED
        and all(isinstance(key, str) and len(key) <= MAX_NAME for key in acted)
        and all(isinstance(rev, int) and not isinstance(rev, bool) for rev in acted.values())
    )


class ExpectedOverrides:
    """The overrides in force and those that have ended; times are Unix ms by the service's clock."""

    def __init__(self) -> None:
        self._in_force: dict[str, Override] = {}
        self._due: dict[str, Due] = {}
        self._ended: dict[str, Ended] = {}  # oldest first
        self._digests: dict[tuple[str, str], CachedDigest] = {}

    def publish(self, now: int, overrides: Iterable[Override]) -> None:
        """Replace the overrides in force."""
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
        """Store the end of an override; the oldest end may be dropped."""
        self._ended.pop(key, None)
        self._ended[key] = ended
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def due(self, now: int, group: str, region: str) -> dict[str, int]:
        """Return the revisions due at a place, by id."""
        return {
            key: found.rev
            for key, found in self._in_force.items()
            if found.until_ms > now and found.places.includes(group, region)
        }

    def overdue(self, now: int, group: str, region: str) -> tuple[str, ...]:
        """Return the ids due at a place for longer than delivery takes, in order."""
        due = self.due(now, group, region)
        return tuple(sorted(key for key in due if now - self._due[key].since_ms > DELIVERY_MS))

    def digest(self, now: int, group: str, region: str) -> str:
        """Return the digest that a sidecar at a place should report."""
        place = (group, region)
        cached = self._digests.get(place)
        if cached is None or now >= cached.until_ms:
            ends = (found.until_ms for found in self._in_force.values() if found.until_ms > now)
            if len(self._digests) >= MAX_PLACES:
                self._digests.clear()
            until = max(now + FRESH_MS, min(ends, default=NEVER_MS))
            cached = CachedDigest(digest(self.due(now, group, region).items()), until)
            self._digests[place] = cached
        return cached.digest

    def compare(
        self, now: int, place: tuple[str, str], started_ms: int, acted: object
    ) -> dict[Kind, tuple[str, ...]]:
        """Return the findings about a node that acts on `acted` (any JSON), each kind with its ids in order.

        `started_ms` is when this process of the node reported first.
        """
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
        """Return the finding about an override that is not due at a node; None while it may be acted on."""
        ended = self._end_of(now, key, rev)
        if ended is None or rev > ended.rev:
            return Kind.STRANGE
        if now - ended.at_ms <= ended.grace_ms:
            return None
        if started_ms > ended.at_ms:
            return Kind.OLD  # this process started after the end
        return Kind.EXPIRY if ended.by_time else Kind.END

    def _end_of(self, now: int, key: str, rev: int) -> Ended | None:
        found = self._in_force.get(key)
        if found is None:
            return self._ended.get(key)
        if found.until_ms <= now:
            return Ended(found.rev, found.until_ms, by_time=True)  # ended, and not yet published
        if rev < found.rev:  # the newer revision is for other places
            return Ended(rev, self._due[key].since_ms, by_time=False)
        return None

    def _other_revision(self, now: int, key: str, rev: int, due: int) -> Kind | None:
        if rev > due:
            return Kind.STRANGE
        late = rev < due and now - self._due[key].since_ms > DELIVERY_MS
        return Kind.EXTENSION if late else None
