"""Where the driver's modules report events for the balancer."""

from __future__ import annotations

from typing import Protocol

from brassfall.balancer.events import Event
from brassfall.sidecar.core.attempts import Request


class EventSink(Protocol):
    """The driver, as the modules that report events see it."""

    def notify(self, event: Event, request: Request | None = None) -> None:
        """Give the balancer an event, about `request` if one is named, and carry out its actions."""
