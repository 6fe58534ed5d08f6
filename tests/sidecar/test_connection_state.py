"""The states of a client connection: the table of transitions, and the ways that connections take."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random

import pytest

from brassfall.sidecar.body import Budget
from brassfall.sidecar.clients import client_connection, connection_timeouts
from brassfall.sidecar.clients.connection_state import (
    ConnectionState,
    ConnectionStateError,
    checked_transition,
)
from brassfall.sidecar.clients.request_parser import RequestParser
from tests.support.clients import end_sending, only_connection, reset
from tests.support.loopback import OK, App, Upstream, break_off, hang, loopback, request, running, until

S = ConnectionState
LIVE_ENDS = {S.CLOSING, S.EVICTED, S.CLOSED}

# Written out anew, not read from the module: a change of its table has to be made here too.
ALLOWED = {
    S.CONNECTING: {S.AWAITING_FIRST_REQUEST},
    S.AWAITING_FIRST_REQUEST: {S.READING_REQUEST, S.REJECTED, *LIVE_ENDS},
    S.READING_REQUEST: {S.AWAITING_NEXT_REQUEST, S.REJECTED, S.LINGERING, *LIVE_ENDS},
    S.AWAITING_NEXT_REQUEST: {
        S.READING_REQUEST,
        S.LAST_REQUEST_READ,
        S.REJECTED,
        S.LINGERING,
        *LIVE_ENDS,
    },
    S.LAST_REQUEST_READ: {S.LINGERING, S.CLOSING, S.CLOSED},
    S.REJECTED: {S.LINGERING, S.CLOSING, S.CLOSED},
    S.LINGERING: LIVE_ENDS,
    S.CLOSING: {S.EVICTED, S.CLOSED},
    S.EVICTED: {S.CLOSED},
    S.CLOSED: set(),
}
PAIRS = list(itertools.product(S, S))


@pytest.mark.parametrize(("state", "requested"), PAIRS, ids=[f"{a.name}-{b.name}" for a, b in PAIRS])
def test_a_transition_is_made_if_it_is_in_the_table_and_raises_otherwise(state, requested):
    if requested in ALLOWED[state]:
        assert checked_transition(state, requested) is requested
        return
    with pytest.raises(ConnectionStateError) as raised:
        checked_transition(state, requested)
    assert (raised.value.state, raised.value.requested) == (state, requested)
    assert state.name in str(raised.value) and requested.name in str(raised.value)


def test_every_state_is_reached_from_accept_and_leads_to_closed():
    def reachable(start):
        found, todo = {start}, [start]
        while todo:
            new = ALLOWED[todo.pop()] - found
            found |= new
            todo.extend(new)
        return found

    assert reachable(S.CONNECTING) == set(S)
    assert all(S.CLOSED in reachable(state) for state in S)


@pytest.fixture
def entered(monkeypatch):
    """The states that connections have entered, in order."""
    states = []

    def recorded(state, requested):
        states.append(checked_transition(state, requested))
        return requested

    monkeypatch.setattr(client_connection, "checked_transition", recorded)
    return states


@loopback
async def test_a_connection_is_read_between_requests_until_the_last_one(entered):
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).body == b"done"
        assert (await app.ask(Connection="close")).body == b"done"
        assert await app.answer() is None
        await until(lambda: sidecar.inbound.all_connections_closed)
        assert entered == [
            S.AWAITING_FIRST_REQUEST,
            *(S.READING_REQUEST, S.AWAITING_NEXT_REQUEST) * 2,
            S.LAST_REQUEST_READ,
            S.CLOSING,
            S.CLOSED,
        ]


@loopback
async def test_a_connection_that_is_closed_by_its_client_closes_from_where_it_is(entered):
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(request()[:-1])
        connection = await only_connection(sidecar)
        await until(lambda: connection.state is S.READING_REQUEST)
        app.close()
        await until(lambda: sidecar.inbound.all_connections_closed)
        assert entered == [S.AWAITING_FIRST_REQUEST, S.READING_REQUEST, S.CLOSING, S.CLOSED]


@loopback
async def test_input_that_is_no_request_is_rejected_and_lingers_while_more_comes(entered, monkeypatch):
    monkeypatch.setattr(connection_timeouts, "LINGER_TIMEOUT_S", 0.05)
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(b"x" * 200_000)
        assert (await app.answer()).status == 400
        with contextlib.suppress(ConnectionError):
            await app.reader.read()
        await until(lambda: sidecar.inbound.all_connections_closed)
        assert [state for state in entered if state is not S.READING_REQUEST] == [
            S.AWAITING_FIRST_REQUEST,
            S.REJECTED,
            S.LINGERING,
            S.CLOSING,
            S.CLOSED,
        ]


@loopback
async def test_an_evicted_connection_is_not_open_and_is_counted_until_it_is_closed(entered):
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        connection = await only_connection(sidecar)
        sidecar.inbound.limits.open_connections = 1  # full: one without a request is evicted at once
        assert sidecar.inbound.evict_connections(1)
        assert connection.state is S.EVICTED
        assert sidecar.inbound.open_connections == 0 and not sidecar.inbound.connections
        assert not sidecar.inbound.all_connections_closed
        assert not sidecar.inbound.evict_connections(1)
        await until(lambda: sidecar.inbound.all_connections_closed)
        assert connection.state is S.CLOSED and sidecar.inbound.open_connections == 0
        assert entered == [S.AWAITING_FIRST_REQUEST, S.EVICTED, S.CLOSED]
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
        for event in (connection.request_begun, lambda: connection.connection_made(connection.transport)):
            with pytest.raises(ConnectionStateError):
                event()
        connection.abort()
        connection.close()
        assert connection.state is S.CLOSED


def test_a_forbidden_transition_within_the_parser_is_no_bad_request():
    class Receiver:
        def request_begun(self):
            checked_transition(S.CLOSED, S.READING_REQUEST)

    with pytest.raises(ConnectionStateError):
        RequestParser(Receiver(), Budget(0)).feed(request())


@loopback
async def test_idle_just_opened_and_transferring_follow_from_the_state():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await only_connection(sidecar)
        assert connection.just_opened and connection.idle
        assert not connection.busy and not connection.transferring
        whole = request()
        app.writer.write(whole[:-1])
        await until(lambda: connection.state is S.READING_REQUEST)
        assert connection.transferring
        assert not connection.idle and not connection.just_opened and not connection.busy
        app.writer.write(whole[-1:])
        assert (await app.answer()).body == b"done"
        assert connection.state is S.AWAITING_NEXT_REQUEST
        assert connection.idle and not connection.transferring and not connection.just_opened
        connection.close()
        assert not connection.idle and not connection.transferring
        assert await app.answer() is None
        await asyncio.sleep(0)


# --- clients that do anything in any order -----------------------------------------------


def random_input(rng):
    """Bytes that a client may send: requests, parts of them, and what is no request."""
    large = request("POST", "/pay", b"x" * rng.choice([70_000, 300_000]))
    whole = rng.choice(
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
        [whole, whole, whole[: rng.randrange(len(whole))], b"\r\n", b"GARBAGE\r\n\r\n", b"\0" * 9]
    )


async def random_client(rng, address):
    """A client that sends, reads and leaves at random."""
    with contextlib.suppress(OSError):  # its connection is gone
        app = await App.connect(address)
        for _ in range(rng.randrange(1, 6)):
            match rng.randrange(8):
                case 0:
                    app.writer.transport.pause_reading()
                case 1:
                    end_sending(app)
                case 2:
                    reset(app)
                case 3:
                    app.close()
                case _:
                    app.writer.write(random_input(rng))
            await asyncio.sleep(rng.choice([0.0, 0.0, 0.001, 0.02]))
        await asyncio.sleep(0.05)
        app.close()


@pytest.mark.parametrize("seed", range(8))
@loopback
async def test_no_order_of_events_leads_to_a_forbidden_transition(seed, entered, monkeypatch):
    for name, limit_s in (("REQUEST_TIMEOUT_S", 0.1), ("LINGER_TIMEOUT_S", 0.02), ("UNREAD_ANSWER_TIMEOUT_S", 0.1)):
        monkeypatch.setattr(connection_timeouts, name, limit_s)
    rng, faults = random.Random(seed), []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
    large = b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + b"x" * 400_000
    upstreams = [await Upstream([reply]).start() for reply in (OK, large, hang, break_off)]
    async with running(*upstreams, raw={"limits": {"sockets": 96}}) as sidecar:
        clients = [
            asyncio.create_task(random_client(random.Random(f"{seed} {number}"), sidecar.address))
            for number in range(60)
        ]
        while not all(client.done() for client in clients):
            rng.choice([sidecar.inbound.close_idle, lambda: sidecar.inbound.evict_connections(1), lambda: None])()
            await asyncio.sleep(0.005)
        await asyncio.gather(*clients)
        sidecar.inbound.close_after_answers()
        await until(lambda: sidecar.inbound.all_connections_closed)
        assert sidecar.inbound.open_connections == 0 and sidecar.inbound.budget.used == 0
    raised = [context for context in faults if "exception" in context]
    assert not [found for found in raised if not isinstance(found["exception"], ConnectionError | OSError)]
    assert {S.READING_REQUEST, S.AWAITING_NEXT_REQUEST, S.EVICTED, S.CLOSED} <= set(entered)
