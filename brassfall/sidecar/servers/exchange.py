"""The exchange of a request and its answer with a server, for an attempt or a health check."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol

from brassfall.sidecar.body import Body
from brassfall.sidecar.core.interfaces import ExchangeObserver, ExchangeResult

ResultHandler = Callable[[ExchangeResult], None]


class ExchangeConnection(Protocol):
    """The part of a server connection that its exchange uses."""

    written: bool  # True if the operating system has taken the last byte of the request

    def reset(self) -> None:
        """Close the connection at once by a TCP reset, and drop bytes that are not sent yet."""


class ExchangeState(Enum):
    """The state of an exchange."""

    AWAITING_CONNECTION = auto()
    ON_CONNECTION = auto()
    ENDED = auto()  # The result was reported, or the exchange was abandoned and has no result


# Enum members as module names: looking a member up on the enum class costs more than a comparison.
AWAITING_CONNECTION, ON_CONNECTION, ENDED = ExchangeState


class Exchange:
    """One request to a server and its answer, for an attempt or a health check.

    The exchange first waits for a connection, then uses it, and then has ended. `message` returns the bytes
    of the request, given the milliseconds until `expires` (a time of the sidecar's clock, in milliseconds).
    `done` is called with the result. An attempt has an `observer`, a health check has none.
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
        done: ResultHandler,
        observer: ExchangeObserver | None = None,
        body: Body | None = None,
    ) -> None:
        self.message = message
        self.expires = expires
        self.observer = observer
        self.body = body  # Body of a large request, which is streamed; None otherwise
        self.revision_header = b"" if observer is None else observer.revision_header
        self.state = AWAITING_CONNECTION
        self.failed_locally = False  # True if this machine could not open the connection
        self._done = done
        self._connection: ExchangeConnection | None = None
        self._opening: asyncio.Task[None] | None = None

    @property
    def ended(self) -> bool:
        """True if the result was reported or the exchange was abandoned."""
        return self.state is ENDED

    def await_connection(self, task: asyncio.Task[None]) -> None:
        """Record the task that opens the connection for this exchange; `abandon` cancels that task."""
        self._opening = task

    def use_connection(self, connection: ExchangeConnection) -> None:
        """Record the connection that the request is written to."""
        self.state = ON_CONNECTION
        self._connection, self._opening = connection, None
        self.failed_locally = False

    def end(self, result: ExchangeResult) -> None:
        """End the exchange and report its result; do nothing if the exchange has ended before."""
        if self.state is not ENDED:
            self.state = ENDED
            self._connection = self._opening = None
            self._done(result)

    def withdraw(self) -> None:
        """End the exchange without a result; its connection is not touched."""
        self.state = ENDED
        self._connection = self._opening = None

    def abandon(self) -> None:
        """End the exchange without a result, and close its connection or cancel the opening of one."""
        if self.state is ENDED:
            return
        connection, opening = self._connection, self._opening
        self.withdraw()
        if opening is not None:
            opening.cancel()
        if connection is not None:
            connection.reset()

    def abandon_unless_written(self) -> bool:
        """Abandon the exchange unless its request has been written completely.

        Return whether the exchange was abandoned.

        A connection that is being opened for the exchange is not cancelled: the next exchange may use it.
        """
        connection = self._connection
        if self.state is ENDED or (connection is not None and connection.written):
            return False
        self.withdraw()
        if connection is not None:
            connection.reset()
        return True
