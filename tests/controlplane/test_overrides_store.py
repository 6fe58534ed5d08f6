"""The override store: starts, extensions and ends, over failing disks, torn commits and restarts."""

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
    made = service.answers[1]
    assert service.published[-1] == {"x": made.rev} and service.kinds() == ["started"]
    assert listing_row(made, service.at)["left_ms"] == 60_000 - PUBLISH_MS
    assert listing_row(made, service.at)["from_ms"] == NOW
    service.put(2, left=60_000 - PUBLISH_MS)  # just the same document
    assert service.answers[2] == made and not service.open


@pytest.mark.parametrize("first", ["extension", "end"])
def test_of_an_extension_and_an_end_in_the_same_moment_the_first_that_is_durable_decides(first):
    service = OverrideService().put(1, left=1000).durable().step(after=999)
    if first == "extension":
        # The end of its time comes while the extension is on its way to the disk.
        service.put(2, left=5000).step(after=2).durable()
        assert service.answers[2].same_from == service.answers[1].rev and service.answers[2].from_ms == NOW
        assert service.kinds() == ["started", "extended"]
    else:
        service.step(after=1)  # over: the row is being deleted
        service.put(2, left=5000)
        assert len(service.open) == 1  # it waits for what came first
        service.durable().durable()
        assert service.answers[2].same_from == service.answers[2].rev and service.answers[2].from_ms > NOW
        assert service.kinds() == ["started", "expired", "started"]
    assert service.answers[2].rev > service.answers[1].rev
    assert service.store.get("x", service.at) == service.answers[2]


def test_an_end_by_hand_and_a_start_after_it_never_share_a_revision_over_restarts_and_a_clock_gone_back():
    service = OverrideService().put(1).durable()
    service.step(events.End(2, "x", "bob", "done")).durable()
    assert service.answers[2] == service.answers[1] and not service.rows
    restarted = service.restarted(after=-HOUR).put(3).durable()
    assert restarted.answers[3].rev > service.answers[1].rev
    restarted.step(events.End(4, "y"))
    assert restarted.answers[4].status == 404
    lost = (
        OverrideService(at=service.at + 1000).put(5).durable()
    )  # with its disk lost too: sidecars take a higher one only
    assert lost.answers[5].rev > service.answers[1].rev


def test_a_restart_neither_begins_an_override_anew_nor_loses_its_end():
    service = OverrideService().put(1, left=60_000).put(2, key="y", left=10_000).durable().durable()
    restarted = service.restarted(after=20_000).step()
    assert restarted.published == [{"x": service.answers[1].rev}]
    assert [found.until_ms for found in restarted.store.active(restarted.at)] == [NOW + 60_000]
    assert times_left(restarted.store.active(restarted.at), restarted.at)["x"]["left_ms"] == 40_000
    assert restarted.durable().kinds("y") == ["started", "expired"] and list(restarted.rows) == ["x"]


def test_a_thousand_that_end_in_one_second_are_one_publication_and_bounded_work():
    service = OverrideService()
    for number in range(1000):
        service.put(number, key=f"k{number}", left=10_000 + number).durable()
    service.step(after=5000)
    before, most = len(service.published), 0
    service.step(after=4999)
    for wait in [1001] + [100] * 40:
        service.step(after=wait)
        most = max(most, sum(len(batch) for batch in service.open))
        while service.open:
            service.durable()
    assert service.published[before:] == [{}] and not service.rows
    assert most <= 2 * MAX_EXPIRED  # each a row and its entry
    assert sum(value["kind"] == "expired" for value in service.history.values()) == 1000
    assert service.store.next_tick_ms() is None


def test_a_disk_that_fails_changes_nothing_and_an_end_is_retried():
    service = OverrideService().put(1).durable("full")
    assert service.answers[1].status == 503 and "full" in service.answers[1].why
    service.put(2, left=1000).durable().step(after=1000)
    service.durable("full").step(after=RETRY_MS)
    assert service.durable().rows == {} and service.store.active(service.at) == ()


def test_a_torn_commit_is_mended_and_a_row_that_can_not_be_read_is_named():
    service = OverrideService().put(1).put(2, key="y").durable().durable()
    row_only = OverrideService(service.rows, {}, service.at).step()
    row_only.open and row_only.durable()
    assert row_only.kinds() == ["started"]
    entry_only = OverrideService({}, service.history, service.at).step()
    entry_only.durable()
    assert entry_only.kinds() == ["started", "ended"]
    damaged = OverrideService({**service.rows, "z": {"id": "z"}}, service.history, service.at)
    assert damaged.unreadable == ["z"] and len(damaged.store.active(service.at)) == 2


def test_the_history_is_a_ring_and_its_numbers_go_on_after_a_restart():
    service = OverrideService(ring=HistoryRing(5))
    for call in range(8):
        service.put(call, left=1000 + call).durable()
    assert list(service.history) == [f"{number:012d}" for number in range(4, 9)]
    restarted = service.restarted(ring=HistoryRing(5)).put(9, left=9000).durable()
    assert list(restarted.history)[-1] == f"{9:012d}" and len(restarted.history) == 5


def test_calls_beyond_the_bounds_are_refused(monkeypatch):
    monkeypatch.setattr(override_store, "MAX_WAITING", 1)
    service = OverrideService(most=1).put(1).put(2, left=2000).put(3, left=3000)
    assert service.answers[3].status == 503
    service.put(4, key="y")
    assert (service.answers[4].status, "most" in service.answers[4].why) == (409, True)
