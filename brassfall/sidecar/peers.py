"""Gossip between sidecars: short messages over UDP, which may be late or lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from brassfall.sidecar import log
from brassfall.sidecar.config import Config
from brassfall.sidecar.config_values import Address

MAX_MESSAGE = 256  # bytes


class Peers(asyncio.DatagramProtocol):
    """The other sidecars of the tier, known by their addresses.

    `receive` is called with the number of a peer and a message of it.
    """

    def __init__(self, config: Config, receive: Callable[[int, bytes], None]) -> None:
        self._bind = config.peer_listen if config.settings.peer_messages else None
        self._shared = config.inherited_descriptor is not None  # with the process that this one replaces
        self._me = config.settings.me
        self._addresses = config.peers
        self._all = config.peers_all
        self._numbers = {address: number for number, address in enumerate(config.peers)}
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None

    async def listen(self, loop: asyncio.AbstractEventLoop) -> None:
        """Bind the address for messages, if the settings allow them; raise `OSError` if that fails."""
        if self._bind is not None:
            await loop.create_datagram_endpoint(
                lambda: self, local_addr=self._bind, reuse_port=self._shared or None
            )

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a message to one peer, or to all if `peer` is None."""
        if self._transport is None or len(data) > MAX_MESSAGE:
            log.error("peers: message not sent", peer=peer, bytes=len(data), action="report it")
            return
        if peer is not None:
            if 0 <= peer < len(self._addresses):
                self._transport.sendto(data, self._addresses[peer])
        elif self._all is not None:
            self._transport.sendto(data, self._all)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket, which is bound."""
        # Up to Python 3.11 the loop's own datagram transport is no `DatagramTransport`.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        """Pass on a message; drop one that is too long, of an unknown sender or of this sidecar itself."""
        number = self._numbers.get(Address(source[0], source[1]))
        if number is not None and number != self._me and len(data) <= MAX_MESSAGE:
            self._receive(number, data)

    def error_received(self, error: Exception) -> None:
        """Ignore that a peer is not there: messages may be lost."""

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
