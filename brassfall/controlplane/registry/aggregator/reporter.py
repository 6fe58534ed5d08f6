"""Reports of an aggregator to the deciding service: one at a time, 250 ms apart, or at once."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from brassfall.controlplane.aggregation.actions import Action, SendReport
from brassfall.controlplane.aggregation.aggregator import Aggregator
from brassfall.controlplane.aggregation.events import Event, ReportDue, UpstreamAnswered, UpstreamFailed
from brassfall.controlplane.aggregation.messages import AggregatorLease, AggregatorReport
from brassfall.controlplane.registry.aggregator.addresses import Addresses
from brassfall.controlplane.registry.aggregator.upstream import Upstream, UpstreamError
from brassfall.logs import logger

JITTER = 0.1  # of the time between two reports
URGENT_INTERVAL_S = 0.01  # between two reports that decisions wait for
FAULT_PAUSE_S = 0.25  # after a fault here

log = logger("reports")

Step = Callable[[Event], list[Action]]


@dataclass(slots=True)
class Reporter:
    """Sends what the core has to report, and hands in the answers.

    `step` gives the core an event and carries out what it says, except for `SendReport`, which it returns."""

    core: Aggregator
    upstream: Upstream
    step: Step
    answered: Callable[[float, AggregatorLease], None]  # of the epoch that counts; with the time of asking
    rng: random.Random
    sent: int = 0
    failed: int = 0
    failing: str = ""  # why the last report got no answer
    _addresses: Addresses = field(init=False)
    _urgent: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self._addresses = self.upstream.spread()

    @property
    def at(self) -> str:
        """Where the next report goes."""
        return self._addresses.current

    def hurry(self) -> None:
        """Report at once, or as soon as the report that is under way is answered."""
        self._urgent.set()

    async def run(self) -> None:
        """Report until this task is cancelled."""
        while True:
            wait_s = FAULT_PAUSE_S
            try:
                wait_s = await self._report()
            except Exception:  # without reports, no child would get a lease any more
                log.exception("fault")
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._urgent.wait()
                    await asyncio.sleep(URGENT_INTERVAL_S)

    async def _report(self) -> float:
        """Send one report; how long until the next, in s."""
        self._urgent.clear()
        for action in self.step(ReportDue()):
            if isinstance(action, SendReport):
                retry_s = await self._send(action.report)
                if retry_s is not None:
                    return retry_s
        every_s = self.core.report_every_ms / 1000.0
        return every_s * (1.0 + JITTER * (2.0 * self.rng.random() - 1.0))

    async def _send(self, report: AggregatorReport) -> float | None:
        """How long to wait after a failure, in s; None where there was none."""
        asked = self.upstream.now()
        self.sent += 1
        try:
            lease = await self.upstream.report(self._addresses.current, self.core.name, report)
        except UpstreamError as error:
            self.failed += 1
            self._fails(error.summary)
            self.step(UpstreamFailed(report.seq))
            return self._addresses.failed(error.retry_s)
        self._addresses.worked()
        self._fails("")
        self.step(UpstreamAnswered(asked, lease))
        if lease.epoch == self.core.epoch:
            self.answered(asked, lease)
        return None

    def _fails(self, why: str) -> None:
        if bool(why) != bool(self.failing):
            if why:
                log.warning("reports fail", reason=why, action=UpstreamError.action)
            else:
                log.info("reports are answered")
        self.failing = why
