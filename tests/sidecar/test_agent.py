"""The sidecar's agent with a stub of the list service that requests a long report interval.

Also tests of the lease client and the membership without a service.
"""

from __future__ import annotations

import asyncio
import json
import random
from types import SimpleNamespace

import pytest
from aiohttp import web

from brassfall.balancer import model
from brassfall.controlplane.revisions import document, reports
from brassfall.sidecar.agent import reporter, rules
from brassfall.sidecar.agent.agent import Agent
from brassfall.sidecar.agent.lease_client import ActiveConfiguration, LeaseClient
from brassfall.sidecar.agent.lists import EndpointList
from brassfall.sidecar.agent.member import FleetMember
from brassfall.sidecar.agent.steering import Steering
from brassfall.sidecar.config import Agreement, ConfigError
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.endpoint_list import ServerList
from tests.support.loopback import sidecar_config

# The first value is the report interval that the stub requests, in milliseconds, with which a regular report
# is sent after at least 6 s. The second value is the longest wait for an early report, in seconds.
LONG_INTERVAL_MS, EARLY_REPORT_WAIT_S = (
    9_000.0,
    3.0,
)


class ListService:
    """A stub of the list service, which answers reports and sends queued lines on the one watch."""

    def __init__(self) -> None:
        self.reports: asyncio.Queue[dict] = asyncio.Queue()
        self.lines: asyncio.Queue[dict] = asyncio.Queue()
        self.revision = 1
        self.last_report = (None, None)  # The connection and the fields of the last report

    async def report(self, request):
        body = await request.read()
        connection, last = self.last_report
        report, raw = reports.parse_delta(body, last if connection is request.protocol else None)
        self.last_report = (request.protocol, raw)
        self.reports.put_nowait(
            (report.prepared, report.newest_revision, report.process_id, "after" in json.loads(body))
        )
        pending = 2 if self.revision == 1 else 0
        answer = {"edition": self.revision, "permission_ms": 2700.0, "list_index": 0, "news": False}
        return web.json_response(answer | {"pending": pending, "life": 1, "every_ms": LONG_INTERVAL_MS})

    async def rules(self, request):
        answer = web.StreamResponse()
        await answer.prepare(request)
        while (line := await self.lines.get()) is not None:
            await answer.write(json.dumps(line).encode() + b"\n")
        return answer

    async def next_report(self):
        return await asyncio.wait_for(self.reports.get(), EARLY_REPORT_WAIT_S)


async def _reports_while_a_revision_is_published():
    """Return the reports of an agent while a revision is prepared and then committed on its watch.

    Each row has the acknowledged revision, the newest revision, the process id, and whether the report was a
    delta.
    """
    service = ListService()
    routes = [web.post("/edges/{name}", service.report), web.get("/rules", service.rules)]
    runner, address = await _serve(*routes)
    agent = _agent((address,), lambda *_: float("inf"))
    agent.start()
    received_reports = []
    try:
        received_reports.append(await service.next_report())
        service.lines.put_nowait({"edition": 2, "life": 1, "state": "prepared", "committed": {"edition": 1}})
        received_reports.append(await service.next_report())
        service.revision = 2
        service.lines.put_nowait({"edition": 2, "life": 1, "state": "committed"})
        received_reports.append(await service.next_report())
        while agent.lease_client.active_configuration(0.0).revision.number != 2:
            await asyncio.sleep(0)
    finally:
        agent.close()
        service.lines.put_nowait(None)
        await runner.cleanup()
    return received_reports


def test_a_report_is_sent_early_when_a_revision_is_prepared_and_when_it_is_committed():
    rows = asyncio.run(_reports_while_a_revision_is_published())
    assert [row[:2] for row in rows] == [(0, 0), (2, 2), (2, 2)]
    # Each report but the first is a delta to the previous one on the connection.
    assert [row[3] for row in rows] == [False, True, True] and len({row[2] for row in rows}) == 1


async def _serve(*routes):
    """Start a server with the given routes; return its runner and its address."""
    app = web.Application()
    app.add_routes(routes)
    runner = web.AppRunner(app, shutdown_timeout=0.0)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return runner, Address(*runner.addresses[0])


def _agent(addresses, act):
    agreement = Agreement(3000.0, "", "", {})
    return Agent(asyncio.get_running_loop(), "e1", agreement, addresses, lambda revision: "", act, 1)


async def _state_after_malformed_answers(answer, act):
    """Return the agent's state once it has reported to both of two services.

    The service that gets the first report always gives the malformed answer.
    """
    called_ports, second_service_called = [], asyncio.Event()

    async def report(request):
        called_ports.append(request.url.port)
        if request.url.port == called_ports[0]:
            return web.Response(text=answer)
        second_service_called.set()
        return web.json_response({"edition": 0, "permission_ms": 0.0})

    services = [await _serve(web.post("/edges/{name}", report)) for _ in range(2)]
    agent = _agent(tuple(address for _, address in services), act)
    agent.start()
    try:
        await asyncio.wait_for(second_service_called.wait(), EARLY_REPORT_WAIT_S)
        agent.current_stamp(agent.valid_until)
        return agent.state
    finally:
        agent.close()
        for runner, _ in services:
            await runner.cleanup()


def _raise_unexpected_error(*_):
    raise KeyError("an unexpected error")


@pytest.mark.parametrize("answer", ["[]", '{"permission_ms": "x"}', '{"every_ms": 1%s}' % ("0" * 400)])
@pytest.mark.parametrize("act", [lambda *_: float("inf"), _raise_unexpected_error])
def test_reports_continue_after_a_malformed_answer_and_after_an_error_in_applying_revisions(answer, act):
    assert json.loads(asyncio.run(_state_after_malformed_answers(answer, act)))["acting"] == "safe"


async def _last_report():
    """Return the report that an agent sends when it leaves while an earlier report is unanswered."""
    reports, answering = asyncio.Queue(), asyncio.Event()

    async def report(request):
        reports.put_nowait(await request.json())
        await answering.wait()
        return web.json_response({})

    runner, address = await _serve(web.post("/edges/{name}", report))
    agent = _agent((address,), lambda *_: float("inf"))
    agent.start()
    try:
        await asyncio.wait_for(reports.get(), EARLY_REPORT_WAIT_S)  # This report is not answered.
        await agent.leave()
        return await asyncio.wait_for(reports.get(), EARLY_REPORT_WAIT_S)
    finally:
        answering.set()
        await runner.cleanup()


def test_a_process_deregisters_while_a_report_is_unanswered():
    assert asyncio.run(_last_report())["leaving"]


NAMES = SimpleNamespace(zones={"a": 0}, classes={"c": SimpleNamespace(slot=0)}, tenants={"t": 0})
UNKNOWN_FORMS = [
    {"settings": {key: value}}
    for key, value in [
        *(
            (key, value)
            for key in ("regions", "tenants", "caps", "shares", "floor")
            for value in (None, 5, [1])
        ),
        ("regions", {"held": [[]]}),
        ("tenants", {"t": None}),
        ("caps", {"c": "x"}),
        ("shares", {"g": {"a": "x"}}),
        ("floor", {"regions": 5}),
        ("floor", {"tenants": 5}),
    ]
] + [{"plan": {"shares": value}} for value in (5, {"g": 5}, {"g": {"a": None}})]


@pytest.mark.parametrize("unknown", UNKNOWN_FORMS, ids=json.dumps)
def test_a_revision_of_an_unknown_form_is_objected_to_and_makes_no_decision_fail(unknown):
    client = LeaseClient("l", rules.unsupported_reason)
    client.receive_update({"edition": 5, "state": "prepared", "committed": {"edition": 4}, **unknown})
    assert "does not support this form" in client.report_fields(0.0)["objection"]["reason"]
    steering = Steering(Agreement(3000.0, "g", "a", {}), lambda: NAMES, EndpointList)
    (_, unreadable), now = client.active_configuration(0.0).concurrent, 1.0
    for fallback in (True, False):
        for active in (
            ActiveConfiguration(fallback, unreadable, ()),
            ActiveConfiguration(fallback, client.active_configuration(0.0).revision, (unreadable,)),
        ):
            rules.effective_settings(active)
            steering.steer(active, steering.effective_rules(active, now), now)


class StubProcess:
    """A stub of a member's process, which records all directives; the test sets its clock `now`."""

    def __init__(self):
        self.now, self.classes_in_use, self.list_version, self.steers = 0.0, (), 0, []
        self.configuration = sidecar_config(
            raw={"fleet": {"registry": ["127.0.0.1:9"], "agreement": {"agree_ms": 3000}}}
        )
        self.listed = EndpointList()

    def time(self):
        return self.now

    def endpoint_list(self):
        return self.listed

    def apply_configuration(self, config):
        self.configuration = config

    def steer(self, steer):
        self.steers.append(steer)


def _random_event(rng, number):
    """Return a random event for a member, as a function of the member and its process."""
    zones = [*("west", "east", "north"), "none"]
    hold = {"id": "o", "rev": 1 + number // 9, "from_ms": 0, "priority": 0}
    hold["action"] = rng.choice([{"hold": {"region": rng.choice(zones)}}, {"hold": {"group": "3"}}])
    settings = rng.choice(
        [
            {},
            {"regions": {"held": [rng.choice(zones)]}},
            {"caps": {"look": rng.choice([1.0, 5.0])}},
            {"Profiles": [{"Name": "look", "Objective": rng.choice([500.0, 700.0])}]},
        ]
    )
    state = {"edition": number, "life": 1, "state": rng.choice(["committed", "prepared"])}
    plan = rng.choice([None, {"shares": {"": {"west": 1.0}}, "age_limit_ms": 1000.0}])
    state |= {
        "settings": settings,
        "plan": plan,
        "plan_edition": number,
        "overrides": [hold][: rng.randrange(2)],
    }
    left = {"o": {"rev": hold["rev"], "left_ms": rng.choice([300, 2000, 9000])}}
    answer = {
        "edition": number - 1,
        "permission_ms": 2700.0,
        "life": 1,
        "left": left,
        "edges": rng.choice([1, 4]),
    }
    entry = model.EndpointEntry(rng.choice("abc"), rng.randrange(3), cell=rng.randrange(4))
    step = rng.choice([0.01, 0.3, 3.0])

    def receive_answer(member, process):
        sent_at, client = process.now, member.agent.lease_client
        answer["edition"] = client.newest_revision
        client.receive_answer(sent_at, client.report_fields(sent_at)["seq"], answer)
        member.steering.receive_answer(sent_at, sent_at, answer)

    return rng.choice(
        [
            lambda member, process: member.agent.lease_client.receive_update(state),
            receive_answer,
            lambda member, process: process.listed.apply(ServerList(number, False, [entry], {})),
            lambda member, process: setattr(process, "now", process.now + step),
            lambda member, process: None,
        ]
    )


@pytest.mark.parametrize("seed", range(20))
def test_a_cached_decision_equals_one_that_is_computed_again(seed):
    rng, processes = random.Random(seed), [StubProcess(), StubProcess()]
    file = processes[0].configuration
    caching, recomputing = members = [FleetMember(process, process, {}) for process in processes]
    equal_decisions = 0
    for number in range(2, 300):
        event = _random_event(rng, number)
        for member, process in zip(members, processes, strict=True):
            event(member, process)
        caching.agent.refresh(processes[0].now)
        recomputing.use_file(file)  # A file that was read again makes the member compute its decision again.
        equal_decisions += caching.agent.valid_until == recomputing.agent.valid_until
        assert (
            processes[0].steers == processes[1].steers
            and caching.agent.overrides == recomputing.agent.overrides
        )
        assert processes[0].configuration.settings == processes[1].configuration.settings
    assert equal_decisions == 298 and len(processes[0].steers) > 5


def test_settings_that_could_not_be_applied_to_the_file_are_tried_again():
    process = StubProcess()
    member = FleetMember(process, process, {})
    apply_configuration, process.apply_configuration = process.apply_configuration, _raise_config_error
    client = member.agent.lease_client
    client.receive_update(
        {"edition": 5, "life": 1, "state": "committed", "settings": {"PolicyLimits": {"MaxAttempts": 1}}}
    )
    client.receive_answer(
        0.0, client.report_fields(0.0)["seq"], {"edition": 5, "permission_ms": 2700.0, "life": 1}
    )
    member.agent.refresh(0.1)
    process.apply_configuration = apply_configuration
    assert process.configuration.settings.max_attempts != 1
    member.agent.refresh(0.2)
    assert process.configuration.settings.max_attempts == 1


def _raise_config_error(config):
    raise ConfigError("the configuration is rejected")


REPORT_FIELDS = ("process_id", "epoch", "newest_revision", "prepared", "refresh_times", "measures")
LAST_REPORT = {"life": "a", "seq": 4, "of": 9, "held": 7, "prepared": 7, "retell": True, "measures": {"x": 1}}


@pytest.mark.parametrize(
    ("raw", "last", "expected"),
    [
        ({"seq": 5, "after": 4}, LAST_REPORT, ("a", 9, 7, 7, False, {})),
        ({"seq": 5, "after": 4, "prepared": 0}, LAST_REPORT, ("a", 9, 7, 0, False, {})),
        ({"seq": 5, "life": "b"}, LAST_REPORT, ("b", None, 0, 0, False, {})),
        ({"seq": 6, "after": 5}, LAST_REPORT, None),
        ({"seq": 5, "after": 4}, None, None),
        ({"seq": 5, "after": 4, "held": "x"}, LAST_REPORT, None),
        ([], LAST_REPORT, None),
    ],
)
def test_a_report_can_only_be_a_delta_to_the_last_report(raw, last, expected):
    body = json.dumps(raw).encode()
    if expected is None:
        with pytest.raises(reports.ReportError):
            reports.parse_delta(body, last)
        return
    report, _ = reports.parse_delta(body, last)
    assert expected == tuple(getattr(report, name) for name in REPORT_FIELDS)


def test_sidecar_and_list_service_declare_the_same_kinds_of_keys():
    kinds = {kind: set() for kind in document.KeyKind}
    for key, kind in document.KEYS.items():
        kinds[kind].add(key)
    assert kinds == {
        document.KeyKind.EXCLUSIVE: rules.EXCLUSIVE_KEYS,
        document.KeyKind.ADDITIVE: rules.ADDITIVE_KEYS,
        document.KeyKind.FREE: rules.FREE_KEYS,
    }


def test_sidecar_and_list_service_omit_the_same_fields_from_a_delta():
    assert reporter.DELTA_FIELDS == reports.CARRIED_FIELDS <= set(reports.Report.__struct_encode_fields__)
