"""How a plan and overrides change which servers are sent to, on one balancer with three zones."""

from __future__ import annotations

import heapq
import random
from collections import Counter

import pytest

from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import AttemptEnded, EndpointListReceived, RequestArrived, SteeringChanged
from brassfall.balancer.model import ListForm, EndpointEntry, Outcome, RefuseRequest, SendAttempt, SteeringDirectives
from tests.support.helpers import attempt_answered, of_type, raw_settings

ZONES = ("a", "b", "c")
PLAN = SteeringDirectives(shares={0: 0.7, 1: 0.2, 2: 0.1})
EASED = 5000.0


class Play:
    """A balancer with some servers in each of three zones, and the requests that it sent to each."""

    def __init__(self, *classes, per_zone=2, seed=1, names="{n}{zone}", **more) -> None:
        limits = {"MaxAttempts": 2, "ParallelTries": False}
        report = {"How": "inline", "Fields": ["inflight"]}  # so that a rejection need not signal overload
        raw = raw_settings(*classes, FailureDomains=list(ZONES), PolicyLimits=limits, Report=report, **more)
        self.now, self.count, self.out = 0.0, 0, []
        self.rng = random.Random(7)
        self.sent, self.first, self.refused = Counter(), Counter(), Counter()
        self.bad: dict[str, Outcome | float] = {}  # by server or zone; a number is the time of an answer
        self.balancer = Balancer(self.now, Settings.parse(raw), seed)
        self.servers = [
            EndpointEntry(names.format(n=n, zone=zone), z, cell=z)
            for z, zone in enumerate(ZONES)
            for n in range(per_zone)
        ]
        self.balancer.step(self.now, EndpointListReceived(ListForm.CONFIGURED, self.servers))

    def steer(self, steer: SteeringDirectives, wait: float = EASED) -> Play:
        self.balancer.step(self.now, SteeringChanged(steer))
        self.now += wait
        return self

    def run(self, requests: int, gap: float = 10.0, request_class: int = 0, tenant: int = 0) -> Counter:
        """Send requests at even intervals; return the zones of their first attempts."""
        self.sent, self.first, self.refused = Counter(), Counter(), Counter()
        for _ in range(requests):
            self.now += gap
            while self.out and self.out[0][0] <= self.now:
                self.end(*heapq.heappop(self.out))
            self.count += 1
            arrival = RequestArrived(self.count, request_class, self.now + 1000.0, tenant)
            self.carry(self.balancer.step(self.now, arrival), 0, request_class)
        return self.first

    def carry(self, actions: list, hop: int, request_class: int) -> None:
        for send in of_type(actions, SendAttempt):
            zone = send.server.strip("0123456789")
            self.sent[zone] += 1
            self.first[zone] += hop == 0
            status = self.bad.get(send.server, self.bad.get(zone, Outcome.OK))
            took = send.timeout if status == Outcome.TIMEOUT else self.rng.uniform(3.0, 7.0)
            if isinstance(status, float):
                status, took = Outcome.OK, status
            heapq.heappush(self.out, (self.now + took, send.request, hop, request_class, status, took))
        self.refused[request_class] += len(of_type(actions, RefuseRequest))

    def end(
        self, at: float, request: int, hop: int, request_class: int, status: Outcome, took: float
    ) -> None:
        report = {"inflight": 1.0} if status == Outcome.REJECTED else None
        actions = self.balancer.step(
            at, AttemptEnded(request, hop, status, took, request_ended=status == Outcome.OK, report=report)
        )
        self.carry(actions, hop + 1, request_class)


@pytest.mark.parametrize(
    ("steer", "where", "wanted"),
    [
        (SteeringDirectives(), {}, {}),
        (PLAN, {}, PLAN.shares),
        (PLAN._replace(class_shares={1: {2: 1.0}}), {"request_class": 1}, {2: 1.0}),
        (PLAN._replace(class_shares={1: {2: 1.0}}), {}, PLAN.shares),
        (PLAN._replace(class_shares={0: {2: 1.0}}, tenant_shares={5: {1: 1.0}}), {"tenant": 5}, {1: 1.0}),
        (PLAN._replace(weight=0.5), {}, {0: 0.35, 1: 0.1, 2: 0.05}),
        (SteeringDirectives(shares={0: 0.4}), {}, {0: 0.4}),
        (SteeringDirectives(shares={0: 7.0, 1: 2.0, 2: 1.0, 9: float("nan")}), {}, PLAN.shares),
        (SteeringDirectives(shares={0: 0.5, 9: 0.5}), {}, {0: 0.5}),  # zone 9 has no servers
        (SteeringDirectives(shares={0: 1.0}, explore=0.1), {}, {0: 0.9, 1: 0.05, 2: 0.05}),
    ],
)
def test_first_attempts_keep_to_the_shares_within_noise(steer, where, wanted):
    first = Play("safe", "safe").steer(steer).run(3000, **where)
    rest = 1.0 - sum(wanted.values())  # spread without the plan: each zone gets a tenth to six tenths of it
    for number, zone in enumerate(ZONES):  # 3,000 samples: a standard deviation of 0.009 at most
        share = first[zone] / 3000 - wanted.get(number, 0.0)
        assert 0.1 * rest - 0.03 <= share <= 0.6 * rest + 0.03


def test_only_idempotent_requests_with_time_to_spare_explore():
    play = Play("unsafe", "safe").steer(SteeringDirectives(shares={0: 1.0}, explore=1.0))
    assert play.run(300) == {"a": 300}
    play.bad = {"a": Outcome.OK}
    for number in range(60):  # from here on an answer usually takes a third of the objective
        play.now += 10.0
        sent = of_type(
            play.balancer.step(play.now, RequestArrived(90000 + number, 1, play.now + 1000.0)), SendAttempt
        )
        play.balancer.step(play.now + 70.0, attempt_answered(90000 + number, 70.0))
    assert sent[0].server[-1] == "a"


@pytest.mark.parametrize(
    ("bad", "most"),
    [
        ({"a": Outcome.TIMEOUT}, 0.45),
        ({"a": Outcome.CONNECT_FAILED}, 0.45),
        ({"a": Outcome.REJECTED}, 0.45),
        ({"a": 250.0}, 0.45),  # answers after the objective of 200 ms
        ({"0a": Outcome.CONNECT_FAILED, "1a": Outcome.CONNECT_FAILED, "2a": Outcome.CONNECT_FAILED}, 0.6),
    ],
)
def test_own_evidence_outweighs_the_plan(bad, most):
    play = Play(per_zone=4).steer(SteeringDirectives(shares={0: 1.0}))
    assert play.run(200) == {"a": 200}
    play.bad = bad
    play.run(100)
    first = play.run(400)
    assert first["a"] / 400 < most
    assert sum(first.values()) >= 396, "refused because of the plan"  # the throttle may refuse a few
    play.bad = {}
    play.run(4000)
    assert play.run(400)["a"] > 360  # the plan applies again


def test_a_zone_that_loses_servers_loses_their_part_of_its_share():
    play = Play().steer(SteeringDirectives(shares={0: 1.0}))
    play.balancer.step(play.now, EndpointListReceived(ListForm.COMPLETE, play.servers[1:]))
    assert play.run(2000)["a"] / 2000 == pytest.approx(0.5 + 0.5 * 0.2, abs=0.15)


@pytest.mark.parametrize(
    ("steer", "classes", "bad", "excluded"),
    [
        (SteeringDirectives(excluded_zones=frozenset({0})), "safe", {}, "a"),
        (SteeringDirectives(excluded_zones=frozenset({0}), shares={0: 1.0}), "safe", {}, "a"),
        (SteeringDirectives(excluded_zones=frozenset({0}), shares={0: 1.0}, explore=1.0), "safe", {}, "a"),
        (SteeringDirectives(excluded_servers=frozenset(f"{n}a" for n in range(2))), "safe", {}, "a"),
        # Faults elsewhere do not end an exclusion, neither for first attempts nor for retries.
        (SteeringDirectives(excluded_zones=frozenset({0})), "safe", {"b": Outcome.REJECTED, "c": Outcome.ERROR}, "a"),
    ],
)
def test_excluded_servers_are_not_sent_to(steer, classes, bad, excluded):
    play = Play(classes).steer(steer, wait=0.0)  # an exclusion has no ramp
    play.bad = bad
    play.run(1000)
    assert play.sent[excluded] == 0
    assert bad or sum(play.sent.values()) == 1000


def test_excluded_servers_are_used_if_there_are_no_others():
    play = Play().steer(SteeringDirectives(excluded_zones=frozenset({0, 1, 2})), wait=0.0)
    assert sum(play.run(300).values()) == 300
    play.steer(SteeringDirectives(excluded_zones=frozenset({0})), wait=0.0)
    assert set(play.run(300)) == {"b", "c"}
    play.balancer.step(play.now, EndpointListReceived(ListForm.COMPLETE, play.servers[:2]))
    assert play.run(300) == {"a": 300}


def test_a_request_bound_to_a_group_stays_there_although_it_is_excluded():
    play = Play("keyed")
    sent = of_type(play.balancer.step(0.0, RequestArrived(1, 0, 1000.0)), SendAttempt)[0]
    play.steer(SteeringDirectives(excluded_zones=frozenset({"abc".index(sent.server[-1])})), wait=0.0)
    again = of_type(play.balancer.step(20.0, AttemptEnded(1, 0, Outcome.ERROR, 20.0)), SendAttempt)
    assert again[0].server[-1] == sent.server[-1] and again[0].server != sent.server


@pytest.mark.parametrize("names", ["{n:02}{zone}", "{zone}{n:02}"])  # a subset of all zones, or of one
@pytest.mark.parametrize("shares", [{}, {0: 1.0}])
def test_servers_ramp_up_after_an_exclusion(shares, names):
    play = Play(per_zone=8, names=names).steer(SteeringDirectives(shares=shares, excluded_zones=frozenset({0})))
    play.run(500)
    play.balancer.step(play.now, SteeringChanged(SteeringDirectives(shares=shares)))
    parts = [play.run(500, gap=2.0)["a"] / 500 for _ in range(5)]  # a second each
    whole = play.run(2500, gap=2.0)["a"] / 2500
    for second, part in enumerate(parts):
        ramp = min(1.0, (second + 0.5) / 5.0)  # of the requests may go there
        assert whole * ramp - 0.07 < part < ramp + 0.07, (second, parts)


def test_shares_that_change_twice_within_a_ramp_do_not_jump():
    play = Play(per_zone=8).steer(SteeringDirectives(shares={0: 1.0}))
    play.balancer.step(play.now, SteeringChanged(SteeringDirectives(shares={1: 1.0})))
    assert play.run(250)["b"] / 250 == pytest.approx(0.25, abs=0.07)
    play.balancer.step(play.now, SteeringChanged(SteeringDirectives(shares={2: 1.0})))
    soon = play.run(100, gap=2.0)
    assert soon["a"] > 25 and soon["b"] > 25 and soon["c"] < 25
    play.now += EASED
    assert play.run(100) == {"c": 100}


def test_many_changes_share_a_ramp():
    play = Play()
    for number in range(2000):
        play.steer(SteeringDirectives(shares={number % 3: 1.0}), wait=10.0).run(1, gap=0.0)
    assert play.balancer.components.steering.stages <= 10
    assert play.steer(PLAN).run(1000)["a"] > 600


@pytest.mark.parametrize(("shares", "least", "most"), [({}, 3, 11), ({0: 1.0}, 20, 40)])
def test_a_zone_that_returns_in_slow_start_gets_the_plans_share_by_its_warmth(shares, least, most):
    """Of 1,000 requests/s a third of the servers, which has 2% of its capacity, gets twice that at most."""
    rules = {"ColdFrom": 0.02, "WarmUp": 1e9, "FallMultiple": 4.0, "OverloadFor": 2000.0}
    play = Play(per_zone=8, Rules=rules).steer(SteeringDirectives(shares=shares))
    play.run(5000, gap=1.0)
    cold = [entry._replace(started=play.now) for entry in play.servers if entry.zone == 0]
    play.balancer.step(play.now, EndpointListReceived(ListForm.CHANGES, cold))
    assert least < play.run(4000, gap=1.0)["a"] / 4 <= most


@pytest.mark.parametrize(
    ("cap", "gap", "served"), [(20.0, 10.0, 200), (0.0, 10.0, 0), (0.5, 10.0, 5), (200.0, 10.0, 1000)]
)
def test_a_cap_refuses_the_excess_of_its_own_class_only(cap, gap, served):
    play = Play("safe", "safe").steer(SteeringDirectives(caps={0: cap}))
    play.run(1000, gap)
    assert sum(play.sent.values()) == pytest.approx(served, abs=6)
    assert play.refused[0] == play.balancer.components.steering.capped == 1000 - sum(play.sent.values())
    # A cap says nothing of the servers: the throttle does not refuse the other class.
    assert play.balancer.components.throttle.refusal_probability(play.now) == 0.0
    assert sum(play.run(200, gap, request_class=1).values()) == 200


def test_the_neutral_plan_uses_no_random_number():
    sides = [Play(seed=3), Play(seed=3).steer(SteeringDirectives(), wait=0.0)]
    for play in sides:
        play.bad = {"b": Outcome.REJECTED, "1a": Outcome.TIMEOUT}
        play.run(500)
    assert sides[0].sent == sides[1].sent
    assert sides[0].balancer.components.rng.getstate() == sides[1].balancer.components.rng.getstate()


def test_the_driver_passes_a_plan_on_with_its_clock():
    from brassfall.sidecar.core.driver import Driver

    seen = []
    driver = object.__new__(Driver)
    driver._clock = type("Clock", (), {"now": staticmethod(lambda: 42.0)})
    driver._balancer = type("Module", (), {"step": staticmethod(lambda *step: seen.append(step) or [])})
    driver.steer(PLAN)
    assert seen == [(42.0, SteeringChanged(PLAN))]
