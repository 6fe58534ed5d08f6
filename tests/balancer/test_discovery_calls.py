"""Tests of when discovery is called: the jitter of the first call, and the backoff after failures."""

from __future__ import annotations

from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import DiscoveryFailed, EndpointListReceived, TimerDue
from brassfall.balancer.model import ListForm, StartTimer, WatchEndpointList
from tests.support.helpers import endpoint_entries, of_type, raw_settings


def test_discovery_is_called_with_jitter_and_retried_after_a_failure():
    raw = raw_settings("safe", Discovery="subscribe", Rules={"AskWithin": 10_000.0})
    delays = set()
    for seed in range(20):
        balancer = Balancer(0.0, Settings.parse(raw), seed)
        (timer,) = of_type(
            balancer.step(0.0, EndpointListReceived(ListForm.CONFIGURED, endpoint_entries(3))), StartTimer
        )
        delays.add(timer.delay)
        assert balancer.step(timer.delay, TimerDue(timer.token)) == [WatchEndpointList(True)]
        (retry,) = of_type(balancer.step(3000.0, DiscoveryFailed()), StartTimer)
        assert 0.0 < retry.delay < 10_000.0
        assert balancer.step(3000.0 + retry.delay, TimerDue(retry.token)) == [WatchEndpointList(True)]
    assert len(delays) == 20
    assert max(delays) < 10_000.0


def test_the_backoff_stays_short_enough_during_a_long_outage_of_discovery():
    raw = raw_settings("safe", Discovery="subscribe", Rules={"AskWithin": 10_000.0})
    for seed in range(20):
        balancer = Balancer(0.0, Settings.parse(raw), seed)
        (first,) = of_type(
            balancer.step(0.0, EndpointListReceived(ListForm.CONFIGURED, endpoint_entries(3))), StartTimer
        )
        now, token = 0.0, first.token
        for _ in range(10):
            assert balancer.step(now, TimerDue(token)) == [WatchEndpointList(True)]
            (retry,) = of_type(balancer.step(now, DiscoveryFailed()), StartTimer)
            assert retry.delay < 5_000.0
            now, token = now + retry.delay, retry.token
