"""Documents of overrides, and the clock that their ends are judged by."""

from __future__ import annotations

import json

import pytest

from brassfall.controlplane.overrides.clock import SteadyClock
from brassfall.controlplane.overrides.document import BadOverrideError, parse_document
from tests.support.overrides_service import HOUR, NOW, body

HOLD = {"hold": {"region": "a"}}
BAD = [
    ("not JSON", b"{", "truncated"),
    ("no object", b"[]", "Expected `object`"),
    ("nested deep", b'{"action":' + b"[" * 100_000, ""),
    ("not UTF-8", b'{"by": "\xff"}', ""),
    ("an unknown key", body(extra=1), "unknown field `extra`"),
    ("nobody", body(by=" "), "`by`"),
    ("no reason", body(why=""), "`why`"),
    ("a long reason", body(why="w" * 501), "`why`"),
    ("no action", body({"hold": None}), "0 of"),
    ("two actions", body({"freeze": True, **HOLD}), "2 of"),
    ("two holds", body({"hold": {"region": "a", "group": "g"}}), "exactly one server, group or region"),
    ("a hold for one class", body(HOLD, {"class": "c1"}), "`match` of a hold"),
    ("a cap for all", body({"cap": {"per_s": 5}}), "has to name a class"),
    ("a cap of nothing", body({"cap": {"per_s": 0}}, {"class": "c1"}), "per_s"),
    ("a cap of text", body({"cap": {"per_s": "5"}}, {"class": "c1"}), "Expected `float`"),
    ("a pin of a class", body({"pin": {"region": "a"}}, {"class": "c1"}), "has to name a tenant"),
    ("class and tenant", body({"shift": {"to": {"a": 1}}}, {"class": "c", "tenant": "t"}), "only one"),
    ("shares over one", body({"shift": {"to": {"a": 0.7, "b": 0.4}}}), "over 1"),
    ("a share below none", body({"shift": {"to": {"a": -0.1}}}), "between 0 and 1"),
    ("no shares", body({"shift": {"to": {}}}), "1 to 256 regions"),
    ("a place without a name", body(places={"groups": [""]}), "`places.groups`"),
    ("past", body(left=-5), "past by 5 ms"),
    ("now", body(left=0), "past"),
    ("over a day", body(left=24 * HOUR + 1), "24 h"),
    ("an end that is no number", body(until_ms=1e400), ""),
    ("out of all priorities", body(priority=1001), "`priority`"),
]


@pytest.mark.parametrize(("raw", "reason"), [row[1:] for row in BAD], ids=[row[0] for row in BAD])
def test_a_bad_document_is_refused_with_its_reason(raw, reason):
    with pytest.raises(BadOverrideError) as caught:
        parse_document("x", raw if isinstance(raw, bytes) else json.dumps(raw), NOW)
    assert reason in caught.value.why
    assert (caught.value.status, caught.value.wire()["error"]) == (400, "bad request")


@pytest.mark.parametrize("name", ["", "a/b", "x" * 129, "a b", "é", "a\n"])
def test_an_id_is_a_plain_name(name):
    with pytest.raises(BadOverrideError, match="an id is"):
        parse_document(name, json.dumps(body()), NOW)


CLOCKS = [
    # wall at the start, mark, monotonic at the mark: the time 1,000 ms after the start at 5,000
    ("a first start", NOW, 0, None, NOW + 1000),
    ("a wall clock an hour back", NOW - HOUR, NOW, None, NOW + 1000),
    ("an hour forward, machine started anew", NOW + HOUR, NOW, None, NOW + HOUR + 1000),
    ("an hour back, the same boot", NOW - HOUR, NOW, 4000, NOW + 2000),
    ("an hour forward, the same boot", NOW + HOUR, NOW, 4000, NOW + 2000),
    ("a mark of another boot that looks like this one", NOW, NOW - 9000, 8000, NOW + 1000),
]


@pytest.mark.parametrize(("wall", "mark", "at", "time"), [c[1:] for c in CLOCKS], ids=[c[0] for c in CLOCKS])
def test_time_runs_by_the_monotonic_clock_and_never_begins_before_the_mark(wall, mark, at, time):
    clock = SteadyClock(wall, 5000.0, mark, at)
    assert clock.now(6000.0) == time
    assert clock.now(4000.0) == clock.now(5000.0)  # never back
    assert [clock.mark(t) is not None for t in (5000.0, 5500.0, 6000.0, 6001.0)] == [True, False, True, False]
