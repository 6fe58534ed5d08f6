"""How long servers have been up, whatever the wall clock says: observations bound their `since_ms`."""

from __future__ import annotations

import asyncio
import collections
import itertools
import json
import time
from unittest import mock

import pytest

from brassfall.balancer.model import Listing, Outcome
from brassfall.sidecar.core.interfaces import Answer, Result
from brassfall.sidecar.discovery.endpoint_list import ServerList
from brassfall.sidecar.discovery.start_times import FORGET_AFTER_MS, StartTimes
from tests.support.discovery import (
    HEAD,
    RegistryStub,
    SidecarWithoutSockets,
    chunk,
    now,
    simulated_time,
)
from tests.support.loopback import ManualClock, entry, listed
from tests.support.sidecar_views import balancer_servers

HOUR_S = 3600.0
UNIX_TIME_AT_0 = 1_790_000_000.0  # at the loop's time 0; the service's clock is right
CLOCK_ERRORS_S = [0.0, 3.0, -3.0, HOUR_S, -HOUR_S]


@pytest.fixture
def wall_clock(monkeypatch):
    """The system's wall clock, which the test sets."""
    clock = mock.Mock(return_value=UNIX_TIME_AT_0)
    monkeypatch.setattr(time, "time", clock)
    return clock


class SidecarWithWrongClock(SidecarWithoutSockets):
    """Its wall clock is wrong by so many seconds when the process starts, and is stepped later."""

    def __init__(self, registry, wall_clock, error_s, strategy="automatic", **rules):
        wall_clock.side_effect = itertools.chain(
            [UNIX_TIME_AT_0 + now() + error_s], itertools.cycle([0.0, 4e9, UNIX_TIME_AT_0])
        )
        super().__init__(registry, strategy, **rules)
        self.clock = ManualClock(self.sidecar).clock

    def up_s(self, name):
        """How long a server has been up by the balancer's count, in seconds."""
        return (self.clock.now() - balancer_servers(self.sidecar)[name].started) / 1000.0

    async def knows(self, name):
        async with asyncio.timeout(60.0):
            while name not in balancer_servers(self.sidecar):
                await asyncio.sleep(0.01)


class RowsRegistry(RegistryStub):
    """Discovery that keeps rows; the first answer to a call has all of them."""

    def __init__(self, *rows, snapshot=False):
        super().__init__()
        self.rows, self.snapshot = {row["name"]: row for row in rows}, snapshot

    async def current_list(self, connection):
        content = listed(self.version, *self.rows.values(), snapshot=self.snapshot)
        connection.feed(HEAD + chunk(json.dumps(content).encode() + b"\n"))
        await connection.heartbeats()

    def put(self, name, since_s, *, notify=True, **changes):
        """Keep a server that started at a time of the loop, and pass it on to the open watch."""
        row = self.rows[name] = entry(name, since_ms=int((UNIX_TIME_AT_0 + since_s) * 1000.0), **changes)
        self.version += 1
        if notify:
            content = listed(self.version, row, snapshot=False)
            self.connections[-1].feed(chunk(json.dumps(content).encode() + b"\n"))


@pytest.mark.parametrize("error_s", CLOCK_ERRORS_S)
@simulated_time
async def test_a_server_on_an_open_watch_is_as_old_as_its_event(error_s, wall_clock):
    registry = RowsRegistry(entry("s0"))
    started = SidecarWithWrongClock(registry, wall_clock, error_s)
    await started.knows("s0")
    await asyncio.sleep(5.0)
    registry.put("s1", now() - 0.02)
    await started.knows("s1")
    assert started.up_s("s1") == pytest.approx(0.01, abs=0.02)
    await asyncio.sleep(7.0)
    assert started.up_s("s1") == pytest.approx(7.01, abs=0.02)
    started.close()


@pytest.mark.parametrize("error_s", CLOCK_ERRORS_S)
@simulated_time
async def test_a_new_start_of_a_known_server_counts_from_its_event(error_s, wall_clock):
    registry = RowsRegistry(entry("s0"), entry("s1"))
    started = SidecarWithWrongClock(registry, wall_clock, error_s)
    await started.knows("s1")
    await asyncio.sleep(1.0)
    for _ in range(2):
        await asyncio.sleep(4.0)
        registry.put("s1", now())
        await asyncio.sleep(1.0)
        registry.put("s1", now() - 1.0, status="leaving")  # the same start
        registry.put("s1", now() - 1.0)
        assert started.up_s("s1") == pytest.approx(1.0, abs=0.02)
    started.close()


@pytest.mark.parametrize("snapshot", [False, True])
@pytest.mark.parametrize("moved", [False, True])
@pytest.mark.parametrize("error_s", CLOCK_ERRORS_S)
@simulated_time
async def test_a_server_that_a_new_watch_finds_is_no_older_than_the_gap(error_s, moved, snapshot, wall_clock):
    """It joined while no watch was open; the new watch begins with the complete list, or with changes."""
    registry = RowsRegistry(entry("s0"), snapshot=snapshot)
    started = SidecarWithWrongClock(registry, wall_clock, error_s)
    await started.knows("s0")
    await asyncio.sleep(9.0)  # the last heartbeat was a second ago
    registry.down = "refused"
    registry.reset_all()
    await asyncio.sleep(4.0)
    registry.put("s1", now(), notify=False)
    await asyncio.sleep(2.0)
    registry.down = None
    if moved:
        started.move(registry)
    await started.knows("s1")
    waited_s = now() - 15.0  # for the next call
    up_s = started.up_s("s1")
    if abs(error_s) < HOUR_S:  # within the gap a small error can't be told from the truth
        assert 0.0 <= up_s == pytest.approx(2.0 + waited_s + error_s, abs=0.05) or up_s < 0.02
        assert up_s <= 7.0 + waited_s
    else:
        assert 0.0 <= up_s <= 0.02
    started.close()


@pytest.mark.parametrize("error_s", CLOCK_ERRORS_S)
@simulated_time
async def test_a_server_that_was_not_listed_for_a_while_keeps_its_start(error_s, wall_clock):
    registry = RowsRegistry(entry("s0"))
    started = SidecarWithWrongClock(registry, wall_clock, error_s)
    await started.knows("s0")
    await asyncio.sleep(3.0)
    registry.put("s1", now())
    begun = now()
    await asyncio.sleep(2.0)
    registry.put("s1", begun, status="left")
    await asyncio.sleep(6.0)
    registry.put("s1", begun)
    assert started.up_s("s1") == pytest.approx(8.0, abs=0.02)
    started.close()


@pytest.mark.parametrize("error_s", CLOCK_ERRORS_S)
@simulated_time
async def test_in_the_first_list_only_impossible_starts_are_corrected(error_s, wall_clock):
    """No observation of this process bounds these starts, so the wall clock's error shows.

    No server is up for less than 0 s, which would stretch slow start, and one that started long ago did so
    whatever the clock says."""
    registry = RowsRegistry(entry("s0"))
    registry.put("s1", -10.0, notify=False)
    started = SidecarWithWrongClock(registry, wall_clock, error_s)
    await started.knows("s1")
    assert started.up_s("s1") == pytest.approx(max(0.0, 10.0 + error_s), abs=0.05)
    assert balancer_servers(started.sidecar)["s0"].started == 0.0
    before = started.up_s("s1")
    await asyncio.sleep(5.0)
    assert started.up_s("s1") == pytest.approx(before + 5.0, abs=0.02)
    started.close()


class AnsweringUpstreams:
    """Servers of which each answers after 10 ms."""

    def __init__(self):
        self.sent = collections.Counter()

    def update(self, *args, **named):
        pass

    def close_idle(self, server):
        pass

    def send(self, server, call, expires, watcher):
        self.sent[server] += 1
        result = Result(Outcome.OK, Answer([], b""))
        asyncio.get_running_loop().call_later(0.01, watcher.ended, result)
        return mock.Mock()


class SmallCall:
    """A small request that may be repeated."""

    request_class = tenant = 0
    key = work = body = None
    client_retry = mutates = reading = False
    budget = 4000.0

    def client_left(self):
        return False

    def __init__(self):
        self.served = self.refused = self.failed = lambda *_: None


async def share_of_a_new_server(wall_clock, error_s):
    """The share of requests that a server gets in the 4 s after it joined, beside five warm ones."""
    registry = RowsRegistry(*(entry(f"s{number}") for number in range(5)))
    started = SidecarWithWrongClock(
        registry, wall_clock, error_s, ColdFrom=0.12, WarmUp=22_000.0, FallMultiple=4.0
    )
    await started.knows("s0")
    driver, upstreams = started.sidecar.driver, AnsweringUpstreams()
    driver.connect(upstreams, started.discovery, started.sidecar.peers)
    until, joins_at = now() + 7.0, now() + 3.0
    while now() < until:
        if joins_at is not None and now() >= joins_at:
            joins_at = None
            registry.put("s5", now())
            upstreams.sent.clear()
        driver.arrive(SmallCall(), started.clock.now())
        await asyncio.sleep(0.005)
    started.close()
    return upstreams.sent["s5"] / upstreams.sent.total()


@pytest.mark.parametrize("error_s", CLOCK_ERRORS_S[1:])
@simulated_time
async def test_a_new_server_gets_the_same_share_whatever_the_wall_clock_says(error_s, wall_clock):
    right = await share_of_a_new_server(wall_clock, 0.0)
    assert 0.01 < right < 0.1
    assert await share_of_a_new_server(wall_clock, error_s) == pytest.approx(right, abs=0.005)


def test_starts_of_servers_long_gone_are_forgotten():
    starts, updates = StartTimes(), []
    for number in range(100):
        at = 1e12 + number * FORGET_AFTER_MS
        entries = [Listing(f"s{number}", started=at)]
        updates.append(starts.with_bounded_starts(at, at - 1000.0, ServerList(number, True, entries, {})))
    assert all(update.entries[0].started == 1e12 + n * FORGET_AFTER_MS for n, update in enumerate(updates))
    assert len(starts) <= 3


def test_two_starts_at_one_moment_have_different_times():
    starts, now_ms = StartTimes(), 1e12
    entries = [
        starts.with_bounded_starts(
            now_ms, now_ms, ServerList(n, False, [Listing("s", started=since)], {})
        ).entries[0]
        for n, since in enumerate([now_ms - 5.0, now_ms - 4.0])
    ]
    assert entries[0].started != entries[1].started
    assert max(abs(found.started - now_ms) for found in entries) < 1.0
