"""Invalid lists of discovery: one line in the log, the current list stays, the call is repeated in time."""

from __future__ import annotations

import asyncio
import functools
import json

import pytest

from brassfall.sidecar.discovery import channel
from tests.support.discovery import (
    HEAD,
    LAST_CHUNK,
    NOTIFIED_S,
    SPARE_S,
    RegistryStub,
    SidecarWithoutSockets,
    chunk,
    list_line,
    now,
    simulated_time,
)
from tests.support.loopback import entry, listed
from tests.support.sidecar_views import balancer_active_servers, pool_servers

BLOCK = 65_536
VALID_ROW = entry("s50")


def list_with(**changes):
    """A list whose second entry is invalid."""
    return json.dumps(listed(50, VALID_ROW, entry("s1", **changes))).encode()


INVALID = {
    "no JSON": b"garbage",
    "half a list": list_line(50)[:40],
    "invalid UTF-8": b'{"index": 50, "endpoints": ["\xff\xfe"]}',
    "deeply nested": b'{"index": 50, "endpoints": ' + b"[" * 200_000 + b"]" * 200_000 + b"}",
    "an array": b"[]",
    "no index": b'{"endpoints": []}',
    "index not a number": b'{"index": NaN, "snapshot": true, "endpoints": []}',
    "index infinite": b'{"index": 1e999, "snapshot": true, "endpoints": []}',
    "index too long": b'{"index": ' + b"9" * 5000 + b', "endpoints": []}',
    "index negative": b'{"index": -1, "snapshot": true, "endpoints": []}',
    "servers a string": b'{"index": 50, "snapshot": true, "endpoints": ""}',
    "servers an object": b'{"index": 50, "snapshot": true, "endpoints": {}}',
    "snapshot a string": json.dumps(listed(50, VALID_ROW, snapshot="false")).encode(),
    "entry a number": json.dumps(listed(50, VALID_ROW, 7)).encode(),
    "status unknown": list_with(status="x" * 9000),
    "status an array": list_with(status=[]),
    "name missing": json.dumps(listed(50, VALID_ROW, entry(None))).encode(),
    "name not printable": json.dumps(listed(50, VALID_ROW, entry("s\ud800"))).encode(),
    "group infinite": list_with(group=float("inf")),
    "weight too large": list_with(weight=10**400),
    "start not a number": list_with(since_ms=float("nan")),
    "address invalid": list_with(address="nowhere"),
}


@pytest.fixture
def loop_errors():
    """Takes the errors that the event loop would log."""
    return []


def watch_loop_errors(errors):
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: errors.append(context))


@pytest.mark.parametrize("flood", [b" ", b'{"index": 50,\n "more": 1,\n', b"X-More: 1\r\n"])
@simulated_time
async def test_an_endless_line_object_or_head_holds_no_more_memory_than_a_list(flood, capsys):
    registry, fed = RegistryStub(), 0

    async def feed_without_end(connection):
        nonlocal fed
        is_head = flood.startswith(b"X-")
        connection.feed(HEAD[:-2] if is_head else HEAD)
        piece = flood * (BLOCK // len(flood))
        while connection.open:
            connection.feed(piece if is_head else chunk(piece))
            fed += len(piece)
            await asyncio.sleep(0)

    registry.current_list = feed_without_end
    started = SidecarWithoutSockets(registry, "automatic")
    await asyncio.sleep(0.01)
    assert len(registry.calls) == 1
    assert fed < channel.MAX_LINE_BYTES + 3 * BLOCK
    assert "discovery: call failed, reason=a line is too long" in capsys.readouterr().err
    started.close()


@pytest.mark.parametrize("call", ["pushed", "polled", "complete"])
@pytest.mark.parametrize("what", INVALID)
@simulated_time
async def test_an_invalid_list_ends_the_call_which_is_repeated_in_time(what, call, capsys, loop_errors):
    registry, valid_answer = RegistryStub(), RegistryStub.current_list

    async def invalid_answer(connection):
        if b"watch=1" in connection.request and call == "complete":
            return
        connection.feed(HEAD + chunk(INVALID[what] + b"\n") + LAST_CHUNK)

    watch_loop_errors(loop_errors)
    started = SidecarWithoutSockets(registry, "automatic" if call == "pushed" else "subscribe")
    await started.has(45)
    registry.current_list = invalid_answer
    registry.reset_all()
    if call == "complete":
        started.discovery.fetch()
    calls = len(registry.calls)
    async with asyncio.timeout(5.0):
        while len(registry.calls) == calls or (call != "complete" and not capsys.readouterr().err):
            await asyncio.sleep(0.01)
    invalid_at = now()
    assert set(pool_servers(started.sidecar)) == {"s45"}
    registry.current_list, registry.version = functools.partial(valid_answer, registry), 50
    registry.reset_all()
    assert await started.has(50) - invalid_at <= NOTIFIED_S - SPARE_S
    started.close()
    assert not loop_errors


@pytest.mark.parametrize("call", ["pushed", "complete"])
@pytest.mark.parametrize("what", [*INVALID, "error status", "two lists", "endless lists"])
@simulated_time
async def test_an_invalid_list_is_one_plain_line_in_the_log(what, call, capsys, loop_errors):
    registry, fed = RegistryStub(), 0

    async def invalid_answer(connection):
        nonlocal fed
        if what == "error status":
            connection.feed(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
        elif what in ("two lists", "endless lists"):
            connection.feed(HEAD)
            while connection.open and fed < (2 if what == "two lists" else 10_000):
                connection.feed(chunk(list_line(50)))
                fed += 1
            connection.feed(LAST_CHUNK)
        else:
            connection.feed(HEAD + chunk(INVALID[what] + b"\n") + LAST_CHUNK)

    watch_loop_errors(loop_errors)
    registry.current_list = invalid_answer
    started = SidecarWithoutSockets(registry, "subscribe")
    if call == "pushed" and what not in ("two lists", "endless lists"):
        started.discovery.watch(on=True)
    else:
        started.discovery.fetch()
    await asyncio.sleep(0.02)
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1 and lines[0].startswith("WARNING discovery: call failed, reason="), lines
    assert len(lines[0]) < 400 and "Traceback" not in lines[0]
    assert fed <= 2
    assert not loop_errors and started.discovery.version in (0, 41)
    started.close()


@simulated_time
async def test_of_two_entries_for_one_server_the_last_one_counts():
    registry = RegistryStub()
    started = SidecarWithoutSockets(registry, "automatic")
    await started.has(45)
    rows = [entry("s50", "127.0.0.1:9"), entry("s50", "127.0.0.1:11", status="leaving"), entry("s51")]
    registry.connections[-1].feed(chunk(json.dumps(listed(50, *rows)).encode() + b"\n"))
    assert pool_servers(started.sidecar)["s50"].address.port == 11
    assert balancer_active_servers(started.sidecar) == ["s51"]
    started.close()
