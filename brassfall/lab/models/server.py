"""A model of one server of the operators' fleet. Pure code: its owner tells it the time.

Requests being worked on share the cores evenly (processor sharing); others wait in a bounded queue, and one
that finds the queue full is rejected without any work. Work is in ms of one standard core. The owner calls
`advance` and then `offer` when a request arrives, calls `advance` again when `due` has come, and is given
the jobs that are finished. Internally, virtual time is the work done for a job that has been running all
along.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from typing import Any

from brassfall.lab.day import Machine, Overload

WARMUP_STEP_MS = 250.0  # how often the speed of a server that warms up is computed again
COLLAPSE_SLACK = 1.05  # on the budget of a server that warms up
ERROR_WORK_MS = 0.5  # what a server spends on an answer that is an error at once
REJECTS_FROM_MS = 1000.0  # after it began to drain, a server rejects what arrives
MANY_CONNECTIONS = 8  # fewer cost nothing
ROUNDING_MS = 1e-7

ACCEPTED, FULL, DRAINING, BROKEN = "taken", "full", "draining", "error"  # what becomes of an offered job


class Job:
    """One request at a server."""

    __slots__ = ("work", "data", "end", "failed")

    def __init__(self, work: float, data: Any) -> None:
        self.work = work
        self.data = data
        self.end = 0.0  # the virtual time at which it is finished
        self.failed = False


class Server:
    """One incarnation of one server, from its start to its end. Times are in ms on the owner's clock."""

    def __init__(
        self, machine: Machine, now: float, chance: Callable[[], float], *, warming_up: bool
    ) -> None:
        self.machine = machine
        self.began = now
        self.warm_at = now + machine.warmup_ms if warming_up else -math.inf
        self.collapsed = False  # by too much work while it warmed up; it stays down
        self.leaving_at: float | None = None
        self.connections = 0
        self.errors = 0.0  # the part of requests that it answers with an error at once
        self.is_stopped = False  # its process is suspended
        self.overloaded = False
        self.slowdown = 1.0  # how many times slower it is
        self.neighbour_share = 0.0  # the part of the machine that another program uses
        self._chance = chance
        self._now = now
        self._virtual = 0.0  # work done for each request that has been in work all along
        self._sequence = 0
        self._running: list[tuple[float, int, Job]] = []
        self._queue: deque[Job] = deque()
        self._offered: deque[tuple[float, float]] = deque()
        self._offered_total = 0.0
        self._overloaded_since: float | None = None
        self._idle_since: float | None = None
        self._overload_began = 0.0
        self._reported = 0
        self._pending_reports: deque[tuple[float, int]] = deque()
        self._refresh = now + machine.report_every * chance()
        self._speed = machine.speed
        self._update_speed()

    # --- what it can do -------------------------------------------------------

    @property
    def in_flight(self) -> int:
        """Requests that are running or waiting."""
        return len(self._running) + len(self._queue)

    def warmth(self, now: float) -> float:
        """The part of its capacity that it has at this time."""
        if now >= self.warm_at:
            return 1.0
        warming_up = self.machine.warmup_start
        return warming_up + (1.0 - warming_up) * (1.0 - (self.warm_at - now) / self.machine.warmup_ms)

    def change_load(self, *, slowdown: float | None = None, neighbour_share: float | None = None) -> None:
        """It gets so many times slower, or another program uses this part of the machine."""
        self.slowdown = self.slowdown if slowdown is None else slowdown
        self.neighbour_share = self.neighbour_share if neighbour_share is None else neighbour_share
        self._update_speed()

    def suspend(self, *, is_stopped: bool) -> None:
        """Its process is suspended, or resumed."""
        self.is_stopped = is_stopped
        self._update_speed()

    def _update_speed(self) -> None:
        machine = self.machine
        speed = machine.speed * (1.0 - self.neighbour_share) / self.slowdown
        if self.overloaded and machine.overload is not None:
            speed /= machine.overload.slower
        self._speed = 0.0 if self.is_stopped else speed

    def _rate(self, now: float) -> float:
        """The work done for each running job in one ms."""
        machine, count = self.machine, len(self._running)
        rate = self._speed if now >= self.warm_at else self._speed * self.warmth(now)
        if self.connections > MANY_CONNECTIONS:
            rate *= 1.0 - machine.full_tax * self.connections / machine.connections
        return rate * machine.cores / count if count > machine.cores else rate

    # --- requests -------------------------------------------------------------

    def offer(self, now: float, job: Job, *, new_connection: bool) -> str:
        """A complete request has arrived: `ACCEPTED`, or why not. Call `advance` up to this time before."""
        if new_connection:
            job.work += self.machine.handshake
        if now < self.warm_at:
            self._note_offered_work(now, job.work)
        if self.leaving_at is not None and now - self.leaving_at > REJECTS_FROM_MS:
            return DRAINING
        if self.errors and self._chance() < self.errors:
            return BROKEN
        machine = self.machine
        if len(self._running) < machine.slots:
            self._begin(job)
        elif len(self._queue) < machine.queue:
            self._queue.append(job)
        else:
            return FULL
        job.failed = machine.error_rate > 0.0 and self._chance() < machine.error_rate
        return ACCEPTED

    def _begin(self, job: Job) -> None:
        job.end = self._virtual + job.work
        self._sequence += 1
        heapq.heappush(self._running, (job.end, self._sequence, job))

    def _note_offered_work(self, now: float, work: float) -> None:
        """More work than a server that warms up can do at that moment makes it collapse."""
        span = self.machine.fall_after
        self._offered.append((now, work))
        self._offered_total += work
        while self._offered[0][0] <= now - span:
            self._offered_total -= self._offered.popleft()[1]
        budget = self.machine.fall_multiple * self.machine.capacity * self.warmth(now) * span
        if self._offered_total > budget * COLLAPSE_SLACK:
            self.collapsed = True

    def drain(self, now: float) -> None:
        """It finishes what it has, and soon rejects anything new."""
        self.leaving_at = now

    @property
    def due(self) -> float:
        """When `advance` is to be called next; infinity if there is nothing to do."""
        if not self._running or not self._speed:
            return math.inf
        need = (self._running[0][0] - self._virtual) / self._rate(self._now)
        if self._now < self.warm_at:
            need = min(need, WARMUP_STEP_MS)
        return self._now + need

    def advance(self, now: float) -> list[Job]:
        """Work until now; the finished jobs, in order."""
        in_flight, since = len(self._running) + len(self._queue), self._now
        done: list[Job] = []
        work = self._running
        while work and self._speed:
            rate = self._rate(self._now)
            need = (work[0][0] - self._virtual) / rate
            if self._now + need > now + ROUNDING_MS:
                self._virtual += rate * (now - self._now)
                break
            self._now += need
            self._virtual = work[0][0]
            job = heapq.heappop(work)[2]
            done.append(job)
            if self._queue:
                self._begin(self._queue.popleft())
        self._now = max(self._now, now)
        if not work:
            self._virtual = 0.0
        if self._refresh <= now:
            self._sample_load(now, in_flight)
        if self.machine.overload is not None:
            self._update_overload(self.machine.overload, now, in_flight, since)
        return done

    def unfinished(self) -> list[Job]:
        """The jobs that it has, running and waiting."""
        return [job for _, _, job in sorted(self._running)] + list(self._queue)

    def take_unfinished(self) -> list[Job]:
        """Its process has died: the jobs that it had, which are removed."""
        lost = self.unfinished()
        self._running.clear()
        self._queue.clear()
        return lost

    # --- overload, load reports ----------------------------------------------------

    def _update_overload(self, limits: Overload, now: float, in_flight: int, since: float) -> None:
        """Overloaded after too many requests in flight for too long; recovered after a long idle time."""
        if not self.overloaded:
            if in_flight < limits.in_flight:
                self._overloaded_since = None
            elif self._overloaded_since is None:
                self._overloaded_since = now
            elif now - self._overloaded_since >= limits.after:
                self.overloaded, self._overload_began, self._idle_since = True, now, None
                self._update_speed()
            return
        if in_flight > limits.rest_below:
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = since
        rested = self._idle_since is not None and now - self._idle_since >= limits.rest
        if rested or now - self._overload_began >= limits.most:
            self.overloaded, self._overloaded_since = False, None
            self._update_speed()

    def _sample_load(self, now: float, in_flight: int) -> None:
        machine = self.machine
        missed = int((now - self._refresh) / machine.report_every)
        self._refresh += missed * machine.report_every
        self._pending_reports.append((self._refresh + machine.report_late, in_flight))
        self._refresh += machine.report_every

    def report(self, now: float) -> float:
        """The `inflight` of a load report: sampled now and then, late, and with a little noise."""
        while self._pending_reports and self._pending_reports[0][0] <= now:
            self._reported = self._pending_reports.popleft()[1]
        noise = self.machine.report_noise
        return float(round(self._reported * (1.0 + noise * (2.0 * self._chance() - 1.0))))
