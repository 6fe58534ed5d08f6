"""Events that the balancer takes: what has happened, as typed values without decisions.

Times are in milliseconds of the clock whose time is passed to `Balancer.step` beside the event. Requests are
named by the number that the caller gave them, attempts by their place among the attempts of their request.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from brassfall.balancer.model import ListForm, EndpointEntry, Outcome, SteeringDirectives, TimerToken
from brassfall.balancer.settings import Settings

LoadReport = Mapping[str, float]  # load measures by name, as a server puts them into its answers


class RequestArrived(NamedTuple):
    """A client's request, with the clock time at which the client gives up."""

    request: int
    request_class: int  # its position in `Settings.profiles`
    give_up_at: float
    tenant: int = 0
    key: int | None = None
    work: float | None = None  # expected, in milliseconds on a standard core
    retried: bool = False  # True if the client marked it as a retry
    mutates: bool = False
    large: bool = False  # True while its body is still arriving: only the beginning can be sent again


class AttemptEnded(NamedTuple):
    """An attempt has its outcome; every `Send` is followed by exactly one."""

    request: int
    attempt: int
    outcome: Outcome
    elapsed: float = 0.0  # from the end of the request to the beginning of the answer
    request_ended: bool = False  # True if the request has its final answer
    report: LoadReport | None = None


class AttemptWithdrawn(NamedTuple):
    """An attempt was abandoned before it was sent since the configuration changed.

    Its `AttemptEnded` follows. It does not count against the attempts that its request may have.
    """

    request: int
    attempt: int


class AnswerStarted(NamedTuple):
    """The first part of a large answer has arrived and is being passed to the client."""

    request: int
    attempt: int


class BodyDiscarded(NamedTuple):
    """More of a large body has been forwarded than is buffered: the request can't be sent again."""

    request: int


class ClientLeft(NamedTuple):
    """The client has closed its connection: no answer is owed."""

    request: int


class TimerDue(NamedTuple):
    """A timer that a `Timer` action asked for has come due."""

    token: TimerToken


class EndpointListReceived(NamedTuple):
    """An endpoint list arrived: the complete list, or the entries that changed."""

    form: ListForm
    entries: Iterable[EndpointEntry]


class DiscoveryFailed(NamedTuple):
    """A call to discovery failed, was rejected, or its watch ended."""


class HealthCheckEnded(NamedTuple):
    """A health check of a server has its outcome."""

    server: str
    outcome: Outcome
    elapsed: float = 0.0
    report: LoadReport | None = None


class PeerMessageReceived(NamedTuple):
    """A message of another sidecar arrived."""

    peer: int
    data: bytes


class SettingsReloaded(NamedTuple):
    """Other settings apply to the requests that arrive from now on."""

    settings: Settings
    retained: Collection[int]  # positions of the classes that are the same as before


class SteeringChanged(NamedTuple):
    """Another steering plan and other overrides apply from now on."""

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
