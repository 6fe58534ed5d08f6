"""A listening socket that accepts a bounded number of connections in a turn of the loop, and in all."""

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
# asyncio's own server accepts as many as the backlog in one turn, and pauses for a second where descriptors
# run out: both would delay the requests on all connections.
BATCH = 32
EXHAUSTED_PAUSE_S = 0.02
CAPACITY_PAUSE_S = 0.002  # without capacity; evicted connections are closed within a turn or two
# No descriptor or no memory for one more socket, in this process or in the system.
EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
FINISH_S = 3.0  # for the last connections to be accepted, where there is no capacity for them
START_S = 3.0  # for the system to have a descriptor for a listening socket

T = TypeVar("T")


class AcceptOutcome(Enum):
    """The outcome of one call of `accept`."""

    CONNECTION = auto()
    NONE_WAITS = auto()
    BROKEN = auto()  # a connection that broke as it waited, or an interrupted call: others may wait
    EXHAUSTED = auto()  # no descriptor for one more connection, at this moment


async def retry_until_descriptor_free(listen: Callable[[], Awaitable[T]]) -> T:
    """Call `listen` until the system has a descriptor for a socket, for up to `START_S`; return its result.

    Raises the last `OSError` after that time, and any other error at once. Cancelling ends the wait.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + START_S
    while True:
        try:
            return await listen()
        except OSError as error:
            if error.errno not in EXHAUSTED or loop.time() >= until:
                raise
        await asyncio.sleep(EXHAUSTED_PAUSE_S)


def listening_socket(address: Address, backlog: int = BACKLOG) -> socket.socket:
    """Return a new socket that listens on an address; raises `OSError` if the address can't be had."""
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


def inherited_socket(descriptor: int) -> socket.socket:
    """Return the listening socket that the platform has opened, without changing its options.

    Raises `OSError` if the descriptor is not a listening socket.
    """
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        message = f"NODE_INHERITED_FD: {descriptor} is no socket ({error.strerror})"
        raise OSError(message) from error
    try:
        listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listens = 0
    if not listens or sock.type != socket.SOCK_STREAM:
        message = f"NODE_INHERITED_FD: {descriptor} is not listening"
        raise OSError(message)
    return sock


class Listener:
    """A listening socket and the accepting of connections on it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        *,
        capacity: Callable[[], int] = lambda: BATCH,
        on_exhausted: Callable[[], object] = lambda: None,
    ) -> None:
        """Accept connections on `sock`, and give each a protocol from `protocol_factory`.

        `capacity` returns how many more connections the owner may have; those that are opening count in
        addition. `on_exhausted` is called where no descriptor is left, and may close connections.
        """
        self._loop = loop
        self._sock = sock
        self._protocol_factory = protocol_factory
        self._capacity = capacity
        self._on_exhausted = on_exhausted
        self._opening: set[asyncio.Task[object]] = set()  # that create the transports; the loop keeps none
        self._pause_timer: asyncio.TimerHandle | None = None
        self._was_exhausted = False  # at the last call of `accept`
        self._finish_by: float | None = None  # by the loop's time, once `finish` was called
        sock.setblocking(False)  # noqa: FBT003 - the standard library takes it so
        loop.add_reader(sock.fileno(), self._accept_batch)

    @property
    def address(self) -> Address:
        """The address that the socket listens on."""
        host, port = self._sock.getsockname()[:2]
        return Address(host, port)

    @property
    def open(self) -> bool:
        """True if the socket is open."""
        return self._sock.fileno() >= 0

    @property
    def opening(self) -> int:
        """The number of accepted connections that may not have called `connection_made` yet."""
        return len(self._opening)

    def close(self) -> None:
        """Close the socket. An inherited one stays open in the processes that share it."""
        if self.open:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()
        if self._pause_timer is not None:
            self._pause_timer.cancel()

    def finish(self) -> None:
        """Accept the connections that the system has completed, and then close.

        A close at once would reset connections on which clients may have sent requests. Returns after the
        first try. Where accepting fails, or the owner has no capacity, accepting goes on in the background,
        with `finishing` True, until no connection waits or `FINISH_S` is over.
        """
        if self.open and not self.finishing:
            self._finish_by = self._loop.time() + FINISH_S
            self._loop.remove_reader(self._sock.fileno())
            self._accept_rest()

    @property
    def finishing(self) -> bool:
        """True if connections are still being accepted after `finish`."""
        return self._finish_by is not None and self.open

    def pause(self, pause_s: float) -> None:
        """Accept nothing for this time, or until `resume`."""
        self._loop.remove_reader(self._sock.fileno())
        self._call_after(pause_s, self.resume)

    def resume(self) -> None:
        """Accept again, unless `finish` was called."""
        if self.open and self._finish_by is None:
            self._loop.add_reader(self._sock.fileno(), self._accept_batch)

    def _accept_rest(self) -> None:
        assert self._finish_by is not None
        failed = 0
        while self._remaining > 0 and failed < BATCH:
            outcome = self._accept()
            if outcome is AcceptOutcome.NONE_WAITS:
                self.close()
                return
            if outcome is AcceptOutcome.EXHAUSTED:
                self._note_exhausted()
                break
            failed += outcome is AcceptOutcome.BROKEN
        if self._loop.time() >= self._finish_by:
            self.close()
        else:
            self._call_after(CAPACITY_PAUSE_S, self._accept_rest)

    @property
    def _remaining(self) -> int:
        """The number of connections that may be accepted now."""
        return self._capacity() - len(self._opening)

    def _accept_batch(self) -> None:
        remaining = self._remaining
        for tried in range(min(BATCH, remaining)):
            outcome = self._accept()
            if outcome is AcceptOutcome.NONE_WAITS:
                return
            if outcome is AcceptOutcome.EXHAUSTED:
                # The system reports this before it checks for a waiting connection: only on the first try
                # one waits for certain.
                if not tried:
                    self.pause(EXHAUSTED_PAUSE_S)
                    self._note_exhausted()
                return
        if remaining <= 0 and not self._opening:
            self.pause(CAPACITY_PAUSE_S)

    def _note_exhausted(self) -> None:
        """Call `on_exhausted` on the second failure in a row: a short lack is to close no connection."""
        if self._was_exhausted:
            self._on_exhausted()
        self._was_exhausted = True

    def _accept(self) -> AcceptOutcome:
        """Try to accept one connection, and return the outcome."""
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            return AcceptOutcome.NONE_WAITS
        except OSError as error:
            return AcceptOutcome.EXHAUSTED if error.errno in EXHAUSTED else AcceptOutcome.BROKEN
        self._was_exhausted = False
        sock.setblocking(False)  # noqa: FBT003 - the standard library takes it so
        # asyncio does so only where the listening socket was created with a protocol number.
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opening = self._loop.connect_accepted_socket(self._protocol_factory, sock)
        task = self._loop.create_task(opening)
        self._opening.add(task)
        task.add_done_callback(self._opened)
        return AcceptOutcome.CONNECTION

    def _call_after(self, pause_s: float, then: Callable[[], None]) -> None:
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        self._pause_timer = self._loop.call_later(pause_s, then)

    def _opened(self, task: asyncio.Task[object]) -> None:
        self._opening.discard(task)
        if not task.cancelled():
            task.exception()  # retrieved, or asyncio would log it: the connection broke at once
