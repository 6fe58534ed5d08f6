"""Leases: when they end, and when missing renewals of many owners count as a network fault."""

from __future__ import annotations

import pytest

from brassfall.controlplane.store.leases import MAX_STEP_MS, ExpiryGuard, Leases

TTL = 6000.0  # Time to live of each lease, in ms


def run_leases(count, silent_from, until, guard=None, stall=None):
    """Run the leases of `count` owners that renew every third of `TTL`; times are in ms.

    `silent_from` maps owners to the times from which they renew no more. No check and no renewal happens
    within `stall` (start, end). Return the times of expiry by owner, the suspected owners, and the leases.
    """
    leases = Leases(guard or ExpiryGuard())
    names = [f"s{i}" for i in range(count)]
    for name in names:
        leases.grant(0.0, name, TTL, guarded=True)
    expired_at, suspected, now = {}, set(), 0.0
    while now < until:
        now += 100.0
        if stall and stall[0] <= now < stall[1]:
            continue  # The service does not run, so nobody can renew a lease
        for i, name in enumerate(names):
            renewal_due = (now + 100.0 * (i % 20)) % 2000.0 < 100.0
            if renewal_due and name not in expired_at and now < silent_from.get(name, until):
                leases.renew(now, name)
        ended = leases.check(now)
        expired_at |= dict.fromkeys(ended.expired, now)
        suspected |= set(ended.suspected)
    return expired_at, suspected, leases


@pytest.mark.parametrize(
    ("count", "silent_count", "expires", "suspects"),
    [
        (12, 1, True, 0),  # One of twelve owners is silent
        (
            3,
            1,
            True,
            0,
        ),  # One owner is silent, and a single lease always expires, even if it is a third of all
        (12, 4, False, 4),  # A third of the owners is silent: more than the share of the guard
        (12, 12, False, 12),  # All owners are silent
        (12, 3, True, 0),  # A quarter of the owners is silent: not more than the share of the guard
    ],
)
def test_leases_of_many_silent_owners_are_suspected_and_those_of_few_expire(
    count, silent_count, expires, suspects
):
    silent = {f"s{i}": 20_000.0 for i in range(silent_count)}
    expired_at, suspected, leases = run_leases(count, silent, 40_000.0)
    assert len(suspected) == suspects == len(leases.suspects)
    assert set(expired_at) == (set(silent) if expires else set())
    assert all(20_000.0 + TTL * 2 / 3 <= at <= 20_000.0 + TTL + 200.0 for at in expired_at.values())


def test_a_suspect_lease_expires_after_the_guard_time_and_a_renewed_lease_is_no_suspect():
    silent = {f"s{i}": 20_000.0 for i in range(4)}
    expired_at, suspected, leases = run_leases(12, silent, 100_000.0)
    assert set(expired_at) == suspected == set(silent)
    assert all(83_900.0 < at < 86_500.0 for at in expired_at.values())  # A minute after the leases ended
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
    times_without_c = []
    while now < 20_000.0:
        leases.check(now := now + 100.0)
        for name in "ab":
            leases.renew(now, name)
        times_without_c += [now] if "c" not in leases else []
    # The lease of a former suspect expires at its end, and not after the guard time of a minute.
    assert times_without_c[0] <= 10_000.0 + TTL + 200.0


def test_no_lease_expires_because_of_a_stall():
    expired_at, suspected, _ = run_leases(12, {}, 80_000.0, stall=(20_000.0, 50_000.0))
    assert not expired_at and not suspected
    leases = Leases(ExpiryGuard())
    leases.grant(0.0, "a", TTL, guarded=True)
    leases.check(30_000.0)
    assert len(leases) == 1 and leases.since_renewal_ms(30_000.0, "a") == MAX_STEP_MS


def test_unguarded_leases_expire_even_if_all_owners_are_silent():
    leases = Leases(ExpiryGuard())
    for name in "abcd":
        leases.grant(0.0, name, TTL, guarded=False)
    now, expired = 0.0, []
    while now < 7000.0:
        expired += leases.check(now := now + 100.0).expired
    assert expired == ["a", "b", "c", "d"]
