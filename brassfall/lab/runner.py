"""Runs an experiment: every version on every seed, several at a time, with the results in a folder.

The folder has `experiment.toml`, a folder for each play under `plays/`, `plays.jsonl` with the results of
all of them, `report.md` and plots. A play whose result is there is not played again: an interrupted
experiment continues where it stopped.
"""

from __future__ import annotations

import asyncio
import io
import os
import shutil
import subprocess
import sys
import tarfile
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from brassfall.balancer import Settings
from brassfall.lab import compiled, day, report, spec
from brassfall.lab.arrivals import load_experiment
from brassfall.lab.play import Order, Result
from brassfall.lab.revision_chaos import command
from brassfall.lab.revision_chaos import spec as editions
from brassfall.lab.sim.defects import DEFECTS
from brassfall.settings import SettingsError, read_toml

ROOT = Path(__file__).resolve().parent.parent.parent
TELL_EVERY_S = 2.0
END_S = 5.0
# The threads that numpy's library would start busy-wait beside the play, and use up its core.
ONE_THREAD = {"OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1", "MKL_NUM_THREADS": "1"}
Say = Callable[[str], None]
ELSEWHERE = "Name another folder in --out, or move what is there away."


@dataclass(slots=True)
class Play:
    """One play, before, while and after it is played."""

    version: str
    seed: int
    folder: Path
    code: str = ""
    process: asyncio.subprocess.Process | None = None
    at_s: float = 0.0
    result: Result | None = None


@dataclass(slots=True)
class Run:
    """One experiment."""

    experiment: spec.Experiment
    file: Path
    out: Path
    say: Say
    plays: list[Play] = field(default_factory=list)

    async def go(self) -> list[Result]:
        """Play all that has no result yet; the results, in order. Cancelling ends the running plays."""
        head = self.experiment.head
        waiting = [play for play in self.plays if play.result is None]
        done = len(self.plays) - len(waiting)
        if done:
            self.say(f"{done} of {len(self.plays)} plays were there already")
        # Real plays need the machine for themselves.
        side_by_side = 1 if head.mode == "real" else os.cpu_count() or 1
        room = asyncio.Semaphore(head.workers or side_by_side)
        telling = asyncio.create_task(self._tell())
        try:
            async with asyncio.TaskGroup() as group:
                for play in waiting:
                    group.create_task(self._play(play, room))
        finally:
            telling.cancel()
            await self._end()
        return [play.result for play in self.plays if play.result is not None]

    async def _play(self, play: Play, room: asyncio.Semaphore) -> None:
        async with room:
            shutil.rmtree(play.folder, ignore_errors=True)
            play.folder.mkdir(parents=True)
            in_tree = self.experiment.head.compiled
            order = Order(
                str(self.file), play.version, play.seed, str(play.folder), "" if in_tree else play.code
            )
            play.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "brassfall.lab.play",
                cwd=play.code if in_tree else ROOT,
                env={**os.environ, **ONE_THREAD},
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
            )
            assert play.process.stdin is not None
            assert play.process.stdout is not None
            assert play.process.stderr is not None
            play.process.stdin.write(msgspec.json.encode(order) + b"\n")
            errors = asyncio.create_task(play.process.stderr.read())
            async for line in play.process.stdout:
                play.at_s = float(line.split()[-1])
            status = await play.process.wait()
            text = (await errors).decode(errors="replace").strip()
            path = play.folder / "result.json"
            if status == 0 and path.exists():
                play.result = load(path)
                return
            why = text.splitlines()[-1] if text else f"ended with status {status}"
            (play.folder / "error.txt").write_text(text + "\n")
            play.result = Result(play.version, play.seed, valid=False, why=why)
            self.say(f"{play.version}, seed {play.seed}: failed: {why}")

    async def _tell(self) -> None:
        lasts = self.experiment.head.lasts / 1000.0
        while True:
            await asyncio.sleep(TELL_EVERY_S)
            done = sum(play.result is not None for play in self.plays)
            now = [
                f"{play.version}/{play.seed} {min(1.0, play.at_s / lasts):.0%}"
                for play in self.plays
                if play.result is None and play.process is not None
            ]
            self.say(f"{done} of {len(self.plays)} plays; {', '.join(now) or 'starting'}")

    async def _end(self) -> None:
        """End the plays that still run; a real play first ends its own processes."""
        running = [play.process for play in self.plays if play.process and play.process.returncode is None]
        for process in running:
            process.terminate()
        try:
            async with asyncio.timeout(END_S):
                for process in running:
                    await process.wait()
        except TimeoutError:
            for process in running:
                if process.returncode is None:
                    process.kill()
                await process.wait()


def load(path: Path) -> Result:
    """A result from its file; `SettingsError` if the file has none."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Result)
    except (msgspec.MsgspecError, ValueError) as error:
        action = "Take that file away, and run the experiment again: it plays what is missing."
        raise SettingsError(str(path), str(error), action) from error


def prepare(file: Path, out: Path, say: Say) -> Run:
    """Check everything before anything starts; `SettingsError` says what is wrong."""
    experiment, recorded = load_experiment(file)
    commits = _commits(file, experiment)
    try:
        day.sample_day(experiment, experiment.head.first_seed, recorded)
    except day.DayError as error:
        raise SettingsError(str(file), error.summary) from error
    _lay_out(file, experiment, out)
    run = Run(experiment, file.resolve(), out, say)
    for version in experiment.versions:
        commit = commits.get(version.name)
        code = _checked_out(commit, out, say) if commit is not None else ""
        if experiment.head.compiled:
            code = str(compiled.tree(ROOT, Path(code) if code else ROOT, say))
        for seed in range(experiment.head.first_seed, experiment.head.first_seed + experiment.head.repeats):
            folder = (out / "plays" / f"{version.name}-{seed}").resolve()
            play = Play(version.name, seed, folder, code)
            path = folder / "result.json"
            if path.exists():
                play.result = load(path)
            run.plays.append(play)
    return run


def _commits(file: Path, experiment: spec.Experiment) -> dict[str, str]:
    """The commits of the versions that name a revision."""
    commits = {}
    for number, version in enumerate(experiment.versions):
        at = f"{file}: versions[{number}]"
        if version.defect is not None and version.defect not in DEFECTS:
            raise SettingsError(f"{at}.flaw: {version.defect!r} is none of {', '.join(DEFECTS)}")
        if version.defect is not None and experiment.head.mode == "real":
            raise SettingsError(f"{at}.flaw: flaws are for simulated experiments")
        if experiment.head.compiled and experiment.head.mode == "real":
            raise SettingsError(f"{file}: experiment.compiled: only simulated experiments are compiled")
        if version.revision is None:
            _check_settings(f"{at}.settings", experiment, version)
            continue
        named = ["git", "-C", str(ROOT), "rev-parse", "--verify", "--quiet", f"{version.revision}^{{commit}}"]
        found = None if "\0" in version.revision else subprocess.run(named, capture_output=True, text=True)
        if found is None or found.returncode:
            raise SettingsError(f"{at}.revision: {version.revision!r} is no revision of this repository")
        commits[version.name] = found.stdout.strip()
    return commits


def _check_settings(at: str, experiment: spec.Experiment, version: spec.Version) -> None:
    """Check the settings of a version with this program's decision module."""
    try:
        Settings.parse(day.wire_settings(experiment, 0, version.settings))
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
        raise SettingsError(at, f"the decision module does not take them: {error!r}") from error


def _lay_out(file: Path, experiment: spec.Experiment, out: Path) -> None:
    """The folder of the results, with the experiment in it."""
    text = file.read_text(encoding="utf-8")
    stored = out / "experiment.toml"
    if stored.exists() and read_toml(stored) != tomllib.loads(text):
        raise SettingsError(str(out), "holds another experiment, or one that was changed since", ELSEWHERE)
    if out.exists() and not stored.exists() and (not out.is_dir() or any(out.iterdir())):
        raise SettingsError(str(out), "is not an empty folder, and holds no experiment", ELSEWHERE)
    try:
        out.mkdir(parents=True, exist_ok=True)
        stored.write_text(text, encoding="utf-8")
        if experiment.load.replay is not None:
            shutil.copyfile(file.parent / experiment.load.replay, out / Path(experiment.load.replay).name)
    except OSError as error:
        raise SettingsError(str(out), error.strerror or str(error), ELSEWHERE) from error


def _checked_out(commit: str, out: Path, say: Say) -> str:
    """The folder with the files of a commit."""
    folder = (out / "versions" / commit).resolve()
    if not folder.exists():
        say(f"checking out {commit[:10]}")
        made = subprocess.run(["git", "-C", str(ROOT), "archive", commit], capture_output=True, check=True)
        part = folder.with_suffix(".part")
        shutil.rmtree(part, ignore_errors=True)
        with tarfile.open(fileobj=io.BytesIO(made.stdout)) as archive:
            archive.extractall(part, filter="data")
        part.replace(folder)
    return str(folder)


async def run(file: Path, out: Path, say: Say) -> int:
    """Run an experiment; the exit status. `SettingsError` before anything has started."""
    if editions.is_one(file):
        return await command.run(file, out, say)
    prepared = prepare(file, out, say)
    results = await prepared.go()
    report.write(prepared.experiment, results, out)
    say(f"report in {out / 'report.md'}")
    played = {result.version for result in results if result.valid}
    return 0 if all(version.name in played for version in prepared.experiment.versions) else 1
