"""Adapters for the balancers of earlier revisions, which give them the present interface. Pure code.

Two earlier interfaces are supported:

- The method interface, before revision a1c253f: the balancer has one method for each event. A method takes
  the fields of the event by position, and a timer is identified by a text. These revisions differ only in
  what the oldest ones lack: the events `AttemptWithdrawn`, `BodyDiscarded`, `SettingsReloaded` and
  `SteeringChanged`, and the last fields of some classes. Simulated plays set none of those fields.
- The typed interface, from revision a1c253f to ddb1180: `Balancer.step` takes typed events, as at present,
  but some of the classes of events, actions and values have other names.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import Enum, StrEnum
from functools import partial
from types import ModuleType
from typing import Any, cast

from brassfall.balancer import events, model
from brassfall.settings import SettingsError

# Names of classes in the `model` modules of earlier revisions.
REQUEST_CLASS, ENTRY_CLASS, STEERING_CLASS, TIMER_CLASS = "Arrival", "Listing", "Steer", "Timer"

# Methods that every balancer with the method interface has.
REQUIRED_METHODS = (
    "request",
    "outcome",
    "answer_started",
    "timer",
    "server_list",
    "probe_result",
    "client_gone",
)

# Method for each event whose fields the method takes unchanged.
METHODS_BY_EVENT: Mapping[type[events.Event], str] = {
    events.AttemptEnded: "outcome",
    events.AttemptWithdrawn: "unsent",
    events.AnswerStarted: "answer_started",
    events.BodyDiscarded: "body_gone",
    events.ClientLeft: "client_gone",
    events.HealthCheckEnded: "probe_result",
    events.PeerMessageReceived: "peer_message",
    events.SettingsReloaded: "reload",
}
DISCOVERY_FAILED_FORM = "refused"  # List form that the method interface uses for a failed call to discovery

# Present class of each action except the timer, by the earlier name of the class. The fields have the same
# order; the oldest revisions lack the last field of some classes.
ACTION_CLASSES: Mapping[str, type[model.Action]] = {
    "Send": model.SendAttempt,
    "Refuse": model.RefuseRequest,
    "Fail": model.FailRequest,
    "Cancel": model.CancelAttempt,
    "Fetch": model.FetchEndpointList,
    "Watch": model.WatchEndpointList,
    "Probe": model.CheckServerHealth,
    "CloseIdle": model.CloseIdleConnections,
    "Tell": model.SendPeerMessage,
    "Log": model.WriteLog,
}

# Present class of each class in the `model` and `events` modules of the typed interface, by its earlier name.
TYPED_MODEL_CLASSES: Mapping[str, type[Any]] = {
    **ACTION_CLASSES,
    TIMER_CLASS: model.StartTimer,
    "ObjectiveTimer": model.ObjectiveTimer,
    "QueueDeadlineTimer": model.QueueDeadlineTimer,
    "KeyPauseTimer": model.KeyPauseTimer,
    "IdleCloseTimer": model.IdleCloseTimer,
    "DiscoveryRetryTimer": model.DiscoveryRetryTimer,
    ENTRY_CLASS: model.EndpointEntry,
    STEERING_CLASS: model.SteeringDirectives,
    "Outcome": model.Outcome,
    "ListForm": model.ListForm,
}
TYPED_EVENT_CLASSES: Mapping[str, type[Any]] = {
    "RequestArrived": events.RequestArrived,
    "AttemptEnded": events.AttemptEnded,
    "AttemptWithdrawn": events.AttemptWithdrawn,
    "AnswerStarted": events.AnswerStarted,
    "BodyDiscarded": events.BodyDiscarded,
    "ClientLeft": events.ClientLeft,
    "TimerDue": events.TimerDue,
    "EndpointsListed": events.EndpointListReceived,
    "DiscoveryFailed": events.DiscoveryFailed,
    "HealthCheckEnded": events.HealthCheckEnded,
    "PeerMessageReceived": events.PeerMessageReceived,
    "SettingsReloaded": events.SettingsReloaded,
    "SteeringChanged": events.SteeringChanged,
}

OTHER_REVISION = 'Name a later revision in that version, or play it with mode = "real".'

FieldValues = tuple[Any, ...]


class TimerText(StrEnum):
    """First part of the text that identifies a timer in the method interface.

    A colon and the subject of the timer follow, except for `DISCOVERY_RETRY`, which is the whole text.
    """

    OBJECTIVE = "due"
    QUEUE_DEADLINE = "late"
    KEY_PAUSE = "turn"
    IDLE_CLOSE = "close"
    DISCOVERY_RETRY = "watch"


def is_supported(package: ModuleType) -> bool:
    """Return whether a decision package has one of the earlier interfaces."""
    return has_method_interface(package) or has_typed_interface(package)


def has_method_interface(package: ModuleType) -> bool:
    """Return whether the balancer of a decision package has one method for each event."""
    balancer, earlier_model = getattr(package, "Balancer", None), getattr(package, "model", None)
    return hasattr(earlier_model, REQUEST_CLASS) and all(hasattr(balancer, name) for name in REQUIRED_METHODS)


def has_typed_interface(package: ModuleType) -> bool:
    """Return whether a decision package has typed events and actions under their earlier names."""
    return hasattr(getattr(package, "Balancer", None), "step") and all(
        earlier is not None and _form(earlier) == _form(present)
        for present, earlier in _typed_classes(package).items()
    )


def with_present_interface(name: str, package: ModuleType) -> ModuleType:
    """Return a package called `name` that runs the decisions of `package` behind the present interface."""
    adapter = MethodBalancer if has_method_interface(package) else TypedBalancer
    adapted_package = ModuleType(name, package.__doc__)
    vars(adapted_package).update(
        Balancer=partial(adapter, package), Settings=package.Settings, events=events, model=model
    )
    return adapted_package


class MethodBalancer:
    """Adapter that passes each event of the present interface to the method for it."""

    def __init__(self, package: ModuleType, now: float, settings: object, seed: int) -> None:
        """Start a balancer of `package` without servers; `settings` are of the package's own class."""
        self._package = package
        self._balancer = package.Balancer(now, settings, seed)
        self._action_factories: dict[type, Callable[..., model.Action]] = {
            getattr(package.model, name): present for name, present in ACTION_CLASSES.items()
        }
        self._action_factories[getattr(package.model, TIMER_CLASS)] = _start_timer

    def step(self, now: float, event: events.Event) -> list[model.Action]:
        """Process an event that occurred at `now` and return the actions to carry out, in order.

        Raise `SettingsError` if the revision does not know the event.
        """
        name, arguments = self._method_and_arguments(event)
        method: Callable[..., Iterable[FieldValues]] | None = getattr(self._balancer, name, None)
        if method is None:
            raise self._unknown_name_error(name)
        return [self._action_factories[type(action)](*action) for action in method(now, *arguments)]

    def _method_and_arguments(self, event: events.Event) -> tuple[str, FieldValues]:
        """Return the name of the method for an event, and its arguments after the time."""
        match event:
            case events.RequestArrived():
                return "request", (self._earlier_value(REQUEST_CLASS, event),)
            case events.TimerDue(token):
                return "timer", (_timer_text(token),)
            case events.EndpointListReceived(form, entries):
                earlier_entries = [self._earlier_value(ENTRY_CLASS, entry) for entry in entries]
                return "server_list", (form.value, earlier_entries)
            case events.DiscoveryFailed():
                return "server_list", (DISCOVERY_FAILED_FORM, ())
            case events.SteeringChanged(steer):
                return "steer", (self._earlier_value(STEERING_CLASS, steer),)
            case _:
                return METHODS_BY_EVENT[type(event)], event

    def _earlier_value(self, class_name: str, fields: FieldValues) -> object:
        """Return an instance of one of the package's classes, without the fields that the class lacks."""
        earlier_class = getattr(self._package.model, class_name, None)
        if earlier_class is None:
            raise self._unknown_name_error(class_name)
        return earlier_class(*fields[: len(earlier_class._fields)])

    def _unknown_name_error(self, name: str) -> SettingsError:
        return SettingsError(str(self._package.__file__), f"its decisions have no `{name}`", OTHER_REVISION)


class TypedBalancer:
    """Adapter that translates typed events and actions to and from the classes with the earlier names."""

    def __init__(self, package: ModuleType, now: float, settings: object, seed: int) -> None:
        """Start a balancer of `package` without servers; `settings` are of the package's own class."""
        self._balancer = package.Balancer(now, settings, seed)
        self._earlier_classes = _typed_classes(package)
        self._present_classes = {earlier: present for present, earlier in self._earlier_classes.items()}

    def step(self, now: float, event: events.Event) -> list[model.Action]:
        """Process an event that occurred at `now` and return the actions to carry out, in order."""
        if isinstance(event, events.EndpointListReceived):
            event = event._replace(entries=list(event.entries))
        actions = self._balancer.step(now, _translated(event, self._earlier_classes))
        return [cast(model.Action, _translated(action, self._present_classes)) for action in actions]


def _typed_classes(package: ModuleType) -> dict[type[Any], Any]:
    """Return the class of a typed package for each present class, or None where the package lacks it."""
    earlier_model, earlier_events = getattr(package, "model", None), getattr(package, "events", None)
    return {
        **{present: getattr(earlier_model, name, None) for name, present in TYPED_MODEL_CLASSES.items()},
        **{present: getattr(earlier_events, name, None) for name, present in TYPED_EVENT_CLASSES.items()},
    }


def _form(value_class: type[Any]) -> object:
    """Return what has to be equal for a translation: the values of an enum, or the number of fields."""
    if issubclass(value_class, Enum):
        return {member.value for member in value_class}
    return len(value_class._fields)


def _translated(value: object, classes: Mapping[type[Any], Any]) -> object:
    """Return a value with all instances of the keys of `classes`, also nested ones, converted.

    Tuples with named fields are converted by position and enum members by value. Other values are kept.
    """
    target_class = classes.get(type(value))
    if target_class is None:
        return [_translated(item, classes) for item in value] if isinstance(value, list) else value
    if isinstance(value, Enum):
        return target_class(value.value)
    return target_class(*(_translated(field, classes) for field in cast(FieldValues, value)))


def _start_timer(delay: float, text: str, request: int | None = None) -> model.StartTimer:
    """Return the present timer action for the fields of a timer action of the method interface."""
    return model.StartTimer(delay, _timer_token(text), request)


def _timer_token(text: str) -> model.TimerToken:
    """Return the token of the timer that a text of the method interface identifies."""
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
    """Return the text that identifies the timer of a token in the method interface."""
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
