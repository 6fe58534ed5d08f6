"""States of a client connection and the transitions that are allowed between them.

One state describes a connection from its accept to its close. It does not include counts, such as the number
of pending answers, or what the operating system keeps, such as unread and unsent bytes.

The usual sequence of states, and the points at which a connection may leave it:

    CONNECTING
        | connection_made
    AWAITING_FIRST_REQUEST -- error --> REJECTED
        | first byte of a request
    READING_REQUEST -- error, 408 --> REJECTED
        | last byte of a request  ^       -- answered before its last byte --> LINGERING
    AWAITING_NEXT_REQUEST --------+ first byte of the next request
        | the request just read asks for a close
    LAST_REQUEST_READ
        | last answer written, while input is unread
    LINGERING
        | time limit is over, or the client closes
    CLOSING
        | connection_lost
    CLOSED

After the last answer, a connection without unread input changes to CLOSING at once. A close by the client, a
call of `close` and a call of `abort` lead to CLOSING from every earlier state. EVICTED is like CLOSING, for a
connection that is closed to make room for another one; only connections without pending requests and answers
are evicted. `connection_lost` leads to CLOSED from every state after CONNECTING.
"""

from __future__ import annotations

from enum import Enum, auto


class ConnectionState(Enum):
    """State of one client connection."""

    # States are hashed by identity, because the hash function of Enum is written in Python and is slower.
    __hash__ = object.__hash__

    CONNECTING = auto()  # the connection is accepted, and its transport is not open yet
    AWAITING_FIRST_REQUEST = auto()  # no byte of a request has been read
    READING_REQUEST = auto()  # a request is read in part; earlier requests may be unanswered
    AWAITING_NEXT_REQUEST = auto()  # all requests are read completely; some may be unanswered
    LAST_REQUEST_READ = auto()  # no more is read; the connection closes after the last pending answer
    REJECTED = auto()  # the input was invalid or too slow; the last pending answer is an error
    LINGERING = auto()  # the last answer is written, and the client has `LINGER_TIMEOUT_S` to read it
    CLOSING = auto()  # the transport is closing, and may still send the bytes that are buffered
    EVICTED = auto()  # the transport is closing, to make room for another connection
    CLOSED = auto()  # the transport is closed


S = ConnectionState

# The groups of states are tuples, not sets: comparing a few members by identity is faster than hashing one.
ACCEPTS_INPUT = (S.AWAITING_NEXT_REQUEST, S.READING_REQUEST, S.AWAITING_FIRST_REQUEST)
BETWEEN_REQUESTS = (S.AWAITING_NEXT_REQUEST, S.AWAITING_FIRST_REQUEST)
TRANSPORT_CLOSING = (S.CLOSING, S.EVICTED)

# States that may follow each state of a client connection.
TRANSITIONS: dict[ConnectionState, frozenset[ConnectionState]] = {
    S.CONNECTING: frozenset((S.AWAITING_FIRST_REQUEST,)),
    S.AWAITING_FIRST_REQUEST: frozenset((S.READING_REQUEST, S.REJECTED, S.CLOSING, S.EVICTED, S.CLOSED)),
    S.READING_REQUEST: frozenset(
        (S.AWAITING_NEXT_REQUEST, S.REJECTED, S.LINGERING, S.CLOSING, S.EVICTED, S.CLOSED)
    ),
    S.AWAITING_NEXT_REQUEST: frozenset(
        (
            S.READING_REQUEST,
            S.LAST_REQUEST_READ,
            S.REJECTED,
            S.LINGERING,
            S.CLOSING,
            S.EVICTED,
            S.CLOSED,
        )
    ),
    S.LAST_REQUEST_READ: frozenset((S.LINGERING, S.CLOSING, S.CLOSED)),
    S.REJECTED: frozenset((S.LINGERING, S.CLOSING, S.CLOSED)),
    S.LINGERING: frozenset((S.CLOSING, S.EVICTED, S.CLOSED)),
    S.CLOSING: frozenset((S.EVICTED, S.CLOSED)),
    S.EVICTED: frozenset((S.CLOSED,)),
    S.CLOSED: frozenset(),
}


class ConnectionStateError(Exception):
    """Error about a transition that is not allowed from the connection's state.

    `state` is the state of the connection and `requested` is the state that it should have changed to.
    """

    action = "report this fault of the program together with the log; the connection is closed"

    def __init__(self, state: ConnectionState, requested: ConnectionState) -> None:
        super().__init__(f"client connection: no transition from {state.name} to {requested.name}")
        self.state = state
        self.requested = requested


def checked_transition(state: ConnectionState, requested: ConnectionState) -> ConnectionState:
    """Return the requested state; raises `ConnectionStateError` if it may not follow `state`."""
    if requested not in TRANSITIONS[state]:
        raise ConnectionStateError(state, requested)
    return requested
