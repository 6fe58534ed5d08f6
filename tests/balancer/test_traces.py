"""Ten generated days: the decisions are those that were recorded, to the last byte.

The digests were recorded from the decisions when they were one file. A change of decisions that is meant
records them anew: `python tests/compare_traces.py OLD NEW` says where the traces part. They rest on the
machine's `exp`, `log` and `pow`, which another C library may round otherwise.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from brassfall.balancer import retries, selection
from tests.compare_traces import SEEDS, digest, trace

RECORDED = json.loads((Path(__file__).parents[1] / "data" / "traces.json").read_text())


@pytest.mark.parametrize("seed", range(SEEDS))
def test_the_decisions_of_a_generated_day_are_those_that_were_recorded(seed):
    assert digest(trace(seed)) == RECORDED[str(seed)]


def test_a_trace_shows_one_candidate_fewer(monkeypatch):
    monkeypatch.setattr(selection, "CANDIDATES", selection.CANDIDATES - 1)
    assert digest(trace(1)) != RECORDED["1"]


def test_a_trace_shows_a_change_in_the_last_place_of_a_time(monkeypatch):
    monkeypatch.setattr(retries, "RETRY_AFTER_SHARE", retries.RETRY_AFTER_SHARE * (1.0 + 1e-15))
    assert digest(trace(1)) != RECORDED["1"]
