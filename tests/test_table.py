"""The versioned table and its log: against a plain model, and cut off at every kind of place."""

from __future__ import annotations

import random
import shutil
import tempfile
from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from brassfall.controlplane.store import core
from brassfall.controlplane.store.core import Delete, Patch, Put, Status, Table
from brassfall.controlplane.store.leases import STEP_MOST_MS, Guard, Leases
from brassfall.controlplane.store.log import FILE, Log, LogError

RING = 3
KEYS = st.sampled_from(["a", "b"])
TABLES = st.sampled_from(["t", "u"])
FENCES = st.one_of(st.none(), st.integers(0, 1))
MATCHES = st.sampled_from([None, None, None, "right", "none", "wrong"])
IDS = st.sampled_from(["", "", "", "r1", "r2"])


class AgainstAPlainModel(RuleBasedStateMachine):
    """Commands in batches that succeed or fail on the disk, restarts, watchers that come back."""

    @initialize()
    def begin(self):
        self.folder = Path(tempfile.mkdtemp())
        self.rows, self.answers, self.told = {}, {}, []
        self.lists = {0: {}}  # what each index stood for
        self.forgotten = []  # indexes that a life began above
        self.floor = 0
        self.open()

    def open(self):
        self.log = Log(self.folder)
        self.table = self.log.load(RING).table
        self.floor += 1000
        life = self.table.life(self.floor, 0)
        self.log.append([life])
        self.table.absorb([life])
        assert self.table.index >= self.floor
        self.lists[self.table.index] = dict(self.rows)

    def match(self, how, place):
        version = self.rows[place][0] if place in self.rows else 0
        return {None: None, "right": version, "none": 0, "wrong": version + 7}[how]

    def expected(self, command, place):
        """What the plain model answers."""
        row = self.rows.get(place)
        if row is None and not isinstance(command, Put):
            return Status.MISSING
        if row is not None and command.fence is not None:
            put = isinstance(command, Put)
            if command.fence > row[2] and not put:
                return Status.MISSING
            if command.fence < row[2] or (put and command.fence == row[2] and command.owner != row[3]):
                return Status.CONFLICT
        if command.if_match is not None and command.if_match != (row[0] if row else 0):
            return Status.STALE
        return Status.DONE

    def carry_out(self, command, fails):
        place = (command.table, command.key)
        stage = self.table.stage(0)
        result = stage.run(command)
        if command.request_id in self.answers:
            assert result == self.answers[command.request_id]
            assert not stage.records
            return
        assert result.status is self.expected(command, place)
        if fails:
            return  # the disk took nothing: nothing of it may be seen
        if stage.records:
            self.log.append(stage.records)
        self.table.absorb(stage.records)
        if command.request_id:
            self.answers[command.request_id] = result
        if not result.done:
            return
        assert result.index > max(self.lists)
        row = self.rows.get(place)
        if isinstance(command, Put):
            fence = command.fence if command.fence is not None else row[2] if row else 0
            self.rows[place] = (result.index, command.value, fence, command.owner)
        elif isinstance(command, Patch):
            self.rows[place] = (result.index, {**row[1], **command.changes}, *row[2:])
        else:
            del self.rows[place]
        self.lists[result.index] = dict(self.rows)

    @rule(
        table=TABLES, key=KEYS, n=st.integers(0, 9), fence=FENCES, owner=st.sampled_from("xy"), how=MATCHES,
        request_id=IDS, fails=st.booleans(),
    )  # fmt: skip
    def put(self, table, key, n, fence, owner, how, request_id, fails):
        match = self.match(how, (table, key))
        self.carry_out(
            Put(table=table, key=key, value={"n": n}, fence=fence, owner=owner, if_match=match,
                request_id=request_id),
            fails,
        )  # fmt: skip

    @rule(table=TABLES, key=KEYS, n=st.integers(0, 9), fence=FENCES, how=MATCHES, request_id=IDS)
    def patch(self, table, key, n, fence, how, request_id):
        match = self.match(how, (table, key))
        self.carry_out(
            Patch(table=table, key=key, changes={"m": n}, fence=fence, if_match=match, request_id=request_id),
            False,
        )

    @rule(table=TABLES, key=KEYS, fence=FENCES, how=MATCHES, request_id=IDS)
    def delete(self, table, key, fence, how, request_id):
        match = self.match(how, (table, key))
        self.carry_out(
            Delete(table=table, key=key, fence=fence, if_match=match, request_id=request_id), False
        )

    @rule(compact=st.booleans())
    def restart(self, compact):
        if compact:
            self.log.compact(self.table.dump())
        self.log.close()
        self.open()

    @invariant()
    def the_rows_are_those_of_the_model(self):
        for table in ("t", "u"):
            held = {row.key: (row.version, row.value, row.fence, row.owner) for row in self.table.rows(table)}
            assert held == {key: row for (name, key), row in self.rows.items() if name == table}

    @invariant()
    def changes_lead_from_any_list_that_was_told_to_the_present_one(self):
        for index, then in self.lists.items():
            for table in ("t", "u"):
                changes = self.table.since(table, index)
                if changes is None:
                    continue  # the whole list will be told
                held = {key: row[0] for (name, key), row in then.items() if name == table}
                for change in changes:
                    if change.gone:
                        held.pop(change.row.key, None)
                    else:
                        held[change.row.key] = change.row.version
                assert held == {row.key: row.version for row in self.table.rows(table)}

    @invariant()
    def an_index_that_was_never_told_gets_the_whole_list(self):
        assert self.table.since("t", self.table.index + 1) is None
        assert self.table.since("t", self.floor - 1) is None or self.floor - 1 in self.lists

    def teardown(self):
        if hasattr(self, "log"):
            self.log.close()
            shutil.rmtree(self.folder)


AgainstAPlainModel.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestAgainstAPlainModel = AgainstAPlainModel.TestCase


def test_the_answer_to_a_request_id_is_forgotten_by_age_and_number(monkeypatch):
    monkeypatch.setattr(core, "REMEMBERED_MOST", 3)
    table = Table()

    def put(at, request_id):
        stage = table.stage(at)
        stage.run(Put(table="t", key="a", value=1, request_id=request_id))
        table.absorb(stage.records)

    for number in range(4):
        put(0, f"r{number}")
    assert table.answer("r0") is None and table.answer("r1") is not None
    put(core.REMEMBERED_MS + 1, "late")
    assert [table.answer(f"r{n}") for n in range(4)] == [None] * 4
    assert table.answer("late") is not None


# --- the log ------------------------------------------------------------------


def written(folder, seed, commits=40):
    """A log with random commits; the length of its WAL and the rows after each."""
    rng = random.Random(seed)
    log = Log(folder, checkpoint_pages=0)
    table = log.load().table
    wal = folder / f"{FILE}-wal"
    steps = [(wal.stat().st_size, {}, 0)]
    for _ in range(commits):
        stage = table.stage(0)
        for _ in range(rng.randint(1, 20)):
            key, value = str(rng.randint(0, 9)), "x" * rng.randint(0, 300)
            if rng.random() < 0.2:
                stage.run(Delete(table="t", key=key))
            else:
                stage.run(Put(table="t", key=key, value=value))
        if stage.records:
            log.append(stage.records)
            table.absorb(stage.records)
        steps.append((wal.stat().st_size, {row.key: row.value for row in table.rows("t")}, table.index))
    image = {name: (folder / name).read_bytes() for name in (FILE, f"{FILE}-wal")}
    log.close()
    return image, steps


def test_after_any_cut_all_acknowledged_writes_are_there_and_no_index_comes_twice(tmp_path):
    rng = random.Random(7)
    for seed in range(4):
        image, steps = written(tmp_path / f"w{seed}", seed)
        whole = image[f"{FILE}-wal"]
        for _ in range(250):
            cut = rng.randint(steps[0][0], len(whole))
            junk = rng.randbytes(rng.choice((0, 1, 24, 4096, 9000)))  # a last page that never came to be
            folder = tmp_path / "cut"
            shutil.rmtree(folder, ignore_errors=True)
            folder.mkdir()
            (folder / FILE).write_bytes(image[FILE])
            (folder / f"{FILE}-wal").write_bytes(whole[:cut] + junk)
            # What was acknowledged when the file had at most this length; nothing beyond half a commit.
            _, rows, index = max((step for step in steps if step[0] <= cut), key=lambda step: step[0])
            log = Log(folder)
            table = log.load().table
            assert {row.key: row.value for row in table.rows("t")} == rows
            assert table.index == index
            life = table.life(0, 0)
            log.append([life])  # it can be written to as before
            assert life.index > index
            log.close()


def test_after_a_restart_watchers_go_on_from_what_they_held(tmp_path):
    log = Log(tmp_path)
    table, told = log.load().table, []
    for number in range(12):
        stage = table.stage(0)
        told.append(stage.run(Put(table="t", key=str(number), value=number)).index)
        log.append(stage.records)
        table.absorb(stage.records)
        if number in (4, 8):
            log.compact(table.dump())
    log.close()
    again = Log(tmp_path)
    table = again.load().table
    life = table.life(1000, 0)
    again.append([life])
    table.absorb([life])
    # From the snapshot before the last one on; nothing older is kept.
    assert [table.since("t", index) is not None for index in told] == [False] * 4 + [True] * 8
    assert [change.row.value for change in table.since("t", told[6])] == [7, 8, 9, 10, 11]
    assert table.since("t", told[-1]) == [] and table.since("t", 999) is None
    again.close()


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
            import sqlite3

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


# --- leases ---------------------------------------------------------------------

TTL = 6000.0


def run_leases(count, silent_from, until, guard=None, stall=None):
    """Leases of `count` holders that renew at a third, some silent from a time on; what ended when."""
    leases = Leases(guard or Guard())
    names = [f"s{i}" for i in range(count)]
    for name in names:
        leases.grant(0.0, name, TTL, True)
    ended, suspected, now = {}, set(), 0.0
    while now < until:
        now += 100.0
        if stall and stall[0] <= now < stall[1]:
            continue  # the service does not run; nobody can renew
        for i, name in enumerate(names):
            spoke = (now + 100.0 * (i % 20)) % 2000.0 < 100.0
            if spoke and name not in ended and now < silent_from.get(name, until):
                leases.renew(now, name)
        verdict = leases.look(now)
        ended |= dict.fromkeys(verdict.expired, now)
        suspected |= set(verdict.suspected)
    return ended, suspected, leases


@pytest.mark.parametrize(
    ("count", "gone", "ends", "suspects"),
    [
        (12, 1, True, 0),  # one has died
        (3, 1, True, 0),  # also where that is a third
        (12, 4, False, 4),  # a third is cut off
        (12, 12, False, 12),  # all are
        (12, 3, True, 0),  # a quarter is not more than the share
    ],
)
def test_the_silence_of_many_is_doubted_and_that_of_few_is_not(count, gone, ends, suspects):
    silent = {f"s{i}": 20_000.0 for i in range(gone)}
    ended, suspected, leases = run_leases(count, silent, 40_000.0)
    assert len(suspected) == suspects == len(leases.suspects)
    assert set(ended) == (set(silent) if ends else set())
    assert all(20_000.0 + TTL * 2 / 3 <= at <= 20_000.0 + TTL + 200.0 for at in ended.values())


def test_the_guard_ends_and_who_comes_back_is_no_suspect():
    silent = {f"s{i}": 20_000.0 for i in range(4)}
    ended, suspected, leases = run_leases(12, silent, 100_000.0)
    assert set(ended) == suspected == set(silent)
    assert all(83_900.0 < at < 86_500.0 for at in ended.values())  # a minute after their leases
    leases = Leases(Guard())
    for name in "abc":
        leases.grant(0.0, name, TTL, True)
    now = 0.0
    while now < 10_000.0:
        leases.look(now := now + 100.0)
    assert leases.suspects == ["a", "b", "c"]
    for name in "abc":
        leases.renew(now, name)
    assert leases.suspects == []
    ended = []
    while now < 20_000.0:
        leases.look(now := now + 100.0)
        for name in "ab":
            leases.renew(now, name)
        ended += [now] if "c" not in leases._leases else []
    assert ended[0] <= 10_000.0 + TTL + 200.0  # its later death is seen in time, not a minute on


def test_a_stall_expires_nobody():
    ended, suspected, _ = run_leases(12, {}, 80_000.0, stall=(20_000.0, 50_000.0))
    assert not ended and not suspected
    leases = Leases(Guard())
    leases.grant(0.0, "a", TTL, True)
    leases.look(30_000.0)
    assert len(leases) == 1 and leases.silence(30_000.0, "a") == STEP_MOST_MS


def test_what_leaves_is_not_doubted():
    leases = Leases(Guard())
    for name in "abcd":
        leases.grant(0.0, name, TTL, False)
    now, ended = 0.0, []
    while now < 7000.0:
        ended += leases.look(now := now + 100.0).expired
    assert ended == ["a", "b", "c", "d"]
