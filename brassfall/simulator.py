"""The adapter to the simulator's wire: lines become events, and actions become lines."""

from __future__ import annotations

import base64
import json
import os
import sys
from collections.abc import Callable
from typing import TextIO

from brassfall.balancer import Balancer, Settings, events, model

STATES = ("active", "leaving", "left")
FORMS = {form.value: form for form in model.ListForm}
DISCOVERY_FAILED = "refused"  # in place of a list's form


class WireError(Exception):
    """A line from the simulator that is not of its wire."""

    action = "look at the simulator's line and at the pages of its wire; the adapter ends"


class ModuleError(Exception):
    """The decision module raised while it handled an event."""

    action = "report it with the traceback: a defect of the decision module"


# --- timers on the wire: the prefix says what a timer is about -------------------------------------

RETRY_TAG = "watch"
OBJECTIVE_PREFIX = "due"
QUEUE_DEADLINE_PREFIX = "late"
KEY_PAUSE_PREFIX = "turn"
IDLE_CLOSE_PREFIX = "close"


def timer_token(token: model.TimerToken) -> str:
    """Return a timer as its tag on the wire."""
    match token:
        case model.ObjectiveTimer(request, attempt):
            return f"{OBJECTIVE_PREFIX}:{request}:{attempt}"
        case model.QueueDeadlineTimer(request):
            return f"{QUEUE_DEADLINE_PREFIX}:{request}"
        case model.KeyPauseTimer(key):
            return f"{KEY_PAUSE_PREFIX}:{key}"
        case model.IdleCloseTimer(server):
            return f"{IDLE_CLOSE_PREFIX}:{server}"
        case model.DiscoveryRetryTimer():
            return RETRY_TAG


def parse_timer(tag: str) -> model.TimerToken | None:
    """Return the timer that a tag on the wire stands for, or None if it is not one of the balancer's own.

    `ValueError` if a number in it is none.
    """
    if tag == RETRY_TAG:
        return model.DiscoveryRetryTimer()
    prefix, _, rest = tag.partition(":")
    if prefix == OBJECTIVE_PREFIX:
        request, _, attempt = rest.partition(":")
        return model.ObjectiveTimer(int(request), int(attempt))
    if prefix == QUEUE_DEADLINE_PREFIX:
        return model.QueueDeadlineTimer(int(rest))
    if prefix == KEY_PAUSE_PREFIX:
        return model.KeyPauseTimer(int(rest))
    if prefix == IDLE_CLOSE_PREFIX:
        return model.IdleCloseTimer(rest)
    return None


# --- actions on the wire ----------------------------------------------------------------------------


def _line(action: model.Action) -> str:  # noqa: C901 - a case an action
    """Return the line that asks the simulator for an action."""
    match action:
        case model.SendAttempt():
            return f"relay RequestId={action.request} Server={action.server} Timeout={action.timeout:.3f}"
        case model.StartTimer():
            return f"defer SleepFor={action.delay:.3f} Tag={timer_token(action.token)}"
        case model.RefuseRequest():
            return f"busy RequestId={action.request} ComeBack={action.retry_after:.3f}"
        case model.FailRequest():
            return f"finish_error RequestId={action.request}"
        case model.CancelAttempt():
            return f"retract RequestId={action.request} Hop={action.attempt}"
        case model.CloseIdleConnections():
            return f"close_idle Server={action.server}"
        case model.WatchEndpointList():
            return f"subscribe Want={int(action.on)}"
        case model.FetchEndpointList():
            return "resolve"
        case model.CheckServerHealth():
            return f"poll Server={action.server}"
        case model.SendPeerMessage():
            peer = "*" if action.peer is None else action.peer
            return f"tell Whom={peer} Msg={base64.b64encode(action.data).decode() or '-'}"
        case model.WriteLog():
            return f"log ReasonText={action.text}"


# --- events on the wire -----------------------------------------------------------------------------


def _members(line: str, last: str = "") -> dict[str, str]:
    """Return the name=value pairs of a line; the value of the member `last` runs to its end."""
    tail = None
    if last:
        line, found, tail = line.partition(f" {last}=")
        if not found:
            message = f"{last} is missing"
            raise WireError(message)
    members = {}
    for part in line.split(" ")[1:]:
        name, found, value = part.partition("=")
        if not found:
            message = f"{part!r} is not name=value"
            raise WireError(message)
        members[name] = value
    if tail is not None:
        members[last] = tail
    return members


def _load_report(text: str | None) -> events.LoadReport | None:
    if text is None:
        return None
    report = {}
    for pair in text.split(","):
        name, found, value = pair.partition(":")
        if not found:
            message = f"Report: {pair!r} is not name:value"
            raise WireError(message)
        report[name] = float(value)
    return report


def _outcome(text: str) -> model.Outcome:
    number = int(text)
    if not 0 <= number <= model.Outcome.ABANDONED:
        message = f"Status: {number} is not known"
        raise WireError(message)
    return model.Outcome(number)


def _bytes(text: str) -> bytes:
    return b"" if text == "-" else base64.b64decode(text, validate=True)


def _listing(members: dict[str, str]) -> model.EndpointEntry:
    state = members.get("StageState", "active")
    if state not in STATES:
        message = f"StageState: {state!r} is not known"
        raise WireError(message)
    return model.EndpointEntry(
        server=members["Server"],
        zone=int(members.get("RegionPart", 0)),
        kind=int(members.get("Sku", 0)),
        cell=int(members.get("Stripe", 0)),
        state=state,
        weight=float(members.get("Weight", 1.0)),
        started=float(members.get("BootTime", 0.0)),
    )


def _request_arrived(members: dict[str, str]) -> events.RequestArrived:
    key, work = members.get("NameKey"), members.get("Work")
    return events.RequestArrived(
        request=int(members["RequestId"]),
        request_class=int(members.get("Band", 0)),
        give_up_at=float(members["GiveUpAt"]),
        tenant=int(members.get("Tenant", 0)),
        key=None if key is None else int(key),
        work=None if work is None else float(work),
        retried=members.get("AgainByClient") == "1",
        mutates=members.get("Mutates") == "1",
    )


def _attempt_ended(members: dict[str, str]) -> events.AttemptEnded:
    return events.AttemptEnded(
        request=int(members["RequestId"]),
        attempt=int(members.get("Hop", 0)),
        outcome=_outcome(members["Status"]),
        elapsed=float(members.get("Spent", 0.0)),
        request_ended=members.get("Last") == "1",
        report=_load_report(members.get("Report")),
    )


def _answer_started(members: dict[str, str]) -> events.AnswerStarted:
    return events.AnswerStarted(int(members["RequestId"]), int(members.get("Hop", 0)))


def _health_check_ended(members: dict[str, str]) -> events.HealthCheckEnded:
    return events.HealthCheckEnded(
        server=members["Server"],
        outcome=_outcome(members["Status"]),
        elapsed=float(members.get("Spent", 0.0)),
        report=_load_report(members.get("Report")),
    )


def _peer_message(members: dict[str, str]) -> events.PeerMessageReceived:
    return events.PeerMessageReceived(int(members["OriginPeer"]), _bytes(members.get("Msg", "-")))


def _client_left(members: dict[str, str]) -> events.ClientLeft:
    return events.ClientLeft(int(members["RequestId"]))


def _timer_due(members: dict[str, str]) -> events.TimerDue | None:
    """Return the event of a timer; a tag of ours that can't be read is a defect of the decisions."""
    tag = members["Tag"]
    try:
        token = parse_timer(tag)
    except ValueError as error:
        raise ModuleError from error
    return None if token is None else events.TimerDue(token)


# Messages that become one event, from their members alone; None is no event.
EVENTS: dict[str, Callable[[dict[str, str]], events.Event | None]] = {
    "arrival": _request_arrived,
    "verdict": _attempt_ended,
    "tick_due": _timer_due,
    "first": _answer_started,
    "ping_result": _health_check_ended,
    "whisper": _peer_message,
    "aborted": _client_left,
}


class Host:
    """The balancers of one process, and the batch that is being read."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self._source = source
        self._sink = sink
        self._line_number = 0
        self._balancers: dict[str, Balancer] = {}
        self._lists: dict[int, list[model.EndpointEntry]] = {}
        self._instance: str | None = None  # that the lines of the batch are about
        self._answering: str | None = None  # that the last lines of the reply are about
        self._replies: list[str] = []
        self._now = 0.0
        self._messages: dict[str, Callable[[str], None]] = {
            "context": self._context,
            "born": self._born,
            "kill": self._kill,
            "snapshot_rows": self._snapshot_rows,
            "discovery": self._discovery,
        }

    def run(self) -> int:
        """Answer batches until the input ends; return the exit code."""
        try:
            while self._batch():
                pass
        except (WireError, ValueError, KeyError) as error:
            problem = f"{error.args[0]} is missing" if isinstance(error, KeyError) else error
            print(f"line {self._line_number}: {problem}", file=sys.stderr)
            return 1
        except ModuleError as error:
            self._fatal(error)
            return 1
        return 0

    def _read(self) -> str | None:
        line = self._source.readline()
        if not line:
            return None
        self._line_number += 1
        return line.rstrip("\n")

    def _batch(self) -> bool:
        """Answer one batch; return False at the end of the input."""
        line = self._read()
        if line is None:
            return False
        if line.partition(" ")[0] != "sync":
            message = f"expected sync, found {line[:60]!r}"
            raise WireError(message)
        members = _members(line)
        self._now, sequence = float(members["Now"]), int(members["seq"])
        self._instance = self._answering = None
        self._replies = []
        while (line := self._read()) is not None:
            kind = line.partition(" ")[0]
            if kind == "over_to_you":
                break
            self._message(kind, line)
        else:
            message = "the batch ends without over_to_you"
            raise WireError(message)
        self._replies.append(f"yield seq={sequence}\n")
        self._sink.write("\n".join(self._replies))
        self._sink.flush()
        return True

    def _message(self, kind: str, line: str) -> None:
        if (read := EVENTS.get(kind)) is not None:
            members = _members(line)
            balancer = self._balancer()
            event = read(members)
            if event is not None:
                self._step(balancer, event)
        elif (handle := self._messages.get(kind)) is not None:
            handle(line)
        else:
            message = f"unknown message {kind[:60]!r}"
            raise WireError(message)

    def _fatal(self, error: ModuleError) -> None:
        cause = error.__cause__
        text = " ".join(f"{type(cause).__name__}: {cause}".split())
        self._sink.write(f"speaking SidecarId={self._instance}\nfatal ReasonText={text}\n")
        self._sink.flush()
        print(f"line {self._line_number}: {text}", file=sys.stderr)

    def _balancer(self) -> Balancer:
        name = self._context_name()
        balancer = self._balancers.get(name)
        if balancer is None:
            message = f"{name} is not born"
            raise WireError(message)
        return balancer

    def _context_name(self) -> str:
        if self._instance is None:
            message = "an event before any context"
            raise WireError(message)
        return self._instance

    def _step(self, balancer: Balancer, event: events.Event) -> None:
        """Give an event to a balancer and add its actions to the reply.

        `ModuleError` for whatever the balancer raises: that is no fault of the wire.
        """
        try:
            actions = balancer.step(self._now, event)
        except Exception as error:
            raise ModuleError from error
        if not actions:
            return
        if self._answering != self._instance:
            self._answering = self._instance
            self._replies.append(f"speaking SidecarId={self._instance}")
        self._replies += map(_line, actions)

    def _context(self, line: str) -> None:
        self._instance = _members(line)["SidecarId"]

    def _born(self, line: str) -> None:
        name = self._context_name()
        members = _members(line, last="Setup")
        settings = Settings.parse(json.loads(members["Setup"]))
        self._balancers[name] = Balancer(self._now, settings, int(members["RngSeed"]))

    def _kill(self, _line: str) -> None:
        self._balancer()
        del self._balancers[self._context_name()]

    def _snapshot_rows(self, line: str) -> None:
        members = _members(line)
        entries = []
        for _ in range(int(members["Elements"])):
            item = self._read()
            if item is None or item.partition(" ")[0] != "item":
                message = "a list is short of entries"
                raise WireError(message)
            entries.append(_listing(_members(item)))
        self._lists[int(members["List"])] = entries

    def _discovery(self, line: str) -> None:
        members = _members(line)
        form = members["Form"]
        if form == DISCOVERY_FAILED:
            self._step(self._balancer(), events.DiscoveryFailed())
            return
        if form not in FORMS:
            message = f"Form: {form!r} is not known"
            raise WireError(message)
        number = int(members["List"])
        if number not in self._lists:
            message = f"list {number} was not given"
            raise WireError(message)
        self._step(self._balancer(), events.EndpointListReceived(FORMS[form], self._lists[number]))


def main() -> int:
    """Serve the wire on standard input and output."""
    try:
        return Host(sys.stdin, sys.stdout).run()
    except BrokenPipeError:
        # The simulator has closed the pipe: leave nothing for the interpreter to flush.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0


if __name__ == "__main__":
    sys.exit(main())
