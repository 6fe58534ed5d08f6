"""The durable log of a store: SQLite, one transaction for many records, snapshots and compaction.

An append that returns has put its records on the disk (WAL, `synchronous=FULL`: one sync for each
transaction). One row holds the records of one transaction, so that a torn write loses all of them or none.
The file is locked while it is open: two services never share one.

A commit that fails may have reached the file nevertheless. Its row is searched for by content before any
other append; while the file can't be read, the outcome is unknown and no append succeeds.
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
MIN_RECORDS = 4096  # between two snapshots; more if the state has more rows
FILE = "table.sqlite3"
# The codes of a disk that fails for a while; others (a lock, a foreign or damaged file) need an operator.
TEMPORARY_CODES = frozenset(
    {
        sqlite3.SQLITE_FULL,
        sqlite3.SQLITE_IOERR,
        sqlite3.SQLITE_CANTOPEN,
        sqlite3.SQLITE_READONLY,
        sqlite3.SQLITE_PERM,
    }
)
LOCK_CODES = frozenset({sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED})
# The errors of a path that can't be a folder: the configuration is wrong, not the disk.
WRONG_PATH_ERRORS = frozenset({errno.EEXIST, errno.ENOTDIR, errno.ELOOP, errno.ENAMETOOLONG, errno.EINVAL})

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
    """The disk of the log fails for now; the records are not in the file."""

    action = "Free the disk, mount it or give the rights back; the service tries again by itself."


class LogOutcomeUnknownError(LogError):
    """A commit failed and the file can't be read: it is not known whether the records are in it."""

    action = "Free the disk, mount it or give the rights back; the service then looks, and goes on by itself."


LOCKED = "another process has it open"
END_ONE = "Find the other process that runs on this folder, and end one of the two; never copy its folder."


class Cursor(Protocol):
    """The result rows of one statement."""

    def fetchone(self) -> Any:  # noqa: ANN401 - rows of the library
        """Return the next row; None after the last."""

    def __iter__(self) -> Iterator[Any]:
        """Iterate over the remaining rows."""


class Connection(Protocol):
    """An SQLite connection in autocommit mode; failures raise `sqlite3.Error`."""

    def execute(self, sql: str, parameters: Sequence[Any] = ..., /) -> Cursor:
        """Run one statement."""

    def close(self) -> None:
        """Close the file."""


class Connect(Protocol):
    """Opens a database file for use from any thread; raises `sqlite3.Error` on failure."""

    def __call__(self, path: Path, *, create: bool) -> Connection:
        """Open the file; `create` makes a missing one."""


def connect_file(path: Path, *, create: bool) -> Connection:
    """Open a database file with the SQLite of the standard library."""
    uri = f"file:{quote(str(path.absolute()))}?mode={'rwc' if create else 'rw'}"
    return sqlite3.connect(uri, uri=True, timeout=0.0, isolation_level=None, check_same_thread=False)


@dataclass(slots=True)
class Loaded:
    """The content of a log."""

    state: State
    records: int  # since the last snapshot


class Log:
    """One open log, for use by one thread at a time.

    `connect` opens the file; tests pass one whose disk fails.
    """

    def __init__(self, folder: Path, checkpoint_pages: int = 1000, connect: Connect = connect_file) -> None:
        self._folder = folder
        self._path = folder / FILE
        self._checkpoint_pages = checkpoint_pages
        self._connect = connect
        self._seq = 0  # of the last row known to be in the file
        self._unsettled: bytes | None = None  # the next row, while its outcome is unknown
        self._since_snapshot = 0
        self._db: Connection | None = None

    def load(self, history_length: int = HISTORY_LENGTH) -> Loaded:
        """Open the log and read all of it.

        Raise `LogUnavailableError` while the disk fails, `LogError` if the file is locked, foreign or
        damaged.
        """
        self.close()
        self._unsettled = None  # settled by reading the whole file
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            db = self._open(create=True)
            return self._read(db, history_length)
        except (sqlite3.Error, msgspec.MsgspecError, ValueError, OSError) as error:
            self.close()
            raise self._error(error) from error

    def append(self, records: list[Record]) -> None:
        """Put records on the disk, all or none.

        Raise `LogOutcomeUnknownError` if it is not known whether they are in the file: until a call of
        `settle` returns, every other append fails. Raise another `LogError` if they are not and never will be
        in it.
        """
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
        """Return whether the records whose outcome was unknown are in the file for good.

        Raise `LogError` while that is not known.
        """
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
        """Return whether a snapshot of a state with so many rows is due."""
        return self._since_snapshot >= max(MIN_RECORDS, rows)

    def compact(self, snapshot: Snapshot) -> None:
        """Store a snapshot of all records so far, and delete the records before the previous snapshot.

        Those since the previous one stay, for watchers that reconnect. Raise `LogError` on failure; the log
        then reads to the same state whether or not the snapshot reached the file.
        """
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
        """Close the file and release its lock; all appended records are in it even if this fails."""
        db, self._db = self._db, None
        if db is not None:
            with contextlib.suppress(sqlite3.Error):
                db.close()

    def _error(self, error: Exception) -> LogError:
        if isinstance(error, OSError):
            kind = LogError if error.errno in WRONG_PATH_ERRORS else LogUnavailableError
            return kind(str(self._folder), error.strerror or str(error))
        code = (getattr(error, "sqlite_errorcode", None) or 0) & 0xFF
        if code in LOCK_CODES:
            return LogError(str(self._path), LOCKED, END_ONE)
        if code in TEMPORARY_CODES:
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
        """Lock a file, and create the tables of a new one; raise `ValueError` if it is not a log."""
        # Before WAL: with the lock held for good no shared memory file is needed.
        db.execute("pragma locking_mode=exclusive")
        db.execute("pragma journal_mode=wal")
        db.execute("pragma synchronous=full")
        db.execute(f"pragma wal_autocheckpoint={self._checkpoint_pages:d}")
        stored_format = db.execute("pragma user_version").fetchone()[0]
        new = stored_format == 0 and not db.execute("pragma schema_version").fetchone()[0]
        if not new and stored_format != FORMAT:
            message = f"not a table log of format {FORMAT}"
            raise ValueError(message)
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
            message = f"its last record is {last} in place of {self._seq}: another process wrote it"
            raise ValueError(message)
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
                message = f"records {self._seq + 1} to {seq - 1} are missing"
                raise ValueError(message)
            state.apply(records)
            self._seq = seq
            self._since_snapshot += len(records)
        if earlier:
            state.restore_history(earlier)
        return Loaded(state, self._since_snapshot)

    def _settle_after(self, error: sqlite3.Error) -> bool:
        """Settle the commit that has just failed; raise `LogOutcomeUnknownError` if that fails too."""
        try:
            return self.settle()
        except LogError as unread:
            why = f"{error}, and then: {unread.why}"
            raise LogOutcomeUnknownError(str(self._path), why) from error

    def _find(self, db: Connection, body: bytes) -> bool:
        """Return whether the next row of the file has this content, and make it durable."""
        found = db.execute("select records from log where seq = ?", (self._seq + 1,)).fetchone()
        if found is None:
            return False
        if found[0] != body:
            message = f"record {self._seq + 1} is another one: another process wrote it"
            raise ValueError(message)
        # The sync of its commit may have failed: a checkpoint syncs it.
        if db.execute("pragma wal_checkpoint(truncate)").fetchone()[0]:
            message = "a row that was found could not be made durable"
            raise ValueError(message)
        return True


@contextlib.contextmanager
def _transaction(db: Connection) -> Iterator[None]:
    """Commit the statements inside; roll back on any failure."""
    db.execute("begin immediate")
    try:
        yield
        db.execute("commit")
    except BaseException:
        with contextlib.suppress(sqlite3.Error):
            db.execute("rollback")
        raise
