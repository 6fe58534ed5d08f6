"""The durable log: cut off at every kind of place, restarted, and on files that are not its own."""

from __future__ import annotations

import random
import shutil
import sqlite3

import pytest

from brassfall.controlplane.store.commands import Delete, Put
from brassfall.controlplane.store.log import FILE, Log, LogError


def written(folder, seed, commits=40):
    """A log with random commits; the length of its WAL and the rows after each."""
    rng = random.Random(seed)
    log = Log(folder, checkpoint_pages=0)
    state = log.load().state
    wal = folder / f"{FILE}-wal"
    steps = [(wal.stat().st_size, {}, 0)]
    for _ in range(commits):
        transaction = state.begin(0)
        for _ in range(rng.randint(1, 20)):
            key, value = str(rng.randint(0, 9)), "x" * rng.randint(0, 300)
            if rng.random() < 0.2:
                transaction.run(Delete(table="t", key=key))
            else:
                transaction.run(Put(table="t", key=key, value=value))
        if transaction.records:
            log.append(transaction.records)
            state.apply(transaction.records)
        steps.append((wal.stat().st_size, {row.key: row.value for row in state.rows("t")}, state.index))
    image = {name: (folder / name).read_bytes() for name in (FILE, f"{FILE}-wal")}
    log.close()
    return image, steps


def test_after_any_truncation_all_acknowledged_writes_are_there_and_no_index_comes_twice(tmp_path):
    rng = random.Random(7)
    for seed in range(4):
        image, steps = written(tmp_path / f"w{seed}", seed)
        complete = image[f"{FILE}-wal"]
        for _ in range(250):
            end = rng.randint(steps[0][0], len(complete))
            junk = rng.randbytes(rng.choice((0, 1, 24, 4096, 9000)))  # a last page that never came to be
            folder = tmp_path / "truncated"
            shutil.rmtree(folder, ignore_errors=True)
            folder.mkdir()
            (folder / FILE).write_bytes(image[FILE])
            (folder / f"{FILE}-wal").write_bytes(complete[:end] + junk)
            # What was acknowledged when the file had at most this length; nothing beyond half a commit.
            _, rows, index = max((step for step in steps if step[0] <= end), key=lambda step: step[0])
            log = Log(folder)
            state = log.load().state
            assert {row.key: row.value for row in state.rows("t")} == rows
            assert state.index == index
            incarnation = state.begin_incarnation(0, 0)
            log.append([incarnation])  # it can be written to as before
            assert incarnation.index > index
            log.close()


def test_after_a_restart_watchers_continue_from_their_index(tmp_path):
    log = Log(tmp_path)
    state, indexes = log.load().state, []
    for number in range(12):
        transaction = state.begin(0)
        indexes.append(transaction.run(Put(table="t", key=str(number), value=number)).index)
        log.append(transaction.records)
        state.apply(transaction.records)
        if number in (4, 8):
            log.compact(state.snapshot())
    log.close()
    restarted = Log(tmp_path)
    state = restarted.load().state
    incarnation = state.begin_incarnation(1000, 0)
    restarted.append([incarnation])
    state.apply([incarnation])
    # From the snapshot before the last one on; nothing older is kept.
    assert [state.changes_since("t", index) is not None for index in indexes] == [False] * 4 + [True] * 8
    assert [change.row.value for change in state.changes_since("t", indexes[6])] == [7, 8, 9, 10, 11]
    assert state.changes_since("t", indexes[-1]) == [] and state.changes_since("t", 999) is None
    restarted.close()


def test_a_log_that_is_locked_foreign_or_damaged_is_named(tmp_path):
    first = Log(tmp_path / "a")
    first.load()
    with pytest.raises(LogError, match=r"table\.sqlite3: another process has it open"):
        Log(tmp_path / "a").load()
    first.close()
    for name, content in (("b", b"no database" * 100), ("c", None)):
        folder = tmp_path / name
        folder.mkdir()
        if content is None:
            with sqlite3.connect(folder / FILE) as db:
                db.execute("create table other (x)")
            db.close()
        else:
            (folder / FILE).write_bytes(content)
        with pytest.raises(LogError, match=r"table\.sqlite3: "):
            Log(folder).load()
    (tmp_path / "file").write_text("")
    with pytest.raises(LogError, match="file"):
        Log(tmp_path / "file").load()
