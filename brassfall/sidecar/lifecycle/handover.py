"""Detection of another process of the same sidecar, by locks on files in a shared folder."""

from __future__ import annotations

import fcntl
import os

from brassfall.sidecar import log
from brassfall.sidecar.config_values import stable_number

SERVING_SUFFIX, NEXT_SUFFIX = "lock", "next"
CALLS_SUFFIX = "calls"  # Suffix of the file with the requests that the processes have forwarded
# Prefix of the lock files' names. It must not change: earlier versions use the same name, and during an
# upgrade processes of both versions look at the same files.
LOCK_PREFIX = "fordtrestle-"
DEFAULT_FOLDER = "/tmp"


class FileLock:
    """An exclusive lock on a file, which the operating system releases when the process ends."""

    def __init__(self, path: str) -> None:
        """Create a lock on the file at `path` without acquiring it."""
        self.owned = False
        self._path = path
        self._file: int | None = None

    def acquire(self) -> bool:
        """Acquire the lock without waiting; return whether this process owns it.

        If the file can't be opened or locked, return True: the process then acts as if it were the only one.
        """
        try:
            if self._file is None:
                self._file = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        except OSError as error:
            if not self.owned:
                log.warning(
                    "handover: can't lock the lock file, no other process is detected",
                    file=self._path,
                    reason=error.strerror,
                    action="set TMPDIR to a writable folder",
                )
        self.owned = True
        return True

    def release(self) -> None:
        """Release the lock."""
        self.owned = False
        if self._file is not None:
            os.close(self._file)
            self._file = None


class Handover:
    """The two locks by which the processes of one sidecar detect each other.

    The process that serves owns one lock, the process that is to replace it owns the other.
    """

    def __init__(self, folder: str | None, name: str) -> None:
        """Use lock files in `folder` for the sidecar `name`; other sidecars may use the same folder."""
        path = os.path.join(folder or DEFAULT_FOLDER, f"{LOCK_PREFIX}{stable_number(name):x}.")
        self._serving = FileLock(path + SERVING_SUFFIX)
        self._next = FileLock(path + NEXT_SUFFIX)
        self.calls_path = path + CALLS_SUFFIX  # File of `RecentCalls`, while both processes run

    def other_process_runs(self) -> bool:
        """Return whether another process of this sidecar is running; this checks the locks."""
        if not self._serving.owned:
            if not self._serving.acquire():
                self._next.acquire()
                return True
            self._next.release()
        alone = self._next.acquire()
        if alone:
            self._next.release()
        return not alone

    def release(self) -> None:
        """Release both locks."""
        self._serving.release()
        self._next.release()
