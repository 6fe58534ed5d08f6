"""What the standing test says of its narrow moments, each forced on the sidecar's own sockets.

Where time passes it is the loop's own, which runs ahead wherever nothing is left to do."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import tomllib
from pathlib import Path

import pytest

from brassfall.balancer.model import Cancel, Fetch, Outcome, Send
from brassfall.sidecar.clients import client_request
from tests.sidecar.test_standing import KILLED_S, RULES, SENDS_ON_S, hurried, now
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

FULL = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
LOOK_S = 0.01
TURNED_AWAY_MOST_S = 4.0  # on end, with no attempt in between
CONNECT_S = 0.25
PATIENT, HASTY = (
    {"PolicyLimits": {**SETTINGS["PolicyLimits"], "ConnectTimeout": 1000.0 * seconds}}
    for seconds in (9.0, CONNECT_S)
)


async def comes(condition):
    """Wait for a condition on the loop's own time; the test fails if it does not come."""
    async with asyncio.timeout(30.0):
        while not condition():
            await asyncio.sleep(LOOK_S)


# --- whole lists that leave out what drains -------------------------------------------------------


class WholeLists(Registry):
    """Discovery whose every line on a watch is the whole list that it has."""

    def tell(self, index, *entries, snapshot=False):
        super().tell(self.listed["index"], *self.listed["endpoints"], snapshot=True)


async def tell_on_the_open_watch(agent, sidecar):
    """The change comes as a whole list."""
    agent.tell(51)


async def end_the_watch(agent, sidecar):
    """The watch ends instead of telling; what answers the next call is the whole list."""
    agent.watches[-1].close()


async def answer_a_call(agent, sidecar):
    """The whole list is asked for."""
    sidecar.driver.perform(Fetch())


@pytest.mark.parametrize("deed", [tell_on_the_open_watch, end_the_watch, answer_a_call])
@hurried
async def test_what_a_whole_list_leaves_out_is_sent_nothing_though_it_still_answers(deed):
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK.replace(b"done", b"kept")

    drains, stays = await Upstream([OK]).start(), await Upstream([OK]).start()
    both = listed(50, entry("s0", drains.address), entry("s1", stays.address))
    agent = await WholeLists(both, current=True).start()
    settings = {"Discovery": "subscribe" if deed is answer_a_call else "automatic"}
    async with running(drains, stays, registry=agent, **settings, **RULES) as sidecar:
        apps = [await App.connect(sidecar.address) for _ in range(8)]
        while not (drains.seen and stays.seen):  # connections to both rest here afterwards
            for app in apps:
                app.send()
            for app in apps:
                assert (await app.answer()).body == b"done"
        drains.replies, before = [wait], len(drains.seen)
        while len(drains.seen) == before:
            held = await App.connect(sidecar.address)
            held.send()
            await asyncio.sleep(0.05)
        agent.listed = listed(51, entry("s1", stays.address))
        changed = now()
        await deed(agent, sidecar)
        await comes(lambda: "s0" not in sidecar.pool.servers)
        assert now() - changed < SENDS_ON_S  # by this and not by a later watch
        drains.replies = [OK]
        await asyncio.sleep(SENDS_ON_S)
        sent, served = len(drains.seen), len(stays.seen)
        for _ in range(10):
            for app in apps:
                app.send()
            assert [(await app.answer()).body for app in apps] == [b"done"] * len(apps)
        assert (len(drains.seen), len(stays.seen)) == (sent, served + 10 * len(apps))
        release.set()  # what it had is still answered by it, and taken from there
        assert (await held.answer()).body == b"kept"
    agent.stop()


# --- the time that an attempt tells ---------------------------------------------------------------


@pytest.mark.parametrize("late_s", [0.0, 1.5])
@hurried
async def test_a_further_attempt_tells_its_server_no_more_time_than_the_client_has_left(monkeypatch, late_s):
    """Also where the connection for it comes up late: it tells what is left as it is written."""

    async def in_a_while(reader, writer):
        await asyncio.sleep(1.2)
        return ERROR

    first, second = await Upstream([in_a_while]).start(), await Upstream([hang]).start()
    gate = Gate(monkeypatch, [second])
    module = ScriptedBalancer(outcome=lambda now, number, *rest: [Send(number, "s1", 0.0)])
    async with running(first, second, balancer=module, **PATIENT) as sidecar:
        app, begun = await App.connect(sidecar.address), now()
        app.send(X_Budget="4000m")
        await comes(lambda: gate.waiting)
        assert now() - begun > 1.0
        await asyncio.sleep(late_s)
        gate.open.set()
        await comes(lambda: second.seen)
        left = 4.0 - (now() - begun)
        told = int(second.seen[0].headers["x-budget"].removesuffix("u")) / 1e6
        assert 0.0 < told <= left + LOOK_S
        app.close()


# --- a sidecar that turns all away ----------------------------------------------------------------


@pytest.mark.parametrize("deed", [hang, FULL])
@hurried
async def test_a_sidecar_does_not_turn_all_away_for_long_while_a_quarter_of_the_servers_fail(deed):
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

        async def arrive(seconds):
            until = now() + seconds
            while now() < until:
                clients.append(asyncio.create_task(client()))
                await asyncio.sleep(rng.expovariate(12.0))

        await arrive(5.0)
        for upstream in rng.sample(upstreams, 4):
            upstream.replies = [deed]
        await arrive(20.0)
        await asyncio.gather(*clients)
        gaps = [later - one for one, later in zip(attempts, [*attempts[1:], now()], strict=True)]
        assert max(gaps) < TURNED_AWAY_MOST_S
        assert sum(served) > 0.8 * len(served)


# --- connections that never come up ---------------------------------------------------------------


@hurried
async def test_a_request_is_served_elsewhere_where_a_connection_never_comes_up():
    """The system drops what finds no room there, and says nothing."""
    full = socket.create_server(("127.0.0.1", 0), backlog=0)
    held = [socket.socket() for _ in range(3)]
    for sock in held:
        sock.setblocking(False)
        sock.connect_ex(full.getsockname())
    never, here = await Upstream().start(), await Upstream([OK]).start()
    never.stop()
    never.address = "{}:{}".format(*full.getsockname())
    async with running_until_idle(
        never, here, **HASTY
    ) as sidecar:  # nothing is left of those that did not come up
        app, begun, slow = await App.connect(sidecar.address), now(), 0
        for _ in range(20):
            asked = now()
            assert (await app.ask()).body == b"done"
            slow += now() - asked > CONNECT_S / 2.0
            assert now() - asked < CONNECT_S + LOOK_S
            sidecar.pool.close_idle("s1")  # so that each needs a new one
        assert slow > 0
        assert now() - begun < 20 * CONNECT_S
    for sock in (full, *held):
        sock.close()


# --- half a line from a server --------------------------------------------------------------------

HALF = b"HTTP/1.1 200 O"


@loopback
async def test_half_a_line_on_a_resting_connection_spoils_no_request():
    """Whether it is read before the next request is written, or lies there unread."""
    upstream = await Upstream([OK]).start()
    async with running_until_idle(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        for read in (True, False):
            assert (await app.ask()).body == b"done"
            (resting,) = sidecar.pool.servers["s0"].idle
            upstream.writers[-1].write(HALF)
            if read:
                await until(lambda resting=resting: resting.closed)
            # Or no turn of the loop in between: it lies there as the request comes.
            connections = len(upstream.writers)
            assert (await app.ask()).body == b"done"
            assert len(upstream.writers) == connections + 1
        app.close()


def read_part_of_a_head(connection):
    """Return True if a part of an answer's head was read; nothing in the program asks for that."""
    return connection._parser._overhead > 0  # noqa: SLF001


@loopback
async def test_half_a_line_that_comes_as_its_attempt_is_given_up_is_no_answer():
    async def half(reader, writer):
        writer.write(HALF)
        await reader.read()  # until the sidecar closes

    upstream = await Upstream([half, OK]).start()
    module = ScriptedBalancer(client_gone=lambda now, number: [Cancel(number, 0)])
    async with running_until_idle(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        await until(lambda: any(read_part_of_a_head(it) for it in sidecar.pool.connections))
        app.close()
        await until(lambda: module.named("client_gone"))
        again = await App.connect(sidecar.address)
        assert (await again.ask()).body == b"done"
        assert [seen.connection for seen in upstream.seen] == [0, 1]
        again.close()


@hurried
async def test_half_a_line_from_a_server_holds_up_no_end():
    async def half(reader, writer):
        await comes(lambda: sidecar.inbound.closes_after_answers)
        writer.write(HALF)
        await reader.read()  # until the sidecar closes

    upstream = await Upstream([half]).start()
    async with running(upstream, balancer=ScriptedBalancer()) as sidecar:
        app = await App.connect(sidecar.address)
        app.send(X_Budget="900m")
        await comes(lambda: upstream.seen)
        begun = now()
        await sidecar.drain()
        assert now() - begun < KILLED_S and sidecar.driver.idle
        assert (await app.answer()).start.startswith("HTTP/1.1 504")
        app.close()


# --- a close over unread bytes --------------------------------------------------------------------


@pytest.mark.parametrize("more", [request(), b"GET /lo", b"x" * 20_000])
@loopback
async def test_an_answer_that_ends_its_connection_is_not_reset_by_what_came_meanwhile(monkeypatch, more):
    """It lies unread in the turn in which the answer is written: a plain close over it would be a reset."""
    served = client_request.ClientRequest.served

    def crossed(exchange, answer):
        app.writer.write(more)
        served(exchange, answer)

    monkeypatch.setattr(client_request.ClientRequest, "served", crossed)
    upstream = await Upstream([OK]).start()
    async with running(upstream, balancer=ScriptedBalancer()) as sidecar:
        app = await App.connect(sidecar.address)
        sidecar.inbound.close_after_answers()
        answer = await app.ask()
        assert (answer.body, answer.headers["connection"]) == (b"done", "close")
        assert await app.reader.read() == b""
        assert len(upstream.seen) == 1  # what came is not read as a request, nor sent on
        app.close()


# --- clients that leave in a burst ----------------------------------------------------------------


@loopback
async def test_of_a_burst_of_clients_that_leave_while_they_wait_none_is_sent_on(monkeypatch):
    upstream = await Upstream([OK]).start()
    gate = Gate(monkeypatch, [upstream])
    async with running_until_idle(upstream, balancer=ScriptedBalancer(), **PATIENT) as sidecar:
        apps = [await App.connect(sidecar.address) for _ in range(100)]
        for app in apps:
            app.send()
        await until(lambda: gate.waiting == len(apps))
        for app in apps[:-1]:
            app.close()
        await until(lambda: len(sidecar.driver.requests) == 1)  # before any connection is up
        gate.open.set()
        assert (await apps[-1].answer()).body == b"done"
        await until(lambda: not sidecar.pool.opening)
        assert len(upstream.seen) == 1
        apps[-1].close()


# --- the forms of messages, in pieces -------------------------------------------------------------

REQUESTS = {
    "plain": request("POST", "/pay", b"hello"),
    "small letters": request("POST", "/pay", b"hello").replace(b"Content-Length: ", b"content-length:"),
    "blanks": b"\r\n" + request("POST", "/pay", b"hello").replace(b"X-Caller: ", b"X-Caller: \t "),
    "chunks": request("POST", "/pay", Content_Length=None, Transfer_Encoding="chunked")
    + b"3;a=b\r\nhel\r\n02\r\nlo\r\n0\r\nX-Trailer: 1\r\n\r\n",
    "whole target": request("POST", "/pay", b"hello").replace(b" /pay", b" http://api.internal/pay"),
}
ANSWERS = {
    "plain": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
    "small letters": b"HTTP/1.1 200 fine\r\ncontent-length:4 \r\nx-load-report:inflight=1\r\n\r\ndone",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1;a=b\r\nd\r\n003\r\none\r\n0\r\nX-Trailer: 1\r\n\r\n",
    "interim": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
    "closing": b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone",
    "no length": b"HTTP/1.1 200 OK\r\n\r\ndone",
    "older": b"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ndone",
}


async def byte_by_byte(writer, data):
    """Each byte in a segment of its own, read before the next is written."""
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for at in range(len(data)):
        writer.write(data[at : at + 1])
        await asyncio.sleep(0)


@pytest.mark.parametrize("form", REQUESTS)
@loopback
async def test_a_request_in_each_form_goes_on_whole_though_it_comes_byte_by_byte(form):
    upstream = await Upstream([OK]).start()
    async with running_until_idle(upstream, balancer=ScriptedBalancer()) as sidecar:
        app = await App.connect(sidecar.address)
        for _ in range(2):
            await byte_by_byte(app.writer, REQUESTS[form])
            assert (await app.answer()).body == b"done"
        assert [(seen.start, seen.body) for seen in upstream.seen] == [("POST /pay HTTP/1.1", b"hello")] * 2
        assert [seen.headers["x-caller"] for seen in upstream.seen] == ["globex"] * 2
        app.close()


@pytest.mark.parametrize("form", ANSWERS)
@loopback
async def test_an_answer_in_each_form_comes_back_whole_though_it_comes_byte_by_byte(form):
    async def answer(reader, writer):
        await byte_by_byte(writer, ANSWERS[form])
        if form in ("closing", "no length"):
            return None
        return b""

    upstream = await Upstream([answer]).start()
    module = ScriptedBalancer()
    async with running_until_idle(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        for _ in range(2):
            answered = await app.ask()
            assert (answered.start, answered.body) == ("HTTP/1.1 200 OK", b"done")
        assert module.outcomes() == [(0, Outcome.OK, True)] * 2
        app.close()


# --- one process ----------------------------------------------------------------------------------


@loopback
async def test_it_is_one_process_on_ipv4_that_starts_no_other(tmp_path):
    """Starting others is refused on these days, and nobody comes to a socket of another kind."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert command.split() == ["exec", ".venv/bin/python", "-m", "brassfall.sidecar"]
    upstream = await Upstream([OK]).start()
    made = await Process.start(tmp_path, upstream)
    assert (await made.app.ask()).body == b"done"
    own = Path(f"/proc/{made.process.pid}")
    assert not "".join(path.read_text() for path in own.glob("task/*/children")).split()
    links = [os.readlink(path) for path in (own / "fd").iterdir()]
    inodes = {link.removeprefix("socket:[").removesuffix("]") for link in links if "socket" in link}
    rows = [row.split() for row in (own / "net" / "unix").read_text().splitlines()[1:]]
    named = [row for row in rows if row[6] in inodes and len(row) > 7]
    six = [row.split()[9] for name in ("tcp6", "udp6") for row in lines_of(own / "net" / name)]
    assert not named and not inodes & set(six)
    made.process.terminate()
    assert await made.process.wait() == 0
    upstream.stop()


def lines_of(path):
    """The rows of one of the kernel's tables."""
    return path.read_text().splitlines()[1:] if path.exists() else []
