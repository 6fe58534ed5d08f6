"""The first index of an incarnation of the service, above all indexes of earlier ones. Pure code."""

from __future__ import annotations

# Number of indexes for each ms of an incarnation's life: more than the changes that it makes on average.
INDEXES_PER_MS = 1024
RANDOM_BITS = 30  # Size of the random number that `first_index` takes, in bits


def index_at(unix_s: float) -> int:
    """Return the least index of an incarnation that begins at a Unix time in seconds.

    It is above all indexes of an earlier incarnation that made fewer than `INDEXES_PER_MS` changes per ms on
    average. It stays below 2^53, which JSON readers keep exact, for about two hundred years.
    """
    return int(unix_s * 1000.0) * INDEXES_PER_MS


def first_index(unix_s: float, last: int, random_bits: int) -> int:
    """Return the least index of an incarnation that begins at a Unix time on a store with the index `last`.

    `random_bits` is a random number below 2^`RANDOM_BITS`. If the clock is behind the store, this many
    indexes are skipped: otherwise a second service that is started by mistake on a copy of the store would
    use the same indexes for other changes.
    """
    index = index_at(unix_s) + random_bits % INDEXES_PER_MS
    return index if index > last else last + 1 + random_bits
