"""Tests of servers in slow start under the load of many sidecars, whose balancers share one simulated clock.

A recently started server collapses if it is sent more than N requests within a time span, where N is the
collapse multiple times the capacity at the time times the span. Another 2 times the square root of N, plus 2
requests, are allowed for random variation.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
import random
from collections import Counter, deque

import pytest

from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import (
    AttemptEnded,
    EndpointListReceived,
    RequestArrived,
    SettingsReloaded,
    TimerDue,
)
from brassfall.balancer.model import (
    EndpointEntry,
    FailRequest,
    ListForm,
    Outcome,
    RefuseRequest,
    SendAttempt,
    StartTimer,
)
from tests.support.helpers import attempt_answered, of_type, raw_settings

# Settings of slow start: collapse multiple, time span, capacity share at the start and warm-up time.
MULTIPLE, SPAN, START_SHARE, WARM_UP = 4.0, 2000.0, 0.12, 22_000.0
RULES = {"ColdFrom": START_SHARE, "WarmUp": WARM_UP, "FallMultiple": MULTIPLE, "OverloadFor": SPAN}
WORK_MS = 200.0  # Mean time of a request on a server, which has one core
OBJECTIVE, DEADLINE, MAX_TRIES = 800.0, 2000.0, 3
SLOTS = 8  # Largest number of requests that a server has at the same time
FLEETS = [20, 30, 200]  # Numbers of sidecars


def new_balancer(me, sidecars, seed):
    """Return a balancer of the sidecar `me` in a fleet of `sidecars` sidecars."""
    raw = raw_settings("safe", Me=me, Balancers=sidecars, Rules=RULES)
    raw["Profiles"] = [{"Semantics": "pure", "Objective": OBJECTIVE, "Deadline": DEADLINE}]
    raw["Report"] = {"How": "inline", "Fields": ["inflight"]}
    return Balancer(0.0, Settings.parse(raw), seed)


def capacity_share(age):
    """Return the share of its full capacity that a server has at an age in milliseconds since its start."""
    return min(1.0, START_SHARE + (1.0 - START_SHARE) * age / WARM_UP)


def allowed_requests(age, per_ms=1.0 / WORK_MS):
    """Return how many requests a server of this age may get within a span, with a margin for chance."""
    requests = MULTIPLE * capacity_share(age) * per_ms * SPAN
    return requests + 2.0 * math.sqrt(requests) + 2.0


class Server:
    """A server with one core, which rejects requests beyond `SLOTS`."""

    def __init__(self, started=None):
        self.started = started
        self.is_up = True
        self.requests = 0  # Number of requests that the server has
        self.free_at = 0.0  # When the server has finished all its requests
        self.sent = []  # Times of the attempts that reached the server

    def age(self, now):
        return WARM_UP if self.started is None else now - self.started

    def highest_load(self):
        """Return the highest number of requests in a span of slow start, as a share of what is allowed."""
        worst, window = 0.0, deque()
        for at in self.sent:
            window.append(at)
            while window[0] <= at - SPAN:
                window.popleft()
            if self.age(at) < WARM_UP:
                worst = max(worst, len(window) / allowed_requests(self.age(at)))
        return worst


class Fleet:
    """A fleet of sidecars, a tenth of which has several times the mean load, with servers and clients."""

    def __init__(self, sidecars, servers, share, seed):
        self.rng = random.Random(seed)
        # The heap of scheduled calls, their order and the numbers of the requests.
        self.calls, self.order, self.numbers = [], itertools.count(), itertools.count(1)
        # Servers by name, entries of the endpoint list by name, and first send and tries of open requests.
        self.servers, self.listed, self.open_requests = {}, {}, {}
        self.rate = share * servers / WORK_MS
        weights = [4.0 if n % 10 == 3 else self.rng.uniform(0.3, 1.3) for n in range(sidecars)]
        self.cumulative_weights = [*itertools.accumulate(weights)]
        self.balancers = [new_balancer(me, sidecars, seed * 1000 + me) for me in range(sidecars)]
        self.incarnations = [0] * sidecars
        self.attempts = Counter()  # Number of attempts by request
        self.arrived = self.served = 0  # Numbers of requests that arrived and that were served in time
        for _ in range(servers):
            self.start_server(0.0, None)
        for me in range(sidecars):
            self.restart_sidecar(0.0, me)
        self.call_at(0.0, self.arrive)

    def call_at(self, time, method, *args):
        """Schedule a call of a method at a time of the simulated clock."""
        heapq.heappush(self.calls, (time, next(self.order), method, args))

    def run(self, until):
        """Make all calls that are scheduled up to the time `until`."""
        while self.calls[0][0] <= until:
            now, _, method, args = heapq.heappop(self.calls)
            method(now, *args)

    def start_server(self, now, started):
        # Each server has a new random name, so that a replacement gets another position on the ring.
        name = f"s-{self.rng.getrandbits(32):08x}"
        self.servers[name] = Server(started)
        self.publish(now, EndpointEntry(name, started=started or 0.0))

    def stop_server(self, now, name):
        self.servers[name].is_up = False
        self.publish(now, EndpointEntry(name, state="left"))

    def publish(self, now, entry):
        """Update an entry of the endpoint list, which reaches each sidecar after a random delay."""
        self.listed[entry.server] = entry
        for me in range(len(self.balancers)):
            self.call_at(now + 300.0 * self.rng.random(), self.receive_entry, me, entry)

    def receive_entry(self, now, me, entry):
        self.perform(now, me, self.balancers[me].step(now, EndpointListReceived(ListForm.CHANGES, [entry])))

    def restart_sidecar(self, now, me):
        self.incarnations[me] += 1
        balancer = Balancer(now, self.balancers[me].settings, self.rng.getrandbits(32))
        self.balancers[me] = balancer
        active = [entry for entry in self.listed.values() if entry.state == "active"]
        self.perform(now, me, balancer.step(now, EndpointListReceived(ListForm.COMPLETE, active)))

    def arrive(self, now):
        self.call_at(now + self.rng.expovariate(self.rate), self.arrive)
        self.arrived += 1
        self.send_request(
            now,
            bisect.bisect(self.cumulative_weights, self.rng.random() * self.cumulative_weights[-1]),
            now,
            1,
        )

    def send_request(self, now, me, first_sent_at, tries):
        """Send a request or its retry to the sidecar `me`."""
        number = next(self.numbers)
        self.open_requests[number] = (first_sent_at, tries)
        self.perform(
            now, me, self.balancers[me].step(now, RequestArrived(number, 0, first_sent_at + DEADLINE))
        )

    def perform(self, now, me, actions):
        """Carry out the actions of the balancer of the sidecar `me`."""
        incarnation = self.incarnations[me]
        for action in actions:
            if isinstance(action, SendAttempt):
                index = self.attempts[action.request]
                self.attempts[action.request] += 1
                self.call_at(
                    now + 0.3, self.reach_server, me, incarnation, (action.request, index, now), action
                )
            elif isinstance(action, StartTimer):
                self.call_at(now + action.delay, self.expire_timer, me, incarnation, action.token)
            elif isinstance(action, RefuseRequest | FailRequest):
                first_sent_at, tries = self.open_requests.pop(action.request)
                if tries < MAX_TRIES:
                    self.call_at(
                        now + self.rng.uniform(20.0, 160.0), self.send_request, me, first_sent_at, tries + 1
                    )

    def expire_timer(self, now, me, incarnation, token):
        if incarnation == self.incarnations[me]:
            self.perform(now, me, self.balancers[me].step(now, TimerDue(token)))

    def reach_server(self, now, me, incarnation, attempt, send):
        """Let an attempt reach its server, and schedule its outcome."""
        server = self.servers[send.server]
        sent_at = attempt[2]
        if not server.is_up:
            self.call_at(now, self.end_attempt, me, incarnation, attempt, Outcome.CONNECT_FAILED, None)
            return
        server.sent.append(now)
        if server.requests >= SLOTS:
            self.call_at(now, self.end_attempt, me, incarnation, attempt, Outcome.REJECTED, server)
            return
        server.requests += 1
        started_at = max(now, server.free_at)
        server.free_at = started_at + self.rng.expovariate(1.0 / WORK_MS) / capacity_share(
            server.age(started_at)
        )
        self.call_at(server.free_at, self.finish_request, server)
        late = server.free_at > sent_at + send.timeout
        outcome = Outcome.TIMEOUT if late else Outcome.OK
        ends_at = min(server.free_at, sent_at + send.timeout)
        self.call_at(ends_at, self.end_attempt, me, incarnation, attempt, outcome, None if late else server)

    def finish_request(self, now, server):
        server.requests -= 1

    def end_attempt(self, now, me, incarnation, attempt, outcome, server):
        """Give an attempt its outcome; `server` reports its load unless it is None."""
        if incarnation != self.incarnations[me]:
            return
        number, index, sent_at = attempt
        is_ok = outcome == Outcome.OK
        if is_ok:
            first_sent_at, _ = self.open_requests.pop(number)
            self.served += now - first_sent_at <= OBJECTIVE
        report = {"inflight": float(server.requests)} if server else None
        balancer = self.balancers[me]
        self.perform(
            now,
            me,
            balancer.step(
                now, AttemptEnded(number, index, outcome, now - sent_at, request_ended=is_ok, report=report)
            ),
        )


@pytest.mark.parametrize(("sidecars", "capacity_per_s"), [(20, 0.7), (30, 1.0), (200, 5.0)])
def test_unused_budgets_of_all_sidecars_do_not_overload_a_server_in_slow_start(sidecars, capacity_per_s):
    # 20 s after one of ten equal servers has started, the other servers leave, and each sidecar has more
    # requests to send than before. If each sidecar had saved up one attempt, all together would overload the
    # server.
    interval, start, age = 1000.0 * sidecars / (9.0 * capacity_per_s), 20_000.0, 20_000.0
    sent = []
    for me in range(sidecars):
        balancer = new_balancer(me, sidecars, me)
        names = [f"s{n}" for n in range(10)]
        balancer.step(0.0, EndpointListReceived(ListForm.COMPLETE, [EndpointEntry(name) for name in names]))
        now, number = interval * ((me * 0.618) % 1.0), 0
        listed = False
        while now < start + age:
            if now >= start and not listed:
                listed = True
                balancer.step(
                    now, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("s0", started=start)])
                )
            for send in of_type(balancer.step(now, RequestArrived(number, 0, now + DEADLINE)), SendAttempt):
                sent += [now] * (listed and send.server == "s0")
                balancer.step(
                    now + 300.0,
                    attempt_answered(number, 300.0, in_flight=1.0),
                )
            now, number = now + interval, number + 1
        now = start + age
        gone = [EndpointEntry(name, state="left") for name in names[1:]]
        balancer.step(
            now, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("s0", started=start), *gone])
        )
        for number in range(1000, 1005):
            sent += [now] * len(
                of_type(balancer.step(now, RequestArrived(number, 0, now + DEADLINE)), SendAttempt)
            )
    assert sum(at > start + age - SPAN for at in sent) <= allowed_requests(age, capacity_per_s / 1000.0)


@pytest.mark.parametrize(("sidecars", "servers"), [(20, 120), (30, 120), (200, 60)])
def test_requests_beyond_the_subsets_do_not_overload_servers_in_slow_start(sidecars, servers):
    # All servers are replaced at the same time, and 7 s later 70% of them are lost. A sidecar whose subset
    # has no capacity samples from all servers, so that more sidecars send to a server than have it in their
    # subset.
    fleet = Fleet(sidecars, servers, 0.9, 1)
    old = [*fleet.servers]
    for name in old:
        fleet.call_at(8000.0, fleet.stop_server, name)
        fleet.call_at(8010.0, fleet.start_server, 8010.0)
    fleet.run(15_000.0)
    for name in [*fleet.servers][servers : servers + round(0.7 * servers)]:
        fleet.stop_server(15_000.0, name)
    fleet.run(18_500.0)
    starting = [server for server in fleet.servers.values() if server.started is not None]
    assert 0.1 < max(server.highest_load() for server in starting) <= 1.0


@pytest.mark.parametrize("sidecars", FLEETS)
def test_sidecars_restarted_while_all_servers_are_in_slow_start_serve_what_those_can(sidecars):
    # A restarted sidecar has sent nothing yet, so its budget has to depend on the requests that it refused.
    fleet = Fleet(sidecars, 12, 0.7, 2)
    for name in [*fleet.servers]:
        fleet.call_at(8000.0, fleet.stop_server, name)
        fleet.call_at(8010.0, fleet.start_server, 8010.0)
    for me in range(sidecars):
        fleet.call_at(8400.0 + 2.0 * me, fleet.restart_sidecar, me)
    fleet.run(9000.0)
    arrived_before, served_before = fleet.arrived, fleet.served
    fleet.run(20_000.0)
    starting = [server for server in fleet.servers.values() if server.started is not None]
    assert max(server.highest_load() for server in starting) <= 1.0
    assert fleet.served - served_before > 0.08 * (fleet.arrived - arrived_before)


def test_a_longer_warm_up_after_a_reload_does_not_count_earlier_attempts():
    balancer = new_balancer(0, 1, 1)
    balancer.step(0.0, EndpointListReceived(ListForm.COMPLETE, [EndpointEntry("s0", started=0.5)]))
    for number in range(200):
        now = 25_000.0 + 100.0 * number
        balancer.step(now, RequestArrived(number, 0, now + DEADLINE))
        balancer.step(
            now + 20.0,
            attempt_answered(number, 20.0, in_flight=1.0),
        )
    raw = raw_settings("safe", Rules={**RULES, "WarmUp": 400_000.0})
    balancer.step(45_000.0, SettingsReloaded(Settings.parse(raw), [0]))
    sends = 0
    for number in range(1000, 1040):
        now = 45_000.0 + 100.0 * (number - 1000)
        sends += len(of_type(balancer.step(now, RequestArrived(number, 0, now + DEADLINE)), SendAttempt))
        balancer.step(
            now + 20.0,
            attempt_answered(number, 20.0, in_flight=1.0),
        )
    assert sends > 0
