"""How long a change may take to arrive, whatever a call to discovery met before: the sidecar's own discovery,
driver and module against a stand-in that does with each call what the moment says.

Time is the loop's own and jumps to the next timer, and connections are the stand-in's, so that each bound is
exact and costs no seconds."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import errno
import functools
import itertools
import json
import time
from unittest import mock

import looptime
import pytest

from brassfall.balancer.model import Listing, Outcome, Watch
from brassfall.sidecar import config_values
from brassfall.sidecar.core.interfaces import Answer, Result
from brassfall.sidecar.discovery import channel as registry_channel
from brassfall.sidecar.discovery.endpoint_list import ServerList
from brassfall.sidecar.discovery.start_times import FORGET_MS, StartTimes
from brassfall.sidecar.lifecycle.sidecar import Sidecar
from tests.support.loopback import Registry, entry, listed, loopback, running, told, until
from tests.support.system_calls import BROKEN, CONNECT_ERRORS, SOCKET_ERRORS, Faults

TOLD_S = 6.0  # after discovery had a change and could be reached
SPARE_S = 0.5  # of it stays free for a loop that lags
MOVED_S = 4.0  # after SIGHUP
TURN_S = 1.0  # that a call waits at discovery, which handles calls in turn
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def timed(test):
    """Run an async test in a loop whose time jumps to the next timer."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(test(*args, **kwargs))

    return run


def now():
    return asyncio.get_running_loop().time()


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def line(index):
    return json.dumps(listed(index, entry(f"s{index}"))).encode() + b"\n"


class Wire(asyncio.Transport):
    """A connection to the stand-in; what it is fed arrives at once, for as long as it is open."""

    def __init__(self, channel):
        super().__init__()
        self.channel, self.open, self.asked = channel, True, b""
        self.ever = True  # its beat goes on
        channel.connection_made(self)

    def write(self, data):
        self.asked += data

    def abort(self):
        if self.open:
            self.open = False
            asyncio.get_running_loop().call_soon(self.channel.connection_lost, None)

    close = abort

    def feed(self, data):
        if self.open:
            self.channel.data_received(data)

    async def beat(self):
        while self.open:
            await asyncio.sleep(2.0)
            if self.ever:
                self.feed(chunk(b"\n"))


class Place:
    """Discovery: what it does with a call is looked up when the call comes. `down` is a deed for all calls
    until it is back; `then` holds those of the first calls after that."""

    def __init__(self, version=45, down=None, then=()):
        self.version, self.down, self.then = version, down, list(then)
        self.calls, self.wires, self.tasks = [], [], []

    async def connect(self, factory, host, port):
        self.calls.append(now())
        deed = self.down or (self.then.pop(0) if self.then else "news")
        if deed == "refused":
            raise ConnectionRefusedError
        if deed == "lost":
            await asyncio.get_running_loop().create_future()
        wire = Wire(factory())
        self.wires.append(wire)
        self.tasks.append(asyncio.create_task(getattr(self, deed)(wire)))
        return wire, wire.channel

    def silence(self):
        """Nothing more comes on what is open."""
        for task in self.tasks:
            task.cancel()

    def reset(self):
        for wire in self.wires:
            wire.abort()

    def end(self):
        """Each watch ends as an answer does."""
        for wire in self.wires:
            wire.feed(b"0\r\n\r\n")

    async def news(self, wire):
        await asyncio.sleep(TURN_S)
        whole = b"watch=1" not in wire.asked
        wire.feed(HEAD + chunk(line(self.version)))
        if whole:
            wire.feed(b"0\r\n\r\n")
        await wire.beat()

    async def mute(self, wire):
        pass

    async def head(self, wire):
        await asyncio.sleep(TURN_S)
        wire.feed(HEAD)

    async def half(self, wire):
        await asyncio.sleep(TURN_S)
        wire.feed(HEAD + chunk(line(50)[:40]))

    async def drip(self, wire):
        """A line that never ends."""
        await self.half(wire)
        while wire.open:
            await asyncio.sleep(0.3)
            wire.feed(chunk(b" "))

    async def drip_lines(self, wire):
        """An object over many lines that never ends."""
        await asyncio.sleep(TURN_S)
        wire.feed(HEAD + chunk(b'{"index": 50,\n'))
        while wire.open:
            await asyncio.sleep(0.3)
            wire.feed(chunk(b' "more": 1,\n'))

    async def drip_head(self, wire):
        wire.feed(b"HTTP/1.1 200 OK\r\n")
        while wire.open:
            await asyncio.sleep(0.3)
            wire.feed(b"X-More: 1\r\n")

    async def full(self, wire):
        await asyncio.sleep(TURN_S)
        wire.feed(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")

    async def full_at_once(self, wire):
        wire.feed(b"HTTP/1.1 503 No\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")

    async def broken(self, wire):
        await asyncio.sleep(TURN_S)
        wire.abort()

    async def empty(self, wire):
        wire.feed(HEAD + b"0\r\n\r\n")

    async def spoilt(self, wire):
        wire.feed(HEAD + chunk(b'{"index": 50, "endpoints": 7}\n'))


class Started:
    """A sidecar that has no sockets: discovery, the driver and the module are its own."""

    def __init__(self, place, how="subscribe", seed=0, within=10_000.0, raw=None, balancer=None, **rules):
        loop = asyncio.get_running_loop()
        loop.create_connection = self._connect
        self.place, self.places = place, {}
        rules = {"AskWithin": within, "StopSendingWithin": 500.0, **rules}
        made = told(raw={"seed": str(seed), **(raw or {})}, Discovery=how, Rules=rules)
        self.sidecar = Sidecar(loop, made)
        if balancer is not None:
            self.sidecar.driver._balancer = balancer
        self.discovery = self.sidecar.discovery
        self._tell, self.discovery._listener = self.discovery._listener, self._heard
        self._there, self.heard = asyncio.Event(), []
        self.sidecar.driver.connect(self.sidecar.pool, self.discovery, self.sidecar.peers)
        self.discovery.start()

    def _heard(self, form, update):
        self._tell(form, update)
        self.heard.append(update and update.version)
        self._there.set()

    async def _connect(self, factory, host, port, **_):
        return await self.places.get(port, self.place).connect(factory, host, port)

    def act(self, action):
        self.sidecar.driver.perform(action)

    def move(self, place):
        """SIGHUP: discovery is at another address from now on."""
        address = config_values.Address("127.0.0.1", 10 + len(self.places))
        self.places[address.port] = place
        self.discovery.move(address)

    async def has(self, version):
        """Wait until its module and its pool have that list; when that was."""
        async with asyncio.timeout(60.0):
            while self.discovery.version != version:
                self._there.clear()
                await self._there.wait()
        assert set(self.sidecar.pool._servers) == {f"s{version}"}
        assert {s.name for s in self.sidecar.driver._balancer._endpoints.ring} == {f"s{version}"}
        return now()

    def close(self):
        self.discovery.close()
        for place in (self.place, *self.places.values()):
            place.silence()


async def late(deed, fate, length, seed, how, within, then=()):
    """How long after its return discovery's news is there: it was up, then calls met `deed` for so long,
    and the watch that was open met `fate`."""
    place = Place()
    started = Started(place, how, seed, within)
    await started.has(45)
    await asyncio.sleep(3.0 + 0.61 * seed)
    getattr(place, fate)()
    place.down = deed
    await asyncio.sleep(length)
    place.down, place.then, place.version = None, list(then), 50
    back = now()
    took = await started.has(50) - back
    started.close()
    return took


DEEDS = (
    "refused",
    "lost",
    "mute",
    "head",
    "half",
    "drip",
    "drip_lines",
    "drip_head",
    "full",
    "full_at_once",
    "broken",
    "empty",
    "spoilt",
)
LENGTHS = [0.0, *(0.173 * k for k in range(1, 40, 4)), 25.0]  # from a moment to many failures in a row


@pytest.mark.parametrize("how", ["automatic", "subscribe"])
@pytest.mark.parametrize("deed", DEEDS)
@timed
async def test_a_change_is_there_in_time_whatever_the_calls_before_it_met(deed, how):
    worst = 0.0
    for seed, length in enumerate(LENGTHS):
        for fate, within in (("silence", 4_600.0), ("reset", 60_000.0), ("end", 10_000.0)):
            worst = max(worst, await late(deed, fate, length, seed, how, within))
    print(f"{deed}, {how}: {worst:.2f} s")
    assert worst <= TOLD_S - SPARE_S


@pytest.mark.parametrize("how", ["automatic", "subscribe"])
@pytest.mark.parametrize("again", ["full", "lost", "full_at_once", "broken", "empty"])
@timed
async def test_one_more_failed_call_after_that_does_not_make_it_late(again, how):
    worst = 0.0
    for deed in DEEDS:
        for seed, length in enumerate((0.0, 3.15, 4.1, 5.4, 11.3)):
            for fate in ("silence", "reset"):
                worst = max(worst, await late(deed, fate, length, seed, how, 60_000.0, [again]))
    print(f"{again}, {how}: {worst:.2f} s")
    assert worst <= TOLD_S - SPARE_S


@pytest.mark.parametrize("deed", ["half_after", "drip_after"])
@pytest.mark.parametrize("how", ["automatic", "subscribe"])
@timed
async def test_a_line_that_never_ends_does_not_keep_an_open_watch_alive(deed, how):
    """It began just before the change, which no beat before that told."""
    place = Place()
    started = Started(place, how)
    await started.has(45)
    await asyncio.sleep(7.3)
    place.silence()
    place.version = 50
    since, wire = now(), place.wires[-1]
    wire.feed(chunk(line(50)[:-9]))
    there = asyncio.create_task(started.has(50))
    while not there.done():
        await asyncio.sleep(0.25)
        if deed == "drip_after":
            wire.feed(chunk(b" "))
    assert await there - since <= TOLD_S - SPARE_S - 1.0
    assert len(place.calls) == 2
    started.close()


@timed
async def test_a_long_list_on_a_slow_way_is_let_through():
    """Its bytes come for longer than silence may last."""
    place = Place()

    async def slowly(wire):
        rows = [entry(f"s{i:06}") for i in range(20_000)]
        data = HEAD + chunk(json.dumps(listed(50, *rows)).encode() + b"\n")
        assert len(data) < registry_channel.LINE_MOST
        for at in range(0, len(data), 65_536):
            await asyncio.sleep(0.12)
            wire.feed(data[at : at + 65_536])
        await wire.beat()

    place.news = slowly
    started, begun = Started(place, "automatic"), now()
    async with asyncio.timeout(60.0):
        while started.discovery.version != 50:
            await asyncio.sleep(0.1)
    assert registry_channel.SILENT_S + 1.0 < now() - begun < 10.0
    assert len(place.calls) == 1
    started.close()


@pytest.mark.parametrize("flood", [b" ", b'{"index": 50,\n "more": 1,\n', b"X-More: 1\r\n"])
@timed
async def test_what_never_becomes_a_list_holds_no_more_memory_than_one(flood, capsys):
    place, fed = Place(), 0

    async def floods(wire):
        nonlocal fed
        head = flood.startswith(b"X-")
        wire.feed(HEAD[:-2] if head else HEAD)
        piece = flood * (65_536 // len(flood))
        while wire.open:
            wire.feed(piece if head else chunk(piece))
            fed += len(piece)
            await asyncio.sleep(0)

    place.news = floods
    started = Started(place, "automatic")
    await asyncio.sleep(0.01)
    assert len(place.calls) == 1
    assert fed < registry_channel.LINE_MOST + 3 * 65_536
    assert "discovery: a line is too long" in capsys.readouterr().err
    started.close()


ROW = entry("s50")
DEEP = b'{"index": 50, "endpoints": ' + b"[" * 200_000 + b"]" * 200_000 + b"}"
SPOILT = {
    "no JSON": b"garbage",
    "half of it": line(50)[:40],
    "no text": b'{"index": 50, "endpoints": ["\xff\xfe"]}',
    "deep": DEEP,
    "a list": b"[]",
    "no index": b'{"endpoints": []}',
    "no number": b'{"index": NaN, "snapshot": true, "endpoints": []}',
    "endless": b'{"index": 1e999, "snapshot": true, "endpoints": []}',
    "long number": b'{"index": ' + b"9" * 5000 + b', "endpoints": []}',
    "below 0": b'{"index": -1, "snapshot": true, "endpoints": []}',
    "no servers but a word": b'{"index": 50, "snapshot": true, "endpoints": ""}',
    "no servers but an object": b'{"index": 50, "snapshot": true, "endpoints": {}}',
    "snapshot as text": json.dumps(listed(50, ROW, snapshot="false")).encode(),
    "a row of another type": json.dumps(listed(50, ROW, 7)).encode(),
    "status unknown": json.dumps(listed(50, ROW, entry("s1", status="x" * 9000))).encode(),
    "status of another type": json.dumps(listed(50, ROW, entry("s1", status=[]))).encode(),
    "no name": json.dumps(listed(50, ROW, entry(None))).encode(),
    "a name that is no text": json.dumps(listed(50, ROW, entry("s\ud800"))).encode(),
    "an endless group": json.dumps(listed(50, ROW, entry("s1", group=float("inf")))).encode(),
    "a weight past all": json.dumps(listed(50, ROW, entry("s1", weight=10**400))).encode(),
    "a start that is none": json.dumps(listed(50, ROW, entry("s1", since_ms=float("nan")))).encode(),
    "no address": json.dumps(listed(50, ROW, entry("s1", address="nowhere"))).encode(),
}


@pytest.mark.parametrize("call", ["pushed", "asked", "whole"])
@pytest.mark.parametrize("what", SPOILT)
@timed
async def test_a_spoilt_list_ends_the_call_and_is_asked_for_again_in_time(what, call, capsys):
    place, sound, errors = Place(), Place.news, []

    async def spoilt(wire):
        if b"watch=1" in wire.asked and call == "whole":
            return
        wire.feed(HEAD + chunk(SPOILT[what] + b"\n") + b"0\r\n\r\n")

    asyncio.get_running_loop().set_exception_handler(lambda loop, context: errors.append(context))
    started = Started(place, "automatic" if call == "pushed" else "subscribe")
    await started.has(45)
    place.news = spoilt
    place.reset()
    if call == "whole":
        started.discovery.fetch()
    calls = len(place.calls)
    async with asyncio.timeout(5.0):
        while len(place.calls) == calls or (call != "whole" and not capsys.readouterr().err):
            await asyncio.sleep(0.01)
    spoilt_at = now()
    assert set(started.sidecar.pool._servers) == {"s45"}  # the list held is kept
    place.news, place.version = functools.partial(sound, place), 50
    place.reset()
    assert await started.has(50) - spoilt_at <= TOLD_S - SPARE_S
    started.close()
    assert not errors


@pytest.mark.parametrize("call", ["pushed", "whole"])
@pytest.mark.parametrize("what", [*SPOILT, "status", "two", "endless lists"])
@timed
async def test_a_spoilt_list_is_one_plain_line_in_the_log(what, call, capsys):
    place, errors, fed = Place(), [], 0

    async def spoilt(wire):
        nonlocal fed
        if what == "status":
            wire.feed(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
        elif what in ("two", "endless lists"):
            wire.feed(HEAD)
            while wire.open and fed < (2 if what == "two" else 10_000):
                wire.feed(chunk(line(50)))
                fed += 1
            wire.feed(b"0\r\n\r\n")
        else:
            wire.feed(HEAD + chunk(SPOILT[what] + b"\n") + b"0\r\n\r\n")

    asyncio.get_running_loop().set_exception_handler(lambda loop, context: errors.append(context))
    place.news = spoilt
    started = Started(place, "subscribe")
    if call == "pushed" and what not in ("two", "endless lists"):
        started.act(Watch(True))
    else:
        started.discovery.fetch()
    await asyncio.sleep(0.02)
    said = capsys.readouterr().err.splitlines()
    assert len(said) == 1 and said[0].startswith("discovery: "), said
    assert len(said[0]) < 400 and "Traceback" not in said[0]
    assert fed <= 2
    assert not errors and started.discovery.version in (0, 41)
    started.close()


@timed
async def test_a_server_that_a_list_names_twice_is_as_the_last_of_both_says():
    place = Place()
    started = Started(place, "automatic")
    await started.has(45)
    rows = [entry("s50", "127.0.0.1:9"), entry("s50", "127.0.0.1:11", status="leaving"), entry("s51")]
    place.wires[-1].feed(chunk(json.dumps(listed(50, *rows)).encode() + b"\n"))
    pool, module = started.sidecar.pool, started.sidecar.driver._balancer
    assert pool._servers["s50"].address.port == 11
    assert [server.name for server in module._endpoints.ring] == ["s51"]
    started.close()


@pytest.mark.parametrize("how", ["automatic", "subscribe"])
@timed
async def test_a_call_that_fails_in_a_way_of_its_own_is_made_again(how, capsys):
    """Such as by an address that can't be one: the chain of calls goes on."""
    place = Place()
    started = Started(place, how)
    connect = started.discovery._loop.create_connection

    async def fails(*args, **_):
        place.calls.append(now())
        raise [UnicodeError("label empty or too long"), RuntimeError("oh")][len(place.calls) % 2]

    started.discovery._loop.create_connection = fails
    await asyncio.sleep(10.0)
    assert len(place.calls) > 3
    started.discovery._loop.create_connection = connect
    back, place.version = now(), 50
    assert await started.has(50) - back <= TOLD_S - SPARE_S
    assert "Traceback" not in capsys.readouterr().err
    started.close()


# --- a call is under way, and something else comes ------------------------------------------------


@timed
async def test_a_module_that_asks_again_does_not_give_up_the_call_that_waits_its_turn():
    """Its timer was set before a move, which has opened a watch of its own."""
    for seed in range(12):
        old, new = Place(down="refused"), Place(50)
        started = Started(old, seed=seed)
        await asyncio.sleep(20.0 + 0.13 * seed)
        moved = now()
        started.move(new)
        assert await started.has(50) - moved <= TURN_S + 0.1
        await asyncio.sleep(5.0)
        assert len(new.calls) == 1
        started.close()


@timed
async def test_a_second_watch_and_one_called_off_lose_nothing():
    place = Place()
    started = Started(place)
    await started.has(45)
    for on in (True, False, True):
        started.act(Watch(on))
        await asyncio.sleep(0.3)
    place.version, asked = 50, now()
    assert await started.has(50) - asked <= TURN_S
    assert [wire.open for wire in place.wires] == [False, True]
    started.act(Watch(False))
    await asyncio.sleep(0.0)
    started.act(Watch(True))  # in the turn in which the other one ends
    await asyncio.sleep(3.0)
    assert [wire.open for wire in place.wires] == [False, False, True]
    started.close()


@pytest.mark.parametrize("how", ["automatic", "subscribe"])
@pytest.mark.parametrize("under_way", [*DEEDS, "news"])
@timed
async def test_two_moves_in_the_middle_of_a_call_and_an_address_that_comes_up_late(under_way, how):
    for seed, length in enumerate((0.0, 0.9, 2.3, 3.9, 4.1, 6.7, 12.0)):
        old, first, last = Place(), Place(46), Place(50, down="refused")
        started = Started(old, how, seed)
        await started.has(45)
        await asyncio.sleep(3.0)
        old.reset()
        first.down = under_way
        started.move(first)
        await asyncio.sleep(0.4)  # the call is under way
        started.move(last)
        await asyncio.sleep(length)
        last.down, back = None, now()
        took = await started.has(50) - back
        assert took <= TOLD_S - SPARE_S
        assert length > 2.5 or took <= MOVED_S - SPARE_S
        assert len(first.calls) <= 4
        started.close()


@pytest.mark.parametrize("how", ["automatic", "subscribe"])
@timed
async def test_the_old_address_is_not_heard_after_a_move(how):
    """It has an answer for the whole list under way, and lines on the watch, in the moment of the move."""
    old, new = Place(), Place(50)
    started = Started(old, how)
    await started.has(45)
    old.version = 99
    started.discovery.fetch()
    await asyncio.sleep(0.5)
    started.move(new)
    await asyncio.sleep(0.0)
    old.wires[0].feed(chunk(line(98)))
    await started.has(50)
    await asyncio.sleep(10.0)
    assert 98 not in started.heard and 99 not in started.heard
    assert not any(wire.open for wire in old.wires)
    assert len(new.calls) == 2  # the watch, and the whole list that was asked for
    started.close()


@pytest.mark.parametrize("deed", [deed for deed in DEEDS if deed not in ("refused", "lost")])
@timed
async def test_a_call_for_the_whole_list_that_fails_is_followed_in_time(deed):
    """No watch is open, such as after one that was called off."""
    for seed in range(10):
        place = Place()
        started = Started(place, seed=seed)
        await started.has(45)
        started.act(Watch(False))
        place.then, place.version = [deed], 50
        asked = now()
        started.discovery.fetch()
        assert await started.has(50) - asked <= TOLD_S - SPARE_S
        started.close()


@pytest.mark.parametrize("how", ["automatic", "subscribe"])
@pytest.mark.parametrize("deed", DEEDS)
@timed
async def test_a_process_whose_first_call_fails_has_the_list_in_time_and_is_ready_before(deed, how):
    for seed in range(10):
        place = Place(50)
        place.then = [deed]
        begun = now()
        started = Started(place, how, seed)
        await started.discovery.first_call(1.0)
        assert now() - begun <= 1.0
        spread = 2.5 if how == "subscribe" else 0.0  # a fleet that starts together
        assert await started.has(50) - begun <= spread + TOLD_S - SPARE_S
        started.close()


@timed
async def test_a_fleet_that_waits_for_discovery_comes_back_spread():
    """Each sidecar has calls of its own: a tenth of a second at its return sees few of them."""
    seen, fleet = [], 60
    for seed in range(fleet):
        place = Place(down="refused")
        started = Started(place, seed=seed)
        await asyncio.sleep(20.0)
        place.down, place.version = None, 50
        back = now()
        await started.has(50)
        seen.append(place.calls[-1] - back)
        started.close()
    tenths = [sum(k / 10 <= at < (k + 1) / 10 for at in seen) for k in range(13)]
    assert sum(tenths) == fleet
    assert max(tenths) <= fleet / 4
    assert sum(at > 0.4 for at in seen) > fleet / 4


# --- how long servers have been up, whatever the wall clock says ---------------------------------

HOUR_S = 3600.0
REAL_START = 1_790_000_000.0  # Unix time at the loop's 0; the service's clock is right
WRONG_BY = [0.0, 3.0, -3.0, HOUR_S, -HOUR_S]


@pytest.fixture
def wall_clock(monkeypatch):
    """The system's wall clock, which tells what the test says."""
    made = mock.Mock(return_value=REAL_START)
    monkeypatch.setattr(time, "time", made)
    return made


class Joined(Started):
    """With a wall clock that is wrong by so many seconds when the process starts, and steps about later."""

    def __init__(self, place, wall_clock, wrong_by, how="automatic", **rules):
        wall_clock.side_effect = itertools.chain(
            [REAL_START + now() + wrong_by], itertools.cycle([0.0, 4e9, REAL_START])
        )
        super().__init__(place, how, **rules)
        self.clock = self.sidecar._clock

    def age_s(self, name):
        """How long the module takes a server to be up."""
        return (self.clock.now() - self.sidecar.driver._balancer._endpoints.servers[name].started) / 1000.0

    async def knows(self, name):
        async with asyncio.timeout(60.0):
            while name not in self.sidecar.driver._balancer._endpoints.servers:
                await asyncio.sleep(0.01)


class Kept(Place):
    """Discovery that tells what is put in; a call's first answer is all of it."""

    def __init__(self, *rows, snapshot=False):
        super().__init__()
        self.rows, self.snapshot = {row["name"]: row for row in rows}, snapshot

    async def news(self, wire):
        rows = self.rows.values()
        wire.feed(
            HEAD + chunk(json.dumps(listed(self.version, *rows, snapshot=self.snapshot)).encode() + b"\n")
        )
        await wire.beat()

    def put(self, name, since_s, *, tell=True, **changes):
        """A server that started at a time of the loop."""
        since_ms = 0 if since_s is None else int((REAL_START + since_s) * 1000.0)
        row = self.rows[name] = entry(name, since_ms=since_ms, **changes)
        self.version += 1
        if tell:
            self.wires[-1].feed(chunk(json.dumps(listed(self.version, row, snapshot=False)).encode() + b"\n"))


@pytest.mark.parametrize("wrong_by", WRONG_BY)
@timed
async def test_a_server_told_on_an_open_watch_is_as_old_as_the_event(wrong_by, wall_clock):
    place = Kept(entry("s0"))
    started = Joined(place, wall_clock, wrong_by)
    await started.knows("s0")
    await asyncio.sleep(5.0)
    place.put("s1", now() - 0.02)
    await started.knows("s1")
    assert started.age_s("s1") == pytest.approx(0.01, abs=0.02)
    await asyncio.sleep(7.0)
    assert started.age_s("s1") == pytest.approx(7.01, abs=0.02)
    started.close()


@pytest.mark.parametrize("wrong_by", WRONG_BY)
@timed
async def test_a_new_start_of_a_known_server_counts_from_its_event(wrong_by, wall_clock):
    place = Kept(entry("s0"), entry("s1"))
    started = Joined(place, wall_clock, wrong_by)
    await started.knows("s1")
    await asyncio.sleep(1.0)
    for _ in range(2):
        await asyncio.sleep(4.0)
        place.put("s1", now())
        await asyncio.sleep(1.0)
        place.put("s1", now() - 1.0, status="leaving")  # the same start: nothing new begins
        place.put("s1", now() - 1.0)
        assert started.age_s("s1") == pytest.approx(1.0, abs=0.02)
    started.close()


@pytest.mark.parametrize("snapshot", [False, True])
@pytest.mark.parametrize("moved", [False, True])
@pytest.mark.parametrize("wrong_by", WRONG_BY)
@timed
async def test_a_server_that_a_new_watch_finds_is_no_older_than_the_gap(
    wrong_by, moved, snapshot, wall_clock
):
    """It joined while nothing could be told; the new watch begins with the whole list, or with changes."""
    place = Kept(entry("s0"), snapshot=snapshot)
    started = Joined(place, wall_clock, wrong_by)
    await started.knows("s0")
    await asyncio.sleep(9.0)  # the last beat was a second ago
    place.down = "refused"
    place.reset()
    await asyncio.sleep(4.0)
    place.put("s1", now(), tell=False)
    await asyncio.sleep(2.0)
    place.down = None
    if moved:
        started.move(place)
    await started.knows("s1")
    waited = now() - 15.0  # until it was asked
    age = started.age_s("s1")
    if abs(wrong_by) < HOUR_S:  # within the gap a small error can't be told from the truth
        assert 0.0 <= age == pytest.approx(2.0 + waited + wrong_by, abs=0.05) or age < 0.02
        assert age <= 7.0 + waited
    else:
        assert 0.0 <= age <= 0.02
    started.close()


@pytest.mark.parametrize("wrong_by", WRONG_BY)
@timed
async def test_a_server_that_was_not_listed_for_a_while_keeps_its_start(wrong_by, wall_clock):
    place = Kept(entry("s0"))
    started = Joined(place, wall_clock, wrong_by)
    await started.knows("s0")
    await asyncio.sleep(3.0)
    place.put("s1", now())
    begun = now()
    await asyncio.sleep(2.0)
    place.put("s1", begun, status="left")
    await asyncio.sleep(6.0)
    place.put("s1", begun)
    assert started.age_s("s1") == pytest.approx(8.0, abs=0.02)
    started.close()


@pytest.mark.parametrize("wrong_by", WRONG_BY)
@timed
async def test_in_the_first_list_only_what_is_impossible_is_put_right(wrong_by, wall_clock):
    """No observation of this process bounds these ages: the wall clock's error shows, but never as an age
    below 0, which would stretch slow start; who started long ago did so whatever the clock."""
    place = Kept(entry("s0"))
    place.put("s1", -10.0, tell=False)
    started = Joined(place, wall_clock, wrong_by)
    await started.knows("s1")
    assert started.age_s("s1") == pytest.approx(max(0.0, 10.0 + wrong_by), abs=0.05)
    assert started.sidecar.driver._balancer._endpoints.servers["s0"].started == 0.0
    before = started.age_s("s1")
    await asyncio.sleep(5.0)
    assert started.age_s("s1") == pytest.approx(before + 5.0, abs=0.02)
    started.close()


class Answering:
    """Servers of which each answers at once."""

    def __init__(self):
        self.sent = collections.Counter()

    def update(self, *args, **named):
        pass

    def close_idle(self, server):
        pass

    def send(self, server, call, expires, watcher):
        self.sent[server] += 1
        done = Result(Outcome.OK, Answer([], b""))
        asyncio.get_running_loop().call_later(0.01, watcher.ended, done)
        return mock.Mock()


class Asked:
    """A small request that may be repeated."""

    request_class = tenant = 0
    key = work = body = None
    client_retry = mutates = reading = False
    budget = 4000.0

    def client_left(self):
        return False

    def __init__(self):
        self.served = self.refused = self.failed = lambda *told: None


async def share_of_a_new_server(wall_clock, wrong_by):
    """The part of the calls that a server gets in the 4 s after it joined, beside five warm ones."""
    place = Kept(*(entry(f"s{number}") for number in range(5)))
    started = Joined(place, wall_clock, wrong_by, ColdFrom=0.12, WarmUp=22_000.0, FallMultiple=4.0)
    await started.knows("s0")
    made, answering = started.sidecar.driver, Answering()
    made.connect(answering, started.discovery, started.sidecar.peers)
    until, joins_at = now() + 7.0, now() + 3.0
    while now() < until:
        if joins_at is not None and now() >= joins_at:
            joins_at = None
            place.put("s5", now())
            answering.sent.clear()
        made.arrive(Asked(), started.clock.now())
        await asyncio.sleep(0.005)
    started.close()
    return answering.sent["s5"] / answering.sent.total()


@pytest.mark.parametrize("wrong_by", WRONG_BY[1:])
@timed
async def test_a_new_server_gets_the_same_share_whatever_the_wall_clock_says(wrong_by, wall_clock):
    """By the wall clock alone it got 22% an hour ahead and 4% an hour behind, where 7% is right."""
    right = await share_of_a_new_server(wall_clock, 0.0)
    assert 0.01 < right < 0.1
    assert await share_of_a_new_server(wall_clock, wrong_by) == pytest.approx(right, abs=0.005)


def test_starts_of_servers_long_gone_are_forgotten():
    starts, made = StartTimes(), []
    for number in range(100):
        at = 1e12 + number * FORGET_MS
        entries = [Listing(f"s{number}", started=at)]
        made.append(starts.bounded(at, at - 1000.0, ServerList(number, True, entries, {})))
    assert all(update.entries[0].started == 1e12 + n * FORGET_MS for n, update in enumerate(made))
    assert len(starts._starts) <= 3


def test_two_starts_told_in_one_moment_are_two():
    starts, now_ms = StartTimes(), 1e12
    told_ = [
        starts.bounded(now_ms, now_ms, ServerList(n, False, [Listing("s", started=since)], {})).entries[0]
        for n, since in enumerate([now_ms - 5.0, now_ms - 4.0])
    ]
    assert told_[0].started != told_[1].started and max(abs(e.started - now_ms) for e in told_) < 1.0


# --- what the system says to the calls of a connection to discovery, on real sockets -------------


def at_port(port):
    """The ends of connections to this port."""

    def met(sock):
        try:
            return sock.getpeername()[1] == port
        except OSError:
            return False

    return met


@contextlib.asynccontextmanager
async def watching():
    """A sidecar with an open watch, its discovery, and the faults of the system."""
    registry = await Registry(current=True).start()
    with Faults(seed=1) as faults:
        async with running(registry=registry) as sidecar:
            await until(lambda: registry.watches and sidecar.discovery.version == 41)
            yield sidecar, registry, faults
    registry.stop()


async def hears(sidecar, registry, version, opened):
    """Wait until it watches for the n-th time, and then for what is told there; how long that took."""
    begun = now()
    await until(lambda: len(registry.watches) >= opened)
    registry.tell(version, entry("s9"))
    await until(lambda: sidecar.discovery.version == version)
    return now() - begun


@pytest.mark.parametrize(
    ("call", "number"),
    [*(("socket", n) for n in SOCKET_ERRORS), *(("connect", n) for n in (*CONNECT_ERRORS, *BROKEN))],
)
@loopback
async def test_a_watch_is_opened_again_in_time_though_the_system_fails_the_calls_for_it(call, number):
    async with watching() as (sidecar, registry, faults):
        faults.script(call, number, number)
        registry.watches[-1].transport.abort()
        assert await hears(sidecar, registry, 42, opened=2) <= TOLD_S - SPARE_S
        # A connect that is interrupted goes on by itself: there is no second call.
        assert faults.injected[call, number] == (1 if number == errno.EINTR else 2)


@pytest.mark.parametrize("number", [*BROKEN, errno.ENOBUFS, errno.ENOMEM])
@loopback
async def test_a_watch_that_breaks_in_any_way_is_opened_again_in_time(number):
    async with watching() as (sidecar, registry, faults):
        faults.script("recv", number, on=at_port(int(registry.address.rpartition(":")[2])))
        registry.write(b"\n")
        assert await hears(sidecar, registry, 42, opened=2) <= TOLD_S - SPARE_S
        assert faults.injected["recv", number] == 1


@loopback
async def test_lists_are_taken_in_though_each_read_and_write_takes_one_byte():
    async with watching() as (sidecar, registry, faults):
        to_registry = at_port(int(registry.address.rpartition(":")[2]))
        faults.shorten("recv", 1, on=to_registry)
        faults.shorten("send", 1, on=to_registry)
        registry.watches[-1].transport.abort()
        assert await hears(sidecar, registry, 42, opened=2) <= TOLD_S - SPARE_S
        assert faults.injected["recv", 0] > 100 and faults.injected["send", 0] > 40


@loopback
async def test_with_15_percent_of_the_calls_failing_each_change_is_there_in_time():
    async with watching() as (sidecar, registry, faults):
        faults.share("connect", 0.15, (*CONNECT_ERRORS, *BROKEN))
        faults.share("socket", 0.15, SOCKET_ERRORS)
        for turn in range(1, 13):
            opened = len(registry.watches) + 1
            registry.watches[-1].transport.abort()
            assert await hears(sidecar, registry, 41 + turn, opened) <= TOLD_S - SPARE_S
        assert sum(faults.injected.values()) >= 3
