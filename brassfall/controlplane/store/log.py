"""The durable log of a store: SQLite, one transaction for many records, snapshots and compaction.

A call that returns has put its records on the disk (WAL, `synchronous=FULL`: one sync for each
transaction). One row holds the records of one transaction, so that a torn write loses all of them
or none. The file is locked for as long as it is open: two services never share one.

A commit that fails may have reached the file all the same. Its row is looked for by content before
anything else is appended; while the file can't be read, the outcome is unknown and nothing is appended.
"""

from __future__ import annotations

import contextlib
import errno
import sqlite3
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol
from urllib.parse import quote

import msgspec

from brassfall.controlplane.store.records import Record, Snapshot
from brassfall.controlplane.store.state import HISTORY_LENGTH, State
from brassfall.errors import StorageError

FORMAT = 1
LEAST_RECORDS = 4096  # between two snapshots; more where the table is larger
FILE = "table.sqlite3"
# What a disk that fails for a while answers; all else (a lock, a foreign or damaged file) needs an operator.
PASSING_CODES = frozenset(
    {
        sqlite3.SQLITE_FULL,
        sqlite3.SQLITE_IOERR,
        sqlite3.SQLITE_CANTOPEN,
        sqlite3.SQLITE_READONLY,
        sqlite3.SQLITE_PERM,
    }
)
LOCK_CODES = frozenset({sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED})
# A path that can't name a folder is a mistake in the configuration, and no fault of the disk.
WRONG_PATH = frozenset({errno.EEXIST, errno.ENOTDIR, errno.ELOOP, errno.ENAMETOOLONG, errno.EINVAL})

_encode = msgspec.json.Encoder().encode
_records = msgspec.json.Decoder(list[Record]).decode
_snapshot = msgspec.json.Decoder(Snapshot).decode

SCHEMA = (
    "create table if not exists log (seq integer primary key, records blob not null)",
    "create table if not exists snapshot (seq integer primary key, body blob not null)",
)
LAST_SEQ = "select max(seq) from (select max(seq) as seq from log union all select max(seq) from snapshot)"


class LogError(StorageError):
    """The log can't be read or written; its text is one line that names the file."""

    action = (
        "Free the disk or give the rights back. A foreign or damaged file: move the folder away and start "
        "empty; servers come back by themselves, editions and overrides have to be published anew."
    )


class LogUnavailableError(LogError):
    """The disk of the log fails for now; what was to be written is surely not in the file."""

    action = "Free the disk, mount it or give the rights back; the service tries again by itself."


class LogOutcomeUnknownError(LogError):
    """A commit failed and the file can't be read: whether the records are in it isn't known yet."""

    action = "Free the disk, mount it or give the rights back; the service then looks, and goes on by itself."


LOCKED = "another process has it open"
END_ONE = "Find the other process that runs on this folder, and end one of the two; never copy its folder."


class Cursor(Protocol):
    """The rows of one statement."""

    def fetchone(self) -> Any:
        """The next row, or None."""

    def __iter__(self) -> Iterator[Any]:
        """The rows that are left."""


class Connection(Protocol):
    """What the log needs of an SQLite connection in autocommit mode; failures are `sqlite3.Error`."""

    def execute(self, sql: str, parameters: Sequence[Any] = ..., /) -> Cursor:
        """Run one statement."""

    def close(self) -> None:
        """Close the file."""


class Connect(Protocol):
    """Opens a database file for use from any thread; `sqlite3.Error` where that fails."""

    def __call__(self, path: Path, *, create: bool) -> Connection:
        """Open the file; `create` makes one that is not there."""


def connect_file(path: Path, *, create: bool) -> Connection:
    """Open a database file with the SQLite of the standard library."""
    uri = f"file:{quote(str(path.absolute()))}?mode={'rwc' if create else 'rw'}"
    return sqlite3.connect(uri, uri=True, timeout=0.0, isolation_level=None, check_same_thread=False)


@dataclass(slots=True)
class Loaded:
    """What a log holds."""

    state: State
    records: int  # since the last snapshot


class Log:
    """One open log. It may be used from any thread, but from one at a time.

    `connect` opens the file; tests give one whose disk fails."""

    def __init__(self, folder: Path, checkpoint_pages: int = 1000, connect: Connect = connect_file) -> None:
        self._folder = folder
        self._path = folder / FILE
        self._checkpoint_pages = checkpoint_pages
        self._connect = connect
        self._seq = 0  # of the last row that is known to be in the file
        self._unsettled: bytes | None = None  # the next row, while its outcome is unknown
        self._since_snapshot = 0
        self._db: Connection | None = None

    def load(self, history_length: int = HISTORY_LENGTH) -> Loaded:
        """Open the log and read all of it, as a start does.

        `LogUnavailableError` while the disk fails; `LogError` if the file is locked, foreign or damaged."""
        self.close()
        self._unsettled = None  # all of the file is read
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            db = self._open(create=True)
            return self._read(db, history_length)
        except (sqlite3.Error, msgspec.MsgspecError, ValueError, OSError) as error:
            self.close()
            raise self._error(error) from error

    def append(self, records: list[Record]) -> None:
        """Put records on the disk, all or none.

        `LogUnavailableError`, or another `LogError`, where they are surely not in the file, and never will
        be; `LogOutcomeUnknownError` where that can't be told: `settle` then has to be called until it
        answers, and until then every other append fails."""
        if self._unsettled is not None:
            raise LogUnavailableError(str(self._path), "the outcome of an earlier write is not known yet")
        body = _encode(records)
        try:
            db = self._db or self._reopen()
        except (sqlite3.Error, ValueError) as error:
            self.close()
            raise self._error(error) from error
        try:
            with _transaction(db):
                db.execute("insert into log values (?, ?)", (self._seq + 1, body))
        except sqlite3.Error as error:
            self._unsettled = body
            if not self._settle_after(error):
                raise self._error(error) from error
        else:
            self._seq += 1
        self._since_snapshot += len(records)

    def settle(self) -> bool:
        """Whether the records of the append whose outcome was unknown are in the file, for good.

        `LogError` while that can't be told."""
        assert self._unsettled is not None, "no outcome is unknown"
        self.close()
        try:
            there = self._find(self._reopen(), self._unsettled)
        except (sqlite3.Error, ValueError) as error:
            self.close()
            raise self._error(error) from error
        self._unsettled = None
        if there:
            self._seq += 1
        return there

    def due(self, rows: int) -> bool:
        """Whether a snapshot of a state with so many rows is worth its cost."""
        return self._since_snapshot >= max(LEAST_RECORDS, rows)

    def compact(self, snapshot: Snapshot) -> None:
        """Store a snapshot of all that was appended. What stood before the last one goes; what came
        since stays, for watchers that come back.

        `LogError` if that failed. Whether it reached the file then makes no difference: the log reads to
        the same state with the snapshot and without it."""
        assert self._unsettled is None, "a snapshot can't stand for a row whose outcome is unknown"
        body = _encode(snapshot)
        try:
            db = self._db or self._reopen()
            with _transaction(db):
                before = db.execute("select max(seq) from snapshot").fetchone()[0]
                db.execute("insert or replace into snapshot values (?, ?)", (self._seq, body))
                db.execute("delete from snapshot where seq < ?", (self._seq,))
                db.execute("delete from log where seq <= ?", (before or 0,))
        except (sqlite3.Error, ValueError) as error:
            self.close()
            raise self._error(error) from error
        self._since_snapshot = 0

    def close(self) -> None:
        """Close the file, and give its lock back. What was appended is there, also where this fails."""
        db, self._db = self._db, None
        if db is not None:
            with contextlib.suppress(sqlite3.Error):
                db.close()

    def _error(self, error: Exception) -> LogError:
        if isinstance(error, OSError):
            kind = LogError if error.errno in WRONG_PATH else LogUnavailableError
            return kind(str(self._folder), error.strerror or str(error))
        code = (getattr(error, "sqlite_errorcode", None) or 0) & 0xFF
        if code in LOCK_CODES:
            return LogError(str(self._path), LOCKED, END_ONE)
        if code in PASSING_CODES:
            return LogUnavailableError(str(self._path), str(error))
        return LogError(str(self._path), str(error))

    def _open(self, *, create: bool) -> Connection:
        db = self._connect(self._path, create=create)
        try:
            self._prepare(db)
        except BaseException:
            with contextlib.suppress(sqlite3.Error):
                db.close()
            raise
        self._db = db
        return db

    def _prepare(self, db: Connection) -> None:
        """Lock a file, and make its tables where it is new; `ValueError` where it is no log."""
        # Before WAL: with the lock held for good no shared memory file is needed.
        db.execute("pragma locking_mode=exclusive")
        db.execute("pragma journal_mode=wal")
        db.execute("pragma synchronous=full")
        db.execute(f"pragma wal_autocheckpoint={self._checkpoint_pages:d}")
        stored_format = db.execute("pragma user_version").fetchone()[0]
        new = stored_format == 0 and not db.execute("pragma schema_version").fetchone()[0]
        if not new and stored_format != FORMAT:
            raise ValueError(f"not a table log of format {FORMAT}")
        if new:
            with _transaction(db):
                for statement in SCHEMA:
                    db.execute(statement)
                db.execute(f"pragma user_version={FORMAT:d}")

    def _reopen(self) -> Connection:
        """Open the file that this log was loaded from, after a failure closed it."""
        db = self._open(create=False)
        last = db.execute(LAST_SEQ).fetchone()[0] or 0
        if last not in (self._seq, self._seq + (self._unsettled is not None)):
            raise ValueError(f"its last record is {last} in place of {self._seq}: another process wrote it")
        return db

    def _read(self, db: Connection, history_length: int) -> Loaded:
        stored = db.execute("select seq, body from snapshot order by seq desc limit 1").fetchone()
        snapshot_seq = stored[0] if stored else 0
        state = State.from_snapshot(_snapshot(stored[1]), history_length) if stored else State(history_length)
        self._seq, self._since_snapshot = snapshot_seq, 0
        earlier: list[Record] = []
        for seq, body in db.execute("select seq, records from log order by seq"):
            records = _records(body)
            if seq <= snapshot_seq:
                earlier += records
                continue
            if earlier:
                state.restore_history(earlier)
                earlier = []
            if self._seq and seq != self._seq + 1:
                raise ValueError(f"records {self._seq + 1} to {seq - 1} are missing")
            state.apply(records)
            self._seq = seq
            self._since_snapshot += len(records)
        if earlier:
            state.restore_history(earlier)
        return Loaded(state, self._since_snapshot)

    def _settle_after(self, error: sqlite3.Error) -> bool:
        """Settle the commit that failed just now; `LogOutcomeUnknownError` where that can't be done yet."""
        try:
            return self.settle()
        except LogError as unread:
            why = f"{error}, and then: {unread.why}"
            raise LogOutcomeUnknownError(str(self._path), why) from error

    def _find(self, db: Connection, body: bytes) -> bool:
        """Whether the row after the last one is this one, and durable."""
        found = db.execute("select records from log where seq = ?", (self._seq + 1,)).fetchone()
        if found is None:
            return False
        if found[0] != body:
            raise ValueError(f"record {self._seq + 1} is another one: another process wrote it")
        # The sync of its commit may be what failed: here it is written once more, and synced.
        if db.execute("pragma wal_checkpoint(truncate)").fetchone()[0]:
            raise ValueError("a row that was found could not be made durable")
        return True


@contextlib.contextmanager
def _transaction(db: Connection) -> Iterator[None]:
    """Commit what is done inside; where anything fails, roll back."""
    db.execute("begin immediate")
    try:
        yield
        db.execute("commit")
    except BaseException:
        with contextlib.suppress(sqlite3.Error):
            db.execute("rollback")
        raise
