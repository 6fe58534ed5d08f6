"""`brassfall lab run` for an experiment on revisions: schedules side by side, each in a process."""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec

from brassfall.lab.real.process_group import ROOT
from brassfall.lab.revision_chaos import report, spec
from brassfall.lab.revision_chaos.play import Order, Result
from brassfall.settings import SettingsError, read_toml

END_S = 15.0
ELSEWHERE = "Name another folder in --out, or move what is there away."
Say = Callable[[str], None]


class PlayEnd(NamedTuple):
    """How the process of one schedule ended."""

    status: int
    error_text: str


class ScheduleRunner:
    """All schedules of one experiment."""

    def __init__(self, experiment: spec.Experiment, file: Path, out: Path, say: Say) -> None:
        self._experiment = experiment
        self._file = file.resolve()
        self._out = out.resolve()
        self._say = say
        self._running: set[asyncio.subprocess.Process] = set()
        self.results: list[Result] = []
        self.failed: dict[int, str] = {}

    async def run(self) -> None:
        """Play the schedules that have no result yet."""
        room = asyncio.Semaphore(self._experiment.side_by_side)
        first = self._experiment.first_seed
        try:
            async with asyncio.TaskGroup() as group:
                for seed in range(first, first + self._experiment.schedules):
                    group.create_task(self._play_if_missing(seed, room))
        finally:
            await self._end()

    async def _play_if_missing(self, seed: int, room: asyncio.Semaphore) -> None:
        folder = self._out / "plays" / f"{seed}"
        path = folder / "result.json"
        if path.exists():
            self.results.append(load(path))
            return
        async with room:
            shutil.rmtree(folder, ignore_errors=True)
            folder.mkdir(parents=True)
            end = await self._play(Order(str(self._file), seed, str(folder)))
        if end.status == 0 and path.exists():
            self.results.append(load(path))
            self._print_result(self.results[-1])
        else:
            lines = end.error_text.splitlines()
            self.failed[seed] = lines[-1] if lines else f"ended with status {end.status}"
            self._say(f"seed {seed} was not played: {self.failed[seed]}")

    def _print_result(self, result: Result) -> None:
        verdict, done = result.verdict, len(self.results) + len(self.failed)
        broken = ", ".join(f"{rule} {times}" for rule, times in verdict.broken.items())
        broken = ", ".join(filter(None, (broken, *result.crashes))) or "all rules held"
        self._say(
            f"{done} of {self._experiment.schedules}: seed {result.seed}: {broken};"
            f" two editions side by side for {verdict.contradiction_ms:.0f} ms at most"
            + ("" if verdict.counts else "; does not count, the observer was late")
        )

    async def _play(self, order: Order) -> PlayEnd:
        log = Path(order.folder) / "errors.txt"
        with await asyncio.to_thread(log.open, "wb") as errors:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "brassfall.lab.revision_chaos.play"),
                cwd=ROOT,
                env=dict(os.environ),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=errors,
                start_new_session=True,  # Ctrl-C is passed on by `_end`, once
            )
        self._running.add(process)
        assert process.stdin is not None
        process.stdin.write(msgspec.json.encode(order) + b"\n")
        status = await process.wait()
        self._running.discard(process)
        return PlayEnd(status, log.read_text(errors="replace").strip())

    async def _end(self) -> None:
        """Terminate the schedules that still run; each ends its own processes first."""
        for process in self._running:
            if process.returncode is None:
                process.terminate()
        for process in list(self._running):
            try:
                async with asyncio.timeout(END_S):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()


def load(path: Path) -> Result:
    """Read a stored result.

    Raises `SettingsError` if the file holds none.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=Result)
    except (msgspec.MsgspecError, ValueError) as error:
        action = "Take that file away, and run the experiment again: it plays what is missing."
        raise SettingsError(str(path), str(error), action) from error


def _create_folder(file: Path, out: Path) -> None:
    """Create the folder of the results, with the experiment in it."""
    stored = out / "experiment.toml"
    text = file.read_text(encoding="utf-8")
    if stored.exists() and read_toml(stored) != tomllib.loads(text):
        raise SettingsError(str(out), "holds another experiment, or one that was changed since", ELSEWHERE)
    if out.exists() and not stored.exists() and (not out.is_dir() or any(out.iterdir())):
        raise SettingsError(str(out), "is not an empty folder, and holds no experiment", ELSEWHERE)
    try:
        out.mkdir(parents=True, exist_ok=True)
        stored.write_text(text, encoding="utf-8")
    except OSError as error:
        raise SettingsError(str(out), error.strerror or str(error), ELSEWHERE) from error


async def run(file: Path, out: Path, say: Say) -> int:
    """Run an experiment; return 0 if every schedule was played and no rule was broken."""
    experiment = spec.load(file)
    _create_folder(file, out)
    runner = ScheduleRunner(experiment, file, out, say)
    try:
        await runner.run()
    finally:
        report.write(experiment, runner.results, runner.failed, out)
    say(f"report in {out / 'report.md'}")
    good = not runner.failed and all(result.passed or not result.verdict.counts for result in runner.results)
    return 0 if good else 1
