"""One attempt or health check at a server, from the wait for a connection to its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol

from brassfall.sidecar.body import Body
from brassfall.sidecar.core.interfaces import ExchangeObserver, ExchangeResult

Done = Callable[[ExchangeResult], None]


class Carrier(Protocol):
    """The connection that an exchange is on."""

    written: bool  # True if the system has taken the last byte of the request

    def reset(self) -> None:
        """Close at once; bytes that are not sent yet are dropped."""


class ExchangeState(Enum):
    """How far an exchange is."""

    AWAITING_CONNECTION = auto()
    ON_CONNECTION = auto()
    ENDED = auto()  # its outcome was reported, or it was abandoned and none will be


# The members as names of this module: a look-up on the enumeration costs more than a comparison.
AWAITING_CONNECTION, ON_CONNECTION, ENDED = ExchangeState


class Exchange:
    """One attempt or health check: it waits for a connection, then is on one, then has ended.

    `message` makes the request, given the milliseconds that are left until `expires` (milliseconds, by the
    sidecar's clock). `done` is called with the outcome. An attempt has a `observer`, a health check none.
    """

    __slots__ = (
        "_connection",
        "_done",
        "_opening",
        "body",
        "expires",
        "failed_locally",
        "message",
        "observer",
        "revision_header",
        "state",
    )

    def __init__(
        self,
        message: Callable[[float], bytes],
        expires: float,
        done: Done,
        observer: ExchangeObserver | None = None,
        body: Body | None = None,
    ) -> None:
        self.message = message
        self.expires = expires
        self.observer = observer
        self.body = body  # of a large request
        self.revision_header = b"" if observer is None else observer.revision_header
        self.state = AWAITING_CONNECTION
        self.failed_locally = False  # True if this machine could not open its connection
        self._done = done
        self._connection: Carrier | None = None
        self._opening: asyncio.Task[None] | None = None

    @property
    def ended(self) -> bool:
        """True if its outcome was reported, or it was abandoned."""
        return self.state is ENDED

    def await_connection(self, task: asyncio.Task[None]) -> None:
        """Wait for the connection that `task` opens; `abandon` cancels the task."""
        self._opening = task

    def use_connection(self, connection: Carrier) -> None:
        """Take note of the connection that the request is written to."""
        self.state = ON_CONNECTION
        self._connection, self._opening = connection, None
        self.failed_locally = False

    def end(self, result: ExchangeResult) -> None:
        """Report the outcome; without effect if the exchange has ended."""
        if self.state is not ENDED:
            self.state = ENDED
            self._connection = self._opening = None
            self._done(result)

    def withdraw(self) -> None:
        """End without an outcome, and leave the connection as it is."""
        self.state = ENDED
        self._connection = self._opening = None

    def abandon(self) -> None:
        """End without an outcome: its connection, or the opening of one, is stopped at once."""
        if self.state is ENDED:
            return
        connection, opening = self._connection, self._opening
        self.withdraw()
        if opening is not None:
            opening.cancel()
        if connection is not None:
            connection.reset()

    def abandon_unless_written(self) -> bool:
        """Abandon the exchange unless its request has been written completely; return whether it was.

        A connection that is being opened comes up all the same: the next exchange may use it.
        """
        connection = self._connection
        if self.state is ENDED or (connection is not None and connection.written):
            return False
        self.withdraw()
        if connection is not None:
            connection.reset()
        return True
