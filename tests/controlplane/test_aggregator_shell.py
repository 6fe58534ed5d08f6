"""The aggregator on sockets: without a service above, with one that is stopped, and told nonsense."""

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

AGREE_MS = 1000.0  # the service permits 1.9 s after its start
SOON_MS = 500.0  # the same where no lease matters: it permits after 0.9 s
LIST = "/registry/instances"
ENTRY = {"address": "127.0.0.1:7001", "zone": "a", "ttl_ms": 0}


def aggregator(upstream, **more):
    told = {"name": "a1", "region": "east", "listen": "127.0.0.1:0", "agree_ms": AGREE_MS, **more}
    return aggregators.Service(settings.check_aggregator(AggregatorSettings(upstream=[upstream], **told)))


def above(tmp_path, port=0, agree_ms=AGREE_MS):
    agreement = AgreementSettings(agree_ms=agree_ms)
    data = str(tmp_path / "registry")
    return Service(RegistrySettings(listen=f"127.0.0.1:{port}", data=data, agreement=agreement))


@asynccontextmanager
async def started(*made):
    """Where each listens; all are closed at the end, the last first."""
    begun = []
    try:
        for each in made:
            begun.append((each, await each.start()))  # noqa: PERF401 - what has begun is ended, also if the next fails
        yield tuple(at for _, at in begun)
    finally:
        for each, _ in reversed(begun):
            await each.close()


@asynccontextmanager
async def tier(tmp_path, **more):
    """A service, an aggregator below it that has a lease, where both listen, and a session."""
    service = above(tmp_path, agree_ms=more.get("agree_ms", AGREE_MS))
    async with (
        started(service) as (at,),
        started(made := aggregator(at, **more)) as (below,),
        aiohttp.ClientSession() as session,
    ):
        await until(lambda: not made.unready())
        yield made, at, below, session


async def call(session, at, method, path, body=None, **headers):
    """Status, JSON and headers of one call."""
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    data = body if isinstance(body, bytes | None) else json.dumps(body)
    async with session.request(method, f"http://{at}{path}", data=data, headers=headers) as answer:
        return answer.status, json.loads(await answer.read()), answer.headers


class Watch:
    """The lines of a watch, the empty ones as None."""

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

    async def news(self):
        while (line := await self.line()) is None:
            pass
        return line


def agent(name, *addresses, listen=lambda *_: None):
    """A sidecar's agent, as it runs without a data path; `listen` is given each answer."""
    told = Agreement(AGREE_MS, "", "", {})
    at = tuple(Address(host, int(port)) for host, port in (text.split(":") for text in addresses))
    made = Agent(asyncio.get_running_loop(), name, told, at, lambda _: "", lambda *_: float("inf"), 1)
    made.answer_listeners.append(listen)
    return made


def acting(made):
    return json.loads(made.state)["acting"]


# --- configuration ----------------------------------------------------------------------------


GOOD = {"name": '"a1"', "region": '"east"', "listen": '"127.0.0.1:0"', "upstream": '["127.0.0.1:9"]'}


@pytest.mark.parametrize(
    ("changed", "said"),
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
def test_a_bad_configuration_ends_with_2_and_names_file_key_and_reason(tmp_path, changed, said):
    path = tmp_path / "bad.toml"
    rows = {key: value for key, value in (GOOD | changed).items() if value is not None}
    path.write_text("[aggregator]\n" + "".join(f"{key} = {value}\n" for key, value in rows.items()))
    for words in (("registry", "aggregate", "--config", str(path)), ("check", str(path))):
        made = CliRunner().invoke(cli.app, words)
        assert (made.exit_code, "bad.toml" in made.output, said in made.output) == (2, True, True), (
            made.output
        )
    path.write_text("[aggregator]\n" + "".join(f"{key} = {value}\n" for key, value in GOOD.items()))
    assert CliRunner().invoke(cli.app, ("check", str(path))).exit_code == 0


# --- without a service above --------------------------------------------------------------------


@bounded(30.0)
async def test_without_a_service_it_says_why_it_is_not_ready_and_asks_on(tmp_path):
    port = free_port()
    made = aggregator(f"127.0.0.1:{port}", agree_ms=SOON_MS)
    async with started(made) as (at,), aiohttp.ClientSession() as session:
        assert (await call(session, at, "GET", "/health/live"))[0] == 200
        status, told, _ = await call(session, at, "GET", "/health/ready")
        assert status == 503 and "no list" in told["reason"]
        for path in (LIST, f"{LIST}?watch=1", "/rules", "/rules?watch=1"):
            status, _, headers = await call(session, at, "GET", path)
            assert (status, "Retry-After" in headers) == (503, False), path  # whoever asks goes elsewhere
        status, _, headers = await call(session, at, "POST", "/edges/n1", {"life": "p", "seq": 1})
        assert (status, "Retry-After" in headers) == (503, False)
        status, told, headers = await call(session, at, "PUT", f"{LIST}/s1", ENTRY)
        assert (status, "Retry-After" in headers) == (503, True) and "X-Request-Id" in told["reason"]
        await until(lambda: made.reporter.failed >= 3)  # it asks on
        assert (await call(session, at, "GET", "/status"))[1]["upstream"]["failing"]
        async with session.get(f"http://{at}/metrics") as answer:
            assert "brassfall_ready 0.0" in await answer.text()
        async with started(above(tmp_path, port, SOON_MS)):
            await until(lambda: not made.unready())
            assert (await call(session, at, "GET", "/health/ready"))[0] == 200
            assert (await call(session, at, "GET", LIST))[0] == 200


# --- the list, writes and rules through it ---------------------------------------------------------


@bounded(30.0)
async def test_lists_watches_and_writes_go_through_it(tmp_path):
    async with tier(tmp_path, ring=4, lists_per_s=20.0, agree_ms=SOON_MS) as (_, at, below, session):
        async with Watch(session, below, f"{LIST}?watch=1&from=0") as watch:
            first = await watch.news()
            assert first["snapshot"] and watch.answer.headers[AGE_HEADER] == "2000"
            status, told, _ = await call(session, below, "PUT", f"{LIST}/s1", ENTRY, X_Request_Id="r1")
            again = await call(session, below, "PUT", f"{LIST}/s1", ENTRY, X_Request_Id="r1")
            assert (status, again[1]) == (200, told)
            line = await watch.news()
            assert (line["index"], [e["name"] for e in line["endpoints"]]) == (told["index"], ["s1"])
            assert (await call(session, at, "GET", LIST))[1] == (await call(session, below, "GET", LIST))[1]
            assert (await call(session, below, "PATCH", f"{LIST}/s1", {"weight": 2.0}, If_Match="1"))[
                0
            ] == 412
            assert (await call(session, below, "PATCH", f"{LIST}/s1", {"weight": 2.0}))[0] == 200
            changed = await watch.news()
            assert changed["endpoints"][0]["weight"] == 2.0
        # Whoever comes back, from here or from the service itself, gets what changed since, and the whole
        # list only once that is gone.
        async with Watch(session, below, f"{LIST}?watch=1&from={told['index']}") as watch:
            line = await watch.news()
            assert (line["index"], line["snapshot"], len(line["endpoints"])) == (changed["index"], False, 1)
        for weight in range(3, 9):
            assert (await call(session, below, "PATCH", f"{LIST}/s1", {"weight": weight}))[0] == 200
        last = (await call(session, at, "GET", LIST))[1]["index"]
        async with Watch(session, below, f"{LIST}?watch=1&from={told['index']}") as watch:
            line = await watch.news()
            assert line["snapshot"]
            while line["index"] != last:
                line = await watch.news()
        # Those that hold nothing come in at a rate, each told a time of its own; who goes on is not counted.
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
        assert (status, "Retry-After" in headers) == (503, False)  # it is set back by none
        assert (await call(session, below, "DELETE", f"{LIST}/s1"))[0] == 200
        row = await call(session, below, "PUT", "/tables/duty/one", {"who": "a"}, X_Lease="60000")
        assert row[0] == 200 and (await call(session, at, "GET", "/tables/duty/one"))[1]["value"] == {
            "who": "a"
        }
        assert (await call(session, below, "PUT", f"{LIST}/s2", b"x" * 70_000))[0] == 413
        assert (await call(session, below, "PUT", f"{LIST}/s2", b"{"))[0] == 400
        assert (await call(session, below, "GET", "/nowhere"))[0] == 404


@bounded(30.0)
async def test_reports_get_leases_and_what_is_none_is_refused_and_counted(tmp_path):
    async with tier(tmp_path) as (made, at, below, session):
        status, told, _ = await call(session, below, "POST", "/edges/n1", {"life": "p", "seq": 1, "of": 0})
        assert status == 200 and 0.0 < told["permission_ms"] <= 0.9 * AGREE_MS
        assert told["life"] == made.core.epoch
        body = {"life": "p", "seq": 2, "of": told["life"]}
        assert "life" not in (await call(session, below, "POST", "/edges/n1", body))[1]
        short = {"seq": 3, "after": 2}  # goes on from the one before on its connection
        assert (await call(session, below, "POST", "/edges/n1", short))[1]["permission_ms"] > 0.0
        for bad in (b"{", b"[]", {"seq": -1}, {"seq": 9, "after": 7}, {"life": "x" * 99}):
            assert (await call(session, below, "POST", "/edges/n1", bad))[0] == 400
        assert made.children.statistics.refused == 5
        status, told, _ = await call(session, below, "GET", "/edges")
        assert [row["name"] for row in told["edges"]] == ["n1"] and told["permits"] == "yes"
        assert (await call(session, below, "GET", "/status"))[1]["children"]["leased"] == 1
        number = (await call(session, below, "PUT", "/rules", {"caps": {"look": 5.0}}))[1]["edition"]
        await until(lambda: made.core.committed == number)  # once the lease of n1, now silent, is over
        async with Watch(session, below, "/rules?watch=1") as watch:
            assert (await watch.news())["edition"] == number
        assert (await call(session, below, "GET", f"/rules?edition={number}"))[1]["state"] == "committed"
        async with started(twin := aggregator(at, region="west")):  # its name is another's
            await until(lambda: "409" in twin.reporter.failing and "409" in twin.unready())
        await until(lambda: not made.unready())  # it has a lease on that, too
        status = (await call(session, below, "GET", "/status"))[1]
        assert (status["edition"], status["reports"], status["ready"]) == (number, 3, "yes")


@bounded(30.0)
async def test_newcomers_are_let_in_at_a_rate_and_those_that_hold_a_lease_at_once(tmp_path):
    limits = CallerLimits(caller_calls_per_s=0.0)
    more = {"newcomers_per_s": 10.0, "newcomers_burst": 5, "children_most": 60, "limits": limits}
    async with tier(tmp_path, **more) as (made, _, below, session):
        body = {"life": "p", "seq": 1, "acting": "safe"}

        async def report(names, acting):
            bodies = {name: {**body, "acting": acting} for name in names}
            return await asyncio.gather(
                *(call(session, below, "POST", f"/edges/{name}", told) for name, told in bodies.items())
            )

        loop = asyncio.get_running_loop()
        begun = loop.time()
        told = await report([f"new{i}" for i in range(40)], "safe")
        waits = [float(headers["Retry-After"]) for status, _, headers in told if status == 503]
        assert 5 <= 40 - len(waits) <= 5 + 10.0 * (loop.time() - begun) + 1
        assert max(waits) <= 40 / 10.0 + 0.1 and len(set(waits)) >= len(waits) // 2
        assert made.children.statistics.rejected == len(waits)
        held = await report([f"old{i}" for i in range(20)], 0)
        assert {status for status, _, _ in held} == {200}
        full = [row for row in await report([f"more{i}" for i in range(60)], 0) if row[0] == 503]
        assert full and not any("Retry-After" in headers for _, _, headers in full)  # they ask elsewhere
        assert made.core.counts(now_ms()).known <= 60


# --- faults -----------------------------------------------------------------------------------------


@bounded(40.0)
async def test_cut_off_it_tells_the_age_of_its_list_and_no_lease_outlasts_its_own(tmp_path):
    granted = []

    def listen(asked, heard, told):
        granted.append((asked, told["permission_ms"], told.get("elsewhere", False)))

    async with ServiceProcess(tmp_path, agreement={"agree_ms": AGREE_MS}) as process:
        at = await process.start()
        made = aggregator(at, writes_at_once=1, writes_waiting=1)
        async with started(made) as (below,), aiohttp.ClientSession() as session:
            await until(lambda: not made.unready())
            sidecar = agent("n1", below, listen=listen)
            sidecar.start()
            number = (await call(session, below, "PUT", "/rules", {"caps": {"look": 5.0}}))[1]["edition"]
            await until(lambda: acting(sidecar) == number)
            async with Watch(session, below, f"{LIST}?watch=1&from=0") as watch:
                index = (await watch.news())["index"]
                process.send(signal.SIGSTOP)
                await until(lambda: acting(sidecar) == "safe")
                ends = made.core.lease_until_ms / 1000.0
                assert all(asked + length / 1000.0 <= ends for asked, length, _ in granted)
                status, _, headers = await call(session, below, "GET", LIST)
                assert (
                    status == 200 and float(headers[AGE_HEADER]) >= 0.9 * AGREE_MS
                )  # served, and no younger
                assert (await call(session, below, "GET", "/health/ready"))[0] == 503
                # One is under way and one waits for it; the others are refused at once.
                writes = [
                    asyncio.create_task(call(session, below, "PUT", f"{LIST}/s1", ENTRY)) for _ in range(5)
                ]
                line = await watch.news()  # in the place of an empty line
                assert (line["index"], line["endpoints"]) == (index, []) and line["age_ms"] > 2000
                await until(lambda: granted[-1][1:] == (0.0, True))  # and told to ask elsewhere
                told = await asyncio.gather(*writes)
                assert {(status, "Retry-After" in headers) for status, _, headers in told} == {(503, True)}
                assert ["too many calls wait" in said["reason"] for _, said, _ in told] == [False] * 2 + [
                    True
                ] * 3
                # One of an older version does not read `elsewhere`, and stays: it is refused, and so goes.
                async with aiohttp.ClientSession() as one:  # with one connection
                    bodies = [{"life": "p", "seq": seq} for seq in (1, 2)]
                    old = [await call(one, below, "POST", "/edges/o1", body) for body in bodies]
                assert [(status, "Retry-After" in headers) for status, _, headers in old] == [
                    (200, False),
                    (503, False),
                ]
                process.send(signal.SIGCONT)
                await until(lambda: acting(sidecar) == number)
                while line.get("age_ms") != 2000:  # and s1 may come: that call was carried out after all
                    line = await watch.news()
                assert made.mirror.age_ms(now_ms()) < 2000.0
            sidecar.close()


@bounded(40.0)
async def test_one_that_is_killed_started_again_and_ended_costs_its_children_no_lease_for_long(tmp_path):
    async with started(above(tmp_path)) as (at,), aiohttp.ClientSession() as session:
        path, port = tmp_path / "a1.toml", free_port()
        path.write_text(
            f'[aggregator]\nname = "a1"\nregion = "east"\nlisten = "127.0.0.1:{port}"\n'
            f'upstream = ["{at}"]\nagree_ms = {AGREE_MS}\n'
        )
        process = Logged("registry", "aggregate", "--config", str(path))
        # Three of them: the service decides with more than half.
        others = [aggregator(at, name=name) for name in ("a2", "a3")]
        async with process, started(*others) as (far, _):
            near = await process.start()
            sidecars = [agent("n1", near, far), agent("n2", far, near)]
            number = (await call(session, at, "PUT", "/rules", {"caps": {"look": 5.0}}))[1]["edition"]
            for sidecar in sidecars:
                sidecar.start()

            def all_act(where):
                told = [json.loads(sidecar.state) for sidecar in sidecars]
                return all(row["acting"] == number and row["at"] in where for row in told)

            await until(lambda: all_act({near, far}))
            await process.end(signal.SIGKILL)
            await until(lambda: all_act({far}))
            await process.start()
            while (await call(session, near, "GET", "/health/ready"))[0] != 200:  # it has a lease again
                await asyncio.sleep(0.02)
            assert await process.end() == 0  # SIGTERM
            await until(lambda: all_act({far}))
            rows = (await call(session, at, "GET", "/aggregators"))[1]["aggregators"]
            assert {row["name"]: row["children"]["known"] for row in rows}["a2"] == 2
            for sidecar in sidecars:
                sidecar.close()


def test_the_settings_of_callers_are_those_of_the_list_service_without_its_tables():
    mine, whole = CallerLimits.__struct_fields__, RegistryLimits.__struct_fields__
    assert set(whole) - set(mine) == {"queue", "rows", "tables"}
    assert {name: getattr(CallerLimits(), name) for name in mine} == {
        n: getattr(RegistryLimits(), n) for n in mine
    }


def test_the_client_reads_what_retry_after_says():
    assert [client.retry_after_s(text) for text in (None, "x", "-1", "2.5", "900", "nan")][:5] == [
        0,
        0,
        0,
        2.5,
        60,
    ]
