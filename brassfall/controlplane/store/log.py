"""The durable log of a table: SQLite, one transaction for many records, snapshots and compaction.

A call that returns has put its records on the disk (WAL, `synchronous=FULL`: one sync for each
transaction). One row holds the records of one transaction, so that a torn write loses all of them
or none. The file is locked for as long as it is open: two services never share one.
"""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass
from pathlib import Path

import msgspec

from brassfall.controlplane.store.core import Record, Snapshot, Table
from brassfall.errors import Damaged

FORMAT = 1
LEAST_RECORDS = 4096  # between two snapshots; more where the table is larger
FILE = "table.sqlite3"

_encode = msgspec.json.Encoder().encode
_records = msgspec.json.Decoder(list[Record]).decode
_snapshot = msgspec.json.Decoder(Snapshot).decode

SCHEMA = """
create table if not exists log (seq integer primary key, records blob not null);
create table if not exists snapshot (seq integer primary key, body blob not null);
"""


class LogError(Damaged):
    """The log can't be read or written; its text is one line that names the file."""

    action = (
        "Free the disk or give the rights back. A foreign or damaged file: move the folder away and start "
        "empty; servers come back by themselves, editions and overrides have to be published anew."
    )


LOCKED = "another process has it open"
END_ONE = "Find the other process that runs on this folder, and end one of the two; never copy its folder."


@dataclass(slots=True)
class Loaded:
    """What a log holds."""

    table: Table
    records: int  # since the last snapshot


class Log:
    """One open log. It may be used from any thread, but from one at a time."""

    def __init__(self, folder: Path, checkpoint_pages: int = 1000) -> None:
        self._path = folder / FILE
        self._checkpoint_pages = checkpoint_pages
        self._seq = 0
        self._since_snapshot = 0
        self._db: sqlite3.Connection | None = None
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise LogError(str(folder), error.strerror or str(error)) from error

    def load(self, ring: int | None = None) -> Loaded:
        """Open the log and read all of it; `LogError` if it is locked, foreign or damaged."""
        try:
            self._open()
            return self._read() if ring is None else self._read(ring)
        except (sqlite3.Error, msgspec.MsgspecError, ValueError) as error:
            self.close()
            raise self._error(error) from error

    def append(self, records: list[Record]) -> None:
        """Put records on the disk, all or none; `LogError` if they are not there.

        After a failure the log is opened anew and asked: a commit whose sync failed may have
        reached the file all the same, and then it has to count."""
        body = _encode(records)
        seq = self._seq + 1
        try:
            db = self._db or self._open()
            with db:
                db.execute("begin immediate")
                db.execute("insert into log values (?, ?)", (seq, body))
        except sqlite3.Error as error:
            if not self._reached(seq):
                raise self._error(error) from error
        self._seq = seq
        self._since_snapshot += len(records)

    def due(self, rows: int) -> bool:
        """Whether a snapshot of a table with so many rows is worth its cost."""
        return self._since_snapshot >= max(LEAST_RECORDS, rows)

    def compact(self, snapshot: Snapshot) -> None:
        """Store a snapshot of all that was appended. What stood before the last one goes; what came
        since stays, for watchers that come back. `LogError` if it failed: nothing is lost then."""
        body = _encode(snapshot)
        try:
            db = self._db or self._open()
            with db:
                db.execute("begin immediate")
                before = db.execute("select max(seq) from snapshot").fetchone()[0]
                db.execute("insert or replace into snapshot values (?, ?)", (self._seq, body))
                db.execute("delete from snapshot where seq < ?", (self._seq,))
                db.execute("delete from log where seq <= ?", (before or 0,))
        except sqlite3.Error as error:
            self._close_quietly()
            raise self._error(error) from error
        self._since_snapshot = 0

    def close(self) -> None:
        """Close the file; what was appended is there."""
        if self._db is not None:
            self._db.close()
            self._db = None

    def _error(self, error: Exception) -> LogError:
        text = str(error)
        return (
            LogError(str(self._path), LOCKED, END_ONE)
            if "locked" in text
            else LogError(str(self._path), text)
        )

    def _open(self) -> sqlite3.Connection:
        db = sqlite3.connect(self._path, timeout=0.0, isolation_level=None, check_same_thread=False)
        try:
            # Before WAL: with the lock held for good no shared memory file is needed.
            db.execute("pragma locking_mode=exclusive")
            db.execute("pragma journal_mode=wal")
            db.execute("pragma synchronous=full")
            db.execute(f"pragma wal_autocheckpoint={self._checkpoint_pages:d}")
            held = db.execute("pragma user_version").fetchone()[0]
            if held not in (0, FORMAT) or (held == 0 and db.execute("pragma schema_version").fetchone()[0]):
                raise ValueError(f"not a table log of format {FORMAT}")
            if held == 0:
                db.executescript(f"begin immediate; {SCHEMA} pragma user_version={FORMAT:d}; commit;")
        except BaseException:
            db.close()
            raise
        self._db = db
        return db

    def _read(self, ring: int = 8192) -> Loaded:
        assert self._db is not None
        stored = self._db.execute("select seq, body from snapshot order by seq desc limit 1").fetchone()
        at = stored[0] if stored else 0
        table = Table.load(_snapshot(stored[1]), ring) if stored else Table(ring)
        self._seq, self._since_snapshot = at, 0
        earlier: list[Record] = []
        for seq, body in self._db.execute("select seq, records from log order by seq"):
            records = _records(body)
            if seq <= at:
                earlier += records
                continue
            if earlier:
                table.recall(earlier)
                earlier = []
            if self._seq and seq != self._seq + 1:
                raise ValueError(f"records {self._seq + 1} to {seq - 1} are missing")
            table.absorb(records)
            self._seq = seq
            self._since_snapshot += len(records)
        if earlier:
            table.recall(earlier)
        return Loaded(table, self._since_snapshot)

    def _reached(self, seq: int) -> bool:
        """Whether a row is in the file, though its commit failed."""
        self._close_quietly()
        try:
            found = self._open().execute("select max(seq) from log").fetchone()[0]
        except (sqlite3.Error, ValueError):
            self._close_quietly()
            return False
        return bool(found == seq)

    def _close_quietly(self) -> None:
        try:
            self.close()
        except sqlite3.Error:
            self._db = None
