"""The durable log: truncated files, restarts, and files that are locked, damaged or of another program."""

from __future__ import annotations

import random
import shutil
import sqlite3

import pytest

from brassfall.controlplane.store.commands import Delete, Put
from brassfall.controlplane.store.log import FILE, Log, LogError


def write_random_commits(folder, seed, commits=40):
    """Write a log with random commits.

    Return the contents of its files by name, and for the start and each commit the length of the write-ahead
    log, the rows and the index after it.
    """
    rng = random.Random(seed)
    log = Log(folder, checkpoint_pages=0)
    state = log.load().state
    wal = folder / f"{FILE}-wal"
    states = [(wal.stat().st_size, {}, 0)]
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
        states.append((wal.stat().st_size, {row.key: row.value for row in state.rows("t")}, state.index))
    files = {name: (folder / name).read_bytes() for name in (FILE, f"{FILE}-wal")}
    log.close()
    return files, states


def test_after_any_truncation_all_acknowledged_writes_are_present_and_no_index_is_used_twice(tmp_path):
    rng = random.Random(7)
    for seed in range(4):
        files, states = write_random_commits(tmp_path / f"w{seed}", seed)
        complete_wal = files[f"{FILE}-wal"]
        for _ in range(250):
            end = rng.randint(states[0][0], len(complete_wal))
            # Random bytes stand for the rest of a write that was not completed.
            junk = rng.randbytes(rng.choice((0, 1, 24, 4096, 9000)))
            folder = tmp_path / "truncated"
            shutil.rmtree(folder, ignore_errors=True)
            folder.mkdir()
            (folder / FILE).write_bytes(files[FILE])
            (folder / f"{FILE}-wal").write_bytes(complete_wal[:end] + junk)
            # The last state that was acknowledged before the file was longer than `end`: a part of a further
            # commit must have no effect.
            _, rows, index = max((state for state in states if state[0] <= end), key=lambda state: state[0])
            log = Log(folder)
            state = log.load().state
            assert {row.key: row.value for row in state.rows("t")} == rows
            assert state.index == index
            incarnation = state.begin_incarnation(0, 0)
            log.append([incarnation])  # The truncated log can still be written to
            assert incarnation.index > index
            log.close()


def test_after_a_restart_watchers_continue_from_indexes_since_the_last_but_one_snapshot(tmp_path):
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
    # Changes are kept since the last but one snapshot, which was made after the change number 4.
    assert [state.changes_since("t", index) is not None for index in indexes] == [False] * 4 + [True] * 8
    assert [change.row.value for change in state.changes_since("t", indexes[6])] == [7, 8, 9, 10, 11]
    assert state.changes_since("t", indexes[-1]) == [] and state.changes_since("t", 999) is None
    restarted.close()


def test_the_error_for_a_locked_damaged_or_foreign_file_names_the_file(tmp_path):
    open_log = Log(tmp_path / "a")
    open_log.load()
    with pytest.raises(LogError, match=r"table\.sqlite3: another process has it open"):
        Log(tmp_path / "a").load()
    open_log.close()
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
