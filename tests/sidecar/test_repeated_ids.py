"""Requests that come again under their ids after their clients have left, at this process or at another."""

from __future__ import annotations

import asyncio
import errno

import pytest

from brassfall.sidecar.clients.recent_calls import MAX_CALLS, READ_BYTES, RecentCalls
from tests.support.clients import close_with_reset
from tests.support.loopback import (
    OK,
    PATIENCE_S,
    App,
    Upstream,
    bounded,
    entry,
    hang,
    listed,
    loopback,
    running,
    until,
)
from tests.support.processes import Platform, yes
from tests.support.system_calls import Faults


@pytest.mark.parametrize(("target", "status"), [("/pay", 502), ("/book", 502), ("/look", 200)])
@pytest.mark.parametrize("leave", [App.close, close_with_reset])
@loopback
async def test_a_repeated_request_does_not_run_twice_after_its_client_has_left(target, status, leave):
    """Guards against a second run of a request that may not be repeated: its first attempt was written."""
    method = "GET" if target == "/look" else "POST"
    upstream = await Upstream([hang, OK]).start()
    async with running(upstream) as sidecar:
        first, second = await App.connect(sidecar.address), await App.connect(sidecar.address)
        first.send(method, target, X_Call_Id="again")
        await until(lambda: upstream.seen)
        leave(first)
        await until(lambda: len(sidecar.inbound.connections) == 1)
        for _ in range(2):
            assert (await second.ask(method, target, X_Call_Id="again")).status == status
        assert len(upstream.seen) == (1 if status == 502 else 3)
        assert (await second.ask("POST", "/pay", X_Call_Id="other")).body == b"done"


@loopback
async def test_a_repeated_request_does_not_run_twice_if_its_answer_could_not_be_sent():
    """Guards against a second run of a request whose answer met a broken connection to its client."""
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        first, second = await App.connect(sidecar.address), await App.connect(sidecar.address)
        client = first.writer.get_extra_info("sockname")
        with Faults() as faults:
            faults.script("send", errno.ECONNRESET, on=lambda sock: sock.getpeername() == client)
            first.send("POST", "/pay", X_Call_Id="again")
            assert await first.answer() is None
        assert (await second.ask("POST", "/pay", X_Call_Id="again")).status == 502
        assert len(upstream.seen) == 1


@loopback
async def test_the_id_of_an_answered_request_may_be_reused():
    """Guards against refusals of requests whose client has an answer to the one before."""
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        for _ in range(3):
            assert (await app.ask("POST", "/pay", X_Call_Id="again")).body == b"done"


@loopback
async def test_a_request_that_was_never_forwarded_may_be_repeated():
    """Guards against refusals of requests whose connection was closed before an attempt began."""
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        first, second = await App.connect(sidecar.address), await App.connect(sidecar.address)
        first.writer.write(b"POST /pay HTTP/1.1\r\nX-Call-Id: again\r\n")
        first.close()
        assert (await second.ask("POST", "/pay", X_Call_Id="again")).body == b"done"


def test_two_processes_share_what_they_forward_and_answer(tmp_path):
    """Guards against a second run at the other process of an upgrade."""
    path = str(tmp_path / "calls")
    old, new = RecentCalls(), RecentCalls()
    old.add("before the upgrade")
    for process in (old, new):
        process.share(path)
    old.add("at the old one")
    new.add("at the new one")
    for process in (old, new):
        assert "before the upgrade" in process
        assert "at the old one" in process
        assert "at the new one" in process
    old.discard("at the old one")
    assert "at the old one" not in new
    assert "at the old one" not in old
    for number in range(READ_BYTES // 8):
        old.add(f"many {number}")
    assert f"many {number}" in new
    old.close()
    new.stop_sharing()
    assert f"many {number}" in new
    assert "at the new one" in new
    new.discard("at the new one")
    assert "at the new one" not in new
    assert not (tmp_path / "calls").read_bytes()


def test_the_number_of_remembered_requests_is_limited():
    """Guards against memory that grows with ever new ids."""
    calls = RecentCalls()
    for number in range(MAX_CALLS + 10):
        calls.add(f"call {number}")
    remembered = [number for number in range(MAX_CALLS + 10) if f"call {number}" in calls]
    assert remembered == list(range(10, MAX_CALLS + 10))


def test_a_file_that_can_not_be_written_does_not_matter(tmp_path):
    calls = RecentCalls()
    calls.share(str(tmp_path / "missing" / "calls"))
    calls.add("one")
    assert "one" in calls
    calls.stop_sharing()


@bounded(4 * PATIENCE_S)
async def test_a_repeated_request_does_not_run_twice_during_an_upgrade(tmp_path):
    """Guards against a second run at whichever process of an upgrade accepts the connection."""
    upstream = await Upstream([hang]).start()
    platform = Platform(tmp_path, known=listed(1, entry("s0", upstream.address)))
    try:
        for _ in range(2):
            _, admin = await platform.start()
            await yes(admin)
        for number in range(12):
            for _ in range(2):
                app = await App.connect(platform.address)
                app.send("POST", "/pay", X_Call_Id=f"call-{number}")
                if len(upstream.seen) <= number:
                    await until(lambda number=number: len(upstream.seen) > number)
                else:
                    assert (await app.answer()).status == 502
                app.close()
        assert [seen.headers["x-call-id"] for seen in upstream.seen] == [f"call-{i}" for i in range(12)]
    finally:
        platform.end()
        # A process that is not waited for leaves its pipe to a later test, whose event loop is another one.
        await asyncio.gather(*(process.communicate() for process in platform.processes))
        upstream.stop()
