"""The simulated list service: its machine, its process and its disk, as far as overrides go."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from functools import partial

from brassfall.controlplane.overrides import events
from brassfall.controlplane.overrides import reconciler as rec
from brassfall.controlplane.overrides.document import Override, overrides_layer, times_left
from brassfall.controlplane.overrides.history import HistoryRing, WriteEntry
from brassfall.lab.overrides.judge import Judge
from brassfall.lab.overrides.node import CLOCK_RATES, Direction, Node
from brassfall.lab.overrides.parts import Answer, ClockStart, Disk, Mark, Parts, Report, Revision, Row
from brassfall.lab.overrides.timeline import Timeline

HOUR_MS = 3_600_000.0
EPOCH_MS = 1.8e12
TICK_MS = 100.0
DISK_MS = (1.0, 40.0)
COMMIT_MS = (20.0, 400.0)  # from publication until sidecars can fetch the configuration revision

Write = events.WriteRow | events.DeleteRow | WriteEntry


class Service:
    """The list service; `incarnation` numbers its processes and `boot` its machine's starts."""

    def __init__(
        self,
        timeline: Timeline,
        judge: Judge,
        nodes: Sequence[Node],
        parts: Parts,
        on_result: Callable[[events.Answer], None],
    ) -> None:
        self._timeline, self._judge, self._nodes, self._parts = timeline, judge, nodes, parts
        self._on_result = on_result
        self.disk = Disk()
        self.rate: float = timeline.rng.choice(CLOCK_RATES)
        self.wall_offset_ms = timeline.rng.uniform(-HOUR_MS, HOUR_MS)
        self._boot, self._booted_at, self._published = 0, 0.0, 0
        self.up, self.stopped_until, self.incarnation, self._disk_free_at = False, 0.0, 0, 0.0
        self.start()

    def _monotonic_ms(self) -> float:
        return (self._timeline.now - self._booted_at) * self.rate + 1e6

    def _wall_ms(self) -> float:
        return EPOCH_MS + self._timeline.now + self.wall_offset_ms

    def unix(self) -> int:
        """Return the service's time in Unix ms; while it is down, what it would be."""
        return self._clock.now(self._monotonic_ms())

    def reboot(self) -> None:
        """Restart the machine's monotonic clock."""
        self._boot, self._booted_at = self._boot + 1, self._timeline.now

    def start(self) -> None:
        """Start a process from what the disk has."""
        mark = self.disk.mark
        marked_at_ms = mark.monotonic_ms if mark.boot == self._boot else None
        self._clock = self._parts.clock(
            ClockStart(self._wall_ms, self._monotonic_ms(), mark.unix_ms, marked_at_ms)
        )
        self.incarnation += 1
        # Durable before anything is answered, or a kill right after it would leave the wall clock to decide.
        self.disk.mark = Mark(float(self.unix()), self._monotonic_ms(), self._boot)
        self.disk.marked_true_ms = self._timeline.now
        self.up = True
        ring = HistoryRing()
        ring.restore(self.disk.history)
        self.store, self._reconciler = self._parts.store(ring), rec.Reconciler(ring)
        rows = self._parts.loaded(self.disk.rows.items(), self.unix())
        entries = [self.disk.history[key] for key in sorted(self.disk.history)]
        self.store.restore(rows, entries)
        self._reconciler.restore(entries)
        self._revision: Revision | None = None
        self._judge.started(self._timeline.now, self)
        self._timeline.at(0.0, partial(self._tick, self.incarnation))

    def _is_current(self, incarnation: int) -> bool:
        return self.up and incarnation == self.incarnation

    def _runs(self, incarnation: int, retry: Callable[[], None]) -> bool:
        """Return whether a process runs; while it is stopped, schedule `retry` for when it continues."""
        if not self._is_current(incarnation):
            return False
        if self._timeline.now < self.stopped_until:
            self._timeline.at(self.stopped_until - self._timeline.now, retry)
            return False
        return True

    def _tick(self, incarnation: int) -> None:
        next_run = partial(self._tick, incarnation)
        if not self._runs(incarnation, next_run):
            return
        unix_ms = self._clock.mark(self._monotonic_ms())
        if unix_ms is not None:
            wait_ms = self._timeline.random_ms(DISK_MS)
            mark = Mark(float(unix_ms), self._monotonic_ms(), self._boot)
            self._timeline.at(wait_ms, partial(self._marked, incarnation, mark, self._timeline.now))
        self._perform(self.store.step(self.unix(), events.Tick()))
        self._reconcile(rec.Tick())
        self._timeline.at(TICK_MS, next_run)

    def _marked(self, incarnation: int, mark: Mark, true_ms: float) -> None:
        if self._is_current(incarnation):
            self.disk.mark, self.disk.marked_true_ms = mark, true_ms

    # --- the store ------------------------------------------------------------------------------

    def call(self, event: events.Put | events.End) -> None:
        """Take an operator's call."""
        self._perform(self.store.step(self.unix(), event))

    def _perform(self, actions: Iterable[events.Action]) -> None:
        """Perform the actions of one step; its writes are one commit."""
        writes: list[Write] = []
        for action in actions:
            match action:
                case events.Answer():
                    self._on_result(action)
                case events.Publish():
                    self._publish(action.overrides)
                case _:
                    writes.append(action)
        if writes:
            self._commit(writes)

    def _publish(self, overrides: tuple[Override, ...]) -> None:
        self._reconcile(rec.OverridesPublished(overrides))
        self._published += 1
        revision = Revision(self._published, overrides_layer(overrides))
        wait_ms = self._timeline.random_ms(COMMIT_MS)
        self._timeline.at(wait_ms, partial(self._committed, self.incarnation, revision))

    def _committed(self, incarnation: int, revision: Revision) -> None:
        """Let sidecars fetch a configuration revision, unless a newer one is there."""
        older = self._revision is None or revision.number > self._revision.number
        if self._is_current(incarnation) and older:
            self._revision = revision

    def _commit(self, writes: list[Write]) -> None:
        """Begin a commit; the disk makes one after the other."""
        self._disk_free_at = max(self._timeline.now, self._disk_free_at) + self._timeline.random_ms(DISK_MS)
        wait_ms = self._disk_free_at - self._timeline.now
        self._timeline.at(wait_ms, partial(self._end_commit, self.incarnation, writes))

    def _end_commit(self, incarnation: int, writes: list[Write]) -> None:
        """Store the writes of a commit, or none of them; a kill before it leaves nothing of it."""
        if not self._is_current(incarnation):
            return
        failed = self._timeline.rng.random() < self._parts.write_failure_share
        if not failed:
            self._store_all(writes)
        tickets = [write.ticket for write in writes if not isinstance(write, WriteEntry)]
        self._confirm(incarnation, tickets, "the disk is full" if failed else "")

    def _store_all(self, writes: list[Write]) -> None:
        expired = {w.entry.id for w in writes if isinstance(w, WriteEntry) and w.entry.kind == "expired"}
        now = self._timeline.now
        for write in writes:
            if isinstance(write, events.WriteRow):
                self.disk.rows[write.override.id] = write.value
                self._judge.stored(now, self, write.override)
            elif isinstance(write, events.DeleteRow):
                self.disk.rows.pop(write.id, None)
                self._judge.deleted(now, write.id, expired=write.id in expired)
            else:
                self.disk.history[write.key] = write.value
                self.disk.history.pop(write.drop, None)

    def _confirm(self, incarnation: int, tickets: list[int], why: str) -> None:
        """Report the end of a commit to the store."""
        if self._runs(incarnation, partial(self._confirm, incarnation, tickets, why)):
            for ticket in tickets:
                self._perform(self.store.step(self.unix(), events.RowWritten(ticket, why)))

    # --- reports --------------------------------------------------------------------------------

    def _reconcile(
        self, event: rec.Tick | rec.OverridesPublished | rec.DigestReported | rec.DetailsReceived
    ) -> None:
        writes: list[Write] = []
        for action in self._reconciler.step(self.unix(), event):
            if isinstance(action, rec.RequestDetails):
                self._nodes[int(action.node)].details_wanted = True
            elif isinstance(action, rec.Resend):
                self._nodes[int(action.node)].resend = True
            elif isinstance(action, WriteEntry):
                writes.append(action)
                if action.entry.kind == "found":
                    self._judge.accused(self._timeline.now, int(action.entry.node), action.entry.why)
        if writes:
            self._commit(writes)

    def receive_report(self, incarnation: int, node: Node, run: int, asked_s: float, report: Report) -> None:
        """Answer a report that was sent at `asked_s` on the node's clock."""
        if not self._runs(incarnation, partial(self.receive_report, incarnation, node, run, asked_s, report)):
            return
        name = str(node.number)
        self._reconcile(rec.DigestReported(name, str(run), "", node.region, report.state.digest))
        if report.acted is not None:
            self._reconcile(rec.DetailsReceived(name, report.acted))
        answer = self._answer(node, report)
        if not node.partitioned(Direction.DOWN):
            receive = partial(node.receive_answer, run, asked_s, answer)
            self._timeline.at(self._timeline.message_ms(), receive)

    def _answer(self, node: Node, report: Report) -> Answer:
        now = self.unix()
        due = [override for override in self.store.active(now) if override.places.includes("", node.region)]
        newest = 0 if report.state.refresh or node.resend else report.state.newest
        times: dict[str, Row] = dict(times_left(due, now, newest))
        details_requested, node.details_wanted, node.resend = node.details_wanted, False, False
        if times and node.answered_by_copy():
            times = _times_of_copy(times, node.received)
        outdated = self._revision is not None and self._revision.number != report.revision
        return Answer(details_requested, times, self._revision if outdated else None)


def _times_of_copy(times: dict[str, Row], received: dict[str, int]) -> dict[str, Row]:
    """Return the times left of a second service on a copy of the disk, whose wall clock is an hour behind."""
    known = {key: row for key, row in times.items() if received.get(key) == row["rev"]}
    return {key: {**row, "left_ms": row["left_ms"] + HOUR_MS} for key, row in known.items()}
