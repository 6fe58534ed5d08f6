"""Many sidecars with one server in slow start, months of changing servers, and hash seeds."""

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

START_SHARE, WARM_UP, SPAN, MULTIPLE = 0.3, 8000.0, 1000.0, 2.5


def slow_start_load(warm_keys, sidecars=60, servers=12, rate=500.0, seed=3):
    """Return the sends to one server in slow start from all sidecars together, in the worst span.

    They are a multiple of its capacity at the time, if all servers have an even share of the requests.
    """
    rng = random.Random(seed)
    rules = {"ColdFrom": START_SHARE, "WarmUp": WARM_UP, "FallMultiple": MULTIPLE, "OverloadFor": SPAN}
    made = []
    for me in range(sidecars):
        raw = raw_settings("safe", Me=me, Balancers=sidecars, Rules=rules)
        raw["Domain"] = {"WarmKeys": warm_keys}
        one = Balancer(0.0, Settings.parse(raw), me)
        one.step(0.0, EndpointListReceived(ListForm.CONFIGURED, endpoint_entries(servers)))
        made.append(one)
    now, number, hits = 0.0, 0, []
    pending = []
    started = 5000.0
    listed = False
    while now < started + WARM_UP:
        now += 1000.0 / rate
        if not listed and now >= started:
            listed = True
            for one in made:
                one.step(now, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("s0", started=started)]))
        while pending and pending[0][0] <= now:
            at, one, request = pending.pop(0)
            one.step(at, attempt_answered(request, 60.0))
        number += 1
        # The square gives the first sidecars more of the requests.
        one = made[int(rng.random() ** 2 * sidecars)]
        arrival = RequestArrived(number, 0, now + 1000.0, key=rng.randrange(400))
        for send in of_type(one.step(now, arrival), SendAttempt):
            pending.append((now + 60.0, one, number))
            if send.server == "s0" and now >= started:
                hits.append(now)
    even = rate / servers
    worst = 0.0
    for at in hits:
        cap = min(1.0, START_SHARE + (1.0 - START_SHARE) * (at - started) / WARM_UP)
        sent = sum(1 for other in hits if at <= other < at + SPAN)
        worst = max(worst, sent / (even * cap * SPAN / 1000.0))
    return worst


@pytest.mark.parametrize("warm_keys", [False, True])
def test_many_sidecars_together_do_not_overload_a_server_in_slow_start(warm_keys):
    # The even share is a server's full load, so a fifth of what makes it collapse is left even then.
    assert 0.0 < slow_start_load(warm_keys) < 0.8 * MULTIPLE


def test_the_slow_start_oracle_can_fail(monkeypatch):
    monkeypatch.setattr(SlowStart, "capacity_share", lambda self, now, server: 4.0)
    monkeypatch.setattr(Selector, "load", lambda self, now, server: 0.0 if server.name == "s0" else 1.0)
    assert slow_start_load(False) > MULTIPLE


def test_the_records_of_servers_that_left_are_dropped_in_time():
    raw = raw_settings("safe")
    made = Balancer(0.0, Settings.parse(raw), 1)
    made.step(0.0, EndpointListReceived(ListForm.COMPLETE, endpoint_entries(10)))
    for wave in range(400):
        now = 60_000.0 * wave
        made.step(now, EndpointListReceived(ListForm.CHANGES, [EndpointEntry(f"n{wave}")]))
        made.step(now, RequestArrived(wave, 0, now + 1000.0, key=wave))
        made.step(now + 5.0, AttemptEnded(wave, 0, Outcome.ERROR, 5.0))
        made.step(now + 6.0, ClientLeft(wave))
        for hop in range(1, 4):
            made.step(now + 7.0, AttemptEnded(wave, hop, Outcome.CANCELLED, 2.0, request_ended=True))
        made.step(now + 10.0, EndpointListReceived(ListForm.CHANGES, [EndpointEntry(f"n{wave}", state="left")]))
    assert len(made.components.endpoints.servers) < 40
    assert len(made.components.ejector.ejected) < 40 and not made.open_requests


def test_a_server_that_left_with_attempts_in_flight_is_still_counted():
    made = Balancer(0.0, Settings.parse(raw_settings("safe")), 1)
    made.step(0.0, EndpointListReceived(ListForm.COMPLETE, [EndpointEntry("a")]))
    made.step(0.0, RequestArrived(1, 0, 1e9))
    made.step(1.0, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("a", state="left")]))
    made.step(10_000_000.0, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("b")]))
    made.step(10_000_001.0, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("a")]))
    assert made.step(10_000_002.0, attempt_answered(1, 5.0)) == []
    assert all(server.in_flight == 0 for server in made.components.endpoints.servers.values())


SCRIPT = """
from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import AttemptEnded, EndpointListReceived, RequestArrived
from brassfall.balancer.model import EndpointEntry, ListForm, Outcome, SendAttempt
raw = {"Profiles": [{"Semantics": "pure", "Objective": 200, "Deadline": 900}],
       "Domain": {"WarmKeys": True}, "PolicyLimits": {"MaxAttempts": 3},
       "Report": {"How": "inline", "Fields": ["inflight"]}}
made = Balancer(0.0, Settings.parse(raw), 5)
listed = [EndpointEntry(f"s{i}", kind=i % 2, started=i * 1.0) for i in range(20)]
made.step(0.0, EndpointListReceived(ListForm.COMPLETE, listed))
for n in range(300):
    for action in made.step(7.0 * n, RequestArrived(n, 0, 7.0 * n + 900, key=n % 17 or None)):
        print(action)
        if isinstance(action, SendAttempt):
            outcome = Outcome.OK if n % 5 else Outcome.ERROR
            ended = AttemptEnded(n, 0, outcome, 3.0, not n % 5 == 0, {"inflight": n % 7})
            print(made.step(7.0 * n + 3, ended))
"""


def test_the_decisions_do_not_depend_on_the_hash_seed():
    traces = set()
    for seed in ("0", "1", "77"):
        done = subprocess.run(
            [sys.executable, "-c", SCRIPT],
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).resolve().parents[2],
            env={**os.environ, "PYTHONHASHSEED": seed},
            timeout=60,
        )
        traces.add(done.stdout)
    assert len(traces) == 1 and len(traces.pop()) > 5000
