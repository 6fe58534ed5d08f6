"""The endpoint list in a simulated play: servers, the list service, watches, and the age of lists."""

from __future__ import annotations

import random
from typing import Any, NamedTuple

from brassfall.balancer.model import EndpointEntry
from brassfall.controlplane.registry.membership import RegistrationCall
from brassfall.lab import ledger
from brassfall.lab.sim.listing import ListService
from brassfall.lab.sim.parts import Host
from brassfall.lab.sim.sidecar import Sidecar, Surroundings

EXPIRY_CHECK_MS = 100.0
SAMPLE_MS = 500.0
LIST_ZONE = 0  # where the list service is
WATCH_SILENT_MS = 5000.0  # a watch without a message for so long is broken
ASK_TIMEOUT_MS = 1000.0
SAMPLED = 16  # sidecars whose lists are compared with the servers, each sample


class MemberSession(NamedTuple):
    """The calls of one server since it began to speak; void once it has begun anew."""

    host: Host
    number: int

    @property
    def is_current(self) -> bool:
        """Whether the server has not begun anew."""
        return self.number == self.host.session


class _MemberCall(NamedTuple):
    """A server's call on its way to the list service."""

    session: MemberSession
    call: RegistrationCall


class _MemberAnswer(NamedTuple):
    """The answer's way back; status 0 for none."""

    session: MemberSession
    status: int


class _WatchRequest(NamedTuple):
    """A sidecar's request for the list and its changes; void once it has made another one."""

    sidecar: Sidecar
    number: int


class _Delivery(NamedTuple):
    """A message of a watch on its way to its sidecar."""

    request: _WatchRequest
    form: str  # "all" or "changes"
    entries: list[EndpointEntry]
    list_index: int


class Lists:
    """One list service, and everybody who calls it."""

    def __init__(self, world: Surroundings, seed: int) -> None:
        self.world = world
        self.service = ListService()
        self.incarnations: dict[tuple[str, float], int] = {}  # by server and start
        self.rng = random.Random(seed)
        self._watchers: dict[Sidecar, _WatchRequest] = {}

    def begin(self) -> None:
        """Start the list service, with every server listed and every sidecar knowing the list."""
        world = self.world
        self.service.start(0.0)
        for host in world.servers.values():
            world.begin_host(host, 0.0, warming_up=False)
            call = host.member.next_call(0.0)
            host.member.apply_result(0.0, self.service.call(0.0, call), self.rng.random())
            world.at(host.member.due_ms, self.speak, MemberSession(host, host.session))
        self.service.take_changes()
        known = {row["name"]: self._listing(row) for row in self.service.listed()}
        for sidecar in world.sidecars:
            sidecar.endpoints = dict(known)
            sidecar.list_index = self.service.state.index
            sidecar.start(0.0, world.day.apps[sidecar.number].seed)
        world.at(EXPIRY_CHECK_MS, self._expire, None)
        world.at(SAMPLE_MS, self._sample, None)

    def leave(self, sidecar: Sidecar) -> None:
        """A sidecar has died; its watch ends."""
        self._watchers.pop(sidecar, None)

    def _delay(self) -> float:
        low, high = self.world.day.list_delay
        return low + (high - low) * self.rng.random()

    def speak(self, now: float, session: MemberSession) -> None:
        """A server calls the list service, if that is due."""
        host = session.host
        member = host.member
        if not session.is_current or member.is_finished or (host.up and host.core.is_stopped):
            return
        if member.due_ms > now:
            self.world.at(member.due_ms, self.speak, session)
            return
        call = _MemberCall(session, member.next_call(now))
        self.world.at(now + self._delay(), self._called, call)

    def _called(self, now: float, member_call: _MemberCall) -> None:
        session, call = member_call
        host = session.host
        is_reached = self.service.up and self.world.network.reaches(host.zone, LIST_ZONE)
        status = self.service.call(now, call) if is_reached else 0
        if status:
            self._notify_watches(now)
        wait = self._delay() if status else host.member.call_timeout_ms
        self.world.at(now + wait, self._call_answered, _MemberAnswer(session, status))

    def _call_answered(self, now: float, answer: _MemberAnswer) -> None:
        session, status = answer
        if session.is_current:
            session.host.member.apply_result(now, status, self.rng.random())
            self.speak(now, session)

    def _expire(self, now: float, _: None) -> None:
        if self.service.up and self.service.expire(now):
            self._notify_watches(now)
        self.world.at(now + EXPIRY_CHECK_MS, self._expire, None)

    def _listing(self, row: dict[str, Any]) -> EndpointEntry:
        since = float(row["since_ms"])
        return EndpointEntry(row["name"], int(row["zone"]), int(row["type"]), 0, row["status"], 1.0, since)

    def _notify_watches(self, now: float) -> None:
        """Send the watches what has changed."""
        if not self.service.changes:
            return
        entries = [self._listing(row) for row in self.service.take_changes()]
        index = self.service.state.index
        for request in self._watchers.values():
            if self.world.network.reaches(request.sidecar.zone, LIST_ZONE):
                delivery = _Delivery(request, "changes", entries, index)
                self.world.at(now + self._delay(), self._deliver, delivery)

    def _deliver(self, now: float, delivery: _Delivery) -> None:
        request, form, entries, index = delivery
        sidecar = request.sidecar
        if not sidecar.up or request.number != sidecar.watch_asked:
            return
        self._note_events(now, sidecar, form, entries)
        sidecar.watching = True
        sidecar.list_heard = now
        sidecar.list_received(now, form, entries, index)

    def _note_events(self, now: float, sidecar: Sidecar, form: str, entries: list[EndpointEntry]) -> None:
        endpoints = sidecar.endpoints
        changed = [
            (entry.server, entry.started, entry.state)
            for entry in entries
            if (old := endpoints.get(entry.server)) is None
            or (old.state, old.started) != (entry.state, entry.started)
        ]
        if form == "all":
            named = {entry.server for entry in entries}
            changed += [(name, old.started, "left") for name, old in endpoints.items() if name not in named]
        for name, started, state in changed:
            incarnation = self.incarnations.get((name, started), -1)
            self.world.ledger_writer.add(
                ledger.ListEvent(sidecar.name, name, incarnation, state, ledger.ms(now))
            )

    def watch(self, now: float, sidecar: Sidecar, number: int) -> None:
        """A sidecar asks for the list, and for all changes from then on."""
        request = _WatchRequest(sidecar, number)
        if not self.world.network.reaches(sidecar.zone, LIST_ZONE):
            self.world.at(now + ASK_TIMEOUT_MS, self._watch_failed, request)
        elif not self.service.is_ready(now):
            self.world.at(now + self._delay(), self._watch_failed, request)
        else:
            self._watchers[sidecar] = request
            changed = self.service.since(sidecar.list_index)
            form, rows = ("all", self.service.listed()) if changed is None else ("changes", changed)
            entries = [self._listing(row) for row in rows]
            delivery = _Delivery(request, form, entries, self.service.state.index)
            self.world.at(now + self._delay(), self._deliver, delivery)

    def _watch_failed(self, now: float, request: _WatchRequest) -> None:
        sidecar, number = request
        if sidecar.up and number == sidecar.watch_asked:
            sidecar.list_refused(now)

    def break_watches(self, now: float, zone: int | None, after: float) -> None:
        """The watches of a zone that is cut off, or all of them, end `after` so many ms."""
        for sidecar, request in list(self._watchers.items()):
            if zone is None or not self.world.network.reaches(sidecar.zone, LIST_ZONE):
                del self._watchers[sidecar]
                sidecar.watching = False
                self.world.at(now + after, self._watch_failed, request)

    def down(self, now: float) -> None:
        """The list service dies."""
        self.service.stop()
        self.break_watches(now, None, 1.0)

    def up(self, now: float, *, disk_lost: bool) -> None:
        """The list service starts again, with its disk or without it."""
        self.service.start(now, disk_lost=disk_lost)

    # --- samples --------------------------------------------------------------

    def _sample(self, now: float, _: None) -> None:
        ages = []
        for sidecar in self.world.sidecars:
            if not sidecar.up:
                continue
            if sidecar.watching and self.service.up and self.world.network.reaches(sidecar.zone, LIST_ZONE):
                sidecar.list_heard = now
            ages.append(now - sidecar.list_heard)
        ages.sort()
        wrong = [self._wrong(sidecar) for sidecar in self.world.sidecars[:SAMPLED]]
        if ages:
            median, most = ages[len(ages) // 2], ages[-1]
            self.world.ledger_writer.add(
                ledger.Age(now, ledger.ms(median), ledger.ms(most), round(sum(wrong) / len(wrong), 4))
            )
        if now < self.world.day.lasts:
            self.world.at(now + SAMPLE_MS, self._sample, None)

    def _wrong(self, sidecar: Sidecar) -> float:
        """The part of the servers that a sidecar's list has wrong."""
        actual = {
            name: host.incarnation
            for name, host in self.world.servers.items()
            if host.up and not host.leaving
        }
        endpoints = {
            name: self.incarnations.get((name, entry.started), -1)
            for name, entry in sidecar.endpoints.items()
            if entry.state == "active"
        }
        differ = sum(endpoints.get(name) != incarnation for name, incarnation in actual.items())
        differ += sum(name not in actual for name in endpoints)
        return differ / max(1, len(actual))
