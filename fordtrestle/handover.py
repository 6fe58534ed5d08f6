"""Two processes of one sidecar: a lock in the folder they share tells each of the other."""

from __future__ import annotations

import fcntl
import os

from fordtrestle.driver import log

LOCK = "fordtrestle.lock"


class Seat:
    """Held by the process that serves; free as soon as that one ends, however it does."""

    def __init__(self, folder: str | None) -> None:
        self._path = os.path.join(folder or "/tmp", LOCK)
        self._file: int | None = None

    def take(self) -> bool:
        """Take it; whether it was free. Where it can't be told, this process is held to be alone."""
        try:
            if self._file is None:
                self._file = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        except OSError as error:
            log(f"handover: {self._path}: {error.strerror}")
        return True

    def leave(self) -> None:
        """Give it up at the end."""
        if self._file is not None:
            os.close(self._file)
            self._file = None
