"""The control plane's messages and stored rows keep the recorded forms, whatever the code calls them.

`tests/data/wire/` holds each message that a small deployment (`tests/support/wire_scenario.py`) passed
around, by kind, and the rows that it stored, as they were before names in the code were changed. Today's
types have to read them and write the same JSON, and the deployment, played anew, has to pass the same forms
around.
"""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest

from brassfall.controlplane.aggregation.messages import AggregatorLease, AggregatorReport
from brassfall.controlplane.aggregation.messages import parse_report as parse_aggregator_report
from brassfall.controlplane.overrides.document import Document, Override
from brassfall.controlplane.overrides.history import Entry
from brassfall.controlplane.registry.aggregator.mirror import ListLine, parse_line
from brassfall.controlplane.registry.aggregator.state_lines import read_state
from brassfall.controlplane.registry.aggregator_rows import AggregatorRow
from brassfall.controlplane.registry.entries import (
    Endpoint,
    IncarnationReference,
    InstanceList,
    InstanceUpdate,
    Registration,
)
from brassfall.controlplane.registry.fleet_listing import Listing
from brassfall.controlplane.registry.report_answer import ReportAnswer
from brassfall.controlplane.registry.sidecar_rows import SidecarRow, Spread
from brassfall.controlplane.revisions.reports import Report, parse_delta, parse_report
from brassfall.controlplane.revisions.state import DurableState
from brassfall.sidecar.agent.lease_client import LeaseClient
from tests.support.loopback import bounded
from tests.support.wire_scenario import Recorder, forms, play

RECORDED = {
    kind: messages
    for path in sorted((Path(__file__).parents[1] / "data" / "wire").glob("*.json"))
    for kind, messages in json.loads(path.read_text()).items()
}
REPORT_KINDS = [kind for kind in RECORDED if "POST /edges" in kind and kind.endswith("call")]
ANSWER_KINDS = [kind for kind in RECORDED if "POST /edges" in kind and kind.endswith("answer")]
AGGREGATOR_KINDS = [kind for kind in RECORDED if "POST /aggregators" in kind]
RULES_KINDS = [kind for kind in RECORDED if kind.endswith("watch /rules")]
RULES_KINDS += ["operator GET /rules when halted answer", "operator GET /rules with overrides answer"]

# What a type writes of each kind of message that it reads; the other kinds have tests of their own below.
SAME = {
    **{kind: AggregatorReport for kind in AGGREGATOR_KINDS if kind.endswith("call")},
    **{kind: AggregatorLease for kind in AGGREGATOR_KINDS if kind.endswith("answer")},
    **dict.fromkeys(ANSWER_KINDS, ReportAnswer),
    "aggregator watch /registry/instances": ListLine,
    "aggregator GET /registry/instances answer": InstanceList,
    "operator GET /registry/instances answer": InstanceList,
    "operator PUT /registry/instances/s1 call": Registration,
    "operator PUT /registry/instances/s2 call": Registration,
    "operator PATCH /registry/instances/s1 call": InstanceUpdate,
    "operator POST /registry/instances/s1/renew call": IncarnationReference,
    "operator PUT /overrides/west-off call": Document,
    "operator PUT /overrides/look-9 call": Document,
}


def each(*kinds):
    """A parameter for each recorded message of these kinds."""
    rows = [
        pytest.param(message, id=f"{kind} {number}")
        for kind in kinds
        for number, message in enumerate(RECORDED[kind])
    ]
    return pytest.mark.parametrize("message", rows)


def plain(value):
    """A value as its JSON reads."""
    return json.loads(msgspec.json.encode(value))


def written(message, made):
    """What the type writes of the fields that a message has; the rest it may fill with what is left out."""
    if isinstance(message, dict):
        return {name: written(message[name], made[name]) for name in message if name in made}
    if isinstance(message, list):
        return [written(one, other) for one, other in zip(message, made, strict=True)]
    return made


@pytest.mark.parametrize(("kind", "form"), SAME.items(), ids=list(SAME))
def test_what_is_read_is_written_again(kind, form):
    for message in RECORDED[kind]:
        made = plain(msgspec.json.decode(json.dumps(message), type=form))
        assert written(message, made) == message


@each(*[kind for kind in AGGREGATOR_KINDS if kind.endswith("call")])
def test_merged_reports_are_read_and_written_alike(message):
    report = parse_aggregator_report(json.dumps(message).encode())
    assert plain(msgspec.convert(plain(report), AggregatorReport)) == plain(report)
    assert written(message, plain(report)) == message


@each(*[kind for kind in AGGREGATOR_KINDS if kind.endswith("answer")], *ANSWER_KINDS)
def test_answers_of_the_tier_are_written_byte_for_byte(message):
    form = AggregatorLease if "epoch" in message else ReportAnswer
    assert plain(msgspec.convert(message, form)) == message


@pytest.mark.parametrize("kind", REPORT_KINDS)
def test_reports_are_read_field_by_field(kind):
    before = None
    for message in RECORDED[kind]:
        if "after" in message:
            # The record leaves out reports of a form seen before: the one that this goes on from is put in.
            before = {**before, "seq": message["after"]}
        report, before = parse_delta(json.dumps(message).encode(), before)
        made = plain(report)
        for name, value in message.items():
            assert name == "after" or made[name] == value
        assert set(message) - {"after"} <= set(made)
    fields = set(plain(Report()))
    full = RECORDED["service POST /edges full call"][0]
    assert fields == set(full) | {"acknowledged", "leaving"}


def test_a_report_with_nothing_in_it_says_what_it_always_did():
    assert plain(parse_report(b"{}")) == {
        "life": "", "seq": 0, "of": None, "held": 0, "prepared": 0, "acknowledged": None, "acting": 0,
        "objection": None, "list_index": 0, "list_age_ms": None, "overrides": None, "digest": "", "told": 0,
        "retell": False, "acted": None, "group": "", "region": "", "leaving": False, "measures": {},
    }  # fmt: skip


@each(*ANSWER_KINDS)
def test_answers_are_heeded_by_a_sidecar(message):
    client = LeaseClient("p", lambda revision: "")
    seq = client.report_fields(0.0)["seq"]
    for number in (message["edition"], message.get("pending", 0)):
        client.receive_update({"edition": number, "state": "committed", "life": 1})
    assert client.receive_answer(0.0, seq, {"life": 1, **message})
    assert client.lease_left_ms(0.0) == pytest.approx(message["permission_ms"])
    assert client.active_configuration(0.0).fallback == (message["permission_ms"] == 0.0)


@each(*RULES_KINDS)
def test_lines_of_the_rules_are_read_by_sidecars_and_aggregators(message):
    client = LeaseClient("p", lambda revision: "")
    client.receive_update(message)
    assert client.newest_revision == message["edition"]
    assert client.report_fields(0.0)["prepared"] == (
        message["edition"] if message["state"] == "prepared" else 0
    )
    line = json.dumps(message).encode()
    received = read_state(line)
    beside = message.get("committed", {"edition": 0})["edition"]
    in_force = message["edition"] if message["state"] == "committed" else beside
    assert (received.epoch, received.revision) == (message["life"], message["edition"])
    assert (received.state, received.committed) == (message["state"], in_force)


@each("aggregator watch /registry/instances", "operator GET /registry/instances answer")
def test_lines_of_the_list_are_read(message):
    line = parse_line(json.dumps(message).encode())
    assert plain(line) == message
    assert plain(msgspec.convert(line.endpoints, list[Endpoint])) == message["endpoints"]


@each("operator GET /aggregators answer")
def test_rows_of_aggregators_are_read_and_written_alike(message):
    assert plain(msgspec.convert(message["aggregators"], list[AggregatorRow])) == message["aggregators"]


@each("operator GET /edges answer")
def test_rows_of_sidecars_are_read_and_written_alike(message):
    assert len(message["edges"]) > 1
    for row in message["edges"]:
        assert written(row, plain(msgspec.convert(row, SidecarRow))) == row
    assert plain(msgspec.convert(message["list"], Spread)) == message["list"]
    assert written(message, plain(msgspec.convert(message, Listing))) == message


@each("operator GET /tables/overrides, as stored answer")
def test_stored_overrides_are_read_and_written_alike(message):
    assert message["rows"]
    for row in message["rows"]:
        made = plain(msgspec.convert(row["value"], Override))
        assert made == row["value"]


@each("operator GET /tables/overrides-history, as stored answer")
def test_the_stored_history_is_read_and_written_alike(message):
    assert message["rows"]
    for row in message["rows"]:
        assert plain(msgspec.convert(row["value"], Entry)) == row["value"]


@each("operator GET /tables/rules, as stored answer")
def test_stored_revisions_are_read_and_written_alike(message):
    (row,) = message["rows"]
    assert plain(msgspec.convert(row["value"], DurableState)) == row["value"]


def test_all_that_may_be_stored_of_revisions_keeps_its_names():
    edition = {
        "number": 9, "life": 8, "follows": 7, "list_index": 6, "settings": {"caps": {"look": 1}},
        "plan": {"rows": []}, "plan_edition": 5, "overrides": [{"id": "x"}], "forced": True,
        "layers": ["plan"],
    }  # fmt: skip
    value = {
        "committed": edition, "pending": edition, "waiting": edition,
        "halted": {"edition": edition, "objections": {"n0": "no"}}, "newest": 9, "life": 8,
        "requests": {"r": 9},
    }  # fmt: skip
    assert plain(msgspec.convert(value, DurableState)) == value


# Whether a message has these is a matter of when a report comes.
TIMED = {
    "POST /aggregators answer": {".pending: number", ".why: string"},
    "GET /aggregators answer": {".aggregators[].objections.*: string", ".aggregators[].lagging[]: string"},
    "GET /rules?edition=N answer": forms(RECORDED["operator GET /rules?edition=N answer"][0]),
}


@bounded(60.0)
async def test_a_deployment_passes_the_recorded_forms_around(tmp_path):
    passed, recorded = by_type(await play(tmp_path)), by_type(RECORDED)
    assert passed.keys() == recorded.keys()
    for kind, known in recorded.items():
        assert passed[kind] ^ known <= TIMED.get(kind, set()), kind


def by_type(messages):
    """The fields and JSON types of all messages of one type, whoever sent them."""
    found = {}
    for kind, some in messages.items():
        words = [word for word in kind.split()[1:] if word not in ("full", "leaving")]
        found.setdefault(" ".join(words), set()).update(*map(forms, some))
    return found


def test_a_renamed_field_is_noticed():
    recorder = Recorder()
    recorder.add("k", {"edition": 1, "place": {"x": {"rev": 1}}})
    recorder.add("k", b'{"edition":2,"place":{"x":{"rev":3}}}')
    assert recorder.messages == {"k": [{"edition": 1, "place": {"x": {"rev": 1}}}]}
    recorder.add("k", {"revision": 1, "place": {"x": {"rev": 1}}})
    assert len(recorder.messages["k"]) == 2
    assert forms({"a": [{"b": 1}], "c": None}) == {
        ": object", ".a: list", ".a[]: object", ".a[].b: number", ".c: null",
    }  # fmt: skip
    assert forms({"left": {"x": {"rev": 1}}}) == forms({"left": {"y": {"rev": 2}, "x": {"rev": 1}}})
