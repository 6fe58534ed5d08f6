"""The servers, requests and calls of a simulated play, as its parts share them."""

from __future__ import annotations

import math
from typing import Any

from brassfall.controlplane.registry.membership import ServerRegistration
from brassfall.lab.day import Machine
from brassfall.lab.models.server import Server


class Host:
    """One server of the fleet, through all its incarnations."""

    def __init__(self, name: str, machine: Machine) -> None:
        self.name = name
        self.machine = machine
        self.zone = machine.zone
        self.incarnation = -1
        self.link = 0  # the generation of its connections: a death or a reset ends one
        self.up = False
        self.leaving = False
        self.core: Server
        self.member: ServerRegistration
        self.session = 0  # of its calls to the list service: a new one voids the one before
        self.wakes_at = math.inf


class ClientRequest:
    """A request of a client, through all calls of its sidecar."""

    __slots__ = ("first", "cls", "app", "due", "work", "calls")

    def __init__(self, first: str, cls: int, app: int, due: float, work: float) -> None:
        self.first = first
        self.cls = cls
        self.app = app
        self.due = due
        self.work = work
        self.calls = 0


class Call:
    """One call of a client to its sidecar."""

    __slots__ = (
        "id",
        "client_request",
        "hop",
        "sent",
        "budget",
        "key",
        "over",
        "request",
        "has_effect",
        "incarnation",
    )

    def __init__(
        self, id_: str, request: ClientRequest, sent: float, budget: float, key: str, *, has_effect: bool
    ) -> None:
        self.id = id_
        self.client_request = request
        self.hop = request.calls  # which call of the request it is, from 0
        self.sent = sent
        self.budget = budget
        self.key = key
        self.over = False
        self.request: Any = None
        self.has_effect = has_effect
        self.incarnation = 0
