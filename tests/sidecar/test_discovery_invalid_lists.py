"""Invalid lists of discovery: each is logged in one line, the current list stays, the call is repeated."""

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

PIECE_BYTES = 65_536  # Size of the pieces in which an endless answer is sent, in bytes
VALID_ENTRY = entry("s50")


def list_with_invalid_entry(**changes):
    """Return a list of two entries, the second of which has the given invalid fields."""
    return json.dumps(listed(50, VALID_ENTRY, entry("s1", **changes))).encode()


INVALID_LISTS = {
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
    "snapshot a string": json.dumps(listed(50, VALID_ENTRY, snapshot="false")).encode(),
    "entry a number": json.dumps(listed(50, VALID_ENTRY, 7)).encode(),
    "status unknown": list_with_invalid_entry(status="x" * 9000),
    "status an array": list_with_invalid_entry(status=[]),
    "name missing": json.dumps(listed(50, VALID_ENTRY, entry(None))).encode(),
    "name not printable": json.dumps(listed(50, VALID_ENTRY, entry("s\ud800"))).encode(),
    "group infinite": list_with_invalid_entry(group=float("inf")),
    "weight too large": list_with_invalid_entry(weight=10**400),
    "start not a number": list_with_invalid_entry(since_ms=float("nan")),
    "address invalid": list_with_invalid_entry(address="nowhere"),
}


@pytest.fixture
def loop_errors():
    """Return a list for the errors that the event loop would log."""
    return []


def collect_loop_errors(errors):
    """Add the errors that the event loop would log to `errors`."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: errors.append(context))


@pytest.mark.parametrize("flood", [b" ", b'{"index": 50,\n "more": 1,\n', b"X-More: 1\r\n"])
@simulated_time
async def test_an_endless_line_object_or_head_uses_no_more_memory_than_a_list(flood, capsys):
    registry, fed_bytes = RegistryStub(), 0

    async def feed_without_end(connection):
        nonlocal fed_bytes
        is_head = flood.startswith(b"X-")
        connection.feed(HEAD[:-2] if is_head else HEAD)
        piece = flood * (PIECE_BYTES // len(flood))
        while connection.open:
            connection.feed(piece if is_head else chunk(piece))
            fed_bytes += len(piece)
            await asyncio.sleep(0)

    registry.current_list = feed_without_end
    harness = SidecarWithoutSockets(registry, "automatic")
    await asyncio.sleep(0.01)
    assert len(registry.calls) == 1
    assert fed_bytes < channel.MAX_LINE_BYTES + 3 * PIECE_BYTES
    assert "discovery: call failed, reason=a line is too long" in capsys.readouterr().err
    harness.close()


@pytest.mark.parametrize("call", ["pushed", "polled", "complete"])
@pytest.mark.parametrize("kind", INVALID_LISTS)
@simulated_time
async def test_a_call_with_an_invalid_list_is_repeated_in_time(kind, call, capsys, loop_errors):
    registry, send_valid_list = RegistryStub(), RegistryStub.current_list

    async def send_invalid_list(connection):
        if b"watch=1" in connection.request and call == "complete":
            return
        connection.feed(HEAD + chunk(INVALID_LISTS[kind] + b"\n") + LAST_CHUNK)

    collect_loop_errors(loop_errors)
    harness = SidecarWithoutSockets(registry, "automatic" if call == "pushed" else "subscribe")
    await harness.wait_for_list(45)
    registry.current_list = send_invalid_list
    registry.reset_connections()
    if call == "complete":
        harness.discovery.fetch()
    call_count = len(registry.calls)
    async with asyncio.timeout(5.0):
        while len(registry.calls) == call_count or (call != "complete" and not capsys.readouterr().err):
            await asyncio.sleep(0.01)
    invalid_at = now()
    assert set(pool_servers(harness.sidecar)) == {"s45"}
    registry.current_list, registry.version = functools.partial(send_valid_list, registry), 50
    registry.reset_connections()
    assert await harness.wait_for_list(50) - invalid_at <= NOTIFIED_S - SPARE_S
    harness.close()
    assert not loop_errors


@pytest.mark.parametrize("call", ["pushed", "complete"])
@pytest.mark.parametrize("kind", [*INVALID_LISTS, "error status", "two lists", "endless lists"])
@simulated_time
async def test_an_invalid_list_is_logged_in_one_short_line(kind, call, capsys, loop_errors):
    registry, fed_lists = RegistryStub(), 0

    async def send_invalid_list(connection):
        nonlocal fed_lists
        if kind == "error status":
            connection.feed(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
        elif kind in ("two lists", "endless lists"):
            connection.feed(HEAD)
            while connection.open and fed_lists < (2 if kind == "two lists" else 10_000):
                connection.feed(chunk(list_line(50)))
                fed_lists += 1
            connection.feed(LAST_CHUNK)
        else:
            connection.feed(HEAD + chunk(INVALID_LISTS[kind] + b"\n") + LAST_CHUNK)

    collect_loop_errors(loop_errors)
    registry.current_list = send_invalid_list
    harness = SidecarWithoutSockets(registry, "subscribe")
    if call == "pushed" and kind not in ("two lists", "endless lists"):
        harness.discovery.watch(on=True)
    else:
        harness.discovery.fetch()
    await asyncio.sleep(0.02)
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1 and lines[0].startswith("WARNING discovery: call failed, reason="), lines
    assert len(lines[0]) < 400 and "Traceback" not in lines[0]
    assert fed_lists <= 2
    assert not loop_errors and harness.discovery.version in (0, 41)
    harness.close()


@simulated_time
async def test_the_last_of_two_entries_for_one_server_is_used():
    registry = RegistryStub()
    harness = SidecarWithoutSockets(registry, "automatic")
    await harness.wait_for_list(45)
    rows = [entry("s50", "127.0.0.1:9"), entry("s50", "127.0.0.1:11", status="leaving"), entry("s51")]
    registry.connections[-1].feed(chunk(json.dumps(listed(50, *rows)).encode() + b"\n"))
    assert pool_servers(harness.sidecar)["s50"].address.port == 11
    assert balancer_active_servers(harness.sidecar) == ["s51"]
    harness.close()
