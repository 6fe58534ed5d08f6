"""A list service in the process of the tests: defects in parts, nodes that leave, operator commands."""

from __future__ import annotations

import asyncio
import json
from itertools import count

import pytest
from typer.testing import CliRunner

from brassfall import logs
from brassfall.cli import main as cli
from brassfall.controlplane.aggregation.messages import (
    AggregatorReport,
    ChildException,
    ChildOrder,
    Member,
    Place,
)
from brassfall.controlplane.overrides import reconciler
from brassfall.controlplane.registry import client
from brassfall.controlplane.registry.server import Service
from brassfall.controlplane.registry.tasks import Tasks
from brassfall.controlplane.revisions.coordinator import RevisionCoordinator
from brassfall.controlplane.revisions.messages import RemoveMember
from brassfall.controlplane.revisions.reports import Report
from brassfall.settings import AgreementSettings, RegistrySettings
from tests.support.loopback import bounded, until


def service(tmp_path, **more):
    """Return a list service that is not started, with the settings `more`."""
    return Service(RegistrySettings(listen="127.0.0.1:0", data=str(tmp_path / "registry"), **more))


@pytest.mark.parametrize(("part", "method"), [("revisions", "step"), ("overrides", "_step")])
@bounded(30.0)
async def test_a_part_continues_after_an_exception_in_one_step(tmp_path, monkeypatch, part, method):
    list_service, calls = service(tmp_path), []
    part_type = type(getattr(list_service, part))
    monkeypatch.setattr(part_type, method, lambda *_: (calls.append(1), {}["a fault"])[0])
    await list_service.start()
    try:
        await until(lambda: len(calls) > 1)
    finally:
        await list_service.close()


async def _start_override(list_service, address):
    """Start an override that for the reconciler has been in force for longer than its delivery takes."""
    now = list_service.overrides.now()
    document = {"action": {"freeze": True}, "by": "a", "why": "b", "until_ms": now + 60_000}
    await client.call(address, "PUT", "/overrides/o", document)
    list_service.overrides.reconciler.step(
        now - 60_000, reconciler.OverridesPublished(list_service.overrides.store.active(now))
    )


@bounded(30.0)
async def test_a_node_that_has_left_is_forgotten_by_all_parts(tmp_path, monkeypatch):
    list_service = service(tmp_path, agreement=AgreementSettings(forget_ms=0.0))
    address = await list_service.start()
    try:
        revisions, now = list_service.revisions, list_service.revisions.now()
        row = {"region": "a", "window": 1, "span_ms": 500.0, "shake": {}, "first": {"100": 5}}
        for name, process_id in (("on", "p"), ("on", "q"), ("off", "p"), ("left", "p")):
            list_service.nodes.answer(
                name, Report(process_id=process_id, seq=1, group="g", measures={"delays": [row]})
            )
        await until(lambda: revisions.coordinator.membership.names == {"on", "off", "left"})
        revisions.coordinator.membership.names.discard("off")  # "off" reports, but is not a member
        assert (
            set(list_service.geo.demand)
            == {"on", "off", "left"}
            == set(revisions.coordinator.membership.nodes)
        )
        await _start_override(list_service, address)
        list_service.nodes.answer("left", Report(process_id="p", seq=2, leaving=True))
        # The last report of a node needs no digest of overrides, so there is no finding.
        assert list_service.overrides.findings() == {}
        list_service.nodes.answer("nobody", Report(process_id="p", seq=1, leaving=True))
        assert revisions.coordinator.departing == ["left"]  # The departure of an unknown node is ignored
        revisions.step(RemoveMember("left"))
        assert set(list_service.geo.demand) == {"on", "off"}
        revisions.sweep(now + 1e9)
        # No member is removed while another service may hold the majority.
        assert revisions.coordinator.membership.names == {"on"}
        monkeypatch.setattr(RevisionCoordinator, "grant_refusal", lambda *_: None)
        revisions.sweep(now + 1e9)
        assert (
            list_service.geo.demand,
            revisions.coordinator.membership.nodes,
            revisions.coordinator.leases.active(now),
        ) == ({}, {}, {})
    finally:
        await list_service.close()


@bounded(30.0)
async def test_a_child_that_acts_on_other_overrides_is_denied_a_lease_through_its_aggregator(
    tmp_path, monkeypatch
):
    list_service, now, seen_orders = service(tmp_path), [1_000_000], []
    monkeypatch.setattr(type(list_service.overrides), "now", lambda _: now[0])
    await list_service.start()
    try:
        place, seq = Place("g", "a"), count(1)

        def orders(digest, acted=None, joined=(), name="x"):
            """Report the overrides of the child "c" through the aggregator `name`; return its orders."""
            now[0] += 500
            row = ChildException("c", "1", place, digest, acted)
            report = AggregatorReport("p", next(seq), "a", exceptions=[row], joined=list(joined))
            return list_service.aggregators.receive_report(name, report).orders

        assert orders("1-00000000") == []  # The service does not know "c" as a child of the aggregator yet
        orders("1-00000000", None, [Member("c", "1")])
        while not seen_orders or not seen_orders[-1].blocked:
            seen_orders += orders("1-00000000", {"o9": 5})
        assert any(order.list_overrides for order in seen_orders) and any(
            order.refresh_times for order in seen_orders
        )
        assert list(list_service.overrides.findings()) == ["c"] and now[0] < 1_030_000
        assert orders("0-00000000") == [ChildOrder("c")] and list_service.overrides.findings() == {}
        while not orders("1-00000000", {"o9": 5})[0].blocked:
            pass
        # A child that moves to another aggregator starts there without findings.
        assert orders("1-00000000", None, [Member("c", "1")], "y") == [ChildOrder("c")]
        assert list_service.overrides.findings() == {}
    finally:
        await list_service.close()


def test_the_command_line_computes_the_end_of_an_override_with_the_clock_of_the_service(
    tmp_path, monkeypatch
):
    sent = []

    async def call(at, method, path, body=None, headers=None):
        sent.append((method, path, body))
        return {"now_ms": 5_000_000, "left_ms": 1}

    monkeypatch.setattr(client, "call", call)
    file = tmp_path / "override.toml"
    file.write_text('id = "o"\nfor_s = 600\n')
    assert CliRunner().invoke(cli.app, ["override", "add", str(file), "--at", "127.0.0.1:1"]).exit_code == 0
    assert sent[-1] == ("PUT", "/overrides/o", {"until_ms": 5_600_000})


def test_a_publisher_reports_an_answer_that_is_not_of_a_list_service(tmp_path, monkeypatch):
    async def call(at, method, path, body=None, headers=None):
        return {"edition": 1} if method == "PUT" else []

    monkeypatch.setattr(client, "call", call)
    file = tmp_path / "settings.toml"
    file.write_text("[caps]\nlook = 5\n")
    arguments = ["rules", "publish", str(file), "--at", "127.0.0.1:1", "--wait"]
    result = CliRunner().invoke(cli.app, arguments)
    assert (isinstance(result.exception, SystemExit), "Another program" in result.output) == (True, True)


@bounded(30.0)
async def test_a_failed_task_is_logged_and_running_tasks_end_with_their_part(capsys):
    async def fail():
        raise KeyError("a fault")

    tasks, ended = Tasks(), asyncio.Event()

    async def wait():
        try:
            await asyncio.Event().wait()
        finally:
            ended.set()

    logs.set_up()
    tasks.spawn(fail())
    tasks.spawn(wait())
    await asyncio.sleep(0.0)
    await tasks.end()
    line = json.loads(capsys.readouterr().err.splitlines()[0])
    assert (line["event"], "a fault" in line["exception"], ended.is_set()) == (
        "unexpected exception in this program",
        True,
        True,
    )
