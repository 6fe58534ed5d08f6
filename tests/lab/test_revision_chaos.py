"""Revisions among real processes with faults between them, and the judge over ledgers that break a rule."""

from __future__ import annotations

import asyncio
import random
from typing import get_args

import pytest

from brassfall.lab.revision_chaos import judge, play, schedule, spec
from brassfall.lab.revision_chaos.judge import FALLBACK, Absence, Call, ClientRequest, Pin

HOMES = {1: {"t": "a"}, 2: {"t": "a"}, 3: {"t": "a"}}
PINS = [Pin("t", "c", 2.0, 6.0)]
HELD_REGIONS = {1: (), 2: ("b",), 3: ()}
REGIONS = ("a", "b", "c")


def good(rng):
    """A good play: revision 1, then 2, which holds b, then 3; each sidecar follows within 1.5 s."""
    begins = {1: 0.0, 2: 10.0, 3: 20.0}
    turns = [{n: at + (rng.uniform(0.0, 1.5) if at else 0.0) for n, at in begins.items()} for _ in range(8)]
    first = {n: min(turn[n] for turn in turns) for n in begins}
    calls, asked = [], []
    for number in range(1200):
        at, sidecar = number * 0.025, rng.randrange(8)
        revision = max(n for n, since in turns[sidecar].items() if since <= at)
        # A sidecar that acts on 1 knows of 2 before any acts on it, and combines the two.
        open_to = [
            r
            for r in REGIONS
            if r not in HELD_REGIONS[revision] and not (revision == 1 and at >= first[2] - 1)
        ]
        zone = rng.choice(open_to or ["a", "c"])
        unsafe, key = number % 5 == 0, f"k{number}" if number % 5 == 1 else ""
        calls.append(Call(f"{number}", sidecar, f"s{zone}", zone, revision, at, unsafe, key))
        asked.append(ClientRequest(f"{number}", sidecar, at - 0.01, at + 0.02, "200"))
    return calls, asked, {n: min(call.at for call in calls if call.revision == n) for n in begins}


def late_contradiction(rng, calls, asked, first):
    calls.append(Call("x", 1, "sa", "a", 1, first[2] + 3.2))


def own_held(rng, calls, asked, first):
    calls.append(Call("x", 1, "sb", "b", 2, first[2] + rng.uniform(0.0, 5.0)))


def held_by_newer(rng, calls, asked, first):
    by = next(call.sidecar for call in calls if call.revision == 2)
    calls.append(Call("x", (by + 1) % 8, "sb", "b", 1, first[2] + 0.4))


def ran_twice(rng, calls, asked, first):
    calls.append(rng.choice([call for call in calls if call.unsafe]))


def key_outlived(rng, calls, asked, first):
    old = next(call for call in calls if call.key and call.at < 5.0)
    calls.append(Call("x", old.sidecar, "sa", "a", 1, old.at + 1.9, key=old.key))


def no_answer(rng, calls, asked, first):
    asked.append(ClientRequest("x", 3, 5.0, 8.0, "silent"))


def no_stamp(rng, calls, asked, first):
    calls.append(Call("x", 3, "sa", "a", None, 4.0))


def pinned(at, zone, name="x", revision=1):
    return Call(name, 1, f"s{zone}", zone, revision, at, tenant="t")


def override_late(rng, calls, asked, first):
    calls += [pinned(5.9, "c"), pinned(6.8, "c", "y")]


def astray(rng, calls, asked, first):
    calls.append(pinned(rng.uniform(0.0, 1.9), "c"))


def two_regions(rng, calls, asked, first):
    calls += [pinned(4.0, "c"), pinned(4.15, "a", "y"), pinned(4.3, "c", "z")]


BREACHES = {
    "override-late": override_late,
    "astray": astray,
    "two-regions": two_regions,
    "contradiction": late_contradiction,
    "held-by-own": own_held,
    "held-by-newer": held_by_newer,
    "run-twice": ran_twice,
    "key-outlived": key_outlived,
    "lost": no_answer,
    "no-stamp": no_stamp,
}


def judged(calls, asked, away=(), **terms):
    rules = {
        "agree_s": 3.0,
        "key_s": 1.5,
        "held_regions": HELD_REGIONS,
        "homes": HOMES,
        "pins": PINS,
        "link_s": 0.02,
        "late_s": 0.05,
        **terms,
    }
    return judge.judge(calls, asked, list(away), judge.Terms(**rules))


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("rule", BREACHES)
def test_the_judge_names_the_rule_that_a_ledger_breaks_and_no_other(rule, seed):
    rng = random.Random(seed)
    calls, asked, first = good(rng)
    assert judged(calls, asked).broken == {}
    BREACHES[rule](rng, calls, asked, first)
    assert judged(calls, asked).broken == {rule: 1}


def test_the_judge_excuses_what_the_observer_cannot_tell():
    calls, asked, first = good(random.Random(7))
    # Under the fallback configuration a sidecar may not know of the newer revision, and a late arrival was
    # sent in time.
    calls += [
        *(pinned(at, "c") for at in (2.1, 4.0, 6.4)),
        pinned(6.45, "a"),
        Call("x", 1, "sb", "b", FALLBACK, first[2] + 4.0),
        Call("y", 1, "sa", "a", 1, first[2] + 3.05),
    ]
    asked.append(ClientRequest("z", 3, 5.0, 8.0, "silent"))
    made = judged(calls, asked, [Absence(3, 4.0, 7.0)])
    assert made.broken == {} and made.fallback_into_held == 1 and 3040.0 < made.contradiction_ms < 3060.0
    assert made.sticky == 3 and made.override_ms == pytest.approx(400.0)
    assert made.counts and not judged(calls, asked, late_s=0.6).counts


def test_schedules_are_drawn_by_seed_and_hold_every_fault():
    experiment = spec.Experiment(kind="editions")
    sampled = [schedule.sample(experiment, seed) for seed in range(60)]
    assert sampled[3] == schedule.sample(experiment, 3) and len({str(steps) for steps in sampled}) == 60
    assert set(get_args(spec.Fault)) <= {step.action for steps in sampled for step in steps}
    last = max(step.at + step.duration_s for steps in sampled for step in steps if step.action != "crash")
    assert last <= experiment.seconds


def steps(*rows):
    return [spec.Step(at=at, action=action, **more) for at, action, more in rows]


def test_one_schedule_of_faults_among_real_processes(tmp_path):
    """Kills around a publish, a stop of 4 s across a commit, a one-way cut, a lost disk."""
    experiment = spec.Experiment(
        kind="editions",
        seconds=34.0,
        rate=8.0,
        steps=steps(
            (0.1, "hold", {"value": -1.0}),
            (4.0, "hold", {"value": 1.0}),
            (4.6, "kill", {}),
            (9.0, "lost-answers", {"targets": [0], "duration_s": 20.0}),
            (11.0, "pin", {"value": 1.0, "duration_s": 7.5}),
            (11.5, "two", {"value": 1.0}),
            (11.8, "stop", {"targets": [2, 5], "duration_s": 4.0}),
            (14.0, "hold", {"value": 2.0}),
            (16.0, "cut-editions", {"targets": [1, 3, 6], "duration_s": 3.0}),
            (16.2, "objected", {"value": 2.0}),
            (17.5, "free", {}),
            (19.3, "hold", {"value": 1.0}),
            (19.6, "lost-disk", {}),
            (20.5, "hold", {"value": 0.0}),
            (30.0, "hold", {"value": -1.0}),
        ),
    )
    result = asyncio.run(asyncio.wait_for(play.play(experiment, 1, tmp_path), 110))
    if not result.verdict.counts:
        pytest.skip(f"the observer was {result.late_ms:.0f} ms late: this machine can't tell")
    assert result.verdict.findings == [] and result.crashes == []
    assert result.verdict.sticky and result.verdict.revisions >= 4 and result.verdict.unknown == 0
    assert {event.action for event in result.events if event.prepared} >= {"kill", "stop"}
