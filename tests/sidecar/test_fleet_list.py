"""The parts of discovery in a fleet: addresses, the list and its age, and lists that are implausible."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brassfall.balancer import model
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.channel import ImplausibleListError
from brassfall.sidecar.discovery.endpoint_index import EndpointList
from brassfall.sidecar.discovery.endpoint_list import ServerList
from brassfall.sidecar.discovery.fleet_list import MAX_REJECTION_S, ImplausibleListFilter
from brassfall.sidecar.discovery.list_age import FRESH_AGAIN, ListAge
from brassfall.sidecar.discovery.sources import FIRST_BACKOFF_S, MAX_BACKOFF_S, ServiceAddresses

ADDRESSES = [Address("127.0.0.1", port) for port in (1, 2, 3)]


def test_addresses_are_spread_over_a_fleet_and_waits_grow():
    fleet = [ServiceAddresses(ADDRESSES, random.Random(seed)) for seed in range(300)]
    starts = [source.current.port for source in fleet]
    assert min(starts.count(port) for port in (1, 2, 3)) > 70
    first = [source.record_failure() for source in fleet]
    assert len(set(first)) == 300 and min(first) < 0.1 and max(first) > 0.3
    for source, port in zip(fleet, starts, strict=True):
        assert source.current.port == port % 3 + 1
    one = fleet[0]
    waits = [one.record_failure() for _ in range(30)]
    assert max(waits) <= 1.5 * MAX_BACKOFF_S and max(waits) > 0.5
    named = [source.record_failure(4.0) for source in fleet]
    assert min(named) >= 4.0 and max(named) <= 5.0 and len(set(named)) > 200
    at = one.current
    one.record_failure(4.0)
    assert one.current == at  # an address that named a wait is asked again
    one.record_success()
    assert one.record_failure() <= 1.5 * FIRST_BACKOFF_S
    alone = ServiceAddresses(ADDRESSES[:1], random.Random(1))
    for _ in range(5000):  # an hour without any answer: the calls go on
        assert alone.record_failure() <= 1.5 * MAX_BACKOFF_S


@pytest.mark.parametrize(
    ("heard", "now", "bound"),
    [
        ([], 9.0, None),
        ([(0.5, 0)], 1.0, 1.0),  # called at 0: the list may be as old as that
        ([(0.5, 0), (2.5, 1)], 3.0, 3.0 - 1.98),
        ([(0.5, 0), (2.5, 1), (9.0, 2)], 9.0, 9.0 - 3.96),  # late on its way: the age counts from its sending
        ([(0.5, 9)], 1.0, 0.5),  # never younger than its arrival
    ],
)
def test_the_bound_on_the_age_of_a_list_is_never_too_low(heard, now, bound):
    age = ListAge()
    for at, heartbeats in heard:
        age.record_confirmation(0.0, at, heartbeats)
    assert age.upper_bound(now) == (None if bound is None else pytest.approx(bound))


def test_the_age_of_a_list_is_logged_as_it_passes_each_bound_once():
    age = ListAge()
    age.record_confirmation(0.0, 0.1, 0)
    logged = [passed for now in range(0, 400) if (passed := age.passed_age_to_log(float(now))) is not None]
    age.record_confirmation(400.0, 400.1, 0)
    assert [*logged, age.passed_age_to_log(401.0)] == [
        5.0,
        30.0,
        300.0,
        FRESH_AGAIN,
    ]


def test_an_implausible_list_is_rejected_for_a_while_and_logged_once():
    list_filter, empty = ImplausibleListFilter(), ServerList(50, True, [], {})
    with pytest.raises(ImplausibleListError, match="without servers") as first:
        list_filter.check(empty, 41, 3, 0.0)
    with pytest.raises(ImplausibleListError, match="without servers") as last:
        list_filter.check(empty, 41, 3, MAX_REJECTION_S - 1.0)
    assert (first.value.first, last.value.first) == (True, False)
    list_filter.check(empty, 41, 3, MAX_REJECTION_S)
    list_filter.check(empty, 41, 0, 0.0)  # nothing is lost by it
    with pytest.raises(ImplausibleListError, match="version 50") as again:
        list_filter.check(empty, 60, 0, 0.0)
    assert again.value.first


ENTRIES = st.builds(
    model.Listing,
    st.sampled_from(["s0", "s1", "s2", "s3"]),
    st.integers(0, 2),
    cell=st.integers(0, 2),
    state=st.sampled_from(["active", "active", "leaving", "left"]),
)


@given(st.lists(st.tuples(st.booleans(), st.lists(ENTRIES, max_size=4)), max_size=12))
def test_the_indices_after_each_change_are_those_of_the_complete_list(updates):
    indexed, plain = EndpointList(), {}
    for complete, entries in updates:
        indexed.apply(ServerList(1, complete, entries, {}))
        plain = {} if complete else plain
        for row in entries:
            plain[row.server] = row
        plain = {name: row for name, row in plain.items() if row.state != "left"}
        assert indexed.servers == plain.keys() and len(indexed) == len(plain)
        assert indexed.groups == {str(row.cell) for row in plain.values()}
        assert indexed.served_zones == {row.zone for row in plain.values() if row.state == "active"}
        for groups in (set(), {"0"}, {"1", "2", "9"}):
            assert indexed.servers_in_groups(groups) == {n for n, row in plain.items() if str(row.cell) in groups}
