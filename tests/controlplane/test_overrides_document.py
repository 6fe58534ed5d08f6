"""Checks of override documents, and the clock that decides whether an override has ended."""

from __future__ import annotations

import json

import pytest

from brassfall.controlplane.overrides.clock import SteadyClock
from brassfall.controlplane.overrides.document import BadOverrideError, parse_document
from tests.support.overrides_service import HOUR, NOW, body

HOLD = {"hold": {"region": "a"}}
# Description, body of the call, and a part of the reason for the refusal.
MALFORMED_DOCUMENTS = [
    ("not JSON", b"{", "truncated"),
    ("no object", b"[]", "Expected `object`"),
    ("nested too deep", b'{"action":' + b"[" * 100_000, ""),
    ("not UTF-8", b'{"by": "\xff"}', ""),
    ("an unknown key", body(extra=1), "unknown field `extra`"),
    ("no author", body(by=" "), "`by`"),
    ("no reason", body(why=""), "`why`"),
    ("a long reason", body(why="w" * 501), "`why`"),
    ("no action", body({"hold": None}), "0 of"),
    ("two actions", body({"freeze": True, **HOLD}), "2 of"),
    ("two holds", body({"hold": {"region": "a", "group": "g"}}), "exactly one server, group or region"),
    ("a hold for one class", body(HOLD, {"class": "c1"}), "`match` of a hold"),
    ("a cap without a class", body({"cap": {"per_s": 5}}), "has to name a class"),
    ("a cap of zero", body({"cap": {"per_s": 0}}, {"class": "c1"}), "per_s"),
    ("a cap of text", body({"cap": {"per_s": "5"}}, {"class": "c1"}), "Expected `float`"),
    ("a pin of a class", body({"pin": {"region": "a"}}, {"class": "c1"}), "has to name a tenant"),
    ("a class and a tenant", body({"shift": {"to": {"a": 1}}}, {"class": "c", "tenant": "t"}), "only one"),
    ("shares over one", body({"shift": {"to": {"a": 0.7, "b": 0.4}}}), "over 1"),
    ("a negative share", body({"shift": {"to": {"a": -0.1}}}), "between 0 and 1"),
    ("no shares", body({"shift": {"to": {}}}), "1 to 256 regions"),
    ("a place without a name", body(places={"groups": [""]}), "`places.groups`"),
    ("an end in the past", body(left=-5), "past by 5 ms"),
    ("an end at the present time", body(left=0), "past"),
    ("an end more than a day ahead", body(left=24 * HOUR + 1), "24 h"),
    ("an end that is no number", body(until_ms=1e400), ""),
    ("a priority out of range", body(priority=1001), "`priority`"),
]


@pytest.mark.parametrize(
    ("raw", "reason"),
    [row[1:] for row in MALFORMED_DOCUMENTS],
    ids=[row[0] for row in MALFORMED_DOCUMENTS],
)
def test_a_malformed_document_is_refused_with_the_reason(raw, reason):
    with pytest.raises(BadOverrideError) as caught:
        parse_document("x", raw if isinstance(raw, bytes) else json.dumps(raw), NOW)
    assert reason in caught.value.why
    assert (caught.value.status, caught.value.wire()["error"]) == (400, "bad request")


@pytest.mark.parametrize("name", ["", "a/b", "x" * 129, "a b", "é", "a\n"])
def test_an_id_with_a_wrong_length_or_other_characters_is_refused(name):
    with pytest.raises(BadOverrideError, match="an id is"):
        parse_document(name, json.dumps(body()), NOW)


# Description, wall clock at the start, mark, monotonic time of the mark, and the expected time 1,000 ms after
# the start, which is at the monotonic time 5,000.
CLOCK_STARTS = [
    ("a first start", NOW, 0, None, NOW + 1000),
    ("a wall clock that was set back by an hour", NOW - HOUR, NOW, None, NOW + 1000),
    ("a wall clock an hour ahead after a boot", NOW + HOUR, NOW, None, NOW + HOUR + 1000),
    ("a wall clock that was set back without a boot", NOW - HOUR, NOW, 4000, NOW + 2000),
    ("a wall clock an hour ahead without a boot", NOW + HOUR, NOW, 4000, NOW + 2000),
    ("a mark later than the present monotonic time", NOW, NOW - 9000, 8000, NOW + 1000),
]


@pytest.mark.parametrize(
    ("wall_ms", "mark_ms", "marked_at_ms", "expected_ms"),
    [start[1:] for start in CLOCK_STARTS],
    ids=[start[0] for start in CLOCK_STARTS],
)
def test_the_clock_follows_the_monotonic_clock_and_never_starts_before_the_mark(
    wall_ms, mark_ms, marked_at_ms, expected_ms
):
    clock = SteadyClock(wall_ms, 5000.0, mark_ms, marked_at_ms)
    assert clock.now(6000.0) == expected_ms
    assert clock.now(4000.0) == clock.now(5000.0)  # The clock never goes back
    assert [clock.mark(t) is not None for t in (5000.0, 5500.0, 6000.0, 6001.0)] == [True, False, True, False]
