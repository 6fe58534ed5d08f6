"""Starts, ends, signals and descriptors, with what crosses them forced to cross."""

from __future__ import annotations

import socket

import pytest

from tests.loopback import App, loopback, running, until


def held(made):
    """The connections of clients that a sidecar holds."""
    return list(made.inbound._connections)


def own_socket(connection):
    """The sidecar's end of a client's connection."""
    return connection._transport.get_extra_info("socket")


@pytest.mark.parametrize("inherits", [False, True])
@loopback
async def test_small_writes_to_a_client_are_not_held_back_by_the_system(inherits):
    # What it holds back goes with a reset, and comes 40 ms late where the client delays its word.
    async with running() as made:
        address = made.address
        if inherits:
            made.inbound.stop_listening()
            listening = socket.create_server(("127.0.0.1", 0))
            address = made.inbound.listen(address, listening.detach())
        app = await App.connect(address)
        await until(lambda: held(made))
        assert own_socket(held(made)[0]).getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        app.close()
