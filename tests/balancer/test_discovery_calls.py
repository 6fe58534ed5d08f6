"""When discovery is called: jitter, and the backoff after failures."""

from __future__ import annotations

from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import DiscoveryFailed, EndpointListReceived, TimerDue
from brassfall.balancer.model import ListForm, StartTimer, WatchEndpointList
from tests.support.helpers import endpoint_entries, of_type, raw_settings


def test_discovery_is_called_with_jitter_and_retried_after_a_failure():
    raw = raw_settings("safe", Discovery="subscribe", Rules={"AskWithin": 10_000.0})
    delays = set()
    for seed in range(20):
        made = Balancer(0.0, Settings.parse(raw), seed)
        (timer,) = of_type(made.step(0.0, EndpointListReceived(ListForm.CONFIGURED, endpoint_entries(3))), StartTimer)
        delays.add(timer.delay)
        assert made.step(timer.delay, TimerDue(timer.token)) == [WatchEndpointList(True)]
        (again,) = of_type(made.step(3000.0, DiscoveryFailed()), StartTimer)
        assert 0.0 < again.delay < 10_000.0
        assert made.step(3000.0 + again.delay, TimerDue(again.token)) == [WatchEndpointList(True)]
    assert len(delays) == 20
    assert max(delays) < 10_000.0


def test_after_a_long_outage_discovery_is_called_in_time_for_its_changes():
    raw = raw_settings("safe", Discovery="subscribe", Rules={"AskWithin": 10_000.0})
    for seed in range(20):
        made = Balancer(0.0, Settings.parse(raw), seed)
        (first,) = of_type(made.step(0.0, EndpointListReceived(ListForm.CONFIGURED, endpoint_entries(3))), StartTimer)
        now, token = 0.0, first.token
        for _ in range(10):
            assert made.step(now, TimerDue(token)) == [WatchEndpointList(True)]
            (again,) = of_type(made.step(now, DiscoveryFailed()), StartTimer)
            assert again.delay < 5_000.0
            now, token = now + again.delay, again.token
