"""The durable log on a disk that fails: what is acknowledged is there, what is refused never appears."""

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
from tests.support.disk_faults import ERRORS, Disk, image_at

WAL = f"{FILE}-wal"


class Journal:
    """A log on a disk that fails, and the table that is made of what it acknowledged."""

    def __init__(self, folder, **options):
        self.disk = Disk()
        self.folder = folder
        self.log = Log(folder, connect=self.disk.connect, **options)
        self.state = self.log.load().state
        self.staged = None

    def put(self, key, size=0):
        """Write a row; `settle` goes on where the outcome is unknown."""
        stage = self.state.begin(0)
        stage.run(Put(table="t", key=key, value=key + "x" * size))
        self.staged = stage.records
        self.log.append(stage.records)
        self.state.apply(stage.records)

    def settle(self):
        there = self.log.settle()
        if there:
            self.state.apply(self.staged)
        return there

    def keys(self):
        return [row.key for row in self.state.rows("t")]

    def after_restart(self):
        """The keys that a start reads from the folder, by the standard library's SQLite."""
        self.log.close()
        restarted = Log(self.folder)
        table = restarted.load().state
        restarted.close()
        return [row.key for row in table.rows("t")]


@pytest.fixture
def journal(tmp_path):
    made = Journal(tmp_path / "log")
    made.put("first")
    yield made
    made.disk.mend()
    made.log.close()


def test_an_unknown_outcome_is_settled_by_content_before_anything_else_is_appended(journal):
    """The frames of a commit are in the file, its sync fails, and the file can't be opened just then."""
    journal.disk.sync, journal.disk.open = "EIO sync", "EIO open"
    with pytest.raises(LogOutcomeUnknownError, match=r"EIO sync, and then: .*EIO open"):
        journal.put("unknown")
    unknown = journal.staged
    journal.disk.mend()
    with pytest.raises(LogUnavailableError, match="not known yet"):
        journal.put("too early")
    journal.staged = unknown
    assert journal.settle() is True
    journal.put("later")
    assert journal.keys() == ["first", "unknown", "later"] == journal.after_restart()


def test_what_is_settled_as_absent_never_appears(journal):
    journal.disk.write, journal.disk.open = "EIO write", "EIO open"
    with pytest.raises(LogOutcomeUnknownError):
        journal.put("absent", size=9000)
    journal.disk.mend()
    assert journal.settle() is False
    journal.put("later")
    assert journal.keys() == ["first", "later"] == journal.after_restart()


def test_settling_waits_until_the_row_is_durable(journal):
    """A row that can be read back is not acknowledged before a sync of it has succeeded."""
    journal.disk.sync = "EIO sync"
    with pytest.raises(LogOutcomeUnknownError):
        journal.put("unsynced")
    with pytest.raises(LogUnavailableError):
        journal.log.settle()
    journal.disk.mend()
    assert journal.settle() is True
    assert journal.keys() == ["first", "unsynced"] == journal.after_restart()


@pytest.mark.parametrize("keep", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("after", range(6))
@pytest.mark.parametrize(
    ("part", "error"), [("write", "ENOSPC"), ("write", "EIO write"), ("sync", "EIO sync")]
)
@pytest.mark.parametrize("opens", ["", "EIO open"])
def test_after_any_failure_the_writers_the_table_and_a_restart_agree(
    journal, opens, part, error, after, keep
):
    """Each write and sync of a commit of several pages fails in turn, with the file readable or not."""
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
    disk.mend()
    if unknown and not journal.settle():
        refused = ["victim"]
    journal.put("later")
    wanted = [key for key in ("first", "victim", "later") if key not in refused]
    assert journal.keys() == wanted == journal.after_restart()


@pytest.mark.parametrize("error", ["ENOSPC", "EIO write", "EIO sync", "EIO open", "EROFS"])
def test_a_disk_that_fails_for_long_refuses_and_then_goes_on(journal, error):
    setattr(journal.disk, "sync" if "sync" in error else "open" if "open" in error else "write", error)
    journal.log.close()  # also its reopening fails, where that writes
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
    journal.disk.mend()
    there = unknown and journal.settle()
    journal.put("later")
    assert journal.keys() == ["first", *(["never"] if there else []), "later"] == journal.after_restart()


@pytest.mark.parametrize("size", [10, 9000])
def test_a_kill_at_any_step_of_a_write_keeps_what_was_acknowledged(tmp_path, size):
    """The files after each write of some commits, the last one torn, are read as a restart does."""
    journal = Journal(tmp_path / "log", checkpoint_pages=4)  # some commits also copy pages into the database
    journal.put("first")
    base = {name: (tmp_path / "log" / name).read_bytes() for name in (FILE, WAL)}
    journal.disk.record()
    acknowledged = [(0, ["first"])]
    for number in range(4):
        journal.put(f"k{number}", size)
        acknowledged.append((len(journal.disk.steps), journal.keys()))
    steps = journal.disk.steps
    journal.disk.steps = None
    journal.log.close()
    assert {step.file for step in steps} == {FILE, WAL}
    for count in range(len(steps) + 1):
        for torn in (0.0, 0.3, 0.98, 1.0):
            folder = tmp_path / f"cut-{count}-{torn}"
            folder.mkdir()
            for name, content in image_at(base, steps, count, torn).items():
                (folder / name).write_bytes(content)
            restarted = Log(folder)
            table = restarted.load().state
            restarted.append([table.begin_incarnation(0, 0)])
            restarted.close()
            found = [row.key for row in table.rows("t")]
            sure = max((known for known in acknowledged if known[0] < count or not known[0]), key=len_of)
            started = [keys for end, keys in acknowledged if end <= count]
            assert found[: len(sure[1])] == sure[1], (count, torn)
            assert len(found) <= len(started) + 1, (count, torn)


def len_of(known):
    return len(known[1])


@pytest.mark.parametrize("error", ["ENOSPC", "EIO write", "EIO sync"])
@pytest.mark.parametrize("after", range(0, 12, 3))
def test_a_snapshot_that_fails_loses_nothing_whether_it_is_in_the_file_or_not(journal, error, after):
    for number in range(8):
        journal.put(f"k{number}", size=3000)
    setattr(journal.disk, "sync" if "sync" in error else "write", error)
    journal.disk.after, journal.disk.open = after, "EIO open"
    wanted = journal.keys()
    try:
        journal.log.compact(journal.state.snapshot())
    except LogUnavailableError:
        assert journal.disk.failed
    journal.disk.mend()
    journal.put("later")
    assert journal.keys() == [*wanted, "later"] == journal.after_restart()


def test_a_file_that_another_process_wrote_meanwhile_is_never_taken_for_this_one(journal):
    journal.disk.sync, journal.disk.open = "EIO sync", "EIO open"
    with pytest.raises(LogOutcomeUnknownError):
        journal.put("unknown")
    journal.disk.mend()
    with sqlite3.connect(journal.folder / FILE) as other:
        other.execute("delete from log where seq > 1")
        other.execute("insert into log values (2, x'5b5d')")
    other.close()
    with pytest.raises(LogError, match="another process wrote it") as found:
        journal.settle()
    assert not isinstance(found.value, LogUnavailableError)


def test_a_file_that_is_gone_is_not_made_anew(journal):
    journal.disk.sync = "EIO sync"
    with pytest.raises(LogOutcomeUnknownError):
        journal.put("unknown")
    journal.disk.mend()
    unmounted = journal.folder.rename(journal.folder.with_name("elsewhere"))
    for _ in range(2):
        with pytest.raises(LogUnavailableError):
            journal.log.settle()
    unmounted.rename(journal.folder)
    assert journal.settle() is True
    assert journal.after_restart() == ["first", "unknown"]


def test_a_foreign_file_in_its_place_is_refused_and_blocks_no_caller(journal):
    journal.log.close()
    for path in journal.folder.iterdir():
        path.unlink()
    with sqlite3.connect(journal.folder / FILE) as other:
        other.execute("create table other (x)")
    other.close()
    with pytest.raises(LogError, match="not a table log"):
        journal.put("nowhere")


@pytest.mark.parametrize("name", ERRORS)
def test_a_start_on_a_failing_disk_says_that_it_passes(tmp_path, name):
    Journal(tmp_path).log.close()
    disk = Disk()
    part = name.split()[-1] if name.startswith("EIO") else "open"
    setattr(disk, part, name)
    log = Log(tmp_path, connect=disk.connect)
    if part in ("write", "sync"):
        log.load()  # nothing is written by a read
        with pytest.raises((LogUnavailableError, LogOutcomeUnknownError)):
            log.append([])
    else:
        with pytest.raises(LogUnavailableError, match=r"table\.sqlite3"):
            log.load()
    disk.mend()
    assert log.load().state.index == 0
    log.close()
