"""Tests of the write deadline and the group of a retry with an idempotency key."""

from __future__ import annotations

import pytest

from brassfall.balancer import Settings
from brassfall.balancer.events import AttemptEnded, EndpointListReceived, RequestArrived, SettingsReloaded
from brassfall.balancer.model import EndpointEntry, ListForm, Outcome, SendAttempt
from tests.support.helpers import CLASSES, make_balancer, of_type, raw_settings

NO_DEADLINE = float("inf")
CLIENT_TIMEOUT_MS = 1000.0  # Time after which the client of a request gives up


def sends_after(balancer, now, event):
    """Return the attempts that the balancer starts after an event."""
    return of_type(balancer.step(now, event), SendAttempt)


def arrived(request, now=0.0, request_class=0):
    """Return the arrival of a request."""
    return RequestArrived(request, request_class, now + CLIENT_TIMEOUT_MS)


def ended(request, attempt, outcome):
    """Return the end of an attempt with an outcome."""
    return AttemptEnded(request, attempt, outcome)


def test_only_a_retry_with_an_idempotency_key_has_a_write_deadline():
    balancer = make_balancer(
        Profiles=[{**CLASSES["keyed"], "Group": "zone"}, dict(CLASSES["safe"]), dict(CLASSES["unsafe"])]
    )
    (send,) = sends_after(balancer, 100.0, arrived(1, 100.0))
    assert send.write_by == NO_DEADLINE
    (retry,) = sends_after(balancer, 110.0, ended(1, 0, Outcome.CONNECT_FAILED))
    assert retry.write_by == NO_DEADLINE  # Nothing has run, so the validity of the key has not begun
    (third,) = sends_after(balancer, 120.0, ended(1, 1, Outcome.RESET))
    assert third.write_by == 110.0 + 500.0
    (fourth,) = sends_after(balancer, 130.0, ended(1, 2, Outcome.RESET))
    assert fourth.write_by == 110.0 + 500.0  # The first attempt that may have run counts
    for request_class in (1, 2):
        balancer = make_balancer("keyed", "safe", "unsafe")
        sends = sends_after(balancer, 500.0, arrived(2, 500.0, request_class))
        sends += sends_after(balancer, 510.0, ended(2, 0, Outcome.CONNECT_FAILED))
        sends += sends_after(balancer, 520.0, ended(2, 1, Outcome.RESET))
        assert [send.write_by for send in sends] == [NO_DEADLINE] * (4 - request_class)


def test_the_write_deadline_follows_from_the_settings_in_force_at_the_arrival_of_the_request():
    balancer = make_balancer("keyed")
    balancer.step(0.0, arrived(1))
    profile = {**CLASSES["keyed"], "KeyTtl": 60_000.0}
    balancer.step(5.0, SettingsReloaded(Settings.parse(raw_settings(Profiles=[profile])), {0}))
    (retry,) = sends_after(balancer, 10.0, ended(1, 0, Outcome.RESET))
    assert retry.write_by == 500.0


@pytest.mark.parametrize("state", ["active", "left"])
def test_a_retry_goes_to_the_group_that_the_first_server_belonged_to_at_the_send(state):
    """The keys stay in their group if the server returns in another group or has left."""
    balancer = make_balancer("keyed", servers=4)
    (send,) = sends_after(balancer, 0.0, arrived(1))
    group = int(send.server[1:]) // 2
    returned = EndpointEntry(send.server, cell=7, started=1.0, state=state)
    balancer.step(1.0, EndpointListReceived(ListForm.CHANGES, [returned, EndpointEntry("s9", cell=7)]))
    sends = sends_after(balancer, 2.0, ended(1, 0, Outcome.RESET))
    assert [int(retry.server[1:]) // 2 for retry in sends] == [group]
