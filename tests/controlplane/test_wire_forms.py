"""The control plane's messages and stored rows keep their recorded JSON forms.

The tests guard against a renamed attribute that changes a JSON field. `tests/data/wire/` has the messages
that a small deployment (`tests/support/wire_scenario.py`) sent, by kind, and the rows that it stored. The
present types have to decode these and encode the same JSON, and a new run of the deployment has to send
messages of the same forms.
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
from tests.support.wire_scenario import Recorder, forms, run_scenario

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

# Types that have to encode a kind of message just as they decoded it. Other kinds have their own tests below.
ROUND_TRIP_TYPES = {
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


def for_each_message(*kinds):
    """Parametrize a test with each recorded message of these kinds."""
    rows = [
        pytest.param(message, id=f"{kind} {number}")
        for kind in kinds
        for number, message in enumerate(RECORDED[kind])
    ]
    return pytest.mark.parametrize("message", rows)


def as_json(value):
    """Return a value as it reads after JSON encoding and decoding."""
    return json.loads(msgspec.json.encode(value))


def fields_of(message, encoded):
    """Return the encoded fields that a message has; the type may add defaults for other fields."""
    if isinstance(message, dict):
        return {name: fields_of(message[name], encoded[name]) for name in message if name in encoded}
    if isinstance(message, list):
        return [fields_of(one, other) for one, other in zip(message, encoded, strict=True)]
    return encoded


@pytest.mark.parametrize(("kind", "form"), ROUND_TRIP_TYPES.items(), ids=list(ROUND_TRIP_TYPES))
def test_each_message_is_encoded_as_it_was_decoded(kind, form):
    for message in RECORDED[kind]:
        encoded = as_json(msgspec.json.decode(json.dumps(message), type=form))
        assert fields_of(message, encoded) == message


@for_each_message(*[kind for kind in AGGREGATOR_KINDS if kind.endswith("call")])
def test_aggregator_reports_are_encoded_as_they_were_decoded(message):
    report = parse_aggregator_report(json.dumps(message).encode())
    assert as_json(msgspec.convert(as_json(report), AggregatorReport)) == as_json(report)
    assert fields_of(message, as_json(report)) == message


@for_each_message(*[kind for kind in AGGREGATOR_KINDS if kind.endswith("answer")], *ANSWER_KINDS)
def test_answers_to_reports_are_encoded_without_any_difference(message):
    form = AggregatorLease if "epoch" in message else ReportAnswer
    assert as_json(msgspec.convert(message, form)) == message


@pytest.mark.parametrize("kind", REPORT_KINDS)
def test_sidecar_reports_keep_each_recorded_field(kind):
    before = None
    for message in RECORDED[kind]:
        if "after" in message:
            # Reports of a form that was seen before are not recorded. So the report that this delta follows
            # is made up from the last one.
            before = {**before, "seq": message["after"]}
        report, before = parse_delta(json.dumps(message).encode(), before)
        encoded = as_json(report)
        for name, value in message.items():
            assert name == "after" or encoded[name] == value
        assert set(message) - {"after"} <= set(encoded)
    fields = set(as_json(Report()))
    full = RECORDED["service POST /edges full call"][0]
    assert fields == set(full) | {"acknowledged", "leaving"}


def test_an_empty_report_has_the_recorded_defaults():
    assert as_json(parse_report(b"{}")) == {
        "life": "", "seq": 0, "of": None, "held": 0, "prepared": 0, "acknowledged": None, "acting": 0,
        "objection": None, "list_index": 0, "list_age_ms": None, "overrides": None, "digest": "", "told": 0,
        "retell": False, "acted": None, "group": "", "region": "", "leaving": False, "measures": {},
    }  # fmt: skip


@for_each_message(*ANSWER_KINDS)
def test_a_sidecar_accepts_recorded_answers(message):
    client = LeaseClient("p", lambda revision: "")
    seq = client.report_fields(0.0)["seq"]
    for number in (message["edition"], message.get("pending", 0)):
        client.receive_update({"edition": number, "state": "committed", "life": 1})
    assert client.receive_answer(0.0, seq, {"life": 1, **message})
    assert client.lease_left_ms(0.0) == pytest.approx(message["permission_ms"])
    assert client.active_configuration(0.0).fallback == (message["permission_ms"] == 0.0)


@for_each_message(*RULES_KINDS)
def test_sidecars_and_aggregators_read_recorded_revision_lines(message):
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


@for_each_message("aggregator watch /registry/instances", "operator GET /registry/instances answer")
def test_recorded_lines_of_the_endpoint_list_are_decoded(message):
    line = parse_line(json.dumps(message).encode())
    assert as_json(line) == message
    assert as_json(msgspec.convert(line.endpoints, list[Endpoint])) == message["endpoints"]


@for_each_message("operator GET /aggregators answer")
def test_rows_of_aggregators_are_encoded_as_they_were_decoded(message):
    assert as_json(msgspec.convert(message["aggregators"], list[AggregatorRow])) == message["aggregators"]


@for_each_message("operator GET /edges answer")
def test_rows_of_sidecars_are_encoded_as_they_were_decoded(message):
    assert len(message["edges"]) > 1
    for row in message["edges"]:
        assert fields_of(row, as_json(msgspec.convert(row, SidecarRow))) == row
    assert as_json(msgspec.convert(message["list"], Spread)) == message["list"]
    assert fields_of(message, as_json(msgspec.convert(message, Listing))) == message


@for_each_message("operator GET /tables/overrides, as stored answer")
def test_stored_overrides_are_encoded_as_they_were_decoded(message):
    assert message["rows"]
    for row in message["rows"]:
        encoded = as_json(msgspec.convert(row["value"], Override))
        assert encoded == row["value"]


@for_each_message("operator GET /tables/overrides-history, as stored answer")
def test_stored_history_entries_are_encoded_as_they_were_decoded(message):
    assert message["rows"]
    for row in message["rows"]:
        assert as_json(msgspec.convert(row["value"], Entry)) == row["value"]


@for_each_message("operator GET /tables/rules, as stored answer")
def test_stored_revisions_are_encoded_as_they_were_decoded(message):
    (row,) = message["rows"]
    assert as_json(msgspec.convert(row["value"], DurableState)) == row["value"]


def test_every_field_of_the_stored_revision_state_keeps_its_name():
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
    assert as_json(msgspec.convert(value, DurableState)) == value


# Fields whose presence in a message depends on when a report arrives.
TIMING_DEPENDENT = {
    "POST /aggregators answer": {".pending: number", ".why: string"},
    "GET /aggregators answer": {".aggregators[].objections.*: string", ".aggregators[].lagging[]: string"},
    "GET /rules?edition=N answer": forms(RECORDED["operator GET /rules?edition=N answer"][0]),
}


@bounded(60.0)
async def test_a_deployment_sends_messages_of_the_recorded_forms(tmp_path):
    passed, recorded = forms_by_type(await run_scenario(tmp_path)), forms_by_type(RECORDED)
    assert passed.keys() == recorded.keys()
    for kind, known in recorded.items():
        assert passed[kind] ^ known <= TIMING_DEPENDENT.get(kind, set()), kind


def forms_by_type(messages):
    """Return the fields and JSON types of all messages of a type, whichever client sent them."""
    found = {}
    for kind, some in messages.items():
        words = [word for word in kind.split()[1:] if word not in ("full", "leaving")]
        found.setdefault(" ".join(words), set()).update(*map(forms, some))
    return found


def test_the_recorder_notices_a_renamed_field():
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
