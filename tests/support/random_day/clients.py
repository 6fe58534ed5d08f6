"""The model of the clients: their requests, bodies that come slowly, answers, and clients that leave."""

from __future__ import annotations

import re

from brassfall.sidecar.body import Body
from brassfall.sidecar.core.request_lifecycle import DEADLINE_MARGIN_MS

GRID_S = 0.01  # times lie on it, so that events meet in one turn of the loop
UNREAD_S = (0.05, 0.13, 0.2)  # how long the end of a client's connection may lie unread
FIRST_PART = b"part0"


class BodySource:
    """The client's side of a body."""

    paused = False

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False


class ClientCall:
    """A request, as the driver sees it (`interfaces.Call`), and what the oracle knows of it."""

    client_retry = mutates = False
    work = None

    def __init__(self, clients, number, *, request_class, row, limits, budget, body=None, source=None):
        rng, now = clients.chance.rng, clients.oracle.now
        self.clients, self.number, self.request_class = clients, number, request_class
        self.row, self.limits, self.budget, self.body, self.source = row, limits, budget, body, source
        self.sent = bytearray(FIRST_PART if body is not None else b"")
        self.ended = body is None  # its last byte has been read
        self.read_at, self.until = now, clients.answer_by
        self.key, self.tenant = rng.choice([None, 1, 2]), rng.randrange(2)
        self.request = None
        self.final: str | None = None
        self.flow_over = self.gone = False
        self.closed_at = None  # when its client closed, of which the program may be notified later
        self.flow = None
        self.writes: list = []
        self.decided: list[tuple[float, str]] = []

    @property
    def reading(self):
        return self.body is not None and not self.body.complete

    @property
    def give_up_at(self):
        return min(self.read_at + self.budget - DEADLINE_MARGIN_MS, self.until)

    @property
    def unanswered(self):
        """True if a client that waits still gets something."""
        return not self.flow_over and self.final in (None, "begun")

    def client_left(self):
        return self.closed_at is not None

    def request_bytes(self, left):
        framing = b"" if self.body is None else self.body.header
        return b"POST /x HTTP/1.1\r\nX-Id: %d\r\nX-Left: %.3f\r\n%b\r\n" % (self.number, left, framing)

    def is_complete(self, body):
        """Whether a server that has read so much has all; what it has must be what the client sent."""
        if self.body is None:
            return True
        if self.body.length is None:
            plain = b"".join(re.findall(rb"[0-9a-f]+\r\n([^\r]+)\r\n", body))
            done = body.endswith(b"0\r\n\r\n")
        else:
            plain, done = bytes(body), len(body) == self.body.length
        if not self.sent.startswith(plain):
            self._breach("not the body that its client sent")
        return done and self.ended

    def _breach(self, text):
        self.clients.oracle.breach(f"request {self.number}: {text}")

    # --- the program's answers

    def _answered(self, how):
        self.clients.oracle.answered(self, how, hold_ups=bool(self.clients.chance.hold_up_rate))

    def send_answer(self, answer):
        if answer.body != b"ok %d" % self.number:
            self._breach("served with what is no answer to it")
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
        if self.flow_over:
            self._breach("more of an answer that was over")

    def finish_answer(self):
        self._over()

    def abort_answer(self):
        self._over()

    def _over(self):
        if self.final != "begun" or self.flow_over:
            self._breach("the end of an answer that had not begun, or a second")
        self.flow_over = True


class Clients:
    """All clients; the driver takes their requests once it is set."""

    def __init__(self, loop, chance, oracle, settings):
        self.loop, self.chance, self.oracle, self.settings = loop, chance, oracle, settings
        self.driver = None
        self.calls: dict[int, ClientCall] = {}
        self.answer_by = float("inf")  # once the program stops

    def arrive(self):
        """Send a request, perhaps a large one, perhaps of a client that leaves."""
        rng = self.chance.rng
        kind, row = self.settings.draw_class()
        limits = self.settings.limits
        budget = rng.choice([0.3, 1.0, 1.0]) * row["Deadline"]
        number, body, source, parts = len(self.calls) + 1, None, None, 0
        if rng.random() < 0.25:
            parts, source = rng.randrange(4), BodySource()
            length = len(FIRST_PART) * (parts + 1) if rng.random() < 0.5 else None
            body = Body(source, FIRST_PART, length)
        call = self.calls[number] = ClientCall(
            self,
            number,
            request_class=kind.slot,
            row=row,
            limits=limits,
            budget=budget + DEADLINE_MARGIN_MS,  # so that its end lies on the grid
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
            self.chance.later((0.0, 0.02, 0.1), self._feed, call, 1, parts)
            self.loop.call_later(1.0, self._cut_off, call)
        if rng.random() < 0.25:
            self.chance.later((0.0, 0.01, 0.02, 0.05, 0.1, 0.2), self._close, call)

    def _feed(self, call, number, parts):
        """Send the next part of a body, or its end."""
        if call.gone or not call.unanswered:
            return
        if call.source.paused:
            self.loop.call_later(GRID_S, self._feed, call, number, parts)
        elif number <= parts:
            call.sent += b"part%d" % number
            call.body.feed(b"part%d" % number)
            self.chance.later((0.0, 0.02, 0.1), self._feed, call, number + 1, parts)
        else:
            self.oracle.note(f"body read {call.number}")
            call.ended, call.read_at, call.until = True, self.oracle.now, self.answer_by
            call.body.end()
            if call.request is not None:
                self.driver.body_read(call.request, self.oracle.now)

    def _cut_off(self, call):
        """Give up a body that has come too slowly."""
        if not call.ended and call.unanswered:
            self._close(call)

    def _close(self, call):
        """Close a client's connection; the program may be notified later."""
        if call.closed_at is not None or not self._awaits(call):
            return
        self.oracle.note(f"closed {call.number}")
        call.closed_at = self.oracle.now
        if self.chance.hold_up_rate and self.chance.hold_ups.random() < 0.5:
            # The end of its connection lies unread for as long as the process may be held up.
            self.loop.call_later(self.chance.hold_ups.choice(UNREAD_S), self._notify_gone, call)
        else:
            self._notify_gone(call)

    def _awaits(self, call):
        return call.request is not None and call.unanswered

    def _notify_gone(self, call):
        if call.gone or not self._awaits(call):
            return
        self.oracle.note(f"gone {call.number}")
        call.gone = True
        self.driver.client_disconnected(call.request)

    def read_slowly(self, call):
        """Let the client of a large answer stop reading for a while."""
        if call.flow is not None and not call.flow_over and not call.gone:
            call.flow.pause()
            self.chance.later((0.01, 0.1), self._read_on, call)

    def _read_on(self, call):
        if not call.flow_over and not call.gone:
            call.flow.resume()
