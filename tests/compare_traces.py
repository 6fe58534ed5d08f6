"""Play the same generated days into the decisions of two revisions and compare their actions byte for byte.

    python tests/compare_traces.py OLD NEW [--seeds 10] [--times 0]

OLD and NEW are folders that hold a revision, or names of revisions (then unpacked into a temporary folder).
Each day is a function of its seed and of the actions taken so far: lists that change, arrivals of several
classes with and without keys, outcomes of all kinds with and without load reports, timers, peers, steering,
reloads, clients that leave, large bodies, zones, slow start and ejection. The script plays each revision
through its public interface: one `step` with a typed event, or in earlier revisions one method for each event
with its values by position. The tables below map each of today's names to the ones that it had before. Timers
are printed as their tokens on the simulator's wire. The exit code is 1 where a trace differs.

With `--times N` the processor time of the ten days is also measured, N times for each revision in turn.
"""

from __future__ import annotations

import argparse
import contextlib
import hashlib
import heapq
import importlib
import itertools
import math
import os
import random
import statistics
import subprocess
import sys
import tarfile
import tempfile
import time
from collections import Counter
from io import BytesIO
from pathlib import Path

SEEDS = 10
DAY_MS = 40_000.0
LONG_QUIET_MS = 700_000.0  # longer than servers that are gone are remembered
HELD_UP_MS = 150.0  # a whole process, now and then

# Packages of the decisions, newest first, and what has had other names, with the newest of them first.
PACKAGES = ("brassfall.balancer", "poppypulley")
NAMES = {
    "RequestArrived": ("RequestArrived", "Arrival"),
    "refusals": ("refusals", "given_up"),
    "EndpointListReceived": ("EndpointListReceived", "EndpointsListed"),
    "EndpointEntry": ("EndpointEntry", "Listing"),
    "SteeringDirectives": ("SteeringDirectives", "Steer"),
    "SendAttempt": ("SendAttempt", "Send"),
    "RefuseRequest": ("RefuseRequest", "Refuse"),
    "FailRequest": ("FailRequest", "Fail"),
    "CancelAttempt": ("CancelAttempt", "Cancel"),
    "StartTimer": ("StartTimer", "Timer"),
    "FetchEndpointList": ("FetchEndpointList", "Fetch"),
    "WatchEndpointList": ("WatchEndpointList", "Watch"),
    "CheckServerHealth": ("CheckServerHealth", "Probe"),
    "CloseIdleConnections": ("CloseIdleConnections", "CloseIdle"),
    "SendPeerMessage": ("SendPeerMessage", "Tell"),
    "WriteLog": ("WriteLog", "Log"),
}
# The actions; a trace shows each under the oldest of its names, so that traces of all revisions compare.
ACTIONS = (
    "SendAttempt",
    "RefuseRequest",
    "FailRequest",
    "CancelAttempt",
    "StartTimer",
    "FetchEndpointList",
    "WatchEndpointList",
    "CheckServerHealth",
    "CloseIdleConnections",
    "SendPeerMessage",
    "WriteLog",
)
# The event of each method whose values are those of the event.
EVENTS = {
    "unsent": "AttemptWithdrawn",
    "answer_started": "AnswerStarted",
    "body_gone": "BodyDiscarded",
    "client_gone": "ClientLeft",
    "peer_message": "PeerMessageReceived",
    "reload": "SettingsReloaded",
    "steer": "SteeringChanged",
}
OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, UNSENT = range(8)


class Revision:
    """The decision package that is importable here, under whichever names it has.

    `events` is its module of typed events, and `wire` the one that maps typed timers to the simulator's wire;
    each is None in revisions from before it.
    """

    def __init__(self):
        for package in PACKAGES:
            with contextlib.suppress(ImportError):
                self.package = importlib.import_module(package)
                self.model = importlib.import_module(f"{package}.model")
                break
        self.events = self.wire = None
        with contextlib.suppress(ImportError):
            self.events = importlib.import_module(f"{self.package.__name__}.events")
            wire = importlib.import_module("brassfall.simulator")
            self.wire = wire if hasattr(wire, "timer_token") else None
        self._kinds = {
            getattr(self.model, known): NAMES[name][-1]
            for name in ACTIONS
            for known in NAMES[name]
            if hasattr(self.model, known)
        }

    def make(self, name, *args):
        """A value of one of the interface's classes, its fields by position."""
        in_events = self.events is not None and hasattr(self.events, name)
        return self.get(self.events if in_events else self.model, name)(*args)

    def step(self, balancer, name, args):
        """A function of the time that gives an event to a balancer, by the name that its method had."""
        if self.events is None:
            method = self.get(balancer, name)
            return lambda now: method(now, *args)
        event = self.event(name, args)
        return (lambda now: balancer.step(now, event)) if event is not None else (lambda now: [])

    def event(self, name, args):
        """The typed event for what a method took; None for a timer that is not one of the balancer's own."""
        events, model = self.events, self.model
        if name == "request":
            return args[0]
        if name == "outcome":
            number, attempt, status, *rest = args
            return events.AttemptEnded(number, attempt, model.Outcome(status), *rest)
        if name == "server_list":
            form, entries = args
            refused = form == "refused"
            return (
                events.DiscoveryFailed() if refused else self.get(events, "EndpointListReceived")(model.ListForm(form), entries)
            )
        if name == "probe_result":
            server, status, *rest = args
            return events.HealthCheckEnded(server, model.Outcome(status), *rest)
        if name == "timer":
            (token,) = args
            if self.wire is not None and isinstance(token, str):
                token = self.wire.parse_timer(token)
            return events.TimerDue(token) if token is not None else None
        return getattr(events, EVENTS[name])(*args)

    def printed(self, action):
        """The values of an action as they are printed: a typed timer as its token on the wire."""
        if self.wire is not None and isinstance(action, self.get(self.model, "StartTimer")):
            return action._replace(token=self.wire.timer_token(action.token))
        return action

    def settings(self, raw):
        """The settings read from the form on the wire."""
        return self.get(self.get(self.package, "Settings"), "parse")(raw)

    def balancer(self, now, raw, seed):
        """A new instance."""
        return self.get(self.package, "Balancer")(now, self.settings(raw), seed)

    def kind(self, action):
        """The name of an action's class."""
        return self._kinds[type(action)]

    @staticmethod
    def get(owner, name):
        """An attribute under the newest of its names that the owner has."""
        return next(getattr(owner, known) for known in NAMES.get(name, (name,)) if hasattr(owner, known))


def drawn_settings(rng):
    """Settings that the wire allows; every part of the decisions is asked for by some of them."""
    profiles = []
    for _ in range(rng.randint(1, 4)):
        objective = rng.choice([60.0, 200.0, 400.0])
        profiles.append(
            {
                "Semantics": rng.choice(["pure", "pure", "token", "side_effect"]),
                "Group": rng.choice(["all", "zone", "cell"]),
                "KeyTtl": rng.choice([80.0, 750.0]),
                "Objective": objective,
                "Deadline": 3.0 * objective,
                "LateWorth": rng.choice([0.0, 0.0, 0.5]),
                "Worth": rng.choice([0.0, 1.0, 2.0, 10.0]),
                "Streaming": rng.random() < 0.3,
                "InTurn": rng.random() < 0.3,
            }
        )
    return {
        "Profiles": profiles,
        "Me": rng.randrange(20),
        "Balancers": 20,
        "FailureDomains": ["a", "b", "c"],
        "Locality": rng.randrange(3),
        "Kinds": ["one", "two"],
        "Discovery": rng.choice(["automatic", "subscribe"]),
        "Domain": {"WarmKeys": rng.random() < 0.3},
        "Goal": {"Whole": 0.7, "WorstClass": rng.choice([0.0, 0.3]), "KeptPromises": rng.choice([0.0, 0.2])},
        "PolicyLimits": {
            "MaxAttempts": rng.choice([1, 2, 3, 5]),
            "ParallelTries": rng.random() < 0.5,
            "MayCancel": rng.random() < 0.7,
            "MayProbe": rng.random() < 0.5,
            "PeerMessages": rng.random() < 0.5,
            "RetryAfter": rng.random() < 0.7,
            "MaxRetryAfter": 300.0,
            "IdleClose": 15_000.0,
        },
        "Prices": {"Connection": rng.choice([0.0, 0.05]), "CrossZone": rng.choice([0.0, 0.06, 0.3])},
        "Report": {
            "How": rng.choice(["inline", "inline", "on_probe", "off"]),
            "Fields": rng.choice([["inflight"], ["queue", "util"], ["inflight", "qps"], []]),
        },
        "Rules": {
            "AskWithin": 4000.0,
            "ColdFrom": rng.choice([0.12, 0.3]),
            "WarmUp": rng.choice([0.0, 6000.0, 22_000.0]),
            "FallMultiple": 4.0,
            "OverloadFor": rng.choice([0.0, 2000.0]),
            "SettleAfterDoubt": rng.choice([0.0, 40.0]),
            "ReleaseWithin": rng.choice([0.0, 200.0]),
        },
        "Tenants": [{"AllowancePerS": 5.0 + n} for n in range(rng.randint(0, 3))],
        "OverShareWorth": 0.1,
        "WorthBy": rng.choice(["request", "work"]),
        "WeightKind": rng.choice(["off", "nominal"]),
    }


class Server:
    """A stand-in for a server: it slows down as it fills and misbehaves for a while at times."""

    def __init__(self, number, rng):
        self.name, self.zone, self.kind, self.cell = f"s{number:02}", number % 3, number % 2, number // 3
        self.weight = rng.choice([1.0, 1.0, 2.0, 0.5])
        self.started, self.state, self.fault, self.held, self.used_at = 0.0, "active", None, 0, 0.0


# What happens in a day, and the mean time between two of each; the rate of arrivals changes with the day.
EVERY = (
    ("arrive", None),
    ("burst", 6000.0),
    ("change_rate", 7000.0),
    ("disturb_servers", 1200.0),
    ("change_servers", 1500.0),
    ("list_all", 8000.0),
    ("client_leaves", 300.0),
    ("peer_message", 3000.0),
    ("check_health", 3000.0),
    ("replace_steering", 5000.0),
    ("reload_settings", 9000.0),
    ("fail_discovery", 4000.0),
    ("restart", 20_000.0),
    ("name_unknown", 2500.0),
    ("hold_up_process", 2500.0),
)


class Day:
    """One generated day of one sidecar; `lines` is the trace of what it decided."""

    def __init__(self, revision, seed):
        self.revision, self.rng, self.lines = revision, random.Random(seed), []
        self.now, self.queue, self.order = 1000.0 + self.rng.random(), [], itertools.count()
        self.raw_settings = drawn_settings(self.rng)
        self.servers = [Server(n, self.rng) for n in range(self.rng.choice([4, 12, 24]))]
        self.numbers = itertools.count(self.rng.randrange(1000))
        self.rate = self.rng.choice([0.02, 0.08, 0.15])  # requests a millisecond
        self.spent_cpu = self.held_up_until = 0.0
        self.births = 0
        self.start()
        for what, mean_ms in EVERY:
            if mean_ms is None:
                self.later(self.rng.expovariate(self.rate), what)
            else:
                self.later(self.rng.expovariate(1.0 / mean_ms), "repeat", what, mean_ms)

    def run(self):
        """Play the day to its end; the trace."""
        until = self.now + DAY_MS
        while self.queue[0][0] <= until:
            due, _, birth, what, args = heapq.heappop(self.queue)
            self.now = max(due, self.held_up_until)
            if birth in (None, self.births):
                getattr(self, what)(*args)
        self.now += LONG_QUIET_MS
        self.list_all()
        for _ in range(50):
            self.now += 10.0
            self.send_request()
        self.lines.append(repr(list(self.revision.get(self.balancer, "refusals").values())))
        return "\n".join(self.lines)

    def later(self, delay, what, *args, birth=None):
        heapq.heappush(self.queue, (self.now + delay, next(self.order), birth, what, args))

    def repeat(self, what, mean):
        self.later(self.rng.expovariate(1.0 / mean), "repeat", what, mean)
        getattr(self, what)()

    def step(self, event, *args):
        """Give the sidecar an event and carry out what it decides."""
        step = self.revision.step(self.balancer, event, args)
        begun = time.process_time()
        actions = step(self.now)
        self.spent_cpu += time.process_time() - begun
        self.lines.append(f"{self.now!r} {event}")
        for action in actions:
            kind = self.revision.kind(action)
            self.lines.append(f"  {kind}({', '.join(map(repr, self.revision.printed(action)))})")
            handler = getattr(self, f"on_{kind.lower()}", None)
            if handler is not None:
                handler(*action)

    # --- the sidecar and its lists

    def start(self):
        self.births += 1
        self.out, self.ended, self.hops, self.tries = {}, set(), Counter(), {}
        for server in self.servers:
            server.held = 0
        self.balancer = self.revision.balancer(self.now, self.raw_settings, self.rng.getrandbits(40))
        known = [self.listing(server) for server in self.servers if self.rng.random() < 0.8]
        self.step("server_list", "remembered", known)
        self.step("server_list", "all", [self.listing(s) for s in self.servers if s.state == "active"])

    def restart(self):
        if self.births < 3:
            self.start()

    def listing(self, server):
        weight = self.rng.choice([server.weight] * 19 + [0.0, math.nan])
        place = (server.zone, server.kind, server.cell)
        return self.revision.make("EndpointEntry", server.name, *place, server.state, weight, server.started)

    def change_servers(self):
        changed = self.rng.sample(self.servers, self.rng.choice([1, 1, 2, len(self.servers) // 2]))
        for server in changed:
            server.state = self.rng.choice(["active"] * 4 + ["leaving", "left"])
            if server.state == "active":
                server.started = self.rng.choice([server.started, self.now, self.now - 700.0])
        if self.rng.random() < 0.1:
            self.servers.append(Server(len(self.servers), self.rng))
        self.step("server_list", "changes", [self.listing(server) for server in changed])

    def list_all(self):
        kept = [s for s in self.servers if s.state == "active" and self.rng.random() < 0.95]
        self.step("server_list", "all", [self.listing(server) for server in kept])

    def fail_discovery(self):
        self.step("server_list", "refused", [])

    def on_watch(self, on):
        if self.rng.random() < 0.3:
            self.later(30.0, "fail_discovery", birth=self.births)
        else:
            self.later(30.0, "change_servers", birth=self.births)

    def reload_settings(self):
        before, other = self.raw_settings, drawn_settings(self.rng)
        other["Tenants"] = before["Tenants"]  # like zones and kinds, told at the start alone
        if self.rng.random() < 0.6:
            other["Profiles"] = []
        other["Profiles"] += before["Profiles"][len(other["Profiles"]) :]  # requests may name them still
        kept = [slot for slot in range(len(before["Profiles"])) if self.rng.random() < 0.7]
        self.raw_settings = other
        self.step("reload", self.revision.settings(other), kept)

    def replace_steering(self):
        draw, zones = self.rng.choice, range(-1, 4)
        shares = {zone: draw([0.0, 0.02, 0.3, 1.0, 5.0, -1.0, math.nan, math.inf]) for zone in zones}
        some = {zone for zone in zones if self.rng.random() < 0.15}
        steer = (
            draw([{}, shares, {0: 0.9, 1: 0.1}]),
            {0: draw([{}, shares])},
            {1: shares},
            frozenset(draw([set(), some])),
            frozenset(draw([set(), {draw(self.servers).name}])),
            draw([{}, {0: 3.0}, {1: math.nan}]),
            draw([0.0, 0.5, 1.0, 3.0]),
            draw([0.0, 0.5]),
            draw([{}, {}, {0: 1, 2: -1}]),
        )
        self.step("steer", self.revision.make("SteeringDirectives", *steer))

    # --- clients

    def arrive(self):
        self.later(self.rng.expovariate(self.rate), "arrive")
        self.send_request()

    def burst(self):
        for _ in range(self.rng.choice([3, 30, 150])):
            self.later(200.0 * self.rng.random(), "send_request")

    def hold_up_process(self):
        self.held_up_until = self.now + HELD_UP_MS

    def change_rate(self):
        self.rate = self.rng.choice([0.003, 0.02, 0.08, 0.15, 0.3])

    def send_request(self):
        profiles = self.raw_settings["Profiles"]
        number, band = next(self.numbers), self.rng.randrange(len(profiles))
        left = profiles[band]["Deadline"] * self.rng.choice([0.02, 0.4, 0.9, 1.0, 1.0])
        give_up_at = math.inf if self.rng.random() < 0.01 else self.now + left
        key = None if self.rng.random() < 0.3 else min(int(self.rng.paretovariate(0.6)), 2**50)
        work = self.rng.choice([None, 5.0, 10.0, 30.0, 300.0, math.inf])
        large = self.rng.random() < 0.05
        flags = (self.rng.random() < 0.1, self.rng.random() < 0.1, large)
        self.tries[number] = (band, work or 10.0)
        made = (number, band, give_up_at, self.rng.randrange(4), key, work, *flags)
        self.step("request", self.revision.make("RequestArrived", *made))
        if large:
            self.later(20.0, "discard_body", number, birth=self.births)

    def discard_body(self, number):
        self.step("body_gone", number)

    def client_leaves(self):
        held = [number for number in self.tries if number not in self.ended]
        if held:
            number = self.rng.choice(held)
            self.ended.add(number)
            self.step("client_gone", number)

    # --- servers

    def disturb_servers(self):
        if self.rng.random() < 0.15:  # one fault for many: an overload, a lost zone
            fault, zone = self.rng.choice(["full", "slow", "silent", "error"]), self.rng.randrange(3)
            for server in self.servers:
                server.fault = fault if server.zone == zone or self.rng.random() < 0.4 else None
        else:
            fault = self.rng.choice(
                [None, None, None, "slow", "silent", "full", "error", "reset", "no_connect"]
            )
            self.rng.choice(self.servers).fault = fault
        self.later(2500.0, "mend_servers")

    def mend_servers(self):
        for server in self.servers:
            if self.rng.random() < 0.7:
                server.fault = None

    def on_send(self, number, name, timeout, write_by):
        server = next(server for server in self.servers if server.name == name)
        attempt = (number, self.hops[number])
        self.hops[number] += 1
        self.out[attempt] = (server, self.now)
        band, work = self.tries[number]
        if self.rng.random() < 0.01:
            self.later(0.5, "never_sent", attempt, birth=self.births)
            return
        self.later(timeout if timeout < math.inf else 1e9, "end_attempt", attempt, TIMEOUT, birth=self.births)
        gap, server.used_at = self.now - server.used_at, self.now
        server.held += 1
        if gap > 400.0 and self.rng.random() < 0.2:  # a connection that was dropped while it was idle
            self.later(0.4, "end_attempt", attempt, RESET, birth=self.births)
            return
        quick = {"full": FULL, "error": ERROR, "no_connect": CONNECT_FAILED}
        if server.fault in quick or server.held > 20:
            self.later(1.0, "end_attempt", attempt, quick.get(server.fault, FULL), birth=self.births)
        elif server.fault == "reset":
            self.later(9.0 * self.rng.random(), "end_attempt", attempt, RESET, birth=self.births)
        elif server.fault != "silent":
            took = min(work, 300.0) * (0.5 + self.rng.random()) * (1.0 + 0.3 * server.held)
            took *= (1.0 + 0.5 * server.kind) * (12.0 if server.fault == "slow" else 1.0)
            if self.raw_settings["Profiles"][band]["Streaming"]:
                self.later(0.3 * took, "start_answer", attempt, birth=self.births)
            status = self.rng.choices([OK, ERROR, RESET], [0.97, 0.02, 0.01])[0]
            self.later(took, "end_attempt", attempt, status, birth=self.births)

    def never_sent(self, attempt):
        if attempt in self.out:
            if self.rng.random() < 0.5:
                self.step("unsent", *attempt)
            self.end_attempt(attempt, UNSENT)

    def start_answer(self, attempt):
        if attempt in self.out and attempt[0] not in self.ended:
            self.ended.add(attempt[0])
            self.step("answer_started", *attempt)

    def end_attempt(self, attempt, status):
        if attempt not in self.out:
            return
        server, sent = self.out.pop(attempt)
        server.held -= 1
        if status == OK:
            self.ended.add(attempt[0])
        held = float(server.held)
        figures = [None, {"inflight": held}, {"inflight": held}, {"queue": held, "util": 0.5, "x": 1.0}]
        report = self.rng.choice([*figures, {"inflight": math.nan}])
        spent = self.rng.choice([self.now - sent] * 99 + [math.nan])
        self.step("outcome", *attempt, status, spent, attempt[0] in self.ended, report)

    def on_cancel(self, number, hop):
        self.later(0.3, "end_attempt", (number, hop), CANCELLED, birth=self.births)

    def on_refuse(self, number, retry_after):
        self.ended.add(number)
        if self.rng.random() < 0.3:
            self.later(60.0 + retry_after, "send_request", birth=self.births)

    def on_fail(self, number):
        self.ended.add(number)

    def on_timer(self, delay, token, request):
        self.later(max(delay, 0.01), "timer_due", token, birth=self.births)

    def timer_due(self, token):
        self.step("timer", token)

    # --- what changes nothing today, and what names nothing that is known

    def peer_message(self):
        self.step("peer_message", self.rng.randrange(20), self.rng.randbytes(8))

    def check_health(self):
        status, held = self.rng.choice([OK, OK, FULL, TIMEOUT]), {"inflight": 4.0}
        self.step("probe_result", self.rng.choice(self.servers).name, status, 2.0, held)

    def name_unknown(self):
        number = 2**40 + next(self.order)
        self.step("client_gone", number)
        self.step("outcome", number, 0, OK, 1.0, True, None)
        self.step("answer_started", number, 0)
        self.step("timer", "other:1")
        try:
            self.step("request", self.revision.make("RequestArrived", number, 99, self.now + 100.0))
        except ValueError:
            self.lines.append("no such class")


def trace(seed):
    """The trace of one day, of the decision package that is importable here."""
    return Day(Revision(), seed).run()


def digest(text):
    """A short name for a trace."""
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def fixed_cost(seeds):
    """Processor seconds that the decisions of these days take."""
    days = [Day(Revision(), seed) for seed in range(seeds)]
    for day in days:
        day.run()
    return sum(day.spent_cpu for day in days)


def _folder(stack, name):
    """The folder of a revision, unpacked first if it is named by its commit."""
    if Path(name).is_dir():
        return str(Path(name).resolve())
    archive = subprocess.run(["git", "archive", name], capture_output=True, check=True).stdout
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    with tarfile.open(fileobj=BytesIO(archive)) as packed:
        packed.extractall(folder, filter="data")
    return folder


def _played(folder, *words):
    """What this script prints in a process that imports the revision in `folder`."""
    env = {**os.environ, "PYTHONPATH": folder, "PYTHONHASHSEED": "0"}
    command = [sys.executable, "-P", str(Path(__file__).resolve()), *words]
    return subprocess.run(command, capture_output=True, text=True, check=True, env=env, cwd=folder).stdout


def _differs(seed, old, new):
    """Say whether two traces of a day are the same, and where they part; whether they differ."""
    if old == new:
        print(f"seed {seed}: same, {len(old.splitlines())} lines, {digest(old)}")
        return False
    pairs = itertools.zip_longest(old.splitlines(), new.splitlines(), fillvalue="(ends)")
    number, (was, now) = next((n, pair) for n, pair in enumerate(pairs, 1) if pair[0] != pair[1])
    print(f"seed {seed}: differs from line {number} on\n  old {was}\n  new {now}")
    return True


def main():
    """Compare two revisions, or (for the processes that this starts) play one."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("revisions", nargs="*", metavar="REVISION")
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--times", type=int, default=0)
    parser.add_argument("--play", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--cost", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.play is not None:
        sys.stdout.write(trace(options.play))
        return 0
    if options.cost:
        print(fixed_cost(options.seeds))
        return 0
    if len(options.revisions) != 2:
        parser.error("two revisions are compared")
    with contextlib.ExitStack() as stack:
        folders = [_folder(stack, name) for name in options.revisions]
        pairs = ((seed, *(_played(f, "--play", str(seed)) for f in folders)) for seed in range(options.seeds))
        differing = sum([_differs(*pair) for pair in pairs])
        costs = [[], []]
        for _ in range(options.times):
            for folder, taken in zip(folders, costs, strict=True):
                taken.append(float(_played(folder, "--cost", "--seeds", str(options.seeds))))
        for name, taken in zip(options.revisions, costs, strict=True):
            if taken:
                print(f"{name}: least {min(taken):.3f} s, median {statistics.median(taken):.3f} s of CPU")
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main())
