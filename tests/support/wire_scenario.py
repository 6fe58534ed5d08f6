"""A scenario with a small deployment of the control plane, in which every message on the wire is recorded.

The deployment has a list service, an aggregator, an operator, and the agents of two sidecars, of which one
reports to the service and one to the aggregator. Forwarding proxies between them record the messages, so that
the record does not depend on names in the program.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any

import aiohttp
from aiohttp import web

from brassfall.sidecar.agent.agent import Agent
from brassfall.sidecar.config import Address, Agreement
from tests.controlplane.test_aggregator_shell import SHORT_AGREE_MS, aggregator, list_service, started
from tests.support.loopback import until

Message = Any  # a decoded JSON message
MAP_FIELDS = {"left", "objections", "acted"}  # fields whose value is a map with ids or names as keys
DELAYS = [{"region": "east", "window": 1, "span_ms": 2500, "shake": {"40": 3}, "first": {"44": 5}}]

# The reports of a sidecar and of an aggregator, with every field that the present programs may send.
FULL_REPORT = {
    "life": "p9",
    "seq": 1,
    "of": 0,
    "held": 0,
    "prepared": 0,
    "acting": "safe",
    "objection": {"edition": 3, "reason": "no class 'b' is known here"},
    "list_index": 5,
    "list_age_ms": 12.5,
    "overrides": ["west-off"],
    "digest": "1-0a0b0c0d",
    "told": 4,
    "retell": True,
    "acted": {"west-off": 4},
    "group": "west-1",
    "region": "east",
    "measures": {"delays": DELAYS},
}
FULL_AGGREGATOR_REPORT = {
    "life": "q1",
    "seq": 1,
    "region": "west",
    "listen": "127.0.0.1:9",
    "epoch": 0,
    "held": 7,
    "acknowledged": 7,
    "prepared": 6,
    "list_index": 5,
    "list_age_ms": 3.5,
    "children": {
        "known": 2,
        "leased": 1,
        "lagging": 1,
        "fallback": 1,
        "oldest_list_index": 4,
        "oldest_list_age_ms": 17.0,
    },
    "joined": [{"name": "c1", "life": "r1"}, {"name": "c2", "life": "r2"}],
    "departed": [{"name": "c3", "life": "r3"}],
    "lagging": ["c2"],
    "objections": {"c2": "no class 'b' is known here"},
    "exceptions": [
        {
            "name": "c1",
            "life": "r1",
            "place": {"group": "west-1", "region": "west"},
            "digest": "1-0a0b0c0d",
            "acted": {"west-off": 4},
        }
    ],
    "places": [{"group": "west-1", "region": "west"}],
    "measures": {"delays": [{**DELAYS[0], "group": "west-1", "children": 2, "answers": 5}]},
    "told": 4,
}


class Recorder:
    """Records messages by kind: of each JSON form of a kind, the first message."""

    def __init__(self) -> None:
        self.messages: dict[str, list[Message]] = {}
        self._forms: set[tuple[str, frozenset[str]]] = set()

    def add(self, kind: str, raw: bytes | Message) -> None:
        """Record a message of a kind, unless one of the same form was recorded before."""
        message = json.loads(raw) if isinstance(raw, bytes) else raw
        form = (kind, forms(message))
        if form not in self._forms:
            self._forms.add(form)
            self.messages.setdefault(kind, []).append(message)


def forms(message: Message, path: str = "") -> frozenset[str]:
    """Return the path of each field in a message, with the JSON type of its value; a key of a map is `*`."""
    if isinstance(message, dict):
        is_map = path.rpartition(".")[2] in MAP_FIELDS
        parts = [forms(value, f"{path}.{'*' if is_map else name}") for name, value in message.items()]
        return frozenset({f"{path}: object"}).union(*parts)
    if isinstance(message, list):
        return frozenset({f"{path}: list"}).union(*(forms(part, f"{path}[]") for part in message))
    types = {bool: "boolean", int: "number", float: "number", str: "string", type(None): "null"}
    return frozenset({f"{path}: {types[type(message)]}"})


@asynccontextmanager
async def proxy(upstream: str, recorder: Recorder, client_name: str) -> AsyncIterator[str]:
    """Forward the calls of one client to `upstream`, and record them; yield the address of the proxy.

    All calls are sent on one connection, in the client's order, since a report may be a delta to the last
    report on its connection. Each watch has its own connection.
    """

    async def forward(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        kind = f"{request.method} {request.path.rpartition('/')[0] or request.path}"
        session = streams if "watch" in request.query else calls
        headers = {name: value for name, value in request.headers.items() if name.startswith("X-")}
        url = f"http://{upstream}{request.path_qs}"
        async with session.request(request.method, url, data=body, headers=headers) as answer:
            if "watch" in request.query:
                return await stream(request, answer)
            content = await answer.read()
        if body:
            recorder.add(f"{client_name} {kind} call", body)
        if answer.status == 200:
            recorder.add(f"{client_name} {kind} answer", content)
        return web.Response(status=answer.status, body=content, content_type="application/json")

    async def stream(request: web.Request, answer: aiohttp.ClientResponse) -> web.StreamResponse:
        made = web.StreamResponse()
        await made.prepare(request)
        rest = b""
        with suppress(aiohttp.ClientError, ConnectionError):
            async for chunk in answer.content.iter_any():
                *lines, rest = (rest + chunk).split(b"\n")
                for line in filter(None, lines):
                    recorder.add(f"{client_name} watch {request.path}", line)
                await made.write(chunk)
        return made

    single_connection = aiohttp.TCPConnector(limit=1)
    async with (
        aiohttp.ClientSession(connector=single_connection) as calls,
        aiohttp.ClientSession() as streams,
    ):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", forward)
        runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        try:
            host, port = runner.addresses[0]
            yield f"{host}:{port}"
        finally:
            await runner.cleanup()


@asynccontextmanager
async def agent(name: str, address: str) -> AsyncIterator[Agent]:
    """Run a sidecar's agent without a data path, which objects to caps of the class `b`."""

    def check(revision: Any) -> str:
        return "no class 'b' is known here" if "b" in revision.settings.get("caps", {}) else ""

    host, port = address.split(":")
    agreement = Agreement(SHORT_AGREE_MS, "west-1", "east", {})
    made = Agent(
        asyncio.get_running_loop(),
        name,
        agreement,
        (Address(host, int(port)),),
        check,
        lambda *_: float("inf"),
        1,
    )
    made.report_extensions.append(lambda: {"overrides": [], "digest": "0-00000000", "told": 0})
    made.start()
    try:
        yield made
    finally:
        await made.leave()


class Operator:
    """A client that calls the service or an aggregator, and records its requests and the answers."""

    def __init__(self, session: aiohttp.ClientSession, recorder: Recorder, at: str, client_name: str) -> None:
        self._session, self._recorder, self._at, self._client_name = session, recorder, at, client_name

    async def call(self, method: str, path: str, body: Message = None, kind: str = "") -> Any:
        """Make a call that has to succeed; return its decoded answer."""
        kind = f"{self._client_name} {method} {kind or path}"
        data = None if body is None else json.dumps(body)
        async with self._session.request(method, f"http://{self._at}{path}", data=data) as answer:
            content = await answer.read()
            assert answer.status == 200, content
        if body is not None:
            self._recorder.add(f"{kind} call", body)
        self._recorder.add(f"{kind} answer", content)
        return json.loads(content)

    async def decided(self, revision: int) -> str:
        """Wait until a revision is no longer pending; return its state."""
        async with asyncio.timeout(15.0):
            while True:
                found = await self.call("GET", f"/rules?edition={revision}", kind="/rules?edition=N")
                if found["state"] != "prepared":
                    return str(found["state"])
                await asyncio.sleep(0.02)


def acting(agent: Agent) -> Any:
    """Return the revision that an agent acts on."""
    return json.loads(agent.state)["acting"]


async def run_scenario(tmp_path: Any) -> dict[str, list[Message]]:
    """Run the deployment; return the recorded messages by kind."""
    recorder = Recorder()
    async with (
        started(list_service(tmp_path, agree_ms=SHORT_AGREE_MS)) as (service,),
        proxy(service, recorder, "aggregator") as proxied_service,
        started(aggregator(proxied_service, agree_ms=SHORT_AGREE_MS)) as (aggregator_address,),
        proxy(service, recorder, "sidecar") as proxied_for_sidecar,
        proxy(aggregator_address, recorder, "child") as proxied_aggregator,
        aiohttp.ClientSession() as session,
    ):
        operator = Operator(session, recorder, service, "operator")
        await _register_servers(operator)
        async with agent("n0", proxied_for_sidecar) as n0, agent("n1", proxied_aggregator) as n1:
            await until(lambda: acting(n0) == acting(n1) == 0)
            await _publish_revisions(operator, n0, n1)
            await _create_overrides(operator)
            await until(lambda: child_has_times_left(recorder))
            await _send_full_reports(Operator(session, recorder, service, "service"))
            await _read_all_listings(operator, Operator(session, recorder, aggregator_address, "aggregator"))
    return recorder.messages


def child_has_times_left(recorder: Recorder) -> bool:
    """Return True if an aggregator has told its child how long an override lasts."""
    answers = recorder.messages.get("child POST /edges answer", [])
    return any("slack_ms" in row for answer in answers for row in answer.get("left", {}).values())


async def _register_servers(operator: Operator) -> None:
    entry = {
        "address": "127.0.0.1:7001",
        "zone": "east",
        "type": "m2",
        "group": 3,
        "weight": 1.0,
        "ttl_ms": 0,
    }
    one = "/registry/instances/s1"
    await operator.call("PUT", one, {**entry, "since_ms": 5})
    await operator.call(
        "PUT", "/registry/instances/s2", {**entry, "address": "127.0.0.1:7002", "zone": "west"}
    )
    await operator.call("POST", f"{one}/renew", {"since_ms": 5})
    await operator.call("PATCH", one, {"weight": 2.0, "since_ms": 5})
    await operator.call("GET", one)
    await operator.call("GET", "/registry/instances")


async def _publish_revisions(operator: Operator, *agents: Agent) -> None:
    settings = {
        "caps": {"look": 7},
        "regions": {"held": ["west"]},
        "tenants": {"acme": "east"},
        "shares": {"west-1": {"east": 1.0}},
        "floor": {"regions": {"held": []}},
    }
    committed = (await operator.call("PUT", "/rules", settings))["edition"]
    await until(lambda: all(acting(each) == committed for each in agents))
    halted = (await operator.call("PUT", "/rules", {**settings, "caps": {"b": 7}}))["edition"]
    assert await operator.decided(halted) == "halted"
    await operator.call("GET", "/rules", kind="/rules when halted")


async def _create_overrides(operator: Operator) -> None:
    now_ms = (await operator.call("GET", "/overrides", kind="/overrides when empty"))["now_ms"]
    held = {
        "action": {"hold": {"region": "west"}},
        "places": {"groups": ["west-1"], "regions": ["east"]},
        "by": "ana",
        "why": "drill",
        "until_ms": now_ms + 600_000,
        "priority": 3,
    }
    await operator.call("PUT", "/overrides/west-off", held)
    capped = {
        "action": {"cap": {"per_s": 9.0}},
        "match": {"class": "look"},
        "by": "ana",
        "why": "drill",
        "until_ms": now_ms + 600_000,
    }
    await operator.call("PUT", "/overrides/look-9", capped)
    await operator.call("GET", "/overrides/west-off")
    await operator.call("GET", "/overrides")
    async with asyncio.timeout(15.0):
        while not (await operator.call("GET", "/rules", kind="/rules with overrides"))["overrides"]:
            await asyncio.sleep(0.02)
    await operator.call("DELETE", "/overrides/look-9")


async def _send_full_reports(service: Operator) -> None:
    """Send three reports of a sidecar and of an aggregator: with every field, a second one, and the last."""
    kind = "/edges full"
    answer = await service.call("POST", "/edges/n9", FULL_REPORT, kind=kind)
    await service.call("POST", "/edges/n9", {**FULL_REPORT, "seq": 2, "of": answer["life"]}, kind=kind)
    await service.call("POST", "/edges/n9", {"life": "p9", "seq": 3, "leaving": True}, kind="/edges leaving")
    kind = "/aggregators full"
    answer = await service.call("POST", "/aggregators/a9", FULL_AGGREGATOR_REPORT, kind=kind)
    again = {**FULL_AGGREGATOR_REPORT, "seq": 2, "epoch": answer["epoch"]}
    await service.call("POST", "/aggregators/a9", again, kind=kind)
    leaving = {"life": "q1", "seq": 3, "region": "west", "leaving": True}
    await service.call("POST", "/aggregators/a9", leaving, kind="/aggregators leaving")


async def _read_all_listings(operator: Operator, aggregator: Operator) -> None:
    await operator.call("GET", "/edges")
    await operator.call("GET", "/aggregators")
    await operator.call("GET", "/geo")
    await operator.call("GET", "/status")
    for table in ("rules", "edges", "overrides", "overrides-history"):
        await operator.call("GET", f"/tables/{table}", kind=f"/tables/{table}, as stored")
    await aggregator.call("GET", "/edges")
    await aggregator.call("GET", "/status")
    await aggregator.call("GET", "/registry/instances")
    await operator.call("DELETE", "/registry/instances/s2")
    await operator.call("DELETE", "/edges/n0")
