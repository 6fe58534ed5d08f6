"""Tests of how a steering plan and overrides change the choice of servers in three zones."""

from __future__ import annotations

import heapq
import random
from collections import Counter

import pytest

from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import AttemptEnded, EndpointListReceived, RequestArrived, SteeringChanged
from brassfall.balancer.model import (
    EndpointEntry,
    ListForm,
    Outcome,
    RefuseRequest,
    SendAttempt,
    SteeringDirectives,
)
from tests.support.helpers import attempt_answered, of_type, raw_settings

ZONES = ("a", "b", "c")
PLAN = SteeringDirectives(shares={0: 0.7, 1: 0.2, 2: 0.1})
RAMP_MS = 5000.0  # Time in milliseconds after which a change of the directives has its full effect


class Simulation:
    """A balancer with some servers in each of three zones, and counts of the attempts in each zone."""

    def __init__(self, *classes, per_zone=2, seed=1, names="{n}{zone}", **more) -> None:
        limits = {"MaxAttempts": 2, "ParallelTries": False}
        # With load reports, a rejection need not signal overload.
        report = {"How": "inline", "Fields": ["inflight"]}
        raw = raw_settings(*classes, FailureDomains=list(ZONES), PolicyLimits=limits, Report=report, **more)
        # `in_flight` is a heap of the ends of the attempts in flight.
        self.now, self.request_count, self.in_flight = 0.0, 0, []
        self.rng = random.Random(7)
        # Attempts by zone, first attempts by zone, and refused requests by request class.
        self.attempts, self.first_attempts, self.refused = Counter(), Counter(), Counter()
        # Outcomes of faulty servers, by server or zone; a number is the elapsed time of an answer in
        # milliseconds.
        self.faults: dict[str, Outcome | float] = {}
        self.balancer = Balancer(self.now, Settings.parse(raw), seed)
        self.servers = [
            EndpointEntry(names.format(n=n, zone=zone), z, cell=z)
            for z, zone in enumerate(ZONES)
            for n in range(per_zone)
        ]
        self.balancer.step(self.now, EndpointListReceived(ListForm.CONFIGURED, self.servers))

    def steer(self, steer: SteeringDirectives, wait: float = RAMP_MS) -> Simulation:
        """Apply directives and advance the clock by `wait` milliseconds."""
        self.balancer.step(self.now, SteeringChanged(steer))
        self.now += wait
        return self

    def run(self, requests: int, gap: float = 10.0, request_class: int = 0, tenant: int = 0) -> Counter:
        """Send requests at intervals of `gap` milliseconds; return the number of first attempts by zone."""
        self.attempts, self.first_attempts, self.refused = Counter(), Counter(), Counter()
        for _ in range(requests):
            self.now += gap
            while self.in_flight and self.in_flight[0][0] <= self.now:
                self.end_attempt(*heapq.heappop(self.in_flight))
            self.request_count += 1
            arrival = RequestArrived(self.request_count, request_class, self.now + 1000.0, tenant)
            self.perform(self.balancer.step(self.now, arrival), 0, request_class)
        return self.first_attempts

    def perform(self, actions: list, attempt: int, request_class: int) -> None:
        """Carry out actions of the balancer; `attempt` is the index of the attempt that they may start."""
        for send in of_type(actions, SendAttempt):
            zone = send.server.strip("0123456789")
            self.attempts[zone] += 1
            self.first_attempts[zone] += attempt == 0
            outcome = self.faults.get(send.server, self.faults.get(zone, Outcome.OK))
            elapsed = send.timeout if outcome == Outcome.TIMEOUT else self.rng.uniform(3.0, 7.0)
            if isinstance(outcome, float):
                outcome, elapsed = Outcome.OK, outcome
            heapq.heappush(
                self.in_flight, (self.now + elapsed, send.request, attempt, request_class, outcome, elapsed)
            )
        self.refused[request_class] += len(of_type(actions, RefuseRequest))

    def end_attempt(
        self, now: float, request: int, attempt: int, request_class: int, outcome: Outcome, elapsed: float
    ) -> None:
        report = {"inflight": 1.0} if outcome == Outcome.REJECTED else None
        actions = self.balancer.step(
            now,
            AttemptEnded(
                request, attempt, outcome, elapsed, request_ended=outcome == Outcome.OK, report=report
            ),
        )
        self.perform(actions, attempt + 1, request_class)


@pytest.mark.parametrize(
    ("steer", "request_fields", "expected_shares"),
    [
        (SteeringDirectives(), {}, {}),
        (PLAN, {}, PLAN.shares),
        (PLAN._replace(class_shares={1: {2: 1.0}}), {"request_class": 1}, {2: 1.0}),
        (PLAN._replace(class_shares={1: {2: 1.0}}), {}, PLAN.shares),
        (PLAN._replace(class_shares={0: {2: 1.0}}, tenant_shares={5: {1: 1.0}}), {"tenant": 5}, {1: 1.0}),
        (PLAN._replace(weight=0.5), {}, {0: 0.35, 1: 0.1, 2: 0.05}),
        (SteeringDirectives(shares={0: 0.4}), {}, {0: 0.4}),
        (SteeringDirectives(shares={0: 7.0, 1: 2.0, 2: 1.0, 9: float("nan")}), {}, PLAN.shares),
        (SteeringDirectives(shares={0: 0.5, 9: 0.5}), {}, {0: 0.5}),  # Zone 9 has no servers
        (SteeringDirectives(shares={0: 1.0}, explore=0.1), {}, {0: 0.9, 1: 0.05, 2: 0.05}),
    ],
)
def test_first_attempts_follow_the_shares_within_random_variation(steer, request_fields, expected_shares):
    first_attempts = Simulation("safe", "safe").steer(steer).run(3000, **request_fields)
    # The rest is spread without the plan, so that each zone gets a tenth to six tenths of it.
    rest = 1.0 - sum(expected_shares.values())
    for index, zone in enumerate(ZONES):  # With 3,000 samples, the standard deviation is at most 0.009
        share = first_attempts[zone] / 3000 - expected_shares.get(index, 0.0)
        assert 0.1 * rest - 0.03 <= share <= 0.6 * rest + 0.03


def test_only_idempotent_requests_with_time_to_spare_explore_zones_with_low_shares():
    simulation = Simulation("unsafe", "safe").steer(SteeringDirectives(shares={0: 1.0}, explore=1.0))
    assert simulation.run(300) == {"a": 300}
    simulation.faults = {"a": Outcome.OK}
    for number in range(60):  # From here on, an average answer takes a third of the latency objective
        simulation.now += 10.0
        sends = of_type(
            simulation.balancer.step(
                simulation.now, RequestArrived(90000 + number, 1, simulation.now + 1000.0)
            ),
            SendAttempt,
        )
        simulation.balancer.step(simulation.now + 70.0, attempt_answered(90000 + number, 70.0))
    assert sends[0].server[-1] == "a"


@pytest.mark.parametrize(
    ("faults", "max_share"),
    [
        ({"a": Outcome.TIMEOUT}, 0.45),
        ({"a": Outcome.CONNECT_FAILED}, 0.45),
        ({"a": Outcome.REJECTED}, 0.45),
        ({"a": 250.0}, 0.45),  # Answers after the latency objective of 200 ms
        ({"0a": Outcome.CONNECT_FAILED, "1a": Outcome.CONNECT_FAILED, "2a": Outcome.CONNECT_FAILED}, 0.6),
    ],
)
def test_own_observations_outweigh_the_plan(faults, max_share):
    simulation = Simulation(per_zone=4).steer(SteeringDirectives(shares={0: 1.0}))
    assert simulation.run(200) == {"a": 200}
    simulation.faults = faults
    simulation.run(100)
    first_attempts = simulation.run(400)
    assert first_attempts["a"] / 400 < max_share
    # The throttle may refuse a few requests.
    assert sum(first_attempts.values()) >= 396, "requests were refused because of the plan"
    simulation.faults = {}
    simulation.run(4000)
    assert simulation.run(400)["a"] > 360  # The plan applies again after the faults


def test_a_zone_that_loses_servers_loses_their_part_of_its_share():
    simulation = Simulation().steer(SteeringDirectives(shares={0: 1.0}))
    simulation.balancer.step(simulation.now, EndpointListReceived(ListForm.COMPLETE, simulation.servers[1:]))
    assert simulation.run(2000)["a"] / 2000 == pytest.approx(0.5 + 0.5 * 0.2, abs=0.15)


@pytest.mark.parametrize(
    ("steer", "request_class", "faults", "excluded_zone"),
    [
        (SteeringDirectives(excluded_zones=frozenset({0})), "safe", {}, "a"),
        (SteeringDirectives(excluded_zones=frozenset({0}), shares={0: 1.0}), "safe", {}, "a"),
        (SteeringDirectives(excluded_zones=frozenset({0}), shares={0: 1.0}, explore=1.0), "safe", {}, "a"),
        (SteeringDirectives(excluded_servers=frozenset(f"{n}a" for n in range(2))), "safe", {}, "a"),
        # Faults in other zones do not end an exclusion, neither for first attempts nor for retries.
        (
            SteeringDirectives(excluded_zones=frozenset({0})),
            "safe",
            {"b": Outcome.REJECTED, "c": Outcome.ERROR},
            "a",
        ),
    ],
)
def test_excluded_servers_get_no_attempts(steer, request_class, faults, excluded_zone):
    simulation = Simulation(request_class).steer(steer, wait=0.0)  # An exclusion takes effect without a ramp
    simulation.faults = faults
    simulation.run(1000)
    assert simulation.attempts[excluded_zone] == 0
    assert faults or sum(simulation.attempts.values()) == 1000


def test_excluded_servers_are_used_if_there_are_no_others():
    simulation = Simulation().steer(SteeringDirectives(excluded_zones=frozenset({0, 1, 2})), wait=0.0)
    assert sum(simulation.run(300).values()) == 300
    simulation.steer(SteeringDirectives(excluded_zones=frozenset({0})), wait=0.0)
    assert set(simulation.run(300)) == {"b", "c"}
    simulation.balancer.step(simulation.now, EndpointListReceived(ListForm.COMPLETE, simulation.servers[:2]))
    assert simulation.run(300) == {"a": 300}


def test_a_request_that_has_to_stay_in_its_group_stays_there_although_the_group_is_excluded():
    simulation = Simulation("keyed")
    first = of_type(simulation.balancer.step(0.0, RequestArrived(1, 0, 1000.0)), SendAttempt)[0]
    simulation.steer(SteeringDirectives(excluded_zones=frozenset({"abc".index(first.server[-1])})), wait=0.0)
    retries = of_type(simulation.balancer.step(20.0, AttemptEnded(1, 0, Outcome.ERROR, 20.0)), SendAttempt)
    assert retries[0].server[-1] == first.server[-1] and retries[0].server != first.server


# The names decide whether the subset has servers of all zones or of one.
@pytest.mark.parametrize("names", ["{n:02}{zone}", "{zone}{n:02}"])
@pytest.mark.parametrize("shares", [{}, {0: 1.0}])
def test_servers_ramp_up_after_an_exclusion(shares, names):
    simulation = Simulation(per_zone=8, names=names).steer(
        SteeringDirectives(shares=shares, excluded_zones=frozenset({0}))
    )
    simulation.run(500)
    simulation.balancer.step(simulation.now, SteeringChanged(SteeringDirectives(shares=shares)))
    # Each run takes one second.
    shares_by_second = [simulation.run(500, gap=2.0)["a"] / 500 for _ in range(5)]
    final_share = simulation.run(2500, gap=2.0)["a"] / 2500
    for second, share in enumerate(shares_by_second):
        ramp = min(1.0, (second + 0.5) / 5.0)  # Share of the requests that may go to the zone
        assert final_share * ramp - 0.07 < share < ramp + 0.07, (second, shares_by_second)


def test_shares_that_change_twice_within_a_ramp_do_not_jump():
    simulation = Simulation(per_zone=8).steer(SteeringDirectives(shares={0: 1.0}))
    simulation.balancer.step(simulation.now, SteeringChanged(SteeringDirectives(shares={1: 1.0})))
    assert simulation.run(250)["b"] / 250 == pytest.approx(0.25, abs=0.07)
    simulation.balancer.step(simulation.now, SteeringChanged(SteeringDirectives(shares={2: 1.0})))
    first_attempts = simulation.run(100, gap=2.0)
    assert first_attempts["a"] > 25 and first_attempts["b"] > 25 and first_attempts["c"] < 25
    simulation.now += RAMP_MS
    assert simulation.run(100) == {"c": 100}


def test_many_changes_within_one_ramp_share_a_stage():
    simulation = Simulation()
    for number in range(2000):
        simulation.steer(SteeringDirectives(shares={number % 3: 1.0}), wait=10.0).run(1, gap=0.0)
    assert simulation.balancer.components.steering.stages <= 10
    assert simulation.steer(PLAN).run(1000)["a"] > 600


@pytest.mark.parametrize(("shares", "min_per_s", "max_per_s"), [({}, 3, 11), ({0: 1.0}, 20, 40)])
def test_a_zone_that_returns_in_slow_start_gets_its_share_in_proportion_to_its_capacity(
    shares, min_per_s, max_per_s
):
    """A third of the servers has 2% of its capacity, and gets at most twice that of 1,000 requests/s."""
    rules = {"ColdFrom": 0.02, "WarmUp": 1e9, "FallMultiple": 4.0, "OverloadFor": 2000.0}
    simulation = Simulation(per_zone=8, Rules=rules).steer(SteeringDirectives(shares=shares))
    simulation.run(5000, gap=1.0)
    starting = [entry._replace(started=simulation.now) for entry in simulation.servers if entry.zone == 0]
    simulation.balancer.step(simulation.now, EndpointListReceived(ListForm.CHANGES, starting))
    assert min_per_s < simulation.run(4000, gap=1.0)["a"] / 4 <= max_per_s


@pytest.mark.parametrize(
    ("cap", "gap", "served"), [(20.0, 10.0, 200), (0.0, 10.0, 0), (0.5, 10.0, 5), (200.0, 10.0, 1000)]
)
def test_a_cap_refuses_the_excess_of_its_own_class_only(cap, gap, served):
    simulation = Simulation("safe", "safe").steer(SteeringDirectives(caps={0: cap}))
    simulation.run(1000, gap)
    assert sum(simulation.attempts.values()) == pytest.approx(served, abs=6)
    assert (
        simulation.refused[0]
        == simulation.balancer.components.steering.capped
        == 1000 - sum(simulation.attempts.values())
    )
    # A cap tells nothing about the servers, so the throttle does not refuse requests of the other class.
    assert simulation.balancer.components.throttle.refusal_probability(simulation.now) == 0.0
    assert sum(simulation.run(200, gap, request_class=1).values()) == 200


def test_directives_without_effect_use_no_random_number():
    simulations = [Simulation(seed=3), Simulation(seed=3).steer(SteeringDirectives(), wait=0.0)]
    for simulation in simulations:
        simulation.faults = {"b": Outcome.REJECTED, "1a": Outcome.TIMEOUT}
        simulation.run(500)
    assert simulations[0].attempts == simulations[1].attempts
    assert (
        simulations[0].balancer.components.rng.getstate() == simulations[1].balancer.components.rng.getstate()
    )


def test_the_driver_passes_directives_to_the_balancer_with_the_time_of_its_clock():
    from brassfall.sidecar.core.driver import Driver

    steps = []
    driver = object.__new__(Driver)
    driver._clock = type("Clock", (), {"now": staticmethod(lambda: 42.0)})
    driver._balancer = type("Module", (), {"step": staticmethod(lambda *step: steps.append(step) or [])})
    driver.steer(PLAN)
    assert steps == [(42.0, SteeringChanged(PLAN))]
