"""Memory of this process: how much of its limit messages may take, and how much the process itself takes.

Sizes are in bytes. The size of the process includes the files that it maps, as the platform may count them.
"""

from __future__ import annotations

import os

MESSAGE_SHARE = 0.25  # Largest share of the memory limit that the bytes of messages may take
# Largest share, for messages, of the memory that the process and its connections leave free. The rest is for
# copies while a message is passed on, and for memory that the allocator does not reuse at once.
FREE_SHARE = 0.5
MIN_MESSAGE_BYTES = 256 * 1024  # Memory for messages in a process whose limit leaves less than this
# Memory of a client connection, with one read of the shortest requests that are rejected and wait for their
# turn, and of a request with its connection to a server, each apart from what is reserved for messages.
CLIENT_CONNECTION_BYTES = 8 * 1024
OPEN_REQUEST_BYTES = 8 * 1024
PROCESS_MEMORY_FILE = "/proc/self/statm"  # File of Linux with the sizes of this process, in pages


def resident_bytes() -> int:
    """Return the resident memory of this process, with mapped files; 0 if the system does not state it."""
    try:
        with open(PROCESS_MEMORY_FILE, encoding="ascii") as file:
            resident_pages = file.read().split()[1]
    except (OSError, IndexError):
        return 0
    return int(resident_pages) * os.sysconf("SC_PAGE_SIZE")


def message_limit(memory: int, process: int, *, client_connections: int, open_requests: int) -> int:
    """Return how much memory messages may take in a process with a limit of `memory` bytes.

    `process` is the size of the process before it serves clients. It may have `client_connections`, and
    `open_requests` on them.
    """
    connections = client_connections * CLIENT_CONNECTION_BYTES + open_requests * OPEN_REQUEST_BYTES
    free = int((memory - process - connections) * FREE_SHARE)
    return min(int(memory * MESSAGE_SHARE), max(MIN_MESSAGE_BYTES, free))
