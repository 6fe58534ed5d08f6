"""Requests of which only a part has been written when the server closes the connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from brassfall.balancer.model import Outcome
from brassfall.sidecar.servers.exchange import Exchange
from tests.support.loopback import loopback, until
from tests.support.pools import pool_of, slow_connection

MESSAGE = b"x" * 500_000  # large request, of which the socket buffers take only a part
UNUSED_ADDRESS = "127.0.0.1:9"


def begin_exchange(connection):
    """Begin to write a large request; return the list to which its result will be added."""
    results = []
    connection.begin(Exchange(lambda left: MESSAGE, 0.0, results.append), MESSAGE)
    return results


@pytest.mark.parametrize(("reads_all", "outcome"), [(False, Outcome.CONNECT_FAILED), (True, Outcome.RESET)])
@loopback
async def test_bytes_that_are_only_buffered_do_not_count_as_written(reads_all, outcome):
    loop = asyncio.get_running_loop()
    async with slow_connection(pool_of(UNUSED_ADDRESS)) as (connection, server_socket):
        results = begin_exchange(connection)
        bytes_read = 0
        while bytes_read < (len(MESSAGE) if reads_all else 1000):
            bytes_read += len(await loop.sock_recv(server_socket, 1000))
        server_socket.close()
        await until(lambda: results)
        assert [result.outcome for result in results] == [outcome]


@pytest.mark.parametrize("answer_part", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf"])
@loopback
async def test_a_request_reported_as_never_written_is_not_written_later(answer_part):
    # The event loop would go on writing the rest after the server has ended its sending. The attempt would
    # then run although it was reported as never sent and may be sent again.
    loop = asyncio.get_running_loop()
    loop_errors, bytes_read = [], 0
    loop.set_exception_handler(lambda loop, context: loop_errors.append(context))
    async with slow_connection(pool_of(UNUSED_ADDRESS)) as (connection, server_socket):
        results = begin_exchange(connection)
        if answer_part:
            server_socket.send(answer_part)
        server_socket.shutdown(socket.SHUT_WR)
        await until(connection.transport.is_closing)
        with contextlib.suppress(ConnectionError):
            while data := await loop.sock_recv(server_socket, 65536):
                bytes_read += len(data)
        await until(lambda: results)
        assert [result.outcome for result in results] == [Outcome.CONNECT_FAILED]
        assert bytes_read < len(MESSAGE)
        assert not loop_errors
