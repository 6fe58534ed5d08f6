"""How long a change may take to arrive, whatever the calls to discovery before it met.

The sidecar's own discovery, driver and balancer are played against a stand-in for discovery."""

from __future__ import annotations

import asyncio
import json

import pytest

from brassfall.sidecar.discovery import channel
from tests.support.discovery import (
    ANSWERED_FAILURES,
    FAILURES,
    HEAD,
    NOTIFIED_S,
    SPARE_S,
    STRATEGIES,
    RegistryStub,
    SidecarWithoutSockets,
    chunk,
    list_line,
    now,
    simulated_time,
)
from tests.support.loopback import entry, listed

DOWN_FOR_S = [0.0, *(0.173 * k for k in range(1, 40, 4)), 25.0]  # from a moment to many failures in a row


async def time_to_arrive(failure, end_of_watch, down_s, seed, strategy, ask_within_ms, next_answers=()):
    """How long after discovery's return its change is there.

    Its calls met `failure` for `down_s`, and the watch that was open before met `end_of_watch`."""
    registry = RegistryStub()
    started = SidecarWithoutSockets(registry, strategy, seed, ask_within_ms)
    await started.has(45)
    await asyncio.sleep(3.0 + 0.61 * seed)
    getattr(registry, end_of_watch)()
    registry.down = failure
    await asyncio.sleep(down_s)
    registry.down, registry.next_answers, registry.version = None, list(next_answers), 50
    back = now()
    took = await started.has(50) - back
    started.close()
    return took


@pytest.mark.parametrize("strategy", STRATEGIES)
@pytest.mark.parametrize("failure", FAILURES)
@simulated_time
async def test_a_change_arrives_in_time_whatever_the_calls_before_it_met(failure, strategy):
    longest = 0.0
    for seed, down_s in enumerate(DOWN_FOR_S):
        for end_of_watch, ask_within_ms in (
            ("silence_all", 4_600.0),
            ("reset_all", 60_000.0),
            ("end_all", 10_000.0),
        ):
            took = await time_to_arrive(failure, end_of_watch, down_s, seed, strategy, ask_within_ms)
            longest = max(longest, took)
    print(f"{failure}, {strategy}: {longest:.2f} s")
    assert longest <= NOTIFIED_S - SPARE_S


@pytest.mark.parametrize("strategy", STRATEGIES)
@pytest.mark.parametrize("next_failure", ["rejected", "lost", "rejected_at_once", "reset", "empty_answer"])
@simulated_time
async def test_a_change_arrives_in_time_after_one_more_failed_call(next_failure, strategy):
    longest = 0.0
    for failure in FAILURES:
        for seed, down_s in enumerate((0.0, 3.15, 4.1, 5.4, 11.3)):
            for end_of_watch in ("silence_all", "reset_all"):
                took = await time_to_arrive(
                    failure, end_of_watch, down_s, seed, strategy, 60_000.0, [next_failure]
                )
                longest = max(longest, took)
    print(f"{next_failure}, {strategy}: {longest:.2f} s")
    assert longest <= NOTIFIED_S - SPARE_S


@pytest.mark.parametrize("bytes_go_on", [False, True], ids=["half_a_line", "endless_line"])
@pytest.mark.parametrize("strategy", STRATEGIES)
@simulated_time
async def test_an_incomplete_line_does_not_keep_an_open_watch_alive(bytes_go_on, strategy):
    """It began just before the change, which no heartbeat before that told."""
    registry = RegistryStub()
    started = SidecarWithoutSockets(registry, strategy)
    await started.has(45)
    await asyncio.sleep(7.3)
    registry.silence_all()
    registry.version = 50
    since, connection = now(), registry.connections[-1]
    connection.feed(chunk(list_line(50)[:-9]))
    arrival = asyncio.create_task(started.has(50))
    while not arrival.done():
        await asyncio.sleep(0.25)
        if bytes_go_on:
            connection.feed(chunk(b" "))
    assert await arrival - since <= NOTIFIED_S - SPARE_S - 1.0
    assert len(registry.calls) == 2
    started.close()


@simulated_time
async def test_a_long_list_on_a_slow_connection_is_accepted():
    """Its bytes come for longer than silence may last."""
    registry = RegistryStub()

    async def slow_list(connection):
        rows = [entry(f"s{i:06}") for i in range(20_000)]
        data = HEAD + chunk(json.dumps(listed(50, *rows)).encode() + b"\n")
        assert len(data) < channel.MAX_LINE_BYTES
        for at in range(0, len(data), 65_536):
            await asyncio.sleep(0.12)
            connection.feed(data[at : at + 65_536])
        await connection.heartbeats()

    registry.current_list = slow_list
    started, begun = SidecarWithoutSockets(registry, "automatic"), now()
    async with asyncio.timeout(60.0):
        while started.discovery.version != 50:
            await asyncio.sleep(0.1)
    assert channel.SILENCE_LIMIT_S + 1.0 < now() - begun < 10.0
    assert len(registry.calls) == 1
    started.close()


@pytest.mark.parametrize("strategy", STRATEGIES)
@simulated_time
async def test_a_call_that_fails_by_an_unexpected_error_is_repeated(strategy, capsys):
    """Such as by an address that can't be one."""
    registry, loop = RegistryStub(), asyncio.get_running_loop()
    started = SidecarWithoutSockets(registry, strategy)
    connect = loop.create_connection

    async def fail(*args, **_):
        registry.calls.append(now())
        raise [UnicodeError("label empty or too long"), RuntimeError("oh")][len(registry.calls) % 2]

    loop.create_connection = fail
    await asyncio.sleep(10.0)
    assert len(registry.calls) > 3
    loop.create_connection = connect
    back, registry.version = now(), 50
    assert await started.has(50) - back <= NOTIFIED_S - SPARE_S
    assert "Traceback" not in capsys.readouterr().err
    started.close()


@pytest.mark.parametrize("failure", ANSWERED_FAILURES)
@simulated_time
async def test_a_failed_call_for_the_complete_list_is_followed_in_time(failure):
    """No watch is open, as after one that was called off."""
    for seed in range(10):
        registry = RegistryStub()
        started = SidecarWithoutSockets(registry, seed=seed)
        await started.has(45)
        started.discovery.watch(on=False)
        registry.next_answers, registry.version = [failure], 50
        begun = now()
        started.discovery.fetch()
        assert await started.has(50) - begun <= NOTIFIED_S - SPARE_S
        started.close()


@pytest.mark.parametrize("strategy", STRATEGIES)
@pytest.mark.parametrize("failure", FAILURES)
@simulated_time
async def test_a_process_whose_first_call_fails_has_the_list_in_time_and_is_ready_before(failure, strategy):
    for seed in range(10):
        registry = RegistryStub(50)
        registry.next_answers = [failure]
        begun = now()
        started = SidecarWithoutSockets(registry, strategy, seed)
        await started.discovery.wait_for_first_call(1.0)
        assert now() - begun <= 1.0
        spread_s = 2.5 if strategy == "subscribe" else 0.0  # a fleet that starts together
        assert await started.has(50) - begun <= spread_s + NOTIFIED_S - SPARE_S
        started.close()


@simulated_time
async def test_calls_of_a_fleet_that_waits_for_discovery_are_spread():
    """Each sidecar has calls of its own: a tenth of a second at discovery's return has few of them."""
    seen, fleet = [], 60
    for seed in range(fleet):
        registry = RegistryStub(down="refused")
        started = SidecarWithoutSockets(registry, seed=seed)
        await asyncio.sleep(20.0)
        registry.down, registry.version = None, 50
        back = now()
        await started.has(50)
        seen.append(registry.calls[-1] - back)
        started.close()
    tenths = [sum(k / 10 <= at < (k + 1) / 10 for at in seen) for k in range(13)]
    assert sum(tenths) == fleet
    assert max(tenths) <= fleet / 4
    assert sum(at > 0.4 for at in seen) > fleet / 4
