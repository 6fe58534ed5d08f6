"""Reports of an aggregator to the list service, sent one at a time, at intervals or when urgent."""

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

JITTER = 0.1  # fraction by which the interval between reports is lengthened or shortened at random
URGENT_INTERVAL_S = 0.01  # minimum interval between two urgent reports
FAULT_PAUSE_S = 0.25  # pause of the reports after an unexpected exception

log = logger("reports")

Step = Callable[[Event], list[Action]]


@dataclass(slots=True)
class Reporter:
    """Sends the core's reports to the list service, and passes the answers to the core.

    `step` passes an event to the core, performs its actions except for `SendReport`, and returns all of them.
    """

    core: Aggregator
    upstream: Upstream
    step: Step
    # `on_answer` is called with the time at which a report was sent, and its answer, if that is of the epoch
    # that the core follows.
    on_answer: Callable[[float, AggregatorLease], None]
    rng: random.Random
    sent: int = 0
    failed: int = 0
    failing: str = ""  # reason why the last report got no good answer; empty if it got one
    _addresses: Addresses = field(init=False)
    _urgent: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self._addresses = self.upstream.new_addresses()

    @property
    def address(self) -> str:
        """The address to which the next report is sent."""
        return self._addresses.current

    def report_soon(self) -> None:
        """Send a report at once, or as soon as the report under way has been answered."""
        self._urgent.set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            wait_s = FAULT_PAUSE_S
            try:
                wait_s = await self._report()
            except Exception:  # reporting has to go on, since without it no child would get a lease
                log.exception("unexpected exception in this program", action=logs.REPORT)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._urgent.wait()
                    await asyncio.sleep(URGENT_INTERVAL_S)

    async def _report(self) -> float:
        """Send the report that is due; return the wait until the next report, in s."""
        self._urgent.clear()
        for action in self.step(ReportDue()):
            if isinstance(action, SendReport):
                retry_s = await self._send(action.report)
                if retry_s is not None:
                    return retry_s
        every_s = self.core.report_every_ms / 1000.0
        return every_s * (1.0 + JITTER * (2.0 * self.rng.random() - 1.0))

    async def _send(self, report: AggregatorReport) -> float | None:
        """Send a report; return None after a good answer, or the wait after a failure, in s."""
        sent_ms = self.upstream.now()
        self.sent += 1
        try:
            lease = await self.upstream.report(self._addresses.current, self.core.name, report)
        except UpstreamError as error:
            self.failed += 1
            self._set_failing(error.summary)
            self.step(UpstreamFailed(report.seq))
            return self._addresses.record_failure(error.retry_s)
        self._addresses.record_success()
        self._set_failing("")
        self.step(UpstreamAnswered(sent_ms, lease))
        if lease.epoch == self.core.epoch:
            self.on_answer(sent_ms, lease)
        return None

    def _set_failing(self, reason: str) -> None:
        if bool(reason) != bool(self.failing):
            if reason:
                log.warning(
                    "aggregator's reports to the list service fail",
                    reason=reason,
                    action=UpstreamError.action,
                )
            else:
                log.info("aggregator's reports to the list service are answered again")
        self.failing = reason
