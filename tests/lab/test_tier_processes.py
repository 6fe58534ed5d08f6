"""Aggregators between sidecars and the service, as real processes with faults between them."""

from __future__ import annotations

import asyncio
from collections import Counter

import aiohttp
import pytest

from brassfall.lab.revision_chaos import judge, play, schedule, spec
from brassfall.lab.revision_chaos.spec import TIER_FAULTS, Step
from brassfall.settings import SettingsError

TIER = spec.Experiment(kind="editions", seconds=90.0, rate=8.0, aggregators=2, direct=1)
KILLED_S = 6.0
PATIENCE_S = 20.0  # for a revision to be acted on by all


class ListedSidecars:
    """The sidecars as the service lists them."""

    def __init__(self, environment, session):
        self.environment, self.session = environment, session

    async def all_act_on(self, number, vias=None):
        """Wait until every sidecar acts on a revision and reports by way of `vias` alone.

        Return how many report by way of each aggregator.
        """
        async with asyncio.timeout(PATIENCE_S):
            while True:
                async with self.session.get(f"http://{self.environment.endpoint('main')}/edges") as answer:
                    listing = await answer.json()
                rows = {row["name"]: row for row in listing["edges"]}
                acting = [row["acting"] == number and row["age_ms"] < 2000 for row in rows.values()]
                counts = Counter(row.get("via", "") for row in rows.values())
                found = set(counts)
                if (
                    all(acting)
                    and len(acting) == self.environment.experiment.sidecars
                    and found == (vias or found)
                ):
                    return counts
                await asyncio.sleep(0.05)


async def _kill_stop_and_cut(faults):
    environment, publisher, tier = faults.environment, faults.publisher, faults.environment.tier
    tasks = []

    async def published(region):
        await publisher.publish(environment.endpoint("main"), Step(at=0.0, action="hold", value=region))
        return max(publisher.sent)

    def fault(kind, number, lasts):
        step = Step(at=0.0, action=kind, targets=[number], duration_s=lasts)
        tasks.append(asyncio.create_task(faults.carry_out(step)))

    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2.0)) as session:
        listed = ListedSidecars(environment, session)
        counts = await listed.all_act_on(await published(1.0))
        assert counts[""] == TIER.direct and sum(counts.values()) == environment.experiment.sidecars
        # Sidecars choose at random, and move when a busy machine makes them wait: the one that has more ends.
        ended = 0 if counts["agg0"] >= counts["agg1"] else 1
        await publisher.publish(environment.endpoint("main"), Step(at=0.0, action="objected", value=1.0))
        objected, number = sorted(publisher.sent)[-2:]
        await listed.all_act_on(number)
        async with session.get(f"http://{environment.endpoint('main')}/rules?edition={objected}") as answer:
            listing = await answer.json()
        assert (listing["state"], [row["edge"] for row in listing["objections"]]) == ("halted", ["n7"])
        number = await published(-1.0)
        # Longer than a lease lasts, so that all act on the revision before it is back: its children have to
        # have gone to the other.
        fault("aggregator-kill", ended, KILLED_S)
        await listed.all_act_on(number, {"", f"agg{1 - ended}"})
        await asyncio.gather(*tasks)
        await publisher.publish(
            environment.endpoint("main"), Step(at=0.0, action="pin", value=1.0, duration_s=2.0)
        )
        fault("aggregator-stop", 1 - ended, 3.0)
        await listed.all_act_on(await published(2.0))
        await asyncio.gather(*tasks)
        fault("aggregator-cut-answers", ended, 3.0)
        await listed.all_act_on(await published(0.0))
        await asyncio.gather(*tasks)
        assert tier.upstream_proxies[ended].delayed  # the partition met something
        await listed.all_act_on(await published(-1.0))


def test_killed_stopped_and_cut_off_aggregators_break_no_rule(tmp_path):
    result = asyncio.run(asyncio.wait_for(play.play(TIER, 1, tmp_path, _kill_stop_and_cut), 110))
    if not result.verdict.counts:
        pytest.skip(f"the observer was {result.late_ms:.0f} ms late: this machine can't tell")
    assert result.verdict.findings == [] and result.crashes == []
    assert result.verdict.revisions >= 5 and result.verdict.unknown == 0
    assert len(result.verdict.all_ms) >= 5


def test_schedules_with_a_tier_hold_its_faults_and_others_are_as_they_were():
    sampled = [schedule.sample(TIER, seed) for seed in range(60)]
    assert set(TIER_FAULTS) <= {step.action for steps in sampled for step in steps}
    for steps in sampled:
        assert all(max(step.targets) < TIER.aggregators for step in steps if step.action in TIER_FAULTS)
    without = spec.Experiment(kind="editions")
    assert not {step.action for seed in range(60) for step in schedule.sample(without, seed)} & set(
        TIER_FAULTS
    )


def test_a_step_that_names_no_aggregator_is_refused(tmp_path):
    file = tmp_path / "e.toml"
    file.write_text(
        'kind = "editions"\naggregators = 2\n[[steps]]\nat = 1.0\ndo = "aggregator-kill"\nwho = [2]\n'
    )
    with pytest.raises(SettingsError, match="names no aggregator"):
        spec.load(file)


def test_how_long_a_revision_took_to_be_acted_on():
    def call(at, sidecar, revision):
        return judge.Call(f"{at}", sidecar, "s", "a", revision, at)

    calls = [call(1.0, 0, 5), call(1.1, 1, 5), call(2.1, 1, 6), call(2.2, 2, 5), call(2.4, 0, 7)]
    calls += [call(2.9, 2, 7), call(3.0, 2, "safe")]
    terms = judge.Terms(3.0, 1.5, held_regions={}, committed={5: 0.5, 6: 2.0, 8: 2.5})
    made = judge.judge(calls, [], [], terms)
    assert made.first_ms == pytest.approx([500.0, 100.0]) and made.half_ms == pytest.approx([600.0, 400.0])
    assert made.all_ms == pytest.approx([1700.0, 900.0]) and made.unreached == 1
