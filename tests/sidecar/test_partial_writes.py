"""Requests of which only a part is written when their server ends the connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from brassfall.balancer.model import Outcome
from brassfall.sidecar.servers.exchange import Exchange
from tests.support.loopback import loopback, until
from tests.support.pools import pool_of, slow_connection

MESSAGE = b"x" * 500_000  # more than the kernel holds
UNUSED_ADDRESS = "127.0.0.1:9"


def begin(connection):
    """Write a large message; return the list that its result comes to."""
    results = []
    connection.begin(Exchange(lambda left: MESSAGE, 0.0, results.append), MESSAGE)
    return results


@pytest.mark.parametrize(("reads_all", "outcome"), [(False, Outcome.CONNECT_FAILED), (True, Outcome.RESET)])
@loopback
async def test_bytes_that_are_merely_buffered_are_not_written(reads_all, outcome):
    loop = asyncio.get_running_loop()
    async with slow_connection(pool_of(UNUSED_ADDRESS)) as (connection, far):
        results = begin(connection)
        read = 0
        while read < (len(MESSAGE) if reads_all else 1000):
            read += len(await loop.sock_recv(far, 1000))
        far.close()
        await until(lambda: results)
        assert [result.outcome for result in results] == [outcome]


@pytest.mark.parametrize("said", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf"])
@loopback
async def test_a_request_that_counts_as_never_written_is_never_written(said):
    # The loop would go on to write the rest after the server has ended its sending: an attempt that was
    # reported as never sent, and may be sent again, would run all the same.
    loop = asyncio.get_running_loop()
    faults, read = [], 0
    loop.set_exception_handler(lambda loop, context: faults.append(context))
    async with slow_connection(pool_of(UNUSED_ADDRESS)) as (connection, far):
        results = begin(connection)
        if said:
            far.send(said)
        far.shutdown(socket.SHUT_WR)
        await until(connection.transport.is_closing)
        with contextlib.suppress(ConnectionError):
            while got := await loop.sock_recv(far, 65536):
                read += len(got)
        await until(lambda: results)
        assert [result.outcome for result in results] == [Outcome.CONNECT_FAILED]
        assert read < len(MESSAGE)
        assert not faults
