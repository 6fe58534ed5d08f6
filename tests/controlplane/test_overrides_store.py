"""The override store: starts, extensions and ends, with failing disks, torn commits and restarts."""

from __future__ import annotations

import pytest

from brassfall.controlplane.overrides import events
from brassfall.controlplane.overrides import store as override_store
from brassfall.controlplane.overrides.document import listing_row, times_left
from brassfall.controlplane.overrides.history import HistoryRing
from brassfall.controlplane.overrides.store import MAX_EXPIRED, PUBLISH_MS, RETRY_MS
from tests.support.overrides_service import HOUR, NOW, OverrideService


def test_a_start_is_answered_and_published_when_it_is_durable_and_listed_with_its_time_left():
    service = OverrideService().put(1)
    assert not service.answers and not service.published[1:]
    service.durable().step(after=PUBLISH_MS)
    override = service.answers[1]
    assert service.published[-1] == {"x": override.rev} and service.kinds() == ["started"]
    assert listing_row(override, service.at)["left_ms"] == 60_000 - PUBLISH_MS
    assert listing_row(override, service.at)["from_ms"] == NOW
    service.put(2, left=60_000 - PUBLISH_MS)  # The same document again: `until_ms` is that of the first call
    assert service.answers[2] == override and not service.open_commits


@pytest.mark.parametrize("first", ["extension", "end"])
def test_of_an_extension_and_an_expiry_at_the_same_time_the_first_that_is_durable_decides(first):
    service = OverrideService().put(1, left=1000).durable().step(after=999)
    if first == "extension":
        # The override expires while the extension is being written.
        service.put(2, left=5000).step(after=2).durable()
        assert service.answers[2].same_from == service.answers[1].rev and service.answers[2].from_ms == NOW
        assert service.kinds() == ["started", "extended"]
    else:
        service.step(after=1)  # The override has expired, and the deletion of its row is being written
        service.put(2, left=5000)
        assert len(service.open_commits) == 1  # The extension waits for the deletion
        service.durable().durable()
        assert service.answers[2].same_from == service.answers[2].rev and service.answers[2].from_ms > NOW
        assert service.kinds() == ["started", "expired", "started"]
    assert service.answers[2].rev > service.answers[1].rev
    assert service.store.get("x", service.at) == service.answers[2]


def test_a_start_after_an_end_gets_a_new_revision_over_a_restart_a_clock_set_back_and_a_lost_disk():
    service = OverrideService().put(1).durable()
    service.step(events.End(2, "x", "bob", "done")).durable()
    assert service.answers[2] == service.answers[1] and not service.rows
    restarted = service.restarted(after=-HOUR).put(3).durable()
    assert restarted.answers[3].rev > service.answers[1].rev
    restarted.step(events.End(4, "y"))
    assert restarted.answers[4].status == 404
    # Sidecars ignore a revision that is not higher than the one they know, also after the disk was lost.
    without_disk = OverrideService(at=service.at + 1000).put(5).durable()
    assert without_disk.answers[5].rev > service.answers[1].rev


def test_a_restart_neither_extends_an_override_nor_loses_its_end():
    service = OverrideService().put(1, left=60_000).put(2, key="y", left=10_000).durable().durable()
    restarted = service.restarted(after=20_000).step()
    assert restarted.published == [{"x": service.answers[1].rev}]
    assert [override.until_ms for override in restarted.store.active(restarted.at)] == [NOW + 60_000]
    assert times_left(restarted.store.active(restarted.at), restarted.at)["x"]["left_ms"] == 40_000
    assert restarted.durable().kinds("y") == ["started", "expired"] and list(restarted.rows) == ["x"]


def test_a_thousand_overrides_that_expire_in_one_second_are_one_publication_and_bounded_work():
    service = OverrideService()
    for number in range(1000):
        service.put(number, key=f"k{number}", left=10_000 + number).durable()
    service.step(after=5000)
    published_before, most_writes = len(service.published), 0
    service.step(after=4999)
    for wait in [1001] + [100] * 40:
        service.step(after=wait)
        most_writes = max(most_writes, sum(len(commit) for commit in service.open_commits))
        while service.open_commits:
            service.durable()
    assert service.published[published_before:] == [{}] and not service.rows
    assert most_writes <= 2 * MAX_EXPIRED  # Each expired override is the write of a row and of an entry
    assert sum(value["kind"] == "expired" for value in service.history.values()) == 1000
    assert service.store.next_tick_ms() is None


def test_a_failed_write_changes_nothing_and_a_failed_deletion_is_retried():
    service = OverrideService().put(1).durable("full")
    assert service.answers[1].status == 503 and "full" in service.answers[1].why
    service.put(2, left=1000).durable().step(after=1000)
    service.durable("full").step(after=RETRY_MS)
    assert service.durable().rows == {} and service.store.active(service.at) == ()


def test_history_entries_that_a_torn_commit_lacks_are_added_and_unreadable_rows_are_named():
    service = OverrideService().put(1).put(2, key="y").durable().durable()
    row_only = OverrideService(service.rows, {}, service.at).step()
    row_only.open_commits and row_only.durable()
    assert row_only.kinds() == ["started"]
    entry_only = OverrideService({}, service.history, service.at).step()
    entry_only.durable()
    assert entry_only.kinds() == ["started", "ended"]
    damaged = OverrideService({**service.rows, "z": {"id": "z"}}, service.history, service.at)
    assert damaged.unreadable == ["z"] and len(damaged.store.active(service.at)) == 2


def test_the_history_is_a_ring_whose_numbers_continue_after_a_restart():
    service = OverrideService(ring=HistoryRing(5))
    for call in range(8):
        service.put(call, left=1000 + call).durable()
    assert list(service.history) == [f"{number:012d}" for number in range(4, 9)]
    restarted = service.restarted(ring=HistoryRing(5)).put(9, left=9000).durable()
    assert list(restarted.history)[-1] == f"{9:012d}" and len(restarted.history) == 5


def test_calls_above_the_limits_of_overrides_and_waiting_calls_are_refused(monkeypatch):
    monkeypatch.setattr(override_store, "MAX_WAITING", 1)
    service = OverrideService(max_overrides=1).put(1).put(2, left=2000).put(3, left=3000)
    assert service.answers[3].status == 503
    service.put(4, key="y")
    assert (service.answers[4].status, "most" in service.answers[4].why) == (409, True)
