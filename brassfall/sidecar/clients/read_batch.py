"""Bytes of a client connection that arrived together, over several reads."""

from __future__ import annotations

import asyncio

from brassfall.sidecar import framing
from brassfall.sidecar.body import MAX_BUFFERED_BYTES


class ReadBatch:
    """Counts how many of the bytes that had arrived by some read are still unread.

    A read takes fewer bytes than a client may have sent at once. A connection that is to be closed reads and
    answers what arrived together before it closes, up to `MAX_BUFFERED_BYTES`.
    """

    __slots__ = ("_is_last", "_unread")

    def __init__(self) -> None:
        self._unread = 0  # number of unread bytes of the batch
        self._is_last = False  # True if the connection is to be closed after this batch

    @property
    def ended(self) -> bool:
        """True if all bytes of the batch have been read."""
        return self._unread <= 0

    def keep_open(self) -> None:
        """Expect further batches, because the connection is not to be closed."""
        self._is_last = False

    def end(self) -> None:
        """End the batch, because a read has emptied the socket buffer."""
        self._unread = 0

    def count_full_read(self, size: int, transport: asyncio.BaseTransport, *, closing: bool) -> None:
        """Count a read of `size` bytes, as many as it might take, so that more may have arrived.

        If the connection is `closing`, the next batch is the last.
        """
        if not self.ended:
            self._unread -= size
        elif not self._is_last:
            self._unread = min(framing.unread_bytes(transport) or 0, MAX_BUFFERED_BYTES)
            self._is_last = closing
