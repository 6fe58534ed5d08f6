"""The state machine of the store and its log, compared with a model in plain dictionaries."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from brassfall.controlplane.store import state as store_state
from brassfall.controlplane.store.commands import Delete, Patch, Put
from brassfall.controlplane.store.log import Log
from brassfall.controlplane.store.records import Status
from brassfall.controlplane.store.state import State

HISTORY_LENGTH = 3  # Number of changes that the state keeps of each table
KEYS = st.sampled_from(["a", "b"])
TABLES = st.sampled_from(["t", "u"])
FENCES = st.one_of(st.none(), st.integers(0, 1))
MATCHES = st.sampled_from([None, None, None, "right", "none", "wrong"])
IDS = st.sampled_from(["", "", "", "r1", "r2"])


class StoreAgainstModel(RuleBasedStateMachine):
    """Commands whose commits succeed or fail, restarts, and watchers that reconnect with old indexes."""

    @initialize()
    def begin(self):
        self.folder = Path(tempfile.mkdtemp())
        # Rows of the model as (version, value, fence, owner) by (table, key), and results by request id.
        self.rows, self.answers = {}, {}
        self.lists = {0: {}}  # Rows of the model at each index that was used
        self.least_index = 0
        self.open()

    def open(self):
        """Load the log, and begin an incarnation."""
        self.log = Log(self.folder)
        self.state = self.log.load(HISTORY_LENGTH).state
        self.least_index += 1000
        incarnation = self.state.begin_incarnation(self.least_index, 0)
        self.log.append([incarnation])
        self.state.apply([incarnation])
        assert self.state.index >= self.least_index
        self.lists[self.state.index] = dict(self.rows)

    def match(self, how, place):
        """Return the `if_match` of a command for the row at (table, key)."""
        version = self.rows[place][0] if place in self.rows else 0
        return {None: None, "right": version, "none": 0, "wrong": version + 7}[how]

    def expected(self, command, place):
        """Return the status that the model gives to a command."""
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
        """Run a command on the state and on the model, and compare; with `fails` its commit fails."""
        place = (command.table, command.key)
        transaction = self.state.begin(0)
        result = transaction.run(command)
        if command.request_id in self.answers:
            assert result == self.answers[command.request_id]
            assert not transaction.records
            return
        assert result.status is self.expected(command, place)
        if fails:
            return  # The records did not reach the disk, so the command must have no effect
        if transaction.records:
            self.log.append(transaction.records)
        self.state.apply(transaction.records)
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
            self.log.compact(self.state.snapshot())
        self.log.close()
        self.open()

    @invariant()
    def the_rows_are_those_of_the_model(self):
        for table in ("t", "u"):
            found = {
                row.key: (row.version, row.value, row.fence, row.owner) for row in self.state.rows(table)
            }
            assert found == {key: row for (name, key), row in self.rows.items() if name == table}

    @invariant()
    def changes_lead_from_the_list_of_any_used_index_to_the_present_list(self):
        for index, rows in self.lists.items():
            for table in ("t", "u"):
                changes = self.state.changes_since(table, index)
                if changes is None:
                    continue  # The watcher gets the complete list
                versions = {key: row[0] for (name, key), row in rows.items() if name == table}
                for change in changes:
                    if change.deleted:
                        versions.pop(change.row.key, None)
                    else:
                        versions[change.row.key] = change.row.version
                assert versions == {row.key: row.version for row in self.state.rows(table)}

    @invariant()
    def an_index_that_was_never_used_gets_the_complete_list(self):
        assert self.state.changes_since("t", self.state.index + 1) is None
        assert (
            self.state.changes_since("t", self.least_index - 1) is None or self.least_index - 1 in self.lists
        )

    def teardown(self):
        if hasattr(self, "log"):
            self.log.close()
            shutil.rmtree(self.folder)


StoreAgainstModel.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestStoreAgainstModel = StoreAgainstModel.TestCase


def test_answers_to_request_ids_are_dropped_by_number_and_by_age(monkeypatch):
    monkeypatch.setattr(store_state, "MAX_ANSWERS", 3)
    store = State()

    def put(time_ms, request_id):
        transaction = store.begin(time_ms)
        transaction.run(Put(table="t", key="a", value=1, request_id=request_id))
        store.apply(transaction.records)

    for number in range(4):
        put(0, f"r{number}")
    assert store.remembered_answer("r0") is None and store.remembered_answer("r1") is not None
    put(store_state.ANSWERS_KEPT_MS + 1, "late")
    assert [store.remembered_answer(f"r{n}") for n in range(4)] == [None] * 4
    assert store.remembered_answer("late") is not None
