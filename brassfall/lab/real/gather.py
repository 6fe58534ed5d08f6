"""Merges the ledgers of a play's processes into one, on the clock of the play."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from typing import NamedTuple

from brassfall.lab import ledger
from brassfall.lab.ledger import Answer, Attempt, Incarnation, ListEvent
from brassfall.lab.real.environment import Environment

READ_ON_MS = 500.0  # how long a server that runs again reads what arrived while it was stopped
START_MS = 2000.0  # the start of a sidecar after it was killed


def gather(environment: Environment) -> None:
    """Write the ledger of a play into its folder."""
    folder = environment.play.folder
    parts = sorted((folder / "parts").glob("*"))
    writer = ledger.LedgerWriter(folder)
    answers = [row for part in parts for row in ledger.read(part, Answer)]
    _write_answers(writer, answers, environment)
    _write_attempts(writer, parts, answers, environment)
    _write_list_events(writer, parts, environment)
    _write_incarnations(writer, parts, environment)
    for event in environment.events:
        writer.add(event)
    writer.close()


def _write_answers(writer: ledger.LedgerWriter, answers: list[Answer], environment: Environment) -> None:
    """Write the answers, excused where their sidecar was killed or started."""
    kills = [event for event in environment.events if event.kind == "sidecar-kill"]
    for answer in sorted(answers, key=lambda row: (row.sent, row.id)):
        answer.excused = any(
            answer.sidecar in event.targets
            and answer.end >= event.at
            and answer.sent <= event.until + START_MS
            for event in kills
        )
        writer.add(answer)


def _write_attempts(
    writer: ledger.LedgerWriter, parts: list[Path], answers: list[Answer], environment: Environment
) -> None:
    """Write the attempts on the clock of the play, each with whether it went to another zone."""
    app_zones = {app.name: app.zone for app in environment.play.day.apps}
    server_zones = {host.name: host.machine.zone for host in environment.hosts.values()}
    sidecar_of = {answer.id: answer.sidecar for answer in answers}
    attempts = _last_records(parts)
    path_delays = _PathDelays(environment)
    for attempt in attempts:
        attempt.at = round(attempt.at - environment.start_ms, 3)
        attempt.end = round(attempt.end - environment.start_ms, 3) if attempt.end >= 0.0 else -1.0
        sent = round(attempt.sent - environment.start_ms, 3)
        attempt.sent = path_delays.sent(attempt.server.partition(".")[0], sent)
    for attempt in sorted(attempts, key=lambda row: (row.at, row.id)):
        there = server_zones.get(attempt.server, 0)
        here = app_zones.get(sidecar_of.get(attempt.id, ""), 0)
        attempt.cross = here != there
        writer.add(attempt)


def _last_records(parts: list[Path]) -> list[Attempt]:
    """Return every attempt once, as its server wrote it last."""
    found: list[Attempt] = []
    for part in parts:
        rows: dict[tuple[str, float], Attempt] = {}
        for row in ledger.read(part, Attempt):
            rows[row.id, row.at] = row
        found += rows.values()
    return found


class _Pause(NamedTuple):
    """A time in which a server was stopped, in ms of the play."""

    at: float
    until: float


class _SlowPath(NamedTuple):
    """A time in which the path to a server was slow, in ms of the play."""

    at: float
    until: float
    delay_ms: float


class _PathDelays:
    """When attempts were sent, which a server can't tell where it or the path to it was late."""

    def __init__(self, environment: Environment) -> None:
        self._pauses: dict[str, list[_Pause]] = defaultdict(list)
        self._slow_paths: dict[str, list[_SlowPath]] = defaultdict(list)
        for fault in environment.play.day.faults:
            for name in fault.targets:
                if fault.kind == "stop":
                    self._pauses[name].append(_Pause(fault.at, fault.until))
                if fault.kind == "slow-link":
                    self._slow_paths[name].append(_SlowPath(fault.at, fault.until, fault.size))

    def sent(self, machine: str, sent: float) -> float:
        """Return when an attempt was sent, given when its server read the first byte, in ms."""
        for pause in self._pauses[machine]:
            if pause.at <= sent <= pause.until + READ_ON_MS:
                sent = round(pause.at, 3)
        for path in self._slow_paths[machine]:
            if path.at <= sent <= path.until + path.delay_ms:
                sent = round(sent - path.delay_ms, 3)
        return sent


def _write_list_events(writer: ledger.LedgerWriter, parts: list[Path], environment: Environment) -> None:
    """Write the list events, each with the incarnation that started at its `since_ms`."""
    rows = (row for part in parts for row in ledger.read(part, ListEvent))
    for row in sorted(rows, key=lambda row: row.at):
        row.at = round(row.at - environment.start_ms, 3)
        row.incarnation = environment.incarnations_by_start.get((row.server, row.incarnation), -1)
        writer.add(row)


def _write_incarnations(writer: ledger.LedgerWriter, parts: list[Path], environment: Environment) -> None:
    """Write the incarnations, each with its end as the controller saw it."""
    ends = {(row.server, row.incarnation): row for row in environment.incarnations}
    for row in (row for part in parts for row in ledger.read(part, Incarnation)):
        ended = ends.get((row.server, row.incarnation))
        row.begun = round(row.begun - environment.start_ms, 3)
        row.end, row.why = (round(ended.end, 3), ended.why) if ended is not None else (-1.0, "")
        writer.add(row)
