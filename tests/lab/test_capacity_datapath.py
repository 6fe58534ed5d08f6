"""The measurement of the data path: what is counted and planned, not how long it takes."""

from __future__ import annotations

import asyncio

import pytest

from brassfall.lab.capacity.datapath import DatapathOptions, calls, measure, wire
from brassfall.lab.capacity.datapath.client import Client, Turn
from brassfall.lab.capacity.datapath.server import Connection, Host
from tests.support.loopback import loopback

SMALL = DatapathOptions(
    rates=(60.0,),
    entries=(3,),
    turns=1,
    seconds=1.0,
    skip_seconds=0.25,
    connections=4,
    sockets=3,
    chain=2,
    starts=1,
)


async def listening(made):
    """A server of a protocol; where it listens."""
    server = await asyncio.get_running_loop().create_server(made, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def turn(address, **changes):
    """A short turn."""
    told = {"rate": 100.0, "seconds": 0.5, "skip_seconds": 0.0, "connections": 2, "hops": 0, "seed": 5}
    return Turn(addresses=[address], route=calls.DIRECT, **{**told, **changes})


def test_a_target_tells_hops_and_way_and_any_other_target_has_none():
    sent = calls.Target(6, calls.SIDECAR)
    target = calls.message("id-1", sent).split(b" ")[1]
    assert calls.parse(target) == sent
    assert calls.parse(target).next_hop == calls.Target(5, calls.SIDECAR)
    assert calls.parse(b"/health/live").hops == 0


@loopback
async def test_calls_are_sent_as_planned_whether_answers_come_or_not():
    silent, never = await listening(asyncio.Protocol)
    server, at_once = await listening(lambda: Connection(Host()))
    answered = await Client("a").play(turn(at_once))
    unanswered = await Client("b").play(turn(never))
    count = answered.statuses[200]
    assert (
        25 <= count == sum(answered.statuses.values()) == len(answered.from_plan) == len(answered.send_late)
    )
    assert unanswered.statuses == {wire.BROKEN: count}
    assert unanswered.opened > answered.opened, "no call waits for the answer to another"
    assert all(plan >= send for plan, send in zip(answered.from_plan, answered.from_send, strict=True))
    server.close()
    silent.close()


@loopback
async def test_calls_of_the_first_moments_are_sent_and_not_counted():
    server, address = await listening(lambda: Connection(Host()))
    whole = await Client("a").play(turn(address))
    part = await Client("b").play(turn(address, skip_seconds=0.25))
    assert 0 < part.statuses[200] < whole.statuses[200]
    server.close()


@pytest.fixture(scope="module")
def measurements():
    """The figures of a small measurement, by quantity."""
    rows = asyncio.run(asyncio.wait_for(measure(SMALL), 60.0))
    assert len({(row.quantity, row.size) for row in rows}) == len(rows), "a quantity is told twice"
    return {(row.quantity, row.size): row for row in rows}


def test_every_call_is_answered_and_both_ways_are_told(measurements):
    for where, size in (
        ("at 60/s, entries", 3),
        ("in a chain at 60/s, sidecars", 2),
        ("in a sidecar's first second, entries", 3),
    ):
        assert measurements[f"calls {where}", size].value > 20
        assert measurements[f"calls not answered with 200 {where}", size].value == 0
        assert measurements[f"processor time a call {where}", size].value > 0
    for quantity in ("added p50", "p99.9 time of a call direct", "client late by p99"):
        assert (f"{quantity} at 60/s, entries", 3) in measurements
    assert not [quantity for quantity, _ in measurements if quantity.startswith("refused")]


def test_a_call_wakes_a_sidecar_a_bounded_number_of_times(measurements):
    """Its bytes, its answer, and the module's timer; a chain of two has two sidecars."""
    assert measurements["wake-ups a call at 60/s, entries", 3].value < 6.0
    one, two = (
        measurements[f"wake-ups a call {where}", size].value
        for where, size in (("at 60/s, entries", 3), ("in a chain at 60/s, sidecars", 2))
    )
    assert two > one
