"""The list service as a process: kills, a full disk, many callers, and invalid calls."""

from __future__ import annotations

import asyncio
import json
import random
import resource
import signal
import socket
import time

import aiohttp
import pytest

from brassfall import settings
from brassfall.controlplane.registry import client
from brassfall.controlplane.registry.member import RegistrationClient
from brassfall.controlplane.registry.membership import RegistrationState
from tests.support.loopback import bounded, until
from tests.support.processes import Service
from tests.support.spread import overfull_windows

ENTRY = {"address": "127.0.0.1:7001", "zone": "a", "type": "m2", "group": 3, "weight": 1.0}


def with_service(**changes):
    """Run a test with a service that is started before and killed after it, and a client session."""

    def wrap(test):
        @bounded(120.0)
        async def run(tmp_path):
            async with Service(tmp_path, **changes) as service, aiohttp.ClientSession() as session:
                await service.start()
                await test(service, session)

        run.__name__ = test.__name__
        return run

    return wrap


async def call(session, service, method, path, body=None, **headers):
    """Make one call; return the status, JSON and headers of its answer."""
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    data = body if isinstance(body, bytes | None) else json.dumps(body)
    async with session.request(
        method, f"http://{service.listen}{path}", data=data, headers=headers
    ) as answer:
        return answer.status, json.loads(await answer.read()), answer.headers


async def read_metrics(session, service):
    """Return the values of all metrics by name."""
    async with session.get(f"http://{service.listen}/metrics") as answer:
        rows = (line.rsplit(" ", 1) for line in (await answer.text()).splitlines() if line[0] != "#")
        return {name: float(value) for name, value in rows}


class CountingWriters:
    """Concurrent writers, each of which counts up a row of its own and records acknowledged values."""

    def __init__(self, service, count, size=10):
        self.service, self.count, self.size = service, count, size
        self.acknowledged, self.indexes, self.failed = {}, [], 0

    async def write(self, session, writer_number):
        key, value = f"k{writer_number}", self.acknowledged.get(f"k{writer_number}", 0)
        while True:
            value += 1
            body = {"n": value, "x": "x" * self.size}
            try:
                status, answered, _ = await call(session, self.service, "PUT", f"/tables/t/{key}", body)
            except aiohttp.ClientError:
                return
            if status == 200:
                self.acknowledged[key] = value
                self.indexes.append(answered["index"])
            else:
                assert status == 503 and answered["reason"]
                self.failed += 1
                value -= 1
                await asyncio.sleep(0.01)

    def start(self, session):
        return [
            asyncio.create_task(self.write(session, writer_number)) for writer_number in range(self.count)
        ]

    async def check(self, session):
        """Check after a restart that every acknowledged write is kept, and no index repeats or goes back."""
        _, answered, _ = await call(session, self.service, "GET", "/tables/t")
        values = {row["key"]: row["value"]["n"] for row in answered["rows"]}
        assert all(values[key] >= value for key, value in self.acknowledged.items())
        assert len(set(self.indexes)) == len(self.indexes)
        assert answered["index"] > max(self.indexes, default=0)


@bounded(150.0)
async def test_no_acknowledged_write_is_lost_by_thirty_kills(tmp_path):
    async with Service(tmp_path, limits={"caller_calls_per_s": 0}) as service:
        writers, rng = CountingWriters(service, 16), random.Random(5)
        for _ in range(30):
            await service.start()
            async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
                await writers.check(session)
                tasks = writers.start(session)
                target = len(writers.indexes) + rng.randint(1, 400)
                await until(lambda target=target: len(writers.indexes) >= target)
                await service.end(signal.SIGKILL)
                await asyncio.gather(*tasks)
        await service.start()
        async with aiohttp.ClientSession() as session:
            await writers.check(session)


@bounded(60.0)
async def test_a_full_disk_refuses_writes_and_loses_no_acknowledged_one(tmp_path):
    async with Service(tmp_path, limits={"caller_calls_per_s": 0}) as service:
        await service.start(limit="ulimit -f 2000;")  # limits the size of each file, in blocks of 512 bytes
        writers = CountingWriters(service, 4, size=30_000)
        async with aiohttp.ClientSession() as session:
            status, _, _ = await call(
                session, service, "PUT", "/registry/instances/s1", {**ENTRY, "ttl_ms": 0}
            )
            tasks = writers.start(session)
            await until(lambda: writers.failed > 20)
            for task in tasks:
                task.cancel()
            status, answered, _ = await call(session, service, "GET", "/registry/instances")
            # Reads still work on a full disk.
            assert (status, [row["name"] for row in answered["endpoints"]]) == (
                200,
                ["s1"],
            )
            await service.event("commits to disk fail, writes get 503")
            await service.end(signal.SIGKILL)
            await service.start()
            await writers.check(session)
            status, _, _ = await call(session, service, "PUT", "/tables/t/after", 1)
            assert status == 200
            status, answered, _ = await call(session, service, "GET", "/registry/instances")
            assert [row["name"] for row in answered["endpoints"]] == ["s1"]
        await service.end(signal.SIGKILL)


@with_service()
async def test_of_two_processes_with_the_same_name_the_newer_one_is_registered(service, session):
    entry = {**ENTRY, "name": "s1", "since_ms": 100}
    old = RegistrationClient([service.listen], entry, 600)
    new = RegistrationClient([service.listen], {**entry, "since_ms": 200, "address": "127.0.0.1:7002"}, 600)
    old.start()
    assert await old.wait_until_confirmed() is RegistrationState.REGISTERED
    new.start()
    assert await new.wait_until_confirmed() is RegistrationState.REGISTERED
    assert "newer" in await old.wait_until_finished()
    assert old.registration.state is RegistrationState.REPLACED  # the replaced process makes no more calls
    body = {**ENTRY, "since_ms": 100}
    assert (await call(session, service, "PUT", "/registry/instances/s1", body))[0] == 409
    renew = "/registry/instances/s1/renew"
    assert (await call(session, service, "POST", renew, {"since_ms": 100}))[0] == 409
    assert (await call(session, service, "DELETE", "/registry/instances/s1", {"since_ms": 100}))[0] == 409
    assert (await call(session, service, "POST", renew, {"since_ms": 200}))[0] == 200
    _, answered, _ = await call(session, service, "GET", "/registry/instances")
    assert [row["address"] for row in answered["endpoints"]] == ["127.0.0.1:7002"]
    assert await new.request_status("left", 5.0)
    assert (await call(session, service, "POST", renew, {"since_ms": 200}))[0] == 404
    await old.close()
    await new.close()


@with_service()
async def test_preconditions_request_ids_and_leases_of_a_table(service, session):
    row = "/tables/duty/one"
    _, first, _ = await call(session, service, "PUT", row, {"who": "a"}, If_Match="0", X_Request_Id="r1")
    again = await call(session, service, "PUT", row, {"who": "b"}, If_Match="0", X_Request_Id="r1")
    assert again[:2] == (200, first)  # a repeated request gets the first answer, and writes nothing
    status, answered, _ = await call(session, service, "PUT", row, {"who": "b"}, If_Match="0")
    assert (status, answered["error"]) == (412, "precondition failed")
    assert (await call(session, service, "GET", row))[1]["value"] == {"who": "a"}
    version = first["index"]
    status, leased, _ = await call(
        session, service, "PUT", row, {"who": "c"}, If_Match=str(version), X_Lease="600"
    )
    assert status == 200 and leased["index"] > version
    seen = []
    async for line in client.watch(service.listen, "/tables/duty"):
        seen += [(r["key"], r["value"]) for r in json.loads(line or b'{"rows":[]}')["rows"]]
        if seen[-1] == ("one", None):
            break  # the lease has ended, and the watch was notified of that
    assert seen == [("one", {"who": "c"}), ("one", None)]


@with_service(limits={"caller_calls_per_s": 2})
async def test_a_caller_over_its_rate_gets_429_with_retry_after(service, session):
    calls = [await call(session, service, "GET", "/health/live") for _ in range(40)]
    refused = [(answered, headers) for status, answered, headers in calls if status == 429]
    # The calls of one second are admitted at once, and further ones at the rate.
    assert [status for status, _, _ in calls[:2]] == [200, 200] and len(refused) >= 10
    answered, headers = refused[0]
    assert answered["error"] == "too many calls" and 0.0 < float(headers["Retry-After"]) <= 0.5
    url = f"http://{service.listen}/health/live"
    other = aiohttp.TCPConnector(local_addr=("127.0.0.2", 0))
    async with aiohttp.ClientSession(connector=other) as far, far.get(url) as answer:
        assert answer.status == 200  # another caller has its own limit


@with_service(limits={"tables": 3})
async def test_reading_missing_tables_creates_none_and_the_number_of_tables_is_limited(service, session):
    for number in range(20):
        assert (await call(session, service, "GET", f"/tables/none{number}"))[1]["rows"] == []
    statuses = [(await call(session, service, "PUT", f"/tables/t{n}/k", 1))[0] for n in range(5)]
    assert statuses == [200, 200, 200, 503, 503]
    assert (await call(session, service, "PUT", "/tables/t0/other", 1))[0] == 200
    _, answered, _ = await call(session, service, "GET", "/status")
    assert set(answered["watches"]) <= {"t0", "t1", "t2", "/rules"}


# --- many watchers --------------------------------------------------------------------------------------


async def open_watch(listen, index, waits):
    """Open a watch, with retries after each `Retry-After`; return its reader, writer and first line.

    The waits in s are appended to `waits`.
    """
    host, port = listen.split(":")
    while True:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /registry/instances?watch=1&from=%d HTTP/1.1\r\nHost: x\r\n\r\n" % index)
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        if " 200 " in head.splitlines()[0]:
            await reader.readuntil(b"\n")  # the line with the length of the first chunk
            line = await reader.readuntil(b"}\n")
            return reader, writer, line
        assert " 503 " in head.splitlines()[0]
        waits.append(float(head.split("retry-after: ")[1].split("\r")[0]))
        writer.close()
        await asyncio.sleep(waits[-1])


@with_service(limits={"caller_share": 1.0, "caller_calls_per_s": 0})
async def test_2000_watchers_are_admitted_and_each_list_is_encoded_once(service, session):
    for number in range(50):
        await call(session, service, "PUT", f"/registry/instances/s{number}", {**ENTRY, "ttl_ms": 0})
    before = await read_metrics(session, service)
    waits, began = [], time.monotonic()
    openings = [asyncio.create_task(open_watch(service.listen, 0, waits)) for _ in range(2000)]
    versions = 0
    while not all(task.done() for task in openings):
        versions += 1
        weight = {"weight": 1.0 + versions / 1000.0}
        assert (await call(session, service, "PATCH", "/registry/instances/s1", weight))[0] == 200
        await asyncio.sleep(0.02)
    watching = await asyncio.gather(*openings)
    took, after = time.monotonic() - began, await read_metrics(session, service)
    assert after["brassfall_watches"] == 2000
    assert 0 < after["brassfall_lists_built_total"] - before["brassfall_lists_built_total"] <= versions + 1
    # The number of rejected calls depends on how fast they arrive, but the rate of admitted ones does not.
    joins = settings.RegistryLimits().joins_per_s
    assert took >= (2000 - joins / 4.0) / joins
    turned_away = after["brassfall_turned_away_total"] - before["brassfall_turned_away_total"]
    assert turned_away == len(waits)
    assert not overfull_windows(waits, 0.5)  # the retries are spread, not all at once
    await call(session, service, "DELETE", "/registry/instances/s7")
    for reader, writer, _ in watching:
        assert b'"left"' in await reader.readuntil(b'"left"')
        writer.close()


# --- invalid callers ------------------------------------------------------------------------------------

INVALID_CALLS = [
    ("PUT", "/registry/instances/a%2Fb", ENTRY, 400, "name"),
    ("PUT", "/registry/instances/a%00b", ENTRY, 400, "name"),
    ("PUT", "/registry/instances/" + "a" * 129, ENTRY, 400, "name"),
    ("PUT", "/registry/instances/a", {**ENTRY, "name": "b"}, 400, "name"),
    ("PUT", "/registry/instances/a", {**ENTRY, "colour": 1}, 400, "colour"),
    ("PUT", "/registry/instances/a", {**ENTRY, "address": "here"}, 400, "address"),
    ("PUT", "/registry/instances/a", {**ENTRY, "zone": "x\ny"}, 400, "zone"),
    ("PUT", "/registry/instances/a", {**ENTRY, "status": "left"}, 400, "status"),
    ("PUT", "/registry/instances/a", {**ENTRY, "weight": -1}, 400, "weight"),
    ("PUT", "/registry/instances/a", {**ENTRY, "ttl_ms": 1}, 400, "ttl_ms"),
    ("PUT", "/registry/instances/a", {**ENTRY, "since_ms": -5}, 400, "since_ms"),
    ("PUT", "/registry/instances/a", {**ENTRY, "since_ms": 1e30}, 400, "since_ms"),
    ("PUT", "/registry/instances/a", b'{"address":"127.0.0.1:1","weight":NaN}', 400, "JSON"),
    ("PUT", "/registry/instances/a", b'{"address":"127.0.0.1:1","weight":1e999}', 400, "weight"),
    ("PUT", "/registry/instances/a", b"\xff\xfe", 400, ""),
    ("PUT", "/registry/instances/a", b"[" * 50_000, 400, ""),
    ("PUT", "/registry/instances/a", b"x" * 10_000_000, 413, "larger"),
    ("PATCH", "/registry/instances/s1", {}, 400, "neither"),
    ("PATCH", "/registry/instances/s1", {"weight": 0}, 400, "weight"),
    ("PATCH", "/registry/instances/none", {"weight": 2}, 404, "none"),
    ("DELETE", "/registry/instances/none", None, 404, "none"),
    ("POST", "/registry/instances/none/renew", {}, 404, "none"),
    ("POST", "/registry/instances/s1/renew", {"since_ms": "x"}, 400, "since_ms"),
    ("PUT", "/tables/instances/s1", 1, 400, "/registry"),
    ("PUT", "/tables/t/k", b"{", 400, "JSON"),
    ("PUT", "/tables/t/k", b"", 400, "JSON"),
    ("GET", "/tables/t/none", None, 404, "none"),
    ("GET", "/registry/instances?watch=1&from=-1", None, 400, "from"),
    ("GET", "/registry/instances?watch=1&from=1e3", None, 400, "from"),
    ("GET", "/registry/instances?watch=1&from=" + "9" * 40, None, 400, "from"),
    ("GET", "/nothing", None, 404, ""),
    ("POST", "/registry/instances", None, 405, ""),
    ("GET", "/" + "a" * 5000, None, 400, ""),
]  # fmt: skip


@with_service(limits={"idle_ms": 2000})
async def test_invalid_calls_get_a_4xx_with_the_reason_and_disturb_no_others(service, session):
    assert (await call(session, service, "PUT", "/registry/instances/s1", {**ENTRY, "ttl_ms": 0}))[0] == 200
    reader, watch_writer, _ = await open_watch(service.listen, 0, [])
    for method, path, body, status, reason in INVALID_CALLS:
        try:
            got, answered, _ = await call(session, service, method, path, body)
        except aiohttp.ClientError:
            assert status == 413, path  # the connection is closed within a body that is too large
            continue
        assert (got, reason in answered["reason"]) == (status, True), (path, answered)
    host, port = service.listen.split(":")
    for garbage in (b"\x16\x03\x01\x02\x00\x01\x00", b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 5000 + b"\r\n"):
        far, writer = await asyncio.open_connection(host, int(port))
        writer.write(garbage)
        assert (await far.read()).split(b" ")[1] == b"400"
        writer.close()
    incomplete, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET / HTTP/1.1\r\nX: ")  # a request head without an end
    assert await incomplete.read() == b""  # the service closes the connection
    writer.close()
    assert not [
        line for line in service.lines if line["event"] in ("unexpected exception in this program", "?")
    ]
    await call(session, service, "DELETE", "/registry/instances/s1")
    await reader.readuntil(b'"left"')  # the watch that was opened before still works
    watch_writer.close()


@with_service()
async def test_ten_thousand_idle_connections_disturb_no_watch_or_call(service, session):
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    member = RegistrationClient([service.listen], {**ENTRY, "name": "s1", "since_ms": 1}, 2000)
    member.start()
    await member.wait_until_confirmed()
    reader, watch_writer, _ = await open_watch(service.listen, 0, [])
    host, port = service.listen.split(":")
    idle_sockets = []
    for number in range(10_000):
        idle_sockets.append(socket.create_connection((host, int(port))))
        if number % 50 == 0:
            await asyncio.sleep(0)  # lets the registration client run, which is in this process
        if number % 1000 == 0:
            assert (await call(session, service, "GET", "/registry/instances"))[0] == 200
    status, answered, _ = await call(session, service, "GET", "/status")
    assert status == 200 and answered["connections"] <= 4096  # the maximum share of one address
    assert answered["instances"] == {"active": 1} and answered["watches"]["instances"] == 1
    assert member.registration.state is RegistrationState.REGISTERED
    for sock in idle_sockets:
        sock.close()
    await call(session, service, "DELETE", "/registry/instances/s1")
    await reader.readuntil(b'"left"')
    watch_writer.close()
    await member.close()


@with_service(limits={"watch_bytes": 65536, "watch_stuck_ms": 3000, "caller_calls_per_s": 0})
async def test_a_slow_reader_delays_no_other_gets_merged_changes_and_is_then_aborted(service, session):
    host, port = service.listen.split(":")
    fast_reader, watch_writer, _ = await open_watch(service.listen, 0, [])
    received = []

    async def read_on():
        while data := await fast_reader.read(65_536):
            received.append(data)

    reading = asyncio.create_task(read_on())
    slow_reader = socket.socket()
    slow_reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    slow_reader.connect((host, int(port)))
    slow_reader.send(b"GET /registry/instances?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n")

    async def write(rounds):
        for number in range(rounds):
            wide = {**ENTRY, "zone": f"{number:0128d}", "ttl_ms": 0}
            await asyncio.gather(
                *(call(session, service, "PUT", f"/registry/instances/s{i}", wide) for i in range(40))
            )
            if (await read_metrics(session, service))["brassfall_watches_behind"]:
                return

    await write(2000)
    last = {"zone": "the end", **{k: ENTRY[k] for k in ("address",)}, "ttl_ms": 0}
    await call(session, service, "PUT", "/registry/instances/s1", last)
    # The fast reader gets the change at once, though the slow reader reads nothing.
    await until(lambda: b'"the end"' in b"".join(received[-2:]))
    # When the slow reader reads on, it gets all missed changes in one line.
    slow_reader.settimeout(10)

    def read_all():
        got = b""
        while b'"the end"' not in got[-4000:]:
            data = slow_reader.recv(65_536)
            assert data  # no end of the connection, since the reader reads on
            got += data
        return got

    await asyncio.to_thread(read_all)
    assert (await read_metrics(session, service))["brassfall_watches_merged_total"] == 1
    await write(2000)  # the slow reader reads nothing more, so that it is aborted
    async with asyncio.timeout(20.0):
        while not (await read_metrics(session, service))["brassfall_watches_cut_total"]:
            await asyncio.sleep(0.1)
    async with asyncio.timeout(20.0):
        while (await read_metrics(session, service))["brassfall_watches"] != 1:
            await asyncio.sleep(0.1)
    assert not reading.done()  # the fast reader still has its watch
    reading.cancel()
    watch_writer.close()
    slow_reader.close()


# --- configuration ----------------------------------------------------------------------------------

VALID_SETTINGS = '[registry]\nlisten = "127.0.0.1:0"\ndata = "d"\n'


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("", "registry"),
        ("[registry]\n", "listen"),
        (VALID_SETTINGS + "colour = 1\n", "colour"),
        (VALID_SETTINGS.replace("127.0.0.1:0", "here"), "here"),
        (VALID_SETTINGS + 'batch = "many"\n', "batch"),
        (VALID_SETTINGS + "[registry.limits]\nwatches = 0\n", "registry.limits.watches"),
        (VALID_SETTINGS + "[registry.limits]\ncaller_share = 2.0\n", "caller_share"),
        (VALID_SETTINGS + "[registry.leases]\nleast_ms = 9000\n", "least_ms"),
        (VALID_SETTINGS + "[registry.guard]\nshare = nan\n", "registry.guard.share"),
        (VALID_SETTINGS + '[registry.cluster]\nname = "a"\nmembers = {}\n', "cluster"),
        ("= 1", "line 1"),
    ],
)
def test_an_invalid_settings_file_is_named_with_key_and_reason(tmp_path, text, expected_error):
    path = tmp_path / "c.toml"
    path.write_text(text)
    with pytest.raises(settings.SettingsError, match=expected_error) as caught:
        settings.load_registry(path)
    assert str(caught.value).startswith(str(path)) and "\n" not in str(caught.value)
    path.write_text(VALID_SETTINGS)
    assert settings.load_registry(path).limits.watches == 6000
