"""Uptimes of servers with a wrong wall clock: observations of the process bound the stated starts."""

from __future__ import annotations

import asyncio
import collections
import itertools
import json
import time
from unittest import mock

import pytest

from brassfall.balancer.model import EndpointEntry, Outcome
from brassfall.sidecar.core.interfaces import Answer, ExchangeResult
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
UNIX_TIME_AT_0 = 1_790_000_000.0  # Correct Unix time at time 0 of the loop, in seconds
CLOCK_ERRORS_S = [0.0, 3.0, -3.0, HOUR_S, -HOUR_S]  # Errors of the sidecar's wall clock, in seconds


@pytest.fixture
def wall_clock(monkeypatch):
    """Replace the system's wall clock by a mock that the test sets."""
    clock = mock.Mock(return_value=UNIX_TIME_AT_0)
    monkeypatch.setattr(time, "time", clock)
    return clock


class SidecarWithWrongClock(SidecarWithoutSockets):
    """A sidecar whose wall clock is wrong by `error_s` seconds at the start, and is stepped later."""

    def __init__(self, registry, wall_clock, error_s, strategy="automatic", **rules):
        wall_clock.side_effect = itertools.chain(
            [UNIX_TIME_AT_0 + now() + error_s], itertools.cycle([0.0, 4e9, UNIX_TIME_AT_0])
        )
        super().__init__(registry, strategy, **rules)
        self.clock = ManualClock(self.sidecar).clock

    def uptime_s(self, name):
        """Return the uptime of a server as the balancer computes it, in seconds."""
        return (self.clock.now() - balancer_servers(self.sidecar)[name].started) / 1000.0

    async def wait_for_server(self, name):
        async with asyncio.timeout(60.0):
            while name not in balancer_servers(self.sidecar):
                await asyncio.sleep(0.01)


class EntriesRegistry(RegistryStub):
    """A stub of discovery that stores entries, and sends all of them at the start of each answer."""

    def __init__(self, *rows, snapshot=False):
        super().__init__()
        self.rows, self.snapshot = {row["name"]: row for row in rows}, snapshot

    async def current_list(self, connection):
        content = listed(self.version, *self.rows.values(), snapshot=self.snapshot)
        connection.feed(HEAD + chunk(json.dumps(content).encode() + b"\n"))
        await connection.heartbeats()

    def put(self, name, since_s, *, notify=True, **changes):
        """Store a server that started at `since_s`, a time of the loop, and send it on the open watch.

        It is not sent if `notify` is False.
        """
        row = self.rows[name] = entry(name, since_ms=int((UNIX_TIME_AT_0 + since_s) * 1000.0), **changes)
        self.version += 1
        if notify:
            content = listed(self.version, row, snapshot=False)
            self.connections[-1].feed(chunk(json.dumps(content).encode() + b"\n"))


@pytest.mark.parametrize("error_s", CLOCK_ERRORS_S)
@simulated_time
async def test_a_server_that_arrives_on_an_open_watch_counts_as_started_then(error_s, wall_clock):
    registry = EntriesRegistry(entry("s0"))
    harness = SidecarWithWrongClock(registry, wall_clock, error_s)
    await harness.wait_for_server("s0")
    await asyncio.sleep(5.0)
    registry.put("s1", now() - 0.02)
    await harness.wait_for_server("s1")
    assert harness.uptime_s("s1") == pytest.approx(0.01, abs=0.02)
    await asyncio.sleep(7.0)
    assert harness.uptime_s("s1") == pytest.approx(7.01, abs=0.02)
    harness.close()


@pytest.mark.parametrize("error_s", CLOCK_ERRORS_S)
@simulated_time
async def test_a_new_start_of_a_known_server_counts_from_the_event_with_it(error_s, wall_clock):
    registry = EntriesRegistry(entry("s0"), entry("s1"))
    harness = SidecarWithWrongClock(registry, wall_clock, error_s)
    await harness.wait_for_server("s1")
    await asyncio.sleep(1.0)
    for _ in range(2):
        await asyncio.sleep(4.0)
        registry.put("s1", now())
        await asyncio.sleep(1.0)
        registry.put("s1", now() - 1.0, status="leaving")  # The stated start is the same.
        registry.put("s1", now() - 1.0)
        assert harness.uptime_s("s1") == pytest.approx(1.0, abs=0.02)
    harness.close()


@pytest.mark.parametrize("snapshot", [False, True])
@pytest.mark.parametrize("address_changes", [False, True])
@pytest.mark.parametrize("error_s", CLOCK_ERRORS_S)
@simulated_time
async def test_a_server_on_a_new_watch_did_not_start_before_the_gap(
    error_s, address_changes, snapshot, wall_clock
):
    """The server joined in a gap in which no watch was open.

    The new watch begins with the complete list or with changes, by the parameter `snapshot`.
    """
    registry = EntriesRegistry(entry("s0"), snapshot=snapshot)
    harness = SidecarWithWrongClock(registry, wall_clock, error_s)
    await harness.wait_for_server("s0")
    await asyncio.sleep(9.0)  # The last heartbeat was a second ago.
    registry.failure = "refused"
    registry.reset_connections()
    await asyncio.sleep(4.0)
    registry.put("s1", now(), notify=False)
    await asyncio.sleep(2.0)
    registry.failure = None
    if address_changes:
        harness.change_address(registry)
    await harness.wait_for_server("s1")
    waited_s = now() - 15.0  # Time until the next call
    uptime_s = harness.uptime_s("s1")
    if abs(error_s) < HOUR_S:  # A small clock error within the gap can't be detected.
        assert 0.0 <= uptime_s == pytest.approx(2.0 + waited_s + error_s, abs=0.05) or uptime_s < 0.02
        assert uptime_s <= 7.0 + waited_s
    else:
        assert 0.0 <= uptime_s <= 0.02
    harness.close()


@pytest.mark.parametrize("error_s", CLOCK_ERRORS_S)
@simulated_time
async def test_a_server_that_was_unlisted_for_a_while_keeps_its_start(error_s, wall_clock):
    registry = EntriesRegistry(entry("s0"))
    harness = SidecarWithWrongClock(registry, wall_clock, error_s)
    await harness.wait_for_server("s0")
    await asyncio.sleep(3.0)
    registry.put("s1", now())
    started_at = now()
    await asyncio.sleep(2.0)
    registry.put("s1", started_at, status="left")
    await asyncio.sleep(6.0)
    registry.put("s1", started_at)
    assert harness.uptime_s("s1") == pytest.approx(8.0, abs=0.02)
    harness.close()


@pytest.mark.parametrize("error_s", CLOCK_ERRORS_S)
@simulated_time
async def test_only_impossible_starts_are_corrected_in_the_first_list(error_s, wall_clock):
    """No observation of the process bounds the starts in the first list, so the clock error has an effect.

    An uptime below 0 s would prolong slow start, so it counts as 0 s. The stated start 0 means a start long
    ago for any error of the clock.
    """
    registry = EntriesRegistry(entry("s0"))
    registry.put("s1", -10.0, notify=False)
    harness = SidecarWithWrongClock(registry, wall_clock, error_s)
    await harness.wait_for_server("s1")
    assert harness.uptime_s("s1") == pytest.approx(max(0.0, 10.0 + error_s), abs=0.05)
    assert balancer_servers(harness.sidecar)["s0"].started == 0.0
    uptime_before = harness.uptime_s("s1")
    await asyncio.sleep(5.0)
    assert harness.uptime_s("s1") == pytest.approx(uptime_before + 5.0, abs=0.02)
    harness.close()


class AnsweringUpstreams:
    """Servers that each answer after 10 ms, and count the requests sent to them."""

    def __init__(self):
        self.sent = collections.Counter()

    def update_servers(self, *args, **named):
        pass

    def close_idle(self, server):
        pass

    def send(self, server, call, expires, observer):
        self.sent[server] += 1
        result = ExchangeResult(Outcome.OK, Answer([], b""))
        asyncio.get_running_loop().call_later(0.01, observer.exchange_ended, result)
        return mock.Mock()


class SmallCall:
    """A small idempotent request."""

    request_class = tenant = 0
    key = work = body = None
    client_retry = mutates = reading = False
    budget = 4000.0
    read_lag = 0.0

    def client_left(self):
        return False

    def __init__(self):
        self.send_answer = self.send_rejection = self.send_failure = lambda *_: None


async def share_of_a_new_server(wall_clock, error_s):
    """Return the share of requests that a new server gets in the first 4 s, beside five warm servers."""
    registry = EntriesRegistry(*(entry(f"s{number}") for number in range(5)))
    harness = SidecarWithWrongClock(
        registry, wall_clock, error_s, ColdFrom=0.12, WarmUp=22_000.0, FallMultiple=4.0
    )
    await harness.wait_for_server("s0")
    driver, upstreams = harness.sidecar.driver, AnsweringUpstreams()
    driver.connect(upstreams, harness.discovery, harness.sidecar.peers)
    until, joins_at = now() + 7.0, now() + 3.0
    while now() < until:
        if joins_at is not None and now() >= joins_at:
            joins_at = None
            registry.put("s5", now())
            upstreams.sent.clear()
        driver.accept_request(SmallCall(), harness.clock.now())
        await asyncio.sleep(0.005)
    harness.close()
    return upstreams.sent["s5"] / upstreams.sent.total()


@pytest.mark.parametrize("error_s", CLOCK_ERRORS_S[1:])
@simulated_time
async def test_a_new_server_gets_the_same_share_whatever_the_wall_clock_says(error_s, wall_clock):
    share_with_correct_clock = await share_of_a_new_server(wall_clock, 0.0)
    assert 0.01 < share_with_correct_clock < 0.1
    assert await share_of_a_new_server(wall_clock, error_s) == pytest.approx(
        share_with_correct_clock, abs=0.005
    )


def test_starts_of_servers_unlisted_for_a_long_time_are_forgotten():
    starts, updates = StartTimes(), []
    for number in range(100):
        at = 1e12 + number * FORGET_AFTER_MS
        entries = [EndpointEntry(f"s{number}", started=at)]
        updates.append(starts.with_bounded_starts(at, at - 1000.0, ServerList(number, True, entries, {})))
    assert all(update.entries[0].started == 1e12 + n * FORGET_AFTER_MS for n, update in enumerate(updates))
    assert len(starts) <= 3


def test_two_starts_of_a_server_at_the_same_time_get_different_times():
    starts, now_ms = StartTimes(), 1e12
    entries = [
        starts.with_bounded_starts(
            now_ms, now_ms, ServerList(n, False, [EndpointEntry("s", started=since)], {})
        ).entries[0]
        for n, since in enumerate([now_ms - 5.0, now_ms - 4.0])
    ]
    assert entries[0].started != entries[1].started
    assert max(abs(found.started - now_ms) for found in entries) < 1.0
