"""The admin endpoint: one command on a connection, one line in reply."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from brassfall.sidecar import log
from brassfall.sidecar.clients.listener import Listener, listening_socket
from brassfall.sidecar.config import MAX_ADMIN_CONNECTIONS
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.core.process_state import InvalidTransitionError, ProcessLifecycle

MAX_LINE = 256  # bytes
COMMAND_S = 5.0  # for a complete command
LINGER_S = 0.5  # for a client to read its reply while it is still sending


class AdminEndpoint:
    """The address for operators, and the commands that it accepts."""

    def __init__(self, loop: asyncio.AbstractEventLoop, lifecycle: ProcessLifecycle) -> None:
        """Serve the commands that change `lifecycle`, once `listen` was called."""
        self.loop = loop
        self._lifecycle = lifecycle
        self._connections: dict[AdminConnection, None] = {}  # oldest first
        self._listener: Listener | None = None
        self._commands: dict[str, Callable[[], str]] = {
            "PING": self._ping,
            "LAMEDUCK": self._drain,
            "REJOIN": self._rejoin,
        }

    def add_command(self, name: str, command: Callable[[], str], *, json: bool = False) -> None:
        """Add a command that returns the text behind `done`, or with `json` the whole reply."""
        self._commands[name] = command if json else lambda: f"done {command()}"

    def listen(self, address: Address) -> None:
        """Accept commands from now on; raises `OSError` if the address can't be had."""
        sock = listening_socket(address, MAX_ADMIN_CONNECTIONS * 4)
        # One connection at a time: it may have to evict another one, to have its descriptor.
        self._listener = Listener(self.loop, sock, lambda: AdminConnection(self), capacity=lambda: 1)

    @property
    def address(self) -> Address | None:
        """The address that it listens on; None if there is none."""
        return None if self._listener is None else self._listener.address

    @property
    def connections(self) -> int:
        """The number of open connections."""
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

    def opened(self, connection: AdminConnection) -> None:
        """Take in a new connection; at the limit, the oldest one is evicted."""
        if len(self._connections) >= MAX_ADMIN_CONNECTIONS:
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.evict()
        self._connections[connection] = None

    def closed(self, connection: AdminConnection) -> None:
        """Take out a connection that is gone."""
        self._connections.pop(connection, None)


class AdminConnection(asyncio.Protocol):
    """One connection to the admin endpoint."""

    def __init__(self, endpoint: AdminEndpoint) -> None:
        """Create a connection that is not up yet."""
        self._endpoint = endpoint
        self._transport: asyncio.Transport
        self._line = bytearray()
        self._answered = False
        self._limit: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time limit for a command. Called by the loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._limit = self._endpoint.loop.call_later(COMMAND_S, self.reply, "error no call in time")
        self._endpoint.opened(self)

    def data_received(self, data: bytes) -> None:
        """Read a part of the command's line; later lines are ignored. Called by the loop."""
        if self._answered:
            return
        self._line += data
        line, found, _ = self._line.partition(b"\n")
        if found and len(line) <= MAX_LINE:
            self.reply(self._endpoint.execute(bytes(line)))
        elif len(self._line) > MAX_LINE:
            self.reply("error the line is too long")

    def eof_received(self) -> bool:
        """Reject a command without the end of its line. Called by the loop."""
        if not self._answered and self._line:
            self.reply("error the line has no end")
        return False  # the transport closes once the reply is written

    def connection_lost(self, _error: Exception | None) -> None:
        """Release the connection. Called by the loop."""
        self._answered = True
        if self._limit is not None:
            self._limit.cancel()
        self._endpoint.closed(self)

    def reply(self, text: str) -> None:
        """Write the reply, and end the connection after a time to read it; only the first call counts."""
        if self._answered:
            return
        self._answered = True
        self._transport.write(text.encode() + b"\n")
        with contextlib.suppress(OSError):  # the client has reset the connection
            self._transport.write_eof()
        if self._limit is not None:
            self._limit.cancel()
        self._limit = self._endpoint.loop.call_later(LINGER_S, self.abort)

    def evict(self) -> None:
        """Close the connection to make room for another one."""
        self.reply("error too many callers")
        self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()
