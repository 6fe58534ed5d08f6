"""The rules of the operators' protocol, checked on the ledger of a play. Pure code.

Only what servers, clients and the network recorded counts, never what a sidecar says of itself.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from brassfall.lab.ledger import Answer, Attempt, Incarnation, ListEvent
from brassfall.lab.models.client import BROKEN, FAILED, REFUSED, SERVED, SILENT
from brassfall.lab.spec import RequestClass

DRAIN_MS = 500.0  # after the notice that a server drains, a sidecar may still send to it
NOTIFIED_SHARE = 2.0 / 3.0  # of the work that made a server collapse: from sidecars that knew of its start
COLLAPSE_SLACK = 1.05

RULES = {
    "lost": "a request was taken and never answered whole",
    "unanswered": "no final answer by the end of a request's time",
    "invented": "served with what no server made for the request",
    "ran twice": "a request that may not be repeated ran more than once",
    "refused after it ran": "refused, though it may have run",
    "sent after its answer": "an attempt was sent after the final answer",
    "altered": "class or key of an attempt are not the client's",
    "unknown": "an attempt for a request that no client sent",
    "drain": "sent to a server later than allowed after the sidecar was told that it drains or is gone",
    "cold server": "a cold server was sent more than it could take",
}


class Finding(msgspec.Struct):
    """One rule that was broken."""

    rule: str
    count: int
    first: str  # case


class Collapse(NamedTuple):
    """When a server that warms up collapses: at `multiple` times its present capacity within `span` ms."""

    multiple: float
    span: float


@dataclass(slots=True)
class Findings:
    """Collects broken rules."""

    found: dict[str, Finding] = field(default_factory=dict)

    def add(self, rule: str, case: str) -> None:
        """One case of a broken rule."""
        finding = self.found.setdefault(rule, Finding(rule, 0, case))
        finding.count += 1

    def in_order(self) -> list[Finding]:
        """By the order of the rules."""
        return [self.found[rule] for rule in RULES if rule in self.found]


@dataclass(frozen=True, slots=True)
class Records:
    """The rows of one play."""

    answers: Sequence[Answer]
    attempts: Sequence[Attempt]
    events: Sequence[ListEvent]
    incarnations: Sequence[Incarnation]


class _Notice(NamedTuple):
    """What one sidecar is notified of: one incarnation of a server."""

    sidecar: str
    server: str
    incarnation: int


def broken_rules(
    records: Records, classes: Mapping[str, RequestClass], slack: float, collapse: Collapse
) -> list[Finding]:
    """Every rule that a play broke. `slack` is what is allowed for transit, in ms."""
    findings = Findings()
    attempts = attempts_by_id(records)
    calls = {answer.id: answer for answer in records.answers}
    for answer in records.answers:
        _check_call(findings, answer, attempts.get(answer.id, []), classes[answer.cls], slack)
    for attempt in records.attempts:
        if attempt.id not in calls:
            findings.add("unknown", f"{attempt.id} at {attempt.server}, {attempt.at:.0f} ms")
    _check_drains(findings, records, calls, slack)
    _check_warmups(findings, records, calls, collapse)
    return findings.in_order()


def attempts_by_id(records: Records) -> dict[str, list[Attempt]]:
    """The attempts of each call, by the call's id."""
    found: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in records.attempts:
        found[attempt.id].append(attempt)
    return found


# --- single calls ------------------------------------------------------------------------------


def _check_call(
    findings: Findings,
    answer: Answer,
    unordered: Sequence[Attempt],
    request_class: RequestClass,
    slack: float,
) -> None:
    attempts = sorted(unordered, key=lambda attempt: attempt.sent)
    case = f"{answer.id} ({answer.cls}) of {answer.sidecar}, due at {answer.due:.0f} ms"
    for rule, detail in _broken_by(answer, attempts, request_class, slack):
        findings.add(rule, f"{case}: {detail}" if detail else case)


def _broken_by(
    answer: Answer, attempts: Sequence[Attempt], request_class: RequestClass, slack: float
) -> Iterator[tuple[str, str]]:
    """The rules that one call broke, and the details; its attempts are in order of time."""
    if not answer.excused:
        if answer.status == BROKEN:
            yield "lost", ""
        elif answer.status == SILENT or answer.end > answer.sent + answer.budget + slack:
            yield "unanswered", ""
    if answer.status == SERVED and not _was_made(answer, attempts):
        yield "invented", f"{answer.of or 'nothing'} by {answer.by or 'nobody'}"
    yield from _repetitions(answer, attempts, request_class, slack)
    # A client that has gone away does not show what its sidecar knew, unless it was answered.
    was_answered = answer.status in (SERVED, REFUSED, FAILED)
    if was_answered and attempts and attempts[-1].sent > answer.end + slack:
        yield "sent after its answer", f"{attempts[-1].sent - answer.end:.0f} ms after it"
    for attempt in attempts:
        if attempt.cls != answer.cls or attempt.key != answer.key:
            yield "altered", f"{attempt.cls} {attempt.key} at {attempt.server}"


def _was_made(answer: Answer, attempts: Sequence[Attempt]) -> bool:
    """Whether the server that an answer names made it, for this call."""
    return answer.of == answer.id and any(
        attempt.server == answer.by and attempt.outcome == "ok" for attempt in attempts
    )


def _repetitions(
    answer: Answer, attempts: Sequence[Attempt], request_class: RequestClass, slack: float
) -> Iterator[tuple[str, str]]:
    ran = [attempt for attempt in attempts if attempt.ran]
    if not ran:
        return
    if request_class.effect == "unsafe" and len(ran) > 1:
        yield "ran twice", f"at {ran[0].server} and {ran[1].server}"
    if request_class.effect == "keyed" and ran[-1].sent > ran[0].sent + request_class.key_ttl + slack:
        yield "ran twice", f"{ran[-1].sent - ran[0].sent:.0f} ms apart"
    if request_class.effect == "unsafe" and answer.status == REFUSED:
        yield "refused after it ran", f"at {ran[0].server}"


# --- draining servers --------------------------------------------------------------------------


def _check_drains(findings: Findings, records: Records, calls: Mapping[str, Answer], slack: float) -> None:
    """No new attempt at a server later than `DRAIN_MS` after the notice that it drains or has left.

    Unless a later notice says that it is active again: a list that was lost is filled anew."""
    notices: dict[_Notice, list[tuple[float, bool]]] = defaultdict(list)  # (time, is active), by time
    for event in sorted(records.events, key=lambda event: event.at):
        notice = _Notice(event.sidecar, event.server, event.incarnation)
        notices[notice].append((event.at, event.state == "active"))
    for attempt in records.attempts:
        answer = calls.get(attempt.id)
        if answer is None:
            continue
        events = notices.get(_Notice(answer.sidecar, attempt.server, attempt.incarnation))
        if not events:
            continue
        gone_at = _gone_at(events[: bisect_right(events, (attempt.sent, True))])
        if attempt.sent > gone_at + DRAIN_MS + slack:
            late = attempt.sent - gone_at
            findings.add("drain", f"{answer.sidecar} to {attempt.server}, {late:.0f} ms after it was told")


def _gone_at(events: Sequence[tuple[float, bool]]) -> float:
    """Since when a server has not been active, by these notices; infinity if it is active."""
    gone_at = math.inf
    for at, is_active in events:
        gone_at = math.inf if is_active else min(gone_at, at)
    return gone_at


# --- servers that warm up ----------------------------------------------------------------------


def _check_warmups(
    findings: Findings, records: Records, calls: Mapping[str, Answer], collapse: Collapse
) -> None:
    """What was sent to a server while it warmed up, compared with its capacity at each moment."""
    warming_up = {
        (incarnation.server, incarnation.incarnation): incarnation
        for incarnation in records.incarnations
        if incarnation.warmup_start < 1.0
    }
    notified_at: dict[_Notice, float] = {}
    for event in records.events:
        if event.state == "active":
            notified_at.setdefault(_Notice(event.sidecar, event.server, event.incarnation), event.at)
    sent: dict[tuple[str, int], list[Attempt]] = defaultdict(list)
    for attempt in records.attempts:
        if (attempt.server, attempt.incarnation) in warming_up:
            sent[attempt.server, attempt.incarnation].append(attempt)
    for name, attempts in sent.items():
        attempts.sort(key=lambda attempt: attempt.at)
        case = _collapse(warming_up[name], attempts, calls, notified_at, collapse)
        if case:
            findings.add("cold server", f"{name[0]}: {case}")


def _collapse(
    incarnation: Incarnation,
    attempts: Sequence[Attempt],
    calls: Mapping[str, Answer],
    notified_at: Mapping[_Notice, float],
    collapse: Collapse,
) -> str:
    """The first time that a server was sent too much by sidecars that knew of its start; empty if never."""
    multiple, span = collapse
    first, total = 0, 0.0
    for number, attempt in enumerate(attempts):
        total += attempt.work
        while attempts[first].at <= attempt.at - span:
            total -= attempts[first].work
            first += 1
        age = min(1.0, (attempt.at - incarnation.begun) / incarnation.warmup_ms)
        warmth = incarnation.warmup_start + (1.0 - incarnation.warmup_start) * age
        capacity = incarnation.capacity * warmth * span * multiple
        if total <= capacity * COLLAPSE_SLACK:
            continue
        window = attempts[first : number + 1]
        knowing = sum(each.work for each in window if _knew(calls.get(each.id), each, notified_at))
        if knowing >= NOTIFIED_SHARE * total:
            return f"{total:.0f} ms of work, {capacity:.0f} at the most"
    return ""


def _knew(answer: Answer | None, attempt: Attempt, notified_at: Mapping[_Notice, float]) -> bool:
    """Whether the sidecar of an attempt had been notified of its server's start."""
    if answer is None:
        return False
    at = notified_at.get(_Notice(answer.sidecar, attempt.server, attempt.incarnation))
    return at is not None and at <= attempt.sent
