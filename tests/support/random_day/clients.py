"""Model of the clients: their requests, bodies that arrive slowly, answers, and clients that leave."""

from __future__ import annotations

import re

from brassfall.sidecar.body import Body
from brassfall.sidecar.core.request_lifecycle import DEADLINE_MARGIN_MS

# All times are multiples of this number of seconds, so that events often occur in the same turn of the loop.
GRID_S = 0.01
UNREAD_S = (0.05, 0.13, 0.2)  # times after which the close of a client's connection is read, in seconds
FIRST_PART = b"part0"  # part of a large body that is sent together with the head


class BodySource:
    """Client's side of a large body (`body.Source`), which counts the time in which it is not read.

    `now` returns the current time in ms.
    """

    def __init__(self, now):
        self.paused = False
        self._now = now
        self._paused_at = self._earlier_pauses_ms = 0.0

    @property
    def total_paused_ms(self):
        """Total length of the pauses, in ms."""
        return self._earlier_pauses_ms + (self._now() - self._paused_at if self.paused else 0.0)

    def pause(self):
        if not self.paused:
            self.paused, self._paused_at = True, self._now()

    def resume(self):
        self._earlier_pauses_ms, self.paused = self.total_paused_ms, False


class ClientCall:
    """Request with the interface for the driver (`interfaces.Call`) and the records for the oracle."""

    client_retry = mutates = False
    work = None

    def __init__(self, clients, number, *, request_class, row, limits, budget, body=None, source=None):
        rng, now = clients.chance.rng, clients.oracle.now
        self.clients, self.number, self.request_class = clients, number, request_class
        self.row, self.limits, self.budget, self.body, self.source = row, limits, budget, body, source
        self.sent = bytearray(FIRST_PART if body is not None else b"")
        self.fully_read = body is None  # True if the sidecar has read the last byte of the request
        self.read_at, self.answer_by = now, clients.answer_by
        self.key, self.tenant = rng.choice([None, 1, 2]), rng.randrange(2)
        self.request = None
        self.final: str | None = None  # name of the method that gave the final answer
        # `stream_ended` is True if a large answer was finished or broken off. `departure_reported` is True if
        # the program knows that the client has left.
        self.stream_ended = self.departure_reported = False
        self.closed_at = None  # time of the client's close, which the program may learn later
        self.flow = None
        self.writes: list = []  # attempts whose first byte was written, in their order
        self.decisions: list[tuple[float, str]] = []  # time and server of each attempt decided on

    @property
    def reading(self):
        return self.body is not None and not self.body.complete

    @property
    def read_lag(self):
        """Longest time that the last byte has waited unread, in ms."""
        writes_all_at_once = self.source is not None and self.number % 2 == 0
        return self.source.total_paused_ms if writes_all_at_once else 0.0

    @property
    def give_up_at(self):
        return min(self.read_at + self.budget - DEADLINE_MARGIN_MS, self.answer_by)

    @property
    def unanswered(self):
        """True if the final answer is not complete yet."""
        return not self.stream_ended and self.final in (None, "begun")

    def client_left(self):
        return self.closed_at is not None

    def request_bytes(self, left):
        framing = b"" if self.body is None else self.body.header
        return b"POST /x HTTP/1.1\r\nX-Id: %d\r\nX-Left: %.3f\r\n%b\r\n" % (self.number, left, framing)

    def is_complete(self, body):
        """Return whether a server that has read `body` has the whole body.

        Reports a breach if the body is not what the client sent.
        """
        if self.body is None:
            return True
        if self.body.length is None:
            content = b"".join(re.findall(rb"[0-9a-f]+\r\n([^\r]+)\r\n", body))
            complete = body.endswith(b"0\r\n\r\n")
        else:
            content, complete = bytes(body), len(body) == self.body.length
        if not self.sent.startswith(content):
            self._breach("the body is not what its client sent")
        return complete and self.fully_read

    def _breach(self, text):
        self.clients.oracle.breach(f"request {self.number}: {text}")

    # --- answers of the program

    def _answered(self, method):
        self.clients.oracle.answered(self, method, suspensions=bool(self.clients.chance.suspension_rate))

    def send_answer(self, answer):
        if answer.body != b"ok %d" % self.number:
            self._breach("answered with the answer to another request")
        self._answered("served")

    def send_rejection(self, retry_after):
        self._answered("refused")
        self.clients.oracle.refused(self)

    def send_failure(self, late):
        self._answered("failed")

    def start_answer(self, answer, flow):
        self.flow = flow
        self._answered("begun")

    def continue_answer(self, data):
        if self.stream_ended:
            self._breach("a part of an answer that had already ended")

    def finish_answer(self):
        self._end_stream()

    def abort_answer(self):
        self._end_stream()

    def _end_stream(self):
        if self.final != "begun" or self.stream_ended:
            self._breach("the end of an answer that had not begun or had already ended")
        self.stream_ended = True


class Clients:
    """All clients of the sidecar. Their requests go to `driver`, which has to be set first."""

    def __init__(self, loop, chance, oracle, settings):
        self.loop, self.chance, self.oracle, self.settings = loop, chance, oracle, settings
        self.driver = None
        self.calls: dict[int, ClientCall] = {}
        self.answer_by = float("inf")  # time by which requests have to be answered; finite in a shutdown

    def send_request(self):
        """Send a random request; it may be a large one, and its client may leave later."""
        rng = self.chance.rng
        request_class, row = self.settings.draw_class()
        limits = self.settings.limits
        budget = rng.choice([0.3, 1.0, 1.0]) * row["Deadline"]
        number, body, source, parts = len(self.calls) + 1, None, None, 0
        if rng.random() < 0.25:
            parts, source = rng.randrange(4), BodySource(lambda: self.oracle.now)
            length = len(FIRST_PART) * (parts + 1) if rng.random() < 0.5 else None
            body = Body(source, FIRST_PART, length)
        call = self.calls[number] = ClientCall(
            self,
            number,
            request_class=request_class.slot,
            row=row,
            limits=limits,
            budget=budget + DEADLINE_MARGIN_MS,  # the end of the budget is a multiple of `GRID_S`
            body=body,
            source=source,
        )
        large = "" if body is None else " large"
        self.oracle.note(f"arrive {number} {row['Name']} {row['Semantics']} {row['Group']} {budget}{large}")
        if body is not None:
            body.on_beginning_discarded = lambda: (
                call.request is not None and self.driver.body_discarded(call.request)
            )
        call.request = self.driver.accept_request(call, self.oracle.now)
        if body is not None:
            self.chance.call_later((0.0, 0.02, 0.1), self._feed, call, 1, parts)
            self.loop.call_later(1.0, self._cut_off, call)
        if rng.random() < 0.25:
            self.chance.call_later((0.0, 0.01, 0.02, 0.05, 0.1, 0.2), self._close, call)

    def _feed(self, call, number, parts):
        """Send the next part of a body, or its last byte after `parts` parts."""
        if call.departure_reported or not call.unanswered:
            return
        if call.source.paused:
            self.loop.call_later(GRID_S, self._feed, call, number, parts)
        elif number <= parts:
            call.sent += b"part%d" % number
            call.body.feed(b"part%d" % number)
            self.chance.call_later((0.0, 0.02, 0.1), self._feed, call, number + 1, parts)
        else:
            self.oracle.note(f"body read {call.number}")
            call.fully_read, call.read_at = True, self.oracle.now - call.read_lag
            call.answer_by = self.answer_by
            call.body.end()
            if call.request is not None:
                self.driver.body_read(call.request, self.oracle.now)

    def _cut_off(self, call):
        """Close the connection of a client whose body arrives too slowly."""
        if not call.fully_read and call.unanswered:
            self._close(call)

    def _close(self, call):
        """Close a client's connection; the program may learn of it later."""
        if call.closed_at is not None or not self._awaits_answer(call):
            return
        self.oracle.note(f"closed {call.number}")
        call.closed_at = self.oracle.now
        if self.chance.suspension_rate and self.chance.suspensions.random() < 0.5:
            # The close stays unread for about as long as the process may be suspended.
            self.loop.call_later(self.chance.suspensions.choice(UNREAD_S), self._report_departure, call)
        else:
            self._report_departure(call)

    def _awaits_answer(self, call):
        return call.request is not None and call.unanswered

    def _report_departure(self, call):
        if call.departure_reported or not self._awaits_answer(call):
            return
        self.oracle.note(f"gone {call.number}")
        call.departure_reported = True
        self.driver.client_disconnected(call.request)

    def read_slowly(self, call):
        """Let the client of a large answer stop reading for some time."""
        if call.flow is not None and not call.stream_ended and not call.departure_reported:
            call.flow.pause()
            self.chance.call_later((0.01, 0.1), self._resume_reading, call)

    def _resume_reading(self, call):
        if not call.stream_ended and not call.departure_reported:
            call.flow.resume()
