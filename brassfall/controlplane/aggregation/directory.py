"""Which sidecar reports to which aggregator process, as the deciding service knows it. Pure code.

Aggregators report arrivals and departures only. Each sidecar is counted once, by its name: the aggregator
that heard it last has it, and the one that had it before is told that it has moved. Nothing here costs more
with more children, but for what has changed among them.

`now` is milliseconds of the service's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassfall.controlplane.aggregation.messages import MEMBERS_MOST, AggregatorReport, Member
from brassfall.errors import ConflictError, UnavailableError

AGGREGATORS_MOST = 64
FORMER_MOST = 4  # processes of one name that another has followed
MOVED_TELLINGS = 3  # answers that tell a move; who misses them all finds the child silent
ORPHANS_MS = 60_000.0  # children of a process that another has followed count for so long


class AggregatorNameError(ConflictError):
    """The name of an aggregator is another's, who is alive (409)."""

    action = (
        "Give one of the two another `aggregator.name`, or its own `region` and `listen`: GET /aggregators"
        " lists who has it. Where this one takes the other's place, end that one, and wait 3 s."
    )


@dataclass(slots=True)
class AggregatorProcess:
    """One process of an aggregator, by its newest report."""

    report: AggregatorReport
    heard_ms: float
    children: dict[str, str] = field(default_factory=dict)  # name of the sidecar: its process id
    moved: dict[Member, int] = field(default_factory=dict)  # how often it is still to be told
    unknown: bool = False  # of its children not all are known here
    complete: bool = False  # whether all its children have been told, as of its newest report
    followed_ms: float | None = None  # since when another process has its name


@dataclass(slots=True)
class _Name:
    current: AggregatorProcess
    former: dict[str, AggregatorProcess] = field(default_factory=dict)  # by process id, oldest first


@dataclass(slots=True)
class Heard:
    """What a report was, and what has changed by it."""

    process: AggregatorProcess
    stale: bool = False  # repeated or overtaken: it says nothing
    superseded: bool = False  # a newer process of the name is alive
    arrived: list[str] = field(default_factory=list)  # sidecars that another aggregator, or none, had before
    departed: list[str] = field(default_factory=list)  # sidecars that are nobody's children any more


@dataclass(slots=True)
class Directory:
    """All aggregators and their children. `live_ms`: how long after its last report a process counts as
    alive; `children_most`: sidecars that are remembered."""

    live_ms: float
    children_most: int
    unplaced: int = 0  # arrivals that found no place
    _names: dict[str, _Name] = field(default_factory=dict)
    _owners: dict[str, tuple[str, AggregatorProcess]] = field(default_factory=dict)  # by sidecar

    # --- reports --------------------------------------------------------------------------------

    def heard(self, now: float, epoch: int, name: str, report: AggregatorReport) -> Heard:
        """Take in a report; `AggregatorNameError` where the name is another's. `epoch`: the service's."""
        known = self._names.get(name)
        if known is None and len(self._names) >= AGGREGATORS_MOST:
            raise UnavailableError("no place", f"{AGGREGATORS_MOST} aggregators are known", retry_s=10.0)
        if known is not None:
            self._check_owner(now, name, known.current, report)
        process = self._process(now, epoch, name, report)
        if process.followed_ms is not None:
            process.heard_ms = now
            return Heard(process, superseded=True)
        if process.report is not report and report.seq <= process.report.seq:
            return Heard(process, stale=True)
        process.report, process.heard_ms = report, now
        if report.joined:
            process.unknown = False
        told_all = report.epoch == epoch and len(report.joined) < MEMBERS_MOST
        process.complete = told_all and not process.unknown
        made = Heard(process)
        self._depart(process, report.departed, made)
        self._join(name, process, report.joined, made)
        return made

    def _check_owner(
        self, now: float, name: str, current: AggregatorProcess, report: AggregatorReport
    ) -> None:
        if now - current.heard_ms > self.live_ms:
            return
        for what in ("region", "listen"):
            ours, theirs = getattr(report, what), getattr(current.report, what)
            if ours and theirs and ours != theirs:
                raise AggregatorNameError(
                    f"aggregator {name} is in use", f"by a live process with {what} {theirs}, not {ours}"
                )

    def _process(self, now: float, epoch: int, name: str, report: AggregatorReport) -> AggregatorProcess:
        """The process that sent a report, which is the current one of its name unless that is told."""
        known = self._names.get(name)
        if known is not None and known.current.report.life == report.life:
            return known.current
        process = known.former.get(report.life) if known is not None else None
        if process is None:
            # A process of this epoch that is not known here was forgotten: its children were, too.
            process = AggregatorProcess(report, now, unknown=report.epoch == epoch)
        elif known is not None and now - known.current.heard_ms <= self.live_ms:
            return process
        if known is None:
            self._names[name] = _Name(process)
            return process
        known.former.pop(report.life, None)
        known.former[known.current.report.life] = known.current
        known.current.followed_ms, process.followed_ms = now, None
        known.current = process
        while len(known.former) > FORMER_MOST:
            self._drop(known.former.pop(next(iter(known.former))))
        return process

    def _depart(self, process: AggregatorProcess, members: list[Member], made: Heard) -> None:
        for member in members:
            process.moved.pop(member, None)
            if process.children.get(member.name) == member.life:
                del process.children[member.name]
                del self._owners[member.name]
                made.departed.append(member.name)

    def _join(self, name: str, process: AggregatorProcess, members: list[Member], made: Heard) -> None:
        for member in members:
            process.moved.pop(member, None)
            before = self._owners.get(member.name)
            if before is None and len(self._owners) >= self.children_most:
                self.unplaced += 1
                continue
            if before is not None and before[1] is not process:
                life = before[1].children.pop(member.name)
                before[1].moved[Member(member.name, life)] = MOVED_TELLINGS
            if before is None or before[1] is not process:
                made.arrived.append(member.name)
            process.children[member.name] = member.life
            self._owners[member.name] = name, process

    # --- answers --------------------------------------------------------------------------------

    def moved(self, process: AggregatorProcess) -> list[Member]:
        """Children that have moved away, for the next answer; each is told a few times, since answers get
        lost."""
        told = list(process.moved)[:MEMBERS_MOST]
        for member in told:
            left = process.moved.pop(member) - 1
            if left > 0:
                process.moved[member] = left  # behind those that were not told yet
        return told

    @staticmethod
    def resync(epoch: int, process: AggregatorProcess) -> bool:
        """Whether a process is to report all its children anew: it has none of this epoch's answers yet, or
        was forgotten here."""
        return process.report.epoch != epoch or process.unknown

    # --- views ----------------------------------------------------------------------------------

    @property
    def aggregators(self) -> dict[str, AggregatorProcess]:
        """The current process of each name."""
        return {name: known.current for name, known in sorted(self._names.items())}

    def former(self, name: str) -> list[AggregatorProcess]:
        """Processes of a name that another has followed."""
        known = self._names.get(name)
        return list(known.former.values()) if known is not None else []

    def owner(self, sidecar: str) -> str | None:
        """The aggregator that heard a sidecar last."""
        found = self._owners.get(sidecar)
        return found[0] if found is not None else None

    def __contains__(self, sidecar: str) -> bool:
        return sidecar in self._owners

    def knows(self, name: str) -> bool:
        """Whether a name is an aggregator's."""
        return name in self._names

    def live(self, now: float, name: str) -> bool:
        """Whether an aggregator has reported of late."""
        known = self._names.get(name)
        return known is not None and now - known.current.heard_ms <= self.live_ms

    def count(self) -> int:
        """How many sidecars there are, each counted once.

        Until an aggregator has told all its children anew, the count that it states stands for them: too many
        rather than too few, since caps are divided by it."""
        current = [known.current for known in self._names.values()]
        untold = [p.report.children.known - len(p.children) for p in current if not p.complete]
        return len(self._owners) + sum(max(0, number) for number in untold)

    # --- forgetting -----------------------------------------------------------------------------

    def forget(self, name: str) -> list[str]:
        """An aggregator is gone for good; the sidecars that were its children and nobody else's."""
        known = self._names.pop(name, None)
        if known is None:
            return []
        return [child for process in (known.current, *known.former.values()) for child in self._drop(process)]

    def sweep(self, now: float) -> list[str]:
        """Sidecars that did not come back after their aggregator was followed by another process."""
        dropped = []
        for known in self._names.values():
            for life, process in list(known.former.items()):
                if now - max(process.heard_ms, process.followed_ms or 0.0) > ORPHANS_MS:
                    del known.former[life]
                    dropped += self._drop(process)
        return dropped

    def _drop(self, process: AggregatorProcess) -> list[str]:
        gone, process.children = list(process.children), {}
        for child in gone:
            del self._owners[child]
        return gone
