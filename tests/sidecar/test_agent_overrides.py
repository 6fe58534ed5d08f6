"""Overrides at a sidecar: their deadlines, the parser of their wire form, and the rules that result."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brassfall.balancer import model
from brassfall.controlplane.overrides.document import overrides_layer, times_left
from brassfall.controlplane.overrides.expected import digest
from brassfall.lab.overrides.judge import expected
from brassfall.sidecar import config, config_values
from brassfall.sidecar.agent import deadlines, lease_client, overrides, rules, steering
from brassfall.sidecar.agent.deadlines import Deadlines, Phase
from brassfall.sidecar.agent.lists import EndpointList
from brassfall.sidecar.agent.override_layer import (
    Cap,
    Freeze,
    Hold,
    HoldScope,
    Override,
    Pin,
    Place,
    Shift,
    read_layer,
)
from brassfall.sidecar.agent.overrides import NO_REGION, LocalView, SteeringRules
from brassfall.sidecar.discovery import endpoint_list
from tests.support.overrides_service import OverrideService

NAMES = overrides.KnownNames(
    regions=frozenset("abc"),
    groups=frozenset({"g1", "g2"}),
    servers=frozenset({"s1", "s2"}),
    classes=frozenset({"c1"}),
    tenants=frozenset({"t1", "t2"}),
)
ANYWHERE = LocalView(Place(), NAMES)


def times_of(left_ms, rev=5, same_from=None):
    """Return the times left in an answer, with the override `x` alone."""
    return {"x": {"rev": rev, "left_ms": left_ms, **({"same_from": same_from} if same_from else {})}}


def test_a_deadline_counts_from_the_sending_of_the_report_even_if_the_process_is_stopped():
    known_deadlines = Deadlines()
    known_deadlines.receive(100.0, times_of(10_000), 100.2)
    end = known_deadlines.next_end(100.0)
    assert 109.7 < end <= 110.0  # The end is early by the largest possible drift between two clocks.
    assert (
        known_deadlines.active_ids(end - 0.001) == ("x",)
        and known_deadlines.phase("x", 5, end - 0.001) is Phase.IN_FORCE
    )
    # The phase is correct at 120 s although no code ran in the meantime.
    assert known_deadlines.active_ids(end) == () and known_deadlines.phase("x", 5, 120.0) is Phase.OVER
    # Another sidecar may act on the override for a while after this end.
    assert known_deadlines.phase("x", 5, end) is Phase.DOUBTFUL and known_deadlines.next_end(end) > 110.2
    assert known_deadlines.digest(101.0) == digest([("x", 5)]) != known_deadlines.digest(end)


# Name of the case; answers in order as (sent_s, received_s, left_ms, rev, same_from); whether revision 5 is
# in force at 105, at 109 and at 115 s.
ANSWERS = [
    ("one answer", [(100, 100, 10_000, 5, 5)], (True, True, False)),
    (
        "a longer time for the same revision",
        [(100, 100, 10_000, 5, 5), (101, 101, 60_000, 5, 5)],
        (True, True, False),
    ),
    (
        "a shorter time for the same revision",
        [(100, 100, 10_000, 5, 5), (101, 101, 5000, 5, 5)],
        (True, False, False),
    ),
    ("a slow answer, then a quick one", [(96, 102, 8000, 5, 5), (103, 103, 7000, 5, 5)], (True, True, False)),
    (
        "an older answer that comes late",
        [(102, 102, 8000, 5, 5), (90, 103, 19_000, 5, 5)],
        (True, True, False),
    ),
    ("a lower revision", [(100, 100, 10_000, 5, 5), (101, 101, 60_000, 4, 4)], (True, True, False)),
    ("an extension", [(100, 100, 10_000, 5, 5), (101, 101, 60_000, 6, 5)], (True, True, True)),
    (
        "a shortened revision with the same content",
        [(100, 100, 10_000, 5, 5), (101, 101, 5000, 6, 5)],
        (True, False, False),
    ),
    (
        "a newer revision with other content",
        [(100, 100, 10_000, 5, 5), (101, 101, 60_000, 6, 6)],
        (True, True, False),
    ),
    (
        "two newer revisions with other content",
        [(100, 100, 10_000, 5, 5), (101, 101, 60_000, 6, 6), (102, 102, 60_000, 7, 7)],
        (True, True, False),
    ),
    ("only a newer revision", [(100, 100, 60_000, 6, 6)], (False, False, False)),
    ("no time left", [(100, 100, 10_000, 5, 5), (101, 101, 0, 5, 5)], (False, False, False)),
]


@pytest.mark.parametrize(("answers", "wanted"), [t[1:] for t in ANSWERS], ids=[t[0] for t in ANSWERS])
def test_times_left_of_a_revision_narrow_its_end_and_a_newer_revision_replaces_it(answers, wanted):
    known_deadlines, ends = Deadlines(), []
    for sent_s, received_s, left_ms, rev, same_from in answers:
        rejected = known_deadlines.receive(
            float(sent_s), times_of(left_ms, rev, same_from), float(received_s)
        )
        ends.append(known_deadlines.next_end(100.0))
        assert not rejected or ends[-1] == ends[-2]  # A rejected time left changes nothing.
        assert (rejected == ("x",)) is (left_ms == 60_000 and len(ends) > 1 and rev == 5)
    assert (
        tuple(known_deadlines.phase("x", 5, at) is Phase.IN_FORCE for at in (105.0, 109.0, 115.0)) == wanted
    )


def test_slack_from_an_aggregator_makes_an_end_doubtful_without_extending_the_override():
    known_deadlines = Deadlines()
    left = {"rev": 5, "left_ms": 10_000, "slack_ms": 3000}
    known_deadlines.receive(100.0, {"x": left}, 100.2)
    end = known_deadlines.next_end(100.0)
    assert 109.7 < end <= 110.0 and known_deadlines.phase("x", 5, end) is Phase.DOUBTFUL
    fleet_end = known_deadlines.next_end(end)
    # The latest possible end by any clock.
    assert 113.2 < fleet_end < 113.6 and known_deadlines.phase("x", 5, fleet_end) is Phase.OVER
    # Another aggregator states less slack, and the two answers together bound the end.
    known_deadlines.receive(101.0, {"x": {"rev": 5, "left_ms": 9200, "slack_ms": 100}}, 101.0)
    assert end <= known_deadlines.next_end(101.0) < 110.2 and known_deadlines.next_end(110.2) < 110.7
    assert known_deadlines.receive(102.0, {"x": {**left, "left_ms": 60_000}}) == ("x",)


BAD_TIMES = [
    *(None, [], {}, {"rev": 5}),
    *({"rev": rev, "left_ms": 1} for rev in ("5", True, 0, 5.0, None)),
    *({"rev": 5, "left_ms": left} for left in ("1", True, None, float("nan"), float("inf"), 1e12)),
    {"rev": 5, "same_from": 6, "left_ms": 1},
    *({"rev": 5, "left_ms": 1, "slack_ms": slack} for slack in (-1, "1", True, None, float("nan"), 1e12)),
]


@pytest.mark.parametrize("row", BAD_TIMES)
def test_a_malformed_time_left_is_rejected_by_id_and_changes_nothing(row):
    known_deadlines = Deadlines()
    assert known_deadlines.receive(0.0, {"x": row, "y": {"rev": 1, "left_ms": 1000}}) == ("x",)
    assert known_deadlines.active_ids(0.5) == ("y",)


def test_a_thousand_ends_within_one_second_cause_few_changes_of_phases():
    known_deadlines, now, changes = Deadlines(), 0.0, 0
    known_deadlines.receive(0.0, {f"k{n}": {"rev": n + 1, "left_ms": 10_000 + n} for n in range(1000)})
    while (end := known_deadlines.next_end(now)) is not None:
        now, changes = end, changes + 1
    assert changes <= 25 and known_deadlines.active_ids(now) == ()


def test_times_left_are_requested_again_so_that_the_margin_is_small_near_the_end():
    known_deadlines, end, requests = Deadlines(), 86_400.0, 0
    now = 0.0
    known_deadlines.receive(now, times_of(end * 1000.0))
    while known_deadlines.active_ids(now):
        now += 0.9
        if known_deadlines.refresh_due(now):
            requests += 1
            known_deadlines.receive(now, times_of(max(0.0, end - now) * 1000.0))
    assert end - 1.0 < now < end + 0.9 and requests < 25
    known_deadlines = Deadlines()
    # A slow answer makes the end early, so the times left are requested again at once.
    known_deadlines.receive(0.0, times_of(60_000), 3.0)
    assert known_deadlines.refresh_due(3.1)


# --- the rules in force ---


def override_row(action, match=None, rev=1, priority=0, from_ms=0, places=None):
    return {"rev": rev, "from_ms": from_ms, "priority": priority, "action": action, "match": match or {},
            "places": places or {}}  # fmt: skip


def rules_in_force(rows, settings=None, left=None, at=0.0, sidecars=4):
    known_deadlines = Deadlines(drift=0.0)
    known_deadlines.receive(
        0.0, {key: {"rev": r["rev"], "left_ms": (left or {}).get(key, 60_000)} for key, r in rows.items()}
    )
    layer = read_layer([{"id": key, **r} for key, r in rows.items()])
    assert not layer.problems
    view = LocalView(Place("g1", "a"), NAMES, sidecars)
    return overrides.effective_rules(at, settings or SteeringRules(), layer.overrides, known_deadlines, view)


def rounded(value):
    """Return the value with its floats rounded, for comparisons."""
    if isinstance(value, dict):
        return {key: rounded(part) for key, part in value.items()}
    return round(value, 9) if isinstance(value, float) else value


T1, C1 = {"tenant": "t1"}, {"class": "c1"}  # The matches of overrides for a tenant and for a request class


def pin(region, **more):
    return override_row({"pin": {"region": region}}, T1, **more)


def shift(match=None, **to):
    more = {name: to.pop(name) for name in ("rev", "priority", "from_ms", "places") if name in to}
    return override_row({"shift": {"to": to}}, match, **more)


def hold(name, what="region", **more):
    return override_row({"hold": {what: name}}, **more)


def cap(rate):
    return override_row({"cap": {"per_s": rate}}, C1)


def test_an_extended_pin_and_the_region_of_the_settings_are_never_used_at_the_same_time():
    """Two sidecars act on the older document, and only one receives the extension before the old end."""
    settings = SteeringRules(tenant_pins={"t1": "a"})

    def region(known_deadlines, rev, at):
        layer = read_layer([{"id": "x", **pin("b", rev=rev)}])
        return overrides.effective_rules(
            at, settings, layer.overrides, known_deadlines, ANYWHERE
        ).tenant_pins["t1"]

    extended, unextended = Deadlines(), Deadlines()
    for known_deadlines in (extended, unextended):
        known_deadlines.receive(0.0, {"x": {"rev": 1, "same_from": 1, "left_ms": 10_000}}, 0.1)
    extended.receive(9.0, {"x": {"rev": 2, "same_from": 1, "left_ms": 11_000}}, 9.1)
    for tenth in range(150):
        both = {region(extended, 1, tenth / 10.0), region(unextended, 1, tenth / 10.0)}
        assert not {"a", "b"} <= both, tenth
    # The document with the extension is committed once each sidecar has acknowledged it or has no lease.
    assert [region(extended, rev, 12.0) for rev in (1, 2)] == ["", "b"]
    assert [region(extended, rev, 9.5) for rev in (1, 2)] == ["b", "b"]
    assert [region(extended, rev, 21.0) for rev in (1, 2)] == ["a", "a"]


BASE = SteeringRules(shares={"a": 0.5, "b": 0.5}, tenant_pins={"t2": "b"}, caps={"c1": 100.0})
# Name of the case; overrides by id; settings; the expected fields of the effective rules.
RULE_CASES = [
    ("no override",
     {}, BASE, {"shares": {"a": 0.5, "b": 0.5}, "tenant_pins": {"t2": "b"}, "caps": {"c1": 25.0}}),
    ("a higher priority takes precedence", {"x": pin("a", priority=1), "y": pin("b", from_ms=9)}, None,
     {"tenant_pins": {"t1": "a"}}),
    ("at equal priority the later start takes precedence",
     {"x": pin("a", from_ms=1), "y": pin("b", from_ms=2)}, None,
     {"tenant_pins": {"t1": "b"}}),
    ("a pin takes precedence over a shift of the same tenant",
     {"x": pin("a"), "y": shift(T1, b=1.0, priority=9)}, None,
     {"tenant_pins": {"t1": "a"}, "tenant_shares": {}}),
    ("all holds apply", {"x": hold("a"), "y": hold("g1", "group"), "z": hold("s1", "server")},
     SteeringRules(excluded_regions=frozenset("b")),
     {"excluded_regions": frozenset("ab"), "excluded_groups": frozenset({"g1"}),
      "excluded_servers": frozenset({"s1"})}),
    ("the lowest cap applies", {"x": cap(80.0), "y": cap(60.0)}, BASE, {"caps": {"c1": 15.0}}),
    ("the rest of a shift keeps the proportions of the settings", {"x": shift(C1, c=0.4)}, BASE,
     {"class_shares": {"c1": {"c": 0.4, "a": 0.3, "b": 0.3}}, "shares": {"a": 0.5, "b": 0.5}}),
    ("a shift applies on top of another one",
     {"in": shift(T1, a=0.5, priority=2), "out": shift(T1, b=1.0, priority=1)}, None,
     {"tenant_shares": {"t1": {"a": 0.5, "b": 0.5}}}),
    ("a later shift of a class applies on top of a shift of all requests", {"x": shift(C1, a=1.0, from_ms=1),
     "y": shift(b=1.0)}, None, {"shares": {"b": 1.0}, "class_shares": {"c1": {"a": 1.0}}}),
    ("a held region gets no share", {"x": shift(a=0.5, b=0.5), "y": hold("a")}, None,
     {"shares": {"b": 1.0}}),
    ("freeze", {"x": override_row({"freeze": True})}, None, {"frozen": True}),
    ("an override for another place does not apply",
     {"x": pin("a", places={"regions": ["b"]}), "y": pin("b", places={"groups": ["g1"]})}, None,
     {"tenant_pins": {"t1": "b"}, "acted": (("y", 1),)}),
    ("unknown names", {"x": hold("zz"), "y": pin("zz"), "z": shift(zz=0.5, a=0.5),
     "c": override_row({"cap": {"per_s": 1.0}}, {"class": "zz"})}, BASE,
     {"excluded_regions": frozenset(), "tenant_pins": {"t2": "b"}, "shares": {"a": 0.5, "b": 0.5}}),
    ("if all regions are held, the last hold does not apply",
     {"x": hold("a", priority=3), "y": hold("b", priority=1), "z": hold("c", priority=2)}, None,
     {"excluded_regions": frozenset("ac")}),
    ("if a hold and the settings exclude all regions, the hold does not apply",
     {"x": hold("a")}, SteeringRules(excluded_regions=frozenset("bc")),
     {"excluded_regions": frozenset("bc")}),
]  # fmt: skip


@pytest.mark.parametrize(
    ("rows", "settings", "wanted"), [case[1:] for case in RULE_CASES], ids=[case[0] for case in RULE_CASES]
)
def test_effective_rules_combine_the_settings_with_all_overrides_in_force(rows, settings, wanted):
    effective = rules_in_force(rows, settings)
    assert {name: rounded(getattr(effective, name)) for name in wanted} == wanted
    if any("zz" in json.dumps(r) for r in rows.values()):
        assert sorted(effective.unknown) == ["c: class zz", "x: region zz", "y: region zz", "z: region zz"]
    if effective.excluded_regions and frozenset("abc") <= {
        r["action"].get("hold", {}).get("region") for r in rows.values()
    }:
        assert effective.notes == ("y: region b is not held off, since no other region would be left",)


def test_a_shift_applies_again_when_a_shift_or_a_pin_that_takes_precedence_ends():
    rows = {"in": shift(T1, a=1.0, priority=2), "out": shift(T1, b=1.0), "pin": pin("c", priority=-1)}
    left = {"in": 1000, "pin": 2000}
    for at, pins, shares in ((0.5, {"t1": "c"}, {}), (1.5, {"t1": "c"}, {}), (2.5, {}, {"t1": {"b": 1.0}})):
        effective = rules_in_force(rows, left=left, at=at)
        assert (effective.tenant_pins, effective.tenant_shares) == (pins, shares)
    assert rules_in_force({"in": rows["in"], "out": rows["out"]}, left=left, at=0.5).tenant_shares == {
        "t1": {"a": 1.0}
    }


@pytest.mark.parametrize(
    ("settings", "pins"),
    [(None, ["a", "", ""]), ({"t1": "b"}, ["a", "", "b"]), ({"t1": "a"}, ["a", "a", "a"])],
)
def test_near_the_end_of_a_pin_its_tenant_is_served_only_in_a_region_that_all_sidecars_agree_on(
    settings, pins
):
    known_deadlines = Deadlines()
    known_deadlines.receive(0.0, {"x": {"rev": 1, "left_ms": 10_000}}, 0.3)
    layer = read_layer([{"id": "x", **pin("a")}])
    rules_now = SteeringRules(tenant_pins=settings or {})
    for at, region in zip((9.7, 10.0, 10.6), pins, strict=True):
        effective = overrides.effective_rules(at, rules_now, layer.overrides, known_deadlines, ANYWHERE)
        assert effective.tenant_pins.get("t1", "") == region
        assert bool(effective.tenant_pins) is (at < 10.5 or settings is not None)
        assert effective.acted == ((("x", 1),) if at < 9.8 else ())


def test_only_rules_that_all_revisions_allow_apply_between_revisions_and_without_a_lease():
    rows = {"x": pin("a"), "y": hold("a"), "z": cap(80.0), "s": shift(b=1.0)}
    one, other = (
        rules_in_force(rows, BASE),
        rules_in_force({"x": pin("b"), "y": hold("b"), "z": cap(40.0)}, BASE),
    )
    common = overrides.common_rules(one, other)
    assert common.tenant_pins == {"t1": NO_REGION, "t2": "b"} and common.excluded_regions == frozenset("ab")
    assert (common.caps, common.shares, common.acted) == ({"c1": 10.0}, one.shares, one.acted)
    # If both together exclude all regions, only the exclusions of the first rules apply.
    assert overrides.common_rules(one, other, frozenset("ab")).excluded_regions == one.excluded_regions
    assert overrides.common_rules(one, other, frozenset("abc")).excluded_regions == frozenset("ab")
    fallback = overrides.rules_without_lease(one, {"t2": "c"}, (), 0.5)
    assert fallback.tenant_pins == {"t1": NO_REGION, "t2": "c"} and fallback.caps == {"c1": 10.0}
    assert fallback.excluded_regions == one.excluded_regions
    settings = {
        "shares": {"g1": {"a": 1.0}},
        "tenants": {"t2": "b"},
        "regions": {"held": ["c"]},
        "caps": {"c1": 8},
    }
    assert rules.base_rules(settings, "g1") == SteeringRules(
        shares={"a": 1.0}, tenant_pins={"t2": "b"}, excluded_regions=frozenset("c"), caps={"c1": 8}
    )
    assert rules.base_rules({}, "g2") == SteeringRules()


@pytest.mark.parametrize(
    ("received", "excluded"),
    [
        ({6: "b"}, "ab"),
        # Together the revisions exclude all regions, and no sidecar acts on 7 before 6.
        ({6: "b", 7: "c"}, "ab"),
        # The older revisions come from a service with an old copy of its store, which waits before it grants.
        ({3: "b", 4: "c", 6: "c"}, "ac"),
        ({3: "b"}, "ab"),
        ({6: "a", 7: "abc", 8: "c"}, "ac"),
    ],
)
def test_the_next_revision_takes_precedence_if_concurrent_revisions_exclude_all_regions(received, excluded):
    def revision(number, names):
        return lease_client.Revision(number, {"regions": {"held": list(names)}}, None, ())

    names = config_values.WireNames({}, {}, {"a": 0, "b": 1, "c": 2, "empty": 3}, {})
    endpoints = EndpointList(
        endpoint_list.ServerList(1, True, [model.EndpointEntry(f"s{zone}", zone) for zone in range(3)], {})
    )
    agreement = config.Agreement(3000.0, "", "", {})
    tested_steering = steering.Steering(agreement, lambda: names, lambda: endpoints)
    active = lease_client.ActiveConfiguration(
        False, revision(5, "a"), tuple(revision(*row) for row in reversed(received.items()))
    )
    assert tested_steering.effective_rules(active, 0.0).excluded_regions == frozenset(excluded)


@pytest.mark.parametrize(
    ("raw", "why"),
    [
        ({}, "expected a list"),
        (None, "None"),
        ({"id": "x", **override_row({"warp": 9})}, "unsupported action: warp"),
        ({"id": "x", **override_row({"freeze": True, "pin": {"region": "a"}})}, "freeze and pin"),
        ({"id": "x", **override_row({"freeze": True}, {"user": "u"})}, "unsupported key in match: user"),
        (
            {"id": "x", **override_row({"freeze": True}, places={"racks": ["r"]})},
            "unsupported key in places: racks",
        ),
        ({"id": "x", **override_row({"hold": {"rack": "r"}})}, "unsupported hold of rack"),
        ({"id": "x", **override_row({"freeze": True}), "rev": "1"}, "whole numbers"),
        ({"id": "x", **override_row({"shift": {"to": {"a": float("nan")}}})}, "share"),
        ({"id": "x", **override_row({"freeze": True}, {"class": ["c1"]})}, "match: expected names"),
        ({"id": "x", **override_row({"pin": {"region": "a"}}, {"tenant": {}})}, "match: expected names"),
    ],
)
def test_an_unsupported_override_is_a_problem_and_the_other_overrides_are_parsed(raw, why):
    layer = read_layer(raw if raw == {} else [raw, {"id": "good", **pin("a")}])
    assert why in layer.problems[0]
    assert [override.id for override in layer.overrides] == ([] if raw == {} else ["good"])


ACTIONS = [
    ({"shift": {"to": {"a": 1}}}, Shift({"a": 1.0})),
    ({"hold": {"server": "s1", "group": None}}, Hold(HoldScope.SERVER, "s1")),
    ({"hold": {"group": "g1"}}, Hold(HoldScope.GROUP, "g1")),
    ({"hold": {"region": "a"}}, Hold(HoldScope.REGION, "a")),
    ({"cap": {"per_s": 5}, "pin": None}, Cap(5.0)),
    ({"pin": {"region": "a"}}, Pin("a")),
    ({"freeze": True}, Freeze()),
]


@pytest.mark.parametrize(("raw", "action"), ACTIONS)
def test_an_action_on_the_wire_is_parsed_into_one_typed_value(raw, action):
    layer = read_layer([{"id": "x", **override_row(raw, T1, rev=3, places={"groups": ["g1"]})}])
    assert layer.overrides == (
        Override(
            id="x", revision=3, start_ms=0, priority=0, action=action, tenant="t1", groups=frozenset({"g1"})
        ),
    )


ROWS = st.one_of(
    st.builds(lambda r: {"pin": {"region": r}}, st.sampled_from("abc")).map(lambda a: (a, "tenant")),
    st.builds(lambda r: {"shift": {"to": {r: 1.0}}}, st.sampled_from("abc")).map(lambda a: (a, "tenant")),
    st.builds(lambda r: {"hold": {"region": r}}, st.sampled_from("abc")).map(lambda a: (a, None)),
    st.builds(lambda n: {"cap": {"per_s": n}}, st.sampled_from([5.0, 9.0])).map(lambda a: (a, "class")),
    st.just(({"freeze": True}, None)),
)


@given(
    st.lists(
        st.tuples(ROWS, st.sampled_from(["t1", "t2"]), st.integers(-1, 1), st.integers(0, 2)), max_size=8
    )
)
def test_effective_rules_equal_those_of_the_model_for_any_overrides(samples):
    rows = {}
    for number, ((action, by), tenant, priority, from_ms) in enumerate(samples):
        match = {"tenant": tenant} if by == "tenant" else C1 if by == "class" else {}
        rows[f"o{number}"] = override_row(action, match, number + 1, priority, from_ms)
    effective = rules_in_force(rows, sidecars=1)
    wanted = expected(rows, ("a", "b", "c"))
    assert {name: getattr(effective, name) for name in wanted} == wanted


def test_a_layer_from_the_service_is_parsed_and_both_sides_compute_the_same_digest():
    service = (
        OverrideService()
        .put(1, action={"shift": {"to": {"a": 0.5}}}, match=C1, places={"groups": ["g1"]})
        .durable()
    )
    active = service.store.active(service.at)
    wire = json.loads(
        json.dumps({"layer": overrides_layer(active), "times_left": times_left(active, service.at)})
    )
    parsed_layer = read_layer(wire["layer"])
    known_deadlines = Deadlines()
    assert not parsed_layer.problems and known_deadlines.receive(0.0, wire["times_left"]) == ()
    assert (
        known_deadlines.newest_revision == active[0].rev
        and times_left(active, service.at, known_deadlines.newest_revision) == {}
    )
    effective = overrides.effective_rules(
        1.0, SteeringRules(), parsed_layer.overrides, known_deadlines, LocalView(Place("g1", "a"), NAMES)
    )
    assert effective.class_shares == {"c1": {"a": 0.5, "b": 0.25, "c": 0.25}}
    assert deadlines.digest(effective.acted) == digest((o.id, o.rev) for o in active)
