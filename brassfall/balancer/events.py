"""Events that the balancer receives, as typed values without logic.

Times are in milliseconds of the clock whose time is passed to `Balancer.step` together with the event. A
request is identified by the number that the caller gave it, and an attempt by its index among the attempts of
its request.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from brassfall.balancer.model import EndpointEntry, ListForm, Outcome, SteeringDirectives, TimerToken
from brassfall.balancer.settings import Settings

LoadReport = Mapping[str, float]  # Load measures by name, as a server states them in its answers


class RequestArrived(NamedTuple):
    """A request of a client has arrived.

    `request_class` is the index of its profile in `Settings.profiles`, and `give_up_at` is the clock time, in
    milliseconds, at which the client stops waiting.
    """

    request: int
    request_class: int  # Index of the request's profile in `Settings.profiles`
    give_up_at: float
    tenant: int = 0
    key: int | None = None
    work: float | None = None  # Expected work of the request, in milliseconds on a standard core
    retried: bool = False  # True if the client marked the request as a retry
    mutates: bool = False
    large: bool = False  # True while the body still arrives; only its beginning can be sent again


class AttemptEnded(NamedTuple):
    """An attempt has ended with an outcome; exactly one such event follows each `SendAttempt` action."""

    request: int
    attempt: int
    outcome: Outcome
    elapsed: float = 0.0  # Milliseconds from the end of the request to the beginning of the answer
    request_ended: bool = False  # True if the request has its final answer
    report: LoadReport | None = None


class AttemptWithdrawn(NamedTuple):
    """An attempt was abandoned before it was sent, because the configuration changed.

    The `AttemptEnded` event of the attempt follows. The attempt does not count against the maximum number of
    attempts of its request.
    """

    request: int
    attempt: int


class AnswerStarted(NamedTuple):
    """The first part of a large answer has arrived and is being forwarded to the client."""

    request: int
    attempt: int


class BodyDiscarded(NamedTuple):
    """More of a large request body was forwarded than is buffered, so the request can't be sent again."""

    request: int


class ClientLeft(NamedTuple):
    """The client has closed its connection and no longer needs an answer."""

    request: int


class TimerDue(NamedTuple):
    """A timer that a `StartTimer` action started has expired."""

    token: TimerToken


class EndpointListReceived(NamedTuple):
    """An endpoint list was received: the complete list, or only the entries that changed."""

    form: ListForm
    entries: Iterable[EndpointEntry]


class DiscoveryFailed(NamedTuple):
    """A call to discovery failed or was rejected, or the watch on the endpoint list ended."""


class HealthCheckEnded(NamedTuple):
    """A health check of a server has ended with an outcome."""

    server: str
    outcome: Outcome
    elapsed: float = 0.0
    report: LoadReport | None = None


class PeerMessageReceived(NamedTuple):
    """A message from another sidecar was received."""

    peer: int
    data: bytes


class SettingsReloaded(NamedTuple):
    """New settings apply to the requests that arrive from now on."""

    settings: Settings
    retained: Collection[int]  # Indexes of the request classes that the new settings leave unchanged


class SteeringChanged(NamedTuple):
    """A new steering plan and new overrides apply from now on."""

    steer: SteeringDirectives


Event = (
    RequestArrived
    | AttemptEnded
    | AttemptWithdrawn
    | AnswerStarted
    | BodyDiscarded
    | ClientLeft
    | TimerDue
    | EndpointListReceived
    | DiscoveryFailed
    | HealthCheckEnded
    | PeerMessageReceived
    | SettingsReloaded
    | SteeringChanged
)
