"""Operators' requirements on endpoint lists, restarts and shutdowns, tested on the sidecar's own sockets.

The event loop has simulated time that advances whenever nothing is left to do. Waits cost no real time, and
the time limits hold on slow machines too.
"""

from __future__ import annotations

import asyncio
import functools
import json
import os
import random
import socket

import looptime
import pytest

from brassfall.balancer.model import FetchEndpointList
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
    run_bounded,
    running,
)
from tests.support.sidecar_views import carry_out, pool_servers

# Time after which the sidecar counts as notified of a list that it missed while discovery was silent, in
# seconds from the start of the silence.
NOTIFIED_S = 6.0
MOVED_S = 4.0  # time from SIGHUP until the list of the new discovery address has to be known, in seconds
KILLED_S = 3.7  # earliest time at which SIGKILL may follow SIGTERM, in seconds
SENDS_ON_S = 0.5  # time for which requests may still be sent to a server that is known to drain, in seconds


def with_simulated_time(test):
    """Run an async test in an event loop with simulated time, which advances when nothing is left to do.

    Before the time advances, the real sockets are polled several times.
    """

    @functools.wraps(test)
    def run(*args, **kwargs):
        run_bounded(test(*args, **kwargs), 900.0, lambda: looptime.new_event_loop(noop_cycles=100))

    return run


def now():
    """Return the time of the event loop, in seconds."""
    return asyncio.get_running_loop().time()


class ScriptedDiscovery(Registry):
    """Discovery that answers its first calls as its script says, and each later call with its list.

    An element "rejected" of the script is an answer 503, "silent" is a watch with one event and no
    others, and "mute" is no answer at all. An answer begins `delay_s` seconds after the call.
    """

    def __init__(self, *script, delay_s=0.0):
        super().__init__(listed(50, entry("s1")))
        self.script, self.delay_s = list(script), delay_s
        self.silent_since = None  # time at which discovery first fell silent, in seconds of the loop's time

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
        if answer in ("mute", "silent") and self.silent_since is None:
            self.silent_since = now()
        if answer != "rejected":
            await reader.read()
        writer.close()


async def wait_for_list(sidecar):
    """Wait until the sidecar has the list of `ScriptedDiscovery`; return the time of its arrival."""
    async with asyncio.timeout(30.0):
        while sidecar.discovery.version != 50:
            await asyncio.sleep(0.01)
    assert set(pool_servers(sidecar)) == {"s1"}
    return now()


def reserve_address(address):
    """Return a socket that is bound to `address` and does not listen, so that nothing else uses the port."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    return sock


RULES = {"Rules": {"AskWithin": 10_000.0, "StopSendingWithin": 500.0}}


@pytest.mark.parametrize("strategy", ["automatic", "subscribe"])
@pytest.mark.parametrize("answer", ["silent", "mute"])
@with_simulated_time
async def test_a_list_missed_while_discovery_is_silent_arrives_before_its_time_limit(answer, strategy):
    for seed in range(8):
        # The calls to discovery are answered one after the other.
        discovery = await ScriptedDiscovery(answer, delay_s=1.0).start()
        raw = {"seed": str(seed)}
        async with running(registry=discovery, raw=raw, Discovery=strategy, **RULES) as sidecar:
            assert await wait_for_list(sidecar) - discovery.silent_since < NOTIFIED_S
            assert len(discovery.asked) == 2
        discovery.stop()


@with_simulated_time
async def test_an_unanswered_call_for_the_complete_list_ends_in_time_for_another_call():
    discovery, balancer = await ScriptedDiscovery("mute").start(), ScriptedBalancer()
    async with running(registry=discovery, balancer=balancer, Discovery="subscribe") as sidecar:
        carry_out(sidecar, balancer, FetchEndpointList())
        while ["refused", ()] not in balancer.named("server_list"):
            await asyncio.sleep(0.01)
        # The balancer's next poll follows within one second.
        assert now() - discovery.silent_since < NOTIFIED_S - 1.0


@pytest.mark.parametrize(("down", "limit_s"), [("refused", SENDS_ON_S), ("lost", 1.0 + SENDS_ON_S)])
@with_simulated_time
async def test_a_pushed_list_arrives_soon_after_discovery_is_reachable_again(down, limit_s):
    """Connections to discovery are refused, or their packets are dropped.

    The sidecar gives up a connection that is not established within one second.
    """
    for seed in range(8):
        discovery = await ScriptedDiscovery().start()
        address = parse_address(discovery.address)
        discovery.stop()
        reserved_socket = reserve_address(address)
        if down == "lost":
            reserved_socket.listen(0)
            # These connections fill the backlog, so the system drops the packets of later connections.
            backlog_sockets = [socket.socket() for _ in range(3)]
            for sock in backlog_sockets:
                sock.setblocking(False)
                sock.connect_ex(address)
        async with running(registry=discovery, raw={"seed": str(seed)}) as sidecar:
            await asyncio.sleep(20.0 + 0.37 * seed)
            if down == "lost":
                for sock in (reserved_socket, *backlog_sockets):
                    sock.close()
                reserved_socket = reserve_address(address)
            await discovery.start(sock=reserved_socket)
            restarted_at = now()
            assert await wait_for_list(sidecar) - restarted_at < limit_s
        discovery.stop()


@with_simulated_time
async def test_a_new_process_sends_nothing_to_servers_that_are_no_longer_listed():
    unlisted, in_list = await Upstream([OK]).start(), await Upstream([OK]).start()
    discovery = await ScriptedDiscovery(delay_s=0.05).start()
    discovery.listed = listed(50, entry("s1", in_list.address))
    discovery.current = True
    async with running(unlisted, in_list, registry=discovery) as sidecar:
        for _ in range(20):
            app = await App.connect(sidecar.address)
            assert (await app.ask()).body == b"done"
            app.close()
        assert not unlisted.seen
    discovery.stop()


@pytest.mark.parametrize("answer", ["mute", "rejected"])
@with_simulated_time
async def test_a_new_process_waits_at_most_1_s_for_discovery_without_a_list(answer):
    discovery = await ScriptedDiscovery(answer, answer).start()
    discovery.current = True
    started_at = now()
    async with running(registry=discovery):
        assert now() - started_at <= 1.0
    discovery.stop()


@pytest.mark.parametrize("strategy", ["automatic", "subscribe"])
@pytest.mark.parametrize("script", [(), ("rejected", "rejected"), ("silent",)])
@with_simulated_time
async def test_the_list_of_a_new_discovery_address_arrives_within_4_s_of_a_reload(script, strategy):
    # With "silent", discovery sends a list before it falls silent, so the limit for missed lists applies.
    limit_s = NOTIFIED_S if script == ("silent",) else MOVED_S
    for seed in range(8):
        old, new = await ScriptedDiscovery().start(), await ScriptedDiscovery(*script).start()
        old.stop()
        async with running(registry=old, raw={"seed": str(seed)}, Discovery=strategy, **RULES) as sidecar:
            await asyncio.sleep(40.0 + 0.37 * seed)  # the backoff reaches its maximum after many failures
            moved_at = now()
            sidecar.discovery.change_address(parse_address(new.address))
            assert await wait_for_list(sidecar) - moved_at < limit_s
        new.stop()


# --- graceful shutdown ----------------------------------------------------------------------------


class Client:
    """Client that sends requests in one or two parts as long as its connection stays open."""

    def __init__(self, address, rng):
        self._address, self._rng = address, rng
        self.answered, self.lost = 0, 0
        self.cut_off = 0  # number of requests whose connection was closed between their two parts

    async def run(self):
        app = None
        while True:
            await asyncio.sleep(self._rng.expovariate(20.0))
            if app is not None and not is_open(app):
                app.close()
                app = None
            try:
                app = app or await App.connect(self._address)
            except ConnectionError:
                return  # the sidecar has stopped listening
            unsent = request()
            if self._rng.random() < 0.3:
                app.writer.write(unsent[:40])
                await asyncio.sleep(0.3 * self._rng.random())
                if not is_open(app):
                    self.cut_off += 1
                    continue
                unsent = unsent[40:]
            app.writer.write(unsent)
            answer = await app.answer()
            if answer is None or answer.body != b"done":
                self.lost += 1
            else:
                self.answered += 1


def is_open(app):
    """Return whether the sidecar has not closed the connection; checks the socket as a client may do."""
    with socket.socket(fileno=os.dup(app.writer.get_extra_info("socket").fileno())) as sock:
        try:
            return bool(sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except ConnectionError:
            return False


@with_simulated_time
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
            answered_before = sum(client.answered for client in clients)
            stopped_at = now()
            await sidecar.drain()
            assert now() - stopped_at < KILLED_S
            sidecar.close()
            await asyncio.gather(*tasks)
            assert sum(client.lost for client in clients) == 0
            assert sum(client.cut_off for client in clients) == 0
            assert sum(client.answered for client in clients) > answered_before


@with_simulated_time
async def test_a_client_sees_at_once_that_its_idle_connection_is_closed():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        apps = [await App.connect(sidecar.address) for _ in range(3)]
        assert (await apps[1].ask()).body == b"done"
        apps[2].close()  # a connection that its client has closed must cause no error
        sidecar.inbound.close_idle()
        # The clients check in the same turn of the event loop in which the sidecar closes their connections.
        assert not any(is_open(app) for app in apps[:2])
