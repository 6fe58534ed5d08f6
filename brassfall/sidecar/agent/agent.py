"""This sidecar's client of the control plane: reports, the watch on revisions, and what to act on."""

from __future__ import annotations

import asyncio
import json
import math
import os
import random
import traceback
from collections.abc import Callable, Mapping
from typing import Any

from brassfall.sidecar import log
from brassfall.sidecar.agent.lease_client import ActiveConfiguration, LeaseClient, Revision
from brassfall.sidecar.agent.lists import Sources
from brassfall.sidecar.agent.reporter import Node, Reporter
from brassfall.sidecar.agent.watch import RevisionWatch
from brassfall.sidecar.config import Agreement
from brassfall.sidecar.config_values import Address

RETRY_ACT_S = 1.0  # after a fault in acting on a configuration, until it is tried again

Act = Callable[[ActiveConfiguration, float], float]


class Agent:
    """Renews the lease, and calls `act` whenever the configuration to act on has changed."""

    def __init__(  # noqa: PLR0913 - the parts that it joins
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        agreement: Agreement,
        addresses: tuple[Address, ...],
        check: Callable[[Revision], str],
        act: Act,
        seed: int,
    ) -> None:
        """Begin on this sidecar's own file.

        `check` returns why a revision can't be acted on, empty where it can. `act` gets the active
        configuration and the time, in seconds of the loop, and returns until when that stays the same if no
        revision comes.
        """
        self._loop = loop
        self._act = act
        self._acting: int | str | None = None  # the revision, or `FALLBACK`; None before the first one
        self._tasks: list[asyncio.Task[None]] = []
        rng = random.Random(seed)
        self._sources = Sources(addresses, rng)
        self.lease_client = LeaseClient(os.urandom(8).hex(), check)
        self._reporter = Reporter(loop, Node(name, agreement), self._sources, self, rng)
        self._watch = RevisionWatch(
            loop, rng, lambda: self.lease_client.newest_revision, self._receive_update
        )
        self.report_extensions = self._reporter.extensions
        self.answer_listeners = self._reporter.answer_listeners
        self.valid_until = -math.inf  # until then, the configuration acted on last is the one to act on
        self.overrides: list[str] = []  # the ids of those that are acted on
        self.stamp = b""  # the header of each request to a server, with the revision that decided it

    def start(self) -> None:
        """Act on the fallback configuration, and request a lease."""
        self.refresh(self._loop.time())
        work = (self._reporter.run(), self._watch.run(self._sources))
        self._tasks = [self._loop.create_task(each) for each in work]

    async def leave(self) -> None:
        """Stop, and report that this process acts on nothing any more."""
        tasks = self._tasks
        self.close()
        # A cancelled call closes its connection: the last report is sent once that is done.
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._reporter.deregister()

    def close(self) -> None:
        """Stop reporting and watching."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    # --- what to act on ---------------------------------------------------------------

    def current_stamp(self, now: float) -> bytes:
        """Return the stamp of what is decided at this time, in seconds of the loop.

        It is called before each decision, and costs one comparison while the configuration holds.
        """
        if now >= self.valid_until:
            self.refresh(now)
        return self.stamp

    def refresh(self, now: float) -> None:
        """Act on what holds at this time, and determine until when it does."""
        active = self.lease_client.active_configuration(now)
        self.valid_until = (
            math.inf if active.fallback else now + self.lease_client.lease_left_ms(now) / 1000.0
        )
        if self._acting != active.acting:
            if active.fallback:
                log.info("configuration: acting on the fallback configuration")
            else:
                log.info("configuration: acting on a revision", edition=active.acting)
            self._acting = active.acting
            self.stamp = f"X-Edition: {active.acting}\r\n".encode()
        try:
            until = self._act(active, now)
        except Exception:  # noqa: BLE001 - called before each decision: a fault would fail every request
            log.error(
                "configuration: could not act on it, the one before stays",
                action="report it",
                traceback=traceback.format_exc(),
            )
            until = now + RETRY_ACT_S
        self.valid_until = min(self.valid_until, until)

    def renew_stamp(self) -> None:
        """Replace the stamp by an equal one: requests decided before, and not yet sent, are decided anew."""
        self.stamp = bytes(bytearray(self.stamp))

    @property
    def state(self) -> str:
        """The state for operators, as one line of JSON."""
        now = self._loop.time()
        self.current_stamp(now)
        state: dict[str, Any] = {
            "held": self.lease_client.newest_revision,
            "acting": self.lease_client.active_configuration(now).acting,
            "permission_ms": round(self.lease_client.lease_left_ms(now)),
            "overrides": self.overrides,
            "at": "{}:{}".format(*self._sources.current),
            "failing": self._reporter.failure,
        }
        return json.dumps(state)

    def _receive_update(self, raw: Mapping[str, Any]) -> None:
        self.lease_client.receive_update(raw)
        self._reporter.wake_if_urgent()
        # What two revisions have in common is acted on before the acknowledgement is reported.
        self.refresh(self._loop.time())
