"""Listening socket that accepts a bounded number of connections, in each turn of the loop and in total."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import TypeVar

from brassfall.sidecar.config_values import Address

BACKLOG = 2048  # length of the system's queue of connections that wait to be accepted
# Number of connections accepted in one turn of the event loop. asyncio's own server would accept as many as
# the backlog in one turn, and pause for a second if descriptors run out. Both would delay the requests on all
# connections.
MAX_ACCEPTS_PER_TURN = 32
EXHAUSTED_PAUSE_S = 0.02  # pause before the next try when no descriptor is free, in seconds
# Pause in accepting when the owner has no capacity for a connection, in seconds. Evicted connections are
# closed within one or two turns of the loop, and capacity is free again then.
CAPACITY_PAUSE_S = 0.002
# Error numbers that mean that this process or the system has no descriptor or memory for one more socket.
EXHAUSTED_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
BACKLOG_TIMEOUT_S = 3.0  # time limit for accepting the backlog before the listening socket closes, in seconds
LISTEN_RETRY_S = 3.0  # time for which opening a listening socket is tried again, in seconds

T = TypeVar("T")


class AcceptOutcome(Enum):
    """Outcome of one call of `accept`."""

    ACCEPTED = auto()  # a connection was accepted
    BACKLOG_EMPTY = auto()  # no connection waits to be accepted
    FAILED = auto()  # the connection broke while it waited, or the call was interrupted; others may wait
    EXHAUSTED = auto()  # no descriptor is free for one more connection at this moment


async def retry_until_descriptor_free(listen: Callable[[], Awaitable[T]]) -> T:
    """Call `listen` again while no descriptor is free, for at most `LISTEN_RETRY_S`; return its result.

    Raises the last `OSError` after that time, and any other error at once. Cancelling ends the wait.
    """
    loop = asyncio.get_running_loop()
    retry_until = loop.time() + LISTEN_RETRY_S
    while True:
        try:
            return await listen()
        except OSError as error:
            if error.errno not in EXHAUSTED_ERRORS or loop.time() >= retry_until:
                raise
        await asyncio.sleep(EXHAUSTED_PAUSE_S)


def listening_socket(address: Address, backlog: int = BACKLOG) -> socket.socket:
    """Return a new socket that listens on `address`; raises `OSError` if the address is not available."""
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
    """Return the listening socket that the platform opened before the start, without changing its options.

    Raises `OSError` if `descriptor` is not a listening stream socket.
    """
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        message = f"NODE_INHERITED_FD: descriptor {descriptor} is not a socket ({error.strerror})"
        raise OSError(message) from error
    try:
        listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listens = 0
    if not listens or sock.type != socket.SOCK_STREAM:
        message = f"NODE_INHERITED_FD: descriptor {descriptor} is not a listening stream socket"
        raise OSError(message)
    return sock


class Listener:
    """Listening socket that accepts connections and gives each of them a protocol."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        *,
        capacity: Callable[[], int] = lambda: MAX_ACCEPTS_PER_TURN,
        on_exhausted: Callable[[], object] = lambda: None,
    ) -> None:
        """Accept connections on `sock`, and give each a protocol from `protocol_factory`.

        `capacity` returns how many more connections the owner may have; it does not count the connections
        whose transports are still being created. `on_exhausted` is called when no descriptor is free, and may
        close connections.
        """
        self._loop = loop
        self._sock = sock
        self._protocol_factory = protocol_factory
        self._capacity = capacity
        self._on_exhausted = on_exhausted
        # Tasks that create the transports of accepted connections. They are kept here because the event loop
        # does not keep its tasks alive.
        self._opening_tasks: set[asyncio.Task[object]] = set()
        self._pause_timer: asyncio.TimerHandle | None = None
        self._was_exhausted = False  # True if the last `accept` call failed because no descriptor was free
        self._backlog_deadline: float | None = None  # end of `accept_backlog_and_close`, in the loop's time
        sock.setblocking(False)  # noqa: FBT003 - the standard library takes this argument by position
        loop.add_reader(sock.fileno(), self._accept_batch)

    @property
    def address(self) -> Address:
        """Address that the socket listens on."""
        host, port = self._sock.getsockname()[:2]
        return Address(host, port)

    @property
    def is_open(self) -> bool:
        """True if the listening socket is open."""
        return self._sock.fileno() >= 0

    @property
    def opening_count(self) -> int:
        """Number of accepted connections whose `connection_made` may not have been called yet."""
        return len(self._opening_tasks)

    def close(self) -> None:
        """Close the listening socket. An inherited socket stays open in the processes that share it."""
        if self.is_open:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()
        if self._pause_timer is not None:
            self._pause_timer.cancel()

    def accept_backlog_and_close(self) -> None:
        """Accept the connections that wait in the backlog, and close the listening socket after them.

        Closing at once would reset connections on which clients may already have sent requests. This method
        returns after the first try. If accepting fails, or the owner has no capacity, accepting continues in
        the background, with `accepting_backlog` True, until no connection waits or `BACKLOG_TIMEOUT_S` is
        over.
        """
        if self.is_open and not self.accepting_backlog:
            self._backlog_deadline = self._loop.time() + BACKLOG_TIMEOUT_S
            self._loop.remove_reader(self._sock.fileno())
            self._accept_backlog()

    @property
    def accepting_backlog(self) -> bool:
        """True if connections are still being accepted after `accept_backlog_and_close`."""
        return self._backlog_deadline is not None and self.is_open

    def pause(self, pause_s: float) -> None:
        """Accept no connection for `pause_s` seconds, or until `resume` is called."""
        self._loop.remove_reader(self._sock.fileno())
        self._schedule(pause_s, self.resume)

    def resume(self) -> None:
        """Accept connections again, unless `accept_backlog_and_close` was called."""
        if self.is_open and self._backlog_deadline is None:
            self._loop.add_reader(self._sock.fileno(), self._accept_batch)

    def _accept_backlog(self) -> None:
        assert self._backlog_deadline is not None
        failed = 0
        while self._free_capacity > 0 and failed < MAX_ACCEPTS_PER_TURN:
            outcome = self._accept()
            if outcome is AcceptOutcome.BACKLOG_EMPTY:
                self.close()
                return
            if outcome is AcceptOutcome.EXHAUSTED:
                self._handle_exhaustion()
                break
            failed += outcome is AcceptOutcome.FAILED
        if self._loop.time() >= self._backlog_deadline:
            self.close()
        else:
            self._schedule(CAPACITY_PAUSE_S, self._accept_backlog)

    @property
    def _free_capacity(self) -> int:
        """Number of connections that may be accepted now."""
        return self._capacity() - len(self._opening_tasks)

    def _accept_batch(self) -> None:
        free_capacity = self._free_capacity
        for earlier_tries in range(min(MAX_ACCEPTS_PER_TURN, free_capacity)):
            outcome = self._accept()
            if outcome is AcceptOutcome.BACKLOG_EMPTY:
                return
            if outcome is AcceptOutcome.EXHAUSTED:
                # The system reports a lack of descriptors before it checks whether a connection waits. Only
                # on the first try is it certain that one waits, because the socket was readable.
                if not earlier_tries:
                    self.pause(EXHAUSTED_PAUSE_S)
                    self._handle_exhaustion()
                return
        if free_capacity <= 0 and not self._opening_tasks:
            self.pause(CAPACITY_PAUSE_S)

    def _handle_exhaustion(self) -> None:
        """Call `on_exhausted` if this is the second failure in a row.

        A lack of descriptors that lasts for one try only does not close any connection.
        """
        if self._was_exhausted:
            self._on_exhausted()
        self._was_exhausted = True

    def _accept(self) -> AcceptOutcome:
        """Try to accept one connection, and return the outcome."""
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            return AcceptOutcome.BACKLOG_EMPTY
        except OSError as error:
            return AcceptOutcome.EXHAUSTED if error.errno in EXHAUSTED_ERRORS else AcceptOutcome.FAILED
        self._was_exhausted = False
        sock.setblocking(False)  # noqa: FBT003 - the standard library takes this argument by position
        # asyncio sets TCP_NODELAY only if the listening socket was created with a protocol number.
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opening = self._loop.connect_accepted_socket(self._protocol_factory, sock)
        task = self._loop.create_task(opening)
        self._opening_tasks.add(task)
        task.add_done_callback(self._connection_opened)
        return AcceptOutcome.ACCEPTED

    def _schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay_s` seconds, in place of the call scheduled before."""
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        self._pause_timer = self._loop.call_later(delay_s, callback)

    def _connection_opened(self, task: asyncio.Task[object]) -> None:
        self._opening_tasks.discard(task)
        if not task.cancelled():
            # The task of a connection that broke at once has an exception, which asyncio logs if nothing
            # retrieves it.
            task.exception()
