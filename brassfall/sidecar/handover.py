"""Two processes of one sidecar: locks in the folder they share tell each of the other."""

from __future__ import annotations

import fcntl
import os

from brassfall.sidecar.config_values import stable_number
from brassfall.sidecar.console import log

SERVES, COMES = "lock", "next"
# The name of earlier versions: during an upgrade, processes of both look at the same files.
LOCK_PREFIX = "fordtrestle-"


class Lock:
    """A file's lock; the system frees it when its holder ends, however that is."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._file: int | None = None
        self.held = False

    def take(self) -> bool:
        """Whether it is held from now on. Where that can't be told, this process is taken to be alone."""
        try:
            if self._file is None:
                self._file = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        except OSError as error:
            if not self.held:
                log(f"handover: {self._path}: {error.strerror}; name a TMPDIR that can be written")
        self.held = True
        return True

    def leave(self) -> None:
        """Free it."""
        self.held = False
        if self._file is not None:
            os.close(self._file)
            self._file = None


class Seat:
    """The place of the process that serves, and that of the one which is to replace it."""

    def __init__(self, folder: str | None, name: str) -> None:
        # Where the folder is everybody's, another sidecar's processes are no concern of this one's.
        path = os.path.join(folder or "/tmp", f"{LOCK_PREFIX}{stable_number(name):x}.")
        self._serves = Lock(path + SERVES)
        self._comes = Lock(path + COMES)

    def shared(self) -> bool:
        """Whether another process of this sidecar lives. Looks again each time it is asked."""
        if not self._serves.held:
            if not self._serves.take():
                self._comes.take()
                return True
            self._comes.leave()
        free = self._comes.take()
        if free:
            self._comes.leave()
        return not free

    def leave(self) -> None:
        """Give the place up at the end."""
        self._serves.leave()
        self._comes.leave()
