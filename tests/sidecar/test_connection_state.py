"""States of a client connection: the allowed transitions, and the sequences of states that occur."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import itertools
import random
import weakref

import pytest

from brassfall.sidecar.body import MemoryBudget
from brassfall.sidecar.clients import client_connection, connection_timeouts
from brassfall.sidecar.clients.connection_state import (
    ConnectionState,
    ConnectionStateError,
    checked_transition,
)
from brassfall.sidecar.clients.request_parser import RequestParser
from tests.support.clients import close_with_reset, half_close, only_connection
from tests.support.loopback import OK, App, Upstream, break_off, hang, loopback, request, running, until

S = ConnectionState
# States that end a connection from most of its other states.
ENDING_STATES = {S.CLOSING, S.EVICTED, S.CLOSED}

# Allowed transitions by state. They are written out here and not read from the program, so that this test
# fails if only the program's table is changed.
ALLOWED_TRANSITIONS = {
    S.CONNECTING: {S.AWAITING_FIRST_REQUEST},
    S.AWAITING_FIRST_REQUEST: {S.READING_REQUEST, S.REJECTED, *ENDING_STATES},
    S.READING_REQUEST: {S.AWAITING_NEXT_REQUEST, S.REJECTED, S.LINGERING, *ENDING_STATES},
    S.AWAITING_NEXT_REQUEST: {
        S.READING_REQUEST,
        S.LAST_REQUEST_READ,
        S.REJECTED,
        S.LINGERING,
        *ENDING_STATES,
    },
    S.LAST_REQUEST_READ: {S.LINGERING, S.CLOSING, S.CLOSED},
    S.REJECTED: {S.LINGERING, S.CLOSING, S.CLOSED},
    S.LINGERING: ENDING_STATES,
    S.CLOSING: {S.EVICTED, S.CLOSED},
    S.EVICTED: {S.CLOSED},
    S.CLOSED: set(),
}
STATE_PAIRS = list(itertools.product(S, S))


@pytest.mark.parametrize(
    ("state", "requested"), STATE_PAIRS, ids=[f"{a.name}-{b.name}" for a, b in STATE_PAIRS]
)
def test_only_allowed_transitions_are_made_and_all_others_raise(state, requested):
    if requested in ALLOWED_TRANSITIONS[state]:
        assert checked_transition(state, requested) is requested
        return
    with pytest.raises(ConnectionStateError) as raised:
        checked_transition(state, requested)
    assert (raised.value.state, raised.value.requested) == (state, requested)
    assert state.name in str(raised.value) and requested.name in str(raised.value)


def test_every_state_is_reachable_from_connecting_and_leads_to_closed():
    def reachable(start):
        reached, unvisited = {start}, [start]
        while unvisited:
            new = ALLOWED_TRANSITIONS[unvisited.pop()] - reached
            reached |= new
            unvisited.extend(new)
        return reached

    assert reachable(S.CONNECTING) == set(S)
    assert all(S.CLOSED in reachable(state) for state in S)


@pytest.fixture
def entered_states(monkeypatch):
    """States that all connections have entered, in their order."""
    states = []

    def record_transition(state, requested):
        states.append(checked_transition(state, requested))
        return requested

    monkeypatch.setattr(client_connection, "checked_transition", record_transition)
    return states


@loopback
async def test_a_connection_reads_requests_until_one_asks_for_a_close(entered_states):
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).body == b"done"
        assert (await app.ask(Connection="close")).body == b"done"
        assert await app.answer() is None
        await until(lambda: sidecar.inbound.all_connections_closed)
        assert entered_states == [
            S.AWAITING_FIRST_REQUEST,
            *(S.READING_REQUEST, S.AWAITING_NEXT_REQUEST) * 2,
            S.LAST_REQUEST_READ,
            S.CLOSING,
            S.CLOSED,
        ]


@loopback
async def test_a_close_by_the_client_within_a_request_closes_the_connection(entered_states):
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(request()[:-1])
        connection = await only_connection(sidecar)
        await until(lambda: connection.state is S.READING_REQUEST)
        app.close()
        await until(lambda: sidecar.inbound.all_connections_closed)
        assert entered_states == [S.AWAITING_FIRST_REQUEST, S.READING_REQUEST, S.CLOSING, S.CLOSED]


@loopback
async def test_a_connection_with_invalid_input_lingers_while_more_arrives(entered_states, monkeypatch):
    monkeypatch.setattr(connection_timeouts, "LINGER_TIMEOUT_S", 0.05)
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(b"x" * 200_000)
        assert (await app.answer()).status == 400
        with contextlib.suppress(ConnectionError):
            await app.reader.read()
        await until(lambda: sidecar.inbound.all_connections_closed)
        assert [state for state in entered_states if state is not S.READING_REQUEST] == [
            S.AWAITING_FIRST_REQUEST,
            S.REJECTED,
            S.LINGERING,
            S.CLOSING,
            S.CLOSED,
        ]


@loopback
async def test_an_evicted_connection_is_not_counted_as_open_but_remains_until_closed(entered_states):
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        connection = await only_connection(sidecar)
        # The limit is reached, so that a connection without a request may be evicted at once.
        sidecar.inbound.limits.open_connections = 1
        assert sidecar.inbound.evict_connections(1)
        assert connection.state is S.EVICTED
        assert sidecar.inbound.open_connections == 0 and not sidecar.inbound.connections
        assert not sidecar.inbound.all_connections_closed
        assert not sidecar.inbound.evict_connections(1)
        await until(lambda: sidecar.inbound.all_connections_closed)
        assert connection.state is S.CLOSED and sidecar.inbound.open_connections == 0
        assert entered_states == [S.AWAITING_FIRST_REQUEST, S.EVICTED, S.CLOSED]
        app.close()


@loopback
async def test_a_connection_with_a_pending_last_answer_can_not_be_evicted():
    upstream = await Upstream([hang]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send(Connection="close")
        connection = await only_connection(sidecar)
        await until(lambda: connection.state is S.LAST_REQUEST_READ)
        assert not sidecar.inbound.evict_connections(1)
        with pytest.raises(ConnectionStateError, match="from LAST_REQUEST_READ to EVICTED"):
            connection.evict()
        assert connection.state is S.LAST_REQUEST_READ
        app.close()


@loopback
async def test_a_closed_connection_accepts_no_transport_and_no_request():
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        connection = await only_connection(sidecar)
        app.close()
        await until(lambda: connection.state is S.CLOSED)
        for call in (connection.request_begun, lambda: connection.connection_made(connection.transport)):
            with pytest.raises(ConnectionStateError):
                call()
        connection.abort()
        connection.close()
        assert connection.state is S.CLOSED


def test_a_forbidden_transition_during_parsing_is_not_reported_as_a_bad_request():
    class Receiver:
        def request_begun(self):
            checked_transition(S.CLOSED, S.READING_REQUEST)

    with pytest.raises(ConnectionStateError):
        RequestParser(Receiver(), MemoryBudget(0)).feed(request())


@loopback
async def test_idle_just_opened_and_transferring_follow_from_the_state():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await only_connection(sidecar)
        assert connection.just_opened and connection.idle
        assert not connection.busy and not connection.transferring
        whole_request = request()
        app.writer.write(whole_request[:-1])
        await until(lambda: connection.state is S.READING_REQUEST)
        assert connection.transferring
        assert not connection.idle and not connection.just_opened and not connection.busy
        app.writer.write(whole_request[-1:])
        assert (await app.answer()).body == b"done"
        assert connection.state is S.AWAITING_NEXT_REQUEST
        assert connection.idle and not connection.transferring and not connection.just_opened
        connection.close()
        assert not connection.idle and not connection.transferring
        assert await app.answer() is None
        await asyncio.sleep(0)


# --- clients that act at random -------------------------------------------------------


def random_input(rng):
    """Return bytes that a client may send: valid requests, parts of them, or invalid input."""
    large = request("POST", "/pay", b"x" * rng.choice([70_000, 300_000]))
    whole_requests = rng.choice(
        [
            request(),
            request() * rng.randrange(2, 20),
            request(Connection="close"),
            request().replace(b"HTTP/1.1", b"HTTP/1.0"),
            request("POST", "/pay", b"hello", Expect="100-continue"),
            request("POST", "/pay", Content_Length=None, Transfer_Encoding="chunked")
            + b"5\r\nhello\r\n0\r\n\r\n",
            request("GET", "/nowhere"),
            large,
        ]
    )
    return rng.choice(
        [
            whole_requests,
            whole_requests,
            whole_requests[: rng.randrange(len(whole_requests))],
            b"\r\n",
            b"GARBAGE\r\n\r\n",
            b"\0" * 9,
        ]
    )


async def random_client(rng, address):
    """Run a client that sends random input, stops reading, or closes its connection at random."""
    with contextlib.suppress(OSError):  # raised if the sidecar has closed the connection
        app = await App.connect(address)
        for _ in range(rng.randrange(1, 6)):
            match rng.randrange(8):
                case 0:
                    app.writer.transport.pause_reading()
                case 1:
                    half_close(app)
                case 2:
                    close_with_reset(app)
                case 3:
                    app.close()
                case _:
                    app.writer.write(random_input(rng))
            await asyncio.sleep(rng.choice([0.0, 0.0, 0.001, 0.02]))
        await asyncio.sleep(0.05)
        app.close()


@pytest.mark.parametrize("seed", range(8))
@loopback
async def test_random_clients_cause_no_forbidden_transition(seed, entered_states, monkeypatch):
    for name, limit_s in (
        ("REQUEST_TIMEOUT_S", 0.1),
        ("LINGER_TIMEOUT_S", 0.02),
        ("UNREAD_ANSWER_TIMEOUT_S", 0.1),
    ):
        monkeypatch.setattr(connection_timeouts, name, limit_s)
    rng, loop_errors = random.Random(seed), []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: loop_errors.append(context))
    large = b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + b"x" * 400_000
    upstreams = [await Upstream([reply]).start() for reply in (OK, large, hang, break_off)]
    async with running(*upstreams, raw={"limits": {"sockets": 96}}) as sidecar:
        clients = [
            asyncio.create_task(random_client(random.Random(f"{seed} {number}"), sidecar.address))
            for number in range(60)
        ]
        while not all(client.done() for client in clients):
            rng.choice(
                [sidecar.inbound.close_idle, lambda: sidecar.inbound.evict_connections(1), lambda: None]
            )()
            await asyncio.sleep(0.005)
        await asyncio.gather(*clients)
        sidecar.inbound.close_after_answers()
        await until(lambda: sidecar.inbound.all_connections_closed)
        assert sidecar.inbound.open_connections == 0 and sidecar.inbound.budget.used == 0
    raised = [context for context in loop_errors if "exception" in context]
    assert not [
        context for context in raised if not isinstance(context["exception"], ConnectionError | OSError)
    ]
    assert {S.READING_REQUEST, S.AWAITING_NEXT_REQUEST, S.EVICTED, S.CLOSED} <= set(entered_states)


@pytest.mark.parametrize("sent", [b"", b"GET /lo", request(), b"no request\r\n\r\n", 20 * request()])
@loopback
async def test_a_closed_connection_leaves_memory_without_the_garbage_collector(sent):
    """Guards against memory that grows while clients come and go: a full collection is rare."""
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        gc.collect()
        gc.disable()
        try:
            app = await App.connect(sidecar.address)
            connection = weakref.ref(await only_connection(sidecar))
            app.writer.write(sent)
            await until(lambda: not sent or connection() is None or connection().last_read_at)
            app.close()
            await until(lambda: connection() is None)
        finally:
            gc.enable()
