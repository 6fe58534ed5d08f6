"""The directory of aggregators and of the sidecars that report to them. Pure code.

Aggregators report arrivals and departures only. Each sidecar is counted once, by its name: the aggregator
that reported its arrival last owns it, and the previous owner is notified that it has migrated. The cost of
a call depends on the changes, not on the number of children.

`now` is milliseconds of the service's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from brassfall.controlplane.aggregation.messages import MEMBERS_MOST, AggregatorReport, Member
from brassfall.errors import ConflictError, UnavailableError

MAX_AGGREGATORS = 64
MAX_FORMER = 4  # superseded processes of one name
MIGRATION_NOTICES = (
    3  # answers that name a migrated child; without any of them the aggregator finds it silent
)
FULL, FULL_RETRY_S = "no place", 10.0
ORPHANS_MS = 60_000.0  # for which the children of a superseded process count


class AggregatorNameError(ConflictError):
    """The name of an aggregator belongs to another live one (409)."""

    action = (
        "Give one of the two another `aggregator.name`, or its own `region` and `listen`: GET /aggregators"
        " lists who has it. Where this one takes the other's place, end that one, and wait 3 s."
    )


@dataclass(slots=True)
class AggregatorProcess:
    """One process of an aggregator, by its newest report."""

    report: AggregatorReport
    reported_ms: float
    children: dict[str, str] = field(default_factory=dict)  # process id by name of the sidecar
    migrated: dict[Member, int] = field(default_factory=dict)  # the answers that will still name it
    forgotten: bool = False  # known before in this epoch: not all of its children are known here
    complete: bool = False  # it has reported all its children
    succeeded_ms: float | None = None  # since when another process has its name


@dataclass(slots=True)
class _NamedProcesses:
    """The processes of one name."""

    current: AggregatorProcess
    former: dict[str, AggregatorProcess] = field(default_factory=dict)  # by process id, oldest first


class _Owner(NamedTuple):
    """The aggregator that reported a sidecar's arrival last."""

    name: str
    process: AggregatorProcess


@dataclass(slots=True)
class ReceivedReport:
    """The effect of a report."""

    process: AggregatorProcess
    stale: bool = False  # repeated or late: without effect
    superseded: bool = False  # a newer process of the name is alive
    arrived: list[str] = field(default_factory=list)  # sidecars with another owner before, or none
    departed: list[str] = field(default_factory=list)  # sidecars without an owner from now on


@dataclass(slots=True)
class Directory:
    """The aggregators and their children.

    A process counts as alive for `live_ms` after its last report; at most `children_most` sidecars are kept.
    """

    live_ms: float
    children_most: int
    unplaced: int = 0  # arrivals beyond `children_most`
    _names: dict[str, _NamedProcesses] = field(default_factory=dict)
    _owners: dict[str, _Owner] = field(default_factory=dict)  # by sidecar

    # --- reports --------------------------------------------------------------------------------

    def receive_report(self, now: float, epoch: int, name: str, report: AggregatorReport) -> ReceivedReport:
        """Apply a report; `epoch` is the service's.

        Raise `AggregatorNameError` if the name is another's, `UnavailableError` if there are too many.
        """
        self._check_name(now, name, report)
        process = self._process(now, epoch, name, report)
        if process.succeeded_ms is not None:
            process.reported_ms = now
            return ReceivedReport(process, superseded=True)
        if process.report is not report and report.seq <= process.report.seq:
            return ReceivedReport(process, stale=True)
        process.report, process.reported_ms = report, now
        self._note_completeness(epoch, process)
        received = ReceivedReport(process)
        self._depart(process, report.departed, received)
        self._join(name, process, report.joined, received)
        return received

    def _check_name(self, now: float, name: str, report: AggregatorReport) -> None:
        processes = self._names.get(name)
        if processes is None:
            if len(self._names) >= MAX_AGGREGATORS:
                why = f"{MAX_AGGREGATORS} aggregators are known"
                raise UnavailableError(FULL, why, retry_s=FULL_RETRY_S)
            return
        current = processes.current
        if now - current.reported_ms > self.live_ms:
            return
        for what in ("region", "listen"):
            ours, theirs = getattr(report, what), getattr(current.report, what)
            if ours and theirs and ours != theirs:
                in_use = f"aggregator {name} is in use"
                raise AggregatorNameError(in_use, f"by a live process with {what} {theirs}, not {ours}")

    def _process(self, now: float, epoch: int, name: str, report: AggregatorReport) -> AggregatorProcess:
        """Return the process of a report, which becomes the current one unless another is alive."""
        processes = self._names.get(name)
        if processes is None:
            process = _new_process(now, epoch, report)
            self._names[name] = _NamedProcesses(process)
            return process
        if processes.current.report.process_id == report.process_id:
            return processes.current
        former = processes.former.get(report.process_id)
        if former is None:
            return self._succeed(now, processes, _new_process(now, epoch, report))
        if now - processes.current.reported_ms <= self.live_ms:
            return former
        return self._succeed(now, processes, former)

    def _succeed(
        self, now: float, processes: _NamedProcesses, process: AggregatorProcess
    ) -> AggregatorProcess:
        """Make a process the current one of its name."""
        predecessor = processes.current
        processes.former.pop(process.report.process_id, None)
        processes.former[predecessor.report.process_id] = predecessor
        predecessor.succeeded_ms, process.succeeded_ms = now, None
        processes.current = process
        while len(processes.former) > MAX_FORMER:
            self._drop(processes.former.pop(next(iter(processes.former))))
        return process

    @staticmethod
    def _note_completeness(epoch: int, process: AggregatorProcess) -> None:
        report = process.report
        if report.joined:
            process.forgotten = False
        all_reported = report.epoch == epoch and len(report.joined) < MEMBERS_MOST
        process.complete = all_reported and not process.forgotten

    def _depart(self, process: AggregatorProcess, members: list[Member], received: ReceivedReport) -> None:
        for member in members:
            process.migrated.pop(member, None)
            if process.children.get(member.name) == member.process_id:
                del process.children[member.name]
                del self._owners[member.name]
                received.departed.append(member.name)

    def _join(
        self, name: str, process: AggregatorProcess, members: list[Member], received: ReceivedReport
    ) -> None:
        for member in members:
            process.migrated.pop(member, None)
            owner = self._owners.get(member.name)
            if owner is None and len(self._owners) >= self.children_most:
                self.unplaced += 1
                continue
            if owner is not None and owner.process is not process:
                process_id = owner.process.children.pop(member.name)
                owner.process.migrated[Member(member.name, process_id)] = MIGRATION_NOTICES
            if owner is None or owner.process is not process:
                received.arrived.append(member.name)
            process.children[member.name] = member.process_id
            self._owners[member.name] = _Owner(name, process)

    # --- answers --------------------------------------------------------------------------------

    def take_migrated(self, process: AggregatorProcess) -> list[Member]:
        """Return migrated children for the next answer; each is in a few answers, since answers get lost."""
        members = list(process.migrated)[:MEMBERS_MOST]
        for member in members:
            left = process.migrated.pop(member) - 1
            if left > 0:
                process.migrated[member] = left  # after those that were in no answer yet
        return members

    @staticmethod
    def resync(epoch: int, process: AggregatorProcess) -> bool:
        """Return whether a process has to report all its children anew.

        That is so if it has had no answer in this epoch, or was forgotten here.
        """
        return process.report.epoch != epoch or process.forgotten

    # --- views ----------------------------------------------------------------------------------

    @property
    def aggregators(self) -> dict[str, AggregatorProcess]:
        """The current process of each name."""
        return {name: processes.current for name, processes in sorted(self._names.items())}

    def former(self, name: str) -> list[AggregatorProcess]:
        """Return the superseded processes of a name."""
        processes = self._names.get(name)
        return list(processes.former.values()) if processes is not None else []

    def owner(self, sidecar: str) -> str | None:
        """Return the aggregator that owns a sidecar; None if there is none."""
        owner = self._owners.get(sidecar)
        return owner.name if owner is not None else None

    def __contains__(self, sidecar: str) -> bool:
        return sidecar in self._owners

    def knows(self, name: str) -> bool:
        """Return whether a name is an aggregator's."""
        return name in self._names

    def live(self, now: float, name: str) -> bool:
        """Return whether an aggregator has reported within `live_ms`."""
        processes = self._names.get(name)
        return processes is not None and now - processes.current.reported_ms <= self.live_ms

    def count(self) -> int:
        """Return the number of sidecars, each counted once.

        Until an aggregator has reported all its children anew, the number that it states is used: too many
        rather than too few, since caps are divided by it.
        """
        unreported = [
            process.report.children.known - len(process.children)
            for process in (processes.current for processes in self._names.values())
            if not process.complete
        ]
        return len(self._owners) + sum(max(0, number) for number in unreported)

    # --- forgetting -----------------------------------------------------------------------------

    def remove(self, name: str) -> list[str]:
        """Remove an aggregator; return the sidecars that it owned."""
        processes = self._names.pop(name, None)
        if processes is None:
            return []
        everyone = (processes.current, *processes.former.values())
        return [child for process in everyone for child in self._drop(process)]

    def sweep(self, now: float) -> list[str]:
        """Forget processes superseded for `ORPHANS_MS`; return the sidecars that they still owned."""
        dropped = []
        for processes in self._names.values():
            for process_id, process in list(processes.former.items()):
                if now - max(process.reported_ms, process.succeeded_ms or 0.0) > ORPHANS_MS:
                    del processes.former[process_id]
                    dropped += self._drop(process)
        return dropped

    def _drop(self, process: AggregatorProcess) -> list[str]:
        children, process.children = list(process.children), {}
        for child in children:
            del self._owners[child]
        return children


def _new_process(now: float, epoch: int, report: AggregatorReport) -> AggregatorProcess:
    # A process that follows this epoch and is not known here was forgotten, and its children with it.
    return AggregatorProcess(report, now, forgotten=report.epoch == epoch)
