"""Revisions in simulated worlds of faults: no rule breaks, and each injected defect is found by name."""

from __future__ import annotations

import importlib
import json
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from brassfall.controlplane.revisions import validation
from brassfall.controlplane.revisions.coordinator import RevisionCoordinator
from brassfall.controlplane.revisions.document import Revision
from brassfall.controlplane.revisions.membership import Membership
from brassfall.controlplane.revisions.messages import (
    Persist,
    Persisted,
    PersistMember,
    Publish,
    ReportReceived,
)
from brassfall.controlplane.revisions.reports import Report
from brassfall.controlplane.revisions.state import DurableState
from brassfall.controlplane.revisions.timing import LeaseTiming
from brassfall.controlplane.store.incarnations import first_index, index_at
from brassfall.lab.agreement import command, schedule
from brassfall.lab.agreement.defects import DEFECTS

ROOT = Path(__file__).resolve().parents[2]


@pytest.mark.parametrize(("nodes", "seeds"), [(3, 100), (20, 10), (200, 1)])
def test_no_rule_breaks(nodes, seeds):
    outcomes = [command.play(command.Task(nodes, seed)) for seed in range(seeds)]
    assert [(o.task.seed, o.what, o.faults) for o in outcomes if o.rule] == []
    assert all(outcome.commits for outcome in outcomes)
    met = sum((Counter(outcome.met) for outcome in outcomes), Counter())
    if seeds == 100:  # a checker whose faults meet nothing finds nothing
        assert {name.rsplit(" in ", 1)[0] for name in met} >= set(schedule.THEMES)
        assert all(met[f"{name} in prepare"] for name in ("crash", "twin", "stop", "rolling", "cut", "burst"))


@pytest.mark.parametrize("name", DEFECTS)
def test_a_defect_is_found_by_name(name):
    outcome, _ = command.play_defect(name)
    assert outcome.rule in DEFECTS[name].rules, outcome


def test_a_schedule_is_shrunk_to_what_breaks():
    outcome = command.play(command.Task(3, 0, "looked-by-timer"), shrinking=True)
    assert outcome.rule == "S3 lease"
    assert [fault.split(" ms ")[1] for fault in outcome.faults] == ["stop"]


@pytest.mark.parametrize(
    ("arguments", "status", "message"),
    [
        (("--seeds", "2", "--nodes", "3", "--jobs", "1", "--json"), 0, ""),
        (("--flaw", "no-meet", "--jobs", "1", "--json"), 0, ""),
        (("--flaw", "none-such"), 2, "none-such"),
        (("--nodes", "3,x"), 2, "--nodes"),
    ],
)
def test_the_command(arguments, status, message):
    made = subprocess.run(
        [sys.executable, "-m", "brassfall", "lab", "agreement", *arguments],
        cwd=ROOT, capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    assert made.returncode == status
    assert message in made.stderr and "Traceback" not in made.stderr
    if not status:
        json.loads(made.stdout)


@pytest.mark.parametrize(("unix_s", "last"), [(1e9, 0), (1e9, index_at(2e9)), (1e9, index_at(1e9))])
def test_epochs_on_two_copies_of_a_store_are_apart(unix_s, last):
    one, other = (first_index(unix_s, last, low) for low in (5, 2**29 + 7))
    assert min(one, other) > last and one != other


# --- what the seeds found in the cores -------------------------------------------------------------------

EPOCH = 1 << 50


def lease_client():
    module = importlib.import_module("brassfall.sidecar.agent.lease_client")
    rules = importlib.import_module("brassfall.sidecar.agent.rules")
    return module.LeaseClient("p1", lambda revision: ""), rules.effective_settings


def line(number, state, tenants, committed=None, epoch=EPOCH):
    raw = {"edition": number, "life": epoch, "state": state, "settings": {"tenants": tenants}}
    return raw if committed is None else {**raw, "committed": committed}


def answer(revision, pending=0, length=2700.0, epoch=EPOCH):
    return {"edition": revision, "permission_ms": length, "pending": pending, "life": epoch}


def test_an_acknowledgement_outlasts_the_next_one():
    client, effective = lease_client()
    five, six = line(5, "committed", {"t": "a"}), line(6, "prepared", {"t": "b"})
    client.receive_update(five)
    client.receive_answer(0.0, client.report_fields(0.0)["seq"], answer(5))
    client.receive_update({**six, "committed": five})
    assert client.report_fields(0.1)["prepared"] == 6
    # 6 is committed, and 7 goes back to what 5 said: others act on 6 by now, which serves t elsewhere.
    client.receive_update(line(7, "prepared", {"t": "a"}, committed=six))
    assert effective(client.active_configuration(0.2))["tenants"] == {"t": ""}
    client.receive_answer(0.2, client.report_fields(0.2)["seq"], answer(7))
    assert effective(client.active_configuration(0.3))["tenants"] == {"t": "a"}


def test_the_fallback_takes_account_of_what_was_received():
    client, effective = lease_client()
    client.receive_update(line(5, "committed", {"t": "a"}))
    assert client.active_configuration(0.0).fallback
    assert effective(client.active_configuration(0.0))["tenants"] == {"t": ""}


def test_nobody_goes_back():
    client, _ = lease_client()
    client.receive_update(line(5, "committed", {}))
    client.receive_update(line(6, "committed", {}))
    client.receive_answer(0.0, client.report_fields(0.0)["seq"], answer(6))
    client.receive_answer(0.1, client.report_fields(0.1)["seq"], answer(5))
    assert client.active_configuration(0.2).acting == 6
    client.receive_answer(0.3, client.report_fields(0.3)["seq"], answer(5, epoch=EPOCH + 1))
    assert client.active_configuration(0.4).acting == "safe"


def test_a_service_that_is_gone_for_good_is_left_for_one_with_a_lower_epoch():
    client, effective = lease_client()
    client.receive_update(line(6, "committed", {"t": "a"}))
    client.receive_answer(0.0, client.report_fields(0.0)["seq"], answer(6))
    lower = answer(5, epoch=EPOCH - 1)
    for now in (3.0, 8.0, 14.9):
        assert not client.receive_answer(now, client.report_fields(now)["seq"], lower)
    assert client.report_fields(14.9)["of"] == EPOCH
    client.receive_answer(15.0, client.report_fields(15.0)["seq"], lower)
    fresh = client.report_fields(15.5)
    assert (fresh["of"], fresh["seq"], fresh["life"]) == (
        0,
        1,
        client.process_id,
    ) and client.process_id != "p1"
    # What it knew holds until it has a lease.
    assert effective(client.active_configuration(15.5))["tenants"] == {"t": ""}
    client.receive_update(line(5, "committed", {"t": "b"}, epoch=EPOCH - 1))
    assert client.receive_answer(15.5, fresh["seq"], lower)
    assert effective(client.active_configuration(15.6))["tenants"] == {"t": "b"}


def coordinator(names, state, now=1e6):
    return RevisionCoordinator(LeaseTiming(), now, state, Membership(EPOCH, set(names)))


def reports(core, names, epoch, start, seconds, seq=0):
    """What the core asks for while these report, twice a second."""
    made = []
    for step in range(2 * seconds):
        for name in names:
            report = Report(process_id="p", seq=seq + step + 1, epoch=epoch, newest_revision=epoch)
            made += core.step(start + 500.0 * step, ReportReceived(0, name, report))
    return made


def test_newcomers_alone_are_no_majority():
    committed = DurableState(committed=Revision(1), newest=1)
    core = coordinator(("a", "b", "c"), committed)
    assert not [
        a for a in reports(core, ("n1", "n2", "n3", "n4"), EPOCH, 1e6, 20) if isinstance(a, PersistMember)
    ]
    assert core.grant_refusal(1e6 + 21_000.0)


def test_an_epoch_is_raised_above_a_later_one():
    core = coordinator(("a", "b", "c"), DurableState())
    later = EPOCH + (3_000_000 << 10)
    asked = [a.state.epoch for a in reports(core, ("a", "b"), later, 1e6, 8) if isinstance(a, Persist)]
    assert asked and asked[0] > later
    lied = coordinator(("a", "b", "c"), DurableState())
    assert not [a for a in reports(lied, ("a", "b"), 2**53 - 1, 1e6, 8) if isinstance(a, Persist)]


def test_no_revision_leaves_no_region_open_while_another_may_still_be_acted_on():
    def closed(*regions):
        return {"regions": {"held": list(regions)}}

    names, regions, number = ("a", "b", "c"), frozenset("xyz"), EPOCH
    core = coordinator(names, DurableState(committed=Revision(1, settings=closed("x")), newest=1))
    reports(core, names, EPOCH, 1e6, 9)
    now = 1e6 + 9000.0
    core.step(now, Publish(1, settings=closed("y")))
    core.step(now, Persisted())
    for name in names:
        core.step(
            now + 1.0,
            ReportReceived(0, name, Report("p", 99, EPOCH, newest_revision=number, prepared=number)),
        )
    core.step(now + 1.0, Persisted())

    def harm(at, *more):
        others = [revision.settings for revision in core.actable_revisions(at)]
        return validation.find_harm(closed(*more), regions, others)

    # What was acknowledged is in force, and leases on the one before run still.
    assert [revision.number for revision in core.actable_revisions(now + 2.0)] == [1, number]
    assert [bool(harm(now + 2.0, *more)) for more in ("", "x", "y", "z")] == [False, False, False, True]
    over = now + 2.0 + core.timing.expiry_bound_ms
    assert [revision.number for revision in core.actable_revisions(over)] == [number]
    assert not harm(over, "z") and harm(over, "x", "z")
