"""Tests with many sidecars and a server in slow start, with many changes of servers, and with hash seeds."""

from __future__ import annotations

import os
import random
import subprocess
import sys
from pathlib import Path

import pytest

from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import AttemptEnded, ClientLeft, EndpointListReceived, RequestArrived
from brassfall.balancer.model import EndpointEntry, ListForm, Outcome, SendAttempt
from brassfall.balancer.selection import Selector
from brassfall.balancer.slow_start import SlowStart
from tests.support.helpers import attempt_answered, endpoint_entries, of_type, raw_settings

# Settings of slow start: capacity share at the start, warm-up time, overload time and collapse multiple.
START_SHARE, WARM_UP, SPAN, MULTIPLE = 0.3, 8000.0, 1000.0, 2.5


def worst_slow_start_load(warm_keys, sidecars=60, servers=12, rate=500.0, seed=3):
    """Return the highest load of one server in slow start that all sidecars together cause within a span.

    The load is a multiple of the capacity of the server at the time, where an even share of all requests is
    the full capacity of a server.
    """
    rng = random.Random(seed)
    rules = {"ColdFrom": START_SHARE, "WarmUp": WARM_UP, "FallMultiple": MULTIPLE, "OverloadFor": SPAN}
    balancers = []
    for me in range(sidecars):
        raw = raw_settings("safe", Me=me, Balancers=sidecars, Rules=rules)
        raw["Domain"] = {"WarmKeys": warm_keys}
        balancer = Balancer(0.0, Settings.parse(raw), me)
        balancer.step(0.0, EndpointListReceived(ListForm.CONFIGURED, endpoint_entries(servers)))
        balancers.append(balancer)
    now, number, send_times = 0.0, 0, []
    pending = []
    started = 5000.0
    listed = False
    while now < started + WARM_UP:
        now += 1000.0 / rate
        if not listed and now >= started:
            listed = True
            for balancer in balancers:
                balancer.step(
                    now, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("s0", started=started)])
                )
        while pending and pending[0][0] <= now:
            at, balancer, request = pending.pop(0)
            balancer.step(at, attempt_answered(request, 60.0))
        number += 1
        # Squaring the random number gives the first sidecars a larger share of the requests.
        balancer = balancers[int(rng.random() ** 2 * sidecars)]
        arrival = RequestArrived(number, 0, now + 1000.0, key=rng.randrange(400))
        for send in of_type(balancer.step(now, arrival), SendAttempt):
            pending.append((now + 60.0, balancer, number))
            if send.server == "s0" and now >= started:
                send_times.append(now)
    full_rate = rate / servers
    worst = 0.0
    for at in send_times:
        capacity_share = min(1.0, START_SHARE + (1.0 - START_SHARE) * (at - started) / WARM_UP)
        sent = sum(1 for other in send_times if at <= other < at + SPAN)
        worst = max(worst, sent / (full_rate * capacity_share * SPAN / 1000.0))
    return worst


@pytest.mark.parametrize("warm_keys", [False, True])
def test_many_sidecars_together_do_not_overload_a_server_in_slow_start(warm_keys):
    # Even if an even share of the requests is the full load of a server, a fifth of the load at which it
    # collapses has to be left.
    assert 0.0 < worst_slow_start_load(warm_keys) < 0.8 * MULTIPLE


def test_the_slow_start_check_fails_without_protection(monkeypatch):
    monkeypatch.setattr(SlowStart, "capacity_share", lambda self, now, server: 4.0)
    monkeypatch.setattr(Selector, "load", lambda self, now, server: 0.0 if server.name == "s0" else 1.0)
    assert worst_slow_start_load(False) > MULTIPLE


def test_the_records_of_servers_that_left_long_ago_are_dropped():
    raw = raw_settings("safe")
    balancer = Balancer(0.0, Settings.parse(raw), 1)
    balancer.step(0.0, EndpointListReceived(ListForm.COMPLETE, endpoint_entries(10)))
    for wave in range(400):
        now = 60_000.0 * wave
        balancer.step(now, EndpointListReceived(ListForm.CHANGES, [EndpointEntry(f"n{wave}")]))
        balancer.step(now, RequestArrived(wave, 0, now + 1000.0, key=wave))
        balancer.step(now + 5.0, AttemptEnded(wave, 0, Outcome.ERROR, 5.0))
        balancer.step(now + 6.0, ClientLeft(wave))
        for attempt in range(1, 4):
            balancer.step(now + 7.0, AttemptEnded(wave, attempt, Outcome.CANCELLED, 2.0, request_ended=True))
        balancer.step(
            now + 10.0, EndpointListReceived(ListForm.CHANGES, [EndpointEntry(f"n{wave}", state="left")])
        )
    assert len(balancer.components.endpoints.servers) < 40
    assert len(balancer.components.ejector.ejected) < 40 and not balancer.open_requests


def test_a_server_that_left_with_an_attempt_in_flight_keeps_its_count():
    balancer = Balancer(0.0, Settings.parse(raw_settings("safe")), 1)
    balancer.step(0.0, EndpointListReceived(ListForm.COMPLETE, [EndpointEntry("a")]))
    balancer.step(0.0, RequestArrived(1, 0, 1e9))
    balancer.step(1.0, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("a", state="left")]))
    balancer.step(10_000_000.0, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("b")]))
    balancer.step(10_000_001.0, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("a")]))
    assert balancer.step(10_000_002.0, attempt_answered(1, 5.0)) == []
    assert all(server.in_flight == 0 for server in balancer.components.endpoints.servers.values())


# A program that prints all actions of a balancer for a fixed sequence of events.
SCRIPT = """
from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import AttemptEnded, EndpointListReceived, RequestArrived
from brassfall.balancer.model import EndpointEntry, ListForm, Outcome, SendAttempt
raw = {"Profiles": [{"Semantics": "pure", "Objective": 200, "Deadline": 900}],
       "Domain": {"WarmKeys": True}, "PolicyLimits": {"MaxAttempts": 3},
       "Report": {"How": "inline", "Fields": ["inflight"]}}
balancer = Balancer(0.0, Settings.parse(raw), 5)
listed = [EndpointEntry(f"s{i}", kind=i % 2, started=i * 1.0) for i in range(20)]
balancer.step(0.0, EndpointListReceived(ListForm.COMPLETE, listed))
for n in range(300):
    for action in balancer.step(7.0 * n, RequestArrived(n, 0, 7.0 * n + 900, key=n % 17 or None)):
        print(action)
        if isinstance(action, SendAttempt):
            outcome = Outcome.OK if n % 5 else Outcome.ERROR
            ended = AttemptEnded(n, 0, outcome, 3.0, not n % 5 == 0, {"inflight": n % 7})
            print(balancer.step(7.0 * n + 3, ended))
"""


def test_the_decisions_do_not_depend_on_the_hash_seed():
    traces = set()
    for seed in ("0", "1", "77"):
        completed = subprocess.run(
            [sys.executable, "-c", SCRIPT],
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).resolve().parents[2],
            env={**os.environ, "PYTHONHASHSEED": seed},
            timeout=60,
        )
        traces.add(completed.stdout)
    assert len(traces) == 1 and len(traces.pop()) > 5000
