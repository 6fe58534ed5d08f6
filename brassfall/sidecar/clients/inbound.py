"""The client side: accepts connections, bounds their number, and serves the requests on them."""

from __future__ import annotations

import asyncio

from brassfall.sidecar import framing
from brassfall.sidecar.body import Budget
from brassfall.sidecar.clients.client_connection import ClientConnection
from brassfall.sidecar.clients.client_request import ClientRequest, RequestHandler
from brassfall.sidecar.clients.connection_limits import RESERVED, ConnectionLimits, eviction_candidates
from brassfall.sidecar.clients.connection_state import ConnectionState
from brassfall.sidecar.clients.known_classes import KnownClasses
from brassfall.sidecar.clients.listener import Listener, inherited_socket, listening_socket
from brassfall.sidecar.clients.request_message import BadRequestError, RequestMessage
from brassfall.sidecar.config import Config
from brassfall.sidecar.config_values import Address, Names
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.process_state import Lifecycle

READY_PATH = b"/health/ready"
MEMORY_SHARE = 0.25  # of all memory, for the bytes of messages
QUIET_MS = 1000.0  # longer than any pause between the pieces of a request that is being sent
LOOK_PAUSE_MS = 20.0  # between two searches for a connection to evict, after one without success
# In lame duck clients open connections for 0.3 s more, and 4 s after the command none may be idle.
LAME_DUCK_DELAY_S = 1.0
LAME_DUCK_SWEEP_S = 0.1
NOT_FORWARDED = frozenset((b"x-budget",))
REVISION_HEADERS = frozenset((b"x-edition",))  # set by the sidecar alone, where it follows revisions


class Inbound:
    """The listening socket and the connections of clients."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        config: Config,
        handler: RequestHandler,
        lifecycle: Lifecycle,
    ) -> None:
        """Give the requests of clients to `handler`, once `listen` was called."""
        self.loop = loop
        self.clock = clock
        self.handler = handler
        self.budget = Budget(0)
        self.classes = KnownClasses(loop, config.names)
        self.listener: Listener | None = None
        self._listens_alone = True  # no other process shares the listening socket
        self._lifecycle = lifecycle
        lifecycle.on_change(self._state_changed)
        self._sweep: asyncio.TimerHandle | None = None
        self._not_forwarded = (
            NOT_FORWARDED | REVISION_HEADERS if config.agreement is not None else NOT_FORWARDED
        )
        self._connections: dict[ClientConnection, None] = {}  # up and not lost, in the order of accept
        self.open_connections = 0  # how many of them are not evicted
        self._search_from = 0.0  # for a connection to evict, below the limit
        self._close_after_answers = False
        self._machine_limits = config.limits
        self.limits: ConnectionLimits
        self.set_machine_share(1.0)

    def listen(self, address: Address, descriptor: int | None = None) -> Address:
        """Accept connections from now on; return the address.

        Listens on the inherited socket `descriptor` if there is one. Raises `OSError` if the address can't
        be had.
        """
        self._listens_alone = descriptor is None
        sock = listening_socket(address) if descriptor is None else inherited_socket(descriptor)
        self.listener = Listener(
            self.loop,
            sock,
            lambda: ClientConnection(self),
            capacity=self._capacity,
            on_exhausted=lambda: self.make_room(1),
        )
        return self.listener.address

    def set_machine_share(self, share: float) -> None:
        """Set the limits for a process with this part (0 to 1) of all memory and descriptors."""
        self.limits = ConnectionLimits.of(self._machine_limits, share)
        self.budget.limit = int(self._machine_limits.memory * share * MEMORY_SHARE)
        self.make_room(max(0, self.open_connections - self.limits.high_water))

    def reload(self, names: Names, deadline_ms: float = 0.0) -> None:
        """Replace the names of request classes; earlier ones are known for a while.

        `deadline_ms` is the longest deadline of the requests that may still use the earlier names.
        """
        self.classes.replace(names, deadline_ms)

    @property
    def request_classes(self) -> set[int]:
        """The slots of the classes that clients may name."""
        return self.classes.slots

    # --- shutdown and lame duck ---------------------------------------------------

    def close_after_answers(self) -> None:
        """Make each answer from now on the last on its connection."""
        self._close_after_answers = True

    def stop_listening(self) -> None:
        """Stop accepting, and make each answer from now on the last on its connection.

        Connections that the system has accepted are still taken, unless another process shares the listening
        socket and takes them.
        """
        self.close_after_answers()
        if self.listener is None:
            return
        if self._listens_alone:
            self.listener.finish()
        else:
            self.listener.close()

    @property
    def closes_after_answers(self) -> bool:
        """True if each answer is the last on its connection."""
        return (
            self._close_after_answers
            or self._lifecycle.lame_duck
            or self.open_connections > self.limits.high_water
        )

    def _state_changed(self) -> None:
        if self._sweep is not None:
            self._sweep.cancel()
            self._sweep = None
        if self._lifecycle.lame_duck:
            self._sweep = self.loop.call_later(LAME_DUCK_DELAY_S, self._sweep_idle)

    def _sweep_idle(self) -> None:
        """Close idle connections, repeatedly until the end of lame duck."""
        self.close_idle(keep_just_opened=True)
        self._sweep = self.loop.call_later(LAME_DUCK_SWEEP_S, self._sweep_idle)

    def close_idle(self, *, keep_just_opened: bool = False) -> None:
        """Close idle connections, but on request not those that were just opened."""
        for connection in self.connections:
            if not (keep_just_opened and connection.just_opened) and connection.idle:
                connection.close()

    @property
    def transferring(self) -> bool:
        """True if connections are being accepted, or requests arriving, or answers not sent completely."""
        return self._finishing_accept or any(connection.transferring for connection in self.connections)

    @property
    def all_connections_closed(self) -> bool:
        """True if no connection is open, being closed or being accepted."""
        return not (self._finishing_accept or self._connections or self._opening)

    @property
    def _finishing_accept(self) -> bool:
        return self.listener is not None and self.listener.finishing

    @property
    def _opening(self) -> int:
        return 0 if self.listener is None else self.listener.opening

    def close(self) -> None:
        """Stop accepting and close all connections, even with requests pending."""
        if self.listener is not None:
            self.listener.close()
        self.classes.close()
        if self._sweep is not None:
            self._sweep.cancel()
        for connection in list(self._connections):
            connection.close()  # sends the end of the stream where nothing is left to be written
            connection.abort()

    # --- connections --------------------------------------------------------------

    @property
    def connections(self) -> list[ClientConnection]:
        """The connections that are open, without evicted ones, in the order of accept."""
        return [c for c in self._connections if c.state is not ConnectionState.EVICTED]

    @property
    def busy_connections(self) -> int:
        """The number of connections with a pending request or an unsent part of an answer."""
        return sum(connection.busy for connection in self._connections)

    def opened(self, connection: ClientConnection) -> None:
        """Take in a new connection; past the limits, one that makes no progress is evicted for it."""
        now = connection.quiet_since = self.clock.now()
        if self.open_connections >= self.limits.open_connections:
            # One search makes room for all that were accepted together: a search is expensive.
            self.make_room(max(1, self._opening))
        elif (
            self.open_connections >= self.limits.high_water
            and now >= self._search_from
            and not self.make_room(1)
        ):
            self._search_from = now + LOOK_PAUSE_MS
        self._connections[connection] = None
        self.open_connections += 1
        if self.open_connections > self.limits.open_connections:
            self._evict(connection)

    def closed(self, connection: ClientConnection, last_state: ConnectionState) -> None:
        """Take out a connection that is gone."""
        del self._connections[connection]
        if last_state is not ConnectionState.EVICTED:
            self.open_connections -= 1

    def _capacity(self) -> int:
        """Return how many connections may be accepted now.

        Evicted connections count until the loop has closed them: `RESERVED` bounds how many descriptors a
        burst of connections can take of those that discovery needs.
        """
        return self.limits.open_connections + RESERVED - len(self._connections)

    def _evict(self, connection: ClientConnection) -> None:
        connection.evict()
        self.open_connections -= 1

    def make_room(self, most: int) -> bool:
        """Evict at most this many connections, by least progress; return whether any was evicted.

        Below the limit of open connections, only those are evicted that are idle or quiet for `QUIET_MS`.
        """
        full = self.open_connections >= self.limits.open_connections
        quiet_since = self.clock.now() - (0.0 if full else QUIET_MS)
        before = self.open_connections
        for connection in eviction_candidates(self._connections, quiet_since):
            if before - self.open_connections == most:
                break
            if not connection.readable:
                self._evict(connection)
        return self.open_connections < before

    # --- requests -----------------------------------------------------------------

    def serve(self, request: ClientRequest, message: RequestMessage, read_at: float) -> None:
        """Answer a request that was read at `read_at` here, or give it to the handler.

        The request is complete, or a large one of which the beginning has been read.
        """
        message.target = framing.origin_form(message.target)
        if message.target.partition(b"?")[0] == READY_PATH:
            request.finish(200 if self._lifecycle.ready else 503, [], b"")
        elif (
            self.open_connections > self.limits.busy_connections
            and self.busy_connections > self.limits.busy_connections
        ):
            request.refused(0.0)
        elif not request.connection.leave_if_closed():
            self._admit(request, message, read_at)

    def _admit(self, request: ClientRequest, message: RequestMessage, read_at: float) -> None:
        try:
            self.classes.read(request, message, self._not_forwarded)
        except BadRequestError as error:
            text = "" if message.method == "HEAD" else f"{error}\n"
            request.finish(error.status, [], text.encode())
            return
        handled = self.handler.arrive(request, read_at)
        # The driver has forgotten a request that it answered at once.
        request.request = handled if request.answer is None else None
