"""Worlds with aggregators: no rule breaks in drawn faults, and each injected defect is found by name."""

from __future__ import annotations

import json
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from brassfall.lab.agreement import command, tier_scale
from brassfall.lab.agreement.tier import TIER
from brassfall.lab.agreement.tier_defects import TIER_DEFECTS

ROOT = Path(__file__).resolve().parents[2]
SEEDS, NODES = 60, 6
QUICK = 3  # worlds that find a defect of the quick ones; the others: `lab agreement --tier --flaw all`
SLOW = {
    "bound-without-drift",
    "grants-before-commit",
    "identity-shared",
    "lease-over-epochs",
    "newcomers-unasked",
    "promise-ended",
}


def test_no_rule_breaks_with_aggregators():
    outcomes = [command.play(command.Task(NODES, seed, tier=True)) for seed in range(SEEDS)]
    assert [(o.task.seed, o.what, o.faults) for o in outcomes if o.rule] == []
    assert all(outcome.commits for outcome in outcomes)
    met = sum((Counter(outcome.met) for outcome in outcomes), Counter())
    assert {name.rsplit(" in ", 1)[0] for name in met} >= set(TIER.themes)


@pytest.mark.parametrize("name", sorted(TIER_DEFECTS.keys() - SLOW))
def test_a_defect_of_aggregators_is_found_by_name(name):
    outcome, tried = command.play_defect(name)
    assert outcome.rule in TIER_DEFECTS[name].rules and tried <= QUICK, outcome


@pytest.mark.parametrize("condition", tier_scale.BEGIN)
def test_a_revision_reaches_all_that_can_be_reached(condition):
    row = tier_scale.play(tier_scale.Task(24, 0, condition))
    assert row.missing == 0 and row.reachable == len(row.spans) >= 16
    assert row.spans[-1] < (1500.0 if condition == "healthy" else 6000.0)


@pytest.mark.parametrize(
    ("arguments", "status", "message"),
    [
        (("--tier", "--seeds", "1", "--nodes", "5", "--jobs", "1", "--json"), 0, ""),
        (("--tier", "--flaw", "outlasts-lease", "--jobs", "1", "--json"), 0, ""),
        (("--tier", "--flaw", "no-meet"), 2, "no-meet"),
    ],
)
def test_the_command_with_aggregators(arguments, status, message):
    made = subprocess.run(
        [sys.executable, "-m", "brassfall", "lab", "agreement", *arguments],
        cwd=ROOT, capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    assert made.returncode == status
    assert message in made.stderr and "Traceback" not in made.stderr
    if not status:
        json.loads(made.stdout)
