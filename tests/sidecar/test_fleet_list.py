"""Unit tests of discovery in a fleet: service addresses, age of the list, implausible lists and indices."""

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


def test_a_fleet_is_spread_over_all_addresses_and_backoffs_grow():
    fleet = [ServiceAddresses(ADDRESSES, random.Random(seed)) for seed in range(300)]
    first_ports = [addresses.current.port for addresses in fleet]
    assert min(first_ports.count(port) for port in (1, 2, 3)) > 70
    first_waits = [addresses.record_failure() for addresses in fleet]
    assert len(set(first_waits)) == 300 and min(first_waits) < 0.1 and max(first_waits) > 0.3
    for addresses, port in zip(fleet, first_ports, strict=True):
        assert addresses.current.port == port % 3 + 1
    one_sidecar = fleet[0]
    waits = [one_sidecar.record_failure() for _ in range(30)]
    assert max(waits) <= 1.5 * MAX_BACKOFF_S and max(waits) > 0.5
    spread_waits = [addresses.record_failure(4.0) for addresses in fleet]
    assert min(spread_waits) >= 4.0 and max(spread_waits) <= 5.0 and len(set(spread_waits)) > 200
    address = one_sidecar.current
    one_sidecar.record_failure(4.0)
    assert one_sidecar.current == address  # After a Retry-After the same address is called again.
    one_sidecar.record_success()
    assert one_sidecar.record_failure() <= 1.5 * FIRST_BACKOFF_S
    single_address = ServiceAddresses(ADDRESSES[:1], random.Random(1))
    for _ in range(5000):  # Calls continue even after an hour without any answer.
        assert single_address.record_failure() <= 1.5 * MAX_BACKOFF_S


@pytest.mark.parametrize(
    ("lines", "now", "bound"),
    [
        ([], 9.0, None),
        # The list may have been sent as early as the call, which was made at 0 s.
        ([(0.5, 0)], 1.0, 1.0),
        ([(0.5, 0), (2.5, 1)], 3.0, 3.0 - 1.98),
        # A heartbeat arrives late: the age counts from its earliest possible sending.
        ([(0.5, 0), (2.5, 1), (9.0, 2)], 9.0, 9.0 - 3.96),
        # A line was sent no later than it arrived.
        ([(0.5, 9)], 1.0, 0.5),
    ],
)
def test_the_upper_bound_on_the_age_of_a_list_is_never_too_low(lines, now, bound):
    """Each line is a pair of its time of arrival and the number of heartbeats until then."""
    age = ListAge()
    for received_at, heartbeats in lines:
        age.record_confirmation(0.0, received_at, heartbeats)
    assert age.upper_bound(now) == (None if bound is None else pytest.approx(bound))


def test_the_age_of_a_list_is_logged_once_for_each_limit_that_it_passes():
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


def test_an_implausible_list_is_rejected_for_a_limited_time_and_logged_once():
    list_filter, empty = ImplausibleListFilter(), ServerList(50, True, [], {})
    with pytest.raises(ImplausibleListError, match="without servers") as first:
        list_filter.check(empty, 41, 3, 0.0)
    with pytest.raises(ImplausibleListError, match="without servers") as last:
        list_filter.check(empty, 41, 3, MAX_REJECTION_S - 1.0)
    assert (first.value.first, last.value.first) == (True, False)
    list_filter.check(empty, 41, 3, MAX_REJECTION_S)
    list_filter.check(empty, 41, 0, 0.0)  # A list without servers is plausible if the current one has none.
    with pytest.raises(ImplausibleListError, match="version 50") as older:
        list_filter.check(empty, 60, 0, 0.0)
    assert older.value.first


ENTRIES = st.builds(
    model.EndpointEntry,
    st.sampled_from(["s0", "s1", "s2", "s3"]),
    st.integers(0, 2),
    cell=st.integers(0, 2),
    state=st.sampled_from(["active", "active", "leaving", "left"]),
)


@given(st.lists(st.tuples(st.booleans(), st.lists(ENTRIES, max_size=4)), max_size=12))
def test_the_indices_after_each_update_are_those_of_a_list_computed_from_scratch(updates):
    indexed, entry_of = EndpointList(), {}
    for complete, entries in updates:
        indexed.apply(ServerList(1, complete, entries, {}))
        entry_of = {} if complete else entry_of
        for entry in entries:
            entry_of[entry.server] = entry
        entry_of = {name: entry for name, entry in entry_of.items() if entry.state != "left"}
        assert indexed.servers == entry_of.keys() and len(indexed) == len(entry_of)
        assert indexed.groups == {str(entry.cell) for entry in entry_of.values()}
        assert indexed.served_zones == {entry.zone for entry in entry_of.values() if entry.state == "active"}
        for groups in (set(), {"0"}, {"1", "2", "9"}):
            assert indexed.servers_in_groups(groups) == {
                name for name, entry in entry_of.items() if str(entry.cell) in groups
            }
