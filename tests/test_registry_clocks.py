"""The wall clock of the list service's machine is stepped, amid a life and between two: spans are real time.

Once with a real process, whose `time.time` a file moves that the test writes; then in process, step by step.
"""

from __future__ import annotations

import asyncio
import functools
import os
import shutil
import signal
import time

import aiohttp
import pytest

from brassfall import settings
from brassfall.controlplane.registry.server import Service as InProcess
from brassfall.controlplane.store.incarnations import first_index
from tests.loopback import bounded
from tests.processes import Service
from tests.test_registry_service import ENTRY, call

HOUR_S = 3600.0
# Python runs a module of this name before a program: it moves the wall clock of the process, and no other.
MOVED = """
import os, time
def moved(clock, unit):
    def read():
        with open(os.environ["WALL_CLOCK"]) as file:
            return clock() + type(unit)(float(file.read()) * unit)
    return read
time.time, time.time_ns = moved(time.time, 1.0), moved(time.time_ns, 10**9)
"""


class Moved(Service):
    """A list service in a process of its own, whose wall clock is off by what a file says."""

    def __init__(self, tmp_path, **changes):
        super().__init__(tmp_path, **changes)
        self.folder = tmp_path / "moved"
        self.folder.mkdir()
        (self.folder / "sitecustomize.py").write_text(MOVED)
        self.step(0.0)

    def step(self, off_s):
        """Set it, at once and for processes to come."""
        new = self.folder / "new"
        new.write_text(str(off_s))
        os.replace(new, self.folder / "off")

    async def start(self, limit=""):
        moved = f'export PYTHONPATH="{self.folder}" WALL_CLOCK="{self.folder / "off"}";'
        return await super().start(f"{limit} {moved}")


def override(now_ms, lasts_ms):
    """The body of an override that ends so long after a time of the service."""
    action = {"hold": {"region": "b"}}
    return {"action": action, "by": "ann", "why": "b loses packets", "until_ms": int(now_ms + lasts_ms)}


async def taken(ask, path):
    """Whether a row is there."""
    return (await ask("GET", path))[0] == 200


async def gone_after(ask, path, begun):
    """Real seconds from a moment until a row is gone."""
    async with asyncio.timeout(20.0):
        while await taken(ask, path):
            await asyncio.sleep(0.05)
    return time.monotonic() - begun


# --- a real process --------------------------------------------------------------------------------


@pytest.mark.parametrize("step_s", [HOUR_S, -HOUR_S], ids=["forward", "back"])
@bounded(90.0)
async def test_a_step_of_an_hour_amid_a_life_and_over_a_kill_moves_no_span(tmp_path, step_s):
    async with Moved(tmp_path, leases={"restart_grace_ms": 1500}) as service:
        await service.start()
        async with aiohttp.ClientSession() as session:
            ask = functools.partial(call, session, service)
            _, first, _ = await ask("GET", "/overrides")
            assert abs(first["now_ms"] - time.time() * 1000.0) < 2000.0
            lasting = override(first["now_ms"], 12_000)
            begun = time.monotonic()
            assert (await ask("PUT", "/overrides/short", lasting))[0] == 200
            assert (await ask("PUT", "/tables/t/leased", 1, X_Lease="2000"))[0] == 200
            _, told, _ = await ask("PUT", "/tables/t/once", 1, X_Request_Id="r1")
            service.step(step_s)
            # Amid the life: ages, leases and times left go on as if nothing had been.
            _, row, _ = await ask("GET", "/tables/t/leased")
            assert row["age_ms"] < 2000.0
            _, shown, _ = await ask("GET", "/overrides/short")
            assert 12_000 - (time.monotonic() - begun) * 1000.0 - 50.0 <= shown["left_ms"] <= 12_000
            assert await gone_after(ask, "/tables/t/leased", begun) > 1.9
            await ask("PUT", "/tables/t/kept", 1, X_Lease="1000")
        await service.end(signal.SIGKILL)
        started = time.monotonic()
        await service.start()
        async with aiohttp.ClientSession() as session:
            ask = functools.partial(call, session, service)
            # Over the start: indexes grow, the answer to a known request is the first, the grace is real
            # time, and the override has lost what passed, no less and no more.
            _, shown, _ = await ask("GET", "/overrides/short")
            passed = (time.monotonic() - begun) * 1000.0
            assert 12_000 - passed - 100.0 <= shown["left_ms"] <= 12_000 - passed + 100.0
            assert shown["until_ms"] == lasting["until_ms"]
            assert (await ask("PUT", "/tables/t/once", 2, X_Request_Id="r1"))[1] == told
            _, written, _ = await ask("PUT", "/tables/t/more", 1)
            assert written["index"] > told["index"]
            assert await gone_after(ask, "/tables/t/kept", started) > 1.5
            assert 11.5 < await gone_after(ask, "/overrides/short", begun) < 13.0


@bounded(90.0)
async def test_a_clock_that_went_back_over_a_lost_disk_is_told_from_a_restart_and_gathering_is_real_time(
    tmp_path,
):
    """The one thing that no clock says: an index that was told before may be above all of the new life."""
    async with Moved(tmp_path, leases={"gather_ms": 1500}) as service:
        await service.start()
        async with aiohttp.ClientSession() as session:
            _, told, _ = await call(session, service, "PUT", "/registry/instances/s1", ENTRY)
        await service.end(signal.SIGKILL)
        shutil.rmtree(service.data)
        service.step(-HOUR_S)
        await service.start()
        started = time.monotonic()
        async with aiohttp.ClientSession() as session:
            ask = functools.partial(call, session, service)
            held = str(told["index"])
            status, _, _ = await ask("GET", "/registry/instances", X_Held_Index=held)
            assert status == 503  # it is known to be lost, whatever the clock says
            _, again, _ = await ask("PUT", "/registry/instances/s1", ENTRY)
            assert again["index"] < told["index"]
            service.step(HOUR_S)
            async with asyncio.timeout(10.0):
                while (await ask("GET", "/registry/instances", X_Held_Index=held))[0] != 200:
                    await asyncio.sleep(0.05)
            assert 1.0 < time.monotonic() - started < 4.0
            # Whoever watches from the index of the life that was lost gets the whole list, not a part.
            async with session.get(
                f"http://{service.listen}/registry/instances?watch=1&from={held}"
            ) as answer:
                line = await answer.content.readline()
            assert b'"snapshot":true' in line and b'"s1"' in line


# --- in process ------------------------------------------------------------------------------------


class Wall:
    """The wall clock of this process, off by some seconds."""

    def __init__(self, monkeypatch):
        self.off_s, real = 0.0, time.time
        monkeypatch.setattr(time, "time", lambda: real() + self.off_s)


@pytest.fixture
def wall(monkeypatch):
    """Steps the wall clock that the service reads."""
    return Wall(monkeypatch)


def configured(tmp_path, **changes):
    """Settings of a service in process."""
    config = Service(tmp_path, **changes).config
    return settings.load(config)


class Life:
    """One life of a service in this process."""

    def __init__(self, told):
        self.service = InProcess(told)

    async def __aenter__(self):
        self.listen = await self.service.start()
        self.session = aiohttp.ClientSession()
        return functools.partial(call, self.session, self)

    async def __aexit__(self, *error):
        await self.session.close()
        await self.service.close()


STEPS = [HOUR_S, -HOUR_S, 5.0, -5.0]


@pytest.mark.parametrize("step_s", STEPS)
@bounded(60.0)
async def test_indexes_grow_over_starts_with_a_stepped_clock_and_one_step_leaves_no_trace(
    tmp_path, wall, step_s
):
    told, indexes = configured(tmp_path), []
    for off_s in (0.0, step_s, 0.0, -step_s, 0.0):
        wall.off_s = off_s
        async with Life(told) as ask:
            written = [await ask("PUT", "/tables/t/k", [off_s, value]) for value in range(3)]
            indexes += [body["index"] for _, body, _ in written]
            _, listed, _ = await ask("GET", "/tables/t")
            assert listed["index"] == indexes[-1]
    assert indexes == sorted(set(indexes))


@pytest.mark.parametrize("step_s", STEPS)
@bounded(60.0)
async def test_an_override_ends_by_real_time_through_steps_amid_and_between_lives(tmp_path, wall, step_s):
    told = configured(tmp_path)
    async with Life(told) as ask:
        _, first, _ = await ask("GET", "/overrides")
        begun = time.monotonic()
        await ask("PUT", "/overrides/o", override(first["now_ms"], 2500))
        wall.off_s = step_s
        await asyncio.sleep(0.3)
        _, shown, _ = await ask("GET", "/overrides/o")
        assert abs(shown["left_ms"] - 2500 + (time.monotonic() - begun) * 1000.0) < 100.0
    for off_s in (step_s, 2.0 * step_s):
        wall.off_s = off_s
        async with Life(told) as ask:
            _, shown, _ = await ask("GET", "/overrides/o")
            assert abs(shown["left_ms"] - 2500 + (time.monotonic() - begun) * 1000.0) < 150.0
            if off_s != step_s:
                assert 2.3 < await gone_after(ask, "/overrides/o", begun) < 3.5


@pytest.mark.parametrize("step_s", [HOUR_S, -HOUR_S], ids=["forward", "back"])
@bounded(60.0)
async def test_a_server_that_starts_again_with_a_stepped_clock_waits_for_its_own_lease_at_most(
    tmp_path, wall, step_s
):
    """Of two processes with one name the later start holds it, and a server reads its start from its own wall
    clock: after a step back the new process looks like the older one, until the other's lease is over."""
    told = configured(tmp_path, leases={"least_ms": 300})
    async with Life(told) as ask:
        since = int(time.time() * 1000.0)
        path, begun = "/registry/instances/s1", time.monotonic()
        before = {**ENTRY, "since_ms": since, "ttl_ms": 800}
        assert (await ask("PUT", path, before))[0] == 200
        after = {**before, "address": "127.0.0.1:7002", "since_ms": since + int(step_s * 1000.0)}
        status, _, _ = await ask("PUT", path, after)
        assert status == (200 if step_s > 0 else 409)
        async with asyncio.timeout(5.0):
            while (await ask("PUT", path, after))[0] != 200:
                await asyncio.sleep(0.05)
        assert time.monotonic() - begun < (0.8 if step_s > 0 else 2.0)


@pytest.mark.parametrize("step_s", STEPS)
def test_a_life_on_a_kept_table_begins_above_it_whatever_the_clock_says(step_s):
    now = 1_800_000_000.0
    for drawn in (0, 1023, 2**30 - 1):
        last = first_index(now, 0, drawn) + 5
        assert last < first_index(now + step_s, last, drawn) < 2**53
