"""Load shedding: which requests are refused first under overload."""

from __future__ import annotations

import pytest

from brassfall.balancer import Settings
from brassfall.balancer.events import RequestArrived
from brassfall.balancer.load_shedding import LoadShedder
from brassfall.balancer.model import Outcome, RefuseRequest, SendAttempt
from tests.support.helpers import make_balancer, of_type, raw_settings, serve_requests


def shed_chances(priority_weights, share, worst_class):
    """Return the chance of refusing each class if `share` of the work is to be shed."""
    raw = raw_settings(
        *["safe"] * len(priority_weights), Goal={"Whole": 1 - worst_class, "WorstClass": worst_class}
    )
    shed = LoadShedder(Settings.parse(raw))
    for _ in range(100):
        for request_class, priority_weight in enumerate(priority_weights):
            shed.count_arrival(request_class, priority_weight, 1.0, 0, 1.0)
    return [
        shed.class_refusal_probability(0.0, share, request_class, over_quota=False)
        for request_class in range(len(priority_weights))
    ]


def test_the_least_priority_weight_is_shed_first_where_only_the_total_counts():
    assert shed_chances([1.0, 5.0], 0.3, 0.0) == pytest.approx([0.6, 0.0], abs=0.02)


def test_the_worst_class_is_not_starved_where_the_goal_counts_it():
    # If the cheapest class were refused completely, its part of the goal would be lost.
    low, middle, high = shed_chances([2.0, 3.0, 8.0], 0.3, 0.2)
    assert low == pytest.approx(middle) and 0.4 < low < 0.5 and high == 0.0


def test_requests_over_a_tenants_quota_are_shed_first():
    raw = raw_settings("safe", Tenants=[{"AllowancePerS": 5.0}] * 2, OverShareWorth=0.1)
    shed = LoadShedder(Settings.parse(raw))
    over = [shed.count_arrival(0, 1.0, 1.0, int(i % 5 == 0), i % 7 / 7.0) for i in range(200)]
    assert any(over)
    assert (
        shed.class_refusal_probability(0.0, 0.2, 0, over_quota=True)
        > 0.5
        > 0.05
        > shed.class_refusal_probability(0.0, 0.2, 0, over_quota=False)
    )


def test_under_overload_work_that_cannot_end_in_time_is_refused():
    # Heavy requests would take the servers' time and end too late anyway.
    made = make_balancer("safe", servers=4)
    serve_requests(made, 20, lambda s: (Outcome.OK, 100.0))
    heavy = RequestArrived(500, 0, 3000.0, work=100.0)
    assert of_type(made.step(2000.0, heavy), SendAttempt)
    for _ in range(20):
        made.components.shedder.observe(2001.0, 1.0)
    assert of_type(made.step(2002.0, heavy._replace(request=501)), RefuseRequest)
