"""Discovery: a watch that is kept up, and whole lists on demand."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import httptools

from brassfall.balancer.model import CALL_MS, MAX_POLL_BACKOFF_MS, NOTIFIED_MS, SPARE_MS
from brassfall.sidecar.agent.lists import Age, Doubt, HeldList, Sources
from brassfall.sidecar.config import Address, Config, ServerList, parse_list
from brassfall.sidecar.driver import log

PATH = "/registry/instances"
# What a change may take to arrive: all waits and limits here are parts of it.
TOLD_S, SPARE_S, CALL_S = NOTIFIED_MS / 1000.0, SPARE_MS / 1000.0, CALL_MS / 1000.0
# A pushed list counts from the moment the agent has it, and sends that go wrong for half a second:
# within that the watch has to be open again once the agent can be reached.
BACKOFF_S, BACKOFF_MOST_S, SPREAD = 0.1, 0.3, 0.5
# A connection comes up at once or was lost on its way: the system asks again only 1, 3 and 7 s later.
CONNECT_S = CALL_S
# An empty line comes every 2 s. Whoever is silent for longer is called again, and once more if that fails.
SILENT_S = TOLD_S - SPARE_S - 2.0 * (BACKOFF_S * (1.0 + SPREAD) + CALL_S)
FETCH_S = (
    TOLD_S - SPARE_S - 2.0 * MAX_POLL_BACKOFF_MS / 1000.0 - CALL_S
)  # the module waits before it asks again
AGE_STEP_S = 4.0  # a list's age is told in steps: two beats of its watch
CLOCK_STEP_S = 0.001  # less is left only by rounding
LINE_MOST = 4 * 1024 * 1024
LINE_RATE = 512 * 1024.0  # a second for so many bytes of a line that is not whole yet
MOVED_S = 4.0  # after a move, what the new address has counts as told
HELD = "X-Held-Index"  # tells our own list service which version an asker of the whole list has
# How old an aggregator's list may be when it sends it, or says by an empty line that it has no newer one.
STATED_AGE = b"x-list-age-ms"
LOOK_S = 1.0  # at the age of the list

MALFORMED = (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError)
SAID_MOST = 200  # characters of a reason in the log: it may quote what came

News = Callable[[str, ServerList | None], None]
# Takes a line; the age of the list in seconds where the line states one.
OnLine = Callable[[bytes], float | None]
ASKED_AGAIN = "see that it runs at its address; it is asked again by itself, and the list held serves"


def say(error: BaseException) -> None:
    """One plain line on why a call is over."""
    why = f"{error.args[0]!r} is missing" if isinstance(error, KeyError) and error.args else str(error)
    log(f"discovery: {' '.join(why.split())[:SAID_MOST]}; {getattr(error, 'action', ASKED_AGAIN)}")


class Doubted(ValueError):
    """A list that can't be right; the first of its kind is worth a line in the log."""

    action = "look at the list service, which lost its list or runs twice; past 30 s it is believed"

    def __init__(self, why: str, first: bool) -> None:
        super().__init__(f"{why}: the list held is kept")
        self.first = first


def seconds(ms: Any) -> float:
    """An age in ms as it was stated, in seconds; infinite where it is none: nothing is known by that."""
    try:
        stated = float(ms) / 1000.0
    except (ValueError, TypeError, OverflowError):
        return math.inf
    return stated if stated >= 0.0 else math.inf


class Channel(asyncio.Protocol):
    """One connection to discovery: its answer is cut into lines as it comes, and what was spread over
    several lines is joined again."""

    def __init__(self, request: bytes, on_line: OnLine, called_at: float) -> None:
        self._request = request
        self._stated = 0.0  # the age of the list that was stated last, in seconds
        self._object = bytearray()  # one that has begun: lists may come indented
        self._depth = 0
        self._empties = 0
        self.told = False  # whether a line with something in it has come
        self.retry_after = 0.0
        self.age: Age | None = None
        self._on_line = on_line
        self._parser = httptools.HttpResponseParser(self)
        self._buffer = bytearray()
        self._status = 0
        self._transport: asyncio.Transport
        self._loop = asyncio.get_running_loop()
        self.taken = False  # the call was: what follows is an answer
        self.lived = False  # a whole line came: what discovery had then is told
        self.heard_at = called_at  # the last whole line, or the call
        self._since = 0  # bytes that came after that
        self.broken = self._loop.create_future()
        self.complete = False
        self.spoilt = False  # what came was no list, and the log has it
        self.silent = False  # it was given up for that

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.asked_at = self._loop.time()
        transport.write(self._request)

    @property
    def due_at(self) -> float:
        """When the next whole line has to have come. Bytes that drip put it off no further than their
        number allows: a long list on a slow way is let through, a line that never ends is not."""
        return self.heard_at + SILENT_S + self._since / LINE_RATE

    def data_received(self, data: bytes) -> None:
        """A part of the answer; what is no HTTP, no list or refused ends the connection."""
        if self.broken.done():
            return
        self._since += len(data)
        try:
            self._parser.feed_data(data)
            if self._since > LINE_MOST:
                raise ValueError("a line is too long")
        except (ValueError, httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__ or error
            if not isinstance(cause, Doubted) or cause.first:
                say(cause)
            self.spoilt = True
            self.close()

    def eof_received(self) -> bool:
        """The answer is over."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone."""
        self._done()

    def close(self) -> None:
        """Close it at once: nothing more of it is taken in."""
        self._transport.abort()
        self._done()

    def _done(self) -> None:
        if not self.broken.done():
            self.broken.set_result(None)

    # --- called by the parser -----------------------------------------------

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        if name.lower() == b"retry-after":
            with contextlib.suppress(ValueError):
                wait = float(value)
                self.retry_after = wait if 0.0 < wait < math.inf else 0.0
        elif name.lower() == STATED_AGE:
            self._stated = seconds(value)

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self._status = self._parser.get_status_code()
        if self._status != 200:
            raise ValueError(f"status {self._status}")
        self.taken = True

    def on_body(self, data: bytes) -> None:
        """Called by the parser: whole lines are passed on, empty ones show only that it lives."""
        first, *rest = data.split(b"\n")
        self._buffer += first
        for part in rest:
            line, self._buffer = self._buffer, bytearray(part)
            self._take(line)

    def on_message_complete(self) -> None:
        """Called by the parser: a last line may lack its end. That the answer ends is no empty line."""
        if self._buffer.strip():
            self._take(self._buffer)
        self._buffer = bytearray()
        if self._object:
            self._give()  # half of one: whoever reads it says what is wrong
        self.complete = True
        self._done()

    def _take(self, line: bytearray) -> None:
        if self.broken.done():
            return
        text = line.strip()
        if text:
            on_one_line = not self._object and text.startswith(b"{") and text.endswith(b"}")
            self._object += text
            self._depth += text.count(b"{") - text.count(b"}")
            if not on_one_line and self._depth > 0:
                return
        else:
            self._empties += 1
        if self._object:
            self._give()
        self.lived = True
        self.heard_at, self._since = self._loop.time(), 0
        if self.age is not None and self.told:
            self.confirm(self.age, self._loop.time())

    def confirm(self, age: Age, received: float) -> None:
        """What came last, at that time, tells how old the list can be."""
        age.confirmed(self.asked_at, received, self._empties, self._stated)

    def _give(self) -> None:
        whole, self._object, self._depth = bytes(self._object), bytearray(), 0
        stated = self._on_line(whole)
        if stated is not None:  # it stands in the place of an empty line
            self._stated = stated
            self._empties += 1
        self.told = True


class Discovery:
    """The list of servers, as this sidecar is told of it.

    Where lists are pushed, the watch is this class's own affair and is always kept up; where
    discovery is asked, the decision module says when, and hears of each failure.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, news: News) -> None:
        self._loop = loop
        self._address = config.discovery
        self._listed = config.registry
        self._names = config.names
        self._pushed = config.settings.discovery == "automatic"
        self._news = news
        # Who holds no server need not wait for what it would have to lose.
        empty = bool(config.registry) and not config.known.entries
        self._version = 0 if empty else config.known.version
        self._newest = self._version  # of the list held, also where it is to be asked for whole
        self._known = config.known
        self._rng = random.Random(config.seed)
        self._sources = Sources(config.registry, self._rng) if config.registry else None
        self._held = HeldList(config.known) if config.registry else None
        self._doubt = Doubt()
        self._age = Age()
        self._retry_after = 0.0
        self._looking: asyncio.TimerHandle | None = None
        self._watching: asyncio.Task[None] | None = None
        self._watched: Channel | None = None  # the open watch
        self._fresh_at = -math.inf  # when the list held was last known to be the newest, but for that watch
        self._first = asyncio.Event()
        self._called = asyncio.Event()  # the first call is answered, or over
        self._fetches: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Tell of the list as last held, then watch if lists are pushed."""
        self._news("remembered", self._known)
        if self._pushed:
            self._watching = self._loop.create_task(self._keep_watch())
        if self._sources is not None:
            self._look()

    @property
    def state(self) -> str:
        """The list held, for operators: version, an upper bound on its age, servers, and where from."""
        age = self._age.bound(self._loop.time())
        told = "unknown" if age is None else f"{age * 1000.0:.0f}"
        host, port = self._where
        return f"version={self._newest} age_ms={told} servers={len(self._held or ())} at={host}:{port}"

    def told(self) -> dict[str, float]:
        """The list held, for a report: its version, and an upper bound on its age where there is one."""
        age = self._age.bound(self._loop.time())
        if age is None or not math.isfinite(age):
            return {"list_index": self._newest}
        # What is finer than the beat tells nothing, and costs bytes in each report.
        return {
            "list_index": self._newest,
            "list_age_ms": round(math.ceil(age / AGE_STEP_S) * AGE_STEP_S * 1000.0),
        }

    def listings(self) -> HeldList:
        """The list held, in a fleet; empty outside of one."""
        return HeldList() if self._held is None else self._held

    @property
    def _where(self) -> Address:
        return self._address if self._sources is None else self._sources.current

    def _look(self) -> None:
        """Say it when the list grows too old, and when it is fresh again."""
        if said := self._age.passed(self._loop.time()):
            log(f"discovery: {said}, {self.state}")
        self._looking = self._loop.call_later(LOOK_S, self._look)

    async def first_answer(self, limit: float) -> None:
        """Wait until discovery has told something of its own, or the limit is over."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._first.wait(), limit)

    async def first_call(self, limit: float) -> None:
        """Where lists are pushed, wait until the first call is answered or has failed, or the limit is
        over: what the agent has counts as told from the first moment of a process."""
        if self._pushed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._called.wait(), limit)

    def watch(self, on: bool) -> None:
        """The module asks for changes, or for no more of them. A call under way, such as one after a move,
        is not given up for another: it would lose its turn, and cost as much as one that is served."""
        if self._pushed or (on and self._watching is not None):
            return
        if self._watching is not None:
            self._watching.cancel()
        self._watching = self._loop.create_task(self._watch_once()) if on else None

    def move(self, address: Address, listed: tuple[Address, ...] = ()) -> None:
        """Discovery has another address: what it says goes on from the version held, told there.

        At once and also where no watch is open: the news counts as told 4 s after the move, and the
        module may be waiting for longer before it asks again. For the same reason a call that fails
        there is made again without the module."""
        if (address, listed) == (self._address, self._listed):
            return
        self._address, self._listed = address, listed
        if listed:
            self._sources = Sources(listed, self._rng)
        if self._watching is not None:
            self._watching.cancel()
        if self._fetches:  # what the old address says late is not to be heard
            for task in tuple(self._fetches):
                task.cancel()
            self.fetch()
        until = self._loop.time() + MOVED_S
        self._watching = self._loop.create_task(
            self._keep_watch() if self._pushed else self._watch_once(until)
        )

    @property
    def version(self) -> int:
        """Of the list held."""
        return self._newest

    def again(self) -> None:
        """Open the watch anew, elsewhere if there is another address, since this one has fallen behind; where
        the module asks, have the whole list."""
        if self._sources is not None:
            self._sources.failed()
        if self._pushed and self._watching is not None:
            self._watching.cancel()
            self._watching = self._loop.create_task(self._keep_watch())
        else:
            self.fetch()

    def fetch(self) -> None:
        """The module asks for the whole list once."""
        task = self._loop.create_task(self._fetch())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def close(self) -> None:
        """Stop asking."""
        if self._looking is not None:
            self._looking.cancel()
        for task in (*self._fetches, *([self._watching] if self._watching else [])):
            task.cancel()

    async def _keep_watch(self) -> None:
        """Watch for as long as this process runs; wait longer after each failure in a row."""
        failures = 0
        while True:
            channel = None
            try:
                channel = await self._watch()
            except Exception as error:  # a dead watch would go on sending to servers that drain
                say(error)
            self._called.set()
            if self._sources is not None:
                await asyncio.sleep(self._sources.failed(self._retry_after))
                continue
            failures = await self._pause(failures, channel)

    async def _pause(self, failures: int, channel: Channel | None) -> int:
        """Wait before the next call, spread: every sidecar loses its watch in the same moment. How many
        calls in a row have failed, this one with them; silence alone has cost time enough."""
        failures = 0 if channel is not None and (channel.lived or channel.silent) else failures + 1
        wait = min(BACKOFF_S * 2.0 ** min(max(0, failures - 1), 8), BACKOFF_MOST_S)
        await asyncio.sleep(wait * (1.0 - SPREAD + 2.0 * SPREAD * self._rng.random()))
        return failures

    async def _watch_once(self, until: float = -math.inf) -> None:
        """Watch until the module has to hear that it is over."""
        try:
            await self._watch_until(until)
        except Exception as error:  # a module that hears nothing would never ask again
            say(error)
        self._watching = None
        self._news("refused", None)

    async def _watch_until(self, until: float) -> None:
        """The module has a time of its own until it asks again, for which what a silent watch misses does
        not wait, nor what was told by a move: a call that has told nothing by `until` is made again, too."""
        failures = 0
        channel = await self._watch()
        while self._sources is None:
            if channel is not None and channel.silent:
                until = max(until, channel.heard_at + TOLD_S)
            elif (channel is not None and channel.lived) or self._loop.time() >= until:
                break
            failures = await self._pause(failures, channel)
            channel = await self._watch()
        if self._sources is not None:
            pause = self._sources.failed(self._retry_after)
            # The module has a time of its own until it asks again; it begins once that may be.
            await asyncio.sleep(pause if self._retry_after else 0.0)

    async def _watch(self) -> Channel | None:
        """Watch until the connection ends or falls silent; the connection, if one came up."""
        channel = await self._open(f"{PATH}?watch=1&from={self._version}", self._changed)
        if channel is None:
            return None
        if self._sources is not None:
            channel.age = self._age
        self._watched = channel
        try:
            # Guards against a machine that is cut off: its connections stay open and silent.
            while (left := channel.due_at - self._loop.time()) > CLOCK_STEP_S:
                await asyncio.wait((channel.broken,), timeout=left)
                if channel.broken.done():
                    break
            channel.silent = not channel.broken.done()
        finally:
            channel.close()
            self._retry_after = channel.retry_after
            self._fresh_at, self._watched = self._last_fresh(), None
        return channel

    async def _fetch(self) -> None:
        got: list[bytes] = []

        def one(line: bytes) -> float | None:
            if got:
                raise ValueError("more than one list")
            got.append(line)
            return None

        until = self._loop.time() + FETCH_S
        channel = await self._open(PATH, one)
        if channel is not None:
            try:
                await asyncio.wait((channel.broken,), timeout=max(0.0, until - self._loop.time()))
            finally:
                channel.close()
        try:
            if channel is None or not channel.complete:
                raise ValueError("the call failed")
            news = self._parse(json.loads(b"".join(got)))
            if self._held is None and news.version < self._version:
                raise ValueError("the list is older than the one held")
        except MALFORMED as error:
            if channel is None or not channel.spoilt:
                say(error)
            if self._sources is not None:
                self._sources.failed(channel.retry_after if channel is not None else 0.0)
            self._news("refused", None)
            return
        channel.confirm(self._age, channel.heard_at)
        self._tell("all", news)

    async def _open(self, target: str, on_line: OnLine) -> Channel | None:
        address = self._where
        more = f"{HELD}: {self._version}\r\n" if self._sources is not None else ""
        request = f"GET {target} HTTP/1.1\r\nHost: {address.host}:{address.port}\r\n{more}\r\n".encode()
        self._retry_after = 0.0
        called_at = self._loop.time()
        try:
            async with asyncio.timeout(CONNECT_S):
                _, channel = await self._loop.create_connection(
                    lambda: Channel(request, on_line, called_at), address.host, address.port
                )
        except (OSError, ValueError):  # a name that can't be one of a host is a ValueError
            return None
        return channel

    def _parse(self, raw: Any) -> ServerList:
        """One list; `ValueError` or its like where it is none, or, in a fleet, where it is not believed."""
        if self._held is None:
            return parse_list(raw, self._names)
        bad: dict[str, str] = {}
        news = parse_list(raw, self._names, bad)
        first = self._doubt.new
        why = self._doubt.of(news, self._newest, len(self._held), self._loop.time())
        if why is not None:
            raise Doubted(why, first)
        if bad:
            log(f"discovery: entries kept as they were: {bad}; register those servers anew, in good form")
            news = self._held.repaired(news, bad)
        return news

    def _changed(self, line: bytes) -> float | None:
        """One line of a watch; `ValueError` ends it, and the next one brings the whole list. The age that it
        states in the place of an empty line, in seconds, if it does."""
        try:
            raw = json.loads(line)
            stated = None
            if self._held is not None and "age_ms" in raw and not raw["endpoints"] and not raw["snapshot"]:
                stated = seconds(raw["age_ms"])
                if raw["index"] <= self._newest:
                    return stated  # the module need not hear of it
            news = self._parse(raw)
        except Doubted:
            raise
        except MALFORMED as error:
            self._version = 0
            raise ValueError(f"not a list: {error}") from error
        live = self._watched is not None and self._watched.told
        if news.whole:
            self._tell("all", news, live=live)
        elif news.version >= (self._version if self._held is None else self._newest):
            # The version held may come again, with no entries: it answers who asked for a watch.
            self._tell("changes", news, live=live)
        # Older changes were told already: by a list asked for meanwhile, or by another address.
        return stated

    def _last_fresh(self) -> float:
        """When the list held was last known to be the newest; -inf where none has come yet."""
        watch = self._watched
        return max(self._fresh_at, watch.heard_at) if watch is not None and watch.told else self._fresh_at

    def _tell(self, form: str, news: ServerList, *, live: bool = False) -> None:
        """Pass a list on; `live` where it came on a watch that has told before: as it happened."""
        now = self._loop.time()
        news = replace(news, fresh_at=now if live else self._last_fresh())
        self._fresh_at = now
        self._version = self._newest = news.version
        if self._sources is not None and self._held is not None:
            self._sources.worked()
            self._held.apply(news)
        self._first.set()
        self._called.set()
        self._news(form, news)
