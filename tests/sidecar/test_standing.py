"""The operators' standing test: lists, a restart and a planned end, each on the sidecar's own sockets.

Time is the loop's own and runs ahead where nothing is left to do, so that seconds cost nothing and a bound
holds however slow the machine."""

from __future__ import annotations

import asyncio
import functools
import json
import os
import random
import socket

import looptime
import pytest

from brassfall.balancer.model import Fetch
from brassfall.sidecar.config_values import parse_address
from tests.support.loopback import (
    OK,
    App,
    Registry,
    ScriptedBalancer,
    Upstream,
    entry,
    listed,
    read_message,
    request,
    running,
)
from tests.support.sidecar_views import carry_out, pool_servers

NOTIFIED_S = 6.0  # after a silence began, what was missed in it counts as notified
MOVED_S = 4.0  # after SIGHUP
KILLED_S = 3.7  # after SIGTERM, at the soonest
SENDS_ON_S = 0.5  # to a server, after the notification that it drains


def hurried(test):
    """Run an async test in a loop whose time runs ahead; real sockets have their turn before it does."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        with asyncio.Runner(loop_factory=lambda: looptime.new_event_loop(noop_cycles=100)) as runner:
            runner.run(asyncio.wait_for(test(*args, **kwargs), 900.0))

    return run


def now():
    return asyncio.get_running_loop().time()


class Agent(Registry):
    """Discovery that answers the first calls as its script says, and each later one with its list.

    "rejected" is a 503, "silent" a watch on which nothing more comes, "mute" no answer at all. An answer
    begins `delay_s` after the call."""

    def __init__(self, *script, delay_s=0.0):
        super().__init__(listed(50, entry("s1")))
        self.script, self.delay_s = list(script), delay_s
        self.silent_from = None

    async def _serve(self, reader, writer):
        if (message := await read_message(reader)) is None:
            return
        self.asked.append(message.start)
        answer = self.script.pop(0) if self.script else "list"
        if answer == "rejected":
            writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        elif answer != "mute":
            await asyncio.sleep(self.delay_s)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.append(writer)
            if answer == "list":
                self.write(json.dumps(self.listed, indent=2).encode() + b"\n")
            else:
                self.tell(41)
        if answer in ("mute", "silent") and self.silent_from is None:
            self.silent_from = now()
        if answer != "rejected":
            await reader.read()
        writer.close()


async def list_arrives(sidecar):
    """Wait until the sidecar has the agent's list; return when that was."""
    async with asyncio.timeout(30.0):
        while sidecar.discovery.version != 50:
            await asyncio.sleep(0.01)
    assert set(pool_servers(sidecar)) == {"s1"}
    return now()


def reserve(address):
    """A socket that keeps an address while nothing listens there: no other connection gets its port."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    return sock


RULES = {"Rules": {"AskWithin": 10_000.0, "StopSendingWithin": 500.0}}


@pytest.mark.parametrize("strategy", ["automatic", "subscribe"])
@pytest.mark.parametrize("answer", ["silent", "mute"])
@hurried
async def test_a_list_missed_in_silence_arrives_before_it_counts_as_notified(answer, strategy):
    for seed in range(8):
        agent = await Agent(answer, delay_s=1.0).start()  # calls are handled in turn
        raw = {"seed": str(seed)}
        async with running(registry=agent, raw=raw, Discovery=strategy, **RULES) as sidecar:
            assert await list_arrives(sidecar) - agent.silent_from < NOTIFIED_S
            assert len(agent.asked) == 2
        agent.stop()


@hurried
async def test_a_silent_call_for_the_complete_list_ends_in_time_for_another():
    agent, balancer = await Agent("mute").start(), ScriptedBalancer()
    async with running(registry=agent, balancer=balancer, Discovery="subscribe") as sidecar:
        carry_out(sidecar, balancer, Fetch())
        while ["refused", ()] not in balancer.named("server_list"):
            await asyncio.sleep(0.01)
        assert now() - agent.silent_from < NOTIFIED_S - 1.0  # the balancer polls again within a second


@pytest.mark.parametrize(("down", "limit_s"), [("refused", SENDS_ON_S), ("lost", 1.0 + SENDS_ON_S)])
@hurried
async def test_a_pushed_list_arrives_as_soon_as_the_agent_is_back(down, limit_s):
    """Connections are refused, or lost on the way: one that does not come up is given up within a second."""
    for seed in range(8):
        agent = await Agent().start()
        address = parse_address(agent.address)
        agent.stop()
        port = reserve(address)
        if down == "lost":
            port.listen(0)
            waiting = [socket.socket() for _ in range(3)]  # the queue is full: what comes next is dropped
            for sock in waiting:
                sock.setblocking(False)
                sock.connect_ex(address)
        async with running(registry=agent, raw={"seed": str(seed)}) as sidecar:
            await asyncio.sleep(20.0 + 0.37 * seed)
            if down == "lost":
                for sock in (port, *waiting):
                    sock.close()
                port = reserve(address)
            await agent.start(sock=port)
            back = now()
            assert await list_arrives(sidecar) - back < limit_s
        agent.stop()


@hurried
async def test_a_new_process_sends_nothing_to_servers_that_its_agent_no_longer_lists():
    gone, here = await Upstream([OK]).start(), await Upstream([OK]).start()
    agent = await Agent(delay_s=0.05).start()
    agent.listed = listed(50, entry("s1", here.address))
    agent.current = True
    async with running(gone, here, registry=agent) as sidecar:
        for _ in range(20):
            app = await App.connect(sidecar.address)
            assert (await app.ask()).body == b"done"
            app.close()
        assert not gone.seen
    agent.stop()


@pytest.mark.parametrize("answer", ["mute", "rejected"])
@hurried
async def test_a_new_process_does_not_wait_long_for_an_agent_without_a_list(answer):
    agent = await Agent(answer, answer).start()
    agent.current = True
    begun = now()
    async with running(registry=agent):
        assert now() - begun <= 1.0
    agent.stop()


@pytest.mark.parametrize("strategy", ["automatic", "subscribe"])
@pytest.mark.parametrize("script", [(), ("rejected", "rejected"), ("silent",)])
@hurried
async def test_the_list_of_the_new_address_arrives_within_4_s_of_a_reload(script, strategy):
    limit_s = NOTIFIED_S if script == ("silent",) else MOVED_S  # a list came there before the silence
    for seed in range(8):
        old, new = await Agent().start(), await Agent(*script).start()
        old.stop()
        async with running(registry=old, raw={"seed": str(seed)}, Discovery=strategy, **RULES) as sidecar:
            await asyncio.sleep(40.0 + 0.37 * seed)  # after many failures in a row the backoff is longest
            moved = now()
            sidecar.discovery.change_address(parse_address(new.address))
            assert await list_arrives(sidecar) - moved < limit_s
        new.stop()


# --- a planned end --------------------------------------------------------------------------------


class Client:
    """A client that sends requests, in one piece or in two, while its connection stays open."""

    def __init__(self, address, rng):
        self._address, self._rng = address, rng
        self.answered, self.lost = 0, 0
        self.cut_off = 0  # requests whose connection was closed between their two parts

    async def run(self):
        app = None
        while True:
            await asyncio.sleep(self._rng.expovariate(20.0))
            if app is not None and not stays_open(app):
                app.close()
                app = None
            try:
                app = app or await App.connect(self._address)
            except ConnectionError:
                return  # the sidecar listens no more
            rest = request()
            if self._rng.random() < 0.3:
                app.writer.write(rest[:40])
                await asyncio.sleep(0.3 * self._rng.random())
                if not stays_open(app):
                    self.cut_off += 1
                    continue
                rest = rest[40:]
            app.writer.write(rest)
            answer = await app.answer()
            if answer is None or answer.body != b"done":
                self.lost += 1
            else:
                self.answered += 1


def stays_open(app):
    """Whether the other end has not closed, as a client sees that looks at the socket before it sends."""
    with socket.socket(fileno=os.dup(app.writer.get_extra_info("socket").fileno())) as sock:
        try:
            return bool(sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except ConnectionError:
            return False


@hurried
async def test_every_connection_that_stays_open_is_served_until_the_process_ends():
    rng = random.Random(5)

    async def answer_slowly(reader, writer):
        await asyncio.sleep(rng.random())
        return OK

    for _ in range(3):
        upstream = await Upstream([answer_slowly]).start()
        async with running(upstream, balancer=ScriptedBalancer()) as sidecar:
            clients = [Client(sidecar.address, rng) for _ in range(40)]
            tasks = [asyncio.create_task(client.run()) for client in clients]
            await asyncio.sleep(1.0)
            before = sum(client.answered for client in clients)
            stopped = now()
            await sidecar.drain()
            assert now() - stopped < KILLED_S
            sidecar.close()
            await asyncio.gather(*tasks)
            assert sum(client.lost for client in clients) == 0
            assert sum(client.cut_off for client in clients) == 0
            assert sum(client.answered for client in clients) > before


@hurried
async def test_a_client_sees_at_once_that_its_idle_connection_is_closed():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        apps = [await App.connect(sidecar.address) for _ in range(3)]
        assert (await apps[1].ask()).body == b"done"
        apps[2].close()  # one that its client closed is no fault
        sidecar.inbound.close_idle()
        assert not any(stays_open(app) for app in apps[:2])  # in the same turn of the loop
