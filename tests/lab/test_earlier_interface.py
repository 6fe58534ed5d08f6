"""The adapters for earlier balancers: each event and each action of both interfaces, and whole plays."""

from __future__ import annotations

import json
import subprocess
import sys
from collections import namedtuple
from enum import Enum, IntEnum
from types import ModuleType, SimpleNamespace
from typing import ClassVar, NamedTuple

import pytest

from brassfall.balancer import events, model
from brassfall.lab import day, earlier_interface, spec
from brassfall.settings import SettingsError
from tests.support.processes import ROOT

FIRST_REVISION = "50b2e17"  # The method interface with the fewest methods
# Further revisions with the method interface: one that experiments name, the first under the present name of
# the package, and the last one.
LATER_METHOD_REVISIONS = ("8506d1d", "f724bcc", "bf6f536")
LAST_TYPED_REVISION = "ddb1180"


class Arrival(NamedTuple):
    """A request in the form of the first revision, which has no field `large`."""

    request: int
    band: int
    give_up_at: float
    tenant: int = 0
    key: int | None = None
    work: float | None = None
    again: bool = False
    mutates: bool = False


# Further classes of earlier revisions with the method interface: an entry of the endpoint list, a steering
# plan without pins, and the actions, of which the first revision has `Send` and `Timer` with fewer fields.
Listing = namedtuple("EarlierListing", model.EndpointEntry._fields)
Steer = namedtuple("EarlierSteer", model.SteeringDirectives._fields[:-1])
ACTIONS = {
    name: namedtuple(name, present._fields) for name, present in earlier_interface.ACTION_CLASSES.items()
} | {
    "Send": namedtuple("Send", ["request", "server", "timeout"]),
    "Timer": namedtuple("Timer", ["delay", "token"]),
}


def method_package(*lacking):
    """Return a package with the method interface that records each call and answers with `actions`."""

    class Balancer:
        calls: ClassVar[list[tuple]] = []  # Calls of the balancer that was constructed last
        actions: ClassVar[list[tuple]] = []

        def __init__(self, *values):
            Balancer.calls = [("constructed", *values)]

    def recording_method(name):
        def record(self, *values):
            Balancer.calls.append((name, *values))
            return Balancer.actions

        return record

    names = {*earlier_interface.REQUIRED_METHODS, *earlier_interface.METHODS_BY_EVENT.values(), "steer"}
    for name in names.difference(lacking):
        setattr(Balancer, name, recording_method(name))
    package = ModuleType("earlier")
    classes = {"Arrival": Arrival, "Listing": Listing, "Steer": Steer, **ACTIONS}
    package.model = SimpleNamespace(**{name: kind for name, kind in classes.items() if name not in lacking})
    package.Balancer, package.Settings, package.__file__ = Balancer, object, "/revision/earlier/__init__.py"
    return package


def adapted_balancer(package):
    """Return a balancer with the present interface that runs the decisions of a package."""
    assert earlier_interface.is_supported(package)
    return earlier_interface.with_present_interface("adapted", package).Balancer(5.0, "settings", 9)


STEERING = model.SteeringDirectives(
    {0: 0.7}, {1: {0: 1.0}}, {}, frozenset({1}), frozenset({"s2"}), {0: 4.0}, 0.5, 0.1, {}
)


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
            events.EndpointListReceived(
                model.ListForm.CONFIGURED, [model.EndpointEntry("s0", 1, started=3.0)]
            ),
            ("server_list", "remembered", [Listing("s0", 1, 0, 0, "active", 1.0, 3.0)]),
        ),
        (events.EndpointListReceived(model.ListForm.COMPLETE, []), ("server_list", "all", [])),
        (events.EndpointListReceived(model.ListForm.CHANGES, []), ("server_list", "changes", [])),
        (events.DiscoveryFailed(), ("server_list", "refused", ())),
        (
            events.HealthCheckEnded("s0", model.TIMEOUT, 6.0, {"queue": 1.0}),
            ("probe_result", "s0", model.TIMEOUT, 6.0, {"queue": 1.0}),
        ),
        (events.PeerMessageReceived(4, b"x"), ("peer_message", 4, b"x")),
        (events.SettingsReloaded("other", [0, 2]), ("reload", "other", [0, 2])),
        (events.SteeringChanged(STEERING), ("steer", Steer(*STEERING[:-1]))),
    ],
)
def test_each_event_calls_its_method_with_its_values_by_position(event, call):
    package = method_package()
    assert adapted_balancer(package).step(11.0, event) == []
    calls = [("constructed", 5.0, "settings", 9), (call[0], 11.0, *call[1:])]
    # Compared as text, because tuples of different classes are equal and the earlier decisions read the
    # fields by their earlier names.
    assert repr(package.Balancer.calls) == repr(calls)


def test_each_action_of_the_method_interface_comes_back_as_the_present_action():
    package = method_package()
    pairs = [
        (ACTIONS["Send"](7, "s0", 80.0), model.SendAttempt(7, "s0", 80.0)),
        (ACTIONS["Refuse"](7, 20.0), model.RefuseRequest(7, 20.0)),
        (ACTIONS["Fail"](7), model.FailRequest(7)),
        (ACTIONS["Cancel"](7, 1), model.CancelAttempt(7, 1)),
        (ACTIONS["Timer"](4.0, "due:7:1"), model.StartTimer(4.0, model.ObjectiveTimer(7, 1))),
        (ACTIONS["Timer"](4.0, "late:7"), model.StartTimer(4.0, model.QueueDeadlineTimer(7))),
        (ACTIONS["Timer"](4.0, "turn:3"), model.StartTimer(4.0, model.KeyPauseTimer(3))),
        (ACTIONS["Timer"](4.0, "close:a:1"), model.StartTimer(4.0, model.IdleCloseTimer("a:1"))),
        (ACTIONS["Timer"](4.0, "watch"), model.StartTimer(4.0, model.DiscoveryRetryTimer())),
        (ACTIONS["Fetch"](), model.FetchEndpointList()),
        (ACTIONS["Watch"](True), model.WatchEndpointList(True)),
        (ACTIONS["Probe"]("s0"), model.CheckServerHealth("s0")),
        (ACTIONS["CloseIdle"]("s0"), model.CloseIdleConnections("s0")),
        (ACTIONS["Tell"](None, b"x"), model.SendPeerMessage(None, b"x")),
        (ACTIONS["Log"]("text"), model.WriteLog("text")),
    ]
    package.Balancer.actions = [earlier for earlier, _ in pairs]
    actions = adapted_balancer(package).step(0.0, events.DiscoveryFailed())
    assert actions == [present for _, present in pairs]
    assert [type(action) for action in actions] == [type(present) for _, present in pairs]


def test_the_request_of_a_timer_and_the_time_limit_of_an_attempt_are_kept_where_they_are_given():
    package = method_package()
    package.model.Timer = namedtuple("Timer", model.StartTimer._fields)
    package.model.Send = namedtuple("Send", model.SendAttempt._fields)
    package.Balancer.actions = [
        package.model.Timer(4.0, "due:7:1", 7),
        package.model.Send(7, "s0", 80.0, 95.0),
    ]
    assert adapted_balancer(package).step(0.0, events.DiscoveryFailed()) == [
        model.StartTimer(4.0, model.ObjectiveTimer(7, 1), 7),
        model.SendAttempt(7, "s0", 80.0, 95.0),
    ]


@pytest.mark.parametrize(
    ("event", "lacking"),
    [
        (events.SteeringChanged(model.SteeringDirectives()), "steer"),
        (events.SteeringChanged(model.SteeringDirectives()), "Steer"),
        (events.BodyDiscarded(7), "body_gone"),
    ],
)
def test_an_event_that_a_revision_does_not_know_is_refused_with_what_to_do(event, lacking):
    with pytest.raises(SettingsError, match=f"no `{lacking}`.*later revision"):
        adapted_balancer(method_package(lacking)).step(0.0, event)


def test_a_package_without_the_methods_or_the_values_has_another_interface():
    assert earlier_interface.is_supported(method_package("steer", "unsent", "reload", "body_gone", "Steer"))
    for lacking in ("Arrival", *earlier_interface.REQUIRED_METHODS):
        assert not earlier_interface.is_supported(method_package(lacking))
    assert not earlier_interface.is_supported(ModuleType("empty"))


class TypedOutcome(IntEnum):
    """The outcomes under the names that they have in the typed interface of earlier revisions."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    ABANDONED = 7


class TypedListForm(Enum):
    """The list forms under the names that they have in the typed interface of earlier revisions."""

    REMEMBERED = "remembered"
    COMPLETE = "all"
    CHANGES = "changes"


def typed_classes(fields_by_name):
    """Return classes with these names and fields by name; their text shows that they are earlier classes."""
    return {name: namedtuple(f"Earlier{name}", fields) for name, fields in fields_by_name.items()}


# The classes of the typed interface under their earlier names.
TYPED_MODEL = SimpleNamespace(
    Outcome=TypedOutcome,
    ListForm=TypedListForm,
    **typed_classes(
        {
            "Send": "request server timeout write_by",
            "Refuse": "request retry_after",
            "Fail": "request",
            "Cancel": "request attempt",
            "ObjectiveTimer": "request attempt",
            "QueueDeadlineTimer": "request",
            "KeyPauseTimer": "key",
            "IdleCloseTimer": "server",
            "DiscoveryRetryTimer": "",
            "Timer": "delay token request",
            "Fetch": "",
            "Watch": "on",
            "Probe": "server",
            "CloseIdle": "server",
            "Tell": "peer data",
            "Log": "text",
            "Listing": "server zone kind cell state weight started",
            "Steer": (
                "shares class_shares tenant_shares excluded_zones excluded_servers caps weight explore pins"
            ),
        }
    ),
)
TYPED_EVENTS = SimpleNamespace(
    **typed_classes(
        {
            "RequestArrived": "request request_class give_up_at tenant key work retried mutates large",
            "AttemptEnded": "request attempt outcome elapsed request_ended report",
            "AttemptWithdrawn": "request attempt",
            "AnswerStarted": "request attempt",
            "BodyDiscarded": "request",
            "ClientLeft": "request",
            "TimerDue": "token",
            "EndpointsListed": "form entries",
            "DiscoveryFailed": "",
            "HealthCheckEnded": "server outcome elapsed report",
            "PeerMessageReceived": "peer data",
            "SettingsReloaded": "settings retained",
            "SteeringChanged": "steer",
        }
    )
)


def typed_package():
    """Return a package with the typed interface that records each event and answers with `actions`."""

    class Balancer:
        calls: ClassVar[list[tuple]] = []  # Calls of the balancer that was constructed last
        actions: ClassVar[list[tuple]] = []

        def __init__(self, *values):
            Balancer.calls = [("constructed", *values)]

        def step(self, now, event):
            Balancer.calls.append((now, event))
            return Balancer.actions

    package = ModuleType("earlier")
    package.model, package.events = (
        SimpleNamespace(**vars(TYPED_MODEL)),
        SimpleNamespace(**vars(TYPED_EVENTS)),
    )
    package.Balancer, package.Settings, package.__file__ = Balancer, object, "/revision/earlier/__init__.py"
    return package


TIMER_TOKENS = [
    (TYPED_MODEL.ObjectiveTimer(7, 1), model.ObjectiveTimer(7, 1)),
    (TYPED_MODEL.QueueDeadlineTimer(7), model.QueueDeadlineTimer(7)),
    (TYPED_MODEL.KeyPauseTimer(3), model.KeyPauseTimer(3)),
    (TYPED_MODEL.IdleCloseTimer("a:1"), model.IdleCloseTimer("a:1")),
    (TYPED_MODEL.DiscoveryRetryTimer(), model.DiscoveryRetryTimer()),
]


@pytest.mark.parametrize(
    ("event", "earlier"),
    [
        (
            events.RequestArrived(7, 1, 900.0, 2, 5, 8.0, retried=True, mutates=True, large=True),
            TYPED_EVENTS.RequestArrived(7, 1, 900.0, 2, 5, 8.0, True, True, True),
        ),
        *(
            (
                events.AttemptEnded(7, 1, present, 4.0, True, {"inflight": 2.0}),
                TYPED_EVENTS.AttemptEnded(7, 1, outcome, 4.0, True, {"inflight": 2.0}),
            )
            for outcome, present in [
                (TypedOutcome.OK, model.OK),
                (TypedOutcome.ERROR, model.ERROR),
                (TypedOutcome.FULL, model.REJECTED),
                (TypedOutcome.TIMEOUT, model.TIMEOUT),
                (TypedOutcome.CONNECT_FAILED, model.CONNECT_FAILED),
                (TypedOutcome.RESET, model.RESET),
                (TypedOutcome.CANCELLED, model.CANCELLED),
                (TypedOutcome.ABANDONED, model.ABANDONED),
            ]
        ),
        (events.AttemptWithdrawn(7, 1), TYPED_EVENTS.AttemptWithdrawn(7, 1)),
        (events.AnswerStarted(7, 1), TYPED_EVENTS.AnswerStarted(7, 1)),
        (events.BodyDiscarded(7), TYPED_EVENTS.BodyDiscarded(7)),
        (events.ClientLeft(7), TYPED_EVENTS.ClientLeft(7)),
        *((events.TimerDue(present), TYPED_EVENTS.TimerDue(token)) for token, present in TIMER_TOKENS),
        (
            events.EndpointListReceived(
                model.ListForm.CONFIGURED, iter([model.EndpointEntry("s0", 1, started=3.0)])
            ),
            TYPED_EVENTS.EndpointsListed(
                TypedListForm.REMEMBERED, [TYPED_MODEL.Listing("s0", 1, 0, 0, "active", 1.0, 3.0)]
            ),
        ),
        (
            events.EndpointListReceived(model.ListForm.COMPLETE, []),
            TYPED_EVENTS.EndpointsListed(TypedListForm.COMPLETE, []),
        ),
        (
            events.EndpointListReceived(model.ListForm.CHANGES, ()),
            TYPED_EVENTS.EndpointsListed(TypedListForm.CHANGES, []),
        ),
        (events.DiscoveryFailed(), TYPED_EVENTS.DiscoveryFailed()),
        (
            events.HealthCheckEnded("s0", model.REJECTED, 6.0, {"queue": 1.0}),
            TYPED_EVENTS.HealthCheckEnded("s0", TypedOutcome.FULL, 6.0, {"queue": 1.0}),
        ),
        (events.PeerMessageReceived(4, b"x"), TYPED_EVENTS.PeerMessageReceived(4, b"x")),
        (events.SettingsReloaded("other", [0, 2]), TYPED_EVENTS.SettingsReloaded("other", [0, 2])),
        (events.SteeringChanged(STEERING), TYPED_EVENTS.SteeringChanged(TYPED_MODEL.Steer(*STEERING))),
    ],
)
def test_each_event_reaches_a_typed_balancer_as_its_earlier_class(event, earlier):
    package = typed_package()
    assert adapted_balancer(package).step(11.0, event) == []
    # Compared as text, because tuples of different classes are equal.
    assert repr(package.Balancer.calls) == repr([("constructed", 5.0, "settings", 9), (11.0, earlier)])


def test_each_action_of_the_typed_interface_comes_back_as_the_present_action():
    package = typed_package()
    pairs = [
        (TYPED_MODEL.Send(7, "s0", 80.0, 95.0), model.SendAttempt(7, "s0", 80.0, 95.0)),
        (TYPED_MODEL.Refuse(7, 20.0), model.RefuseRequest(7, 20.0)),
        (TYPED_MODEL.Fail(7), model.FailRequest(7)),
        (TYPED_MODEL.Cancel(7, 1), model.CancelAttempt(7, 1)),
        *((TYPED_MODEL.Timer(4.0, token, 7), model.StartTimer(4.0, now, 7)) for token, now in TIMER_TOKENS),
        (TYPED_MODEL.Timer(4.0, TIMER_TOKENS[0][0], None), model.StartTimer(4.0, TIMER_TOKENS[0][1])),
        (TYPED_MODEL.Fetch(), model.FetchEndpointList()),
        (TYPED_MODEL.Watch(True), model.WatchEndpointList(True)),
        (TYPED_MODEL.Probe("s0"), model.CheckServerHealth("s0")),
        (TYPED_MODEL.CloseIdle("s0"), model.CloseIdleConnections("s0")),
        (TYPED_MODEL.Tell(None, b"x"), model.SendPeerMessage(None, b"x")),
        (TYPED_MODEL.Log("text"), model.WriteLog("text")),
    ]
    package.Balancer.actions = [earlier for earlier, _ in pairs]
    actions = adapted_balancer(package).step(0.0, events.DiscoveryFailed())
    # Compared as text, because tuples of different classes are equal.
    assert repr(actions) == repr([present for _, present in pairs])


def test_a_package_without_one_of_the_typed_classes_or_with_another_form_of_it_has_another_interface():
    for namespace_name, classes in (("model", vars(TYPED_MODEL)), ("events", vars(TYPED_EVENTS))):
        for name, earlier_class in classes.items():
            package = typed_package()
            assert earlier_interface.is_supported(package)
            if issubclass(earlier_class, Enum):
                other_form = Enum(name, {member.name: member.value for member in [*earlier_class][1:]})
            else:
                other_form = namedtuple(name, [*earlier_class._fields, "another"])
            setattr(getattr(package, namespace_name), name, other_form)
            assert not earlier_interface.is_supported(package), name
            delattr(getattr(package, namespace_name), name)
            assert not earlier_interface.is_supported(package), name
    package = typed_package()
    del package.Balancer.step
    assert not earlier_interface.is_supported(package)


def skip_without(*revisions):
    """Skip a test in a clone that lacks one of these revisions."""
    for revision in revisions:
        command = ["git", "-C", str(ROOT), "cat-file", "-e", f"{revision}^{{commit}}"]
        if subprocess.run(command, capture_output=True).returncode:
            pytest.skip(f"this clone is shallow: it does not have revision {revision}")


def run_experiment(file, out):
    """Run an experiment and return the result of its plays by version."""
    command = [sys.executable, "-m", "brassfall", "lab", "run", str(file), "--out", str(out)]
    process = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=240)
    assert process.returncode == 0, process.stderr
    rows = [json.loads(line) for line in (out / "plays.jsonl").read_bytes().splitlines()]
    return {row["version"]: row for row in rows}


def short_experiment(file, *versions):
    """Write an experiment of one simulated day of 6 s with these versions, each given as TOML."""
    file.write_text(
        '[experiment]\nname = "t"\nmode = "simulated"\nfor = "6 s"\nworkers = 2\n[load]\nshare = 0.8\n'
        '[fleet]\nservers = 9\nsidecars = 3\n[[faults]]\nkind = "kill"\nat = "2 s"\nfor = "2 s"\npart = 0.3\n'
        + "".join(f"[[versions]]\n{version}\n" for version in versions)
    )
    return file


def test_one_day_of_the_experiment_in_the_readme_is_played_by_both_versions(tmp_path):
    skip_without(FIRST_REVISION)
    text = (ROOT / "experiments" / "zone-cut.toml").read_text()
    assert text.count("repeats = 6") == 1 and f'revision = "{FIRST_REVISION}"' in text
    file = tmp_path / "e.toml"
    file.write_text(text.replace("repeats = 6", "repeats = 1"))
    rows = run_experiment(file, tmp_path / "out")
    requests = len(day.sample_day(spec.load(file), 1).arrivals.at)
    assert rows.keys() == {"now", "first"} and requests > 10_000
    for row in rows.values():
        judgement = row["judgement"]
        assert row["valid"] and row["seed"] == 1 and judgement["findings"] == []
        assert judgement["figures"]["requests"] == requests and judgement["figures"]["service"] > 0.9
    # Both versions play the same requests with different decisions, so their figures differ.
    assert rows["now"]["judgement"] != rows["first"]["judgement"]


def test_a_day_is_played_by_later_revisions_with_the_method_interface(tmp_path):
    skip_without(*LATER_METHOD_REVISIONS)
    versions = [f'name = "v{number}"\nrevision = "{number}"' for number in LATER_METHOD_REVISIONS]
    rows = run_experiment(short_experiment(tmp_path / "e.toml", *versions), tmp_path / "out")
    assert len(rows) == len(LATER_METHOD_REVISIONS)
    for row in rows.values():
        assert row["valid"] and row["judgement"]["findings"] == []
        assert row["judgement"]["figures"]["service"] > 0.5


def test_a_day_is_played_by_the_last_revision_with_the_typed_interface(tmp_path):
    skip_without(LAST_TYPED_REVISION)
    version = f'name = "typed"\nrevision = "{LAST_TYPED_REVISION}"'
    rows = run_experiment(short_experiment(tmp_path / "e.toml", version), tmp_path / "out")
    assert rows.keys() == {"typed"}
    assert rows["typed"]["valid"] and rows["typed"]["judgement"]["findings"] == []
    assert rows["typed"]["judgement"]["figures"]["service"] > 0.5
