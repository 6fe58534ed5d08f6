"""Tests of load shedding: which requests are refused first under overload."""

from __future__ import annotations

import pytest

from brassfall.balancer import Settings
from brassfall.balancer.events import RequestArrived
from brassfall.balancer.load_shedding import LoadShedder
from brassfall.balancer.model import Outcome, RefuseRequest, SendAttempt
from tests.support.helpers import make_balancer, of_type, raw_settings, serve_requests


def refusal_probabilities(priority_weights, share, worst_class):
    """Return the refusal probability of each class if the share `share` of the work is to be shed."""
    raw = raw_settings(
        *["safe"] * len(priority_weights), Goal={"Whole": 1 - worst_class, "WorstClass": worst_class}
    )
    shedder = LoadShedder(Settings.parse(raw))
    for _ in range(100):
        for request_class, priority_weight in enumerate(priority_weights):
            shedder.count_arrival(request_class, priority_weight, 1.0, 0, 1.0)
    return [
        shedder.class_refusal_probability(0.0, share, request_class, over_quota=False)
        for request_class in range(len(priority_weights))
    ]


def test_the_lowest_priority_weight_is_shed_first_if_only_the_total_counts():
    assert refusal_probabilities([1.0, 5.0], 0.3, 0.0) == pytest.approx([0.6, 0.0], abs=0.02)


def test_the_worst_class_is_not_refused_completely_if_the_goal_counts_it():
    # If all requests of the cheapest class were refused, the share of the goal that it has would be lost.
    low, middle, high = refusal_probabilities([2.0, 3.0, 8.0], 0.3, 0.2)
    assert low == pytest.approx(middle) and 0.4 < low < 0.5 and high == 0.0


def test_requests_over_a_tenants_quota_are_shed_first():
    raw = raw_settings("safe", Tenants=[{"AllowancePerS": 5.0}] * 2, OverShareWorth=0.1)
    shedder = LoadShedder(Settings.parse(raw))
    over_quota = [shedder.count_arrival(0, 1.0, 1.0, int(i % 5 == 0), i % 7 / 7.0) for i in range(200)]
    assert any(over_quota)
    assert (
        shedder.class_refusal_probability(0.0, 0.2, 0, over_quota=True)
        > 0.5
        > 0.05
        > shedder.class_refusal_probability(0.0, 0.2, 0, over_quota=False)
    )


def test_under_overload_requests_that_cannot_end_in_time_are_refused():
    # Such requests would use the servers' capacity and end too late anyway.
    balancer = make_balancer("safe", servers=4)
    serve_requests(balancer, 20, lambda s: (Outcome.OK, 100.0))
    heavy = RequestArrived(500, 0, 3000.0, work=100.0)
    assert of_type(balancer.step(2000.0, heavy), SendAttempt)
    for _ in range(20):
        balancer.components.shedder.observe(2001.0, 1.0)
    assert of_type(balancer.step(2002.0, heavy._replace(request=501)), RefuseRequest)
