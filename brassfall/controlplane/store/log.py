"""The durable log of a store in an SQLite file: batches of records, snapshots and compaction.

When an append returns, its records are on the disk (write-ahead log, `synchronous=FULL`: one sync for each
transaction). One row holds all records of a transaction, so that a torn write loses all of them or none. The
file is locked while it is open: two services never use the same file.

A commit that fails may nevertheless have reached the file. Before any other append, the log looks for its row
by content. While the file can't be read, the outcome is unknown and no append succeeds.
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

FORMAT = 1  # Version of the file format, stored as `user_version` of the file
MIN_RECORDS = 4096  # Least number of records between two snapshots; more if the state has more rows
FILE = "table.sqlite3"
# SQLite codes of a disk that may work again by itself. Other errors (a lock, a file that is no log, a damaged
# file) need an operator.
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
# Errors of a path that can't be a folder: the configuration is wrong, and not the disk.
WRONG_PATH_ERRORS = frozenset({errno.EEXIST, errno.ENOTDIR, errno.ELOOP, errno.ENAMETOOLONG, errno.EINVAL})

_encode = msgspec.json.Encoder().encode
_decode_records = msgspec.json.Decoder(list[Record]).decode
_decode_snapshot = msgspec.json.Decoder(Snapshot).decode

SCHEMA = (
    "create table if not exists log (seq integer primary key, records blob not null)",
    "create table if not exists snapshot (seq integer primary key, body blob not null)",
)
LAST_SEQ = "select max(seq) from (select max(seq) as seq from log union all select max(seq) from snapshot)"


class LogError(StorageError):
    """A log that can't be read or written; the text of the error is one line with the path of the file."""

    action = (
        "Free the disk or restore the access rights. If the file is damaged or of another program, move the "
        "folder away and start empty: servers register again by themselves, editions and overrides have to "
        "be published anew."
    )


class LogUnavailableError(LogError):
    """A disk that fails for now; the records are not in the log file."""

    action = "Free the disk, mount it or restore the access rights; the service retries by itself."


class LogOutcomeUnknownError(LogError):
    """A failed commit whose records may be in the log file, which can't be read."""

    action = (
        "Free the disk, mount it or restore the access rights; the service then reads the file and continues."
    )


LOCKED = "another process has it open"
STOP_OTHER_PROCESS = (
    "Find the other process that runs on this folder, and end one of the two; never copy its folder."
)


class Cursor(Protocol):
    """The rows that one SQL statement returns."""

    def fetchone(self) -> Any:  # noqa: ANN401 - the library does not declare the type of rows
        """Return the next row; None after the last."""

    def __iter__(self) -> Iterator[Any]:
        """Iterate over the remaining rows."""


class Connection(Protocol):
    """An SQLite connection in autocommit mode; failures raise `sqlite3.Error`."""

    def execute(self, sql: str, parameters: Sequence[Any] = ..., /) -> Cursor:
        """Run one SQL statement."""

    def close(self) -> None:
        """Close the file."""


class Connect(Protocol):
    """A function that opens a database file for use from any thread; it raises `sqlite3.Error` on failure."""

    def __call__(self, path: Path, *, create: bool) -> Connection:
        """Open the file; with `create`, make it if it is missing."""


def connect_file(path: Path, *, create: bool) -> Connection:
    """Open a database file with the SQLite of the standard library."""
    uri = f"file:{quote(str(path.absolute()))}?mode={'rwc' if create else 'rw'}"
    return sqlite3.connect(uri, uri=True, timeout=0.0, isolation_level=None, check_same_thread=False)


@dataclass(slots=True)
class LoadedLog:
    """The content of a log that was read."""

    state: State
    records: int  # Number of records since the last snapshot


class Log:
    """One open log, for use by one thread at a time.

    `connect` opens the file; tests pass a function that simulates a failing disk.
    """

    def __init__(self, folder: Path, checkpoint_pages: int = 1000, connect: Connect = connect_file) -> None:
        self._folder = folder
        self._path = folder / FILE
        self._checkpoint_pages = checkpoint_pages
        self._connect = connect
        self._seq = 0  # Sequence number of the last row that is known to be in the file
        self._unsettled: bytes | None = None  # Content of the next row while its outcome is unknown
        self._since_snapshot = 0
        self._db: Connection | None = None

    def load(self, history_length: int = HISTORY_LENGTH) -> LoadedLog:
        """Open the log and read all of it.

        Raise `LogUnavailableError` while the disk fails, and `LogError` if the file is locked, damaged, or
        the file of another program.
        """
        self.close()
        self._unsettled = None  # An unknown outcome becomes known by reading the whole file
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            db = self._open(create=True)
            return self._read_all(db, history_length)
        except (sqlite3.Error, msgspec.MsgspecError, ValueError, OSError) as error:
            self.close()
            raise self._as_log_error(error) from error

    def append(self, records: list[Record]) -> None:
        """Write records to the disk: all of them or none.

        Raise `LogOutcomeUnknownError` if it is not known whether they are in the file: every further append
        then fails until a call of `settle` returns. Raise another `LogError` if the records are not in the
        file and never will be.
        """
        if self._unsettled is not None:
            raise LogUnavailableError(str(self._path), "the outcome of an earlier write is not known yet")
        body = _encode(records)
        try:
            db = self._db or self._reopen()
        except (sqlite3.Error, ValueError) as error:
            self.close()
            raise self._as_log_error(error) from error
        try:
            with _transaction(db):
                db.execute("insert into log values (?, ?)", (self._seq + 1, body))
        except sqlite3.Error as error:
            self._unsettled = body
            if not self._settle_after(error):
                raise self._as_log_error(error) from error
        else:
            self._seq += 1
        self._since_snapshot += len(records)

    def settle(self) -> bool:
        """Return whether the records whose outcome is unknown are durable in the file; then it is known.

        Raise `LogError` while that can't be found out.
        """
        assert self._unsettled is not None, "no outcome is unknown"
        self.close()
        try:
            written = self._find_row(self._reopen(), self._unsettled)
        except (sqlite3.Error, ValueError) as error:
            self.close()
            raise self._as_log_error(error) from error
        self._unsettled = None
        if written:
            self._seq += 1
        return written

    def snapshot_due(self, rows: int) -> bool:
        """Return whether a snapshot is due of a state with this number of rows."""
        return self._since_snapshot >= max(MIN_RECORDS, rows)

    def compact(self, snapshot: Snapshot) -> None:
        """Store a snapshot of all records so far, and delete the records before the previous snapshot.

        The records since the previous snapshot stay, for watchers that reconnect. Raise `LogError` on
        failure; a later `load` then returns the same state whether or not the snapshot reached the file.
        """
        assert self._unsettled is None, "a snapshot can't stand for a row whose outcome is unknown"
        body = _encode(snapshot)
        try:
            db = self._db or self._reopen()
            with _transaction(db):
                previous_seq = db.execute("select max(seq) from snapshot").fetchone()[0]
                db.execute("insert or replace into snapshot values (?, ?)", (self._seq, body))
                db.execute("delete from snapshot where seq < ?", (self._seq,))
                db.execute("delete from log where seq <= ?", (previous_seq or 0,))
        except (sqlite3.Error, ValueError) as error:
            self.close()
            raise self._as_log_error(error) from error
        self._since_snapshot = 0

    def close(self) -> None:
        """Close the file and release its lock; appended records are durable even if closing fails."""
        db, self._db = self._db, None
        if db is not None:
            with contextlib.suppress(sqlite3.Error):
                db.close()

    def _as_log_error(self, error: Exception) -> LogError:
        if isinstance(error, OSError):
            kind = LogError if error.errno in WRONG_PATH_ERRORS else LogUnavailableError
            return kind(str(self._folder), error.strerror or str(error))
        code = (getattr(error, "sqlite_errorcode", None) or 0) & 0xFF
        if code in LOCK_CODES:
            return LogError(str(self._path), LOCKED, STOP_OTHER_PROCESS)
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
        """Lock the file, and create the tables if it is new; raise `ValueError` if it is not a log."""
        # The exclusive lock has to be set before WAL mode: SQLite then needs no shared memory file.
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
        """Open the file again that this log was loaded from, after a failure closed it."""
        db = self._open(create=False)
        last_seq = db.execute(LAST_SEQ).fetchone()[0] or 0
        if last_seq not in (self._seq, self._seq + (self._unsettled is not None)):
            message = f"its last record is {last_seq} in place of {self._seq}: another process wrote it"
            raise ValueError(message)
        return db

    def _read_all(self, db: Connection, history_length: int) -> LoadedLog:
        stored = db.execute("select seq, body from snapshot order by seq desc limit 1").fetchone()
        snapshot_seq = stored[0] if stored else 0
        state = (
            State.from_snapshot(_decode_snapshot(stored[1]), history_length)
            if stored
            else State(history_length)
        )
        self._seq, self._since_snapshot = snapshot_seq, 0
        earlier: list[Record] = []
        for seq, body in db.execute("select seq, records from log order by seq"):
            records = _decode_records(body)
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
        return LoadedLog(state, self._since_snapshot)

    def _settle_after(self, error: sqlite3.Error) -> bool:
        """Settle the commit that has just failed; raise `LogOutcomeUnknownError` if that fails, too."""
        try:
            return self.settle()
        except LogError as unread:
            why = f"{error}, and then: {unread.why}"
            raise LogOutcomeUnknownError(str(self._path), why) from error

    def _find_row(self, db: Connection, body: bytes) -> bool:
        """Return whether the file has a next row with the content `body`, and make that row durable.

        Raise `ValueError` if the row has another content or can't be made durable.
        """
        found = db.execute("select records from log where seq = ?", (self._seq + 1,)).fetchone()
        if found is None:
            return False
        if found[0] != body:
            message = f"record {self._seq + 1} is another one: another process wrote it"
            raise ValueError(message)
        # The sync of the commit may have failed. A checkpoint syncs the row.
        if db.execute("pragma wal_checkpoint(truncate)").fetchone()[0]:
            message = "a row that was found could not be made durable"
            raise ValueError(message)
        return True


@contextlib.contextmanager
def _transaction(db: Connection) -> Iterator[None]:
    """Commit the statements of the `with` block; roll back on any failure."""
    db.execute("begin immediate")
    try:
        yield
        db.execute("commit")
    except BaseException:
        with contextlib.suppress(sqlite3.Error):
            db.execute("rollback")
        raise
