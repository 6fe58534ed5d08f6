"""The values and interfaces between the driver and the components that use sockets.

The driver uses no sockets itself. It reaches client connections through `Call`, connections to servers
through `Upstreams`, discovery through `DiscoveryClient` and other sidecars through `Gossip`. All methods are
called on the one event loop of the sidecar, and none of them blocks or awaits. Times and time spans are in
milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from brassfall.balancer.model import Outcome
from brassfall.sidecar.body import Body
from brassfall.sidecar.discovery.endpoint_list import ServerList


@dataclass(slots=True)
class Answer:
    """A server's answer for the client: the complete answer, or the first part of a streamed one."""

    headers: list[tuple[bytes, bytes]]
    body: bytes
    length: int | None = None  # Size of a streamed body in bytes; None if the server did not state it


@dataclass(slots=True)
class ExchangeResult:
    """The result of an attempt or a health check."""

    outcome: Outcome
    answer: Answer | None = None
    report: dict[str, float] | None = None  # Load report that the answer carried, by field name


class Call(Protocol):
    """A client's request, and the methods by which the driver answers it.

    The driver calls exactly one of `send_answer`, `send_rejection`, `send_failure` and `start_answer`. After
    `start_answer` it calls `continue_answer` any number of times, and then one of `finish_answer` and
    `abort_answer`.
    """

    request_class: int  # Slot of the request's class in the settings' profiles
    tenant: int
    key: int | None  # Idempotency key of the request as a number; None if it has none
    work: float | None
    client_retry: bool  # True if the client marked the request as a retry
    mutates: bool
    budget: float  # Milliseconds that the client waits for an answer, counted from the request's last byte
    body: Body | None  # Body of a large request, which is streamed; None for a small request

    @property
    def reading(self) -> bool:
        """True if the body of the request is still arriving."""

    @property
    def read_lag(self) -> float:
        """Longest time, in milliseconds, that the last byte of the request may have waited to be read.

        Reading a large body is paused while its server takes no more of it. The client may have written the
        rest meanwhile, and its budget counts from its last byte.
        """

    def client_left(self) -> bool:
        """Return whether the client has closed its connection, by a check of the socket.

        If it has, the driver's `client_disconnected` is called soon afterwards.
        """

    def request_bytes(self, left: float) -> bytes:
        """Return the bytes of the request for a server that has `left` milliseconds to answer."""

    def send_answer(self, answer: Answer) -> None:
        """Give the client a server's complete answer as the final answer."""

    def send_rejection(self, retry_after: float) -> None:
        """Give the client a rejection as the final answer; it may retry after `retry_after` milliseconds."""

    def send_failure(self, *, late: bool) -> None:
        """Give the client a failure as the final answer; `late` if the request's budget is used up."""

    def start_answer(self, answer: Answer, flow: FlowControl) -> None:
        """Start to stream a server's answer to the client, beginning with its first part."""

    def continue_answer(self, data: bytes) -> None:
        """Stream the next part of the answer to the client."""

    def finish_answer(self) -> None:
        """End the streamed answer, which is complete."""

    def abort_answer(self) -> None:
        """Break off the streamed answer, which can't be completed."""


class FlowControl(Protocol):
    """Control over reading from a server whose answer is streamed to a client."""

    def pause(self) -> None:
        """Stop reading from the server, because the client reads more slowly than the server sends."""

    def resume(self) -> None:
        """Read from the server again, because the client has taken all data so far."""


class ExchangeObserver(Protocol):
    """The receiver of the events of one exchange."""

    # Header line that names the configuration revision under which the server was selected; empty without
    # one.
    revision_header: bytes

    def may_write(self) -> bool:
        """Return whether the request should still be sent, just before it is written.

        If this returns False, the exchange has ended and reports nothing more.
        """

    def request_written(self) -> None:
        """Handle that the request has been written completely."""

    def answer_started(self, answer: Answer, flow: FlowControl) -> Callable[[bytes], None]:
        """Start to stream a large answer; return the function that takes the remaining parts of its body."""

    def exchange_ended(self, result: ExchangeResult) -> None:
        """Handle the result of the exchange; called once, or never if the exchange is abandoned before."""


class Exchange(Protocol):
    """An attempt or a health check that is in progress."""

    failed_locally: bool  # True if this machine can't open a connection, so that nothing was sent

    def abandon(self) -> None:
        """Stop the exchange in any state: its connection is closed and no result is reported."""

    def abandon_unless_written(self) -> bool:
        """Abandon the exchange unless its request has been written completely.

        Return True if the exchange was abandoned, which means that no server has the complete request.
        """


class Upstreams(Protocol):
    """The connections to servers."""

    def send(self, server: str, call: Call, expires: float, observer: ExchangeObserver) -> Exchange:
        """Start an attempt that expires at `expires`; its result comes in a later turn of the event loop."""

    def check_health(self, server: str, done: Callable[[ExchangeResult], None]) -> Exchange:
        """Start a health check.

        `done` is called once with the result, in a later turn of the event loop, unless the health check is
        abandoned before.
        """

    def update_servers(self, now: float, servers: ServerList, *, complete: bool) -> None:
        """Apply an endpoint list, which names all servers if `complete`, and otherwise the changed ones."""

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server."""


class DiscoveryClient(Protocol):
    """The client of the discovery service."""

    def watch(self, *, on: bool) -> None:
        """Start to watch the endpoint list for changes, or stop the watch."""

    def fetch(self) -> None:
        """Request the complete endpoint list once."""


class Gossip(Protocol):
    """The sender of messages to other sidecars."""

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a message to one peer, or to all peers if `peer` is None."""
