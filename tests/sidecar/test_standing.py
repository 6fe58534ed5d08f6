"""What the standing test says of lists, of a restart and of cold servers, each on the sidecar's own sockets.

Time is the loop's own and runs ahead wherever nothing is left to do, so that seconds cost nothing and a bound
is one however slow the machine."""

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
from brassfall.sidecar import config_values
from tests.support.loopback import (
    OK,
    App,
    Registry,
    Scripted,
    Upstream,
    entry,
    listed,
    read_message,
    request,
    running,
)

TOLD_S = 6.0  # after a silence began, what was missed in it counts as told
MOVED_S = 4.0  # after SIGHUP
KILLED_S = 3.7  # after SIGTERM, at the soonest
SENDS_ON_S = 0.5  # to a server of which it is told that it leaves


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
    """Discovery that does with each call what its script says, and tells its news once that is over."""

    def __init__(self, *script, after=0.0):
        super().__init__(listed(50, entry("s1")))
        self.script, self.after = list(script), after
        self.silent_from = None

    async def _serve(self, reader, writer):
        if (message := await read_message(reader)) is None:
            return
        self.asked.append(message.start)
        deed = self.script.pop(0) if self.script else "news"
        if deed == "full":
            writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        elif deed != "mute":
            await asyncio.sleep(self.after)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.append(writer)
            if deed == "news":
                self.write(json.dumps(self.listed, indent=2).encode() + b"\n")
            else:
                self.tell(41)
        if deed in ("mute", "silent") and self.silent_from is None:
            self.silent_from = now()
        if deed != "full":
            await reader.read()
        writer.close()


async def told(sidecar):
    """Wait until the sidecar has the agent's news; when that was."""
    async with asyncio.timeout(30.0):
        while sidecar.discovery._version != 50:
            await asyncio.sleep(0.01)
    assert set(sidecar.pool._servers) == {"s1"}
    return now()


RULES = {"Rules": {"AskWithin": 10_000.0, "StopSendingWithin": 500.0}}


@pytest.mark.parametrize("how", ["automatic", "subscribe"])
@pytest.mark.parametrize("deed", ["silent", "mute"])
@hurried
async def test_what_is_missed_in_silence_is_there_before_it_counts_as_told(deed, how):
    for seed in range(8):
        agent = await Agent(deed, after=1.0).start()  # calls are handled in turn
        raw = {"seed": str(seed)}
        async with running(registry=agent, raw=raw, Discovery=how, **RULES) as sidecar:
            assert await told(sidecar) - agent.silent_from < TOLD_S
            assert len(agent.asked) == 2
        agent.stop()


@hurried
async def test_a_silent_call_for_the_whole_list_is_over_in_time_for_another():
    agent, module = await Agent("mute").start(), Scripted()
    async with running(registry=agent, balancer=module, Discovery="subscribe") as sidecar:
        sidecar.driver.perform(Fetch())
        while ["refused", ()] not in module.named("server_list"):
            await asyncio.sleep(0.01)
        assert now() - agent.silent_from < TOLD_S - 1.0  # the module asks again within a second


@pytest.mark.parametrize(("down", "late"), [("refused", SENDS_ON_S), ("lost", 1.0 + SENDS_ON_S)])
@hurried
async def test_a_pushed_list_is_there_as_soon_as_the_agent_is_however_long_it_was_not(down, late):
    """Refused, or lost on the way: a connection that does not come up is given up within a second."""
    for seed in range(8):
        agent = await Agent().start()
        address = config_values.parse_address(agent.address)
        if down == "refused":
            agent.stop()
        else:
            agent._server.close()
            full = socket.create_server(address, backlog=0)
            held = [socket.socket() for _ in range(3)]  # no room for more: what comes next is dropped
            for sock in held:
                sock.setblocking(False)
                sock.connect_ex(address)
        async with running(registry=agent, raw={"seed": str(seed)}) as sidecar:
            await asyncio.sleep(20.0 + 0.37 * seed)
            if down == "lost":
                for sock in (full, *held):
                    sock.close()
            agent._server = await asyncio.start_server(agent._serve, *address)
            back = now()
            assert await told(sidecar) - back < late
        agent.stop()


@hurried
async def test_a_new_process_sends_to_nobody_that_its_agent_has_told_of():
    gone, here = await Upstream([OK]).start(), await Upstream([OK]).start()
    agent = await Agent(after=0.05).start()
    agent.listed = listed(50, entry("s1", here.address))
    agent.current = True
    async with running(gone, here, registry=agent) as sidecar:
        for _ in range(20):
            app = await App.connect(sidecar.address)
            assert (await app.ask()).body == b"done"
            app.close()
        assert not gone.seen
    agent.stop()


@pytest.mark.parametrize("deed", ["mute", "full"])
@hurried
async def test_a_new_process_does_not_wait_long_for_an_agent_that_tells_nothing(deed):
    agent = await Agent(deed, deed).start()
    agent.current = True
    begun = now()
    async with running(registry=agent):
        assert now() - begun <= 1.0
    agent.stop()


@pytest.mark.parametrize("how", ["automatic", "subscribe"])
@pytest.mark.parametrize("script", [(), ("full", "full"), ("silent",)])
@hurried
async def test_what_the_new_address_has_is_there_4_s_after_a_reload(script, how):
    bound = TOLD_S if script == ("silent",) else MOVED_S  # it was told something there before the silence
    for seed in range(8):
        old, new = await Agent().start(), await Agent(*script).start()
        old.stop()
        async with running(registry=old, raw={"seed": str(seed)}, Discovery=how, **RULES) as sidecar:
            await asyncio.sleep(40.0 + 0.37 * seed)  # failures in a row: whoever asks has become patient
            moved = now()
            sidecar.discovery.move(config_values.parse_address(new.address))
            assert await told(sidecar) - moved < bound
        new.stop()


# --- a planned end --------------------------------------------------------------------------------


class Caller:
    """A client that sends for as long as it has a connection that stays open, in one piece or in two."""

    def __init__(self, address, rng):
        self._address, self._rng = address, rng
        self.answered, self.lost = 0, 0
        self.begun = 0  # requests whose connection was closed between their two parts

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
                return  # nobody listens any more
            whole = request()
            if self._rng.random() < 0.3:
                app.writer.write(whole[:40])
                await asyncio.sleep(0.3 * self._rng.random())
                if not stays_open(app):
                    self.begun += 1
                    continue
                whole = whole[40:]
            app.writer.write(whole)
            answer = await app.answer()
            if answer is None or answer.body != b"done":
                self.lost += 1
            else:
                self.answered += 1


def stays_open(app):
    """Whether the other end has not closed, as whoever looks before a send can see."""
    with socket.socket(fileno=os.dup(app.writer.get_extra_info("socket").fileno())) as looked_at:
        try:
            return bool(looked_at.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except ConnectionError:
            return False


@hurried
async def test_every_connection_that_stays_open_is_served_until_the_process_ends():
    rng = random.Random(5)

    async def slowly(reader, writer):
        await asyncio.sleep(rng.random())
        return OK

    for _ in range(3):
        upstream = await Upstream([slowly]).start()
        async with running(upstream, balancer=Scripted()) as sidecar:
            callers = [Caller(sidecar.address, rng) for _ in range(40)]
            running_on = [asyncio.create_task(caller.run()) for caller in callers]
            await asyncio.sleep(1.0)
            before = sum(caller.answered for caller in callers)
            stopped = now()
            await sidecar.drain()
            assert now() - stopped < KILLED_S
            sidecar.close()
            await asyncio.gather(*running_on)
            assert sum(caller.lost for caller in callers) == 0
            assert sum(caller.begun for caller in callers) == 0
            assert sum(caller.answered for caller in callers) > before


@hurried
async def test_a_connection_that_is_closed_between_requests_is_seen_to_be_at_once():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        apps = [await App.connect(sidecar.address) for _ in range(3)]
        assert (await apps[1].ask()).body == b"done"
        apps[2].close()  # and one that was closed by its client is no fault
        sidecar.inbound.close_idle()
        assert not any(stays_open(app) for app in apps[:2])  # in the same turn of the loop
