"""What passes between the parts of a simulated play: servers, requests and their tries."""

from __future__ import annotations

import math
from typing import Any

from brassfall.controlplane.registry.membership import Membership
from brassfall.lab.day import Machine
from brassfall.lab.models.server import Server


class Host:
    """One server of the fleet, through all its lives."""

    def __init__(self, name: str, machine: Machine) -> None:
        self.name = name
        self.machine = machine
        self.zone = machine.zone
        self.life = -1
        self.link = 0  # counts generations of connections: a death or a reset ends one
        self.up = False
        self.leaving = False
        self.core: Server
        self.member: Membership
        self.speaking = 0  # counts its loops of calls to the list service, so that an old one ends
        self.wakes_at = math.inf


class Chain:
    """A request, through all its client's tries."""

    __slots__ = ("first", "cls", "app", "due", "work", "tries")

    def __init__(self, first: str, cls: int, app: int, due: float, work: float) -> None:
        self.first = first
        self.cls = cls
        self.app = app
        self.due = due
        self.work = work
        self.tries = 0


class Try:
    """One try of a client."""

    __slots__ = ("id", "chain", "hop", "sent", "budget", "key", "over", "request", "keyed_or_unsafe", "life")

    def __init__(self, id_: str, chain: Chain, sent: float, budget: float, key: str, writes: bool) -> None:
        self.id = id_
        self.chain = chain
        self.hop = chain.tries
        self.sent = sent
        self.budget = budget
        self.key = key
        self.over = False
        self.request: Any = None
        self.keyed_or_unsafe = writes
        self.life = 0
