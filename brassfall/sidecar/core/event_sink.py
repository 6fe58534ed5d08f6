"""The interface through which the driver's components report events to the balancer."""

from __future__ import annotations

from typing import Protocol

from brassfall.balancer.events import Event
from brassfall.sidecar.core.attempts import Request


class EventSink(Protocol):
    """The driver, as its components that report events to the balancer use it."""

    def notify(self, event: Event, request: Request | None = None) -> None:
        """Pass an event to the balancer and carry out the actions that the balancer returns.

        `request` is the request that the event concerns, if any.
        """
