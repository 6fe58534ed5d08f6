"""Steps of the wall clock of the list service's machine, within and between incarnations.

Leases, overrides and ages have to follow real time. The tests guard against a use of the wall clock for time
spans, once with a real process, whose `time.time` is shifted by a file's content, and then in this process.
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
# Python runs a module `sitecustomize` before a program. This one shifts the wall clock of its process alone.
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
    """A list service in its own process, whose wall clock is shifted by the seconds in a file."""

    def __init__(self, tmp_path, **changes):
        super().__init__(tmp_path, **changes)
        self.folder = tmp_path / "clock"
        self.folder.mkdir()
        (self.folder / "sitecustomize.py").write_text(STEPPED_CLOCK)
        self.step(0.0)

    def step(self, off_s):
        """Set the shift of the wall clock in s, for the running process and later ones."""
        new = self.folder / "new"
        new.write_text(str(off_s))
        os.replace(new, self.folder / "off")

    async def start(self, limit=""):
        variables = f'export PYTHONPATH="{self.folder}" WALL_CLOCK="{self.folder / "off"}";'
        return await super().start(f"{limit} {variables}")


class Override:
    """An override, and the earliest and latest monotonic time of its end, in s."""

    def __init__(self, name, length_s):
        self.path, self.length_s = f"/overrides/{name}", length_s

    async def start(self, call_service):
        """Create the override, with an end that is computed from the service's own time."""
        sent = time.monotonic()
        _, listed, _ = await call_service("GET", "/overrides")
        self.earliest, self.latest = sent + self.length_s, time.monotonic() + self.length_s
        self.until_ms = int(listed["now_ms"] + self.length_s * 1000.0)
        body = {"action": {"hold": {"region": "b"}}, "by": "ann", "why": "b loses packets"}
        assert (await call_service("PUT", self.path, {**body, "until_ms": self.until_ms}))[0] == 200

    async def check(self, call_service):
        """Check that the remaining time of the override is that in real time."""
        sent = time.monotonic()
        _, shown, _ = await call_service("GET", self.path)
        left_s, rounding_s = shown["left_ms"] / 1000.0, 0.003
        assert self.earliest - time.monotonic() - rounding_s <= left_s <= self.latest - sent + rounding_s
        assert shown["until_ms"] == self.until_ms

    async def check_end(self, call_service):
        """Check that the override exists until its end, and is removed soon after it."""
        ended = time.monotonic() + await seconds_until_gone(call_service, self.path, time.monotonic())
        assert self.earliest <= ended <= self.latest + 10.0


async def row_exists(call_service, path):
    """Return whether a row exists."""
    return (await call_service("GET", path))[0] == 200


async def seconds_until_gone(call_service, path, begun):
    """Wait until a row is removed; return the real time since `begun`, in s."""
    async with asyncio.timeout(20.0):
        while await row_exists(call_service, path):
            await asyncio.sleep(0.05)
    return time.monotonic() - begun


# --- a real process --------------------------------------------------------------------------------


@pytest.mark.parametrize("step_s", [HOUR_S, -HOUR_S], ids=["forward", "back"])
@bounded(90.0)
async def test_a_clock_step_of_an_hour_during_an_incarnation_or_a_crash_changes_no_time_span(
    tmp_path, step_s
):
    short = Override("short", 12.0)
    async with SteppedService(tmp_path, leases={"restart_grace_ms": 1500}) as service:
        await service.start()
        async with aiohttp.ClientSession() as session:
            call_service = functools.partial(call, session, service)
            _, first, _ = await call_service("GET", "/overrides")
            assert abs(first["now_ms"] - time.time() * 1000.0) < 5000.0
            begun = time.monotonic()
            await short.start(call_service)
            assert (await call_service("PUT", "/tables/t/leased", 1, X_Lease="2000"))[0] == 200
            _, first_answer, _ = await call_service("PUT", "/tables/t/once", 1, X_Request_Id="r1")
            service.step(step_s)
            # Within the incarnation the step has no effect on ages, leases and remaining times.
            _, row, _ = await call_service("GET", "/tables/t/leased")
            assert row["age_ms"] <= (time.monotonic() - begun) * 1000.0 + AGE_MARGIN_S * 1000.0 + 1.0
            await short.check(call_service)
            assert await seconds_until_gone(call_service, "/tables/t/leased", begun) > 1.9
            await call_service("PUT", "/tables/t/kept", 1, X_Lease="1000")
        await service.end(signal.SIGKILL)
        started = time.monotonic()
        await service.start()
        async with aiohttp.ClientSession() as session:
            call_service = functools.partial(call, session, service)
            # After the restart indices grow, a repeated request gets its first answer, the grace period is
            # real time, and the override's remaining time has shrunk by the real time that has passed.
            await short.check(call_service)
            assert (await call_service("PUT", "/tables/t/once", 2, X_Request_Id="r1"))[1] == first_answer
            _, written, _ = await call_service("PUT", "/tables/t/more", 1)
            assert written["index"] > first_answer["index"]
            assert await seconds_until_gone(call_service, "/tables/t/kept", started) > 1.5
            await short.check_end(call_service)


@bounded(90.0)
async def test_a_lost_disk_is_detected_after_a_clock_step_back_and_the_rebuild_takes_real_time(
    tmp_path,
):
    """After a clock step back, an index of the lost list may be above all indices of the new incarnation."""
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
            call_service = functools.partial(call, session, service)
            known = str(before["index"])
            status, _, _ = await call_service("GET", "/registry/instances", X_Held_Index=known)
            assert status == 503  # the caller's index shows that a list was lost
            _, after, _ = await call_service("PUT", "/registry/instances/s1", ENTRY)
            assert after["index"] < before["index"]
            service.step(HOUR_S)
            async with asyncio.timeout(20.0):
                while (await call_service("GET", "/registry/instances", X_Held_Index=known))[0] != 200:
                    await asyncio.sleep(0.05)
            assert time.monotonic() - started > 4.0
            # A watch from an index of the lost incarnation gets the complete list, not changes.
            async with session.get(
                f"http://{service.listen}/registry/instances?watch=1&from={known}"
            ) as answer:
                line = await answer.content.readline()
            assert b'"snapshot":true' in line and b'"s1"' in line


# --- in process ------------------------------------------------------------------------------------


class SteppedWallClock:
    """The wall clock of this process, shifted by `off_s` seconds."""

    def __init__(self, monkeypatch):
        self.off_s, real = 0.0, time.time
        monkeypatch.setattr(time, "time", lambda: real() + self.off_s)


@pytest.fixture
def wall_clock(monkeypatch):
    """Return a wall clock whose shift can be set, as the service reads it."""
    return SteppedWallClock(monkeypatch)


def load_settings(tmp_path, **changes):
    """Return the settings of a service in this process."""
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
async def test_indices_grow_over_restarts_with_a_stepped_clock(tmp_path, wall_clock, step_s):
    config, indexes = load_settings(tmp_path), []
    for off_s in (0.0, step_s, 0.0, -step_s, 0.0):
        wall_clock.off_s = off_s
        async with Incarnation(config) as call_service:
            written = [await call_service("PUT", "/tables/t/k", [off_s, value]) for value in range(3)]
            indexes += [body["index"] for _, body, _ in written]
            _, listed, _ = await call_service("GET", "/tables/t")
            assert listed["index"] == indexes[-1]
    assert indexes == sorted(set(indexes))


@pytest.mark.parametrize("step_s", STEPS)
@bounded(60.0)
async def test_an_override_ends_by_real_time_despite_clock_steps_during_and_between_incarnations(
    tmp_path, wall_clock, step_s
):
    config = load_settings(tmp_path)
    short = Override("o", 4.0)
    async with Incarnation(config) as call_service:
        await short.start(call_service)
        wall_clock.off_s = step_s
        await asyncio.sleep(0.3)
        await short.check(call_service)
    for off_s in (step_s, 2.0 * step_s):
        wall_clock.off_s = off_s
        async with Incarnation(config) as call_service:
            await short.check(call_service)
            if off_s != step_s:
                await short.check_end(call_service)


@pytest.mark.parametrize("step_s", [HOUR_S, -HOUR_S], ids=["forward", "back"])
@bounded(60.0)
async def test_a_server_restarted_with_a_stepped_clock_waits_at_most_for_its_earlier_lease(
    tmp_path, wall_clock, step_s
):
    """Of two processes with the same name the one that started later gets it, by the servers' wall clocks.

    After a step back a restarted server looks like the older process until the lease of the other ends.
    """
    config = load_settings(tmp_path, leases={"least_ms": 300})
    async with Incarnation(config) as call_service:
        since = int(time.time() * 1000.0)
        path = "/registry/instances/s1"
        before = {**ENTRY, "since_ms": since, "ttl_ms": 800}
        granted = time.monotonic()
        assert (await call_service("PUT", path, before))[0] == 200
        after = {**before, "address": "127.0.0.1:7002", "since_ms": since + int(step_s * 1000.0)}
        status, _, _ = await call_service("PUT", path, after)
        assert status == (200 if step_s > 0 else 409)
        async with asyncio.timeout(10.0):
            while (await call_service("PUT", path, after))[0] != 200:
                await asyncio.sleep(0.05)
        assert step_s > 0 or time.monotonic() - granted > 0.8


@pytest.mark.parametrize("step_s", STEPS)
def test_the_first_index_of_an_incarnation_is_above_the_last_whatever_the_clock_says(step_s):
    now = 1_800_000_000.0
    for sample in (0, 1023, 2**30 - 1):
        last = first_index(now, 0, sample) + 5
        assert last < first_index(now + step_s, last, sample) < 2**53
