"""Tests of the client-side throttle, with values calculated by hand, and of the least loaded server."""

import pytest

from brassfall.balancer.events import AttemptEnded
from brassfall.balancer.model import FailRequest, Outcome, RefuseRequest, SendAttempt
from brassfall.balancer.throttle import Throttle
from tests.support.helpers import make_balancer, of_type, request_arrival


def throttle_with(accepts, refusals, now=0.0):
    """Return a throttle that has counted some accepted and some refused requests."""
    throttle = Throttle(window_ms=1e9, max_requests=1000)
    for _ in range(accepts):
        throttle.count_request(now, 1.0)
    for _ in range(refusals):
        throttle.count_request(now, 0.0)
    return throttle


@pytest.mark.parametrize(
    ("accepts", "refusals", "probability"),
    [
        (0, 0, 0.0),
        (0, 3, 0.0),  # 3 - 3 - 0 = 0
        (0, 7, 0.5),  # (7 - 3 - 0) / 8
        (10, 9, 0.0),  # 19 - 3 - 20 < 0
        (10, 29, 0.4),  # (39 - 3 - 20) / 40
    ],
)
def test_the_refusal_probability_follows_the_formula(accepts, refusals, probability):
    assert throttle_with(accepts, refusals).refusal_probability(0.0) == pytest.approx(probability)


def test_the_window_drops_requests_by_age():
    window = Throttle(window_ms=100.0, max_requests=50)
    window.count_request(0.0, 1.0)
    window.count_request(60.0, 0.0)
    window.drop_old_requests(99.0)
    assert (window.requests, window.accepts) == (2, 1.0)
    window.drop_old_requests(100.0)
    assert (window.requests, window.accepts) == (1, 0.0)
    window.drop_old_requests(160.0)
    assert (window.requests, window.accepts) == (0, 0.0)


def test_the_window_drops_requests_beyond_its_maximum_number():
    window = Throttle(window_ms=1e9, max_requests=3)
    for accepted in (1.0, 1.0, 0.0, 0.0, 0.0):
        window.count_request(0.0, accepted)
    assert (window.requests, window.accepts) == (3, 0.0)


def test_refused_requests_are_not_sent_and_are_counted_by_the_throttle():
    balancer = make_balancer("safe")
    window = balancer.components.throttle
    for _ in range(20):
        window.count_request(0.0, 0.0)
    requests_before = window.requests
    refused = 0
    for i in range(40):
        actions = balancer.step(0.0, request_arrival(i))
        if of_type(actions, RefuseRequest):
            refused += 1
            assert not of_type(actions, SendAttempt)
    assert refused > 20
    assert window.requests == requests_before + refused


@pytest.mark.parametrize(
    "status",
    [Outcome.ERROR, Outcome.REJECTED, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET],
)
def test_an_outcome_other_than_ok_is_not_counted_as_an_accept(status):
    balancer = make_balancer("unsafe")
    balancer.step(0.0, request_arrival(1))
    balancer.step(10.0, AttemptEnded(1, 0, status, 10.0))
    assert balancer.components.throttle.requests == 1
    assert balancer.components.throttle.accepts == 0.0


def test_the_server_with_the_fewest_requests_in_flight_is_chosen():
    balancer = make_balancer("safe", servers=2)
    attempts = {"s0": 0, "s1": 0}
    for i in range(20):
        (send,) = of_type(balancer.step(0.0, request_arrival(i)), SendAttempt)
        attempts[send.server] += 1
        assert abs(attempts["s0"] - attempts["s1"]) <= 1


def test_without_a_server_a_request_is_refused_immediately():
    balancer = make_balancer("unsafe", servers=0)
    actions = balancer.step(0.0, request_arrival(1))
    assert of_type(actions, RefuseRequest) and not of_type(actions, FailRequest)
