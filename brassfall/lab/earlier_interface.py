"""Runs the decisions of a revision from before `Balancer.step`, with today's events and actions. Pure code.

In those revisions a balancer had a method for each event, which took the event's values by position, and a
timer was named by a text. Methods, values and texts were the same in all of them, up to what the oldest ones
lacked: the events `AttemptWithdrawn`, `BodyDiscarded`, `SettingsReloaded` and `SteeringChanged`, and the last
fields of some values. A simulated play sets none of those fields.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from functools import partial
from types import ModuleType
from typing import Any

from brassfall.balancer import events, model
from brassfall.settings import SettingsError

# The classes of values, and the methods that all revisions with this interface have.
REQUEST, ENTRY, STEER = "Arrival", "Listing", "Steer"
METHODS = ("request", "outcome", "answer_started", "timer", "server_list", "probe_result", "client_gone")

# The method of each event whose values it takes as they are.
SAME_VALUES: Mapping[type[events.Event], str] = {
    events.AttemptEnded: "outcome",
    events.AttemptWithdrawn: "unsent",
    events.AnswerStarted: "answer_started",
    events.BodyDiscarded: "body_gone",
    events.ClientLeft: "client_gone",
    events.HealthCheckEnded: "probe_result",
    events.PeerMessageReceived: "peer_message",
    events.SettingsReloaded: "reload",
}
DISCOVERY_FAILED = "refused"  # the form of a list that did not arrive

# The actions with the names of today's, and the same first fields.
SAME_ACTIONS: tuple[type[model.Action], ...] = (
    model.Send,
    model.Refuse,
    model.Fail,
    model.Cancel,
    model.Fetch,
    model.Watch,
    model.Probe,
    model.CloseIdle,
    model.Tell,
    model.Log,
)
OTHER_REVISION = 'Name a later revision in that version, or play it with mode = "real".'

Values = tuple[Any, ...]


class TimerText(StrEnum):
    """What the text of a timer begins with; what it is about follows after a colon."""

    OBJECTIVE = "due"
    QUEUE_DEADLINE = "late"
    KEY_PAUSE = "turn"
    IDLE_CLOSE = "close"
    DISCOVERY_RETRY = "watch"  # the whole text


def is_interface_of(package: ModuleType) -> bool:
    """Return whether a decision package has this interface."""
    balancer, values = getattr(package, "Balancer", None), getattr(package, "model", None)
    return hasattr(values, REQUEST) and all(hasattr(balancer, name) for name in METHODS)


def stand_in(name: str, package: ModuleType) -> ModuleType:
    """Return a package of this name that has today's interface, and runs the decisions of `package`."""
    made = ModuleType(name, package.__doc__)
    balancer = partial(EarlierBalancer, package)
    vars(made).update(Balancer=balancer, Settings=package.Settings, events=events, model=model)
    return made


class EarlierBalancer:
    """A balancer with a method for each event, as one that takes all events by `step`."""

    def __init__(self, package: ModuleType, now: float, settings: object, seed: int) -> None:
        """Begin without servers; `settings` are those of that package."""
        self._package = package
        self._balancer = package.Balancer(now, settings, seed)
        self._actions: dict[type, Callable[..., model.Action]] = {
            getattr(package.model, kind.__name__): kind for kind in SAME_ACTIONS
        }
        self._actions[package.model.Timer] = _timer

    def step(self, now: float, event: events.Event) -> list[model.Action]:
        """Take in what happened at `now`; return the actions to carry out, in their order.

        `SettingsError` if the revision does not know such an event.
        """
        name, values = self._call(event)
        method: Callable[..., Iterable[Values]] | None = getattr(self._balancer, name, None)
        if method is None:
            raise self._lacking(name)
        return [self._actions[type(action)](*action) for action in method(now, *values)]

    def _call(self, event: events.Event) -> tuple[str, Values]:
        """Return the method for an event, and what it takes after the time."""
        match event:
            case events.RequestArrived():
                return "request", (self._value(REQUEST, event),)
            case events.TimerDue(token):
                return "timer", (_timer_text(token),)
            case events.EndpointsListed(form, entries):
                return "server_list", (form.value, [self._value(ENTRY, entry) for entry in entries])
            case events.DiscoveryFailed():
                return "server_list", (DISCOVERY_FAILED, ())
            case events.SteeringChanged(steer):
                return "steer", (self._value(STEER, steer),)
            case _:
                return SAME_VALUES[type(event)], event

    def _value(self, name: str, fields: Values) -> object:
        """Return a value of one of the package's classes; fields that the class lacks are left out."""
        kind = getattr(self._package.model, name, None)
        if kind is None:
            raise self._lacking(name)
        return kind(*fields[: len(kind._fields)])

    def _lacking(self, name: str) -> SettingsError:
        return SettingsError(str(self._package.__file__), f"its decisions have no `{name}`", OTHER_REVISION)


def _timer(delay: float, text: str, request: int | None = None) -> model.Timer:
    """Return today's form of a timer, from the values of an earlier one."""
    return model.Timer(delay, _timer_token(text), request)


def _timer_token(text: str) -> model.TimerToken:
    """Return the timer that a text named."""
    kind, _, subject = text.partition(":")
    match TimerText(kind):
        case TimerText.OBJECTIVE:
            request, _, attempt = subject.partition(":")
            return model.ObjectiveTimer(int(request), int(attempt))
        case TimerText.QUEUE_DEADLINE:
            return model.QueueDeadlineTimer(int(subject))
        case TimerText.KEY_PAUSE:
            return model.KeyPauseTimer(int(subject))
        case TimerText.IDLE_CLOSE:
            return model.IdleCloseTimer(subject)
        case TimerText.DISCOVERY_RETRY:
            return model.DiscoveryRetryTimer()


def _timer_text(token: model.TimerToken) -> str:
    """Return the text that named a timer."""
    match token:
        case model.ObjectiveTimer(request, attempt):
            return f"{TimerText.OBJECTIVE}:{request}:{attempt}"
        case model.QueueDeadlineTimer(request):
            return f"{TimerText.QUEUE_DEADLINE}:{request}"
        case model.KeyPauseTimer(key):
            return f"{TimerText.KEY_PAUSE}:{key}"
        case model.IdleCloseTimer(server):
            return f"{TimerText.IDLE_CLOSE}:{server}"
        case model.DiscoveryRetryTimer():
            return TimerText.DISCOVERY_RETRY.value
