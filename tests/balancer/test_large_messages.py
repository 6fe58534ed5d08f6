"""Large messages in the balancer: a body that was passed on is not retried."""

from __future__ import annotations

from brassfall.balancer.model import Arrival, Outcome, Send, Timer
from tests.support.helpers import balancer, of_type


def test_the_balancer_does_not_retry_a_body_that_was_passed_on():
    made = balancer("safe")
    (send, *_) = of_type(made.request(0.0, Arrival(1, 0, 1000.0, large=True)), Send)
    assert of_type(made.outcome(1.0, 1, 0, Outcome.CONNECT_FAILED, 1.0), Send)
    made.body_gone(2.0, 1)
    assert not of_type(made.outcome(3.0, 1, 1, Outcome.CONNECT_FAILED, 1.0), Send)
    assert send.request == 1


def test_a_large_request_or_a_started_answer_does_not_make_a_server_count_as_stalled():
    made = balancer("safe", servers=1)
    assert not of_type(made.request(0.0, Arrival(1, 0, 1000.0, large=True)), Timer)
    (due,) = of_type(made.request(0.0, Arrival(2, 0, 1000.0)), Timer)
    made.answer_started(100.0, 2, 0)
    made.timer(due.delay, due.token)
    (server,) = made._endpoints.servers.values()
    assert server.fault_share == 0.0 and made._shedder.probability(200.0) == 0.0 and not server.outstanding
    assert server.in_flight == 2
    made.outcome(5000.0, 2, 0, Outcome.OK, 100.0, True)
    made.outcome(5000.0, 1, 0, Outcome.OK, 100.0, True)
    assert server.in_flight == 0 and not made._requests
