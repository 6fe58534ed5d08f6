"""Tests that the actions of the balancer on ten generated days are exactly those that were recorded.

A change that is meant to alter actions has to record the digests anew; `python tests/compare_traces.py OLD
NEW` shows where the traces differ. The traces depend on `exp`, `log` and `pow` of the C library, which other
libraries may round differently.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from brassfall.balancer import retries, selection
from tests.compare_traces import SEEDS, digest, trace

RECORDED_DIGESTS = json.loads((Path(__file__).parents[1] / "data" / "traces.json").read_text())


@pytest.mark.parametrize("seed", range(SEEDS))
def test_the_actions_on_a_generated_day_are_those_that_were_recorded(seed):
    assert digest(trace(seed)) == RECORDED_DIGESTS[str(seed)]


def test_a_trace_differs_with_one_candidate_fewer(monkeypatch):
    monkeypatch.setattr(selection, "CANDIDATES", selection.CANDIDATES - 1)
    assert digest(trace(1)) != RECORDED_DIGESTS["1"]


def test_a_trace_differs_if_the_last_digit_of_a_time_differs(monkeypatch):
    monkeypatch.setattr(retries, "RETRY_AFTER_SHARE", retries.RETRY_AFTER_SHARE * (1.0 + 1e-15))
    assert digest(trace(1)) != RECORDED_DIGESTS["1"]
