"""Gossip between sidecars by short UDP messages, which may be delayed or lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from brassfall.sidecar import log
from brassfall.sidecar.config import Config
from brassfall.sidecar.config_values import Address

MAX_MESSAGE = 256  # Largest message, in bytes


class Peers(asyncio.DatagramProtocol):
    """The other sidecars of the tier, which are identified by their addresses.

    `receive` is called with the number of a peer and a message from that peer.
    """

    def __init__(self, config: Config, receive: Callable[[int, bytes], None]) -> None:
        self._listen_address = config.peer_listen if config.settings.peer_messages else None
        # True if the process that this one replaces may use the same address at the same time.
        self._reuse_port = config.inherited_descriptor is not None
        self._own_number = config.settings.me
        self._addresses = config.peers
        self._broadcast_address = config.peers_all
        self._number_by_address = {address: number for number, address in enumerate(config.peers)}
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None

    async def listen(self, loop: asyncio.AbstractEventLoop) -> None:
        """Bind the address for messages if the settings enable messages; raise `OSError` if that fails."""
        if self._listen_address is not None:
            await loop.create_datagram_endpoint(
                lambda: self, local_addr=self._listen_address, reuse_port=self._reuse_port or None
            )

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a message to one peer, or to all if `peer` is None."""
        if self._transport is None or len(data) > MAX_MESSAGE:
            log.error("peers: message not sent", peer=peer, bytes=len(data), action="report it as a defect")
            return
        if peer is not None:
            if 0 <= peer < len(self._addresses):
                self._transport.sendto(data, self._addresses[peer])
        elif self._broadcast_address is not None:
            self._transport.sendto(data, self._broadcast_address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the bound socket; called by the event loop."""
        # Up to Python 3.11, the event loop's datagram transport is not a subclass of `DatagramTransport`.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        """Pass a message to `receive`; drop it if it is too long, or not from another known sidecar."""
        number = self._number_by_address.get(Address(source[0], source[1]))
        if number is not None and number != self._own_number and len(data) <= MAX_MESSAGE:
            self._receive(number, data)

    def error_received(self, error: Exception) -> None:
        """Ignore that a peer is unreachable, since messages may be lost."""

    def close(self) -> None:
        """Close the socket for messages."""
        if self._transport is not None:
            self._transport.close()
