"""The overrides that sidecars should act on, and the findings about a sidecar that differs. Pure code.

Which overrides are due depends on the place of a sidecar. A place is a pair of a group and a region.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeGuard

from brassfall.controlplane.overrides.document import Override
from brassfall.controlplane.overrides.findings import FindingKind

# Time after the expiry of an override for which a node may still report that it acts on the override, in ms:
# the interval between two reports, and the delay of a report.
LATE_MS = 1500
# Time after which sidecars have to act on the start, the change, or the end of an override by an operator, in
# ms.
DELIVERY_MS = 5000
DIGEST_VALID_MS = 100  # Least time for which a cached digest is used, in ms, however many overrides end
MAX_PLACES = 10_000  # Number of places whose digests are cached
MAX_ENDED = 8192  # Number of ended overrides that are remembered
MAX_NAME = 128  # Length of an override id, in characters
NEVER_MS = 1 << 62  # Unix time in ms that is never reached


@dataclass(frozen=True, slots=True)
class EndedOverride:
    """The end of an override."""

    rev: int  # Number of the last revision of the override
    at_ms: int  # Unix time at which the override ended, in ms
    by_time: bool  # True if the override expired, False if an operator ended it

    @property
    def grace_ms(self) -> int:
        """The time after the end for which a node may still report that it acts on the override."""
        return LATE_MS if self.by_time else DELIVERY_MS


@dataclass(frozen=True, slots=True)
class DueRevision:
    """The revision of an override that sidecars have to act on, and since when."""

    rev: int
    since_ms: int


@dataclass(frozen=True, slots=True)
class CachedDigest:
    """The digest that sidecars at one place should report, and until when it may be used."""

    digest: str
    until_ms: int


def digest(pairs: Iterable[tuple[str, int]]) -> str:
    """Return a short text that identifies a set of (id, revision); sidecars compute it in the same way."""
    rows = sorted(pairs)
    return f"{len(rows)}-{zlib.crc32(''.join(f'{key}:{rev};' for key, rev in rows).encode()):08x}"


def is_revision_map(acted: object) -> TypeGuard[dict[str, int]]:
    """Return whether a JSON value is a map from override ids to revisions, of limited size."""
    return (
        isinstance(acted, dict)
        and len(acted) <= MAX_ENDED
        and all(isinstance(key, str) and len(key) <= MAX_NAME for key in acted)
        and all(isinstance(rev, int) and not isinstance(rev, bool) for rev in acted.values())
    )


class ExpectedOverrides:
    """The overrides in force and those that have ended; times are Unix ms by the clock of the service."""

    def __init__(self) -> None:
        self._in_force: dict[str, Override] = {}
        self._due: dict[str, DueRevision] = {}
        self._ended: dict[str, EndedOverride] = {}  # Ends by id, oldest first
        self._digests: dict[tuple[str, str], CachedDigest] = {}  # Cached digests by (group, region)

    def publish(self, now: int, overrides: Iterable[Override]) -> None:
        """Replace the overrides in force by `overrides`, and remember the ends of those that are missing."""
        published = {override.id: override for override in overrides}
        for key, old in self._in_force.items():
            if key not in published:
                self.remember_end(key, EndedOverride(old.rev, min(now, old.until_ms), old.until_ms <= now))
        for key, override in published.items():
            previous = self._due.get(key)
            if previous is None or previous.rev != override.rev:
                self._due[key] = DueRevision(override.rev, now)
            self._ended.pop(key, None)
        self._in_force = published
        self._due = {key: due for key, due in self._due.items() if key in published}
        self._digests.clear()

    def remember_end(self, key: str, ended: EndedOverride) -> None:
        """Store the end of an override; of more than `MAX_ENDED` ends the oldest one is dropped."""
        self._ended.pop(key, None)
        self._ended[key] = ended
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def due(self, now: int, group: str, region: str) -> dict[str, int]:
        """Return the revisions that sidecars at a place have to act on, by id."""
        return {
            key: override.rev
            for key, override in self._in_force.items()
            if override.until_ms > now and override.places.includes(group, region)
        }

    def overdue(self, now: int, group: str, region: str) -> tuple[str, ...]:
        """Return the sorted ids that sidecars at a place have to act on since more than `DELIVERY_MS`."""
        due = self.due(now, group, region)
        return tuple(sorted(key for key in due if now - self._due[key].since_ms > DELIVERY_MS))

    def digest(self, now: int, group: str, region: str) -> str:
        """Return the digest that a sidecar at a place should report."""
        place = (group, region)
        cached = self._digests.get(place)
        if cached is None or now >= cached.until_ms:
            ends = (override.until_ms for override in self._in_force.values() if override.until_ms > now)
            if len(self._digests) >= MAX_PLACES:
                self._digests.clear()
            until = max(now + DIGEST_VALID_MS, min(ends, default=NEVER_MS))
            cached = CachedDigest(digest(self.due(now, group, region).items()), until)
            self._digests[place] = cached
        return cached.digest

    def compare(
        self, now: int, place: tuple[str, str], started_ms: int, acted: object
    ) -> dict[FindingKind, tuple[str, ...]]:
        """Return the findings about a node that reports the revisions `acted`, by kind, with sorted ids.

        `acted` may be any JSON value. `started_ms` is when the present process of the node reported first.
        """
        if not is_revision_map(acted):
            return {FindingKind.UNREADABLE: ()}
        findings: dict[FindingKind, list[str]] = {}
        due = self.due(now, *place)
        for key, rev in acted.items():
            kind = (
                self._not_due(now, started_ms, key, rev)
                if key not in due
                else self._other_revision(now, key, rev, due[key])
            )
            if kind is not None:
                findings.setdefault(kind, []).append(key)
        for key in due.keys() - acted.keys():
            if now - max(self._due[key].since_ms, started_ms) > DELIVERY_MS:
                findings.setdefault(FindingKind.MISSED_START, []).append(key)
        return {kind: tuple(sorted(ids)) for kind, ids in findings.items()}

    def _not_due(self, now: int, started_ms: int, key: str, rev: int) -> FindingKind | None:
        """Return the finding about an override that a node acts on although it is not due there.

        Return None for as long after its end as a node may still report it.
        """
        ended = self._end_of(now, key, rev)
        if ended is None or rev > ended.rev:
            return FindingKind.UNKNOWN_OVERRIDE
        if now - ended.at_ms <= ended.grace_ms:
            return None
        if started_ms > ended.at_ms:
            return FindingKind.OLD_STATE  # The process of the node started after the override had ended
        return FindingKind.MISSED_EXPIRY if ended.by_time else FindingKind.MISSED_END

    def _end_of(self, now: int, key: str, rev: int) -> EndedOverride | None:
        override = self._in_force.get(key)
        if override is None:
            return self._ended.get(key)
        if override.until_ms <= now:
            # The override has expired, but its end is not published yet.
            return EndedOverride(override.rev, override.until_ms, by_time=True)
        if rev < override.rev:  # The newer revision applies to other places: here the older one has ended
            return EndedOverride(rev, self._due[key].since_ms, by_time=False)
        return None

    def _other_revision(self, now: int, key: str, rev: int, due: int) -> FindingKind | None:
        if rev > due:
            return FindingKind.UNKNOWN_OVERRIDE
        late = rev < due and now - self._due[key].since_ms > DELIVERY_MS
        return FindingKind.MISSED_EXTENSION if late else None
