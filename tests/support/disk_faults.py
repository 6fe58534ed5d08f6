"""A simulated disk for the durable log: an SQLite VFS whose reads, writes, syncs and opens can fail.

The `sqlite3` module of the standard library can't use a VFS of Python code; `apsw`, which has its own SQLite,
can. `Disk` is the VFS, and `Disk.connect` is the function that `Log` takes to open its file. The connections
raise `sqlite3.Error` as those of the standard library do, so the tests run the unchanged code of `Log`.
"""

from __future__ import annotations

import itertools
import sqlite3
from dataclasses import dataclass
from pathlib import Path

import apsw

_numbers = itertools.count()

# The exception and the result code with which SQLite reports each failing system call.
ERRORS = {
    "ENOSPC": (apsw.FullError, apsw.SQLITE_FULL),
    "EIO write": (apsw.IOError, apsw.SQLITE_IOERR_WRITE),
    "EIO sync": (apsw.IOError, apsw.SQLITE_IOERR_FSYNC),
    "EIO read": (apsw.IOError, apsw.SQLITE_IOERR_READ),
    "EIO open": (apsw.CantOpenError, apsw.SQLITE_CANTOPEN),
    "EROFS": (apsw.ReadOnlyError, apsw.SQLITE_READONLY),
}


def failure(name):
    """Return the exception that a VFS method raises to report an error of `ERRORS` to SQLite."""
    exception_type, code = ERRORS[name]
    exception = exception_type(name)
    exception.extendedresult = code
    return exception


@dataclass
class FileChange:
    """One change of a file on the disk.

    `data` was written at `offset`. Without `data` the file was truncated to `offset`; without both it was
    deleted.
    """

    file: str
    offset: int | None
    data: bytes | None


class Disk(apsw.VFS):
    """A disk that works until a test makes it fail.

    `write`, `sync`, `open` and `read` name an error of `ERRORS` with which such calls fail, or are empty;
    they stay until they are changed. `keep` is the share of the bytes of a failing write that reach the file.
    `after` is the number of writes and syncs that succeed before one fails. `failed` counts the failed writes
    and syncs. `changes` has all changes of files since `record`.
    """

    def __init__(self):
        self.name = f"disk-faults-{next(_numbers)}"
        self.write = self.sync = self.open = self.read = ""
        self.keep = 0.0
        self.after = 0
        self.failed = 0
        self.changes = None
        super().__init__(self.name, "")

    def xOpen(self, name, flags):
        if self.open:
            raise failure(self.open)
        return _File(self, name, flags)

    def xDelete(self, name, sync_folder):
        self.record_change(Path(name).name, None, None)
        super().xDelete(name, sync_folder)

    def record_change(self, file, offset, data):
        """Append a change to `changes`, if changes are recorded."""
        if self.changes is not None:
            self.changes.append(FileChange(file, offset, data))

    def repair(self):
        """Make all calls succeed from now on."""
        self.write = self.sync = self.open = self.read = ""
        self.keep, self.after = 0.0, 0

    def record(self):
        """Record each change from now on in `changes`."""
        self.changes = []

    def still_succeeds(self):
        """Return whether a write or sync is one of the `after` calls that succeed before one fails."""
        if self.after > 0:
            self.after -= 1
            return True
        self.failed += 1
        return False

    def connect(self, path, *, create):
        """Open a file on this disk; `Log` takes this method as its `connect`."""
        flags = apsw.SQLITE_OPEN_READWRITE | (apsw.SQLITE_OPEN_CREATE if create else 0)
        return _Connection(_translated(apsw.Connection, str(path), flags=flags, vfs=self.name))


class _File(apsw.VFSFile):
    def __init__(self, disk, name, flags):
        self._disk = disk
        self._name = Path(name.filename() if isinstance(name, apsw.URIFilename) else name or "").name
        super().__init__("", name, flags)

    def xRead(self, amount, offset):
        if self._disk.read:
            raise failure(self._disk.read)
        return super().xRead(amount, offset)

    def xWrite(self, data, offset):
        disk = self._disk
        if disk.write and not disk.still_succeeds():
            written_part = bytes(data)[: round(len(data) * disk.keep)]
            if written_part:
                disk.record_change(self._name, offset, written_part)
                super().xWrite(written_part, offset)
            raise failure(disk.write)
        disk.record_change(self._name, offset, bytes(data))
        super().xWrite(data, offset)

    def xTruncate(self, size):
        disk = self._disk
        if disk.write and not disk.still_succeeds():
            raise failure(disk.write)
        disk.record_change(self._name, size, None)
        super().xTruncate(size)

    def xSync(self, flags):
        if self._disk.sync and not self._disk.still_succeeds():
            raise failure(self._disk.sync)
        super().xSync(flags)


def _translated(call, *args, **named):
    """Return the result of a call of `apsw`; raise its errors as those of the standard library."""
    try:
        return call(*args, **named)
    except apsw.Error as error:
        code = getattr(error, "extendedresult", None) or getattr(error, "result", apsw.SQLITE_ERROR)
        exception_type = (
            sqlite3.IntegrityError if isinstance(error, apsw.ConstraintError) else sqlite3.OperationalError
        )
        exception = exception_type(str(error))
        exception.sqlite_errorcode = code
        raise exception from error


class _Rows:
    def __init__(self, rows):
        self._rows = iter(rows)

    def fetchone(self):
        return next(self._rows, None)

    def __iter__(self):
        return self._rows


class _Connection:
    def __init__(self, db):
        self._db = db

    def execute(self, sql, parameters=()):
        return _Rows(_translated(lambda: list(self._db.execute(sql, parameters))))

    def close(self):
        _translated(self._db.close)


def files_after(base, changes, count, last_share=1.0):
    """Return the contents of the files by name after the first `count` changes of `base`.

    `base` has the contents by name before the changes. Only the share `last_share` of the bytes of the last
    change is written, as by a torn write.
    """
    files = {name: bytearray(content) for name, content in base.items()}
    for number, change in enumerate(changes[:count], 1):
        if change.offset is None:
            files.pop(change.file, None)
            continue
        content = files.setdefault(change.file, bytearray())
        if change.data is None:
            del content[change.offset :]
            continue
        data = change.data if number < count else change.data[: round(len(change.data) * last_share)]
        content.extend(bytes(max(0, change.offset - len(content))))
        content[change.offset : change.offset + len(data)] = data
    return {name: bytes(content) for name, content in files.items()}
