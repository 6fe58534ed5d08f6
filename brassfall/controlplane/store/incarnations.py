"""The first index of an incarnation of the service, above those of all earlier ones. Pure code."""

from __future__ import annotations

INDEXES_PER_MS = 1024  # more than the average changes of an incarnation
RANDOM_BITS = 30  # of `first_index`


def index_at(unix_s: float) -> int:
    """Return the least index of an incarnation that begins at a Unix time.

    It is above all indexes of an earlier one that made fewer than `INDEXES_PER_MS` changes a millisecond, and
    below 2^53 for some two hundred years.
    """
    return int(unix_s * 1000.0) * INDEXES_PER_MS


def first_index(unix_s: float, last: int, random_bits: int) -> int:
    """Return the least index of an incarnation that begins at a Unix time on a store with the index `last`.

    `random_bits` is a random number below 2^`RANDOM_BITS`. If the clock is behind the store, it is the
    number of indexes that are left out: a second service that is started on a copy of the store by mistake
    would otherwise use the same indexes for other changes.
    """
    index = index_at(unix_s) + random_bits % INDEXES_PER_MS
    return index if index > last else last + 1 + random_bits
