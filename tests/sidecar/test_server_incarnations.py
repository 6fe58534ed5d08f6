"""A server that restarts or moves is a new incarnation, without the connections and drain of the old one."""

from __future__ import annotations

import asyncio

import pytest

from tests.support.balancer_records import nonzero_faults
from tests.support.loopback import (
    OK,
    ScriptedBalancer,
    Upstream,
    entry,
    list_changes,
    loopback,
    never_cancels,
    request_that_waits,
    running_until_idle,
    start_request,
    until,
)


@pytest.mark.parametrize("drained", [False, True])
@loopback
async def test_a_connection_to_the_previous_incarnation_is_not_used_once_it_is_established(
    monkeypatch, drained
):
    """The server restarts at another address while the connection opens, with or without a drain before."""
    new = await Upstream([OK]).start()
    async with request_that_waits(monkeypatch, Rules={"StopSendingWithin": 0.0}) as waiting:
        sidecar, old = waiting.sidecar, waiting.upstream
        if drained:
            list_changes(sidecar, entry("s0", old.address, status="leaving"))
        list_changes(sidecar, entry("s0", new.address, since_ms=1))
        waiting.gate.open.set()
        assert (await waiting.app.answer()).body == b"done"
        assert (len(old.seen), len(new.seen)) == (0, 1)
        assert not nonzero_faults(sidecar.driver.balancer, "s0")
    new.stop()


@pytest.mark.parametrize("changes", [{"address": True}, {"since_ms": 1_790_000_000_000}])
@loopback
async def test_a_busy_connection_to_the_previous_incarnation_is_not_reused_for_the_next(changes):
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK

    old, new = await Upstream([wait]).start(), await Upstream([OK]).start()
    address = new.address if changes.pop("address", False) else old.address
    async with running_until_idle(old, balancer=ScriptedBalancer(), **never_cancels()) as sidecar:
        app = await start_request(sidecar)
        await until(lambda: old.seen)
        list_changes(sidecar, entry("s0", old.address, status="leaving"))
        list_changes(sidecar, entry("s0", address, **changes))
        release.set()
        assert (await app.answer()).body == b"done"  # The old incarnation may finish the request that it has
        assert (await app.ask()).body == b"done"
        old_connections = [seen.connection for seen in old.seen]
        assert (old_connections, len(new.seen)) in (([0, 1], 0), ([0], 1))
    new.stop()


@loopback
async def test_a_drain_applies_only_to_the_incarnation_that_drains():
    old, new = await Upstream([OK]).start(), await Upstream([OK]).start()
    async with running_until_idle(old, balancer=ScriptedBalancer(), **never_cancels()) as sidecar:
        old_incarnation = sidecar.pool.servers["s0"]
        list_changes(sidecar, entry("s0", old.address, status="leaving"))
        list_changes(sidecar, entry("s0", new.address, since_ms=1))
        assert old_incarnation.draining
        assert not sidecar.pool.servers["s0"].draining
    new.stop()
