"""The sidecar's shell as a model: reports, one watch, stops in the middle of anything, clocks of its own."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from brassfall.controlplane.revisions import pace
from brassfall.lab.agreement.base import Kernel
from brassfall.lab.agreement.rules import Profile
from brassfall.lab.agreement.watching import Watch, Watched

JITTER = 1.0 / 3.0
TIMEOUT_MS = 1000.0
GAVE_UP_MS = (20.0, 200.0)  # until the next report after one that failed
RETRY_SPREAD = 0.25  # as the sidecar's, of a Retry-After
SENT_ON_EVERY = 4  # as the sidecar's: answers without a lease to one address, where no other had one
KNOWN_MOST = 12  # more revisions than can be acted on by anybody within `agree_ms`
NOVEL = "novel"  # a key that only the newer version of the program knows


class Address(Watched, Protocol):
    """Where a sidecar reports and watches: a service, or an aggregator."""

    @property
    def up(self) -> bool:
        """Whether anybody is there."""

    @property
    def epoch(self) -> int:
        """Of the service that is followed there."""

    @property
    def pending(self) -> int:
        """The revision that is pending, as is known there; 0 where none is."""

    def report(self, name: str, body: bytes, answer: Callable[[dict[str, Any]], None]) -> bool:
        """A report arrives; whether anybody was there."""

    def state(self) -> dict[str, Any] | None:
        """What whoever asks now is answered."""


class Sidecar:
    """One process. What it acts on is judged at each moment at which that may change."""

    def __init__(
        self,
        kernel: Kernel,
        name: str,
        process_id: str,
        services: Sequence[Address],
        newer: bool = True,
        near: int = 0,
    ) -> None:
        """`near` of the addresses come first: it begins at one of those; 0: at any."""
        self.kernel = kernel
        self.name, self.label = name, f"{name}/{process_id}"
        self.services = services
        self.newer = newer
        self.clock = kernel.clock()
        self.lease_client = kernel.program.lease_client(process_id, self._check)
        self._observed_as = process_id
        self.profile: Profile | None = None
        self.highest = 0
        self.dead = self.stopped = self.liar = False
        self.lax = False  # takes answers that come after it gave up on them
        self.follows = True  # goes to another address where an answer says so: not so in older versions
        self.restless = False  # reports to another address each time
        self._report_at = kernel.random.randrange(near or len(services))
        self._watch = Watch(kernel, name, services, self._do, self._line, near)
        self._flight = self._sent_on = 0
        self._every, self._spread = pace.report_interval_ms(1), pace.urgent_report_spread_ms(1)
        self._timer = 0  # the newest wait for a report: another that is due is void
        self._due_at = math.inf  # when the next report goes out, true time
        self._called = False
        self._known: dict[int, int] = {}  # the last revisions received, each with the epoch that sent it
        self._followed = self._granted_by = 0
        self._until: dict[int, float] = {}  # true time by which the lease on a revision is over at the latest
        self._backlog: list[tuple[str, Callable[..., None], tuple[Any, ...]]] = []

    def _check(self, revision: Any) -> str:
        why = str(self.kernel.program.unknown(revision))
        return "" if self.newer and why.startswith(f"{NOVEL}:") else why

    def start(self) -> None:
        """Begin to report and to watch."""
        self.judged()
        span = self.kernel.random.uniform(0.0, 500.0)
        self._wait(span)
        self.kernel.after(self.kernel.random.uniform(0.0, 100.0), self._do, "timer", self._watch.open)

    # --- what it acts on -----------------------------------------------------------------------

    def seconds(self) -> float:
        """Its clock."""
        clock, now = self.clock, self.kernel.now
        return (clock.unix(now) if self.kernel.program.wall_clock else clock.mono(now)) / 1000.0

    def judged(self) -> None:
        """Have the judge see what a decision made now would act on; it decides nothing by that."""
        profile = None
        if not (self.dead or self.stopped or self.liar):
            active = self.lease_client.active_configuration(self.seconds())
            known = self._knows(active) if active.fallback else frozenset[int]()
            profile = self.kernel.judge.profile(active, known, self.kernel.program.effective)
        until = self._until.get(profile.number, -math.inf) if profile is not None else 0.0
        self.kernel.judge.changed(self.kernel.now, self, profile, until)

    def _knows(self, active: Any) -> frozenset[int]:
        """Revisions that its fallback configuration has to heed: received after the one that it acted on, or
        from a later epoch than the one that granted that."""
        last, by = active.revision.number, self._granted_by
        return frozenset(number for number, epoch in self._known.items() if number > last or epoch > by)

    # --- stops and ends ---------------------------------------------------------------------------

    def stop(self) -> None:
        """SIGSTOP: nothing runs, the clock does."""
        self.judged()
        self.stopped = True
        self.judged()

    def resume(self) -> None:
        """SIGCONT: the first decision may come before anything that waits is read."""
        if self.dead or not self.stopped:
            return
        self.stopped = False
        self.judged()
        waiting, self._backlog = self._backlog, []
        streams = sorted({row[0] for row in waiting})
        self.kernel.random.shuffle(streams)
        for stream in streams:
            for name, run, args in waiting:
                if name == stream and not self.dead:
                    run(*args)

    def end(self, leave: bool = False) -> None:
        """The process ends; one that is ended gently says so, and acts on nothing before it does."""
        if self.dead:
            return
        service = self.services[self._report_at]
        self.judged()
        self.dead = True
        self.judged()
        self._watch.close()
        if leave and not self.stopped and not self.kernel.lost("report", self.name, service.number):
            raw = {**self.lease_client.report_fields(self.seconds()), "leaving": True}
            body = json.dumps(raw).encode()
            self.kernel.after(self.kernel.delay(), service.report, self.name, body, lambda raw: None)

    def _do(self, stream: str, run: Callable[..., None], *args: Any) -> None:
        if self.dead:
            return
        if self.stopped:
            self._backlog.append((stream, run, args))
        else:
            run(*args)

    # --- reports -------------------------------------------------------------------------------------

    def _report_within(self, low: float, high: float) -> None:
        self._wait(self.kernel.random.uniform(low, high) / self.clock.rate)

    def _wait(self, span: float) -> None:
        self._timer += 1
        self._due_at = self.kernel.now + span
        self.kernel.after(span, self._do, "timer", self._cycle, self._timer)

    def _soon(self) -> None:
        """A revision calls for a report: it takes the place of the one that waits, if that is later."""
        if self._called or not self.lease_client.has_urgent_report:
            return
        if self._flight:
            self._called = True  # once that one is answered, if it is still called for
            return
        span = self.kernel.random.uniform(0.0, self._spread) / self.clock.rate
        if self.kernel.now + span < self._due_at:
            self._called = True
            self._wait(span)

    def _cycle(self, timer: int) -> None:
        if timer != self._timer:
            return
        self._called = False
        kernel, service = self.kernel, self.services[self._report_at]
        asked = self.seconds()
        raw = self.lease_client.report_fields(asked)
        self._flight = seq = raw["seq"]
        if self.liar:
            raw = self._lied(raw, service)
        body = json.dumps(raw).encode()
        kernel.after(TIMEOUT_MS / self.clock.rate, self._do, "timer", self._gave_up, seq)
        if kernel.lost("report", self.name, service.number):
            return
        if self.restless:
            self.move()
        call = (service, seq, asked, kernel.now, body)
        kernel.after(kernel.delay(), self._arrives, *call)
        while kernel.net.replay and kernel.random.random() < kernel.net.replay:
            kernel.met["replayed reports"] += 1
            span = kernel.random.uniform(1.0, 10_000.0)
            kernel.after(span, service.report, self.name, body, lambda raw: None)

    def move(self) -> None:
        """Report to the next address from now on."""
        self._report_at = (self._report_at + 1) % len(self.services)

    def _arrives(self, service: Address, seq: int, asked: float, true_ms: float, body: bytes) -> None:
        kernel = self.kernel

        def answer(raw: dict[str, Any]) -> None:
            if not kernel.lost("answer", self.name, service.number):
                kernel.after(kernel.delay(), self._do, "answer", self._answered, seq, asked, true_ms, raw)

        if not service.report(self.name, body, answer):
            kernel.after(kernel.delay(), self._do, "answer", self._gave_up, seq)

    def _gave_up(self, seq: int) -> None:
        if self._flight == seq:
            self._flight = 0
            self.move()
            self._report_within(*GAVE_UP_MS)

    def _rejected(self, seq: int, retry_ms: float) -> None:
        """It is to come again later: there, unless its lease would run out over it."""
        if self._flight != seq:
            return
        self._flight = 0
        left = self.lease_client.lease_left_ms(self.seconds())
        if left and retry_ms > left - TIMEOUT_MS:
            self.move()
            retry_ms = min(retry_ms, GAVE_UP_MS[1])
        self._report_within(retry_ms, retry_ms * (1.0 + RETRY_SPREAD))

    def _sent_elsewhere(self) -> None:
        """Each address is asked once; then, since nobody seems to have a lease, more rarely."""
        self._sent_on += 1
        if self._sent_on <= len(self.services) or self._sent_on % SENT_ON_EVERY == 0:
            self.move()

    def _answered(self, seq: int, asked: float, true_ms: float, raw: dict[str, Any]) -> None:
        if "retry_ms" in raw:
            self._rejected(seq, raw["retry_ms"])
            return
        if self._flight != seq and not self.lax:
            return
        clock, length, revision = self.clock, raw["permission_ms"], raw["edition"]
        later = raw["life"] > self._followed
        if length and raw["life"] >= self._followed:
            over = true_ms + length / (1.0 - self.kernel.judge.drift)
            self._until[revision] = max(self._until.get(revision, -math.inf), over)
        now = self.seconds()
        counts = self.kernel.program.answered(self.lease_client, asked, now, seq, raw)
        if self.lease_client.process_id != self._observed_as:
            # It goes on like a process that has just begun: so it is another observer.
            self._observed_as = self.lease_client.process_id
            self._followed = self._granted_by = self.highest = 0
            self._until, self._known = {}, {}
            self.kernel.met["sidecars that followed a lower epoch again"] += 1
        if counts:
            if later:
                # Whoever follows another service acts on nothing that the one before granted.
                self._until = {revision: self._until[revision]} if length else {}
            self._followed = max(self._followed, raw["life"])
            if length and revision == self.lease_client.active_configuration(now).revision.number:
                self._granted_by = raw["life"]
        self.judged()
        if length:
            left = self.lease_client.lease_left_ms(now) / clock.rate
            self.kernel.after(left + 1e-6, self.judged)
            self.kernel.at(self._until.get(revision, 0.0) + 1.0, self.judged)
        if self._flight == seq:
            self._flight = 0
            if not raw.get("elsewhere"):
                self._sent_on = 0
            if not counts:
                self.move()
            elif self.follows and raw.get("elsewhere"):
                self._sent_elsewhere()
            elif self.lease_client.lacks_revision(raw):
                self._fetch(self.services[self._report_at])
            self._every, self._spread = raw["every_ms"], raw["spread_ms"]
            self._report_within(self._every * (1.0 - JITTER), self._every * (1.0 + JITTER))
            if counts and self._called:
                self._called = False
                self._soon()

    def _fetch(self, service: Address) -> None:
        """Reports come through where the watch may not: revisions come on their way, too."""
        kernel = self.kernel

        def arrives() -> None:
            raw = service.state() if service.up else None
            if raw is not None and not kernel.lost("answer", self.name, service.number):
                kernel.after(kernel.delay(), self._do, "answer", self._receive_update, raw)

        if not kernel.lost("report", self.name, service.number):
            kernel.after(kernel.delay(), arrives)

    def _lied(self, raw: dict[str, Any], service: Address) -> dict[str, Any]:
        """Whatever may do the most harm."""
        chance = self.kernel.random
        pending = service.pending if service.up else 0
        lies = {"prepared": pending, "held": chance.choice((0, 2**53 - 1)), "acting": pending}
        return {**raw, **lies, "of": chance.choice((0, service.epoch, 2**53 - 1))}

    # --- what is received --------------------------------------------------------------------------------

    def _line(self, raw: dict[str, Any]) -> None:
        """A line of the watch."""
        self._receive_update(raw)

    def _receive_update(self, raw: dict[str, Any]) -> None:
        if raw["life"] >= self._followed:
            more = raw.get("committed", raw)["edition"]
            self._known |= {raw["edition"]: raw["life"], more: raw["life"]}
            while len(self._known) > KNOWN_MOST:
                del self._known[min(self._known)]
        self.lease_client.receive_update(raw)
        self._soon()
        self.judged()
