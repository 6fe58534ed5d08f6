"""The store on a failing disk: writers, readers, watchers and a restart agree on which writes were made."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from types import SimpleNamespace

import pytest
from aiohttp import web
from aiohttp.test_utils import make_mocked_request

from brassfall.controlplane.registry.override_clock import KEY, TABLE
from brassfall.controlplane.registry.overrides import Overrides
from brassfall.controlplane.store.commands import Delete, Put
from brassfall.controlplane.store.log import Log, LogError
from brassfall.controlplane.store.outcomes import NotWrittenError, OutcomeUnknownError
from brassfall.controlplane.store.records import Result, Status
from brassfall.controlplane.store.store import Store, StoreOptions
from brassfall.errors import UnavailableError
from tests.support.disk_faults import Disk, files_after
from tests.support.loopback import bounded, until


class RunningStore:
    """A running store on a simulated disk, and the keys of the changes that it has notified of."""

    def __init__(self, folder):
        self.folder, self.disk, self.notified = folder, Disk(), []
        log = Log(folder, connect=self.disk.connect)
        self.store = Store(log, StoreOptions(), lambda table, change: self.notified.append(change.row.key))

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *error):
        await self.store.close()

    def put(self, key, request_id="", until_settled=False):
        command = Put(table="t", key=key, value=key, request_id=request_id)
        return self.store.submit(command, until_settled=until_settled)

    def fail_with_unknown_outcome(self, part):
        """Let the next commit fail at its first write or at its sync, and the file fail to open then."""
        setattr(self.disk, part, f"EIO {part}")
        self.disk.open = "EIO open"

    def rows(self):
        """Return the versions of the rows of the table "t" by key."""
        return {row.key: row.version for row in self.store.state.rows("t")}

    def after_restart(self, table="t"):
        """Return the versions of the rows that a start would read, by key."""
        return rows_in(self.folder, table)


def rows_in(folder, table="t"):
    """Return the versions of the rows that a start reads from a folder, by key."""
    log = Log(folder)
    state = log.load().state
    log.close()
    return {row.key: row.version for row in state.rows(table)}


@bounded(30.0)
async def test_a_write_with_unknown_outcome_that_is_in_the_file_is_applied_and_notified(tmp_path):
    async with RunningStore(tmp_path) as running:
        running.fail_with_unknown_outcome("sync")
        waits = running.put("internal", until_settled=True)
        with pytest.raises(OutcomeUnknownError, match=r"may have happened.*X-Request-Id") as unknown:
            await running.put("a", "r1")
        assert (unknown.value.status, unknown.value.slug) == (503, "outcome unknown")
        with pytest.raises(NotWrittenError):
            await running.put("b", "r2")
        assert not running.rows() and not running.notified and not waits.done()
        assert "EIO open" in running.store.statistics.disk_error
        running.disk.repair()
        internal = await waits
        assert running.notified == ["internal", "a"]
        assert not running.store.statistics.disk_error
        repeated = await running.put("a", "r1")
        assert repeated == Result(Status.DONE, running.rows()["a"])
        await running.put("b", "r2")
        rows = running.rows()
        assert rows["internal"] == internal.index and list(rows) == ["internal", "a", "b"]
    assert running.after_restart() == rows


@bounded(30.0)
async def test_a_write_with_unknown_outcome_that_is_not_in_the_file_is_refused_and_can_be_repeated(tmp_path):
    async with RunningStore(tmp_path) as running:
        running.fail_with_unknown_outcome("write")
        waits = running.put("internal", until_settled=True)
        with pytest.raises(OutcomeUnknownError):
            await running.put("a", "r1")
        running.disk.repair()
        with pytest.raises(NotWrittenError):
            await waits
        assert not running.notified and not running.rows()
        await running.put("a", "r1")
        rows = running.rows()
        assert list(rows) == ["a"] == running.notified
    assert running.after_restart() == rows


@bounded(30.0)
async def test_a_repeat_waits_for_the_outcome_and_an_earlier_answer_is_repeated(tmp_path):
    async with RunningStore(tmp_path) as running:
        first = await running.put("before", "r0")
        running.fail_with_unknown_outcome("sync")
        first_call = asyncio.ensure_future(running.put("a", "r1"))
        await until(lambda: running.store.statistics.disk_error)
        assert await running.put("before", "r0") == first
        repeat = running.put("a", "r1", until_settled=True)
        running.disk.repair()
        assert await repeat == await first_call == Result(Status.DONE, running.rows()["a"])
        assert running.notified == ["before", "a"]


@bounded(30.0)
async def test_a_stop_distinguishes_writes_that_were_not_made_from_writes_with_unknown_outcome(tmp_path):
    async with RunningStore(tmp_path) as running:
        running.fail_with_unknown_outcome("sync")
        waits = running.put("a", until_settled=True)
        await until(lambda: running.store.statistics.disk_error)
    with pytest.raises(OutcomeUnknownError, match="stopping"):
        await waits
    with pytest.raises(NotWrittenError, match="stopping"):
        running.put("b")
    running.disk.repair()
    assert list(running.after_restart()) in (["a"], [])


@bounded(30.0)
async def test_a_stop_answers_the_batch_that_is_being_written(tmp_path):
    async with RunningStore(tmp_path) as running:
        written = running.put("a")
        await asyncio.sleep(0)  # The writer takes the batch and starts to write it
        closing = asyncio.ensure_future(running.store.close())
        result = await written
        await closing
    assert running.after_restart() == {"a": result.index}


@pytest.mark.parametrize("seed", range(12))
@bounded(60.0)
async def test_writers_that_repeat_until_the_outcome_is_known_agree_with_a_restart(tmp_path, seed):
    """The disk fails for short times in several ways; each write is made once or never, as answered."""
    rng = random.Random(seed)
    async with RunningStore(tmp_path) as running:
        # Indexes of successful writes by key, and keys of writes that their writers have given up.
        written, given_up = {}, set()

        async def write(key):
            while key not in written and key not in given_up:
                try:
                    written[key] = (await running.put(key, f"id-{key}")).index
                except OutcomeUnknownError:
                    await asyncio.sleep(0.01)
                except NotWrittenError:
                    if rng.random() < 0.5:
                        given_up.add(key)
                    await asyncio.sleep(0.01)

        async def fail():
            for _ in range(12):
                disk = running.disk
                part, error = rng.choice([("write", "ENOSPC"), ("write", "EIO write"), ("sync", "EIO sync")])
                setattr(disk, part, error)
                disk.after, disk.keep = rng.randrange(4), rng.random()
                disk.open = rng.choice(["", "EIO open"])
                await asyncio.sleep(rng.uniform(0.0, 0.08))
                disk.repair()
                await asyncio.sleep(rng.uniform(0.0, 0.08))

        failing = asyncio.ensure_future(fail())
        number = 0
        while not failing.done():
            batch = [f"k{number + i}" for i in range(rng.randint(1, 4))]
            number += len(batch)
            await asyncio.gather(*(write(key) for key in batch))
            await asyncio.sleep(0.005)
        await failing
        assert running.disk.failed
        assert running.rows() == written
        assert sorted(running.notified) == sorted(written)
        assert not given_up & written.keys()
    assert running.after_restart() == written


@pytest.mark.parametrize("seed", range(6))
@bounded(60.0)
async def test_a_kill_after_any_change_of_the_files_agrees_with_the_answers_given_before(tmp_path, seed):
    """All changes of the files are recorded on a disk that fails for short times.

    A start then reads the files as they were after some of the changes: it has to find the writes that were
    answered as done by then, and none that was refused.
    """
    rng = random.Random(seed)
    async with RunningStore(tmp_path / "live") as running:
        disk = running.disk
        base = {path.name: path.read_bytes() for path in running.folder.iterdir()}
        disk.record()
        written, refused = {}, {}  # Number of changes of the files at the answer to a write, by key

        async def write(key):
            for _ in range(200):
                try:
                    await running.put(key, f"id-{key}")
                except OutcomeUnknownError:
                    await asyncio.sleep(0.01)
                except NotWrittenError:
                    refused[key] = len(disk.changes)
                    return
                else:
                    written[key] = len(disk.changes)
                    return

        for number in range(40):
            part, error = rng.choice([("write", "ENOSPC"), ("write", "EIO write"), ("sync", "EIO sync")])
            if rng.random() < 0.5:
                setattr(disk, part, error)
                disk.after, disk.keep = rng.randrange(5), rng.random()
                disk.open = rng.choice(["", "EIO open"])
            writing = [asyncio.ensure_future(write(f"k{number}-{i}")) for i in range(rng.randint(1, 3))]
            await asyncio.sleep(rng.uniform(0.0, 0.06))
            disk.repair()
            await asyncio.gather(*writing)
        changes = list(disk.changes)
    assert written and refused
    for sample in range(60):
        count, last_share = rng.randrange(len(changes) + 1), rng.choice((0.0, 0.4, 1.0))
        folder = tmp_path / f"killed-{sample}"
        folder.mkdir()
        for name, content in files_after(base, changes, count, last_share).items():
            (folder / name).write_bytes(content)
        rows = rows_in(folder)
        missing = [key for key, answered_at in written.items() if answered_at < count and key not in rows]
        appeared = [key for key, answered_at in refused.items() if answered_at < count and key in rows]
        assert (missing, appeared) == ([], []), (count, last_share)


@bounded(30.0)
async def test_a_row_whose_lease_ends_while_the_disk_fails_is_deleted_when_the_disk_works_again(tmp_path):
    async with RunningStore(tmp_path) as running:
        put = Put(table="t", key="a", value=1, lease_ms=300)
        await running.store.submit(put)
        running.fail_with_unknown_outcome("sync")
        await until(lambda: running.store.statistics.disk_error)  # The deletion of the row has failed
        assert "a" in running.rows()
        running.disk.repair()
        # The task that waited for the deletion counts the lease as expired.
        await until(lambda: running.store.statistics.expired_leases)
        assert (running.store.statistics.expired_leases, running.rows()) == (1, {})
        assert (await running.store.submit(Delete(table="t", key="a"))).status is Status.MISSING
    assert running.after_restart() == {}


@bounded(30.0)
async def test_a_failed_start_can_be_retried_when_the_disk_works_again(tmp_path):
    async with RunningStore(tmp_path) as running:
        await running.put("a")
    running = RunningStore(tmp_path)
    for part in ("open", "write", "sync"):
        setattr(running.disk, part, f"EIO {part}")
        with pytest.raises(LogError):
            await running.store.start()
        running.disk.repair()
    async with running:
        assert list(running.rows()) == ["a"]
        await running.put("b")
    assert list(running.after_restart()) == ["a", "b"]


# --- the overrides and the marks of their clock ---------------------------------


@contextlib.asynccontextmanager
async def overrides_on(running):
    """Run the overrides on a store, with a stub for the revisions that accepts whatever is published."""

    async def publish(**layers):
        return 1

    revisions = SimpleNamespace(blocked={}, overrides_in_force=lambda: None, publish=publish)

    async def body(request):
        return request[BODY]

    overrides = Overrides(SimpleNamespace(store=running.store, body=body), revisions)
    try:
        yield overrides
    finally:
        await overrides.close()


BODY = web.RequestKey("body", bytes)


async def call_override(overrides, method, document):
    """Call `/overrides/o` as the router does."""
    handler = next(route.handler for route in overrides.routes() if route.method == method)
    request = make_mocked_request(method, "/overrides/o", match_info={"name": "o"})
    request[BODY] = json.dumps(document).encode()
    return await handler(request)


@bounded(30.0)
async def test_the_overrides_do_not_start_before_the_first_mark_of_their_clock_is_durable(tmp_path):
    async with RunningStore(tmp_path) as running, overrides_on(running) as overrides:
        running.fail_with_unknown_outcome("write")
        with pytest.raises(UnavailableError):
            await overrides.start()
        assert running.store.state.get(TABLE, KEY) is None
        running.disk.repair()
        await until(lambda: not running.store.statistics.disk_error)
        await overrides.start()
        assert running.store.state.get(TABLE, KEY) is not None


@bounded(30.0)
async def test_an_override_with_unknown_outcome_is_answered_so_and_is_in_force_if_its_row_is_durable(
    tmp_path,
):
    async with RunningStore(tmp_path) as running, overrides_on(running) as overrides:
        await overrides.start()
        document = {"action": {"freeze": True}, "by": "ana", "why": "w", "until_ms": overrides.now() + 60_000}
        running.fail_with_unknown_outcome("sync")
        with pytest.raises(OutcomeUnknownError, match=r"may have happened.*Send the same call again"):
            await call_override(overrides, "PUT", document)
        running.disk.repair()
        await until(lambda: overrides.store.get("o", overrides.now()))
        assert (await call_override(overrides, "PUT", document)).status == 200
        assert running.store.state.count("overrides") == 1
    assert "o" in running.after_restart("overrides")
