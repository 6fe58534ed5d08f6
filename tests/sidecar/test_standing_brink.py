"""Operators' requirements in rare situations, each brought about on the sidecar's own sockets.

Tests that wait for time to pass run in an event loop with simulated time, which advances whenever nothing is
left to do.
"""

from __future__ import annotations

import asyncio
import os
import random
import socket
import tomllib
from pathlib import Path

import pytest

from brassfall.balancer.model import CancelAttempt, FetchEndpointList, Outcome, SendAttempt
from brassfall.sidecar.clients import client_request
from tests.sidecar.test_standing import KILLED_S, RULES, SENDS_ON_S, now, with_simulated_time
from tests.support.loopback import (
    OK,
    SETTINGS,
    App,
    Gate,
    Registry,
    ScriptedBalancer,
    Upstream,
    entry,
    hang,
    listed,
    loopback,
    request,
    running,
    running_until_idle,
    until,
)
from tests.support.processes import ROOT, Process

# Answer of a server that rejects a request because it is full.
FULL = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
POLL_S = 0.01  # interval between two checks of a condition, in seconds
MAX_REJECTING_S = 4.0  # longest time in which the sidecar may make no attempt at all, in seconds
CONNECT_TIMEOUT_S = 0.25  # connect time-out of the settings in `SHORT_CONNECT_TIMEOUT`, in seconds
LONG_CONNECT_TIMEOUT, SHORT_CONNECT_TIMEOUT = (
    {"PolicyLimits": {**SETTINGS["PolicyLimits"], "ConnectTimeout": 1000.0 * seconds}}
    for seconds in (9.0, CONNECT_TIMEOUT_S)
)


async def wait_for(condition):
    """Wait until `condition` holds; fail the test after 30 s of the event loop's time."""
    async with asyncio.timeout(30.0):
        while not condition():
            await asyncio.sleep(POLL_S)


# --- complete lists that omit a draining server ---------------------------------------------------


class CompleteLists(Registry):
    """Discovery that sends its complete list with each event of a watch."""

    def tell(self, index, *entries, snapshot=False):
        super().tell(self.listed["index"], *self.listed["endpoints"], snapshot=True)


async def send_on_open_watch(discovery, sidecar):
    """Send the changed list, which is complete, on the open watch."""
    discovery.tell(51)


async def end_watch(discovery, sidecar):
    """End the watch without an event, so that the sidecar's next call is answered with the complete list."""
    discovery.watches[-1].close()


async def answer_fetch(discovery, sidecar):
    """Let the sidecar ask for the complete list."""
    sidecar.driver.perform(FetchEndpointList())


@pytest.mark.parametrize("deliver_list", [send_on_open_watch, end_watch, answer_fetch])
@with_simulated_time
async def test_a_server_that_a_complete_list_omits_gets_no_request_though_it_still_answers(deliver_list):
    release = asyncio.Event()

    async def answer_after_release(reader, writer):
        await release.wait()
        return OK.replace(b"done", b"kept")

    draining, remaining = await Upstream([OK]).start(), await Upstream([OK]).start()
    both = listed(50, entry("s0", draining.address), entry("s1", remaining.address))
    discovery = await CompleteLists(both, current=True).start()
    settings = {"Discovery": "subscribe" if deliver_list is answer_fetch else "automatic"}
    async with running(draining, remaining, registry=discovery, **settings, **RULES) as sidecar:
        apps = [await App.connect(sidecar.address) for _ in range(8)]
        # After this loop the pool has idle connections to both servers.
        while not (draining.seen and remaining.seen):
            for app in apps:
                app.send()
            for app in apps:
                assert (await app.answer()).body == b"done"
        draining.replies, seen_before = [answer_after_release], len(draining.seen)
        while len(draining.seen) == seen_before:
            waiting_client = await App.connect(sidecar.address)
            waiting_client.send()
            await asyncio.sleep(0.05)
        discovery.listed = listed(51, entry("s1", remaining.address))
        changed_at = now()
        await deliver_list(discovery, sidecar)
        await wait_for(lambda: "s0" not in sidecar.pool.servers)
        # The change was learned in the way under test, and not by a later watch.
        assert now() - changed_at < SENDS_ON_S
        draining.replies = [OK]
        await asyncio.sleep(SENDS_ON_S)
        draining_seen, remaining_seen = len(draining.seen), len(remaining.seen)
        for _ in range(10):
            for app in apps:
                app.send()
            assert [(await app.answer()).body for app in apps] == [b"done"] * len(apps)
        assert (len(draining.seen), len(remaining.seen)) == (draining_seen, remaining_seen + 10 * len(apps))
        release.set()  # the draining server still answers the request that it got before the change
        assert (await waiting_client.answer()).body == b"kept"
    discovery.stop()


# --- time left that an attempt states to its server -----------------------------------------------


@pytest.mark.parametrize("late_s", [0.0, 1.5])
@with_simulated_time
async def test_a_further_attempt_states_no_more_time_than_the_client_has_left(monkeypatch, late_s):
    """The attempt states the time left when it is written, even if its connection is established late."""

    async def fail_late(reader, writer):
        await asyncio.sleep(1.2)
        return ERROR

    first, second = await Upstream([fail_late]).start(), await Upstream([hang]).start()
    gate = Gate(monkeypatch, [second])
    balancer = ScriptedBalancer(outcome=lambda now, number, *rest: [SendAttempt(number, "s1", 0.0)])
    async with running(first, second, balancer=balancer, **LONG_CONNECT_TIMEOUT) as sidecar:
        app, started_at = await App.connect(sidecar.address), now()
        app.send(X_Budget="4000m")
        await wait_for(lambda: gate.waiting)
        assert now() - started_at > 1.0
        await asyncio.sleep(late_s)
        gate.open.set()
        await wait_for(lambda: second.seen)
        left = 4.0 - (now() - started_at)
        stated = int(second.seen[0].headers["x-budget"].removesuffix("u")) / 1e6
        assert 0.0 < stated <= left + POLL_S
        app.close()


# --- a sidecar that rejects all requests ----------------------------------------------------------


@pytest.mark.parametrize("failure", [hang, FULL])
@with_simulated_time
async def test_while_a_quarter_of_the_servers_fail_the_sidecar_rejects_all_requests_only_briefly(failure):
    rng = random.Random(5)
    upstreams = [await Upstream([OK]).start() for _ in range(16)]
    rows = [{"Name": "look", "Semantics": "pure", "Objective": 300.0, "Deadline": 900.0}]
    async with running(*upstreams, Profiles=rows, Prices={"Connection": 0.05}) as sidecar:
        attempts, send = [now()], sidecar.pool.send
        sidecar.pool.send = lambda *args: attempts.append(now()) or send(*args)
        clients, served = [], []

        async def client():
            app = await App.connect(sidecar.address)
            answer = await app.ask(X_Budget="900m")
            served.append(answer.body == b"done")
            app.close()

        async def start_clients_for(seconds):
            end_at = now() + seconds
            while now() < end_at:
                clients.append(asyncio.create_task(client()))
                await asyncio.sleep(rng.expovariate(12.0))

        await start_clients_for(5.0)
        for upstream in rng.sample(upstreams, 4):
            upstream.replies = [failure]
        await start_clients_for(20.0)
        await asyncio.gather(*clients)
        gaps = [later - earlier for earlier, later in zip(attempts, [*attempts[1:], now()], strict=True)]
        assert max(gaps) < MAX_REJECTING_S
        assert sum(served) > 0.8 * len(served)


# --- connections that are never established -------------------------------------------------------


@with_simulated_time
async def test_a_request_is_served_elsewhere_if_a_connection_is_never_established():
    """The system drops the packets of connections to a full backlog without reporting an error."""
    full_listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    backlog_sockets = [socket.socket() for _ in range(3)]
    for sock in backlog_sockets:
        sock.setblocking(False)
        sock.connect_ex(full_listener.getsockname())
    unreachable, reachable = await Upstream().start(), await Upstream([OK]).start()
    unreachable.stop()
    unreachable.address = "{}:{}".format(*full_listener.getsockname())
    # `running_until_idle` checks that none of the failed connections is left at the end.
    async with running_until_idle(unreachable, reachable, **SHORT_CONNECT_TIMEOUT) as sidecar:
        app, started_at, slow = await App.connect(sidecar.address), now(), 0
        for _ in range(20):
            asked_at = now()
            assert (await app.ask()).body == b"done"
            slow += now() - asked_at > CONNECT_TIMEOUT_S / 2.0
            assert now() - asked_at < CONNECT_TIMEOUT_S + POLL_S
            sidecar.pool.close_idle("s1")  # closes the idle connections, so that each request needs a new one
        assert slow > 0
        assert now() - started_at < 20 * CONNECT_TIMEOUT_S
    for sock in (full_listener, *backlog_sockets):
        sock.close()


# --- incomplete line from a server ----------------------------------------------------------------

HALF_LINE = b"HTTP/1.1 200 O"


@loopback
async def test_half_a_line_on_an_idle_connection_harms_no_request():
    """The half line is read before the next request is written, or is still unread then."""
    upstream = await Upstream([OK]).start()
    async with running_until_idle(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        for read in (True, False):
            assert (await app.ask()).body == b"done"
            (idle,) = sidecar.pool.servers["s0"].idle
            upstream.writers[-1].write(HALF_LINE)
            if read:
                await until(lambda idle=idle: idle.closed)
            # If not `read`, no turn of the event loop follows before the request, so the half line is unread.
            connections = len(upstream.writers)
            assert (await app.ask()).body == b"done"
            assert len(upstream.writers) == connections + 1
        app.close()


def read_part_of_a_head(connection):
    """Return whether a part of an answer's head was read, which only this test needs to know."""
    return connection._parser._overhead > 0  # noqa: SLF001


@loopback
async def test_half_a_line_of_an_abandoned_attempt_is_not_taken_for_an_answer():
    async def send_half_line(reader, writer):
        writer.write(HALF_LINE)
        await reader.read()  # returns once the sidecar closes the connection

    upstream = await Upstream([send_half_line, OK]).start()
    balancer = ScriptedBalancer(client_gone=lambda now, number: [CancelAttempt(number, 0)])
    async with running_until_idle(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        await until(lambda: any(read_part_of_a_head(connection) for connection in sidecar.pool.connections))
        app.close()
        await until(lambda: balancer.named("client_gone"))
        again = await App.connect(sidecar.address)
        assert (await again.ask()).body == b"done"
        assert [seen.connection for seen in upstream.seen] == [0, 1]
        again.close()


@with_simulated_time
async def test_half_a_line_from_a_server_does_not_delay_the_shutdown():
    async def send_half_line(reader, writer):
        await wait_for(lambda: sidecar.inbound.closes_after_answers)
        writer.write(HALF_LINE)
        await reader.read()  # returns once the sidecar closes the connection

    upstream = await Upstream([send_half_line]).start()
    async with running(upstream, balancer=ScriptedBalancer()) as sidecar:
        app = await App.connect(sidecar.address)
        app.send(X_Budget="900m")
        await wait_for(lambda: upstream.seen)
        stopped_at = now()
        await sidecar.drain()
        assert now() - stopped_at < KILLED_S and sidecar.driver.idle
        assert (await app.answer()).start.startswith("HTTP/1.1 504")
        app.close()


# --- close of a connection with unread bytes ------------------------------------------------------


@pytest.mark.parametrize("late_input", [request(), b"GET /lo", b"x" * 20_000])
@loopback
async def test_the_last_answer_is_not_lost_by_a_reset_when_input_arrives_meanwhile(monkeypatch, late_input):
    """The late input is unread when the answer is written, and an ordinary close would cause a reset then."""
    served = client_request.ClientRequest.send_answer

    def send_input_and_serve(answered_request, answer):
        app.writer.write(late_input)
        served(answered_request, answer)

    monkeypatch.setattr(client_request.ClientRequest, "send_answer", send_input_and_serve)
    upstream = await Upstream([OK]).start()
    async with running(upstream, balancer=ScriptedBalancer()) as sidecar:
        app = await App.connect(sidecar.address)
        sidecar.inbound.close_after_answers()
        answer = await app.ask()
        assert (answer.body, answer.headers["connection"]) == (b"done", "close")
        assert await app.reader.read() == b""
        assert len(upstream.seen) == 1  # the late input is neither read as a request nor forwarded
        app.close()


# --- many clients that leave at the same time -----------------------------------------------------


@loopback
async def test_no_request_of_many_clients_that_leave_while_waiting_is_forwarded(monkeypatch):
    upstream = await Upstream([OK]).start()
    gate = Gate(monkeypatch, [upstream])
    async with running_until_idle(upstream, balancer=ScriptedBalancer(), **LONG_CONNECT_TIMEOUT) as sidecar:
        apps = [await App.connect(sidecar.address) for _ in range(100)]
        for app in apps:
            app.send()
        await until(lambda: gate.waiting == len(apps))
        for app in apps[:-1]:
            app.close()
        # All but one request are released here, before any connection to the server is established.
        await until(lambda: len(sidecar.driver.requests) == 1)
        gate.open.set()
        assert (await apps[-1].answer()).body == b"done"
        await until(lambda: not sidecar.pool.opening_count)
        assert len(upstream.seen) == 1
        apps[-1].close()


# --- messages in each variant of HTTP/1.1, byte by byte -------------------------------------------

REQUESTS = {
    "plain": request("POST", "/pay", b"hello"),
    "lower-case header": request("POST", "/pay", b"hello").replace(b"Content-Length: ", b"content-length:"),
    "blanks": b"\r\n" + request("POST", "/pay", b"hello").replace(b"X-Caller: ", b"X-Caller: \t "),
    "chunks": request("POST", "/pay", Content_Length=None, Transfer_Encoding="chunked")
    + b"3;a=b\r\nhel\r\n02\r\nlo\r\n0\r\nX-Trailer: 1\r\n\r\n",
    "absolute target": request("POST", "/pay", b"hello").replace(b" /pay", b" http://api.internal/pay"),
}
ANSWERS = {
    "plain": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
    "lower-case headers": b"HTTP/1.1 200 fine\r\ncontent-length:4 \r\nx-load-report:inflight=1\r\n\r\ndone",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1;a=b\r\nd\r\n003\r\none\r\n0\r\nX-Trailer: 1\r\n\r\n",
    "interim": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
    "closing": b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone",
    "no length": b"HTTP/1.1 200 OK\r\n\r\ndone",
    "older": b"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ndone",
}


async def write_byte_by_byte(writer, data):
    """Write each byte in a segment of its own, and let it be read before the next is written."""
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for position in range(len(data)):
        writer.write(data[position : position + 1])
        await asyncio.sleep(0)


@pytest.mark.parametrize("form", REQUESTS)
@loopback
async def test_a_request_in_each_form_is_forwarded_intact_though_it_arrives_byte_by_byte(form):
    upstream = await Upstream([OK]).start()
    async with running_until_idle(upstream, balancer=ScriptedBalancer()) as sidecar:
        app = await App.connect(sidecar.address)
        for _ in range(2):
            await write_byte_by_byte(app.writer, REQUESTS[form])
            assert (await app.answer()).body == b"done"
        assert [(seen.start, seen.body) for seen in upstream.seen] == [("POST /pay HTTP/1.1", b"hello")] * 2
        assert [seen.headers["x-caller"] for seen in upstream.seen] == ["globex"] * 2
        app.close()


@pytest.mark.parametrize("form", ANSWERS)
@loopback
async def test_an_answer_in_each_form_is_passed_on_intact_though_it_arrives_byte_by_byte(form):
    async def answer(reader, writer):
        await write_byte_by_byte(writer, ANSWERS[form])
        if form in ("closing", "no length"):
            return None
        return b""

    upstream = await Upstream([answer]).start()
    balancer = ScriptedBalancer()
    async with running_until_idle(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        for _ in range(2):
            answer_read = await app.ask()
            assert (answer_read.start, answer_read.body) == ("HTTP/1.1 200 OK", b"done")
        assert balancer.outcomes() == [(0, Outcome.OK, True)] * 2
        app.close()


# --- the process ----------------------------------------------------------------------------------


@loopback
async def test_the_sidecar_is_one_process_that_uses_ipv4_and_starts_no_other(tmp_path):
    """The platform refuses to start other processes, and no client uses sockets of another kind than IPv4."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert command.split() == ["exec", ".venv/bin/python", "-m", "brassfall.sidecar"]
    upstream = await Upstream([OK]).start()
    sidecar = await Process.start(tmp_path, upstream)
    assert (await sidecar.app.ask()).body == b"done"
    process_path = Path(f"/proc/{sidecar.process.pid}")
    assert not "".join(path.read_text() for path in process_path.glob("task/*/children")).split()
    links = [os.readlink(path) for path in (process_path / "fd").iterdir()]
    inodes = {link.removeprefix("socket:[").removesuffix("]") for link in links if "socket" in link}
    rows = [row.split() for row in (process_path / "net" / "unix").read_text().splitlines()[1:]]
    named_unix_sockets = [row for row in rows if row[6] in inodes and len(row) > 7]
    ipv6_inodes = [
        row.split()[9] for name in ("tcp6", "udp6") for row in lines_of(process_path / "net" / name)
    ]
    assert not named_unix_sockets and not inodes & set(ipv6_inodes)
    sidecar.process.terminate()
    assert await sidecar.process.wait() == 0
    upstream.stop()


def lines_of(path):
    """Return the rows of one of the kernel's socket tables, without its heading."""
    return path.read_text().splitlines()[1:] if path.exists() else []
