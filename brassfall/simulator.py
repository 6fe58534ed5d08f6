"""Adapter between the simulator's line protocol and the balancer: parses events and prints actions."""

from __future__ import annotations

import base64
import json
import os
import sys
from collections.abc import Callable
from typing import TextIO

from brassfall.balancer import Balancer, Settings, events, model

STATES = ("active", "leaving", "left")  # Valid states of a server in the endpoint list
FORMS = {form.value: form for form in model.ListForm}
DISCOVERY_FAILED = "refused"  # Value of the member `Form` for a failed call, where a list has its form


class WireError(Exception):
    """A line from the simulator that violates its protocol."""

    action = "compare the simulator's line with the description of its protocol; the adapter exits"


class ModuleError(Exception):
    """An exception that the balancer raised while it handled an event; it is the cause of this error."""

    action = "report the exception with its traceback: it is a defect of the balancer"


# --- timer tags: the prefix of a tag identifies the type of the timer -------------------------------

RETRY_TAG = "watch"  # Complete tag of a `DiscoveryRetryTimer`
OBJECTIVE_PREFIX = "due"
QUEUE_DEADLINE_PREFIX = "late"
KEY_PAUSE_PREFIX = "turn"
IDLE_CLOSE_PREFIX = "close"


def timer_token(token: model.TimerToken) -> str:
    """Return the tag in the line protocol that represents the token of a timer."""
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
    """Return the token that a timer tag represents, or None if the tag is not from the balancer.

    Raise `ValueError` if a part of the tag that has to be a number is none.
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


# --- actions as lines -------------------------------------------------------------------------------


def _action_line(action: model.Action) -> str:  # noqa: C901 - one case for each action
    """Return the line that requests an action from the simulator."""
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


# --- lines as events --------------------------------------------------------------------------------


def _parse_members(line: str, last: str = "") -> dict[str, str]:
    """Return the name=value pairs of a line; the value of the member `last` extends to its end."""
    tail = None
    if last:
        line, found, tail = line.partition(f" {last}=")
        if not found:
            message = f"member {last} is missing"
            raise WireError(message)
    members = {}
    for part in line.split(" ")[1:]:
        name, found, value = part.partition("=")
        if not found:
            message = f"{part!r} does not have the form name=value"
            raise WireError(message)
        members[name] = value
    if tail is not None:
        members[last] = tail
    return members


def _parse_load_report(text: str | None) -> events.LoadReport | None:
    if text is None:
        return None
    report = {}
    for pair in text.split(","):
        name, found, value = pair.partition(":")
        if not found:
            message = f"Report: {pair!r} does not have the form name:value"
            raise WireError(message)
        report[name] = float(value)
    return report


def _parse_outcome(text: str) -> model.Outcome:
    number = int(text)
    if not 0 <= number <= model.Outcome.ABANDONED:
        message = f"Status: {number} is not a known outcome: 0 to {model.Outcome.ABANDONED} are allowed"
        raise WireError(message)
    return model.Outcome(number)


def _decode_base64(text: str) -> bytes:
    return b"" if text == "-" else base64.b64decode(text, validate=True)


def _parse_endpoint_entry(members: dict[str, str]) -> model.EndpointEntry:
    state = members.get("StageState", "active")
    if state not in STATES:
        message = f"StageState: {state!r} is not one of {', '.join(STATES)}"
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
        outcome=_parse_outcome(members["Status"]),
        elapsed=float(members.get("Spent", 0.0)),
        request_ended=members.get("Last") == "1",
        report=_parse_load_report(members.get("Report")),
    )


def _answer_started(members: dict[str, str]) -> events.AnswerStarted:
    return events.AnswerStarted(int(members["RequestId"]), int(members.get("Hop", 0)))


def _health_check_ended(members: dict[str, str]) -> events.HealthCheckEnded:
    return events.HealthCheckEnded(
        server=members["Server"],
        outcome=_parse_outcome(members["Status"]),
        elapsed=float(members.get("Spent", 0.0)),
        report=_parse_load_report(members.get("Report")),
    )


def _peer_message(members: dict[str, str]) -> events.PeerMessageReceived:
    return events.PeerMessageReceived(int(members["OriginPeer"]), _decode_base64(members.get("Msg", "-")))


def _client_left(members: dict[str, str]) -> events.ClientLeft:
    return events.ClientLeft(int(members["RequestId"]))


def _timer_due(members: dict[str, str]) -> events.TimerDue | None:
    """Return the event of an expired timer, or None if its tag is not from the balancer.

    Raise `ModuleError` if a tag of the balancer can't be parsed, because that is a defect of the balancer.
    """
    tag = members["Tag"]
    try:
        token = parse_timer(tag)
    except ValueError as error:
        raise ModuleError from error
    return None if token is None else events.TimerDue(token)


# Parsers of the messages that are converted into one event using only their members; None stands for no
# event.
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
    """The balancers of this process, and the state of the batch of messages that is being processed."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self._source = source
        self._sink = sink
        self._line_number = 0
        self._balancers: dict[str, Balancer] = {}
        self._lists: dict[int, list[model.EndpointEntry]] = {}
        self._instance: str | None = None  # Balancer that the current lines of the batch refer to
        self._replying: str | None = None  # Balancer that the last lines of the reply refer to
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
        """Process batches until the input ends; return the exit code of the process."""
        try:
            while self._process_batch():
                pass
        except (WireError, ValueError, KeyError) as error:
            problem = f"member {error.args[0]} is missing" if isinstance(error, KeyError) else error
            print(f"line {self._line_number}: {problem}", file=sys.stderr)
            return 1
        except ModuleError as error:
            self._report_fatal(error)
            return 1
        return 0

    def _read_line(self) -> str | None:
        line = self._source.readline()
        if not line:
            return None
        self._line_number += 1
        return line.rstrip("\n")

    def _process_batch(self) -> bool:
        """Process one batch and write its reply; return False at the end of the input."""
        line = self._read_line()
        if line is None:
            return False
        if line.partition(" ")[0] != "sync":
            message = f"expected sync at the start of a batch, found {line[:60]!r}"
            raise WireError(message)
        members = _parse_members(line)
        self._now, sequence = float(members["Now"]), int(members["seq"])
        self._instance = self._replying = None
        self._replies = []
        while (line := self._read_line()) is not None:
            kind = line.partition(" ")[0]
            if kind == "over_to_you":
                break
            self._handle_message(kind, line)
        else:
            message = "the input ends within a batch, without over_to_you"
            raise WireError(message)
        self._replies.append(f"yield seq={sequence}\n")
        self._sink.write("\n".join(self._replies))
        self._sink.flush()
        return True

    def _handle_message(self, kind: str, line: str) -> None:
        if (parse := EVENTS.get(kind)) is not None:
            members = _parse_members(line)
            balancer = self._current_balancer()
            event = parse(members)
            if event is not None:
                self._step(balancer, event)
        elif (handle := self._messages.get(kind)) is not None:
            handle(line)
        else:
            message = f"unknown message {kind[:60]!r} in a batch"
            raise WireError(message)

    def _report_fatal(self, error: ModuleError) -> None:
        cause = error.__cause__
        text = " ".join(f"{type(cause).__name__}: {cause}".split())
        self._sink.write(f"speaking SidecarId={self._instance}\nfatal ReasonText={text}\n")
        self._sink.flush()
        print(f"line {self._line_number}: {text}", file=sys.stderr)

    def _current_balancer(self) -> Balancer:
        name = self._current_instance()
        balancer = self._balancers.get(name)
        if balancer is None:
            message = f"balancer {name} is not born: no born message precedes this event"
            raise WireError(message)
        return balancer

    def _current_instance(self) -> str:
        if self._instance is None:
            message = "found an event before any context message of the batch"
            raise WireError(message)
        return self._instance

    def _step(self, balancer: Balancer, event: events.Event) -> None:
        """Pass an event to a balancer and add its actions to the reply.

        Raise `ModuleError` for any exception of the balancer, because it is no error of the line protocol.
        """
        try:
            actions = balancer.step(self._now, event)
        except Exception as error:
            raise ModuleError from error
        if not actions:
            return
        if self._replying != self._instance:
            self._replying = self._instance
            self._replies.append(f"speaking SidecarId={self._instance}")
        self._replies += map(_action_line, actions)

    def _context(self, line: str) -> None:
        self._instance = _parse_members(line)["SidecarId"]

    def _born(self, line: str) -> None:
        name = self._current_instance()
        members = _parse_members(line, last="Setup")
        settings = Settings.parse(json.loads(members["Setup"]))
        self._balancers[name] = Balancer(self._now, settings, int(members["RngSeed"]))

    def _kill(self, _line: str) -> None:
        self._current_balancer()
        del self._balancers[self._current_instance()]

    def _snapshot_rows(self, line: str) -> None:
        members = _parse_members(line)
        entries = []
        for _ in range(int(members["Elements"])):
            item = self._read_line()
            if item is None or item.partition(" ")[0] != "item":
                message = f"list {members['List']}: fewer than {members['Elements']} item messages follow"
                raise WireError(message)
            entries.append(_parse_endpoint_entry(_parse_members(item)))
        self._lists[int(members["List"])] = entries

    def _discovery(self, line: str) -> None:
        members = _parse_members(line)
        form = members["Form"]
        if form == DISCOVERY_FAILED:
            self._step(self._current_balancer(), events.DiscoveryFailed())
            return
        if form not in FORMS:
            message = f"Form: {form!r} is not one of {', '.join((*FORMS, DISCOVERY_FAILED))}"
            raise WireError(message)
        number = int(members["List"])
        if number not in self._lists:
            message = f"list {number} is unknown: no snapshot_rows message precedes it"
            raise WireError(message)
        self._step(self._current_balancer(), events.EndpointListReceived(FORMS[form], self._lists[number]))


def main() -> int:
    """Run the adapter on standard input and output; return the exit code of the process."""
    try:
        return Host(sys.stdin, sys.stdout).run()
    except BrokenPipeError:
        # The simulator has closed the pipe. Standard output is redirected, so that the interpreter does not
        # fail when it flushes the remaining output at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0


if __name__ == "__main__":
    sys.exit(main())
