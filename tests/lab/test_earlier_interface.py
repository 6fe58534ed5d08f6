"""Decisions with a method for each event, played with today's events: each event, each action, whole days."""

from __future__ import annotations

import json
import subprocess
import sys
from collections import namedtuple
from types import ModuleType, SimpleNamespace
from typing import ClassVar, NamedTuple

import pytest

from brassfall.balancer import events, model
from brassfall.lab import day, earlier_interface, spec
from brassfall.settings import SettingsError
from tests.support.processes import ROOT

FIRST = "50b2e17"  # with the fewest methods
# The other that experiments name, the first under today's name of the package, and the last that has methods.
LATER = ("8506d1d", "f724bcc", "bf6f536")


class Arrival(NamedTuple):
    """A request as the first revision takes it: without `large`."""

    request: int
    band: int
    give_up_at: float
    tenant: int = 0
    key: int | None = None
    work: float | None = None
    again: bool = False
    mutates: bool = False


# Other classes with the fields of then: the actions that the first revision has, and a plan without pins.
Listing = namedtuple("EarlierListing", model.Listing._fields)
Steer = namedtuple("EarlierSteer", model.Steer._fields[:-1])
ACTIONS = {
    kind.__name__: namedtuple(kind.__name__, kind._fields) for kind in earlier_interface.SAME_ACTIONS
} | {
    "Send": namedtuple("Send", ["request", "server", "timeout"]),
    "Timer": namedtuple("Timer", ["delay", "token"]),
}


def package(*lacking):
    """A package with the earlier interface that notes each call and answers with `actions`."""

    class Balancer:
        calls: ClassVar[list[tuple]] = []  # of the one that was made last
        actions: ClassVar[list[tuple]] = []

        def __init__(self, *values):
            Balancer.calls = [("made", *values)]

    def method(name):
        def call(self, *values):
            Balancer.calls.append((name, *values))
            return Balancer.actions

        return call

    names = {*earlier_interface.METHODS, *earlier_interface.SAME_VALUES.values(), "steer"}
    for name in names.difference(lacking):
        setattr(Balancer, name, method(name))
    made = ModuleType("earlier")
    values = {"Arrival": Arrival, "Listing": Listing, "Steer": Steer, **ACTIONS}
    made.model = SimpleNamespace(**{name: kind for name, kind in values.items() if name not in lacking})
    made.Balancer, made.Settings, made.__file__ = Balancer, object, "/revision/earlier/__init__.py"
    return made


def balancer(made):
    """A balancer of today's interface with the decisions of a package."""
    assert earlier_interface.is_interface_of(made)
    return earlier_interface.stand_in("standing", made).Balancer(5.0, "settings", 9)


STEER = model.Steer({0: 0.7}, {1: {0: 1.0}}, {}, frozenset({1}), frozenset({"s2"}), {0: 4.0}, 0.5, 0.1, {})


@pytest.mark.parametrize(
    ("event", "call"),
    [
        (
            events.RequestArrived(7, 1, 900.0, 2, 5, 8.0, retried=True, mutates=True),
            ("request", Arrival(7, 1, 900.0, 2, 5, 8.0, True, True)),
        ),
        (
            events.AttemptEnded(7, 1, model.RESET, 4.0, True, {"inflight": 2.0}),
            ("outcome", 7, 1, model.RESET, 4.0, True, {"inflight": 2.0}),
        ),
        (events.AttemptWithdrawn(7, 1), ("unsent", 7, 1)),
        (events.AnswerStarted(7, 1), ("answer_started", 7, 1)),
        (events.BodyDiscarded(7), ("body_gone", 7)),
        (events.ClientLeft(7), ("client_gone", 7)),
        (events.TimerDue(model.ObjectiveTimer(7, 1)), ("timer", "due:7:1")),
        (events.TimerDue(model.QueueDeadlineTimer(7)), ("timer", "late:7")),
        (events.TimerDue(model.KeyPauseTimer(3)), ("timer", "turn:3")),
        (events.TimerDue(model.IdleCloseTimer("a:1")), ("timer", "close:a:1")),
        (events.TimerDue(model.DiscoveryRetryTimer()), ("timer", "watch")),
        (
            events.EndpointsListed(model.ListForm.REMEMBERED, [model.Listing("s0", 1, started=3.0)]),
            ("server_list", "remembered", [Listing("s0", 1, 0, 0, "active", 1.0, 3.0)]),
        ),
        (events.EndpointsListed(model.ListForm.COMPLETE, []), ("server_list", "all", [])),
        (events.EndpointsListed(model.ListForm.CHANGES, []), ("server_list", "changes", [])),
        (events.DiscoveryFailed(), ("server_list", "refused", ())),
        (
            events.HealthCheckEnded("s0", model.TIMEOUT, 6.0, {"queue": 1.0}),
            ("probe_result", "s0", model.TIMEOUT, 6.0, {"queue": 1.0}),
        ),
        (events.PeerMessageReceived(4, b"x"), ("peer_message", 4, b"x")),
        (events.SettingsReloaded("other", [0, 2]), ("reload", "other", [0, 2])),
        (events.SteeringChanged(STEER), ("steer", Steer(*STEER[:-1]))),
    ],
)
def test_each_event_calls_its_method_with_its_values_by_position(event, call):
    made = package()
    assert balancer(made).step(11.0, event) == []
    calls = [("made", 5.0, "settings", 9), (call[0], 11.0, *call[1:])]
    # Printed, since tuples of different classes are equal: the decisions read fields by the names of then.
    assert repr(made.Balancer.calls) == repr(calls)


def test_each_action_comes_back_as_todays():
    made = package()
    pairs = [
        (ACTIONS["Send"](7, "s0", 80.0), model.Send(7, "s0", 80.0)),
        (ACTIONS["Refuse"](7, 20.0), model.Refuse(7, 20.0)),
        (ACTIONS["Fail"](7), model.Fail(7)),
        (ACTIONS["Cancel"](7, 1), model.Cancel(7, 1)),
        (ACTIONS["Timer"](4.0, "due:7:1"), model.Timer(4.0, model.ObjectiveTimer(7, 1))),
        (ACTIONS["Timer"](4.0, "late:7"), model.Timer(4.0, model.QueueDeadlineTimer(7))),
        (ACTIONS["Timer"](4.0, "turn:3"), model.Timer(4.0, model.KeyPauseTimer(3))),
        (ACTIONS["Timer"](4.0, "close:a:1"), model.Timer(4.0, model.IdleCloseTimer("a:1"))),
        (ACTIONS["Timer"](4.0, "watch"), model.Timer(4.0, model.DiscoveryRetryTimer())),
        (ACTIONS["Fetch"](), model.Fetch()),
        (ACTIONS["Watch"](True), model.Watch(True)),
        (ACTIONS["Probe"]("s0"), model.Probe("s0")),
        (ACTIONS["CloseIdle"]("s0"), model.CloseIdle("s0")),
        (ACTIONS["Tell"](None, b"x"), model.Tell(None, b"x")),
        (ACTIONS["Log"]("text"), model.Log("text")),
    ]
    made.Balancer.actions = [earlier for earlier, _ in pairs]
    actions = balancer(made).step(0.0, events.DiscoveryFailed())
    assert actions == [today for _, today in pairs]
    assert [type(action) for action in actions] == [type(today) for _, today in pairs]


def test_a_timer_about_a_request_and_a_limit_of_a_send_are_kept_where_they_are_given():
    made = package()
    made.model.Timer = namedtuple("Timer", model.Timer._fields)
    made.model.Send = namedtuple("Send", model.Send._fields)
    made.Balancer.actions = [made.model.Timer(4.0, "due:7:1", 7), made.model.Send(7, "s0", 80.0, 95.0)]
    assert balancer(made).step(0.0, events.DiscoveryFailed()) == [
        model.Timer(4.0, model.ObjectiveTimer(7, 1), 7),
        model.Send(7, "s0", 80.0, 95.0),
    ]


@pytest.mark.parametrize(
    ("event", "lacking"),
    [
        (events.SteeringChanged(model.Steer()), "steer"),
        (events.SteeringChanged(model.Steer()), "Steer"),
        (events.BodyDiscarded(7), "body_gone"),
    ],
)
def test_an_event_that_a_revision_does_not_know_is_refused_with_what_to_do(event, lacking):
    with pytest.raises(SettingsError, match=f"no `{lacking}`.*later revision"):
        balancer(package(lacking)).step(0.0, event)


def test_a_package_without_the_methods_or_the_values_has_another_interface():
    assert earlier_interface.is_interface_of(package("steer", "unsent", "reload", "body_gone", "Steer"))
    for lacking in ("Arrival", *earlier_interface.METHODS):
        assert not earlier_interface.is_interface_of(package(lacking))
    assert not earlier_interface.is_interface_of(ModuleType("empty"))


def skip_without(*revisions):
    """Skip a test in a clone that does not have these revisions."""
    for revision in revisions:
        named = ["git", "-C", str(ROOT), "cat-file", "-e", f"{revision}^{{commit}}"]
        if subprocess.run(named, capture_output=True).returncode:
            pytest.skip(f"this clone is shallow: it does not have revision {revision}")


def lab_run(file, out):
    """The rows of an experiment's plays, by version."""
    words = [sys.executable, "-m", "brassfall", "lab", "run", str(file), "--out", str(out)]
    done = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, timeout=240)
    assert done.returncode == 0, done.stderr
    rows = [json.loads(line) for line in (out / "plays.jsonl").read_bytes().splitlines()]
    return {row["version"]: row for row in rows}


def test_one_day_of_the_experiment_in_the_readme_is_played_by_both_versions(tmp_path):
    skip_without(FIRST)
    text = (ROOT / "experiments" / "zone-cut.toml").read_text()
    assert text.count("repeats = 6") == 1 and f'revision = "{FIRST}"' in text
    file = tmp_path / "e.toml"
    file.write_text(text.replace("repeats = 6", "repeats = 1"))
    rows = lab_run(file, tmp_path / "out")
    asked = len(day.sample_day(spec.load(file), 1).arrivals.at)
    assert rows.keys() == {"now", "first"} and asked > 10_000
    for row in rows.values():
        judgement = row["judgement"]
        assert row["valid"] and row["seed"] == 1 and judgement["findings"] == []
        assert judgement["figures"]["requests"] == asked and judgement["figures"]["service"] > 0.9
    # The same day for other decisions: they send the same requests elsewhere, and the figures show it.
    assert rows["now"]["judgement"] != rows["first"]["judgement"]


def test_a_day_is_played_by_later_revisions_with_this_interface(tmp_path):
    skip_without(*LATER)
    file = tmp_path / "e.toml"
    file.write_text(
        '[experiment]\nname = "t"\nmode = "simulated"\nfor = "6 s"\nworkers = 2\n[load]\nshare = 0.8\n'
        '[fleet]\nservers = 9\nsidecars = 3\n[[faults]]\nkind = "kill"\nat = "2 s"\nfor = "2 s"\npart = 0.3\n'
        + "".join(f'[[versions]]\nname = "v{number}"\nrevision = "{number}"\n' for number in LATER)
    )
    rows = lab_run(file, tmp_path / "out")
    assert len(rows) == len(LATER)
    for row in rows.values():
        assert row["valid"] and row["judgement"]["findings"] == []
        assert row["judgement"]["figures"]["service"] > 0.5
