"""The reports of an aggregator to the list service: one at a time, at intervals or urgent."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from brassfall import logs
from brassfall.controlplane.aggregation.actions import Action, SendReport
from brassfall.controlplane.aggregation.aggregator import Aggregator
from brassfall.controlplane.aggregation.events import Event, ReportDue, UpstreamAnswered, UpstreamFailed
from brassfall.controlplane.aggregation.messages import AggregatorLease, AggregatorReport
from brassfall.controlplane.registry.aggregator.addresses import Addresses
from brassfall.controlplane.registry.aggregator.upstream import Upstream, UpstreamError
from brassfall.logs import logger

JITTER = 0.1  # of the interval, either way
URGENT_INTERVAL_S = 0.01  # between two urgent reports
FAULT_PAUSE_S = 0.25  # after a defect here

log = logger("reports")

Step = Callable[[Event], list[Action]]


@dataclass(slots=True)
class Reporter:
    """Sends the core's reports, and passes the answers to it.

    `step` passes an event to the core and carries its actions out, except for `SendReport`, which it returns.
    """

    core: Aggregator
    upstream: Upstream
    step: Step
    answered: Callable[
        [float, AggregatorLease], None
    ]  # called with answers of the followed epoch, and when their reports were sent
    rng: random.Random
    sent: int = 0
    failed: int = 0
    failing: str = ""  # why the last report had no good answer; empty if it had one
    _addresses: Addresses = field(init=False)
    _urgent: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self._addresses = self.upstream.spread()

    @property
    def at(self) -> str:
        """The address of the next report."""
        return self._addresses.current

    def hurry(self) -> None:
        """Report at once, or as soon as a report under way was answered."""
        self._urgent.set()

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            wait_s = FAULT_PAUSE_S
            try:
                wait_s = await self._report()
            except Exception:  # without reports no child would get a lease
                log.exception("fault", action=logs.REPORT)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._urgent.wait()
                    await asyncio.sleep(URGENT_INTERVAL_S)

    async def _report(self) -> float:
        """Send one report; return the wait until the next, in s."""
        self._urgent.clear()
        for action in self.step(ReportDue()):
            if isinstance(action, SendReport):
                retry_s = await self._send(action.report)
                if retry_s is not None:
                    return retry_s
        every_s = self.core.report_every_ms / 1000.0
        return every_s * (1.0 + JITTER * (2.0 * self.rng.random() - 1.0))

    async def _send(self, report: AggregatorReport) -> float | None:
        """Send a report; return the wait after a failure, in s, or None after a good answer."""
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
