"""The sidecar's part in the agreement, on its own sockets, beside a list service whose words are scripted."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import math
import time

import pytest

from brassfall.balancer.events import RequestArrived
from brassfall.sidecar.agent import agent
from tests.support.loopback import (
    OK,
    SETTINGS,
    App,
    Registry,
    Upstream,
    break_off,
    entry,
    listed,
    loopback,
    read_message,
    running,
    until,
)
from tests.support.processes import ask_door, free_port

AGREE_MS = 3000


class Rules(Registry):
    """A list service whose editions and permissions the test decides."""

    def __init__(self):
        super().__init__(current=True)
        self.reports, self.told = [], []  # what came, and the watches on the rules
        self.state = {"edition": 0, "life": 1, "state": "committed", "settings": {}}
        self.permission_ms, self.late_s, self.more = AGREE_MS, 0.0, {}
        self.open = asyncio.Event()
        self.open.set()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while (message := await read_message(reader)) is not None:
                path = message.start.split(" ")[1]
                if path.startswith("/edges/"):
                    body = json.loads(message.body)
                    if "after" in body:  # what is as it was in that report is left out
                        kept = {k: v for k, v in self.reports[-1].items() if k in agent.DELTA_FIELDS}
                        body = kept | body
                    self.reports.append(body)
                    await asyncio.sleep(self.late_s)
                    await self.open.wait()
                    self._answer(writer, self._permission(body))
                elif path == "/rules":
                    self._answer(writer, self.state)
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    if path.startswith("/rules"):
                        self.told.append(writer)
                        self.push()
                    else:
                        self.watches.append(writer)
                        self.tell(int(path.rpartition("=")[2]))
                    await reader.read()
        writer.close()

    @staticmethod
    def _answer(writer, told):
        body = json.dumps(told).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def _permission(self, body):
        state, edition = self.state["state"], self.state["edition"]
        pending = edition if state == "prepared" else 0
        acting = edition if state == "committed" else self.state.get("committed", {}).get("edition", 0)
        made = {"edition": acting, "permission_ms": self.permission_ms, "pending": pending, "life": 1}
        return {**made, "list_index": 41, "news": edition > body["held"], "edges": 1, **self.more}

    def push(self):
        line = json.dumps(self.state).encode() + b"\n"
        for writer in self.told:
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    def publish(self, number, state="committed", settings=None, **more):
        """The next state of the rules; one that is prepared or halted has the committed one beside it."""
        before = self.state if self.state["state"] == "committed" else self.state["committed"]
        self.state = {"edition": number, "life": 1, "state": state, "settings": settings or {}, **more}
        if state != "committed":
            self.state["committed"] = before
        self.push()


class Side:
    """What a test holds of one sidecar."""

    def __init__(self, sidecar, rules, app):
        self.sidecar, self.rules, self.app = sidecar, rules, app

    async def acting(self, wanted):
        """Wait until it acts on this, and has its settings."""
        await until(lambda: self.state()["acting"] == wanted)

    def state(self):
        return json.loads(self.sidecar.member.agent.state)

    async def ask(self, *args, **headers):
        answer = await self.app.ask(*args, **headers)
        if answer.headers.get("connection") == "close":
            self.app = await App.connect(self.sidecar.address)
        return answer

    @property
    def report(self):
        return self.rules.reports[-1]


@contextlib.asynccontextmanager
async def fleet(*upstreams, agreement=True, zones=(), agree_ms=AGREE_MS, raw=None, **settings):
    """A sidecar with its part in the agreement; servers are in the west, or where `zones` says."""
    rules = await Rules().start()
    part = {"agreement": {"agree_ms": agree_ms}, "place": {"group": "g", "region": "west"}}
    known = [
        entry(f"s{i}", upstream.address, zone=zones[i] if zones else "west")
        for i, upstream in enumerate(upstreams)
    ]
    told = {
        "fleet": {"registry": [rules.address], **(part if agreement else {})},
        "known": listed(41, *known),
    }
    async with running(*upstreams, registry=rules, raw={**told, **(raw or {})}, **settings) as sidecar:
        side = Side(sidecar, rules, await App.connect(sidecar.address))
        try:
            yield side
        finally:
            side.app.close()
            for writer in (*rules.told, *rules.watches):
                writer.transport.abort()
            rules.stop()


@pytest.fixture(autouse=True)
def often(monkeypatch):
    """Reports come so often that no test waits for one."""
    monkeypatch.setattr(agent, "EVERY_MS", 60.0)


def editions(upstream):
    return [seen.headers.get("x-edition") for seen in upstream.seen]


@loopback
async def test_each_send_tells_its_edition_and_safe_past_the_permission():
    server, port = await Upstream().start(), free_port()
    async with fleet(server, raw={"operator": f"127.0.0.1:{port}"}) as side:
        await side.acting(0)
        await side.ask(X_Edition="77")  # a client speaks for no sidecar
        side.rules.publish(5)
        await side.acting(5)
        await side.ask()
        told = json.loads(await ask_door(("127.0.0.1", port), b"RULES\n"))
        assert (told["held"], told["acting"], told["overrides"]) == (5, 5, [])
        assert 0 < told["permission_ms"] <= AGREE_MS
        side.rules.permission_ms = 200
        side.rules.open.clear()  # reports come, answers do not
        await side.acting("safe")
        await side.ask()
        assert side.state()["permission_ms"] == 0
        assert editions(server) == ["0", "5", "safe"]


@loopback
async def test_a_permission_is_counted_from_asking():
    server = await Upstream().start()
    async with fleet(server, agree_ms=150) as side:
        await side.acting(0)
        side.rules.late_s = 0.3  # within a call's limit, after the permission's end
        await asyncio.sleep(0.3)
        count = len(side.rules.reports)
        while len(side.rules.reports) < count + 3:
            assert side.state()["acting"] == "safe" or len(side.rules.reports) <= count
            await asyncio.sleep(0.005)
        await side.ask()
        assert editions(server) == ["safe"]
        side.rules.late_s = 0.0
        await side.acting(0)


@loopback
async def test_settings_take_effect_go_again_and_lie_over_a_file_that_is_read_anew(tmp_path):
    servers = [await Upstream().start() for _ in range(6)]
    async with fleet(*servers) as side:

        async def tries():
            """How often a request is sent, after a while in which all was well, where each attempt fails."""
            for reply, count in ((OK, 20), (break_off, 1)):
                for server in servers:
                    server.replies = [reply]
                before = sum(len(server.seen) for server in servers)
                for _ in range(count):
                    await side.ask()
            return sum(len(server.seen) for server in servers) - before

        def figures():
            told = side.sidecar.running.settings
            return [profile.objective for profile in told.profiles]

        await side.acting(0)
        assert (await tries(), figures()) == (3, [2000.0, 2000.0, 2000.0])
        row = {"Name": "look", "Objective": 700.0}
        side.rules.publish(5, settings={"Profiles": [row], "PolicyLimits": {"MaxAttempts": 1}})
        await side.acting(5)
        assert (await tries(), figures()) == (1, [700.0, 2000.0, 2000.0])
        raw = copy.deepcopy(dict(side.sidecar.member._file.agreement.raw))
        for profile in raw["settings"]["Profiles"]:
            profile["Objective"] = 900.0
        file = tmp_path / "sidecar.json"
        file.write_text(json.dumps(raw))
        side.sidecar.reload({"NODE_CONFIG": str(file)})
        assert (await tries(), figures()) == (1, [700.0, 900.0, 900.0])
        side.rules.publish(6)
        await side.acting(6)
        assert (await tries(), figures()) == (3, [900.0, 900.0, 900.0])


@loopback
async def test_a_class_that_a_file_brings_is_capped_at_once(tmp_path):
    async with fleet(await Upstream().start()) as side:
        side.rules.publish(5, settings={"caps": {"gaze": 7.0}})
        await side.acting(5)
        raw = copy.deepcopy(dict(side.sidecar.member._file.agreement.raw))
        raw["settings"]["Profiles"].append(raw["settings"]["Profiles"][0] | {"Name": "gaze"})
        file = tmp_path / "sidecar.json"
        file.write_text(json.dumps(raw))
        assert not side.sidecar.member._steer.caps
        side.sidecar.reload({"NODE_CONFIG": str(file)})  # no report comes between
        assert list(side.sidecar.member._steer.caps.values()) == [7.0]


OBJECTED = (
    ({"Profiles": [{"Name": "none", "Objective": 1.0}]}, {}, "no class 'none'"),
    ({"Profiles": [{"Name": "look", "Objective": "soon"}]}, {}, "Objective"),
    ({"colours": 1}, {}, "colours"),
    ({}, {"overrides": [{"id": "o", "action": {"paint": 1}}]}, "paint"),
)


@loopback
async def test_what_this_version_cannot_act_on_is_objected_to_by_name():
    server = await Upstream().start()
    async with fleet(server) as side:
        side.rules.publish(5, settings={"caps": {"look": 1000.0}})
        await side.acting(5)
        for number, (settings, more, said) in enumerate(OBJECTED, 6):
            side.rules.publish(number, "prepared", settings, **more)
            await until(lambda number=number: side.report.get("objection", {}).get("edition") == number)
            assert said in side.report["objection"]["reason"]
            assert (side.report["prepared"], side.report["held"], side.state()["acting"]) == (0, number, 5)
            side.rules.publish(number, "halted", settings, **more)
        side.rules.publish(20, "prepared", {"caps": {"look": 10.0}})
        await until(lambda: side.report["prepared"] == 20)
        assert (await side.ask()).body == b"done"


CHANGED = (
    ({"regions": {"held": ["west"]}}, "committed", {"regions": {"held": ["east"]}}, ["6"]),
    # Acknowledged, and not yet in force: from then on nobody serves the tenant until it is.
    ({"tenants": {"globex": "east"}}, "prepared", {"tenants": {"globex": "west"}}, []),
)


@pytest.mark.parametrize("tries", [1, 3])
@pytest.mark.parametrize(("before", "state", "after", "sent"), CHANGED)
@loopback
async def test_what_waits_for_its_connection_is_not_sent_under_rules_that_went(
    before, state, after, sent, tries
):
    east, west = await Upstream().start(), await Upstream().start()
    # What was not sent counts as no attempt: with a single one, it is decided anew all the same.
    limits = {**SETTINGS["PolicyLimits"], "ConnectTimeout": 5000.0, "MaxAttempts": tries}
    async with fleet(east, west, zones=("east", "west"), PolicyLimits=limits) as side:
        loop, gate, waiting = asyncio.get_running_loop(), asyncio.Event(), []
        connect = loop.create_connection

        async def gated(factory, host, port):
            if f"{host}:{port}" == east.address:
                waiting.append(port)
                await gate.wait()
            return await connect(factory, host, port)

        side.rules.publish(5, settings=before)
        await side.acting(5)
        loop.create_connection = gated
        side.app.send()
        await until(lambda: waiting)
        side.rules.publish(6, state, after)
        await until(lambda: 6 in (side.state()["acting"], side.report["prepared"]))
        gate.set()
        assert ((await side.app.answer()).body == b"done") == bool(sent)
        assert (editions(east), editions(west)) == ([], sent)


@loopback
async def test_what_was_decided_before_a_stop_is_not_sent_after_it():
    east, west = await Upstream().start(), await Upstream().start()
    async with fleet(east, west, zones=("east", "west")) as side:
        side.rules.publish(5, settings={"tenants": {"globex": "east"}})
        await side.acting(5)
        await side.ask()  # a connection is open
        driver, member = side.sidecar.driver, side.sidecar.member
        step = driver.balancer.step

        def stopped(now, event):
            """The permission ends between the decision and the send."""
            actions = step(now, event)
            if isinstance(event, RequestArrived):
                member.agent.lease_client._lease_end = member.agent.valid_until = -math.inf
            return actions

        side.rules.open.clear()
        driver.balancer.step = stopped
        assert (await side.ask()).body != b"done"
        assert (editions(east), editions(west)) == (["5"], [])


async def raw_bytes(agreement):
    """All that a server is sent for three requests, but for the edition."""
    kept = bytearray()

    async def serve(reader, writer):
        while True:
            try:
                kept.extend(await reader.readuntil(b"\r\n\r\n"))
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            writer.write(OK)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    known = listed(41, entry("s0", f"127.0.0.1:{server.sockets[0].getsockname()[1]}"))
    async with fleet(agreement=agreement, raw={"known": known}) as side:
        if agreement:
            await side.acting(0)
        for _ in range(3):
            assert (await side.ask(X_Budget="4000m", X_Other="a")).body == b"done"
        reports, watches = len(side.rules.reports), len(side.rules.told)
    server.close()
    lines = bytes(kept).split(b"\r\n")
    # How much time is left differs from play to play.
    return [line for line in lines if not line.lower().startswith(b"x-budget")], reports, watches


@loopback
async def test_without_the_key_nothing_is_reported_and_no_byte_is_added():
    bare, reports, watches = await raw_bytes(agreement=False)
    assert (reports, watches, bare.count(b"X-Edition: 0")) == (0, 0, 0)
    stamped, reports, watches = await raw_bytes(agreement=True)
    assert (reports > 0, watches, stamped.count(b"X-Edition: 0")) == (True, 1, 3)
    assert [line for line in stamped if line != b"X-Edition: 0"] == bare


@loopback
async def test_held_regions_and_pins_hold_for_each_send_and_pins_for_nobody_when_safe():
    east, west = await Upstream().start(), await Upstream().start()
    async with fleet(east, west, zones=("east", "west")) as side:

        async def served(count=20, **headers):
            before = len(east.seen), len(west.seen)
            answers = [await side.ask(**headers) for _ in range(count)]
            good = sum(answer.body == b"done" for answer in answers)
            return len(east.seen) - before[0], len(west.seen) - before[1], good

        side.rules.publish(5, settings={"regions": {"held": ["west"]}})
        await side.acting(5)
        assert await served() == (20, 0, 20)
        # Between the two, what both allow: nobody is pinned to a region that the other has not.
        side.rules.publish(6, "prepared", {"tenants": {"globex": "west"}})
        await until(lambda: side.report["prepared"] == 6)
        assert (await served(3))[:2] == (0, 0)
        assert (await served(5, X_Caller="acme"))[1] == 0
        side.rules.publish(6, settings={"tenants": {"globex": "west"}})
        await side.acting(6)
        _, there, good = found = await served()
        assert found[0] == 0 and there == good >= 5  # those refused before make it careful for a while
        side.rules.permission_ms = 0
        await side.acting("safe")
        assert await served(3) == (0, 0, 0)  # who serves it may be another's to say by now
        assert (await served(5, X_Caller="acme"))[2] == 5


@loopback
async def test_the_floor_is_what_holds_without_a_permission():
    east, west = await Upstream().start(), await Upstream().start()
    floor = {"regions": {"held": ["east"]}, "tenants": {"globex": "west"}}
    async with fleet(east, west, zones=("east", "west")) as side:
        side.rules.publish(5, settings={"tenants": {"globex": "east"}, "floor": floor})
        await side.acting(5)
        assert (await side.ask()).body == b"done"
        assert (len(east.seen), len(west.seen)) == (1, 0)
        side.rules.permission_ms = 0
        await side.acting("safe")
        for caller in ("globex", "acme") * 8:
            assert (await side.ask(X_Caller=caller)).body == b"done"
        assert (len(east.seen), len(west.seen)) == (1, 16)


@loopback
async def test_an_override_is_acted_on_by_its_time_left_and_no_longer():
    east, west = await Upstream().start(), await Upstream().start()
    hold = {"id": "o", "rev": 1, "from_ms": 0, "priority": 0, "action": {"hold": {"region": "west"}}}
    async with fleet(east, west, zones=("east", "west")) as side:
        side.rules.more = {"left": {"o": {"rev": 1, "same_from": 1, "left_ms": 700.0}}}
        side.rules.publish(5, overrides=[hold])
        await until(lambda: side.state()["overrides"] == ["o"])
        side.rules.more, side.rules.permission_ms = {}, 0  # it is told nothing more, and ends it all the same
        told = time.monotonic()
        while not west.seen and side.state()["overrides"]:
            await side.ask()
            assert not (west.seen and side.state()["overrides"])
        assert time.monotonic() - told < 2.0  # 0.7 s, and what a machine with much to do adds
        async with asyncio.timeout(15.0):
            while not west.seen:  # and traffic comes back, eased in
                await side.ask()
