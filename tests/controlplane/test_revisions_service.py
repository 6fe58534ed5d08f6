"""Revisions, overrides and delays of a list service process: publishers, reports, watches and kills."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import signal
import time

import aiohttp
import pytest

from brassfall.controlplane.registry import client
from brassfall.sidecar.agent.delays import MIN_ROW_INTERVAL_S, DelaySketches
from tests.controlplane.test_registry_service import ENTRY, call
from tests.support.loopback import bounded, until
from tests.support.processes import Service

# Settings with short leases, so that revisions are decided soon, and without a limit on calls per caller.
SOON = {"agreement": {"agree_ms": 400}, "limits": {"caller_calls_per_s": 0}}
UNREADABLE_BODIES = (
    b"{",
    b"[1",
    b'{"seq":NaN}',
    b'{"seq":1e999}',
    b"\xff",
    b"[" * 50_000,
    b'"text"',
    b"null",
)


def running(**changes):
    """Return a decorator that runs a test with a running service and a function that calls it.

    The service has short leases and the settings `changes`; it is killed at the end of the test.
    """

    def wrap(test):
        @bounded(60.0)
        async def run(tmp_path):
            async with Service(tmp_path, **{**SOON, **changes}) as service:
                await service.start()
                async with aiohttp.ClientSession() as session:
                    await test(service, functools.partial(call, session, service))

        run.__name__ = test.__name__
        return run

    return wrap


class Node:
    """A sidecar that only reports; it objects to a cap of the class `b`, and may ignore revisions."""

    def __init__(self, ask, name, **more):
        self.ask, self.name, self.more = ask, name, more
        self.seq = self.epoch = self.newest = self.prepared = 0
        self.ignores_revisions, self.answer, self.objection = False, {}, None

    def body(self):
        """Return the fields of the next report."""
        fields = {
            "life": "p",
            "seq": self.seq,
            "of": self.epoch,
            "held": self.newest,
            "prepared": self.prepared,
        }
        fields["acting"] = self.answer["edition"] if self.answer.get("permission_ms") else "safe"
        return fields | ({"objection": self.objection} if self.objection else {}) | self.more

    async def report(self):
        """Send a report, and take over a new revision if the answer states one; return the answer."""
        self.seq += 1
        status, self.answer, _ = await self.ask("POST", f"/edges/{self.name}", self.body())
        assert status == 200, self.answer
        # The answer leaves out the epoch if it is the one that the report named.
        self.epoch = self.answer.get("life", self.epoch)
        if self.answer["news"] and not self.ignores_revisions:
            _, rules, _ = await self.ask("GET", "/rules")
            self.newest = rules["edition"]
            if "b" in rules["settings"].get("caps", {}):
                self.objection = {"edition": self.newest, "reason": "no class 'b' is known here"}
            elif rules["state"] == "prepared":
                self.prepared = self.newest
        return self.answer

    async def report_repeatedly(self):
        """Report every 0.02 s until cancelled."""
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                await self.report()
            await asyncio.sleep(0.02)

    @contextlib.asynccontextmanager
    async def reporting(self):
        """Report repeatedly in the background; enter the block once the node has a lease."""
        task = asyncio.create_task(self.report_repeatedly())
        try:
            await until(lambda: self.answer.get("permission_ms") or task.done())
            yield self
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


async def decided(ask, revision):
    """Wait until a revision is committed or halted; return the service's answer about it."""
    async with asyncio.timeout(15.0):
        while True:
            _, answer, _ = await ask("GET", f"/rules?edition={revision}")
            if answer["state"] != "prepared":
                return answer
            await asyncio.sleep(0.02)


async def collect_lines(service, received):
    """Append the lines of a watch of the revisions to `received` until the watch ends."""
    with contextlib.suppress(client.CallError):
        async for line in client.watch(service.listen, "/rules"):
            received.extend([json.loads(line)] if line else [])


@bounded(60.0)
async def test_a_prepared_revision_is_durable_when_answered_and_committed_after_a_kill_and_restart(tmp_path):
    # No revision is committed within the length of a lease after the start. With a long lease the kill comes
    # between the preparation and the commit.
    async with Service(tmp_path, **SOON | {"agreement": {"agree_ms": 30_000}}) as service:
        await service.start()
        async with aiohttp.ClientSession() as session:
            ask = functools.partial(call, session, service)
            await Node(ask, "n0").report()
            status, answer, _ = await ask("PUT", "/rules", {"caps": {"look": 7}}, X_Request_Id="a")
            number = answer["edition"]
            assert (status, (await ask("GET", "/rules"))[1]["state"]) == (200, "prepared")
        await service.end(signal.SIGKILL)
        service.write(**SOON)
        await service.start()
        async with aiohttp.ClientSession() as session:
            ask = functools.partial(call, session, service)
            _, edges, _ = await ask("GET", "/edges")
            assert [(row["name"], row["age_ms"]) for row in edges["edges"]] == [("n0", None)]
            assert "has not reported" in edges["edges"][0]["behind"]
            # The member n0 is durable: as long as n0 does not follow the service, nothing is decided.
            await asyncio.sleep(0.8)
            assert (await ask("GET", "/rules"))[1]["state"] == "prepared"
            assert "only 0 of 1" in (await ask("GET", "/edges"))[1]["permits"]
            async with Node(ask, "n0").reporting():
                found = await decided(ask, number)
                assert (found["state"], found["settings"]) == ("committed", {"caps": {"look": 7}})
                assert (await ask("PUT", "/rules", {}, X_Request_Id="a"))[1] == {"edition": number}


@running(agreement={"agree_ms": 1500})
async def test_a_publisher_with_an_old_revision_is_refused_and_the_last_of_many_revisions_is_committed(
    service, ask
):
    async with Node(ask, "n0").reporting() as node:
        first = (await ask("PUT", "/rules", {"caps": {"a": 1}}, If_Match="0"))[1]["edition"]
        status, answer, _ = await ask("PUT", "/rules", {}, If_Match="0")
        assert (status, str(first) in answer["reason"]) == (412, True)
        await decided(ask, first)
        node.ignores_revisions = True  # Nine more revisions are published while the first one is prepared
        answers = [
            await ask("PUT", "/rules", {"caps": {"a": n}}, If_Match=str(first + n - 1)) for n in range(1, 11)
        ]
        numbers = [answer["edition"] for _, answer, _ in answers]
        assert numbers == list(range(first + 1, first + 11))
        node.ignores_revisions = False
        assert (await decided(ask, numbers[-1]))["settings"] == {"caps": {"a": 10}}
        for number in numbers[1:-1]:
            found = await decided(ask, number)
            assert (found["state"], found["objections"][0]["reason"]) == (
                "halted",
                f"superseded by edition {number + 1}",
            )


@running()
async def test_a_watch_states_prepared_and_committed_revisions_and_the_objections_to_a_halted_one(
    service, ask
):
    received = []
    watch = asyncio.create_task(collect_lines(service, received))
    async with Node(ask, "n0").reporting():
        good = (await ask("PUT", "/rules", {"caps": {"a": 1}}))[1]["edition"]
        await decided(ask, good)
        bad = (await ask("PUT", "/rules", {"caps": {"b": 1}}))[1]["edition"]
        found = await decided(ask, bad)
        await until(lambda: received and received[-1]["state"] == "halted")
        row = {}
        while row.get("acting") != good:  # On a slow machine the node is at times without a lease
            row = (await ask("GET", "/edges"))[1]["edges"][0]
    watch.cancel()
    why = "no class 'b' is known here"
    assert found["objections"] == [{"edge": "n0", "reason": why}]
    states = [(line["edition"], line["state"]) for line in received]
    assert states == [
        (0, "committed"),
        (good, "prepared"),
        (good, "committed"),
        (bad, "prepared"),
        (bad, "halted"),
    ]
    assert received[-1]["objections"] == found["objections"]
    # A line about a halted revision states the committed revision, too.
    assert received[-1]["committed"]["settings"] == {"caps": {"a": 1}}
    assert (row["held"], row["prepared"], row["overrides"]) == (bad, good, [])
    assert row["behind"] == f"objects to edition {bad}: {why}"
    assert 0 <= row["age_ms"] < 5000 and row["list_index"] == 0


# Harmful settings, and a part of the reason for their refusal.
HARMFUL_SETTINGS = (
    ({"regions": {"held": ["a", "b"]}}, "a, b"),
    ({"regions": {"held": ["a"]}, "floor": {"regions": {"held": ["b"]}}}, "a, b"),
    ({"caps": {"look": 0}}, "look"),
    ({"tenants": {"acme": "c"}}, "acme"),
    ({"tenants": {"acme": "a"}, "regions": {"held": ["a"]}}, "acme"),
)


@running()
async def test_harmful_settings_are_refused_unless_forced_and_counted(service, ask):
    for name, zone in (("s1", "a"), ("s2", "b")):
        await ask("PUT", f"/registry/instances/{name}", {**ENTRY, "zone": zone, "ttl_ms": 0})
    for settings, reason_part in HARMFUL_SETTINGS:
        status, answer, _ = await ask("PUT", "/rules", settings)
        assert (status, reason_part in answer["reason"]) == (409, True), answer
    assert (await ask("GET", "/rules"))[1]["edition"] == 0
    assert (await ask("PUT", "/rules", HARMFUL_SETTINGS[0][0], X_Force="1"))[0] == 200
    answer = (await ask("GET", "/status"))[1]["rules"]
    assert (answer["harmful_refused"], answer["harmful_forced"]) == (len(HARMFUL_SETTINGS), 1)


# Method, path, body and expected status of calls that are refused.
MALFORMED_CALLS = [
    *(("PUT", "/rules", body, 400) for body in UNREADABLE_BODIES),
    ("PUT", "/rules", {"regions": {"held": "a"}}, 400),
    ("PUT", "/rules", {"regions": {"open": []}}, 400),
    ("PUT", "/rules", {"caps": {"a": -1}}, 400),
    ("PUT", "/rules", {"caps": {"a": True}}, 400),
    ("PUT", "/rules", {"tenants": {"": "a"}}, 400),
    ("PUT", "/rules", {"shares": {"g": {"a": 0}}}, 400),
    ("PUT", "/rules", {"floor": {"caps": {}}}, 400),
    ("PUT", "/rules", {"Profiles": [{"Name": "a"}, {"Name": "a"}]}, 400),
    ("PUT", "/rules", b" " * 2_000_000, 413),
    ("GET", "/rules?edition=x", None, 400),
    ("GET", "/rules?edition=99", None, 404),
    *(("POST", "/edges/n1", body, 400) for body in UNREADABLE_BODIES),
    ("POST", "/edges/n1", {"seq": -1}, 400),
    ("POST", "/edges/n1", {"seq": 2**60}, 400),
    ("POST", "/edges/n1", {"held": 1.5}, 400),
    ("POST", "/edges/n1", {"acting": "fast"}, 400),
    ("POST", "/edges/n1", {"list_age_ms": -1}, 400),
    ("POST", "/edges/n1", {"life": "x" * 65}, 400),
    ("POST", "/edges/n1", {"overrides": ["x"] * 1001}, 400),
    ("POST", "/edges/n1", {"objection": {"edition": 1, "reason": "x" * 2001}}, 400),
    ("POST", "/edges/a%20b", {}, 400),
    ("POST", "/edges/" + "x" * 300, {}, 400),
    ("DELETE", "/edges/nobody", None, 404),
    ("PUT", "/overrides/o1", b"{", 400),
    ("PUT", "/rules", b'{"caps":{"c":1%b}}' % (b"0" * 400), 400),
    ("PUT", "/overrides/o1", {"action": {"freeze": True}, "by": "a", "why": "b", "until_ms": 1}, 400),
    ("GET", "/overrides/o1", None, 404),
    *(
        (method, f"/tables/{table}/state", value, 400)
        for table in ("rules", "edges", "overrides", "overrides-history", "overrides-clock", "geo")
        for method, value in (("PUT", 1), ("DELETE", None))
    ),
]  # fmt: skip


# The leases last for longer than the calls of the test take, also on a busy machine.
@running(agreement={"agree_ms": 1500})
async def test_malformed_calls_are_refused_in_json_and_affect_no_other_caller(service, ask):
    async with Node(ask, "n0").reporting() as node:
        for method, path, body, expected_status in MALFORMED_CALLS:
            status, answer, _ = await ask(method, path, body)
            assert (status, set(answer)) == (expected_status, {"error", "reason"}), (
                method,
                path,
                body,
                answer,
            )
        # Malformed measures and digests are ignored, but the report that has them is accepted.
        malformed_parts = {
            "measures": {"delays": [{"region": "a", "window": 1e99, "shake": {"x": -1}}, 7]},
            "digest": "?",
        }
        assert (await ask("POST", "/edges/n2", {"life": "q", "seq": 1, **malformed_parts}))[0] == 200
        old_report = node.body() | {"seq": 1}
        # A report that is older than the last one, or repeated, is answered without a lease.
        for _ in range(2):
            status, answer, _ = await ask("POST", "/edges/n0", old_report)
            assert (status, answer["permission_ms"], "later report" in answer["why"]) == (200, 0.0, True)
    # Two reports of a node that overlap may arrive in the other order, and the older one then gets no lease.
    # So this report is sent after the reports in the background have ended.
    answer = await node.report()
    assert answer["permission_ms"] > 0.0
    names = [row["name"] for row in (await ask("GET", "/edges"))[1]["edges"]]
    assert names == ["n0", "n2"]
    assert (await ask("GET", "/status"))[1]["rules"]["reports_refused"] >= 18
    assert not [
        line for line in service.lines if line["event"] in ("unexpected exception in this program", "?")
    ]


def override_document(left_ms, **more):
    """Return the document of an override that ends in `left_ms`."""
    document = {"action": {"hold": {"region": "b"}}, "by": "ann", "why": "b loses packets"}
    return {**document, "until_ms": int(time.time() * 1000.0) + left_ms, **more}


@bounded(60.0)
async def test_an_override_ends_at_its_time_in_spite_of_a_kill_and_is_removed_from_the_revision(tmp_path):
    async with Service(tmp_path, **SOON) as service:
        await service.start()
        async with aiohttp.ClientSession() as session:
            ask = functools.partial(call, session, service)
            status, short, _ = await ask("PUT", "/overrides/short", override_document(6_500))
            assert (status, 0 < short["left_ms"] <= 6_500) == (200, True)
            await ask("PUT", "/overrides/long", override_document(600_000, priority=3))
            await ask("PUT", "/overrides/gone", override_document(600_000))
            assert (await ask("DELETE", "/overrides/gone?by=ann&why=over"))[0] == 200
            assert (await ask("GET", "/overrides/gone"))[0] == 404
        await service.end(signal.SIGKILL)
        await service.start()
        async with aiohttp.ClientSession() as session:
            ask = functools.partial(call, session, service)
            _, answer, _ = await ask("GET", "/overrides")
            left = {row["id"]: row["left_ms"] for row in answer["overrides"]}
            assert left.keys() == {"short", "long"}
            _, again, _ = await ask("GET", "/overrides/short")
            # The time that the kill and the start took is not added to the time left.
            assert again["until_ms"] == short["until_ms"] and left["short"] < short["left_ms"] - 100

            async def revision_overrides():
                """Return the ids of the overrides in the newest revision."""
                _, rules, _ = await ask("GET", "/rules")
                return sorted(row["id"] for row in rules["overrides"])

            for expected in (["long", "short"], ["long"]):
                async with asyncio.timeout(15.0):
                    while await revision_overrides() != expected:
                        await asyncio.sleep(0.02)
            _, answer, _ = await ask("GET", "/overrides")
            assert [row["id"] for row in answer["overrides"]] == ["long"]
            report_answer = await Node(ask, "n0").report()
            assert report_answer["left"].keys() == {"long"}
            assert 0 < report_answer["left"]["long"]["left_ms"] <= answer["overrides"][0]["left_ms"]


@running()
async def test_delays_between_groups_and_regions_are_listed_after_reports_with_sketches(service, ask):
    for name, zone in (("s1", "a"), ("s2", "b")):
        await ask("PUT", f"/registry/instances/{name}", {**ENTRY, "zone": zone, "ttl_ms": 0})
    sketches = DelaySketches("west")
    for _ in range(200):
        sketches.count_handshake("a", 20.0, cold=False)
        sketches.count_first_byte("a", 20.5)
    status, _, _ = await ask(
        "POST",
        "/edges/n0",
        {
            "life": "p",
            "seq": 1,
            "group": "west",
            "measures": {"delays": sketches.take_rows(MIN_ROW_INTERVAL_S)},
        },
    )
    _, answer, _ = await ask("GET", "/geo")
    pairs = {(row["group"], row["region"]): row for row in answer["pairs"]}
    assert (status, answer["plan_edition"], pairs.keys()) == (200, 0, {("west", "a"), ("west", "b")})
    near = pairs["west", "a"]
    assert near["tried"] and near["low_ms"] <= near["delay_ms"] <= near["high_ms"]
    assert near["delay_ms"] == pytest.approx(20.0, rel=0.1)
    assert not pairs["west", "b"]["tried"]
