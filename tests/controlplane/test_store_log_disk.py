"""The durable log on a failing disk: acknowledged writes are present, and refused writes never appear."""

from __future__ import annotations

import sqlite3

import pytest

from brassfall.controlplane.store.commands import Put
from brassfall.controlplane.store.log import (
    FILE,
    Log,
    LogError,
    LogOutcomeUnknownError,
    LogUnavailableError,
)
from tests.support.disk_faults import ERRORS, Disk, files_after

WAL = f"{FILE}-wal"


class LogOnDisk:
    """A log on a simulated disk, and the state that results from the records that it acknowledged."""

    def __init__(self, folder, **options):
        self.disk = Disk()
        self.folder = folder
        self.log = Log(folder, connect=self.disk.connect, **options)
        self.state = self.log.load().state
        self.last_records = None  # Records of the last append

    def put(self, key, size=0):
        """Write a row whose value has `size` extra characters; if the outcome is unknown, call `settle`."""
        transaction = self.state.begin(0)
        transaction.run(Put(table="t", key=key, value=key + "x" * size))
        self.last_records = transaction.records
        self.log.append(transaction.records)
        self.state.apply(transaction.records)

    def settle(self):
        """Return whether the records of the last append are in the file, and apply them if they are."""
        written = self.log.settle()
        if written:
            self.state.apply(self.last_records)
        return written

    def keys(self):
        """Return the keys of the rows that were acknowledged."""
        return [row.key for row in self.state.rows("t")]

    def after_restart(self):
        """Return the keys that a start reads from the folder with the SQLite of the standard library."""
        self.log.close()
        restarted = Log(self.folder)
        state = restarted.load().state
        restarted.close()
        return [row.key for row in state.rows("t")]


@pytest.fixture
def journal(tmp_path):
    journal = LogOnDisk(tmp_path / "log")
    journal.put("first")
    yield journal
    journal.disk.repair()
    journal.log.close()


def test_an_unknown_outcome_is_settled_by_content_before_anything_else_is_appended(journal):
    """A commit is written to the file, but its sync fails and the file can't be opened again for a while."""
    journal.disk.sync, journal.disk.open = "EIO sync", "EIO open"
    with pytest.raises(LogOutcomeUnknownError, match=r"EIO sync, and then: .*EIO open"):
        journal.put("unknown")
    unknown_records = journal.last_records
    journal.disk.repair()
    with pytest.raises(LogUnavailableError, match="not known yet"):
        journal.put("too early")
    journal.last_records = unknown_records
    assert journal.settle() is True
    journal.put("later")
    assert journal.keys() == ["first", "unknown", "later"] == journal.after_restart()


def test_a_commit_that_is_settled_as_not_written_never_appears(journal):
    journal.disk.write, journal.disk.open = "EIO write", "EIO open"
    with pytest.raises(LogOutcomeUnknownError):
        journal.put("absent", size=9000)
    journal.disk.repair()
    assert journal.settle() is False
    journal.put("later")
    assert journal.keys() == ["first", "later"] == journal.after_restart()


def test_settling_fails_until_the_row_is_durable(journal):
    """A row that can be read is acknowledged only after a sync of it has succeeded."""
    journal.disk.sync = "EIO sync"
    with pytest.raises(LogOutcomeUnknownError):
        journal.put("unsynced")
    with pytest.raises(LogUnavailableError):
        journal.log.settle()
    journal.disk.repair()
    assert journal.settle() is True
    assert journal.keys() == ["first", "unsynced"] == journal.after_restart()


@pytest.mark.parametrize("keep", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("after", range(6))
@pytest.mark.parametrize(
    ("part", "error"), [("write", "ENOSPC"), ("write", "EIO write"), ("sync", "EIO sync")]
)
@pytest.mark.parametrize("opens", ["", "EIO open"])
def test_after_any_failure_the_writer_the_state_and_a_restart_agree(journal, opens, part, error, after, keep):
    """Each write and sync of a commit of several pages fails in turn; the file can then be opened or not."""
    disk = journal.disk
    setattr(disk, part, error)
    disk.open, disk.after, disk.keep = opens, after, keep
    refused, unknown = [], False
    try:
        journal.put("victim", size=9000)
    except LogUnavailableError:
        refused = ["victim"]
    except LogOutcomeUnknownError:
        unknown = True
    disk.repair()
    if unknown and not journal.settle():
        refused = ["victim"]
    journal.put("later")
    expected = [key for key in ("first", "victim", "later") if key not in refused]
    assert journal.keys() == expected == journal.after_restart()


@pytest.mark.parametrize("error", ["ENOSPC", "EIO write", "EIO sync", "EIO open", "EROFS"])
def test_appends_fail_while_the_disk_fails_and_succeed_afterwards(journal, error):
    setattr(journal.disk, "sync" if "sync" in error else "open" if "open" in error else "write", error)
    journal.log.close()  # The next append has to open the file, which may fail, too
    unknown = False
    for _ in range(3):
        try:
            journal.log.settle() if unknown else journal.put("never", size=5000)
        except LogOutcomeUnknownError:
            unknown = True
        except LogUnavailableError:
            pass
        else:
            assert error == "EIO open" or unknown
    journal.disk.repair()
    written = unknown and journal.settle()
    journal.put("later")
    assert journal.keys() == ["first", *(["never"] if written else []), "later"] == journal.after_restart()


@pytest.mark.parametrize("size", [10, 9000])
def test_a_kill_after_any_change_of_the_files_loses_no_acknowledged_commit(tmp_path, size):
    """A restart reads the files as they were after each change by some commits, with the last change torn."""
    # With four pages some commits also run a checkpoint, which copies pages into the database file.
    journal = LogOnDisk(tmp_path / "log", checkpoint_pages=4)
    journal.put("first")
    base = {name: (tmp_path / "log" / name).read_bytes() for name in (FILE, WAL)}
    journal.disk.record()
    acknowledged = [(0, ["first"])]
    for number in range(4):
        journal.put(f"k{number}", size)
        acknowledged.append((len(journal.disk.changes), journal.keys()))
    changes = journal.disk.changes
    journal.disk.changes = None
    journal.log.close()
    assert {change.file for change in changes} == {FILE, WAL}
    for count in range(len(changes) + 1):
        for last_share in (0.0, 0.3, 0.98, 1.0):
            folder = tmp_path / f"cut-{count}-{last_share}"
            folder.mkdir()
            for name, content in files_after(base, changes, count, last_share).items():
                (folder / name).write_bytes(content)
            restarted = Log(folder)
            state = restarted.load().state
            restarted.append([state.begin_incarnation(0, 0)])
            restarted.close()
            found = [row.key for row in state.rows("t")]
            required = max(
                (point for point in acknowledged if point[0] < count or not point[0]), key=key_count
            )
            completed = [keys for end, keys in acknowledged if end <= count]
            assert found[: len(required[1])] == required[1], (count, last_share)
            assert len(found) <= len(completed) + 1, (count, last_share)


def key_count(point):
    """Return the number of keys that were acknowledged after a number of changes."""
    return len(point[1])


@pytest.mark.parametrize("error", ["ENOSPC", "EIO write", "EIO sync"])
@pytest.mark.parametrize("after", range(0, 12, 3))
def test_a_failed_snapshot_loses_no_row_whether_it_reached_the_file_or_not(journal, error, after):
    for number in range(8):
        journal.put(f"k{number}", size=3000)
    setattr(journal.disk, "sync" if "sync" in error else "write", error)
    journal.disk.after, journal.disk.open = after, "EIO open"
    keys_before = journal.keys()
    try:
        journal.log.compact(journal.state.snapshot())
    except LogUnavailableError:
        assert journal.disk.failed
    journal.disk.repair()
    journal.put("later")
    assert journal.keys() == [*keys_before, "later"] == journal.after_restart()


def test_a_file_that_another_process_has_written_meanwhile_is_an_error(journal):
    journal.disk.sync, journal.disk.open = "EIO sync", "EIO open"
    with pytest.raises(LogOutcomeUnknownError):
        journal.put("unknown")
    journal.disk.repair()
    with sqlite3.connect(journal.folder / FILE) as other:
        other.execute("delete from log where seq > 1")
        other.execute("insert into log values (2, x'5b5d')")
    other.close()
    with pytest.raises(LogError, match="another process wrote it") as caught:
        journal.settle()
    assert not isinstance(caught.value, LogUnavailableError)


def test_a_file_that_has_disappeared_is_not_created_again(journal):
    journal.disk.sync = "EIO sync"
    with pytest.raises(LogOutcomeUnknownError):
        journal.put("unknown")
    journal.disk.repair()
    unmounted = journal.folder.rename(journal.folder.with_name("elsewhere"))
    for _ in range(2):
        with pytest.raises(LogUnavailableError):
            journal.log.settle()
    unmounted.rename(journal.folder)
    assert journal.settle() is True
    assert journal.after_restart() == ["first", "unknown"]


def test_a_file_of_another_program_in_place_of_the_log_is_refused(journal):
    journal.log.close()
    for path in journal.folder.iterdir():
        path.unlink()
    with sqlite3.connect(journal.folder / FILE) as other:
        other.execute("create table other (x)")
    other.close()
    with pytest.raises(LogError, match="not a table log"):
        journal.put("nowhere")


@pytest.mark.parametrize("name", ERRORS)
def test_a_load_on_a_failing_disk_raises_the_error_of_a_temporary_failure(tmp_path, name):
    LogOnDisk(tmp_path).log.close()
    disk = Disk()
    part = name.split()[-1] if name.startswith("EIO") else "open"
    setattr(disk, part, name)
    log = Log(tmp_path, connect=disk.connect)
    if part in ("write", "sync"):
        log.load()  # A load writes nothing, so it succeeds
        with pytest.raises((LogUnavailableError, LogOutcomeUnknownError)):
            log.append([])
    else:
        with pytest.raises(LogUnavailableError, match=r"table\.sqlite3"):
            log.load()
    disk.repair()
    assert log.load().state.index == 0
    log.close()
