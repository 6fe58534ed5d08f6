"""Directory of the aggregators, and of the sidecars that report to each of them.

Aggregators report only arrivals and departures of sidecars. Each sidecar is counted once, by its name: it is
owned by the aggregator that reported its arrival last, and the previous owner is notified that the sidecar
has migrated. The cost of applying a report depends on the number of changes in it, not on the number of
children.

`now` is in milliseconds of the service's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from brassfall.controlplane.aggregation.messages import MEMBERS_MOST, AggregatorReport, Member
from brassfall.errors import ConflictError, UnavailableError

MAX_AGGREGATORS = 64  # the maximum number of aggregator names in the directory
MAX_FORMER = 4  # the maximum number of superseded processes kept for one aggregator name
# The number of answers to the previous owner that name a migrated child. If all of them get lost, that
# aggregator removes the child once it has been silent for too long.
MIGRATION_NOTICES = 3
NO_ROOM, NO_ROOM_RETRY_S = "no place", 10.0
ORPHANS_MS = 60_000.0  # how long the children of a superseded process are still counted


class AggregatorNameError(ConflictError):
    """The name of a reporting aggregator is in use by another live aggregator (status 409)."""

    action = (
        "Give one of the two another `aggregator.name`, or its own `region` and `listen`: GET /aggregators"
        " lists who has it. Where this one takes the other's place, end that one, and wait 3 s."
    )


@dataclass(slots=True)
class AggregatorProcess:
    """One process of an aggregator, with its newest report."""

    report: AggregatorReport
    reported_ms: float
    children: dict[str, str] = field(default_factory=dict)  # process ids of its children, by sidecar name
    # Children that have migrated, with the number of answers that will still name each of them.
    migrated: dict[Member, int] = field(default_factory=dict)
    # True if the process was removed from this directory in this epoch, so its children may be unknown.
    forgotten: bool = False
    complete: bool = False  # True once the process has reported all its children in this epoch
    succeeded_ms: float | None = None  # when another process of the same name superseded this one


@dataclass(slots=True)
class _NamedProcesses:
    """All processes of one aggregator name."""

    current: AggregatorProcess
    # Superseded processes by process id, oldest first.
    former: dict[str, AggregatorProcess] = field(default_factory=dict)


class _Owner(NamedTuple):
    """Owner of a sidecar: the aggregator process that reported its arrival last."""

    name: str
    process: AggregatorProcess


@dataclass(slots=True)
class ReceivedReport:
    """Effect of a report on the directory."""

    process: AggregatorProcess
    stale: bool = False  # True if the report was repeated or late, and is ignored
    superseded: bool = False  # True if a newer process of the same name is alive
    arrived: list[str] = field(default_factory=list)  # sidecars that had another owner before, or none
    departed: list[str] = field(default_factory=list)  # sidecars that have no owner any more


@dataclass(slots=True)
class Directory:
    """Directory of the aggregators and their children.

    A process counts as alive for `live_ms` after its newest report. The directory has at most `children_most`
    sidecars; the arrival of a further one is ignored and counted in `unplaced`.
    """

    live_ms: float
    children_most: int
    unplaced: int = 0  # number of arrivals ignored because of `children_most`
    _names: dict[str, _NamedProcesses] = field(default_factory=dict)
    _owners: dict[str, _Owner] = field(default_factory=dict)  # owner by sidecar name

    # --- reports --------------------------------------------------------------------------------

    def receive_report(self, now: float, epoch: int, name: str, report: AggregatorReport) -> ReceivedReport:
        """Apply a report of the aggregator `name` and return its effect; `epoch` is the service's epoch.

        Raise `AggregatorNameError` if another live aggregator has the name, and `UnavailableError` if
        `MAX_AGGREGATORS` other aggregators are known.
        """
        self._check_name(now, name, report)
        process = self._process_of_report(now, epoch, name, report)
        if process.succeeded_ms is not None:
            process.reported_ms = now
            return ReceivedReport(process, superseded=True)
        if process.report is not report and report.seq <= process.report.seq:
            return ReceivedReport(process, stale=True)
        process.report, process.reported_ms = report, now
        self._note_completeness(epoch, process)
        received = ReceivedReport(process)
        self._apply_departures(process, report.departed, received)
        self._apply_arrivals(name, process, report.joined, received)
        return received

    def _check_name(self, now: float, name: str, report: AggregatorReport) -> None:
        processes = self._names.get(name)
        if processes is None:
            if len(self._names) >= MAX_AGGREGATORS:
                why = f"{MAX_AGGREGATORS} aggregators are known"
                raise UnavailableError(NO_ROOM, why, retry_s=NO_ROOM_RETRY_S)
            return
        current = processes.current
        if now - current.reported_ms > self.live_ms:
            return
        for attribute in ("region", "listen"):
            reported_value, current_value = getattr(report, attribute), getattr(current.report, attribute)
            if reported_value and current_value and reported_value != current_value:
                in_use = f"aggregator {name} is in use"
                raise AggregatorNameError(
                    in_use, f"by a live process with {attribute} {current_value}, not {reported_value}"
                )

    def _process_of_report(
        self, now: float, epoch: int, name: str, report: AggregatorReport
    ) -> AggregatorProcess:
        """Return the process that sent a report, after adding it to the directory if it is unknown.

        A new process becomes the current one of its name. A superseded one does so only if the current one
        is no longer alive.
        """
        processes = self._names.get(name)
        if processes is None:
            process = _new_process(now, epoch, report)
            self._names[name] = _NamedProcesses(process)
            return process
        if processes.current.report.process_id == report.process_id:
            return processes.current
        former = processes.former.get(report.process_id)
        if former is None:
            return self._make_current(now, processes, _new_process(now, epoch, report))
        if now - processes.current.reported_ms <= self.live_ms:
            return former
        return self._make_current(now, processes, former)

    def _make_current(
        self, now: float, processes: _NamedProcesses, process: AggregatorProcess
    ) -> AggregatorProcess:
        """Make a process the current one of its name, and supersede the process that was current."""
        predecessor = processes.current
        processes.former.pop(process.report.process_id, None)
        processes.former[predecessor.report.process_id] = predecessor
        predecessor.succeeded_ms, process.succeeded_ms = now, None
        processes.current = process
        while len(processes.former) > MAX_FORMER:
            self._remove_children(processes.former.pop(next(iter(processes.former))))
        return process

    @staticmethod
    def _note_completeness(epoch: int, process: AggregatorProcess) -> None:
        report = process.report
        if report.joined:
            process.forgotten = False
        all_reported = report.epoch == epoch and len(report.joined) < MEMBERS_MOST
        process.complete = all_reported and not process.forgotten

    def _apply_departures(
        self, process: AggregatorProcess, members: list[Member], received: ReceivedReport
    ) -> None:
        for member in members:
            process.migrated.pop(member, None)
            if process.children.get(member.name) == member.process_id:
                del process.children[member.name]
                del self._owners[member.name]
                received.departed.append(member.name)

    def _apply_arrivals(
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
        """Return the migrated children that the next answer to a process names.

        Each child is named in `MIGRATION_NOTICES` answers, since answers can get lost.
        """
        members = list(process.migrated)[:MEMBERS_MOST]
        for member in members:
            notices_left = process.migrated.pop(member) - 1
            if notices_left > 0:
                process.migrated[member] = notices_left  # the child moves behind those named in fewer answers
        return members

    @staticmethod
    def resync(epoch: int, process: AggregatorProcess) -> bool:
        """Return whether a process has to report all its children anew.

        It has to if it has received no answer in this epoch, or was removed from this directory.
        """
        return process.report.epoch != epoch or process.forgotten

    # --- lookups --------------------------------------------------------------------------------

    @property
    def aggregators(self) -> dict[str, AggregatorProcess]:
        """The current process of each aggregator name, sorted by name."""
        return {name: processes.current for name, processes in sorted(self._names.items())}

    def former(self, name: str) -> list[AggregatorProcess]:
        """Return the superseded processes of an aggregator name, oldest first."""
        processes = self._names.get(name)
        return list(processes.former.values()) if processes is not None else []

    def owner(self, sidecar: str) -> str | None:
        """Return the name of the aggregator that owns a sidecar; None if the sidecar has no owner."""
        owner = self._owners.get(sidecar)
        return owner.name if owner is not None else None

    def __contains__(self, sidecar: str) -> bool:
        return sidecar in self._owners

    def knows(self, name: str) -> bool:
        """Return whether an aggregator of this name is in the directory."""
        return name in self._names

    def live(self, now: float, name: str) -> bool:
        """Return whether the aggregator `name` has reported within the last `live_ms`."""
        processes = self._names.get(name)
        return processes is not None and now - processes.current.reported_ms <= self.live_ms

    def count(self) -> int:
        """Return the number of sidecars in the directory, each counted once.

        For an aggregator that has not reported all its children yet, the number of children that it states
        is used if it is higher. The result may be too high, but must not be too low, since caps are divided
        by it.
        """
        unreported = [
            process.report.children.known - len(process.children)
            for process in (processes.current for processes in self._names.values())
            if not process.complete
        ]
        return len(self._owners) + sum(max(0, missing) for missing in unreported)

    # --- removal -----------------------------------------------------------------------------

    def remove(self, name: str) -> list[str]:
        """Remove all processes of an aggregator; return the sidecars that they owned."""
        processes = self._names.pop(name, None)
        if processes is None:
            return []
        all_processes = (processes.current, *processes.former.values())
        return [child for process in all_processes for child in self._remove_children(process)]

    def sweep(self, now: float) -> list[str]:
        """Remove processes superseded more than `ORPHANS_MS` ago; return the sidecars that they owned."""
        removed = []
        for processes in self._names.values():
            for process_id, process in list(processes.former.items()):
                if now - max(process.reported_ms, process.succeeded_ms or 0.0) > ORPHANS_MS:
                    del processes.former[process_id]
                    removed += self._remove_children(process)
        return removed

    def _remove_children(self, process: AggregatorProcess) -> list[str]:
        children, process.children = list(process.children), {}
        for child in children:
            del self._owners[child]
        return children


def _new_process(now: float, epoch: int, report: AggregatorReport) -> AggregatorProcess:
    # A process that has had an answer in this epoch but is unknown was removed, together with its children.
    return AggregatorProcess(report, now, forgotten=report.epoch == epoch)
