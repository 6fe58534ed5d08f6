"""The window and the group of a retry with an idempotency key, as the balancer decides on them."""

from __future__ import annotations

import pytest

from brassfall.balancer import Settings
from brassfall.balancer.events import AttemptEnded, EndpointListReceived, RequestArrived, SettingsReloaded
from brassfall.balancer.model import ListForm, EndpointEntry, Outcome, SendAttempt
from tests.support.helpers import CLASSES, make_balancer, of_type, raw_settings

NO_WINDOW = float("inf")
BUDGET_MS = 1000.0


def sends_on(made, now, event):
    """The attempts that an event leads to."""
    return of_type(made.step(now, event), SendAttempt)


def arrived(request, now=0.0, request_class=0):
    return RequestArrived(request, request_class, now + BUDGET_MS)


def ended(request, attempt, outcome):
    return AttemptEnded(request, attempt, outcome)


def test_only_a_retry_with_an_idempotency_key_has_a_time_by_which_it_is_written():
    made = make_balancer(
        Profiles=[{**CLASSES["keyed"], "Group": "zone"}, dict(CLASSES["safe"]), dict(CLASSES["unsafe"])]
    )
    (send,) = sends_on(made, 100.0, arrived(1, 100.0))
    assert send.write_by == NO_WINDOW
    (retry,) = sends_on(made, 110.0, ended(1, 0, Outcome.CONNECT_FAILED))
    assert retry.write_by == NO_WINDOW  # nothing has run: its window has not begun
    (third,) = sends_on(made, 120.0, ended(1, 1, Outcome.RESET))
    assert third.write_by == 110.0 + 500.0
    (fourth,) = sends_on(made, 130.0, ended(1, 2, Outcome.RESET))
    assert fourth.write_by == 110.0 + 500.0  # the first that may have run binds
    for request_class in (1, 2):
        made = make_balancer("keyed", "safe", "unsafe")
        sends = sends_on(made, 500.0, arrived(2, 500.0, request_class))
        sends += sends_on(made, 510.0, ended(2, 0, Outcome.CONNECT_FAILED))
        sends += sends_on(made, 520.0, ended(2, 1, Outcome.RESET))
        assert [send.write_by for send in sends] == [NO_WINDOW] * (4 - request_class)


def test_the_window_is_that_of_the_settings_at_the_requests_arrival():
    made = make_balancer("keyed")
    made.step(0.0, arrived(1))
    profile = {**CLASSES["keyed"], "KeyTtl": 60_000.0}
    made.step(5.0, SettingsReloaded(Settings.parse(raw_settings(Profiles=[profile])), {0}))
    (retry,) = sends_on(made, 10.0, ended(1, 0, Outcome.RESET))
    assert retry.write_by == 500.0


@pytest.mark.parametrize("state", ["active", "left"])
def test_a_retry_keeps_to_the_group_that_its_first_server_was_in(state):
    """A server of that name that comes back elsewhere, or has left, moves no key."""
    made = make_balancer("keyed", servers=4)
    (send,) = sends_on(made, 0.0, arrived(1))
    group = int(send.server[1:]) // 2
    back = EndpointEntry(send.server, cell=7, started=1.0, state=state)
    made.step(1.0, EndpointListReceived(ListForm.CHANGES, [back, EndpointEntry("s9", cell=7)]))
    sends = sends_on(made, 2.0, ended(1, 0, Outcome.RESET))
    assert [int(retry.server[1:]) // 2 for retry in sends] == [group]
