"""The example in the README, invalid settings, and events that are stale or have invalid values."""

import re
from pathlib import Path

import pytest

from brassfall.balancer import Settings
from brassfall.balancer.events import AttemptEnded, ClientLeft, EndpointListReceived, HealthCheckEnded, TimerDue
from brassfall.balancer.model import ListForm, EndpointEntry, ObjectiveTimer, Outcome, SendAttempt
from tests.support.helpers import attempt_answered, request_arrival, make_balancer, endpoint_entries, of_type, raw_settings

README = Path(__file__).resolve().parents[2] / "README.md"


def test_readme_example_runs(capsys):
    (example,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.S)
    exec(compile(example, "README", "exec"), {})
    first, second = capsys.readouterr().out.splitlines()
    assert "SendAttempt(request=1, server=" in first
    assert second == "[]"


@pytest.mark.parametrize(
    ("changes", "field"),
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
def test_an_invalid_setting_is_named_by_its_path(changes, field):
    with pytest.raises(ValueError, match=field):
        Settings.parse(raw_settings(**changes))


def test_events_about_finished_or_unknown_requests_are_ignored():
    made = make_balancer("safe")
    made.step(0.0, request_arrival(1))
    assert made.step(5.0, attempt_answered(1, 5.0)) == []
    assert made.step(6.0, AttemptEnded(1, 0, Outcome.TIMEOUT)) == []
    assert made.step(6.0, AttemptEnded(2, 0, Outcome.OK)) == []
    assert made.step(6.0, ClientLeft(1)) == []
    assert made.step(6.0, TimerDue(ObjectiveTimer(request=1, attempt=0))) == []
    assert made.step(6.0, HealthCheckEnded("never heard of", Outcome.OK)) == []


def test_a_server_first_seen_among_changes_is_used_by_its_state():
    made = make_balancer("safe", servers=0)
    made.step(1.0, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("new"), EndpointEntry("old", state="left")]))
    (send,) = of_type(made.step(2.0, request_arrival(1)), SendAttempt)
    assert send.server == "new"


def test_a_server_missing_from_a_complete_list_is_gone():
    made = make_balancer("safe", servers=3)
    made.step(1.0, EndpointListReceived(ListForm.COMPLETE, endpoint_entries(1)))
    sends = [of_type(made.step(2.0, request_arrival(i)), SendAttempt)[0].server for i in range(10)]
    assert set(sends) == {"s0"}


@pytest.mark.parametrize("bad", [float("nan"), float("inf"), -float("inf")])
def test_values_that_are_not_finite_lose_no_request(bad):
    made = make_balancer("safe", servers=0)
    made.step(0.0, EndpointListReceived(ListForm.COMPLETE, [EndpointEntry("a", weight=bad, started=bad), EndpointEntry("b")]))
    for number in range(30):
        now = 10.0 * number
        request = request_arrival(number, now)._replace(give_up_at=bad, work=bad, key=number)
        (send,) = of_type(made.step(now, request), SendAttempt)
        assert 0.0 < send.timeout <= 1000.0
        made.step(now + 5.0, attempt_answered(number, bad, in_flight=bad))
    assert not made.open_requests


def test_a_request_of_an_unknown_class_is_an_error():
    for request_class in (-1, 1):
        with pytest.raises(ValueError, match="no class"):
            make_balancer("safe").step(0.0, request_arrival(1, request_class=request_class))
