"""Injected defects: sidecars that break one rule each, which the judgement of the ledger has to find."""

from __future__ import annotations

from brassfall.balancer.model import RESET, EndpointEntry, Outcome, SendAttempt
from brassfall.lab.models.client import BROKEN, SERVED
from brassfall.lab.sim.sidecar import Attempt, Request, Sidecar

EVERY = 25  # a defect that concerns single requests concerns one in so many


class _Counting(Sidecar):
    """Counts the chances of its defect, so that it takes one in so many."""

    _seen = 0

    def is_due(self) -> bool:
        """Whether the defect is due at this chance."""
        self._seen += 1
        return self._seen % EVERY == 0


class NoticeTwice(_Counting):
    """Sends a request that must not run twice to a second server, where the first is slow to answer."""

    def send(self, now: float, action: SendAttempt) -> None:
        """Begin an attempt, and sometimes another one."""
        super().send(now, action)
        request = self.requests.get(action.request)
        if request is None or not request.attempts or not self.is_due():
            return
        if self.world.day.classes[request.call.client_request.cls].effect == "unsafe":
            others = [name for name in self.endpoints if name != action.server]
            super().send(now, action._replace(server=others[request.number % len(others)]))


class DropsAnswer(_Counting):
    """Closes the client's connection in place of passing an answer on."""

    def served(self, now: float, request: Request, attempt: Attempt) -> None:
        """The final answer: sometimes none."""
        if self.is_due():
            self.world.answered(now, request.call, BROKEN)
        else:
            super().served(now, request, attempt)


class AnswersLate(_Counting):
    """Holds an answer back until the client's time is over."""

    def served(self, now: float, request: Request, attempt: Attempt) -> None:
        """The final answer: sometimes far too late."""
        if self.is_due():
            self.world.at(now + 2.0 * request.call.budget, self._at_last, (request, attempt))
        else:
            super().served(now, request, attempt)

    def _at_last(self, now: float, late: tuple[Request, Attempt]) -> None:
        super().served(now, *late)


class IgnoresDrain(Sidecar):
    """Goes on sending to servers that drain or are gone."""

    def list_received(self, now: float, form: str, entries: list[EndpointEntry], index: int) -> None:
        """Changes of the list, all servers marked active."""
        as_active = [entry._replace(state="active") for entry in entries]
        super().list_received(now, form, as_active, index)


class CrossesKeys(_Counting):
    """Sends a request with the key of the one before it."""

    _last_key = ""

    def send(self, now: float, action: SendAttempt) -> None:
        """Begin an attempt, sometimes with a key that is another's."""
        request = self.requests.get(action.request)
        if request is None or not request.call.key:
            super().send(now, action)
            return
        mine, key = request.call.key, self._last_key
        self._last_key = mine
        if key and self.is_due():
            request.call.key = key
        super().send(now, action)
        request.call.key = mine


class CrossesAnswers(_Counting):
    """Answers a request with what was made for the one before it."""

    _last: tuple[str, str] = ("", "")

    def served(self, now: float, request: Request, attempt: Attempt) -> None:
        """The final answer, sometimes another request's."""
        by, of = self._last
        self._last = (attempt.server.name, attempt.of)
        if of and self.is_due():
            self.world.answered(now, request.call, SERVED, by=by, of=of)
        else:
            super().served(now, request, attempt)


class LosesOnReset(Sidecar):
    """Loses a request whose connection to a server has broken."""

    def ended(self, now: float, attempt: Attempt, outcome: Outcome, report: float | None = None) -> None:
        """The outcome of an attempt."""
        if outcome is RESET and not attempt.over and not attempt.request.ended:
            attempt.request.ended = True
            self.world.answered(now, attempt.request.call, BROKEN)
        super().ended(now, attempt, outcome, report)


class FloodsWarmingUp(Sidecar):
    """Sends everything to the server that has started last, for some seconds."""

    _newest = ""
    _until = 0.0

    def list_received(self, now: float, form: str, entries: list[EndpointEntry], index: int) -> None:
        """Changes of the list; the newest server is noted."""
        started = [entry for entry in entries if entry.state == "active" and entry.started > 0.0]
        if started:
            self._newest = max(started, key=lambda entry: entry.started).server
            self._until = now + 4000.0
        super().list_received(now, form, entries, index)

    def send(self, now: float, action: SendAttempt) -> None:
        """Begin an attempt, at the newest server."""
        chosen = self._newest if now < self._until else action.server
        super().send(now, action._replace(server=chosen))


class GoesOn(_Counting):
    """Refuses a request, and sends it to a server afterwards."""

    def refused(self, now: float, request: Request, retry_after: float) -> None:
        """The final answer, after which it sometimes sends the request."""
        super().refused(now, request, retry_after)
        if self.is_due():
            self.world.at(now + 60.0, self._send_on, request)

    def _send_on(self, now: float, request: Request) -> None:
        host = self.world.servers[next(iter(self.endpoints))]
        attempt = Attempt(self, request, len(request.attempts), host, now)
        attempt.over = True
        self.world.carry(now, self, attempt)


class Invents(_Counting):
    """Answers with what no server has sent."""

    def refused(self, now: float, request: Request, retry_after: float) -> None:
        """The final answer: sometimes an invented one."""
        if self.is_due():
            self.world.answered(now, request.call, SERVED)
        else:
            super().refused(now, request, retry_after)


class RefusesWhatRan(_Counting):
    """Says that a request was refused, though a server has run it."""

    def served(self, now: float, request: Request, attempt: Attempt) -> None:
        """The final answer: sometimes a refusal."""
        if self.is_due():
            self.refused(now, request, 0.0)
        else:
            super().served(now, request, attempt)


# Each defect by its name in experiment files, and the rule that it breaks.
DEFECTS: dict[str, tuple[type[Sidecar], str]] = {
    "notice-twice": (NoticeTwice, "ran twice"),
    "drops-answer": (DropsAnswer, "lost"),
    "answers-late": (AnswersLate, "unanswered"),
    "ignores-drain": (IgnoresDrain, "drain"),
    "crosses-keys": (CrossesKeys, "altered"),
    "crosses-answers": (CrossesAnswers, "invented"),
    "loses-on-reset": (LosesOnReset, "lost"),
    "floods-cold": (FloodsWarmingUp, "cold server"),
    "goes-on": (GoesOn, "sent after its answer"),
    "invents": (Invents, "invented"),
    "refuses-what-ran": (RefusesWhatRan, "refused after it ran"),
}
