"""A sidecar that acts on configuration revisions, on real sockets, with a scripted list service."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import time

import pytest

from brassfall.balancer import Balancer
from brassfall.balancer.events import RequestArrived
from brassfall.sidecar.agent import reporter
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

AGREE_MS = 3000  # The setting `agree_ms`, the longest lease, in milliseconds


class ScriptedListService(Registry):
    """A list service whose revisions and leases the test decides."""

    def __init__(self):
        super().__init__(current=True)
        self.reports = []
        self.revision_watches = []  # The stream writer of each open watch on revisions
        self.state = {"edition": 0, "life": 1, "state": "committed", "settings": {}}
        self.lease_ms = AGREE_MS
        self.answer_delay_s = 0.0
        self.answer_fields = {}  # Additional fields of the answers to reports
        self.answering = asyncio.Event()
        self.answering.set()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while (message := await read_message(reader)) is not None:
                path = message.start.split(" ")[1]
                if path.startswith("/edges/"):
                    body = json.loads(message.body)
                    if "after" in body:  # The report is a delta to the last one.
                        last = {k: v for k, v in self.reports[-1].items() if k in reporter.DELTA_FIELDS}
                        body = last | body
                    self.reports.append(body)
                    await asyncio.sleep(self.answer_delay_s)
                    await self.answering.wait()
                    self._answer(writer, self._lease(body))
                elif path == "/rules":
                    self._answer(writer, self.state)
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    if path.startswith("/rules"):
                        self.revision_watches.append(writer)
                        self.push()
                    else:
                        self.watches.append(writer)
                        self.tell(int(path.rpartition("=")[2]))
                    await reader.read()
        writer.close()

    @staticmethod
    def _answer(writer, raw):
        body = json.dumps(raw).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def _lease(self, report):
        state, revision = self.state["state"], self.state["edition"]
        pending = revision if state == "prepared" else 0
        committed = revision if state == "committed" else self.state.get("committed", {}).get("edition", 0)
        lease = {"edition": committed, "permission_ms": self.lease_ms, "pending": pending, "life": 1}
        news = revision > report["held"]
        return {**lease, "list_index": 41, "news": news, "edges": 1, **self.answer_fields}

    def push(self):
        """Send the current revision on all watches."""
        line = json.dumps(self.state).encode() + b"\n"
        for writer in self.revision_watches:
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    def publish(self, number, state="committed", settings=None, **more):
        """Publish a revision in the given state.

        If that is not the state "committed", the committed revision is sent together with it.
        """
        before = self.state if self.state["state"] == "committed" else self.state["committed"]
        self.state = {"edition": number, "life": 1, "state": state, "settings": settings or {}, **more}
        if state != "committed":
            self.state["committed"] = before
        self.push()


class SidecarInFleet:
    """A sidecar, its list service, and an application that sends requests to the sidecar."""

    def __init__(self, sidecar, service, app):
        self.sidecar, self.service, self.app = sidecar, service, app
        self.steers = []  # Each `SteeringDirectives` that took effect
        steer = sidecar.steer
        sidecar.steer = lambda changed: (self.steers.append(changed), steer(changed))

    async def wait_until_acting_on(self, wanted):
        """Wait until the sidecar acts on revision `wanted`, or on the fallback configuration for "safe"."""
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
        return self.service.reports[-1]


@contextlib.asynccontextmanager
async def fleet(*upstreams, agreement=True, zones=(), agree_ms=AGREE_MS, raw=None, **settings):
    """Run a sidecar that acts on configuration revisions.

    The servers are in the region "west", or in the regions that `zones` states for each of them.
    """
    service = await ScriptedListService().start()
    part = {"agreement": {"agree_ms": agree_ms}, "place": {"group": "g", "region": "west"}}
    known = [
        entry(f"s{i}", upstream.address, zone=zones[i] if zones else "west")
        for i, upstream in enumerate(upstreams)
    ]
    file = {
        "fleet": {"registry": [service.address], **(part if agreement else {})},
        "known": listed(41, *known),
    }
    async with running(*upstreams, registry=service, raw={**file, **(raw or {})}, **settings) as sidecar:
        side = SidecarInFleet(sidecar, service, await App.connect(sidecar.address))
        try:
            yield side
        finally:
            side.app.close()
            for writer in (*service.revision_watches, *service.watches):
                writer.transport.abort()
            service.stop()


@pytest.fixture(autouse=True)
def short_report_interval(monkeypatch):
    """Shorten the report interval, so that no test waits long for a report."""
    monkeypatch.setattr(reporter, "INTERVAL_MS", 60.0)


def request_revisions(upstream):
    """Return the revision in the header X-Edition of each request that a server has received."""
    return [seen.headers.get("x-edition") for seen in upstream.seen]


@loopback
async def test_each_request_states_its_revision_or_safe_once_the_lease_has_ended():
    server, port = await Upstream().start(), free_port()
    async with fleet(server, raw={"operator": f"127.0.0.1:{port}"}) as side:
        await side.wait_until_acting_on(0)
        await side.ask(X_Edition="77")  # The sidecar drops the header of a client.
        side.service.publish(5)
        await side.wait_until_acting_on(5)
        await side.ask()
        state = json.loads(await ask_door(("127.0.0.1", port), b"RULES\n"))
        assert (state["held"], state["acting"], state["overrides"]) == (5, 5, [])
        assert 0 < state["permission_ms"] <= AGREE_MS
        side.service.lease_ms = 200
        side.service.answering.clear()
        await side.wait_until_acting_on("safe")
        await side.ask()
        assert side.state()["permission_ms"] == 0
        assert request_revisions(server) == ["0", "5", "safe"]


@loopback
async def test_a_lease_counts_from_the_sending_of_the_report():
    server = await Upstream().start()
    async with fleet(server, agree_ms=150) as side:
        await side.wait_until_acting_on(0)
        side.service.answer_delay_s = 0.3  # Shorter than the time limit of a report, longer than the lease
        await asyncio.sleep(0.3)
        count = len(side.service.reports)
        while len(side.service.reports) < count + 3:
            assert side.state()["acting"] == "safe" or len(side.service.reports) <= count
            await asyncio.sleep(0.005)
        await side.ask()
        assert request_revisions(server) == ["safe"]
        side.service.answer_delay_s = 0.0
        await side.wait_until_acting_on(0)


@loopback
async def test_settings_of_a_revision_replace_those_of_the_file_until_they_are_withdrawn(tmp_path):
    servers = [await Upstream().start() for _ in range(6)]
    async with fleet(*servers) as side:

        async def attempts():
            """Return the number of attempts of a request that always fails, after 20 successful requests."""
            for reply, count in ((OK, 20), (break_off, 1)):
                for server in servers:
                    server.replies = [reply]
                before = sum(len(server.seen) for server in servers)
                for _ in range(count):
                    await side.ask()
            return sum(len(server.seen) for server in servers) - before

        def objectives():
            return [profile.objective for profile in side.sidecar.configuration.settings.profiles]

        await side.wait_until_acting_on(0)
        assert (await attempts(), objectives()) == (3, [2000.0, 2000.0, 2000.0])
        row = {"Name": "look", "Objective": 700.0}
        side.service.publish(5, settings={"Profiles": [row], "PolicyLimits": {"MaxAttempts": 1}})
        await side.wait_until_acting_on(5)
        assert (await attempts(), objectives()) == (1, [700.0, 2000.0, 2000.0])
        raw = copy.deepcopy(dict(side.sidecar.configuration.agreement.raw))
        for profile in raw["settings"]["Profiles"]:
            profile["Objective"] = 900.0
        file = tmp_path / "sidecar.json"
        file.write_text(json.dumps(raw))
        side.sidecar.reload({"NODE_CONFIG": str(file)})
        assert (await attempts(), objectives()) == (1, [700.0, 900.0, 900.0])
        side.service.publish(6)
        await side.wait_until_acting_on(6)
        assert (await attempts(), objectives()) == (3, [900.0, 900.0, 900.0])


@loopback
async def test_a_cap_applies_at_once_to_a_request_class_that_a_reload_adds(tmp_path):
    async with fleet(await Upstream().start()) as side:
        side.service.publish(5, settings={"caps": {"gaze": 7.0}})
        await side.wait_until_acting_on(5)
        raw = copy.deepcopy(dict(side.sidecar.configuration.agreement.raw))
        raw["settings"]["Profiles"].append(raw["settings"]["Profiles"][0] | {"Name": "gaze"})
        file = tmp_path / "sidecar.json"
        file.write_text(json.dumps(raw))
        assert not any(steer.caps for steer in side.steers)
        side.sidecar.reload({"NODE_CONFIG": str(file)})  # No report is sent before the next line.
        assert list(side.steers[-1].caps.values()) == [7.0]


# Settings of a revision, its other fields, and the text that the objection must contain.
UNSUPPORTED = (
    ({"Profiles": [{"Name": "none", "Objective": 1.0}]}, {}, "no class 'none'"),
    ({"Profiles": [{"Name": "look", "Objective": "soon"}]}, {}, "Objective"),
    ({"colours": 1}, {}, "colours"),
    ({}, {"overrides": [{"id": "o", "action": {"paint": 1}}]}, "paint"),
)


@loopback
async def test_an_objection_names_the_unsupported_part_of_a_revision():
    server = await Upstream().start()
    async with fleet(server) as side:
        side.service.publish(5, settings={"caps": {"look": 1000.0}})
        await side.wait_until_acting_on(5)
        for number, (settings, more, reason) in enumerate(UNSUPPORTED, 6):
            side.service.publish(number, "prepared", settings, **more)
            await until(lambda number=number: side.report.get("objection", {}).get("edition") == number)
            assert reason in side.report["objection"]["reason"]
            assert (side.report["prepared"], side.report["held"], side.state()["acting"]) == (0, number, 5)
            side.service.publish(number, "halted", settings, **more)
        side.service.publish(20, "prepared", {"caps": {"look": 10.0}})
        await until(lambda: side.report["prepared"] == 20)
        assert (await side.ask()).body == b"done"


# Settings of revision 5, the state of revision 6, its settings, and the revisions of the requests sent.
CHANGES = (
    ({"regions": {"held": ["west"]}}, "committed", {"regions": {"held": ["east"]}}, ["6"]),
    # Revision 6 is acknowledged and not yet committed. Until it is committed, no region serves the tenant.
    ({"tenants": {"globex": "east"}}, "prepared", {"tenants": {"globex": "west"}}, []),
)


@pytest.mark.parametrize("max_attempts", [1, 3])
@pytest.mark.parametrize(("before", "state", "after", "sent"), CHANGES)
@loopback
async def test_a_request_that_waits_for_a_connection_is_not_sent_under_replaced_rules(
    before, state, after, sent, max_attempts
):
    east, west = await Upstream().start(), await Upstream().start()
    # An unsent attempt does not count, so the request is decided again even if one attempt is allowed.
    limits = {**SETTINGS["PolicyLimits"], "ConnectTimeout": 5000.0, "MaxAttempts": max_attempts}
    async with fleet(east, west, zones=("east", "west"), PolicyLimits=limits) as side:
        loop, gate, waiting_ports = asyncio.get_running_loop(), asyncio.Event(), []
        connect = loop.create_connection

        async def gated_connect(factory, host, port):
            if f"{host}:{port}" == east.address:
                waiting_ports.append(port)
                await gate.wait()
            return await connect(factory, host, port)

        side.service.publish(5, settings=before)
        await side.wait_until_acting_on(5)
        loop.create_connection = gated_connect
        side.app.send()
        await until(lambda: waiting_ports)
        side.service.publish(6, state, after)
        await until(lambda: 6 in (side.state()["acting"], side.report["prepared"]))
        gate.set()
        assert ((await side.app.answer()).body == b"done") == bool(sent)
        assert (request_revisions(east), request_revisions(west)) == ([], sent)


@loopback
async def test_a_request_decided_before_the_process_was_stopped_is_not_sent_after_the_lease_end(monkeypatch):
    east, west = await Upstream().start(), await Upstream().start()
    async with fleet(east, west, zones=("east", "west"), agree_ms=1500) as side:
        side.service.publish(5, settings={"tenants": {"globex": "east"}})
        await side.wait_until_acting_on(5)
        await side.ask()  # This request leaves a connection open.
        step, left_ms = Balancer.step, []

        def stop_after_decision(balancer, now, event):
            """Block the process between the decision and the sending, until the lease has ended."""
            actions = step(balancer, now, event)
            if isinstance(event, RequestArrived):
                left_ms.append(side.state()["permission_ms"])
                time.sleep(left_ms[-1] / 1000.0 + 0.05)
            return actions

        side.service.answering.clear()
        monkeypatch.setattr(Balancer, "step", stop_after_decision)
        assert (await side.ask()).body != b"done"
        assert left_ms[0] > 0
        assert (request_revisions(east), request_revisions(west)) == (["5"], [])


async def lines_sent(agreement):
    """Return the lines that a server receives for three requests, and the number of reports and watches."""
    received = bytearray()

    async def serve(reader, writer):
        while True:
            try:
                received.extend(await reader.readuntil(b"\r\n\r\n"))
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            writer.write(OK)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    known = listed(41, entry("s0", f"127.0.0.1:{server.sockets[0].getsockname()[1]}"))
    async with fleet(agreement=agreement, raw={"known": known}) as side:
        if agreement:
            await side.wait_until_acting_on(0)
        for _ in range(3):
            assert (await side.ask(X_Budget="4000m", X_Other="a")).body == b"done"
        reports, watches = len(side.service.reports), len(side.service.revision_watches)
    server.close()
    lines = bytes(received).split(b"\r\n")
    # The time left until the deadline differs in each run, so its header is left out.
    return [line for line in lines if not line.lower().startswith(b"x-budget")], reports, watches


@loopback
async def test_without_the_key_agreement_no_report_is_sent_and_requests_are_unchanged():
    plain, reports, watches = await lines_sent(agreement=False)
    assert (reports, watches, plain.count(b"X-Edition: 0")) == (0, 0, 0)
    stamped, reports, watches = await lines_sent(agreement=True)
    assert (reports > 0, watches, stamped.count(b"X-Edition: 0")) == (True, 1, 3)
    assert [line for line in stamped if line != b"X-Edition: 0"] == plain


@loopback
async def test_held_regions_and_pins_apply_to_each_request_and_without_a_lease_no_region_serves_a_pin():
    east, west = await Upstream().start(), await Upstream().start()
    async with fleet(east, west, zones=("east", "west")) as side:

        async def served(count=20, **headers):
            """Return how many of `count` requests reach each region, and how many succeed."""
            before = len(east.seen), len(west.seen)
            answers = [await side.ask(**headers) for _ in range(count)]
            successes = sum(answer.body == b"done" for answer in answers)
            return len(east.seen) - before[0], len(west.seen) - before[1], successes

        side.service.publish(5, settings={"regions": {"held": ["west"]}})
        await side.wait_until_acting_on(5)
        assert await served() == (20, 0, 20)
        # Between two revisions only what both allow applies: no region serves a tenant that only one pins.
        side.service.publish(6, "prepared", {"tenants": {"globex": "west"}})
        await until(lambda: side.report["prepared"] == 6)
        assert (await served(3))[:2] == (0, 0)
        assert (await served(5, X_Caller="acme"))[1] == 0
        side.service.publish(6, settings={"tenants": {"globex": "west"}})
        await side.wait_until_acting_on(6)
        _, in_west, successes = result = await served()
        # The requests that were refused before reduce the admission of requests for a while.
        assert result[0] == 0 and in_west == successes >= 5
        side.service.lease_ms = 0
        await side.wait_until_acting_on("safe")
        assert await served(3) == (0, 0, 0)  # Another sidecar may act on another pin by now.
        assert (await served(5, X_Caller="acme"))[2] == 5


@loopback
async def test_without_a_lease_the_fallback_configuration_applies():
    east, west = await Upstream().start(), await Upstream().start()
    floor = {"regions": {"held": ["east"]}, "tenants": {"globex": "west"}}
    async with fleet(east, west, zones=("east", "west")) as side:
        side.service.publish(5, settings={"tenants": {"globex": "east"}, "floor": floor})
        await side.wait_until_acting_on(5)
        assert (await side.ask()).body == b"done"
        assert (len(east.seen), len(west.seen)) == (1, 0)
        side.service.lease_ms = 0
        await side.wait_until_acting_on("safe")
        for caller in ("globex", "acme") * 8:
            assert (await side.ask(X_Caller=caller)).body == b"done"
        assert (len(east.seen), len(west.seen)) == (1, 16)


@loopback
async def test_an_override_is_in_force_for_its_time_left_and_no_longer():
    east, west = await Upstream().start(), await Upstream().start()
    hold = {"id": "o", "rev": 1, "from_ms": 0, "priority": 0, "action": {"hold": {"region": "west"}}}
    async with fleet(east, west, zones=("east", "west")) as side:
        side.service.answer_fields = {"left": {"o": {"rev": 1, "same_from": 1, "left_ms": 700.0}}}
        side.service.publish(5, overrides=[hold])
        await until(lambda: side.state()["overrides"] == ["o"])
        # The override ends without any further answer that mentions it.
        side.service.answer_fields, side.service.lease_ms = {}, 0
        received_at = time.monotonic()
        while not west.seen and side.state()["overrides"]:
            await side.ask()
            assert not (west.seen and side.state()["overrides"])
        # The override has 0.7 s left, and a busy machine adds a delay.
        assert time.monotonic() - received_at < 2.0
        async with asyncio.timeout(15.0):
            while not west.seen:  # Requests return to the region gradually.
                await side.ask()
