"""A call to discovery is under way, and something else comes: another poll, or a move to another address."""

from __future__ import annotations

import asyncio

import pytest

from tests.support.discovery import (
    FAILURES,
    MOVED_S,
    NOTIFIED_S,
    SPARE_S,
    STRATEGIES,
    TURN_S,
    RegistryStub,
    SidecarWithoutSockets,
    chunk,
    list_line,
    now,
    simulated_time,
)


@simulated_time
async def test_a_balancer_that_polls_again_does_not_give_up_the_call_under_way():
    """Its timer was set before a move, which has opened a watch of its own."""
    for seed in range(12):
        old, new = RegistryStub(down="refused"), RegistryStub(50)
        started = SidecarWithoutSockets(old, seed=seed)
        await asyncio.sleep(20.0 + 0.13 * seed)
        moved = now()
        started.move(new)
        assert await started.has(50) - moved <= TURN_S + 0.1
        await asyncio.sleep(5.0)
        assert len(new.calls) == 1
        started.close()


@simulated_time
async def test_a_second_watch_and_one_called_off_lose_nothing():
    registry = RegistryStub()
    started = SidecarWithoutSockets(registry)
    await started.has(45)
    for on in (True, False, True):
        started.discovery.watch(on=on)
        await asyncio.sleep(0.3)
    registry.version, begun = 50, now()
    assert await started.has(50) - begun <= TURN_S
    assert [connection.open for connection in registry.connections] == [False, True]
    started.discovery.watch(on=False)
    await asyncio.sleep(0.0)
    started.discovery.watch(on=True)  # in the turn in which the other one ends
    await asyncio.sleep(3.0)
    assert [connection.open for connection in registry.connections] == [False, False, True]
    started.close()


@pytest.mark.parametrize("strategy", STRATEGIES)
@pytest.mark.parametrize("under_way", [*FAILURES, "current_list"])
@simulated_time
async def test_a_change_arrives_in_time_after_two_moves_in_the_middle_of_a_call(under_way, strategy):
    """The last address comes up late."""
    for seed, down_s in enumerate((0.0, 0.9, 2.3, 3.9, 4.1, 6.7, 12.0)):
        old, first, last = RegistryStub(), RegistryStub(46), RegistryStub(50, down="refused")
        started = SidecarWithoutSockets(old, strategy, seed)
        await started.has(45)
        await asyncio.sleep(3.0)
        old.reset_all()
        first.down = under_way
        started.move(first)
        await asyncio.sleep(0.4)  # the call is under way
        started.move(last)
        await asyncio.sleep(down_s)
        last.down, back = None, now()
        took = await started.has(50) - back
        assert took <= NOTIFIED_S - SPARE_S
        assert down_s > 2.5 or took <= MOVED_S - SPARE_S
        assert len(first.calls) <= 4
        started.close()


@pytest.mark.parametrize("strategy", STRATEGIES)
@simulated_time
async def test_nothing_of_the_old_address_is_accepted_after_a_move(strategy):
    """It has an answer for the complete list under way, and lines on the watch, at the time of the move."""
    old, new = RegistryStub(), RegistryStub(50)
    started = SidecarWithoutSockets(old, strategy)
    await started.has(45)
    old.version = 99
    started.discovery.fetch()
    await asyncio.sleep(0.5)
    started.move(new)
    await asyncio.sleep(0.0)
    old.connections[0].feed(chunk(list_line(98)))
    await started.has(50)
    await asyncio.sleep(10.0)
    assert 98 not in started.notified and 99 not in started.notified
    assert not any(connection.open for connection in old.connections)
    assert len(new.calls) == 2  # the watch, and the complete list that was requested
    started.close()
