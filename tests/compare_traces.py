"""Play the same generated days with the balancers of two revisions and compare their actions byte for byte.

    python tests/compare_traces.py OLD NEW [--seeds 10] [--times 0]

OLD and NEW are folders that contain a revision, or names of revisions, which are unpacked into a temporary
folder. Each day is a function of its seed and of the actions so far. It has changing lists, arrivals of
several classes with and without keys, outcomes of all kinds with and without load reports, timers, peer
messages, steering, reloads, clients that leave, large bodies, zones, slow start and ejection. The script uses
the public interface of each revision, which is one `step` with a typed event, or in earlier revisions one
method per event with its values by position. The tables below map each current name to its earlier names.
Timers are printed as their tags in the simulator's line protocol. The exit code is 1 if any trace differs.

With `--times N`, the processor time of all days is also measured, N times for each revision alternately.
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

SEEDS = 10  # Number of generated days
DAY_MS = 40_000.0  # Length of a day in milliseconds
LONG_QUIET_MS = 700_000.0  # Longer than the records of servers that left are kept, in milliseconds
STALL_MS = 150.0  # Time in milliseconds for which the process is stalled now and then

# Names of the balancer package, and all names of what has been renamed; the newest name is first.
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
# Names of the actions. A trace contains the oldest name of each, so that traces of all revisions are
# comparable.
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
# The event for each method of earlier revisions whose parameters are the fields of the event.
EVENTS = {
    "unsent": "AttemptWithdrawn",
    "answer_started": "AnswerStarted",
    "body_gone": "BodyDiscarded",
    "client_gone": "ClientLeft",
    "peer_message": "PeerMessageReceived",
    "reload": "SettingsReloaded",
    "steer": "SteeringChanged",
}
# The outcomes of attempts, by their numbers in all revisions.
OK, ERROR, REJECTED, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, ABANDONED = range(8)


class Revision:
    """The balancer package that can be imported in this process, under any of its names.

    `events` is its module of typed events, and `simulator` the module that converts timer tokens to tags.
    Each is None in revisions that do not have the module yet.
    """

    def __init__(self):
        for package in PACKAGES:
            with contextlib.suppress(ImportError):
                self.package = importlib.import_module(package)
                self.model = importlib.import_module(f"{package}.model")
                break
        self.events = self.simulator = None
        with contextlib.suppress(ImportError):
            self.events = importlib.import_module(f"{self.package.__name__}.events")
            simulator = importlib.import_module("brassfall.simulator")
            self.simulator = simulator if hasattr(simulator, "timer_token") else None
        self._kinds = {
            getattr(self.model, known): NAMES[name][-1]
            for name in ACTIONS
            for known in NAMES[name]
            if hasattr(self.model, known)
        }

    def make(self, name, *args):
        """Return an instance of an interface class, with its fields by position."""
        in_events = self.events is not None and hasattr(self.events, name)
        return self.get(self.events if in_events else self.model, name)(*args)

    def step(self, balancer, name, args):
        """Return a function of the time that passes an event, by its earlier method's name, to a balancer."""
        if self.events is None:
            method = self.get(balancer, name)
            return lambda now: method(now, *args)
        event = self.event(name, args)
        return (lambda now: balancer.step(now, event)) if event is not None else (lambda now: [])

    def event(self, name, args):
        """Return the typed event for a call of an earlier method; None for an unknown timer tag."""
        events, model = self.events, self.model
        if name == "request":
            return args[0]
        if name == "outcome":
            number, attempt, outcome, *rest = args
            return events.AttemptEnded(number, attempt, model.Outcome(outcome), *rest)
        if name == "server_list":
            form, entries = args
            refused = form == "refused"
            return (
                events.DiscoveryFailed()
                if refused
                else self.get(events, "EndpointListReceived")(model.ListForm(form), entries)
            )
        if name == "probe_result":
            server, outcome, *rest = args
            return events.HealthCheckEnded(server, model.Outcome(outcome), *rest)
        if name == "timer":
            (token,) = args
            if self.simulator is not None and isinstance(token, str):
                token = self.simulator.parse_timer(token)
            return events.TimerDue(token) if token is not None else None
        return getattr(events, EVENTS[name])(*args)

    def printed(self, action):
        """Return the fields of an action for the trace; a timer token is replaced by its tag."""
        if self.simulator is not None and isinstance(action, self.get(self.model, "StartTimer")):
            return action._replace(token=self.simulator.timer_token(action.token))
        return action

    def settings(self, raw):
        """Return the settings parsed from their JSON form."""
        return self.get(self.get(self.package, "Settings"), "parse")(raw)

    def balancer(self, now, raw, seed):
        """Return a new balancer."""
        return self.get(self.package, "Balancer")(now, self.settings(raw), seed)

    def kind(self, action):
        """Return the oldest name of the class of an action."""
        return self._kinds[type(action)]

    @staticmethod
    def get(owner, name):
        """Return an attribute of `owner` by the newest of its names that `owner` has."""
        return next(getattr(owner, known) for known in NAMES.get(name, (name,)) if hasattr(owner, known))


def drawn_settings(rng):
    """Return random valid settings; together they make use of all components of the balancer."""
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
    """A model of a server, which is slower with more requests and is faulty at random times."""

    def __init__(self, number, rng):
        self.name, self.zone, self.kind, self.cell = f"s{number:02}", number % 3, number % 2, number // 3
        self.weight = rng.choice([1.0, 1.0, 2.0, 0.5])
        self.started, self.state, self.fault, self.in_flight, self.used_at = 0.0, "active", None, 0, 0.0


# Methods that are called at random times, with the mean interval in milliseconds. The interval of arrivals is
# None, because their rate changes during the day.
INTERVALS = (
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
    ("send_unknown", 2500.0),
    ("stall_process", 2500.0),
)


class Day:
    """One generated day of one sidecar; `lines` is the trace of its events and actions."""

    def __init__(self, revision, seed):
        self.revision, self.rng, self.lines = revision, random.Random(seed), []
        self.now, self.queue, self.order = 1000.0 + self.rng.random(), [], itertools.count()
        self.raw_settings = drawn_settings(self.rng)
        self.servers = [Server(n, self.rng) for n in range(self.rng.choice([4, 12, 24]))]
        self.numbers = itertools.count(self.rng.randrange(1000))
        self.rate = self.rng.choice([0.02, 0.08, 0.15])  # Requests per millisecond
        self.cpu_seconds = self.stalled_until = 0.0
        self.incarnation = 0
        self.start()
        for method, mean_ms in INTERVALS:
            if mean_ms is None:
                self.call_after(self.rng.expovariate(self.rate), method)
            else:
                self.call_after(self.rng.expovariate(1.0 / mean_ms), "repeat", method, mean_ms)

    def run(self):
        """Play the day to its end; return the trace."""
        until = self.now + DAY_MS
        while self.queue[0][0] <= until:
            due, _, incarnation, method, args = heapq.heappop(self.queue)
            self.now = max(due, self.stalled_until)
            if incarnation in (None, self.incarnation):
                getattr(self, method)(*args)
        self.now += LONG_QUIET_MS
        self.list_all()
        for _ in range(50):
            self.now += 10.0
            self.send_request()
        self.lines.append(repr(list(self.revision.get(self.balancer, "refusals").values())))
        return "\n".join(self.lines)

    def call_after(self, delay, method, *args, incarnation=None):
        """Schedule a call of a method, by name, unless another incarnation of the sidecar runs by then."""
        heapq.heappush(self.queue, (self.now + delay, next(self.order), incarnation, method, args))

    def repeat(self, method, mean_ms):
        """Call a method and schedule its next call after a random interval."""
        self.call_after(self.rng.expovariate(1.0 / mean_ms), "repeat", method, mean_ms)
        getattr(self, method)()

    def step(self, event, *args):
        """Pass an event to the balancer, add it and the actions to the trace, and carry out the actions."""
        step = self.revision.step(self.balancer, event, args)
        started_at = time.process_time()
        actions = step(self.now)
        self.cpu_seconds += time.process_time() - started_at
        self.lines.append(f"{self.now!r} {event}")
        for action in actions:
            kind = self.revision.kind(action)
            self.lines.append(f"  {kind}({', '.join(map(repr, self.revision.printed(action)))})")
            handler = getattr(self, f"on_{kind.lower()}", None)
            if handler is not None:
                handler(*action)

    # --- the sidecar and its endpoint lists

    def start(self):
        """Start a new incarnation of the sidecar with its endpoint lists."""
        self.incarnation += 1
        # Attempts in flight, requests with a final answer, number of attempts by request, and requests by
        # number.
        self.in_flight, self.ended, self.attempt_counts, self.requests = {}, set(), Counter(), {}
        for server in self.servers:
            server.in_flight = 0
        self.balancer = self.revision.balancer(self.now, self.raw_settings, self.rng.getrandbits(40))
        configured = [self.entry(server) for server in self.servers if self.rng.random() < 0.8]
        self.step("server_list", "remembered", configured)
        self.step("server_list", "all", [self.entry(s) for s in self.servers if s.state == "active"])

    def restart(self):
        if self.incarnation < 3:
            self.start()

    def entry(self, server):
        """Return the entry of a server in the endpoint list, sometimes with an invalid weight."""
        weight = self.rng.choice([server.weight] * 19 + [0.0, math.nan])
        location = (server.zone, server.kind, server.cell)
        return self.revision.make(
            "EndpointEntry", server.name, *location, server.state, weight, server.started
        )

    def change_servers(self):
        changed = self.rng.sample(self.servers, self.rng.choice([1, 1, 2, len(self.servers) // 2]))
        for server in changed:
            server.state = self.rng.choice(["active"] * 4 + ["leaving", "left"])
            if server.state == "active":
                server.started = self.rng.choice([server.started, self.now, self.now - 700.0])
        if self.rng.random() < 0.1:
            self.servers.append(Server(len(self.servers), self.rng))
        self.step("server_list", "changes", [self.entry(server) for server in changed])

    def list_all(self):
        listed = [s for s in self.servers if s.state == "active" and self.rng.random() < 0.95]
        self.step("server_list", "all", [self.entry(server) for server in listed])

    def fail_discovery(self):
        self.step("server_list", "refused", [])

    def on_watch(self, on):
        if self.rng.random() < 0.3:
            self.call_after(30.0, "fail_discovery", incarnation=self.incarnation)
        else:
            self.call_after(30.0, "change_servers", incarnation=self.incarnation)

    def reload_settings(self):
        before, other = self.raw_settings, drawn_settings(self.rng)
        other["Tenants"] = before["Tenants"]  # Tenants, zones and kinds can't change after the start
        if self.rng.random() < 0.6:
            other["Profiles"] = []
        # Open requests may still have these classes.
        other["Profiles"] += before["Profiles"][len(other["Profiles"]) :]
        retained = [index for index in range(len(before["Profiles"])) if self.rng.random() < 0.7]
        self.raw_settings = other
        self.step("reload", self.revision.settings(other), retained)

    def replace_steering(self):
        draw, zones = self.rng.choice, range(-1, 4)
        shares = {zone: draw([0.0, 0.02, 0.3, 1.0, 5.0, -1.0, math.nan, math.inf]) for zone in zones}
        excluded_zones = {zone for zone in zones if self.rng.random() < 0.15}
        steer = (
            draw([{}, shares, {0: 0.9, 1: 0.1}]),
            {0: draw([{}, shares])},
            {1: shares},
            frozenset(draw([set(), excluded_zones])),
            frozenset(draw([set(), {draw(self.servers).name}])),
            draw([{}, {0: 3.0}, {1: math.nan}]),
            draw([0.0, 0.5, 1.0, 3.0]),
            draw([0.0, 0.5]),
            draw([{}, {}, {0: 1, 2: -1}]),
        )
        self.step("steer", self.revision.make("SteeringDirectives", *steer))

    # --- clients

    def arrive(self):
        self.call_after(self.rng.expovariate(self.rate), "arrive")
        self.send_request()

    def burst(self):
        for _ in range(self.rng.choice([3, 30, 150])):
            self.call_after(200.0 * self.rng.random(), "send_request")

    def stall_process(self):
        """Delay all calls that are due within the next `STALL_MS`, as if the process had been stalled."""
        self.stalled_until = self.now + STALL_MS

    def change_rate(self):
        self.rate = self.rng.choice([0.003, 0.02, 0.08, 0.15, 0.3])

    def send_request(self):
        profiles = self.raw_settings["Profiles"]
        number, request_class = next(self.numbers), self.rng.randrange(len(profiles))
        time_left = profiles[request_class]["Deadline"] * self.rng.choice([0.02, 0.4, 0.9, 1.0, 1.0])
        give_up_at = math.inf if self.rng.random() < 0.01 else self.now + time_left
        key = None if self.rng.random() < 0.3 else min(int(self.rng.paretovariate(0.6)), 2**50)
        work = self.rng.choice([None, 5.0, 10.0, 30.0, 300.0, math.inf])
        large = self.rng.random() < 0.05
        flags = (self.rng.random() < 0.1, self.rng.random() < 0.1, large)
        self.requests[number] = (request_class, work or 10.0)
        fields = (number, request_class, give_up_at, self.rng.randrange(4), key, work, *flags)
        self.step("request", self.revision.make("RequestArrived", *fields))
        if large:
            self.call_after(20.0, "discard_body", number, incarnation=self.incarnation)

    def discard_body(self, number):
        self.step("body_gone", number)

    def client_leaves(self):
        open_requests = [number for number in self.requests if number not in self.ended]
        if open_requests:
            number = self.rng.choice(open_requests)
            self.ended.add(number)
            self.step("client_gone", number)

    # --- servers

    def disturb_servers(self):
        """Make one server faulty, or sometimes many at once, as in an overload or the loss of a zone."""
        if self.rng.random() < 0.15:
            fault, zone = self.rng.choice(["full", "slow", "silent", "error"]), self.rng.randrange(3)
            for server in self.servers:
                server.fault = fault if server.zone == zone or self.rng.random() < 0.4 else None
        else:
            fault = self.rng.choice(
                [None, None, None, "slow", "silent", "full", "error", "reset", "no_connect"]
            )
            self.rng.choice(self.servers).fault = fault
        self.call_after(2500.0, "repair_servers")

    def repair_servers(self):
        for server in self.servers:
            if self.rng.random() < 0.7:
                server.fault = None

    def on_send(self, number, name, timeout, write_by):
        server = next(server for server in self.servers if server.name == name)
        attempt = (number, self.attempt_counts[number])
        self.attempt_counts[number] += 1
        self.in_flight[attempt] = (server, self.now)
        request_class, work = self.requests[number]
        if self.rng.random() < 0.01:
            self.call_after(0.5, "abandon_attempt", attempt, incarnation=self.incarnation)
            return
        self.call_after(
            timeout if timeout < math.inf else 1e9,
            "end_attempt",
            attempt,
            TIMEOUT,
            incarnation=self.incarnation,
        )
        idle_ms, server.used_at = self.now - server.used_at, self.now
        server.in_flight += 1
        if idle_ms > 400.0 and self.rng.random() < 0.2:  # The connection was dropped while it was idle
            self.call_after(0.4, "end_attempt", attempt, RESET, incarnation=self.incarnation)
            return
        immediate = {"full": REJECTED, "error": ERROR, "no_connect": CONNECT_FAILED}
        if server.fault in immediate or server.in_flight > 20:
            self.call_after(
                1.0,
                "end_attempt",
                attempt,
                immediate.get(server.fault, REJECTED),
                incarnation=self.incarnation,
            )
        elif server.fault == "reset":
            self.call_after(
                9.0 * self.rng.random(), "end_attempt", attempt, RESET, incarnation=self.incarnation
            )
        elif server.fault != "silent":
            elapsed = min(work, 300.0) * (0.5 + self.rng.random()) * (1.0 + 0.3 * server.in_flight)
            elapsed *= (1.0 + 0.5 * server.kind) * (12.0 if server.fault == "slow" else 1.0)
            if self.raw_settings["Profiles"][request_class]["Streaming"]:
                self.call_after(0.3 * elapsed, "start_answer", attempt, incarnation=self.incarnation)
            outcome = self.rng.choices([OK, ERROR, RESET], [0.97, 0.02, 0.01])[0]
            self.call_after(elapsed, "end_attempt", attempt, outcome, incarnation=self.incarnation)

    def abandon_attempt(self, attempt):
        if attempt in self.in_flight:
            if self.rng.random() < 0.5:
                self.step("unsent", *attempt)
            self.end_attempt(attempt, ABANDONED)

    def start_answer(self, attempt):
        if attempt in self.in_flight and attempt[0] not in self.ended:
            self.ended.add(attempt[0])
            self.step("answer_started", *attempt)

    def end_attempt(self, attempt, outcome):
        if attempt not in self.in_flight:
            return
        server, sent_at = self.in_flight.pop(attempt)
        server.in_flight -= 1
        if outcome == OK:
            self.ended.add(attempt[0])
        load = float(server.in_flight)
        reports = [None, {"inflight": load}, {"inflight": load}, {"queue": load, "util": 0.5, "x": 1.0}]
        report = self.rng.choice([*reports, {"inflight": math.nan}])
        elapsed = self.rng.choice([self.now - sent_at] * 99 + [math.nan])
        self.step("outcome", *attempt, outcome, elapsed, attempt[0] in self.ended, report)

    def on_cancel(self, number, index):
        self.call_after(0.3, "end_attempt", (number, index), CANCELLED, incarnation=self.incarnation)

    def on_refuse(self, number, retry_after):
        self.ended.add(number)
        if self.rng.random() < 0.3:
            self.call_after(60.0 + retry_after, "send_request", incarnation=self.incarnation)

    def on_fail(self, number):
        self.ended.add(number)

    def on_timer(self, delay, token, request):
        self.call_after(max(delay, 0.01), "timer_due", token, incarnation=self.incarnation)

    def timer_due(self, token):
        self.step("timer", token)

    # --- events that have no effect, and events about unknown requests and timers

    def peer_message(self):
        self.step("peer_message", self.rng.randrange(20), self.rng.randbytes(8))

    def check_health(self):
        outcome, report = self.rng.choice([OK, OK, REJECTED, TIMEOUT]), {"inflight": 4.0}
        self.step("probe_result", self.rng.choice(self.servers).name, outcome, 2.0, report)

    def send_unknown(self):
        """Pass events about a request, a timer and a class that the balancer does not know."""
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
    """Return the trace of one day with the balancer package that can be imported in this process."""
    return Day(Revision(), seed).run()


def digest(text):
    """Return a hash that identifies a trace."""
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def cpu_cost(seeds):
    """Return the processor seconds that the balancer uses on the days of the first `seeds` seeds."""
    days = [Day(Revision(), seed) for seed in range(seeds)]
    for day in days:
        day.run()
    return sum(day.cpu_seconds for day in days)


def _unpacked_folder(stack, name):
    """Return the folder of a revision; unpack the revision if `name` is no folder."""
    if Path(name).is_dir():
        return str(Path(name).resolve())
    archive = subprocess.run(["git", "archive", name], capture_output=True, check=True).stdout
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    with tarfile.open(fileobj=BytesIO(archive)) as packed:
        packed.extractall(folder, filter="data")
    return folder


def _run_with(folder, *arguments):
    """Return the output of this script in a process that imports the revision in `folder`."""
    env = {**os.environ, "PYTHONPATH": folder, "PYTHONHASHSEED": "0"}
    command = [sys.executable, "-P", str(Path(__file__).resolve()), *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=True, env=env, cwd=folder).stdout


def _differs(seed, old, new):
    """Return whether two traces of a day differ, and print where the difference begins."""
    if old == new:
        print(f"seed {seed}: same, {len(old.splitlines())} lines, {digest(old)}")
        return False
    pairs = itertools.zip_longest(old.splitlines(), new.splitlines(), fillvalue="(ends)")
    number, (old_line, new_line) = next((n, pair) for n, pair in enumerate(pairs, 1) if pair[0] != pair[1])
    print(f"seed {seed}: differs from line {number} on\n  old {old_line}\n  new {new_line}")
    return True


def main():
    """Compare two revisions, or play one in a process that a comparison has started."""
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
        print(cpu_cost(options.seeds))
        return 0
    if len(options.revisions) != 2:
        parser.error("exactly two revisions are required")
    with contextlib.ExitStack() as stack:
        folders = [_unpacked_folder(stack, name) for name in options.revisions]
        pairs = (
            (seed, *(_run_with(f, "--play", str(seed)) for f in folders)) for seed in range(options.seeds)
        )
        differing = sum([_differs(*pair) for pair in pairs])
        costs = [[], []]  # Processor seconds of each measurement, for each revision
        for _ in range(options.times):
            for folder, taken in zip(folders, costs, strict=True):
                taken.append(float(_run_with(folder, "--cost", "--seeds", str(options.seeds))))
        for name, taken in zip(options.revisions, costs, strict=True):
            if taken:
                print(f"{name}: least {min(taken):.3f} s, median {statistics.median(taken):.3f} s of CPU")
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main())
