"""Tests of the README's example, of invalid settings, and of events that are stale or have invalid values."""

import re
from pathlib import Path

import pytest

from brassfall.balancer import Settings
from brassfall.balancer.events import (
    AttemptEnded,
    ClientLeft,
    EndpointListReceived,
    HealthCheckEnded,
    TimerDue,
)
from brassfall.balancer.model import EndpointEntry, ListForm, ObjectiveTimer, Outcome, SendAttempt
from tests.support.helpers import (
    attempt_answered,
    endpoint_entries,
    make_balancer,
    of_type,
    raw_settings,
    request_arrival,
)

README = Path(__file__).resolve().parents[2] / "README.md"


def test_readme_example_runs(capsys):
    (example,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.S)
    exec(compile(example, "README", "exec"), {})
    first_line, second_line = capsys.readouterr().out.splitlines()
    assert "SendAttempt(request=1, server=" in first_line
    assert second_line == "[]"


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"Profiles": []}, "Profiles"),
        ({"Profiles": [{"Semantics": "pure"}]}, r"Profiles\[0\].Deadline"),
        ({"Profiles": [{"Deadline": 5}]}, r"Profiles\[0\].Semantics"),
        ({"Profiles": 3}, "Profiles"),
        ({"PolicyLimits": {"MaxAttempts": 0}}, "PolicyLimits.MaxAttempts"),
        ({"PolicyLimits": {"MayProbe": "yes"}}, "PolicyLimits.MayProbe"),
        ({"Rules": {"ColdFrom": 2}}, "Rules.ColdFrom"),
        ({"Rules": []}, "Rules"),
        ({"Discovery": "tea leaves"}, "Discovery"),
        ({"Balancers": float("nan")}, "Balancers"),
        ({"Locality": 2}, "Locality"),
        ({"Balancers": float("inf")}, "Balancers"),
        ({"Goal": {"WorstClass": -1}}, "Goal.WorstClass"),
    ],
)
def test_an_invalid_setting_is_named_by_its_path(changes, path):
    with pytest.raises(ValueError, match=path):
        Settings.parse(raw_settings(**changes))


def test_events_about_finished_or_unknown_requests_are_ignored():
    balancer = make_balancer("safe")
    balancer.step(0.0, request_arrival(1))
    assert balancer.step(5.0, attempt_answered(1, 5.0)) == []
    assert balancer.step(6.0, AttemptEnded(1, 0, Outcome.TIMEOUT)) == []
    assert balancer.step(6.0, AttemptEnded(2, 0, Outcome.OK)) == []
    assert balancer.step(6.0, ClientLeft(1)) == []
    assert balancer.step(6.0, TimerDue(ObjectiveTimer(request=1, attempt=0))) == []
    assert balancer.step(6.0, HealthCheckEnded("never heard of", Outcome.OK)) == []


def test_a_server_first_listed_in_a_change_is_used_according_to_its_state():
    balancer = make_balancer("safe", servers=0)
    balancer.step(
        1.0,
        EndpointListReceived(ListForm.CHANGES, [EndpointEntry("new"), EndpointEntry("old", state="left")]),
    )
    (send,) = of_type(balancer.step(2.0, request_arrival(1)), SendAttempt)
    assert send.server == "new"


def test_a_server_missing_from_a_complete_list_is_gone():
    balancer = make_balancer("safe", servers=3)
    balancer.step(1.0, EndpointListReceived(ListForm.COMPLETE, endpoint_entries(1)))
    sends = [of_type(balancer.step(2.0, request_arrival(i)), SendAttempt)[0].server for i in range(10)]
    assert set(sends) == {"s0"}


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -float("inf")])
def test_values_that_are_not_finite_do_not_prevent_requests_from_being_served(value):
    balancer = make_balancer("safe", servers=0)
    balancer.step(
        0.0,
        EndpointListReceived(
            ListForm.COMPLETE, [EndpointEntry("a", weight=value, started=value), EndpointEntry("b")]
        ),
    )
    for number in range(30):
        now = 10.0 * number
        request = request_arrival(number, now)._replace(give_up_at=value, work=value, key=number)
        (send,) = of_type(balancer.step(now, request), SendAttempt)
        assert 0.0 < send.timeout <= 1000.0
        balancer.step(now + 5.0, attempt_answered(number, value, in_flight=value))
    assert not balancer.open_requests


def test_a_request_of_an_unknown_class_is_an_error():
    for request_class in (-1, 1):
        with pytest.raises(ValueError, match="no class"):
            make_balancer("safe").step(0.0, request_arrival(1, request_class=request_class))
