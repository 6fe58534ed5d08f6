"""Events during a call to discovery: another poll, the end of a watch, and a change of the address."""

from __future__ import annotations

import asyncio

import pytest

from tests.support.discovery import (
    ADDRESS_CHANGE_NOTIFIED_S,
    CALL_WAIT_S,
    FAILURES,
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


@simulated_time
async def test_a_poll_of_the_balancer_does_not_cancel_a_watch_under_way():
    """The balancer has set the timer of the poll before a change of the address, which opened the watch."""
    for seed in range(12):
        old, new = RegistryStub(failure="refused"), RegistryStub(50)
        harness = SidecarWithoutSockets(old, seed=seed)
        await asyncio.sleep(20.0 + 0.13 * seed)
        changed_at = now()
        harness.change_address(new)
        assert await harness.wait_for_list(50) - changed_at <= CALL_WAIT_S + 0.1
        await asyncio.sleep(5.0)
        assert len(new.calls) == 1
        harness.close()


@simulated_time
async def test_a_watch_that_was_stopped_and_started_again_misses_no_change():
    registry = RegistryStub()
    harness = SidecarWithoutSockets(registry)
    await harness.wait_for_list(45)
    for on in (True, False, True):
        harness.discovery.watch(on=on)
        await asyncio.sleep(0.3)
    registry.version, changed_at = 50, now()
    assert await harness.wait_for_list(50) - changed_at <= CALL_WAIT_S
    assert [connection.open for connection in registry.connections] == [False, True]
    harness.discovery.watch(on=False)
    await asyncio.sleep(0.0)
    harness.discovery.watch(on=True)  # In the same iteration of the loop in which the old watch ends
    await asyncio.sleep(3.0)
    assert [connection.open for connection in registry.connections] == [False, False, True]
    harness.close()


@pytest.mark.parametrize("strategy", STRATEGIES)
@pytest.mark.parametrize("under_way", [*FAILURES, "current_list"])
@simulated_time
async def test_a_change_is_in_force_in_time_after_two_changes_of_the_address_during_a_call(
    under_way, strategy
):
    """The address changes twice during a call, and the last address can be reached only after a while."""
    for seed, failing_s in enumerate((0.0, 0.9, 2.3, 3.9, 4.1, 6.7, 12.0)):
        old, first, last = RegistryStub(), RegistryStub(46), RegistryStub(50, failure="refused")
        harness = SidecarWithoutSockets(old, strategy, seed)
        await harness.wait_for_list(45)
        await asyncio.sleep(3.0)
        old.reset_connections()
        first.failure = under_way
        harness.change_address(first)
        await asyncio.sleep(0.4)  # The call to the first new address is under way.
        harness.change_address(last)
        await asyncio.sleep(failing_s)
        last.failure, recovered_at = None, now()
        delay_s = await harness.wait_for_list(50) - recovered_at
        assert delay_s <= NOTIFIED_S - SPARE_S
        assert failing_s > 2.5 or delay_s <= ADDRESS_CHANGE_NOTIFIED_S - SPARE_S
        assert len(first.calls) <= 4
        harness.close()


@pytest.mark.parametrize("strategy", STRATEGIES)
@simulated_time
async def test_no_list_from_the_old_address_is_accepted_after_a_change_of_the_address(strategy):
    """When the address changes, the old one is about to send a complete list and a line on the watch."""
    old, new = RegistryStub(), RegistryStub(50)
    harness = SidecarWithoutSockets(old, strategy)
    await harness.wait_for_list(45)
    old.version = 99
    harness.discovery.fetch()
    await asyncio.sleep(0.5)
    harness.change_address(new)
    await asyncio.sleep(0.0)
    old.connections[0].feed(chunk(list_line(98)))
    await harness.wait_for_list(50)
    await asyncio.sleep(10.0)
    assert 98 not in harness.notified and 99 not in harness.notified
    assert not any(connection.open for connection in old.connections)
    assert len(new.calls) == 2  # The watch, and the call for the complete list that was under way
    harness.close()
