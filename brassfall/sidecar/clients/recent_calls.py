"""Requests that were forwarded, have no answer and must not run twice, by the ids that clients give them.

A client sends a request once more under its id only if its connection was closed before the request was
read. If one comes again after it was forwarded, since its client has left or lost the connection, it may have
run. While one process replaces another, both write the ids that they forward and answer to one file, as a
request may come again at the other process.
"""

from __future__ import annotations

import contextlib
import os
from hashlib import blake2b
from typing import TypeVar

Key = TypeVar("Key")  # type of what stands for a request: its id, or the digest of it

MAX_CALLS = 2048  # number of requests that are remembered, the latest ones
DIGEST_BYTES = 8  # size of the digest of an id in the file, in bytes
FORWARDED, ANSWERED = b"F", b"A"  # first byte of a record in the file, which the digest follows
RECORD_BYTES = 1 + DIGEST_BYTES
READ_BYTES = 1024 * RECORD_BYTES  # size of one read of the file
MAX_FILE_BYTES = 1024 * 1024  # size of the file above which no records are added


class RecentCalls:
    """The latest requests that were forwarded, are not answered and must not run twice."""

    def __init__(self) -> None:
        self._calls: dict[str, None] = {}  # ids of the requests of this process, oldest first
        self._shared: dict[bytes, None] = {}  # digests of the ids that were read from the file, oldest first
        self._file: int | None = None  # descriptor of the file while it is shared with another process
        self._read_bytes = 0  # size of the part of the file that has been read

    def add(self, call_id: str) -> None:
        """Remember a request, which is about to be forwarded."""
        if call_id not in self._calls:
            self._calls[call_id] = None
            _drop_oldest(self._calls)
            self._write(FORWARDED, call_id)

    def discard(self, call_id: str) -> None:
        """Forget a request, whose client has its answer."""
        if call_id in self._calls:
            del self._calls[call_id]
            self._write(ANSWERED, call_id)
            if self._shared:
                self._shared.pop(_digest(call_id), None)

    def __contains__(self, call_id: str) -> bool:
        """Return whether a request with this id was forwarded and has no answer, by either process."""
        self._read_file()
        return call_id in self._calls or (bool(self._shared) and _digest(call_id) in self._shared)

    def share(self, path: str) -> None:
        """Share the requests with another process by the file at `path`; no effect if it can't be opened."""
        if self._file is not None:
            return
        with contextlib.suppress(OSError):
            self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
            self._read_bytes = 0
            for call_id in self._calls:
                self._write(FORWARDED, call_id)

    def stop_sharing(self) -> None:
        """Empty and close the file, because the other process has ended."""
        if self._file is not None:
            self._read_file()
            with contextlib.suppress(OSError):
                os.ftruncate(self._file, 0)
            self.close()

    def close(self) -> None:
        """Close the file, and leave its content to the other process."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _write(self, kind: bytes, call_id: str) -> None:
        if self._file is not None and self._read_bytes < MAX_FILE_BYTES:
            with contextlib.suppress(OSError):
                os.write(self._file, kind + _digest(call_id))

    def _read_file(self) -> None:
        """Apply the records that both processes have added since the last call, in their order."""
        if self._file is None:
            return
        with contextlib.suppress(OSError):
            while len(data := os.pread(self._file, READ_BYTES, self._read_bytes)) >= RECORD_BYTES:
                for begin in range(0, len(data) - RECORD_BYTES + 1, RECORD_BYTES):
                    self._apply(data[begin : begin + RECORD_BYTES])

    def _apply(self, record: bytes) -> None:
        self._read_bytes += RECORD_BYTES
        kind, digest = record[:1], record[1:]
        if kind == FORWARDED:
            self._shared[digest] = None
            _drop_oldest(self._shared)
        else:
            self._shared.pop(digest, None)


def _drop_oldest(calls: dict[Key, None]) -> None:
    if len(calls) > MAX_CALLS:
        del calls[next(iter(calls))]


def _digest(call_id: str) -> bytes:
    return blake2b(call_id.encode("latin-1"), digest_size=DIGEST_BYTES).digest()
