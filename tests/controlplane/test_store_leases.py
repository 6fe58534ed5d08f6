"""Leases: when they end, and when the silence of many is not taken for their death."""

from __future__ import annotations

import pytest

from brassfall.controlplane.store.leases import MAX_STEP_MS, ExpiryGuard, Leases

TTL = 6000.0


def run_leases(count, silent_from, until, guard=None, stall=None):
    """Leases of `count` holders that renew at a third, some silent from a time on; what ended when."""
    leases = Leases(guard or ExpiryGuard())
    names = [f"s{i}" for i in range(count)]
    for name in names:
        leases.grant(0.0, name, TTL, guarded=True)
    ended, suspected, now = {}, set(), 0.0
    while now < until:
        now += 100.0
        if stall and stall[0] <= now < stall[1]:
            continue  # the service does not run; nobody can renew
        for i, name in enumerate(names):
            spoke = (now + 100.0 * (i % 20)) % 2000.0 < 100.0
            if spoke and name not in ended and now < silent_from.get(name, until):
                leases.renew(now, name)
        verdict = leases.check(now)
        ended |= dict.fromkeys(verdict.expired, now)
        suspected |= set(verdict.suspected)
    return ended, suspected, leases


@pytest.mark.parametrize(
    ("count", "gone", "ends", "suspects"),
    [
        (12, 1, True, 0),  # one has died
        (3, 1, True, 0),  # also where that is a third
        (12, 4, False, 4),  # a third is cut off
        (12, 12, False, 12),  # all are
        (12, 3, True, 0),  # a quarter is not more than the share
    ],
)
def test_the_silence_of_many_is_doubted_and_that_of_few_is_not(count, gone, ends, suspects):
    silent = {f"s{i}": 20_000.0 for i in range(gone)}
    ended, suspected, leases = run_leases(count, silent, 40_000.0)
    assert len(suspected) == suspects == len(leases.suspects)
    assert set(ended) == (set(silent) if ends else set())
    assert all(20_000.0 + TTL * 2 / 3 <= at <= 20_000.0 + TTL + 200.0 for at in ended.values())


def test_the_guard_ends_and_a_renewed_lease_is_no_suspect():
    silent = {f"s{i}": 20_000.0 for i in range(4)}
    ended, suspected, leases = run_leases(12, silent, 100_000.0)
    assert set(ended) == suspected == set(silent)
    assert all(83_900.0 < at < 86_500.0 for at in ended.values())  # a minute after their leases
    leases = Leases(ExpiryGuard())
    for name in "abc":
        leases.grant(0.0, name, TTL, guarded=True)
    now = 0.0
    while now < 10_000.0:
        leases.check(now := now + 100.0)
    assert leases.suspects == ["a", "b", "c"]
    for name in "abc":
        leases.renew(now, name)
    assert leases.suspects == []
    ended = []
    while now < 20_000.0:
        leases.check(now := now + 100.0)
        for name in "ab":
            leases.renew(now, name)
        ended += [now] if "c" not in leases else []
    assert ended[0] <= 10_000.0 + TTL + 200.0  # its later death is seen in time, not a minute on


def test_no_lease_expires_in_a_stall():
    ended, suspected, _ = run_leases(12, {}, 80_000.0, stall=(20_000.0, 50_000.0))
    assert not ended and not suspected
    leases = Leases(ExpiryGuard())
    leases.grant(0.0, "a", TTL, guarded=True)
    leases.check(30_000.0)
    assert len(leases) == 1 and leases.since_renewal_ms(30_000.0, "a") == MAX_STEP_MS


def test_the_end_of_a_leaving_servers_lease_is_not_doubted():
    leases = Leases(ExpiryGuard())
    for name in "abcd":
        leases.grant(0.0, name, TTL, guarded=False)
    now, ended = 0.0, []
    while now < 7000.0:
        ended += leases.check(now := now + 100.0).expired
    assert ended == ["a", "b", "c", "d"]
