"""Builders of settings, endpoint lists, events and balancers for tests."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, TypeVar

from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import AttemptEnded, EndpointListReceived, RequestArrived
from brassfall.balancer.model import Action, ListForm, EndpointEntry, Outcome, SendAttempt
from brassfall.balancer.selection import Selector

ActionType = TypeVar("ActionType", bound=Action)

CLASSES = {
    "safe": {"Semantics": "pure", "Objective": 200.0, "Deadline": 1000.0},
    "keyed": {
        "Semantics": "token",
        "Group": "cell",
        "KeyTtl": 500.0,
        "Objective": 200.0,
        "Deadline": 1000.0,
    },
    "unsafe": {"Semantics": "side_effect", "Objective": 200.0, "Deadline": 1000.0},
    # Answers after the objective count by half.
    "late": {"Semantics": "pure", "Objective": 200.0, "Deadline": 1000.0, "LateWorth": 0.5},
}

# A change of the settings: answers report the requests in flight at their server.
LOAD_REPORTS = {"Report": {"How": "inline", "Fields": ["inflight"]}}


def raw_settings(*names: str, **changes: Any) -> dict[str, Any]:
    """Return settings in their form on the wire, with the named classes; `changes` replace whole members."""
    raw: dict[str, Any] = {
        "Profiles": [dict(CLASSES[name]) for name in names or ("safe",)],
        "FailureDomains": ["left", "right"],
        "PolicyLimits": {"MaxAttempts": 4},
    }
    raw.update(changes)
    return raw


def endpoint_entries(count: int, **changes: Any) -> list[EndpointEntry]:
    """Return the entries of `count` active servers, two in each cell, in one zone unless `changes` say so."""
    return [EndpointEntry(f"s{number}", cell=number // 2, **changes) for number in range(count)]


def make_balancer(*names: str, servers: int = 6, now: float = 0.0, seed: int = 1, **changes: Any) -> Balancer:
    """Return a balancer with the named classes that has its remembered list."""
    made = Balancer(now, Settings.parse(raw_settings(*names, **changes)), seed)
    made.step(now, EndpointListReceived(ListForm.CONFIGURED, endpoint_entries(servers)))
    return made


def request_arrival(request: int, now: float = 0.0, request_class: int = 0, left: float = 1000.0) -> RequestArrived:
    """Return the arrival of a request whose client gives up after `left` milliseconds."""
    return RequestArrived(request, request_class, now + left)


def attempt_answered(
    request: int, elapsed: float, *, attempt: int = 0, in_flight: float | None = None
) -> AttemptEnded:
    """Return the end of an attempt whose answer went to the client, with its load report if there is one."""
    return AttemptEnded(
        request,
        attempt,
        Outcome.OK,
        elapsed,
        request_ended=True,
        report=None if in_flight is None else {"inflight": in_flight},
    )


def serve_requests(
    made: Balancer,
    count: int,
    answer: Callable[[str], tuple[Outcome, float]],
    now: float = 0.0,
    interval: float = 50.0,
) -> Counter[str]:
    """Send `count` requests, each `interval` milliseconds after the one before; return the sends by server.

    `answer(server)` gives the outcome of each attempt and the time that it took, in milliseconds.
    """
    sends: Counter[str] = Counter()
    for number in range(count):
        now += interval
        actions = made.step(now, request_arrival(number, now)._replace(work=10.0))
        attempt = 0
        while sent := of_type(actions, SendAttempt):
            (send,) = sent
            sends[send.server] += 1
            outcome, elapsed = answer(send.server)
            ended = outcome == Outcome.OK
            actions = made.step(now, AttemptEnded(number, attempt, outcome, elapsed, request_ended=ended))
            attempt += 1
    return sends


def make_selector(made: Balancer) -> Selector:
    """Return a selector over the parts of a balancer."""
    return Selector(made.settings, made.components)


def of_type(actions: list[Action], kind: type[ActionType]) -> list[ActionType]:
    """Return the actions of one kind, in order."""
    return [action for action in actions if isinstance(action, kind)]
