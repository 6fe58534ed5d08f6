"""The admin endpoint, where operators send one command on each connection and get a reply of one line."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from brassfall.sidecar import log
from brassfall.sidecar.clients.listener import Listener, listening_socket
from brassfall.sidecar.config import MAX_ADMIN_CONNECTIONS
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.core.process_state import InvalidTransitionError, ProcessLifecycle

MAX_LINE = 256  # Longest line of a command, in bytes
COMMAND_S = 5.0  # Time limit for receiving a complete command, in seconds
# Seconds after the reply until the connection is closed, so that a client that is still sending can read the
# reply.
LINGER_S = 0.5


class AdminEndpoint:
    """The listener for operators, with the commands that it executes."""

    def __init__(self, loop: asyncio.AbstractEventLoop, lifecycle: ProcessLifecycle) -> None:
        """Create an endpoint whose commands read and change `lifecycle`; `listen` opens it."""
        self.loop = loop
        self._lifecycle = lifecycle
        self._connections: dict[AdminConnection, None] = {}  # Open connections, oldest first
        self._listener: Listener | None = None
        self._commands: dict[str, Callable[[], str]] = {
            "PING": self._ping,
            "LAMEDUCK": self._drain,
            "REJOIN": self._rejoin,
        }

    def add_command(self, name: str, command: Callable[[], str], *, json: bool = False) -> None:
        """Add a command; its reply is `done` and the text that it returns, or with `json` that text alone."""
        self._commands[name] = command if json else lambda: f"done {command()}"

    def listen(self, address: Address) -> None:
        """Listen for commands on an address; raise `OSError` if that fails."""
        sock = listening_socket(address, MAX_ADMIN_CONNECTIONS * 4)
        # One connection is accepted at a time, because each may first have to evict another one for its
        # descriptor.
        self._listener = Listener(self.loop, sock, lambda: AdminConnection(self), capacity=lambda: 1)

    @property
    def address(self) -> Address | None:
        """The address that the endpoint listens on; None if it does not listen."""
        return None if self._listener is None else self._listener.address

    @property
    def connections(self) -> int:
        """The number of open connections to the admin endpoint."""
        return len(self._connections)

    def close(self) -> None:
        """Stop listening, and close all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections):
            connection.abort()

    def execute(self, line: bytes) -> str:
        """Execute one command and return the reply."""
        name = line.decode("ascii", "replace").strip()
        command = self._commands.get(name)
        if command is None:
            return "error no such call, but " + ", ".join(self._commands)
        try:
            return command()
        except InvalidTransitionError as error:
            return f"error {error}"

    def _ping(self) -> str:
        self._lifecycle.check_accepting()
        return f"done {self._lifecycle.state.value}"

    def _drain(self) -> str:
        self._lifecycle.drain()
        log.info("operator: LAMEDUCK", state=self._lifecycle.state.value)
        return f"done {self._lifecycle.state.value}"

    def _rejoin(self) -> str:
        self._lifecycle.rejoin()
        log.info("operator: REJOIN", state=self._lifecycle.state.value)
        return f"done {self._lifecycle.state.value}"

    def connection_opened(self, connection: AdminConnection) -> None:
        """Register a new connection; if the limit of connections is reached, evict the oldest one."""
        if len(self._connections) >= MAX_ADMIN_CONNECTIONS:
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.evict()
        self._connections[connection] = None

    def connection_closed(self, connection: AdminConnection) -> None:
        """Remove a closed connection."""
        self._connections.pop(connection, None)


class AdminConnection(asyncio.Protocol):
    """One connection to the admin endpoint."""

    def __init__(self, endpoint: AdminEndpoint) -> None:
        """Create a connection object before the event loop establishes the connection."""
        self._endpoint = endpoint
        self._transport: asyncio.Transport
        self._line = bytearray()
        self._answered = False
        self._close_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time limit for receiving a command. Called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._close_timer = self._endpoint.loop.call_later(COMMAND_S, self.reply, "error no call in time")
        self._endpoint.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Read a part of the command's line, and ignore later lines. Called by the event loop."""
        if self._answered:
            return
        self._line += data
        line, found, _ = self._line.partition(b"\n")
        if found and len(line) <= MAX_LINE:
            self.reply(self._endpoint.execute(bytes(line)))
        elif len(self._line) > MAX_LINE:
            self.reply("error the line is too long")

    def eof_received(self) -> bool:
        """Reject a command whose line is not terminated. Called by the event loop."""
        if not self._answered and self._line:
            self.reply("error the line has no end")
        return False  # This makes the transport close once the reply is written

    def connection_lost(self, _error: Exception | None) -> None:
        """Handle that the connection is closed. Called by the event loop."""
        self._answered = True
        if self._close_timer is not None:
            self._close_timer.cancel()
        self._endpoint.connection_closed(self)

    def reply(self, text: str) -> None:
        """Send the reply, and close the connection after `LINGER_S`; only the first call has an effect."""
        if self._answered:
            return
        self._answered = True
        self._transport.write(text.encode() + b"\n")
        with contextlib.suppress(OSError):  # Raised if the client has reset the connection
            self._transport.write_eof()
        if self._close_timer is not None:
            self._close_timer.cancel()
        self._close_timer = self._endpoint.loop.call_later(LINGER_S, self.abort)

    def evict(self) -> None:
        """Close the connection to make room for another one."""
        self.reply("error too many callers")
        self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()
