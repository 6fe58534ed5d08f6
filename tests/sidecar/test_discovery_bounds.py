"""A change of the endpoint list is in force in time, however earlier calls to discovery have failed.

The sidecar's real client of discovery, driver and balancer run against a stub of discovery.
"""

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

# Times for which discovery fails, in seconds. The longest one leads to many failed calls in a row.
FAILURE_DURATIONS_S = [0.0, *(0.173 * k for k in range(1, 40, 4)), 25.0]


async def measure_delay(failure, end_of_watch, failing_s, seed, strategy, ask_within_ms, next_answers=()):
    """Return the time in seconds from the recovery of discovery until its change is in force.

    `end_of_watch` is the method of `RegistryStub` that ends the open watch. After that, all calls fail with
    `failure` for `failing_s` seconds. The calls after the recovery get `next_answers`, one each.
    """
    registry = RegistryStub()
    harness = SidecarWithoutSockets(registry, strategy, seed, ask_within_ms)
    await harness.wait_for_list(45)
    await asyncio.sleep(3.0 + 0.61 * seed)
    getattr(registry, end_of_watch)()
    registry.failure = failure
    await asyncio.sleep(failing_s)
    registry.failure, registry.next_answers, registry.version = None, list(next_answers), 50
    recovered_at = now()
    delay_s = await harness.wait_for_list(50) - recovered_at
    harness.close()
    return delay_s


@pytest.mark.parametrize("strategy", STRATEGIES)
@pytest.mark.parametrize("failure", FAILURES)
@simulated_time
async def test_a_change_is_in_force_in_time_after_any_failure_of_earlier_calls(failure, strategy):
    longest_delay_s = 0.0
    for seed, failing_s in enumerate(FAILURE_DURATIONS_S):
        for end_of_watch, ask_within_ms in (
            ("silence_connections", 4_600.0),
            ("reset_connections", 60_000.0),
            ("end_answers", 10_000.0),
        ):
            delay_s = await measure_delay(failure, end_of_watch, failing_s, seed, strategy, ask_within_ms)
            longest_delay_s = max(longest_delay_s, delay_s)
    print(f"{failure}, {strategy}: {longest_delay_s:.2f} s")
    assert longest_delay_s <= NOTIFIED_S - SPARE_S


@pytest.mark.parametrize("strategy", STRATEGIES)
@pytest.mark.parametrize("next_failure", ["rejected", "lost", "rejected_at_once", "reset", "empty_answer"])
@simulated_time
async def test_a_change_is_in_force_in_time_if_one_call_after_the_recovery_fails(next_failure, strategy):
    longest_delay_s = 0.0
    for failure in FAILURES:
        for seed, failing_s in enumerate((0.0, 3.15, 4.1, 5.4, 11.3)):
            for end_of_watch in ("silence_connections", "reset_connections"):
                delay_s = await measure_delay(
                    failure, end_of_watch, failing_s, seed, strategy, 60_000.0, [next_failure]
                )
                longest_delay_s = max(longest_delay_s, delay_s)
    print(f"{next_failure}, {strategy}: {longest_delay_s:.2f} s")
    assert longest_delay_s <= NOTIFIED_S - SPARE_S


@pytest.mark.parametrize("sends_more_bytes", [False, True], ids=["half_a_line", "endless_line"])
@pytest.mark.parametrize("strategy", STRATEGIES)
@simulated_time
async def test_an_incomplete_line_does_not_keep_an_open_watch_alive(sends_more_bytes, strategy):
    """The watch falls silent within a line, and the line began just before a change of the list.

    If the incomplete line counted as a sign of life, the change would be missed for too long.
    """
    registry = RegistryStub()
    harness = SidecarWithoutSockets(registry, strategy)
    await harness.wait_for_list(45)
    await asyncio.sleep(7.3)
    registry.silence_connections()
    registry.version = 50
    since, connection = now(), registry.connections[-1]
    connection.feed(chunk(list_line(50)[:-9]))
    waiting_task = asyncio.create_task(harness.wait_for_list(50))
    while not waiting_task.done():
        await asyncio.sleep(0.25)
        if sends_more_bytes:
            connection.feed(chunk(b" "))
    assert await waiting_task - since <= NOTIFIED_S - SPARE_S - 1.0
    assert len(registry.calls) == 2
    harness.close()


@simulated_time
async def test_a_long_list_on_a_slow_connection_is_accepted():
    """The line with the list takes longer to arrive than the silence limit."""
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
    harness, started_at = SidecarWithoutSockets(registry, "automatic"), now()
    async with asyncio.timeout(60.0):
        while harness.discovery.version != 50:
            await asyncio.sleep(0.1)
    assert channel.SILENCE_LIMIT_S + 1.0 < now() - started_at < 10.0
    assert len(registry.calls) == 1
    harness.close()


@pytest.mark.parametrize("strategy", STRATEGIES)
@simulated_time
async def test_a_call_that_raises_an_unexpected_exception_is_repeated(strategy, capsys):
    """An invalid host name, for example, raises `UnicodeError`."""
    registry, loop = RegistryStub(), asyncio.get_running_loop()
    harness = SidecarWithoutSockets(registry, strategy)
    connect = loop.create_connection

    async def fail(*args, **_):
        registry.calls.append(now())
        raise [UnicodeError("label empty or too long"), RuntimeError("oh")][len(registry.calls) % 2]

    loop.create_connection = fail
    await asyncio.sleep(10.0)
    assert len(registry.calls) > 3
    loop.create_connection = connect
    recovered_at, registry.version = now(), 50
    assert await harness.wait_for_list(50) - recovered_at <= NOTIFIED_S - SPARE_S
    assert "Traceback" not in capsys.readouterr().err
    harness.close()


@pytest.mark.parametrize("failure", ANSWERED_FAILURES)
@simulated_time
async def test_a_change_is_in_force_in_time_after_a_failed_call_for_the_complete_list(failure):
    """No watch is open, because the balancer has stopped it."""
    for seed in range(10):
        registry = RegistryStub()
        harness = SidecarWithoutSockets(registry, seed=seed)
        await harness.wait_for_list(45)
        harness.discovery.watch(on=False)
        registry.next_answers, registry.version = [failure], 50
        started_at = now()
        harness.discovery.fetch()
        assert await harness.wait_for_list(50) - started_at <= NOTIFIED_S - SPARE_S
        harness.close()


@pytest.mark.parametrize("strategy", STRATEGIES)
@pytest.mark.parametrize("failure", FAILURES)
@simulated_time
async def test_a_process_whose_first_call_fails_is_ready_soon_and_has_the_list_in_time(failure, strategy):
    for seed in range(10):
        registry = RegistryStub(50)
        registry.next_answers = [failure]
        started_at = now()
        harness = SidecarWithoutSockets(registry, strategy, seed)
        await harness.discovery.wait_for_first_call(1.0)
        assert now() - started_at <= 1.0
        # The first polls of a fleet that starts at the same time are spread over this time.
        spread_s = 2.5 if strategy == "subscribe" else 0.0
        assert await harness.wait_for_list(50) - started_at <= spread_s + NOTIFIED_S - SPARE_S
        harness.close()


@simulated_time
async def test_calls_of_a_fleet_that_waits_for_discovery_are_spread():
    """Each sidecar calls at random times, so each tenth of a second after the recovery has few calls."""
    call_times_s, fleet_size = [], 60
    for seed in range(fleet_size):
        registry = RegistryStub(failure="refused")
        harness = SidecarWithoutSockets(registry, seed=seed)
        await asyncio.sleep(20.0)
        registry.failure, registry.version = None, 50
        recovered_at = now()
        await harness.wait_for_list(50)
        call_times_s.append(registry.calls[-1] - recovered_at)
        harness.close()
    calls_per_tenth = [sum(k / 10 <= at < (k + 1) / 10 for at in call_times_s) for k in range(13)]
    assert sum(calls_per_tenth) == fleet_size
    assert max(calls_per_tenth) <= fleet_size / 4
    assert sum(at > 0.4 for at in call_times_s) > fleet_size / 4
