"""A listening socket whose accepting is bounded: by the batch, and by the descriptors there are."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import TypeVar

from brassfall.sidecar.config_values import Address

BACKLOG = 2048
# asyncio's own server accepts as many as the backlog in one turn, and stands still for a second
# where descriptors run out: both hold up all that is being served.
BATCH = 32
AGAIN_S = 0.02
# Where the owner has no room for more: what it closes for them is closed within a turn or two.
SOON_S = 0.002
NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# At the end the last connections are accepted for so long at most, where the system has no room for them.
FINISH_S = 3.0
# A start waits for so long for the system to have room for a socket.
START_S = 3.0

T = TypeVar("T")


class Accept(Enum):
    """What one call of `accept` came to."""

    CONNECTION = auto()
    NONE_WAITS = auto()
    BROKEN = auto()  # one that broke as it waited, or an interrupted call: others may wait behind it
    NO_ROOM = auto()  # for one more descriptor, at this moment


async def once_there_is_room(listen: Callable[[], Awaitable[T]]) -> T:
    """Begin to listen, again for up to `START_S` where the system has no room for a socket just then.

    Raises the last `OSError` after that, and every other one at once."""
    loop = asyncio.get_running_loop()
    until = loop.time() + START_S
    while True:
        try:
            return await listen()
        except OSError as error:
            if error.errno not in NO_ROOM or loop.time() >= until:
                raise
        await asyncio.sleep(AGAIN_S)


def bound(address: Address, backlog: int = BACKLOG) -> socket.socket:
    """A new socket that listens on an address."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def inherited(descriptor: int) -> socket.socket:
    """The socket that the platform holds and listens on; it is not bound, shut down or set up here."""
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        raise OSError(f"NODE_INHERITED_FD: {descriptor} is no socket ({error.strerror})") from error
    try:
        listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listens = 0
    if not listens or sock.type != socket.SOCK_STREAM:
        raise OSError(f"NODE_INHERITED_FD: {descriptor} is not listening")
    return sock


class Listener:
    """Accepts connections on a socket that listens already."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        made: Callable[[], asyncio.BaseProtocol],
        room: Callable[[], int] = lambda: BATCH,
        no_room: Callable[[], object] = lambda: None,
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._made = made
        self._room = room  # how many more its owner may hold
        self._no_room = no_room  # told that no descriptor is left
        self._begun: set[asyncio.Task[object]] = set()
        self._again: asyncio.TimerHandle | None = None
        self._lacked = False  # room for a descriptor, as it last tried
        self._finish_by: float | None = None  # by the loop's time, once `finish` was called
        sock.setblocking(False)
        loop.add_reader(sock.fileno(), self._accept)

    @property
    def address(self) -> Address:
        """Where it listens."""
        host, port = self._sock.getsockname()[:2]
        return Address(host, port)

    @property
    def open(self) -> bool:
        """Whether it still accepts."""
        return self._sock.fileno() >= 0

    @property
    def settling(self) -> int:
        """How many connections were accepted of which its owner may not know yet."""
        return len(self._begun)

    def close(self) -> None:
        """Accept no more. An inherited socket stays open in the processes that share it."""
        if self.open:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()
        if self._again is not None:
            self._again.cancel()

    def finish(self) -> None:
        """Accept what waits, and then no more. Guards against a reset of connections that clients
        hold for open, and have sent on, and that only the system has accepted.

        Returns after the first look. Where accepting fails, or the owner may hold no more, it goes on by
        itself, `finishing` meanwhile, and closes once nothing waits or `FINISH_S` is over."""
        if self.open and not self.finishing:
            self._finish_by = self._loop.time() + FINISH_S
            self._loop.remove_reader(self._sock.fileno())
            self._accept_rest()

    @property
    def finishing(self) -> bool:
        """Whether it still accepts what waited as `finish` was called."""
        return self._finish_by is not None and self.open

    def _accept_rest(self) -> None:
        assert self._finish_by is not None
        failed = 0
        while self._left > 0 and failed < BATCH:
            outcome = self._take()
            if outcome is Accept.NONE_WAITS:
                self.close()
                return
            if outcome is Accept.NO_ROOM:
                self._lacks_room()
                break
            failed += outcome is Accept.BROKEN
        if self._loop.time() >= self._finish_by:
            self.close()
        else:
            self._pause(SOON_S, self._accept_rest)

    @property
    def _left(self) -> int:
        """How many may be accepted: those that the owner does not know yet count, too."""
        return self._room() - len(self._begun)

    def _accept(self) -> None:
        left = self._left
        for taken in range(min(BATCH, left)):
            outcome = self._take()
            if outcome is Accept.NONE_WAITS:
                return
            if outcome is Accept.NO_ROOM:
                # The system says so before it looks whether one more waits: only the first surely does.
                if not taken:
                    self._rest(AGAIN_S)
                    self._lacks_room()
                return
        if left <= 0 and not self._begun:
            self._rest(SOON_S)

    def _lacks_room(self) -> None:
        """The owner makes room where there is none for a second time: what was short for a moment only
        closes nobody's connection."""
        if self._lacked:
            self._no_room()
        self._lacked = True

    def _take(self) -> Accept:
        """Accept one connection, if one waits and there is a descriptor for it."""
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            return Accept.NONE_WAITS
        except OSError as error:
            return Accept.NO_ROOM if error.errno in NO_ROOM else Accept.BROKEN
        self._lacked = False
        sock.setblocking(False)
        # asyncio does so only where the listening socket was made with a protocol's number.
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = self._loop.create_task(self._loop.connect_accepted_socket(self._made, sock))
        self._begun.add(task)
        task.add_done_callback(self._done)
        return Accept.CONNECTION

    def _rest(self, pause: float) -> None:
        self._loop.remove_reader(self._sock.fileno())
        self._pause(pause, self._resume)

    def _pause(self, pause: float, then: Callable[[], None]) -> None:
        if self._again is not None:
            self._again.cancel()
        self._again = self._loop.call_later(pause, then)

    def _done(self, task: asyncio.Task[object]) -> None:
        self._begun.discard(task)
        if not task.cancelled():
            task.exception()  # looked at: a connection that broke at once is no fault

    def _resume(self) -> None:
        if self.open:
            self._loop.add_reader(self._sock.fileno(), self._accept)
