"""Gossip between sidecars on real UDP sockets."""

from __future__ import annotations

import asyncio
import socket

import pytest

from brassfall.balancer.model import SendPeerMessage
from tests.support.loopback import ScriptedBalancer, loopback, running, until
from tests.support.sidecar_views import carry_out


@pytest.fixture
def udp_socket():
    """Give a function that creates bound UDP sockets, which are closed at the end of the test."""
    sockets = []

    def bind():
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(10.0)
        sockets.append(sock)
        return sock

    yield bind
    for sock in sockets:
        sock.close()


@loopback
async def test_peers_are_identified_by_address_and_messages_from_others_are_dropped(udp_socket):
    own, peer, stranger, broadcast_socket = (udp_socket() for _ in range(4))
    address, other, broadcast = (
        f"127.0.0.1:{sock.getsockname()[1]}" for sock in (own, peer, broadcast_socket)
    )
    own_address = own.getsockname()
    own.close()
    raw = {"peer_listen": address, "peers": [address, other], "peers_all": broadcast}
    balancer = ScriptedBalancer()
    async with running(balancer=balancer, raw=raw) as sidecar:
        stranger.sendto(b"who", own_address)
        peer.sendto(b"x" * 257, own_address)
        peer.sendto(b"x" * 256, own_address)
        await until(lambda: balancer.named("peer_message"))
        assert balancer.named("peer_message") == [[1, b"x" * 256]]
        carry_out(
            sidecar,
            balancer,
            SendPeerMessage(1, b"x" * 257),
            SendPeerMessage(1, b"one"),
            SendPeerMessage(None, b"all"),
        )
        loop = asyncio.get_running_loop()
        assert await loop.run_in_executor(None, peer.recv, 999) == b"one"
        assert await loop.run_in_executor(None, broadcast_socket.recv, 999) == b"all"
