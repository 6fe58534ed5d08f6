"""The list service on sockets, with aggregators that are simulated by their reports."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json

import aiohttp
import pytest
from aiohttp import web

from tests.controlplane.test_registry_service import call
from tests.controlplane.test_revisions_service import SOON, decided
from tests.support.loopback import bounded, until
from tests.support.processes import Service

MALFORMED_REPORTS = (
    b"{",
    b"[1]",
    b"null",
    b"\xff",
    b"[" * 50_000,
    b'{"life":"p","seq":1}',
    b'{"life":"p","seq":-1,"region":"a"}',
    b'{"life":"","seq":1,"region":"a"}',
    json.dumps({"life": "p", "seq": 1, "region": "a", "joined": [{"name": "c" * 200, "life": "1"}]}).encode(),
    json.dumps({"life": "p", "seq": 1, "region": "a", "departed": [["c", "1"]] * 3}).encode(),
    json.dumps(
        {"life": "p", "seq": 1, "region": "a", "acknowledged": 7, "prepared": 7, "lagging": ["c"]}
    ).encode(),
)


class ReportingAggregator:
    """A simulated aggregator, whose reports follow the answers; `fields` overrides fields of reports."""

    def __init__(self, call_service, name, **more):
        self.call_service, self.name = call_service, name
        self.fields = {"life": "p", "region": "a", "listen": "", **more}
        self.seq = 0
        self.epoch: int | None = None
        self.lease: dict = {}
        self.children_lag = False

    async def report(self, **more):
        self.seq += 1
        pending = self.lease.get("pending", 0)
        held = pending or self.lease.get("revision", 0)
        body = {"seq": self.seq, "epoch": self.epoch, "held": held, "acknowledged": pending}
        body["prepared"] = 0 if self.children_lag else pending
        status, answer, _ = await self.call_service(
            "POST", f"/aggregators/{self.name}", body | self.fields | more
        )
        if status == 200:
            self.lease, self.epoch = answer, answer["epoch"]
        return status, answer

    async def report_repeatedly(self):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                await self.report()
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def reporting(*reporters):
    """Let aggregators report repeatedly; enter the block once all of them have leases."""
    tasks = [asyncio.create_task(reporter.report_repeatedly()) for reporter in reporters]
    try:
        await until(lambda: all(each.lease.get("lease_ms") for each in reporters))
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def with_service(test):
    """Run a test with a call function for a started service with short leases."""

    @bounded(60.0)
    async def run(tmp_path):
        async with Service(tmp_path, **SOON) as service:
            await service.start()
            async with aiohttp.ClientSession() as session:
                await test(functools.partial(call, session, service))

    run.__name__ = test.__name__
    return run


@with_service
async def test_lagging_children_delay_a_commit_only_while_leases_last_and_objections_halt_it(call_service):
    x, y = ReportingAggregator(call_service, "x"), ReportingAggregator(call_service, "y", region="b")
    async with reporting(x, y):
        y.children_lag = True  # as if one of its children did not acknowledge the revision
        _, answer, _ = await call_service("PUT", "/rules", {"caps": {"look": 7}})
        await until(lambda: y.lease.get("pending") == answer["edition"])
        await y.report()
        assert y.lease["lease_ms"] > 0.0 and y.lease["revision"] == 0
        y.children_lag = False
        assert (await decided(call_service, answer["edition"]))["state"] == "committed"
        await until(lambda: x.lease["revision"] == y.lease["revision"] == answer["edition"])
        # An aggregator that never reports a revision as prepared delays the commit until its leases end.
        y.children_lag = True
        _, answer, _ = await call_service("PUT", "/rules", {"caps": {"look": 8}})
        assert (await decided(call_service, answer["edition"]))["state"] == "committed"
        y.children_lag = False
        # A commit waits only for nodes with a lease, and only their objections count.
        committed = answer["edition"]
        await until(lambda: y.lease["lease_ms"] > 0.0 and y.lease["revision"] == committed)
        y.fields["objections"] = {"c7": "no class 'b' is known here"}  # objects to the next pending revision
        _, answer, _ = await call_service("PUT", "/rules", {"caps": {"b": 8}})
        found = await decided(call_service, answer["edition"])
        assert found["objections"] == [{"edge": "c7", "reason": "no class 'b' is known here"}]


@with_service
async def test_the_answer_to_a_superseded_process_names_the_pending_revision(call_service):
    old, other = ReportingAggregator(call_service, "x"), ReportingAggregator(call_service, "y", region="b")
    async with reporting(old, other):
        other.children_lag = True  # delays the commit while its leases last
        _, answer, _ = await call_service("PUT", "/rules", {"caps": {"look": 7}})
        await until(lambda: other.lease.get("pending") == answer["edition"])
        assert (await ReportingAggregator(call_service, "x", life="q").report())[0] == 200
        found = (await old.report())[1]
        assert (found["why"], found["pending"]) == ("a newer process of its name reports", answer["edition"])


@with_service
async def test_malformed_reports_get_400_and_name_conflicts_409(call_service):
    for body in MALFORMED_REPORTS:
        status, answer, _ = await call_service("POST", "/aggregators/x", body)
        assert (status, answer["error"]) == (400, "bad request"), body
    assert (await call_service("POST", "/aggregators/x y", {}))[0] == 400
    x = ReportingAggregator(call_service, "x", listen="127.0.0.1:1")
    assert (await x.report())[0] == 200
    for other in ({"region": "b"}, {"listen": "127.0.0.1:2"}):
        status, answer = await ReportingAggregator(
            call_service, "x", **{"listen": "127.0.0.1:1", **other, "life": "q"}
        ).report()
        assert (status, answer["error"]) == (409, "conflict") and "aggregator.name" in answer["reason"]
    assert (await call_service("POST", "/edges/x", {"life": "p", "seq": 1}))[0] == 409
    assert (await call_service("POST", "/edges/n0", {"life": "p", "seq": 1}))[0] == 200
    assert (await ReportingAggregator(call_service, "n0").report())[0] == 409
    status, answer = await ReportingAggregator(call_service, "x", life="q", listen="127.0.0.1:1").report()
    assert (status, (await x.report())[1]["why"]) == (200, "a newer process of its name reports")
    found = (await call_service("GET", "/status"))[1]["aggregators"]
    wanted = {
        "reports_malformed": len(MALFORMED_REPORTS),
        "name_conflicts": 3,
        "reports_superseded": 1,
        "known": 1,
    }
    assert {name: found[name] for name in wanted} == wanted


@with_service
async def test_the_listing_requests_children_from_aggregators_and_names_unanswered_ones(call_service):
    age = {"age_ms": 40, "held": 0, "prepared": 0, "acting": 0, "list_index": 3, "list_age_ms": 900.0}
    rows = [{"name": "c1", **age}, {"name": "c2", **age}, {"name": "c9", "acting": "safe", **age, "held": 0}]

    async def edges(_):
        return web.json_response({"edges": rows, "edition": 0})

    app = web.Application()
    app.router.add_get("/edges", edges)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    members = [{"name": name, "life": "1"} for name in ("c1", "c2")]
    try:
        x = ReportingAggregator(
            call_service, "x", listen=f"127.0.0.1:{port}", children={"known": 2, "leased": 2}
        )
        y = ReportingAggregator(call_service, "y", listen="127.0.0.1:9")
        await x.report(joined=members)
        await y.report(joined=[members[1], {"name": "c3", "life": "1"}])
        await call_service("POST", "/edges/n0", {"life": "p", "seq": 1})
        _, answer, _ = await call_service("GET", "/edges")
        found = {
            row["name"]: (row.get("via"), row["age_ms"] is None, row["behind"]) for row in answer["edges"]
        }
        # The service lists c9, which no other aggregator owns.
        assert found["c1"] == ("x", False, "") and found["c9"][0] == "x"
        assert (
            found["c2"] == ("y", True, "aggregator y does not answer") == (*found["c3"][:2], found["c2"][2])
        )
        assert set(found) == {"c1", "c2", "c3", "c9", "n0"} and list(answer["unanswered"]) == ["y"]
        assert next(row for row in answer["edges"] if row["name"] == "c1")["age_ms"] >= 40
        assert (await x.report())[1]["moved"] == [members[1]]
        async with asyncio.timeout(5.0):  # the number of sidecars is cached for a while
            while (await x.report())[1]["members"] != 4:  # the sidecars n0, c1, c2 and c3
                await asyncio.sleep(0.02)
        _, answer, _ = await call_service("GET", "/aggregators")
        assert [(row["name"], row["members"], row["children"]["known"]) for row in answer["aggregators"]] == [
            ("x", 1, 2),
            ("y", 2, 0),
        ]
        assert (await call_service("DELETE", "/edges/c1"))[0] == 404
        assert (await call_service("DELETE", "/edges/y"))[0] == 200
        async with asyncio.timeout(5.0):
            # The sidecars n0 and c1 are left; c2 belonged to y, and x has been notified of that.
            while (await x.report())[1]["members"] != 2:
                await asyncio.sleep(0.02)
    finally:
        await runner.cleanup()


@with_service
async def test_exceptions_in_reports_get_orders_and_delays_become_evidence(call_service):
    x = ReportingAggregator(call_service, "x", places=[{"group": "g", "region": "a"}])
    member = {"name": "c1", "life": "1"}
    row = {**member, "place": {"group": "g", "region": "a"}, "digest": "1-00000000"}
    async with reporting(x):
        await x.report(joined=[member])
        assert x.lease["digests"] == [{"place": {"group": "g", "region": "a"}, "digest": "0-00000000"}]
        x.fields["exceptions"] = [row, {**row, "name": "stranger"}]
        await until(lambda: any(order.get("list_overrides") for order in x.lease.get("orders", ())))
        # A sidecar that the aggregator does not own gets no orders.
        assert [order["name"] for order in x.lease["orders"]] == ["c1"]
        delay = {"group": "g", "region": "b", "window": 1, "span_ms": 5000, "first": {"100": 9}}
        await x.report(measures={"delays": [delay, {**delay, "group": 7}, 5]})
        _, answer, _ = await call_service("GET", "/geo")
        assert [(pair["group"], pair["region"], pair["tried"]) for pair in answer["pairs"]] == [
            ("g", "b", True)
        ]


@pytest.mark.parametrize("killed", [False, True])
@bounded(60.0)
async def test_a_sidecar_that_moves_to_an_aggregator_is_no_longer_a_member(tmp_path, killed):
    async with Service(tmp_path, **SOON) as service:
        await service.start()
        async with aiohttp.ClientSession() as session:
            call_service = functools.partial(call, session, service)
            for name in ("n0", "n1"):
                await call_service("POST", f"/edges/{name}", {"life": "p", "seq": 1})
            reporters = [ReportingAggregator(call_service, name) for name in ("x", "y", "z")]
            if not killed:
                reporters[0].fields["joined"] = [{"name": name, "life": "1"} for name in ("n0", "n1")]
            async with reporting(*reporters):
                wanted = 5 if killed else 3  # silent members count until an operator removes them
                async with asyncio.timeout(10.0):
                    while (await call_service("GET", "/status"))[1]["rules"]["edges"] != wanted:
                        await asyncio.sleep(0.02)
                assert reporters[0].lease["members"] == 2
