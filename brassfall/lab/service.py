"""The service that a play gave, computed from its ledger. Pure code.

Requests have weights; latency counts from when a request was due, whatever its client got round to.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from brassfall.lab.ledger import Answer, Attempt
from brassfall.lab.models.client import BROKEN, FAILED, REFUSED, SERVED, SILENT, UNREACHED
from brassfall.lab.rules import Records, attempts_by_id
from brassfall.lab.spec import Measure, RequestClass

WINDOW_S = 10
MAX_LATENCY_US = 120_000_000  # of the histogram
HISTOGRAM_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
# The operators' goal: parts of the service, the worst window and the worst class; and what is deducted, each
# times its part of first calls, of the work asked for, or of the weight.
GOAL_SERVICE, GOAL_WINDOW, GOAL_CLASS = 0.75, 0.05, 0.2
CROSS_PRICE, WASTE_PRICE, LATE_PRICE, REFUSED_LATE_PRICE = 0.03, 0.015, 0.05, 0.3

Classes = Mapping[str, RequestClass]


class Statistics(msgspec.Struct):
    """The service of one play; parts from 0 to 1 where no unit is given."""

    requests: int
    calls: int = msgspec.field(name="tries")
    attempts: int
    service: float  # weight answered in time, over the weight asked for
    worst_window: float
    worst_class: float
    goal: float  # the mix of the three that the operators count, less deductions
    classes: dict[str, float]
    statuses: dict[str, int]  # last calls by how they ended
    refused_late: int
    cross: float  # attempts between zones, for each request
    waste: float  # work that served no answer, over the work asked for
    latency_ms: dict[str, float]  # of served requests, from when they were due
    by_second: list[float]
    spans: dict[str, float] = {}  # service by the names of the experiment's measures


class _Tally:
    """Adds up requests."""

    def __init__(self, classes: Classes, seconds: int) -> None:
        self.classes = classes
        self.asked: dict[str, float] = dict.fromkeys(classes, 0.0)  # weight by class
        self.served: dict[str, float] = dict.fromkeys(classes, 0.0)  # in time
        self.asked_by_second = [0.0] * seconds
        self.served_by_second = [0.0] * seconds
        endings = (SERVED, REFUSED, FAILED, SILENT, BROKEN, UNREACHED)
        self.statuses: dict[str, int] = dict.fromkeys(endings, 0)
        self.latencies = HdrHistogram(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)
        self.late_weight = 0.0
        self.refused_late = 0
        self.refused_late_cost = 0.0

    def add(self, calls: Sequence[Answer], attempts: Mapping[str, Sequence[Attempt]]) -> None:
        """One request by its calls."""
        last = max(calls, key=lambda answer: answer.hop)
        request_class = self.classes[last.cls]
        weight, latency = request_class.weight, last.end - last.due
        second = min(len(self.asked_by_second) - 1, int(last.due / 1000.0))
        self.statuses[last.status] += 1
        self.asked[request_class.name] += weight
        self.asked_by_second[second] += weight
        if last.status == SERVED:
            self.latencies.record_value(min(MAX_LATENCY_US, max(1, round(latency * 1000.0))))
        if last.status == SERVED and latency <= request_class.wanted:
            self.served[request_class.name] += weight
            self.served_by_second[second] += weight
        elif latency > request_class.wanted:
            self.late_weight += weight
        if any(_refused_late(answer, attempts) for answer in calls):
            self.refused_late += 1
            self.refused_late_cost += REFUSED_LATE_PRICE * weight


def statistics(
    records: Records, classes: Classes, lasts: float, measures: Sequence[Measure] = ()
) -> Statistics:
    """The service of a play that lasted so many ms."""
    tally = _Tally(classes, max(1, math.ceil(lasts / 1000.0)))
    attempts = attempts_by_id(records)
    requests: dict[str, list[Answer]] = defaultdict(list)
    for answer in records.answers:
        requests[answer.first].append(answer)
    for calls in requests.values():
        tally.add(calls, attempts)
    total = sum(tally.asked.values())
    service = sum(tally.served.values()) / total if total else 1.0
    by_class = {name: tally.served[name] / tally.asked[name] for name in classes if tally.asked[name]}
    cross = sum(attempt.cross for attempt in records.attempts) / max(1, len(requests))
    waste = _waste(records)
    window = _worst_window(tally.served_by_second, tally.asked_by_second)
    worst_class = min(by_class.values(), default=1.0)
    goal = GOAL_SERVICE * service + GOAL_WINDOW * window + GOAL_CLASS * worst_class
    goal -= CROSS_PRICE * min(1.0, cross) + WASTE_PRICE * waste
    goal -= (LATE_PRICE * tally.late_weight + tally.refused_late_cost) / total if total else 0.0
    return Statistics(
        requests=len(requests),
        calls=len(records.answers),
        attempts=len(records.attempts),
        service=round(service, 5),
        worst_window=round(window, 5),
        worst_class=round(worst_class, 5),
        goal=round(goal, 5),
        classes={name: round(value, 5) for name, value in by_class.items()},
        statuses={name: number for name, number in tally.statuses.items() if number},
        refused_late=tally.refused_late,
        cross=round(cross, 5),
        waste=round(waste, 5),
        latency_ms=_percentiles(tally.latencies),
        by_second=_by_second(tally),
        spans={measure.name: _span(records, classes, measure) for measure in measures},
    )


def _waste(records: Records) -> float:
    """The part of the work that served no answer."""
    useful = {(answer.id, answer.by) for answer in records.answers if answer.status == SERVED}
    ran = [attempt for attempt in records.attempts if attempt.ran]
    work = sum(attempt.work for attempt in ran)
    wasted = sum(attempt.work for attempt in ran if (attempt.id, attempt.server) not in useful)
    return wasted / work if work else 0.0


def _percentiles(latencies: HdrHistogram) -> dict[str, float]:
    return {
        f"p{percent:g}": round(latencies.get_value_at_percentile(percent) / 1000.0, 3)
        for percent in PERCENTILES
    }


def _by_second(tally: _Tally) -> list[float]:
    pairs = zip(tally.served_by_second, tally.asked_by_second, strict=True)
    return [round(served / asked, 4) if asked else 1.0 for served, asked in pairs]


def _span(records: Records, classes: Classes, measure: Measure) -> float:
    """The service of what was due in a span of time."""
    asked = served = 0.0
    for answer in records.answers:
        if not measure.begin <= answer.due < measure.end or measure.cls not in (None, answer.cls):
            continue
        request_class = classes[answer.cls]
        in_time = answer.status == SERVED and answer.end - answer.due <= request_class.wanted
        asked += request_class.weight if answer.hop == 0 else 0.0
        served += request_class.weight if in_time else 0.0
    return round(served / asked, 5) if asked else 1.0


def _refused_late(answer: Answer, attempts: Mapping[str, Sequence[Attempt]]) -> bool:
    """Given up after more than half of its budget, without one attempt that reached a server."""
    given_up = answer.status in (REFUSED, FAILED, SILENT) and not answer.excused
    return given_up and answer.end - answer.sent > answer.budget / 2.0 and answer.id not in attempts


def _worst_window(served: Sequence[float], asked: Sequence[float]) -> float:
    """The service of the worst `WINDOW_S` seconds."""
    worst = 1.0
    for first in range(max(1, len(asked) - WINDOW_S + 1)):
        total = sum(asked[first : first + WINDOW_S])
        if total:
            worst = min(worst, sum(served[first : first + WINDOW_S]) / total)
    return worst
