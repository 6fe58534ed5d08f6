"""Client side of the sidecar: accepts connections, limits their number, and serves their requests."""

from __future__ import annotations

import asyncio

from brassfall.sidecar import framing, memory
from brassfall.sidecar.body import MemoryBudget
from brassfall.sidecar.clients.client_connection import ClientConnection
from brassfall.sidecar.clients.client_request import ClientRequest, RequestHandler
from brassfall.sidecar.clients.connection_limits import (
    RESERVED_DESCRIPTORS,
    ConnectionLimits,
    eviction_candidates,
)
from brassfall.sidecar.clients.connection_state import ConnectionState
from brassfall.sidecar.clients.connection_timeouts import MAX_UNSENT_BYTES
from brassfall.sidecar.clients.known_classes import KnownClasses
from brassfall.sidecar.clients.listener import Listener, inherited_socket, listening_socket
from brassfall.sidecar.clients.recent_calls import RecentCalls
from brassfall.sidecar.clients.request_message import BadRequestError, RequestMessage
from brassfall.sidecar.config import Config
from brassfall.sidecar.config_values import Address, WireNames
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.process_state import ProcessLifecycle

READY_PATH = b"/health/ready"  # path of the readiness check, which this process answers itself
# Largest share of the memory for messages that the bytes unsent to clients may take without being counted.
UNCOUNTED_UNSENT_SHARE = 0.25
MIN_UNSENT_BYTES = 1024  # smallest limit on the bytes unsent to a client that are not counted
# Time without input or an answer after which a connection may be evicted below the limit of open connections,
# in ms. It is longer than any pause between the parts of a request that is being sent.
QUIET_BEFORE_EVICTION_MS = 1000.0
EVICTION_RETRY_MS = 20.0  # wait after a search found no connection to evict, until the next search, in ms
# Time from the start of lame duck until idle connections are closed, in seconds. Clients open connections for
# 0.3 s more after the command, and 4 s after it no connection may be idle.
LAME_DUCK_DELAY_S = 1.0
LAME_DUCK_SWEEP_S = 0.1  # interval between two closings of idle connections during lame duck, in seconds
NEVER_FORWARDED = frozenset((b"x-budget",))  # client headers that the sidecar replaces by its own
# Client headers that are not forwarded if the sidecar follows configuration revisions, because only the
# sidecar may set them then.
REVISION_HEADERS = frozenset((b"x-edition",))


class Inbound:
    """Listening socket and connections of all clients of this process."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        config: Config,
        handler: RequestHandler,
        lifecycle: ProcessLifecycle,
    ) -> None:
        """Pass the requests of clients to `handler`, as soon as `listen` has been called."""
        self.loop = loop
        self.clock = clock
        self.handler = handler
        self.budget = MemoryBudget(0)
        self.classes = KnownClasses(loop, config.names)
        self.recent_calls = RecentCalls()
        self.listener: Listener | None = None
        self._owns_listening_socket = True  # True if no other process accepts connections on the socket
        self._lifecycle = lifecycle
        lifecycle.on_change(self._lifecycle_changed)
        self._idle_sweep_timer: asyncio.TimerHandle | None = None
        self._not_forwarded = (
            NEVER_FORWARDED | REVISION_HEADERS if config.agreement is not None else NEVER_FORWARDED
        )
        # Connections that are not closed yet, evicted ones included, in the order of their accept.
        self._connections: dict[ClientConnection, None] = {}
        self.open_connections = 0  # number of connections in `_connections` that are not evicted
        # Earliest time for the next search for a connection to evict while fewer connections are open than
        # the limit, in ms of the sidecar's clock.
        self._next_eviction_search_at = 0.0
        self._close_after_answers = False
        self._machine_limits = config.limits
        self._machine_share = 1.0
        self._process_bytes = 0  # memory of this process before it serves clients, with mapped files
        self.limits: ConnectionLimits
        self.set_machine_share(1.0)

    def listen(self, address: Address, descriptor: int | None = None) -> Address:
        """Start accepting connections; return the address that the socket listens on.

        Listens on the inherited socket `descriptor` if one is given, and otherwise on `address`. Raises
        `OSError` if the address is not available.
        """
        self._owns_listening_socket = descriptor is None
        sock = listening_socket(address) if descriptor is None else inherited_socket(descriptor)
        self.listener = Listener(
            self.loop,
            sock,
            lambda: ClientConnection(self),
            capacity=self._free_capacity,
            on_exhausted=lambda: self.evict_connections(1),
        )
        return self.listener.address

    def set_machine_share(self, share: float) -> None:
        """Set the limits for a process that may use `share` (0 to 1) of all memory and descriptors."""
        self._machine_share = share
        self.limits = ConnectionLimits.for_machine_share(self._machine_limits, share)
        self._set_message_limit()
        self.evict_connections(max(0, self.open_connections - self.limits.high_water))

    def set_process_size(self, process_bytes: int) -> None:
        """Leave `process_bytes` of the memory to the process itself, which has no clients yet."""
        self._process_bytes = process_bytes
        self._set_message_limit()

    def _set_message_limit(self) -> None:
        self.budget.limit = memory.message_limit(
            int(self._machine_limits.memory * self._machine_share),
            self._process_bytes,
            client_connections=self.limits.open_connections,
            open_requests=self.limits.busy_connections,
        )

    @property
    def memory_state(self) -> str:
        """Limit and use of the memory for messages, and the size of the process without it, in bytes."""
        return f"limit={self.budget.limit} used={self.budget.used} process={self._process_bytes}"

    @property
    def max_unsent_bytes(self) -> int:
        """Number of unsent bytes of answers above which a client is no longer read, and they are counted."""
        share = int(self.budget.limit * UNCOUNTED_UNSENT_SHARE / self.limits.open_connections)
        return max(MIN_UNSENT_BYTES, min(share, MAX_UNSENT_BYTES))

    def reload(self, names: WireNames, deadline_ms: float = 0.0) -> None:
        """Replace the names of request classes; the earlier names stay valid for some time.

        `deadline_ms` is the longest deadline of the requests that may still use the earlier names.
        """
        self.classes.replace(names, deadline_ms)

    @property
    def request_classes(self) -> set[int]:
        """Slots in the settings of the classes that clients may name."""
        return self.classes.slots

    # --- shutdown and lame duck ---------------------------------------------------

    def close_after_answers(self) -> None:
        """Announce the close of the connection in each answer from now on, and close it afterwards."""
        self._close_after_answers = True

    def stop_listening(self) -> None:
        """Stop accepting connections, and close each connection after its next answer.

        Connections that already wait in the backlog are still accepted, unless another process shares the
        listening socket and accepts them.
        """
        self.close_after_answers()
        if self.listener is None:
            return
        if self._owns_listening_socket:
            self.listener.accept_backlog_and_close()
        else:
            self.listener.close()

    @property
    def closes_after_answers(self) -> bool:
        """True if each connection is closed after its next answer."""
        return (
            self._close_after_answers
            or self._lifecycle.lame_duck
            or self.open_connections > self.limits.high_water
        )

    def _lifecycle_changed(self) -> None:
        if self._idle_sweep_timer is not None:
            self._idle_sweep_timer.cancel()
            self._idle_sweep_timer = None
        if self._lifecycle.lame_duck:
            self._idle_sweep_timer = self.loop.call_later(LAME_DUCK_DELAY_S, self._sweep_idle_connections)

    def _sweep_idle_connections(self) -> None:
        """Close idle connections now, and again every `LAME_DUCK_SWEEP_S` until lame duck ends."""
        self.close_idle(keep_just_opened=True)
        self._idle_sweep_timer = self.loop.call_later(LAME_DUCK_SWEEP_S, self._sweep_idle_connections)

    def close_idle(self, *, keep_just_opened: bool = False) -> None:
        """Close all idle connections; with `keep_just_opened`, not those that were just opened."""
        for connection in self.connections:
            if not (keep_just_opened and connection.just_opened) and connection.idle:
                connection.close()

    @property
    def transferring(self) -> bool:
        """True if connections are being accepted, requests are arriving, or answers are being sent."""
        return self._accepting_backlog or any(connection.transferring for connection in self.connections)

    @property
    def all_connections_closed(self) -> bool:
        """True if no connection is open, being closed or being accepted."""
        return not (self._accepting_backlog or self._connections or self._opening_count)

    @property
    def _accepting_backlog(self) -> bool:
        return self.listener is not None and self.listener.accepting_backlog

    @property
    def _opening_count(self) -> int:
        return 0 if self.listener is None else self.listener.opening_count

    def close(self) -> None:
        """Stop accepting, and close all connections at once, even if requests are pending on them."""
        if self.listener is not None:
            self.listener.close()
        self.classes.close()
        self.recent_calls.close()
        if self._idle_sweep_timer is not None:
            self._idle_sweep_timer.cancel()
        for connection in list(self._connections):
            connection.close()  # a connection without unsent bytes sends the end of the stream here
            connection.abort()

    # --- connections --------------------------------------------------------------

    @property
    def connections(self) -> list[ClientConnection]:
        """Connections that are not evicted, in the order in which they were accepted."""
        return [
            connection for connection in self._connections if connection.state is not ConnectionState.EVICTED
        ]

    @property
    def busy_connections(self) -> int:
        """Number of connections with a pending request or an unsent part of an answer."""
        return sum(connection.busy for connection in self._connections)

    def connection_opened(self, connection: ClientConnection) -> None:
        """Add a new connection; above the limits, evict one that makes no progress."""
        now = connection.quiet_since = self.clock.now()
        if self.open_connections >= self.limits.open_connections:
            # A search for candidates is expensive, so one search evicts for all connections of one batch.
            self.evict_connections(max(1, self._opening_count))
        elif (
            self.open_connections >= self.limits.high_water
            and now >= self._next_eviction_search_at
            and not self.evict_connections(1)
        ):
            self._next_eviction_search_at = now + EVICTION_RETRY_MS
        self._connections[connection] = None
        self.open_connections += 1
        if self.open_connections > self.limits.open_connections:
            self._evict(connection)

    def connection_closed(self, connection: ClientConnection, last_state: ConnectionState) -> None:
        """Remove a closed connection; `last_state` is its state before `CLOSED`."""
        del self._connections[connection]
        if last_state is not ConnectionState.EVICTED:
            self.open_connections -= 1

    def _free_capacity(self) -> int:
        """Return how many connections may be accepted now.

        Evicted connections count until the event loop has closed them. `RESERVED_DESCRIPTORS` limits how many
        of the descriptors that discovery needs can be taken by a burst of connections.
        """
        return self.limits.open_connections + RESERVED_DESCRIPTORS - len(self._connections)

    def _evict(self, connection: ClientConnection) -> None:
        connection.evict()
        self.open_connections -= 1

    def evict_connections(self, max_count: int) -> bool:
        """Evict up to `max_count` connections, those with the least progress first; return whether any was.

        Below the limit of open connections, only those are evicted whose requests have been answered, or on
        which nothing has happened for `QUIET_BEFORE_EVICTION_MS`.
        """
        full = self.open_connections >= self.limits.open_connections
        quiet_before = self.clock.now() - (0.0 if full else QUIET_BEFORE_EVICTION_MS)
        open_before = self.open_connections
        for connection in eviction_candidates(self._connections, quiet_before):
            if open_before - self.open_connections == max_count:
                break
            if not connection.readable:
                self._evict(connection)
        return self.open_connections < open_before

    # --- requests -----------------------------------------------------------------

    def serve_request(self, request: ClientRequest, message: RequestMessage, read_at: float) -> None:
        """Answer a request in this process, or pass it to the handler.

        The request was read at `read_at`, in ms of the sidecar's clock. It is complete, or it is a large one
        of which the beginning has been read.
        """
        message.target = framing.origin_form(message.target)
        if message.target.partition(b"?")[0] == READY_PATH:
            request.give_answer(200 if self._lifecycle.ready else 503, [], b"")
        elif (
            self.open_connections > self.limits.busy_connections
            and self.busy_connections > self.limits.busy_connections
        ):
            request.send_rejection(0.0)
        elif not request.connection.close_if_client_left():
            self._check_and_forward(request, message, read_at)

    def _check_and_forward(self, request: ClientRequest, message: RequestMessage, read_at: float) -> None:
        try:
            self.classes.check_request(request, message, self._not_forwarded)
        except BadRequestError as error:
            text = "" if message.method == "HEAD" else f"{error}\n"
            request.give_answer(error.status, [], text.encode())
            return
        if not request.idempotent and request.call_id in self.recent_calls:
            # The request was forwarded before, and may have run. A rejection would promise that it has not.
            request.send_failure(late=False)
            return
        driver_request = self.handler.accept_request(request, read_at)
        # The driver has already released the record of a request that it answered at once.
        request.driver_request = driver_request if request.complete_answer is None else None
