"""Geo steering in the list service: delays from reports, `GET /geo`, and steering plans as revisions."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from typing import Any, NamedTuple, Protocol, Unpack

import msgspec
from aiohttp import web

from brassfall.controlplane.aggregation.messages import AggregatorReport
from brassfall.controlplane.geo import evidence, publisher
from brassfall.controlplane.geo.model import Estimate, Pair, update_estimate
from brassfall.controlplane.geo.plan import Plan, PlanError, capacity_ramp, open_since, plan_from_json
from brassfall.controlplane.geo.planner import PlanInputs, PlanPolicy, make_plan
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.tasks import Tasks
from brassfall.controlplane.revisions.messages import DraftFields
from brassfall.controlplane.revisions.reports import Report
from brassfall.controlplane.revisions.state import DurableState
from brassfall.controlplane.store.commands import Put
from brassfall.controlplane.store.store import Store
from brassfall.errors import RequestError
from brassfall.logs import logger
from brassfall.settings import GeoSettings

TICK_S = 0.25  # interval at which the plan publisher is stepped
ESTIMATE_MAX_AGE_S = 1.0  # time for which an estimate of the delays is cached
DEMAND_EXPIRY_S = 10.0  # time after a node's last report from which its demand counts as zero
FIRST_REPORT_SPAN_S = 1.0  # time span that a sidecar's first report is assumed to cover
MIN_REPORT_SPAN_S = 0.25  # minimum time span of a report, which bounds the request rate computed from it
REPORT_BATCH = 256  # number of queued reports at which they are merged into the evidence
MAX_ANSWERS = 2**53  # limit of the answers that one row may count; larger integers are not exact in JSON
LEASE_HOLDER = "list service"  # name of the holder in the row of the plan publisher's lease
NO_PLAN_ACTION = "See the reason. The last plan fades out, and requests are then steered without a plan."

log = logger("geo")
_encode = msgspec.json.Encoder().encode


class Host(Protocol):
    """The part of the list service that geo steering uses."""

    store: Store


class Revisions(Protocol):
    """The part of the revision service that publishes plans."""

    def durable_state(self) -> DurableState:
        """Return the durable state of the configuration revisions."""

    def publish(self, **draft: Unpack[DraftFields]) -> asyncio.Future[int]:
        """Publish a revision; the future's result is its number, once the revision is durable."""


class Demand(NamedTuple):
    """The request rate of one sidecar, or of one client group towards one region behind an aggregator."""

    group: str
    rate: float  # rate of requests, in requests/s
    reported_s: float  # monotonic time of the report, in s


class GeoAnswer(msgspec.Struct, frozen=True):
    """The body of `GET /geo`."""

    pairs: tuple[Pair, ...]
    plan_revision: int = msgspec.field(name="plan_edition")
    plan: dict[str, Any] | None


@dataclass(slots=True)
class Geo:
    """Collects delays between client groups and regions from reports, and publishes plans made from them."""

    host: Host
    revisions: Revisions
    settings: GeoSettings
    rejected_rows: int = 0  # number of malformed rows in all reports
    _evidence: evidence.State = field(default_factory=evidence.State)
    # Reports that are not merged into the evidence yet.
    _pending_reports: list[evidence.NodeReport] = field(default_factory=list)
    # Demand by the name of a sidecar, or by AGGREGATOR/GROUP/REGION for the children of an aggregator.
    _demand: dict[str, Demand] = field(default_factory=dict)
    _estimate: Estimate | None = None
    _estimated_at_s: float = float("-inf")
    # Monotonic time at which each region got its servers, in s.
    _open_since: dict[str, float] = field(default_factory=dict)
    _publisher: publisher.State = field(default_factory=publisher.State)
    _tasks: Tasks = field(default_factory=Tasks)
    _executor: ThreadPoolExecutor = field(default_factory=lambda: ThreadPoolExecutor(1, "geo"))

    def start(self) -> None:
        """Start to publish plans; do nothing if the settings don't give the capacity of servers."""
        if self.settings.per_weight_per_s > 0.0:
            self._tasks.spawn(self._run_publisher())

    async def close(self) -> None:
        """Cancel all tasks, and wait for an estimate or plan that is being computed in the executor."""
        await self._tasks.end()
        self._executor.shutdown(cancel_futures=True)

    def routes(self) -> list[web.RouteDef]:
        """Return the route of `/geo`."""
        return [web.get("/geo", self._get)]

    @property
    def demand(self) -> Mapping[str, Demand]:
        """The demand by sidecar; the demand behind an aggregator is keyed by aggregator/group/region."""
        return self._demand

    # --- reports ------------------------------------------------------------------------

    def receive_report(self, name: str, report: Report) -> dict[str, Any]:
        """Add the delays and the demand in a sidecar's report; return no fields, as an empty dict."""
        rows = report.measures.get("delays")
        if rows:
            now_s = time.monotonic()
            valid = self._queue_rows(name, report.process_id, report.group, rows, now_s)
            answer_count = sum(evidence.sample_count(row.first_bytes) for row in valid)
            previous = self._demand.get(name)
            previous_s = previous.reported_s if previous else now_s - FIRST_REPORT_SPAN_S
            rate = answer_count / max(MIN_REPORT_SPAN_S, now_s - previous_s)
            self._demand[name] = Demand(report.group, rate, now_s)
        return {}

    def _queue_rows(
        self, node: str, incarnation: str, group: str, rows: object, now_s: float
    ) -> tuple[evidence.DelayRow, ...]:
        """Validate the rows of delays in a report; queue the valid rows for merging, and return them."""
        validated = evidence.validate_rows(rows)
        self.rejected_rows += sum(validated.rejected.values())
        self._pending_reports.append(evidence.NodeReport(node, incarnation, group, validated.rows, now_s))
        if len(self._pending_reports) >= REPORT_BATCH:
            self._merge_pending()
        return validated.rows

    def receive_aggregator_report(self, name: str, report: AggregatorReport) -> None:
        """Add the delays and the demand in an aggregator's report, whose rows name their client group."""
        rows = report.measures.get("delays")
        if not isinstance(rows, list):
            self.rejected_rows += rows is not None
            return
        now_s = time.monotonic()
        for group, group_rows in self._rows_by_group(rows).items():
            # In the evidence, all sidecars of a group behind one aggregator count as one node.
            self._queue_rows(f"{name}/{group}", report.process_id, group, group_rows, now_s)
            for row in group_rows:
                rate = _rate(row)
                if rate is not None:
                    self._demand[f"{name}/{group}/{row['region']}"] = Demand(group, rate, now_s)

    def _rows_by_group(self, rows: list[Any]) -> dict[str, list[Any]]:
        groups: dict[str, list[Any]] = {}
        for row in rows:
            group = row.get("group") if isinstance(row, dict) else None
            if evidence.is_name(group):
                groups.setdefault(group, []).append(row)
            else:
                self.rejected_rows += 1
        return groups

    def forget_sidecar(self, name: str) -> None:
        """Forget the demand of a sidecar or aggregator that has left the fleet."""
        self._demand.pop(name, None)
        for key in [node for node in self._demand if node.startswith(f"{name}/")]:
            del self._demand[key]

    def findings(self) -> dict[str, list[str]]:
        """Return no findings, since delays never show a fault of a single sidecar."""
        return {}

    def _merge_pending(self) -> None:
        # Each merge copies the table of nodes, which may have thousands of rows. So reports are merged in
        # batches.
        self._evidence = evidence.merge_reports(self._evidence, self._pending_reports)
        self._pending_reports = []

    # --- estimates ------------------------------------------------------------------------

    async def _current_estimate(self) -> Estimate:
        now_s = time.monotonic()
        if self._estimate is None or now_s - self._estimated_at_s > ESTIMATE_MAX_AGE_S:
            self._merge_pending()
            self._evidence = evidence.expire_nodes(self._evidence, now_s)
            groups = sorted({demand.group for demand in self._demand.values() if demand.group})
            update = partial(
                update_estimate, self._evidence, now_s, groups, sorted(self._capacity()), self._estimate
            )
            self._estimate = await asyncio.get_running_loop().run_in_executor(self._executor, update)
            self._estimated_at_s = now_s
        return self._estimate

    async def _get(self, _request: web.Request) -> web.Response:
        estimate = await self._current_estimate()
        committed = self.revisions.durable_state().committed
        body = GeoAnswer(estimate.pairs, committed.plan_revision, committed.plan)
        return answer(_encode(body))

    def _capacity(self) -> Mapping[str, float]:
        """Return the capacity of each region in requests/s, by the weights of its active servers."""
        capacity: dict[str, float] = {}
        for row in self.host.store.state.rows(INSTANCES):
            if row.value["status"] == "active":
                rate = self.settings.per_weight_per_s * row.value.get("weight", 1.0)
                capacity[row.value["zone"]] = capacity.get(row.value["zone"], 0.0) + rate
        return capacity

    # --- plans ------------------------------------------------------------------------------

    async def _run_publisher(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._step(publisher.Tick())

    def _step(self, event: publisher.Event) -> None:
        self._publisher, actions = publisher.step(self._publisher, time.monotonic(), event)
        for action in actions:
            self._tasks.spawn(self._perform_action(action))

    async def _perform_action(self, action: publisher.Action) -> None:
        try:
            event = await self._result_of_action(action)
        except RequestError as error:
            log.warning("steering plan not renewed", reason=str(error), action=NO_PLAN_ACTION)
            event = publisher.CallFailed()
        self._step(event)

    async def _result_of_action(self, action: publisher.Action) -> publisher.Event:
        """Perform an action of the publisher; return the event that reports the result."""
        match action:
            case publisher.AcquireLease(requested_s):
                return await self._acquire_lease(requested_s)
            case publisher.RenewLease(requested_s, version):
                return self._renew_lease(requested_s, version)
            case publisher.ReadNewest():
                return self._read_newest()
            case publisher.ComputePlan(previous_plan, follows):
                return publisher.PlanComputed(await self._compute_plan(previous_plan), follows)
            case publisher.PublishPlan(plan, follows, token):
                return await self._publish(plan, follows, token)

    async def _acquire_lease(self, requested_s: float) -> publisher.Event:
        row = Put(
            table=publisher.TABLE,
            key=publisher.KEY,
            value={"holder": LEASE_HOLDER},
            lease_ms=int(self._publisher.timing.lease_s * 1000.0),
            if_match=0,
        )
        result = await self.host.store.submit(row)
        if not result.done:
            return publisher.LeaseDenied(requested_s)
        return publisher.LeaseGranted(requested_s, result.index)

    def _renew_lease(self, requested_s: float, version: int) -> publisher.Event:
        renewed = (
            self._fencing_token() == version
            and self.host.store.renew(publisher.TABLE, publisher.KEY, None).done
        )
        return publisher.LeaseGranted(requested_s, version) if renewed else publisher.LeaseDenied(requested_s)

    def _fencing_token(self) -> int:
        row = self.host.store.state.get(publisher.TABLE, publisher.KEY)
        return row.version if row is not None else 0

    def _read_newest(self) -> publisher.NewestRead:
        durable = self.revisions.durable_state()
        newest = durable.waiting or durable.pending or durable.committed
        try:
            plan = plan_from_json(newest.plan) if newest.plan is not None else None
        except PlanError:
            plan = None  # the plan was written by a version with another plan format
        return publisher.NewestRead(plan, durable.newest)

    async def _compute_plan(self, previous_plan: Plan | None) -> Plan | None:
        pairs = (await self._current_estimate()).pairs
        if not pairs:
            return None
        settings, now_s = self.settings, time.monotonic()
        inputs = PlanInputs(
            pairs=pairs,
            demand=self._demand_by_group(now_s),
            capacity=self._ramped_capacity(now_s),
            prices={(p.group, p.region): settings.foreign_penalty_ms for p in pairs if p.group != p.region},
            closed=self.revisions.durable_state().committed.settings.get("regions", {}).get("held", []),
        )
        policy = PlanPolicy(settings.least_elsewhere, settings.migration_most, settings.exploration)
        compute = partial(make_plan, inputs, policy, previous_plan)
        return await asyncio.get_running_loop().run_in_executor(self._executor, compute)

    def _demand_by_group(self, now_s: float) -> dict[str, float]:
        demand: dict[str, float] = {}
        for group, rate, reported_s in self._demand.values():
            if group and now_s - reported_s < DEMAND_EXPIRY_S:
                demand[group] = demand.get(group, 0.0) + rate
        return demand

    def _ramped_capacity(self, now_s: float) -> dict[str, float]:
        """Return the capacity by region in requests/s, ramped up in regions that got servers recently."""
        capacity = self._capacity()
        self._open_since = open_since(self._open_since, capacity, now_s)
        return {
            region: rate * capacity_ramp(now_s - self._open_since[region])
            for region, rate in capacity.items()
            if rate > 0.0
        }

    async def _publish(self, plan: Plan, follows: int, token: int) -> publisher.Event:
        if self._fencing_token() != token:
            return publisher.PublicationRejected()
        number = await self.revisions.publish(plan=plan.as_json(), if_match=follows)
        log.info("steering plan published", edition=number, moved=round(plan.shift, 3))
        return publisher.Published(number)


def _rate(row: Mapping[str, Any]) -> float | None:
    """Return the rate of answers per second in an aggregator's row of delays; None for a malformed row."""
    answers, span_ms = row.get("answers"), row.get("span_ms")
    if not evidence.is_name(row.get("region")):
        return None
    if not isinstance(answers, int) or isinstance(answers, bool) or not 0 <= answers < MAX_ANSWERS:
        return None
    if not isinstance(span_ms, int | float) or isinstance(span_ms, bool):
        return None
    return answers / span_ms * 1000.0 if 0.0 < span_ms <= evidence.MAX_SPAN_MS else None
