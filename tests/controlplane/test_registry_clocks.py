"""The wall clock of the list service's machine is stepped, amid a life and between two: spans are real time.

Once with a real process, whose `time.time` is off by what a file says; then in process, step by step.
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
from brassfall.controlplane.registry.channels import AGE_MARGIN_S
from brassfall.controlplane.registry.server import Service as InProcess
from brassfall.controlplane.store.incarnations import first_index
from tests.controlplane.test_registry_service import ENTRY, call
from tests.support.loopback import bounded
from tests.support.processes import Service

HOUR_S = 3600.0
# Python runs a module `sitecustomize` before a program: this one steps the wall clock of its process alone.
STEPPED_CLOCK = """
import os, time
def stepped(clock, unit):
    def read():
        with open(os.environ["WALL_CLOCK"]) as file:
            return clock() + type(unit)(float(file.read()) * unit)
    return read
time.time, time.time_ns = stepped(time.time, 1.0), stepped(time.time_ns, 10**9)
"""


class SteppedService(Service):
    """A list service in a process of its own, whose wall clock is off by what a file says."""

    def __init__(self, tmp_path, **changes):
        super().__init__(tmp_path, **changes)
        self.folder = tmp_path / "clock"
        self.folder.mkdir()
        (self.folder / "sitecustomize.py").write_text(STEPPED_CLOCK)
        self.step(0.0)

    def step(self, off_s):
        """Set it, at once and for processes to come."""
        new = self.folder / "new"
        new.write_text(str(off_s))
        os.replace(new, self.folder / "off")

    async def start(self, limit=""):
        variables = f'export PYTHONPATH="{self.folder}" WALL_CLOCK="{self.folder / "off"}";'
        return await super().start(f"{limit} {variables}")


class Override:
    """An override, and the monotonic times between which it ends, in s."""

    def __init__(self, name, length_s):
        self.path, self.length_s = f"/overrides/{name}", length_s

    async def start(self, ask):
        """Start it, by the service's own time."""
        sent = time.monotonic()
        _, listed, _ = await ask("GET", "/overrides")
        self.earliest, self.latest = sent + self.length_s, time.monotonic() + self.length_s
        self.until_ms = int(listed["now_ms"] + self.length_s * 1000.0)
        body = {"action": {"hold": {"region": "b"}}, "by": "ann", "why": "b loses packets"}
        assert (await ask("PUT", self.path, {**body, "until_ms": self.until_ms}))[0] == 200

    async def check(self, ask):
        """What is left of it is what real time has left."""
        sent = time.monotonic()
        _, shown, _ = await ask("GET", self.path)
        left_s, rounding_s = shown["left_ms"] / 1000.0, 0.003
        assert self.earliest - time.monotonic() - rounding_s <= left_s <= self.latest - sent + rounding_s
        assert shown["until_ms"] == self.until_ms

    async def check_end(self, ask):
        """It is there until its end, and not long after it."""
        over = time.monotonic() + await gone_after(ask, self.path, time.monotonic())
        assert self.earliest <= over <= self.latest + 10.0


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
async def test_a_step_of_an_hour_amid_an_incarnation_and_over_a_kill_changes_no_span(tmp_path, step_s):
    short = Override("short", 12.0)
    async with SteppedService(tmp_path, leases={"restart_grace_ms": 1500}) as service:
        await service.start()
        async with aiohttp.ClientSession() as session:
            ask = functools.partial(call, session, service)
            _, first, _ = await ask("GET", "/overrides")
            assert abs(first["now_ms"] - time.time() * 1000.0) < 5000.0
            begun = time.monotonic()
            await short.start(ask)
            assert (await ask("PUT", "/tables/t/leased", 1, X_Lease="2000"))[0] == 200
            _, first_answer, _ = await ask("PUT", "/tables/t/once", 1, X_Request_Id="r1")
            service.step(step_s)
            # Amid the incarnation: ages, leases and times left go on as if nothing had been.
            _, row, _ = await ask("GET", "/tables/t/leased")
            assert row["age_ms"] <= (time.monotonic() - begun) * 1000.0 + AGE_MARGIN_S * 1000.0 + 1.0
            await short.check(ask)
            assert await gone_after(ask, "/tables/t/leased", begun) > 1.9
            await ask("PUT", "/tables/t/kept", 1, X_Lease="1000")
        await service.end(signal.SIGKILL)
        started = time.monotonic()
        await service.start()
        async with aiohttp.ClientSession() as session:
            ask = functools.partial(call, session, service)
            # Over the start: indexes grow, the answer to a known request is the first, the grace is real
            # time, and the override has lost what passed, no less and no more.
            await short.check(ask)
            assert (await ask("PUT", "/tables/t/once", 2, X_Request_Id="r1"))[1] == first_answer
            _, written, _ = await ask("PUT", "/tables/t/more", 1)
            assert written["index"] > first_answer["index"]
            assert await gone_after(ask, "/tables/t/kept", started) > 1.5
            await short.check_end(ask)


@bounded(90.0)
async def test_a_lost_disk_is_recognized_although_the_clock_went_back_and_gathering_is_real_time(
    tmp_path,
):
    """No clock says it: an index that was published before may be above all of the new incarnation."""
    async with SteppedService(tmp_path, leases={"gather_ms": 4000}) as service:
        await service.start()
        async with aiohttp.ClientSession() as session:
            _, before, _ = await call(session, service, "PUT", "/registry/instances/s1", ENTRY)
        await service.end(signal.SIGKILL)
        shutil.rmtree(service.data)
        service.step(-HOUR_S)
        started = time.monotonic()
        await service.start()
        async with aiohttp.ClientSession() as session:
            ask = functools.partial(call, session, service)
            known = str(before["index"])
            status, _, _ = await ask("GET", "/registry/instances", X_Held_Index=known)
            assert status == 503  # it is known to be lost, whatever the clock says
            _, after, _ = await ask("PUT", "/registry/instances/s1", ENTRY)
            assert after["index"] < before["index"]
            service.step(HOUR_S)
            async with asyncio.timeout(20.0):
                while (await ask("GET", "/registry/instances", X_Held_Index=known))[0] != 200:
                    await asyncio.sleep(0.05)
            assert time.monotonic() - started > 4.0
            # Who watches from the index of the incarnation that was lost gets the whole list, not a part.
            async with session.get(
                f"http://{service.listen}/registry/instances?watch=1&from={known}"
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
    return settings.load_registry(Service(tmp_path, **changes).config)


class Incarnation:
    """One incarnation of a service in this process."""

    def __init__(self, config):
        self.service = InProcess(config)

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
    config, indexes = configured(tmp_path), []
    for off_s in (0.0, step_s, 0.0, -step_s, 0.0):
        wall.off_s = off_s
        async with Incarnation(config) as ask:
            written = [await ask("PUT", "/tables/t/k", [off_s, value]) for value in range(3)]
            indexes += [body["index"] for _, body, _ in written]
            _, listed, _ = await ask("GET", "/tables/t")
            assert listed["index"] == indexes[-1]
    assert indexes == sorted(set(indexes))


@pytest.mark.parametrize("step_s", STEPS)
@bounded(60.0)
async def test_an_override_ends_by_real_time_through_steps_amid_and_between_incarnations(
    tmp_path, wall, step_s
):
    config = configured(tmp_path)
    short = Override("o", 4.0)
    async with Incarnation(config) as ask:
        await short.start(ask)
        wall.off_s = step_s
        await asyncio.sleep(0.3)
        await short.check(ask)
    for off_s in (step_s, 2.0 * step_s):
        wall.off_s = off_s
        async with Incarnation(config) as ask:
            await short.check(ask)
            if off_s != step_s:
                await short.check_end(ask)


@pytest.mark.parametrize("step_s", [HOUR_S, -HOUR_S], ids=["forward", "back"])
@bounded(60.0)
async def test_a_server_restarted_with_a_stepped_clock_waits_for_its_own_lease_at_most(
    tmp_path, wall, step_s
):
    """Of two processes with one name the later start holds it, and a server reads its start from its own wall
    clock: after a step back the new process looks like the older one, until the other's lease is over."""
    config = configured(tmp_path, leases={"least_ms": 300})
    async with Incarnation(config) as ask:
        since = int(time.time() * 1000.0)
        path = "/registry/instances/s1"
        before = {**ENTRY, "since_ms": since, "ttl_ms": 800}
        granted = time.monotonic()
        assert (await ask("PUT", path, before))[0] == 200
        after = {**before, "address": "127.0.0.1:7002", "since_ms": since + int(step_s * 1000.0)}
        status, _, _ = await ask("PUT", path, after)
        assert status == (200 if step_s > 0 else 409)
        async with asyncio.timeout(10.0):
            while (await ask("PUT", path, after))[0] != 200:
                await asyncio.sleep(0.05)
        assert step_s > 0 or time.monotonic() - granted > 0.8


@pytest.mark.parametrize("step_s", STEPS)
def test_an_incarnation_on_a_durable_table_begins_above_it_whatever_the_clock_says(step_s):
    now = 1_800_000_000.0
    for sample in (0, 1023, 2**30 - 1):
        last = first_index(now, 0, sample) + 5
        assert last < first_index(now + step_s, last, sample) < 2**53
