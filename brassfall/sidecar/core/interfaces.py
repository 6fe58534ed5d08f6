"""What passes between the driver and what carries requests, lists and messages: typed values and interfaces.

The driver knows no sockets: client connections stand behind `Call`, connections to servers behind
`Upstreams`, discovery behind `DiscoveryClient` and other sidecars behind `Gossip`. All is called on one event
loop; nothing here blocks or awaits. Times and spans are in milliseconds.
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
    """A server's answer for the client: complete, or the beginning of a large one."""

    headers: list[tuple[bytes, bytes]]
    body: bytes
    length: int | None = None  # of a large body, where the server stated it


@dataclass(slots=True)
class ExchangeResult:
    """How an attempt or a health check ended."""

    outcome: Outcome
    answer: Answer | None = None
    report: dict[str, float] | None = None  # the load report in the answer


class Call(Protocol):
    """A request as the application sent it, and the way of its answer.

    Exactly one of `send_answer`, `send_rejection`, `send_failure` and `start_answer` is called; after
    `start_answer` come any number of `continue_answer` and then one of `finish_answer` and `abort_answer`.
    """

    request_class: int  # its slot in the settings' profiles
    tenant: int
    key: int | None  # its idempotency key, as a number
    work: float | None
    client_retry: bool  # True if the client marked it as a retry
    mutates: bool
    budget: float  # how long its client waits for an answer, from its last byte
    body: Body | None  # of a large request

    @property
    def reading(self) -> bool:
        """True if its body is still arriving."""

    def client_left(self) -> bool:
        """Return whether its client has closed its connection, by a check of the socket.

        The driver's `client_disconnected` follows soon if it has.
        """

    def request_bytes(self, left: float) -> bytes:
        """Return the request's bytes for a server that has `left` to answer."""

    def send_answer(self, answer: Answer) -> None:
        """Give the final answer: a server's."""

    def send_rejection(self, retry_after: float) -> None:
        """Give the final answer: rejected; a retry after `retry_after` does no harm."""

    def send_failure(self, *, late: bool) -> None:
        """Give the final answer: failed, `late` if its budget is used up."""

    def start_answer(self, answer: Answer, flow: FlowControl) -> None:
        """Begin the final answer: the first part of a server's."""

    def continue_answer(self, data: bytes) -> None:
        """Pass on the next part of the answer."""

    def finish_answer(self) -> None:
        """End the answer: it is complete."""

    def abort_answer(self) -> None:
        """Break the answer off: it can't be completed."""


class FlowControl(Protocol):
    """The server's side of an answer that is passed on while it arrives."""

    def pause(self) -> None:
        """Stop reading: the client is slower than the server."""

    def resume(self) -> None:
        """Continue reading: the client has taken all that was read."""


class ExchangeObserver(Protocol):
    """Follows an exchange."""

    revision_header: bytes  # header line of the revision under which the server was selected; empty: none

    def may_write(self) -> bool:
        """Return whether the request, which can be written now, is still wanted.

        If not, the exchange has ended and nothing more of it is reported.
        """

    def request_written(self) -> None:
        """Take note that the request has been written completely."""

    def answer_started(self, answer: Answer, flow: FlowControl) -> Callable[[bytes], None]:
        """Begin to pass a large answer on; return what takes the rest of it."""

    def exchange_ended(self, result: ExchangeResult) -> None:
        """Take the outcome: called once, unless the exchange was abandoned first."""


class Exchange(Protocol):
    """One attempt or health check under way."""

    failed_locally: bool  # True if this machine can't open a connection: nothing was sent

    def abandon(self) -> None:
        """Stop at any point: its connection is closed, and no outcome is reported."""

    def abandon_unless_written(self) -> bool:
        """Abandon the exchange unless its request has been written completely.

        Return True if it was abandoned: then no server has the request.
        """


class Upstreams(Protocol):
    """The connections to servers."""

    def send(self, server: str, call: Call, expires: float, observer: ExchangeObserver) -> Exchange:
        """Begin an attempt that may take until `expires`; its outcome is reported in a later turn."""

    def check_health(self, server: str, done: Callable[[ExchangeResult], None]) -> Exchange:
        """Begin a health check; `done` is called once, later, unless it is abandoned first."""

    def update_servers(self, now: float, servers: ServerList, *, complete: bool) -> None:
        """Take in an endpoint list; a `complete` one names all servers that there are."""

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server."""


class DiscoveryClient(Protocol):
    """Discovery."""

    def watch(self, *, on: bool) -> None:
        """Ask for changes from now on, or stop."""

    def fetch(self) -> None:
        """Ask for the complete list once."""


class Gossip(Protocol):
    """The way to other sidecars."""

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a message to one peer, or to all if `peer` is None."""
