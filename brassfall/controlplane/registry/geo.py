"""The shell of geo steering: delays out of reports, `GET /geo`, and plans published as editions."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from typing import Any, Protocol

import msgspec
from aiohttp import web

from brassfall.controlplane.aggregation.messages import AggregatorReport
from brassfall.controlplane.geo import evidence, publisher
from brassfall.controlplane.geo.model import Estimate, follow
from brassfall.controlplane.geo.plan import Plan, PlanError, ease, from_json, opened, plan
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.tasks import Tasks
from brassfall.controlplane.revisions.reports import Report
from brassfall.controlplane.revisions.state import DurableState
from brassfall.controlplane.store.core import Put
from brassfall.controlplane.store.store import Store
from brassfall.errors import Refused
from brassfall.logs import logger
from brassfall.settings import GeoSettings

TICK_S = 0.25
FRESH_S = 1.0  # an estimate is told again for so long
DEMAND_S = 10.0  # a sidecar that is silent for longer asks for nothing
HEARD_MOST = 256  # reports that are added to the evidence at once
HOLDER = "list service"

log = logger("geo")
_encode = msgspec.json.Encoder().encode


class Host(Protocol):
    """What the list service lends."""

    store: Store


class Editions(Protocol):
    """The agreement, as far as plans go through it."""

    def kept(self) -> DurableState:
        """What is durable of the editions."""

    def publish(self, **layers: Any) -> asyncio.Future[int]:
        """Have an edition published."""


@dataclass(slots=True)
class Geo:
    """Delays between client groups and regions, as this life of the service has heard of them."""

    host: Host
    editions: Editions
    settings: GeoSettings
    refused: int = 0  # rows of reports that were none
    _state: evidence.State = field(default_factory=evidence.State)
    _heard: list[evidence.Heard] = field(default_factory=list)  # not yet part of it
    # Group, rate and when: by edge, and for an aggregator by its name, group and region.
    _demand: dict[str, tuple[str, float, float]] = field(default_factory=dict)
    _estimate: Estimate | None = None
    _estimated_at: float = float("-inf")
    _opened: dict[str, float] = field(default_factory=dict)  # since when regions have servers
    _publisher: publisher.State = field(default_factory=publisher.State)
    _tasks: Tasks = field(default_factory=Tasks)
    _thread: ThreadPoolExecutor = field(default_factory=lambda: ThreadPoolExecutor(1, "geo"))

    def start(self) -> None:
        """Publish plans from now on, where the settings say what regions can carry."""
        if self.settings.per_weight_per_s > 0.0:
            self._tasks.spawn(self._tick())

    async def close(self) -> None:
        """Publish no more."""
        await self._tasks.end()
        self._thread.shutdown(cancel_futures=True)

    def routes(self) -> list[web.RouteDef]:
        """The paths."""
        return [web.get("/geo", self._get)]

    # --- reports ------------------------------------------------------------------------

    def reported(self, name: str, report: Report) -> dict[str, Any]:
        """A sidecar's report: what it measured is added to the evidence."""
        rows = report.measures.get("delays")
        if rows:
            now = time.monotonic()
            sifted = self._hear(name, report.process_id, report.group, rows, now)
            answers = sum(evidence.count(first) for _, _, _, first in sifted.rows)
            _, _, before = self._demand.get(name, ("", 0.0, now - 1.0))
            self._demand[name] = (report.group, answers / max(0.25, now - before), now)
        return {}

    def _hear(self, edge: str, life: str, group: str, rows: Any, now: float) -> evidence.Sifted:
        sifted = evidence.sift(rows)
        self.refused += sum(sifted.refused.values())
        self._heard.append(evidence.Heard(edge, life, group, sifted.rows, now))
        if len(self._heard) >= HEARD_MOST:
            self._gather()
        return sifted

    def merged(self, name: str, report: AggregatorReport) -> None:
        """An aggregator's report: what its children measured, by client group, is added to the evidence."""
        rows = report.measures.get("delays")
        if not isinstance(rows, list):
            self.refused += rows is not None
            return
        groups: dict[str, list[Any]] = {}
        for row in rows:
            group = row.get("group") if isinstance(row, dict) else None
            if isinstance(group, str) and 0 < len(group) <= evidence.NAME_MOST:
                groups.setdefault(group, []).append(row)
            else:
                self.refused += 1
        now = time.monotonic()
        for group, some in groups.items():
            # An edge is here the part of a group that reports to one aggregator.
            self._hear(f"{name}/{group}", report.life, group, some, now)
            for row in some:
                asked = _rate(row)
                if asked is not None:
                    self._demand[f"{name}/{group}/{row['region']}"] = (group, asked, now)

    def gone(self, name: str) -> None:
        """A sidecar, or an aggregator, has left the fleet."""
        self._demand.pop(name, None)
        for part in [edge for edge in self._demand if edge.startswith(f"{name}/")]:
            del self._demand[part]

    def findings(self) -> dict[str, list[str]]:
        """Nothing here is wrong with a single sidecar."""
        return {}

    def _gather(self) -> None:
        # Each adding copies what there is of edges: of thousands, not at each report.
        self._state = evidence.gathered(self._state, self._heard)
        self._heard = []

    # --- estimates ------------------------------------------------------------------------

    async def _estimated(self) -> Estimate:
        now = time.monotonic()
        if self._estimate is None or now - self._estimated_at > FRESH_S:
            self._gather()
            self._state = evidence.forget(self._state, now)
            groups = sorted({group for group, _, _ in self._demand.values() if group})
            work = (self._state, now, groups, sorted(self._capacity()), self._estimate)
            loop = asyncio.get_running_loop()
            self._estimate = await loop.run_in_executor(self._thread, lambda: follow(*work))
            self._estimated_at = now
        return self._estimate

    async def _get(self, request: web.Request) -> web.Response:
        found = await self._estimated()
        kept = self.editions.kept()
        pairs = [asdict(pair) for pair in found.pairs]
        return answer(
            _encode(
                {"pairs": pairs, "plan_edition": kept.committed.plan_revision, "plan": kept.committed.plan}
            )
        )

    def _capacity(self) -> Mapping[str, float]:
        """What each region can carry, in requests/s: by the weights of its active servers."""
        found: dict[str, float] = {}
        for row in self.host.store.table.rows(INSTANCES):
            if row.value["status"] == "active":
                rate = self.settings.per_weight_per_s * row.value.get("weight", 1.0)
                found[row.value["zone"]] = found.get(row.value["zone"], 0.0) + rate
        return found

    # --- plans ------------------------------------------------------------------------------

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            await self._step(publisher.Tick())

    async def _step(self, event: publisher.Event) -> None:
        self._publisher, actions = publisher.step(self._publisher, time.monotonic(), event)
        for action in actions:
            self._tasks.spawn(self._do(action))

    async def _do(self, action: publisher.Action) -> None:
        try:
            match action:
                case publisher.Take(asked):
                    row = Put(
                        table=publisher.TABLE,
                        key=publisher.KEY,
                        value={"holder": HOLDER},
                        lease_ms=int(self._publisher.terms.lease_s * 1000.0),
                        if_match=0,
                    )
                    result = await self.host.store.submit(row)
                    granted = publisher.Granted(asked, result.index)
                    await self._step(granted if result.done else publisher.Denied(asked))
                case publisher.Renew(asked, version):
                    held = self._fence() == version
                    done = held and self.host.store.renew(publisher.TABLE, publisher.KEY, None).done
                    await self._step(publisher.Granted(asked, version) if done else publisher.Denied(asked))
                case publisher.ReadNewest():
                    await self._step(self._newest())
                case publisher.Make(before, follows):
                    await self._step(publisher.Made(await self._make(before), follows))
                case publisher.Publish(made, follows, fence):
                    await self._publish(made, follows, fence)
        except Refused as error:
            log.warning("no plan", reason=str(error))
            await self._step(publisher.Failed())

    def _fence(self) -> int:
        row = self.host.store.table.get(publisher.TABLE, publisher.KEY)
        return row.version if row is not None else 0

    def _newest(self) -> publisher.Read:
        kept = self.editions.kept()
        newest = kept.waiting or kept.pending or kept.committed
        try:
            told = from_json(newest.plan) if newest.plan is not None else None
        except PlanError:
            told = None  # of a version that writes plans in another way: made anew
        return publisher.Read(told, kept.newest)

    async def _make(self, before: Plan | None) -> Plan | None:
        pairs = (await self._estimated()).pairs
        if not pairs:
            return None
        told, now, demand = self.settings, time.monotonic(), dict[str, float]()
        for group, rate, at in self._demand.values():
            if group and now - at < DEMAND_S:
                demand[group] = demand.get(group, 0.0) + rate
        held = self.editions.kept().committed.settings.get("regions", {}).get("held", [])
        price = {(p.group, p.region): told.crossing_ms for p in pairs if p.group != p.region}
        capacity = self._capacity()
        self._opened = opened(self._opened, capacity, now)
        capacity = {
            region: each * ease(now - self._opened[region]) for region, each in capacity.items() if each > 0.0
        }
        work = (pairs, demand, capacity, before, price, told.floor, told.most_moved, told.look, held)
        return await asyncio.get_running_loop().run_in_executor(self._thread, lambda: plan(*work))

    async def _publish(self, made: Plan, follows: int, fence: int) -> None:
        if self._fence() != fence:
            await self._step(publisher.Overtaken())
            return
        number = await self.editions.publish(plan=made.as_json(), if_match=follows)
        log.info("plan", edition=number, moved=round(made.moved, 3))
        await self._step(publisher.Accepted(number))


def _rate(row: Mapping[str, Any]) -> float | None:
    """The answers a second that a row of an aggregator counts; None where it is none."""
    region, answers, span_ms = row.get("region"), row.get("answers"), row.get("span_ms")
    if not isinstance(region, str) or not 0 < len(region) <= evidence.NAME_MOST:
        return None
    if not isinstance(answers, int) or isinstance(answers, bool) or not 0 <= answers < 2**53:
        return None
    if not isinstance(span_ms, int | float) or isinstance(span_ms, bool):
        return None
    return answers / span_ms * 1000.0 if 0.0 < span_ms <= evidence.SPAN_MOST_MS else None
