"""The states of a client's connection and the transitions between them.

One state describes a connection from its accept to its end. What is a count (answers that are pending) or
belongs to the system (unread or unsent bytes) is not part of it.

The usual way of a connection, and where it may branch off:

    CONNECTING
        | connection_made
    AWAITING_FIRST_REQUEST -- error --> REJECTED
        | first byte of a request
    READING_REQUEST -- error, 408 --> REJECTED
        | last byte of a request  ^       -- answered before its last byte --> LINGERING
    AWAITING_NEXT_REQUEST --------+ first byte of the next request
        | the request just read asks for a close
    LAST_REQUEST_READ
        | last answer written, with input unread
    LINGERING
        | time limit or end of the client
    CLOSING
        | connection_lost
    CLOSED

After the last answer a connection without unread input goes to CLOSING at once. The client's end, a close or
an abort lead to CLOSING from every state before it. EVICTED is a CLOSING that makes room for another
connection; only connections without pending requests and answers are evicted. `connection_lost` leads to
CLOSED from every state after CONNECTING.
"""

from __future__ import annotations

from enum import Enum, auto


class ConnectionState(Enum):
    """The state of one client connection."""

    __hash__ = object.__hash__  # members compare by identity; the hash of Enum is a call of Python code

    CONNECTING = auto()  # accepted, the transport is not up yet
    AWAITING_FIRST_REQUEST = auto()  # no byte of a request has come
    READING_REQUEST = auto()  # a request has begun and is not complete; earlier ones may be unanswered
    AWAITING_NEXT_REQUEST = auto()  # each request that began is complete; some may be unanswered
    LAST_REQUEST_READ = auto()  # no more is read; the connection ends with the last pending answer
    REJECTED = auto()  # the input was invalid or too slow; an error ends the pending answers
    LINGERING = auto()  # the last answer is written, and the client has some time to read it
    CLOSING = auto()  # the transport is closing; it may still send what is buffered
    EVICTED = auto()  # closing, to make room for another connection
    CLOSED = auto()  # the transport is gone


S = ConnectionState

# Tuples: a search of so few compares identities, without the hash of an enum member.
ACCEPTS_INPUT = (S.AWAITING_NEXT_REQUEST, S.READING_REQUEST, S.AWAITING_FIRST_REQUEST)
BETWEEN_REQUESTS = (S.AWAITING_NEXT_REQUEST, S.AWAITING_FIRST_REQUEST)
TRANSPORT_CLOSING = (S.CLOSING, S.EVICTED)

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
    """A transition that the state of a client connection does not allow.

    `state` is the present state and `requested` the one that was to follow.
    """

    action = "a fault of the program: report it with the log; the connection is closed"

    def __init__(self, state: ConnectionState, requested: ConnectionState) -> None:
        super().__init__(f"client connection: no transition from {state.name} to {requested.name}")
        self.state = state
        self.requested = requested


def checked_transition(state: ConnectionState, requested: ConnectionState) -> ConnectionState:
    """Return the requested state; raises `ConnectionStateError` if it may not follow."""
    if requested not in TRANSITIONS[state]:
        raise ConnectionStateError(state, requested)
    return requested
