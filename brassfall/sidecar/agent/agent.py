"""The agent: this sidecar's client of the control plane.

The agent sends reports, watches configuration revisions and determines the active configuration.
"""

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
from brassfall.sidecar.agent.lists import ServiceAddresses
from brassfall.sidecar.agent.reporter import Node, Reporter
from brassfall.sidecar.agent.watch import RevisionWatch
from brassfall.sidecar.config import Agreement
from brassfall.sidecar.config_values import Address

# Wait before `act` is called again after it raised an exception, in seconds.
ACT_RETRY_DELAY_S = 1.0

ActOnConfiguration = Callable[[ActiveConfiguration, float], float]


class Agent:
    """Client of the control plane that renews the lease and applies the active configuration.

    The active configuration is applied by the callback `act`.
    """

    def __init__(  # noqa: PLR0913 - the agent creates and connects all parts of the client
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        agreement: Agreement,
        addresses: tuple[Address, ...],
        check: Callable[[Revision], str],
        act: ActOnConfiguration,
        seed: int,
    ) -> None:
        """Create an agent without a lease, which acts on this sidecar's own file.

        `addresses` are those of the list service or its aggregators. `check` returns the reason why this
        sidecar can't act on a revision, or an empty text if it can. `act` applies the active configuration
        at a time in seconds of the loop, and returns the time until which the result stays valid if no
        other revision arrives.
        """
        self._loop = loop
        self._act = act
        # The revision number that is acted on, or `FALLBACK`; None before the first call of `refresh`.
        self._acting: int | str | None = None
        self._tasks: list[asyncio.Task[None]] = []
        rng = random.Random(seed)
        self._addresses = ServiceAddresses(addresses, rng)
        self.lease_client = LeaseClient(os.urandom(8).hex(), check)
        self._reporter = Reporter(loop, Node(name, agreement), self._addresses, self, rng)
        self._watch = RevisionWatch(
            loop, rng, lambda: self.lease_client.newest_revision, self._receive_update
        )
        self.report_extensions = self._reporter.extensions
        self.answer_listeners = self._reporter.answer_listeners
        # The time until which the configuration applied last stays the active one, in seconds of the loop.
        self.valid_until = -math.inf
        self.overrides: list[str] = []  # Ids of the overrides that this sidecar acts on
        # The header line X-Edition of each request to a server: the revision under which it was selected.
        self.stamp = b""

    def start(self) -> None:
        """Act on the fallback configuration, and start to report and to watch revisions.

        The first report requests a lease.
        """
        self.refresh(self._loop.time())
        coroutines = (self._reporter.run(), self._watch.run(self._addresses))
        self._tasks = [self._loop.create_task(coroutine) for coroutine in coroutines]

    async def leave(self) -> None:
        """Stop the agent, and report that this process acts on no configuration any more."""
        tasks = self._tasks
        self.close()
        # A cancelled call closes its connection. The last report is sent after that, on a new connection.
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._reporter.deregister()

    def close(self) -> None:
        """Stop reporting and watching, without a last report."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    # --- the active configuration ------------------------------------------------------

    def current_stamp(self, now: float) -> bytes:
        """Return the header line of requests that are decided at `now`, in seconds of the loop.

        The method is called before each decision. While the applied configuration is valid, a call costs one
        comparison.
        """
        if now >= self.valid_until:
            self.refresh(now)
        return self.stamp

    def refresh(self, now: float) -> None:
        """Apply the configuration that is active at `now`, and determine until when it stays valid."""
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
            unchanged_until = self._act(active, now)
        except Exception:  # noqa: BLE001 - this runs before each decision; raising would fail every request
            log.error(
                "configuration: could not apply the active configuration, keeping the previous one",
                action="report this as a defect of the program, with the traceback",
                traceback=traceback.format_exc(),
            )
            unchanged_until = now + ACT_RETRY_DELAY_S
        self.valid_until = min(self.valid_until, unchanged_until)

    def renew_stamp(self) -> None:
        """Replace the stamp by an equal object, so that decided but unsent requests are decided again.

        A request that is about to be sent compares the identity of its stamp with the current one.
        """
        self.stamp = bytes(bytearray(self.stamp))

    @property
    def state(self) -> str:
        """The agent's state for operators, as one line of JSON."""
        now = self._loop.time()
        self.current_stamp(now)
        state: dict[str, Any] = {
            "held": self.lease_client.newest_revision,
            "acting": self.lease_client.active_configuration(now).acting,
            "permission_ms": round(self.lease_client.lease_left_ms(now)),
            "overrides": self.overrides,
            "at": "{}:{}".format(*self._addresses.current),
            "failing": self._reporter.failure,
        }
        return json.dumps(state)

    def _receive_update(self, raw: Mapping[str, Any]) -> None:
        self.lease_client.receive_update(raw)
        self._reporter.wake_if_urgent()
        # Once a revision is acknowledged, this sidecar must act only on what the granted and the acknowledged
        # revision have in common. It does so before it reports the acknowledgement.
        self.refresh(self._loop.time())
