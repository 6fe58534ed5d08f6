"""The aggregator process on sockets: configuration, lists, reports, and faults of the list service."""

from __future__ import annotations

import asyncio
import json
import signal
from contextlib import asynccontextmanager

import aiohttp
import pytest
from typer.testing import CliRunner

from brassfall import settings
from brassfall.cli import main as cli
from brassfall.controlplane.registry import client
from brassfall.controlplane.registry.aggregator import service as aggregators
from brassfall.controlplane.registry.aggregator.channels import AGE_HEADER
from brassfall.controlplane.registry.aggregator.clock import now_ms
from brassfall.controlplane.registry.server import Service
from brassfall.settings import (
    AggregatorSettings,
    AgreementSettings,
    CallerLimits,
    RegistryLimits,
    RegistrySettings,
)
from brassfall.sidecar.agent.agent import Agent
from brassfall.sidecar.config import Agreement
from brassfall.sidecar.config_values import Address
from tests.support.loopback import bounded, until
from tests.support.processes import Logged, free_port
from tests.support.processes import Service as ServiceProcess

AGREE_MS = 1000.0  # `agree_ms`; with it the service grants its first lease 1.9 s after its start
SHORT_AGREE_MS = 500.0  # `agree_ms` where the length of leases does not matter; the first comes after 0.9 s
LIST = "/registry/instances"
ENTRY = {"address": "127.0.0.1:7001", "zone": "a", "ttl_ms": 0}


def aggregator(upstream, **more):
    fields = {"name": "a1", "region": "east", "listen": "127.0.0.1:0", "agree_ms": AGREE_MS, **more}
    return aggregators.Service(settings.check_aggregator(AggregatorSettings(upstream=[upstream], **fields)))


def list_service(tmp_path, port=0, agree_ms=AGREE_MS):
    agreement = AgreementSettings(agree_ms=agree_ms)
    data = str(tmp_path / "registry")
    return Service(RegistrySettings(listen=f"127.0.0.1:{port}", data=data, agreement=agreement))


@asynccontextmanager
async def started(*services):
    """Start services, and yield their addresses; close the services at the end, the last first."""
    started_services = []
    try:
        for service in services:
            started_services.append((service, await service.start()))  # noqa: PERF401 - started processes are closed even if a later start fails
        yield tuple(at for _, at in started_services)
    finally:
        for service, _ in reversed(started_services):
            await service.close()


@asynccontextmanager
async def tier(tmp_path, **more):
    """Start a service and an aggregator with a lease; yield the aggregator, both addresses, a session."""
    service = list_service(tmp_path, agree_ms=more.get("agree_ms", AGREE_MS))
    async with (
        started(service) as (at,),
        started(aggregator_service := aggregator(at, **more)) as (below,),
        aiohttp.ClientSession() as session,
    ):
        await until(lambda: not aggregator_service.unready())
        yield aggregator_service, at, below, session


async def call(session, at, method, path, body=None, **headers):
    """Make one call; return the status, JSON and headers of its answer."""
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    data = body if isinstance(body, bytes | None) else json.dumps(body)
    async with session.request(method, f"http://{at}{path}", data=data, headers=headers) as answer:
        return answer.status, json.loads(await answer.read()), answer.headers


class Watch:
    """An open watch, whose lines are decoded; heartbeats are None."""

    def __init__(self, session, at, path):
        self._call = session.get(f"http://{at}{path}")

    async def __aenter__(self):
        self.answer = await self._call.__aenter__()
        return self

    async def __aexit__(self, *error):
        self.answer.close()

    async def line(self):
        async with asyncio.timeout(10.0):
            raw = (await self.answer.content.readline()).strip()
        return json.loads(raw) if raw else None

    async def content_line(self):
        while (line := await self.line()) is None:
            pass
        return line


def agent(name, *addresses, listen=lambda *_: None):
    """Return a sidecar's agent without a data path; `listen` is called with each answer to a report."""
    agreement = Agreement(AGREE_MS, "", "", {})
    at = tuple(Address(host, int(port)) for host, port in (text.split(":") for text in addresses))
    sidecar_agent = Agent(
        asyncio.get_running_loop(), name, agreement, at, lambda _: "", lambda *_: float("inf"), 1
    )
    sidecar_agent.answer_listeners.append(listen)
    return sidecar_agent


def acting(aggregator_service):
    return json.loads(aggregator_service.state)["acting"]


# --- configuration ----------------------------------------------------------------------------


VALID_SETTINGS = {
    "name": '"a1"',
    "region": '"east"',
    "listen": '"127.0.0.1:0"',
    "upstream": '["127.0.0.1:9"]',
}


@pytest.mark.parametrize(
    ("changed", "answered"),
    [
        ({"colour": "1"}, "colour"),
        ({"upstream": None}, "upstream"),
        ({"upstream": "[]"}, "aggregator.upstream"),
        ({"upstream": '["nowhere"]'}, "aggregator.upstream"),
        ({"listen": '"x:y"'}, "aggregator.listen"),
        ({"name": '"a/b"'}, "aggregator.name"),
        ({"region": '""'}, "aggregator.region"),
        ({"children_most": "0"}, "aggregator.children_most"),
        ({"limits": "{idle_ms = -1}"}, "aggregator.limits.idle_ms"),
        ({"limits": "{caller_share = 2.0}"}, "caller_share"),
        ({"limits": "{rows = 5}"}, "rows"),
    ],
)
def test_an_invalid_configuration_exits_with_2_and_names_file_and_key(tmp_path, changed, answered):
    path = tmp_path / "bad.toml"
    rows = {key: value for key, value in (VALID_SETTINGS | changed).items() if value is not None}
    path.write_text("[aggregator]\n" + "".join(f"{key} = {value}\n" for key, value in rows.items()))
    for arguments in (("registry", "aggregate", "--config", str(path)), ("check", str(path))):
        result = CliRunner().invoke(cli.app, arguments)
        assert (result.exit_code, "bad.toml" in result.output, answered in result.output) == (
            2,
            True,
            True,
        ), result.output
    path.write_text("[aggregator]\n" + "".join(f"{key} = {value}\n" for key, value in VALID_SETTINGS.items()))
    assert CliRunner().invoke(cli.app, ("check", str(path))).exit_code == 0


# --- without a list service ---------------------------------------------------------------------


@bounded(30.0)
async def test_without_a_list_service_the_aggregator_says_why_it_is_unready_and_retries(tmp_path):
    port = free_port()
    aggregator_service = aggregator(f"127.0.0.1:{port}", agree_ms=SHORT_AGREE_MS)
    async with started(aggregator_service) as (at,), aiohttp.ClientSession() as session:
        assert (await call(session, at, "GET", "/health/live"))[0] == 200
        status, content, _ = await call(session, at, "GET", "/health/ready")
        assert status == 503 and "no list" in content["reason"]
        # Without `Retry-After` a caller tries another address.
        for path in (LIST, f"{LIST}?watch=1", "/rules", "/rules?watch=1"):
            status, _, headers = await call(session, at, "GET", path)
            assert (status, "Retry-After" in headers) == (503, False), path
        status, _, headers = await call(session, at, "POST", "/edges/n1", {"life": "p", "seq": 1})
        assert (status, "Retry-After" in headers) == (503, False)
        status, content, headers = await call(session, at, "PUT", f"{LIST}/s1", ENTRY)
        assert (status, "Retry-After" in headers) == (503, True) and "X-Request-Id" in content["reason"]
        await until(lambda: aggregator_service.reporter.failed >= 3)  # the aggregator retries its reports
        assert (await call(session, at, "GET", "/status"))[1]["upstream"]["failing"]
        async with session.get(f"http://{at}/metrics") as answer:
            assert "brassfall_ready 0.0" in await answer.text()
        async with started(list_service(tmp_path, port, SHORT_AGREE_MS)):
            await until(lambda: not aggregator_service.unready())
            assert (await call(session, at, "GET", "/health/ready"))[0] == 200
            assert (await call(session, at, "GET", LIST))[0] == 200


# --- the list, writes and rules through it ---------------------------------------------------------


@bounded(30.0)
async def test_lists_watches_and_writes_through_an_aggregator(tmp_path):
    async with tier(tmp_path, ring=4, lists_per_s=20.0, agree_ms=SHORT_AGREE_MS) as (_, at, below, session):
        async with Watch(session, below, f"{LIST}?watch=1&from=0") as watch:
            first = await watch.content_line()
            assert first["snapshot"] and watch.answer.headers[AGE_HEADER] == "2000"
            status, content, _ = await call(session, below, "PUT", f"{LIST}/s1", ENTRY, X_Request_Id="r1")
            again = await call(session, below, "PUT", f"{LIST}/s1", ENTRY, X_Request_Id="r1")
            assert (status, again[1]) == (200, content)
            line = await watch.content_line()
            assert (line["index"], [e["name"] for e in line["endpoints"]]) == (content["index"], ["s1"])
            assert (await call(session, at, "GET", LIST))[1] == (await call(session, below, "GET", LIST))[1]
            assert (await call(session, below, "PATCH", f"{LIST}/s1", {"weight": 2.0}, If_Match="1"))[
                0
            ] == 412
            assert (await call(session, below, "PATCH", f"{LIST}/s1", {"weight": 2.0}))[0] == 200
            changed = await watch.content_line()
            assert changed["endpoints"][0]["weight"] == 2.0
        # A reader that continues from an index gets the changes since. It gets a complete list only when the
        # history of changes no longer reaches back to that index.
        async with Watch(session, below, f"{LIST}?watch=1&from={content['index']}") as watch:
            line = await watch.content_line()
            assert (line["index"], line["snapshot"], len(line["endpoints"])) == (changed["index"], False, 1)
        for weight in range(3, 9):
            assert (await call(session, below, "PATCH", f"{LIST}/s1", {"weight": weight}))[0] == 200
        last = (await call(session, at, "GET", LIST))[1]["index"]
        async with Watch(session, below, f"{LIST}?watch=1&from={content['index']}") as watch:
            line = await watch.content_line()
            assert line["snapshot"]
            while line["index"] != last:
                line = await watch.content_line()
        # Readers without a list are admitted at a rate, and rejected ones get different times to retry.
        # Readers that continue from an index are not limited.
        loop = asyncio.get_running_loop()
        begun = loop.time()
        many = await asyncio.gather(*(call(session, below, "GET", LIST) for _ in range(100)))
        waits = [headers["Retry-After"] for status, _, headers in many if status == 503]
        assert 100 - len(waits) <= 5 + 20.0 * (loop.time() - begun) + 1
        assert len(set(waits)) > len(waits) // 2 > 0
        for _ in range(20):
            async with Watch(session, below, f"{LIST}?watch=1&from={last}") as watch:
                assert watch.answer.status == 200
        status, _, headers = await call(session, below, "GET", f"{LIST}?watch=1&from={last + 1}")
        # A reader with a later index is sent elsewhere, since it must not get an older list.
        assert (status, "Retry-After" in headers) == (
            503,
            False,
        )
        assert (await call(session, below, "DELETE", f"{LIST}/s1"))[0] == 200
        row = await call(session, below, "PUT", "/tables/duty/one", {"who": "a"}, X_Lease="60000")
        assert row[0] == 200 and (await call(session, at, "GET", "/tables/duty/one"))[1]["value"] == {
            "who": "a"
        }
        assert (await call(session, below, "PUT", f"{LIST}/s2", b"x" * 70_000))[0] == 413
        assert (await call(session, below, "PUT", f"{LIST}/s2", b"{"))[0] == 400
        assert (await call(session, below, "GET", "/nowhere"))[0] == 404


@bounded(30.0)
async def test_reports_get_leases_and_malformed_reports_are_refused_and_counted(tmp_path):
    async with tier(tmp_path) as (aggregator_service, at, below, session):
        status, content, _ = await call(session, below, "POST", "/edges/n1", {"life": "p", "seq": 1, "of": 0})
        assert status == 200 and 0.0 < content["permission_ms"] <= 0.9 * AGREE_MS
        assert content["life"] == aggregator_service.core.epoch
        body = {"life": "p", "seq": 2, "of": content["life"]}
        assert "life" not in (await call(session, below, "POST", "/edges/n1", body))[1]
        short = {"seq": 3, "after": 2}  # a delta to the last report on the connection
        assert (await call(session, below, "POST", "/edges/n1", short))[1]["permission_ms"] > 0.0
        for bad in (b"{", b"[]", {"seq": -1}, {"seq": 9, "after": 7}, {"life": "x" * 99}):
            assert (await call(session, below, "POST", "/edges/n1", bad))[0] == 400
        assert aggregator_service.children.statistics.refused == 5
        status, content, _ = await call(session, below, "GET", "/edges")
        assert [row["name"] for row in content["edges"]] == ["n1"] and content["permits"] == "yes"
        assert (await call(session, below, "GET", "/status"))[1]["children"]["leased"] == 1
        number = (await call(session, below, "PUT", "/rules", {"caps": {"look": 5.0}}))[1]["edition"]
        # The revision is committed after the lease of the silent n1 has ended.
        await until(lambda: aggregator_service.core.committed == number)
        async with Watch(session, below, "/rules?watch=1") as watch:
            assert (await watch.content_line())["edition"] == number
        assert (await call(session, below, "GET", f"/rules?edition={number}"))[1]["state"] == "committed"
        # The name of this second aggregator belongs to the first.
        async with started(same_name := aggregator(at, region="west")):
            await until(lambda: "409" in same_name.reporter.failing and "409" in same_name.unready())
        # The aggregator has a lease on the new revision.
        await until(lambda: not aggregator_service.unready())
        status = (await call(session, below, "GET", "/status"))[1]
        assert (status["edition"], status["reports"], status["ready"]) == (number, 3, "yes")


@bounded(30.0)
async def test_new_sidecars_are_admitted_at_a_rate_and_sidecars_with_a_lease_at_once(tmp_path):
    limits = CallerLimits(caller_calls_per_s=0.0)
    more = {"newcomers_per_s": 10.0, "newcomers_burst": 5, "children_most": 60, "limits": limits}
    async with tier(tmp_path, **more) as (aggregator_service, _, below, session):
        body = {"life": "p", "seq": 1, "acting": "safe"}

        async def report(names, acting):
            bodies = {name: {**body, "acting": acting} for name in names}
            return await asyncio.gather(
                *(call(session, below, "POST", f"/edges/{name}", content) for name, content in bodies.items())
            )

        loop = asyncio.get_running_loop()
        begun = loop.time()
        content = await report([f"new{i}" for i in range(40)], "safe")
        waits = [float(headers["Retry-After"]) for status, _, headers in content if status == 503]
        assert 5 <= 40 - len(waits) <= 5 + 10.0 * (loop.time() - begun) + 1
        assert max(waits) <= 40 / 10.0 + 0.1 and len(set(waits)) >= len(waits) // 2
        assert aggregator_service.children.statistics.rejected == len(waits)
        held = await report([f"old{i}" for i in range(20)], 0)
        assert {status for status, _, _ in held} == {200}
        full = [row for row in await report([f"more{i}" for i in range(60)], 0) if row[0] == 503]
        # Rejected for lack of places, sidecars try another address.
        assert full and not any("Retry-After" in headers for _, _, headers in full)
        assert aggregator_service.core.counts(now_ms()).known <= 60


# --- faults -----------------------------------------------------------------------------------------


@bounded(40.0)
async def test_a_cut_off_aggregator_states_its_list_age_and_grants_no_lease_beyond_its_own(tmp_path):
    leases = []

    def listen(sent_s, _received_s, content):
        leases.append((sent_s, content["permission_ms"], content.get("elsewhere", False)))

    async with ServiceProcess(tmp_path, agreement={"agree_ms": AGREE_MS}) as process:
        at = await process.start()
        aggregator_service = aggregator(at, writes_at_once=1, writes_waiting=1)
        async with started(aggregator_service) as (below,), aiohttp.ClientSession() as session:
            await until(lambda: not aggregator_service.unready())
            sidecar = agent("n1", below, listen=listen)
            sidecar.start()
            number = (await call(session, below, "PUT", "/rules", {"caps": {"look": 5.0}}))[1]["edition"]
            await until(lambda: acting(sidecar) == number)
            async with Watch(session, below, f"{LIST}?watch=1&from=0") as watch:
                index = (await watch.content_line())["index"]
                process.send(signal.SIGSTOP)
                await until(lambda: acting(sidecar) == "safe")
                ends = aggregator_service.core.lease_until_ms / 1000.0
                assert all(sent_s + length / 1000.0 <= ends for sent_s, length, _ in leases)
                status, _, headers = await call(session, below, "GET", LIST)
                # The list is still served, with its age.
                assert status == 200 and float(headers[AGE_HEADER]) >= 0.9 * AGREE_MS
                assert (await call(session, below, "GET", "/health/ready"))[0] == 503
                # One write is under way and one waits for it; the others are rejected at once.
                writes = [
                    asyncio.create_task(call(session, below, "PUT", f"{LIST}/s1", ENTRY)) for _ in range(5)
                ]
                line = await watch.content_line()  # a heartbeat that states the age of the list
                assert (line["index"], line["endpoints"]) == (index, []) and line["age_ms"] > 2000
                # The last answer has no lease, and `elsewhere`, which sends the sidecar to another address.
                await until(lambda: leases[-1][1:] == (0.0, True))
                content = await asyncio.gather(*writes)
                assert {(status, "Retry-After" in headers) for status, _, headers in content} == {(503, True)}
                assert ["too many calls wait" in answered["reason"] for _, answered, _ in content] == [
                    False
                ] * 2 + [True] * 3
                # A sidecar of an older version ignores `elsewhere`. It gets an error at its next report on
                # the connection, after which it tries another address.
                async with aiohttp.ClientSession() as one:  # both reports use one connection
                    bodies = [{"life": "p", "seq": seq} for seq in (1, 2)]
                    old = [await call(one, below, "POST", "/edges/o1", body) for body in bodies]
                assert [(status, "Retry-After" in headers) for status, _, headers in old] == [
                    (200, False),
                    (503, False),
                ]
                process.send(signal.SIGCONT)
                await until(lambda: acting(sidecar) == number)
                # Lines about s1 may come before, since a write without an answer may be done.
                while line.get("age_ms") != 2000:
                    line = await watch.content_line()
                assert aggregator_service.mirror.age_ms(now_ms()) < 2000.0
            sidecar.close()


@bounded(40.0)
async def test_children_keep_their_leases_when_their_aggregator_is_killed_restarted_and_stopped(tmp_path):
    async with started(list_service(tmp_path)) as (at,), aiohttp.ClientSession() as session:
        path, port = tmp_path / "a1.toml", free_port()
        path.write_text(
            f'[aggregator]\nname = "a1"\nregion = "east"\nlisten = "127.0.0.1:{port}"\n'
            f'upstream = ["{at}"]\nagree_ms = {AGREE_MS}\n'
        )
        process = Logged("registry", "aggregate", "--config", str(path))
        # There are three aggregators, since the service needs reports of more than half to grant leases.
        others = [aggregator(at, name=name) for name in ("a2", "a3")]
        async with process, started(*others) as (far, _):
            near = await process.start()
            sidecars = [agent("n1", near, far), agent("n2", far, near)]
            number = (await call(session, at, "PUT", "/rules", {"caps": {"look": 5.0}}))[1]["edition"]
            for sidecar in sidecars:
                sidecar.start()

            def all_act(where):
                states = [json.loads(sidecar.state) for sidecar in sidecars]
                return all(row["acting"] == number and row["at"] in where for row in states)

            await until(lambda: all_act({near, far}))
            await process.end(signal.SIGKILL)
            await until(lambda: all_act({far}))
            await process.start()
            # The restarted aggregator is ready once it has a lease.
            while (await call(session, near, "GET", "/health/ready"))[0] != 200:
                await asyncio.sleep(0.02)
            assert await process.end() == 0  # SIGTERM
            await until(lambda: all_act({far}))
            rows = (await call(session, at, "GET", "/aggregators"))[1]["aggregators"]
            assert {row["name"]: row["children"]["known"] for row in rows}["a2"] == 2
            for sidecar in sidecars:
                sidecar.close()


def test_caller_limits_are_the_limits_of_the_list_service_without_those_of_tables():
    mine, whole = CallerLimits.__struct_fields__, RegistryLimits.__struct_fields__
    assert set(whole) - set(mine) == {"queue", "rows", "tables"}
    assert {name: getattr(CallerLimits(), name) for name in mine} == {
        n: getattr(RegistryLimits(), n) for n in mine
    }


def test_the_client_parses_retry_after_and_bounds_it():
    assert [client.retry_after_s(text) for text in (None, "x", "-1", "2.5", "900", "nan")][:5] == [
        0,
        0,
        0,
        2.5,
        60,
    ]
