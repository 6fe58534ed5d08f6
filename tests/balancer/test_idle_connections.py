"""Tests of idle connections: they are closed while a server drains, and after one was dropped."""

from __future__ import annotations

from brassfall.balancer.events import AttemptEnded, EndpointListReceived, TimerDue
from brassfall.balancer.model import (
    CloseIdleConnections,
    EndpointEntry,
    IdleCloseTimer,
    ListForm,
    Outcome,
    SendAttempt,
    StartTimer,
)
from tests.support.helpers import attempt_answered, make_balancer, of_type, request_arrival


def test_idle_connections_to_a_draining_server_are_closed_also_after_a_late_outcome():
    balancer = make_balancer("safe", servers=1, Rules={"ReleaseWithin": 1000.0})
    balancer.step(0.0, request_arrival(1))
    leaving = [EndpointEntry("s0", state="leaving")]
    actions = balancer.step(10.0, EndpointListReceived(ListForm.CHANGES, leaving))
    assert of_type(actions, CloseIdleConnections)
    (timer,) = [t for t in of_type(actions, StartTimer) if isinstance(t.token, IdleCloseTimer)]
    assert of_type(balancer.step(700.0, attempt_answered(1, 690.0)), CloseIdleConnections)
    closings, now = 0, 10.0
    while timer is not None:
        now += timer.delay
        actions = balancer.step(now, TimerDue(timer.token))
        closings += len(of_type(actions, CloseIdleConnections))
        timer = next(iter(of_type(actions, StartTimer)), None)
    assert 1 <= closings <= 4 and now > 700.0


def test_a_connection_dropped_while_idle_is_no_fault_of_its_server_and_shortens_later_idle_times():
    # Middleboxes drop idle connections without notice.
    balancer = make_balancer("safe", servers=1)
    balancer.step(0.0, request_arrival(1))
    balancer.step(20.0, attempt_answered(1, 20.0))
    balancer.step(2000.0, request_arrival(2, 2000.0))
    actions = balancer.step(2001.0, AttemptEnded(2, 0, Outcome.RESET, 1.0))
    assert balancer.components.endpoints.servers["s0"].fault_share == 0.0
    (retry,) = of_type(actions, SendAttempt)  # The retry uses a new connection
    balancer.step(2020.0, attempt_answered(2, 20.0, attempt=1))
    assert retry.server == "s0"
    soon = balancer.step(2500.0, request_arrival(3, 2500.0))
    assert of_type(soon, SendAttempt) and not of_type(soon, CloseIdleConnections)
    balancer.step(2520.0, attempt_answered(3, 20.0))
    later = balancer.step(4500.0, request_arrival(4, 4500.0))
    assert [type(a) for a in later if isinstance(a, CloseIdleConnections | SendAttempt)] == [
        CloseIdleConnections,
        SendAttempt,
    ]
