"""Builders of settings, endpoint lists, events and balancers for tests."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, TypeVar

from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import AttemptEnded, EndpointListReceived, RequestArrived
from brassfall.balancer.model import Action, EndpointEntry, ListForm, Outcome, SendAttempt
from brassfall.balancer.selection import Selector

ActionType = TypeVar("ActionType", bound=Action)

# Request classes by name, in the JSON form of the settings.
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
    # A class whose answers after the latency objective count with half of their weight.
    "late": {"Semantics": "pure", "Objective": 200.0, "Deadline": 1000.0, "LateWorth": 0.5},
}

# Settings with which answers contain load reports that state the requests in flight at their server.
LOAD_REPORTS = {"Report": {"How": "inline", "Fields": ["inflight"]}}


def raw_settings(*names: str, **changes: Any) -> dict[str, Any]:
    """Return settings in their JSON form with the classes in `names`; `changes` replace whole members."""
    raw: dict[str, Any] = {
        "Profiles": [dict(CLASSES[name]) for name in names or ("safe",)],
        "FailureDomains": ["left", "right"],
        "PolicyLimits": {"MaxAttempts": 4},
    }
    raw.update(changes)
    return raw


def endpoint_entries(count: int, **changes: Any) -> list[EndpointEntry]:
    """Return the entries of `count` active servers, two per cell; `changes` are fields of all entries."""
    return [EndpointEntry(f"s{number}", cell=number // 2, **changes) for number in range(count)]


def make_balancer(*names: str, servers: int = 6, now: float = 0.0, seed: int = 1, **changes: Any) -> Balancer:
    """Return a balancer with the classes in `names` that has received its configured endpoint list."""
    balancer = Balancer(now, Settings.parse(raw_settings(*names, **changes)), seed)
    balancer.step(now, EndpointListReceived(ListForm.CONFIGURED, endpoint_entries(servers)))
    return balancer


def request_arrival(
    request: int, now: float = 0.0, request_class: int = 0, left: float = 1000.0
) -> RequestArrived:
    """Return the arrival of a request whose client gives up after `left` milliseconds."""
    return RequestArrived(request, request_class, now + left)


def attempt_answered(
    request: int, elapsed: float, *, attempt: int = 0, in_flight: float | None = None
) -> AttemptEnded:
    """Return the end of an attempt whose answer was sent to the client.

    `in_flight` is the number of requests in flight in its load report; None stands for no load report.
    """
    return AttemptEnded(
        request,
        attempt,
        Outcome.OK,
        elapsed,
        request_ended=True,
        report=None if in_flight is None else {"inflight": in_flight},
    )


def serve_requests(
    balancer: Balancer,
    count: int,
    answer: Callable[[str], tuple[Outcome, float]],
    now: float = 0.0,
    interval: float = 50.0,
) -> Counter[str]:
    """Pass `count` requests to a balancer at an interval in milliseconds; return the attempts by server.

    `answer(server)` returns the outcome of each attempt and its elapsed time in milliseconds.
    """
    attempts_by_server: Counter[str] = Counter()
    for number in range(count):
        now += interval
        actions = balancer.step(now, request_arrival(number, now)._replace(work=10.0))
        attempt = 0
        while sends := of_type(actions, SendAttempt):
            (send,) = sends
            attempts_by_server[send.server] += 1
            outcome, elapsed = answer(send.server)
            ended = outcome == Outcome.OK
            actions = balancer.step(now, AttemptEnded(number, attempt, outcome, elapsed, request_ended=ended))
            attempt += 1
    return attempts_by_server


def make_selector(balancer: Balancer) -> Selector:
    """Return a new selector that uses the components of a balancer."""
    return Selector(balancer.settings, balancer.components)


def of_type(actions: list[Action], kind: type[ActionType]) -> list[ActionType]:
    """Return the actions of one type, in their order."""
    return [action for action in actions if isinstance(action, kind)]
