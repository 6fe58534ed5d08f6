"""The operators' door: one line to a connection, one line in answer. It decides nothing itself."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from brassfall.sidecar.config import DOOR_CALLERS
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.console import log
from brassfall.sidecar.lifecycle import Impossible, Lifecycle
from brassfall.sidecar.listener import Listener, bound

LINE_MOST = 256
# Callers that finish no call are there for seconds; they take one of few places meanwhile.
PATIENCE_S = 5.0
LINGER_S = 0.5  # for a caller to read its answer while it is still sending


class Door:
    """The second address, and the calls that it knows."""

    def __init__(self, loop: asyncio.AbstractEventLoop, life: Lifecycle) -> None:
        self.loop = loop
        self._life = life
        self._callers: dict[Caller, None] = {}  # oldest first
        self._listener: Listener | None = None
        self._calls: dict[str, Callable[[], str | None]] = {
            "PING": self._ping,
            "LAMEDUCK": life.drain,
            "REJOIN": life.rejoin,
        }

    def add(self, name: str, call: Callable[[], str]) -> None:
        """One more call, which answers for itself."""
        self._calls[name] = call

    def listen(self, address: Address) -> None:
        """Take calls from now on."""
        sock = bound(address, DOOR_CALLERS * 4)
        # One at a time: each may have to make another go, whose descriptor it takes.
        self._listener = Listener(self.loop, sock, lambda: Caller(self), lambda: 1)

    @property
    def address(self) -> Address | None:
        """Where it listens, if it does."""
        return None if self._listener is None else self._listener.address

    def close(self) -> None:
        """Take no more calls."""
        if self._listener is not None:
            self._listener.close()
        for caller in list(self._callers):
            caller.end()

    def answer(self, line: bytes) -> str:
        """Carry out one call."""
        name = line.decode("ascii", "replace").strip()
        call = self._calls.get(name)
        if call is None:
            return "error no such call, but " + ", ".join(self._calls)
        try:
            said = call()
        except Impossible as error:
            return f"error {error}"
        if said is not None:
            return said if said.startswith("{") else f"done {said}"  # JSON stands alone
        if name != "PING":
            log(f"operator: {name}, now {self._life.state.value}")
        return f"done {self._life.state.value}"

    def came(self, caller: Caller) -> None:
        """A new caller; the one that has been there for longest makes room."""
        if len(self._callers) >= DOOR_CALLERS:
            oldest = next(iter(self._callers))
            del self._callers[oldest]
            oldest.make_room()
        self._callers[caller] = None

    def left(self, caller: Caller) -> None:
        """A caller is gone."""
        self._callers.pop(caller, None)

    def _ping(self) -> None:
        if not self._life.taking:
            raise Impossible(f"the process is {self._life.state.value}")


class Caller(asyncio.Protocol):
    """One connection to the door."""

    def __init__(self, door: Door) -> None:
        self._door = door
        self._transport: asyncio.Transport
        self._line = bytearray()
        self._answered = False
        self._limit: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Somebody calls."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._limit = self._door.loop.call_later(PATIENCE_S, self.reply, "error no call in time")
        self._door.came(self)

    def data_received(self, data: bytes) -> None:
        """A part of the line; what comes after it is not read."""
        if self._answered:
            return
        self._line += data
        line, found, _ = self._line.partition(b"\n")
        if found and len(line) <= LINE_MOST:
            self.reply(self._door.answer(bytes(line)))
        elif len(self._line) > LINE_MOST:
            self.reply("error the line is too long")

    def eof_received(self) -> bool:
        """The caller has ended its sending: half a line is no call."""
        if not self._answered and self._line:
            self.reply("error the line has no end")
        return False  # closes, once what was answered is written out

    def connection_lost(self, error: Exception | None) -> None:
        """The caller is gone."""
        self._answered = True
        if self._limit is not None:
            self._limit.cancel()
        self._door.left(self)

    def reply(self, text: str) -> None:
        """The one answer, and the end of the connection once it can have been read."""
        if self._answered:
            return
        self._answered = True
        self._transport.write(text.encode() + b"\n")
        if self._transport.can_write_eof():
            self._transport.write_eof()
        if self._limit is not None:
            self._limit.cancel()
        self._limit = self._door.loop.call_later(LINGER_S, self.end)

    def make_room(self) -> None:
        """Go, for a newer caller."""
        self.reply("error too many callers")
        self._transport.close()

    def end(self) -> None:
        """Close whatever it holds."""
        self._transport.abort()
