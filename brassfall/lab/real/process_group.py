"""The processes of a real play: started, sent commands, signalled and ended, each by its id."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import tomllib
from collections import deque
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import IO, NamedTuple, TypeVar

import msgspec
import psutil

from brassfall.errors import ExperimentError

ROOT = Path(__file__).resolve().parent.parent.parent.parent
READY_S = 30.0
LAST_LINES = 20
MAX_LINE = 2**24  # bytes
LAB, SIDECAR, LIST_SERVICE = "lab", "sidecar", "list service"  # roles

ReportT = TypeVar("ReportT")


class PlayError(ExperimentError):
    """A play failed and has no result."""

    action = "Look at `logs` in the folder of the play; `lab run` with the same --out plays it again."


class _Event(msgspec.Struct):
    """The part that all reports have."""

    event: str


class MemberProcess:
    """One process of a group, with its reports and its log."""

    def __init__(self, name: str, role: str, process: asyncio.subprocess.Process, log: IO[bytes]) -> None:
        self.name = name
        self.role = role
        self.process = process
        self.lines: deque[str] = deque(maxlen=LAST_LINES)
        self.ending = False  # its end is intended, and no crash
        self.cpu_s = 0.0  # since the play began
        self._cpu_before_s = 0.0
        self._log = log
        self._reports: dict[str, bytes] = {}  # the last of each event
        self._changed = asyncio.Event()
        assert process.stdout is not None
        assert process.stderr is not None
        self._reading = [
            asyncio.create_task(self._read(process.stdout, is_stdout=True)),
            asyncio.create_task(self._read(process.stderr, is_stdout=False)),
        ]

    @property
    def alive(self) -> bool:
        """True if it has not ended yet."""
        return self.process.returncode is None

    def send(self, message: msgspec.Struct) -> None:
        """Send a command, unless it has ended."""
        if self.alive and self.process.stdin is not None:
            self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    async def report(self, event: str, kind: type[ReportT], limit_s: float | None = READY_S) -> ReportT:
        """Wait for a report and return it; raise `PlayError` if the process ends or takes too long."""
        try:
            async with asyncio.timeout(limit_s):
                while event not in self._reports:
                    if not self.alive and all(task.done() for task in self._reading):
                        message = f"{self.name} ended with status {self.process.returncode}: {self.last}"
                        raise PlayError(message)
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            message = f"{self.name}: not {event} within {limit_s:g} s: {self.last}"
            raise PlayError(message) from None
        return msgspec.json.decode(self._reports.pop(event), type=kind)

    @property
    def last(self) -> str:
        """The last line of its log."""
        return self.lines[-1] if self.lines else "no log line"

    def count_cpu(self) -> None:
        """Note the processor time that it has used since the play began."""
        self.cpu_s = self._cpu_total_s(self._cpu_before_s + self.cpu_s) - self._cpu_before_s

    def begin_cpu_count(self) -> None:
        """Count processor time from now on."""
        self._cpu_before_s = self._cpu_total_s(self._cpu_before_s)

    def _cpu_total_s(self, otherwise: float) -> float:
        try:
            times = psutil.Process(self.process.pid).cpu_times()
        except psutil.Error:
            return otherwise
        return times.user + times.system

    async def _read(self, stream: asyncio.StreamReader, *, is_stdout: bool) -> None:
        async for line in stream:
            event = _event(line)
            if event is not None and (is_stdout or event == "ready"):
                self._reports[event] = line
            elif line.strip():
                self.lines.append(line.decode(errors="replace").strip())
                self._log.write(line)
            self._changed.set()
        self._changed.set()

    async def wait(self) -> int:
        """Wait until it has ended and its output is read; return its exit status."""
        status = await self.process.wait()
        await asyncio.gather(*self._reading)
        self._log.close()
        self._changed.set()
        return status


def _event(line: bytes) -> str | None:
    try:
        return msgspec.json.decode(line, type=_Event).event
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


class _Launch(NamedTuple):
    """How to start a process."""

    command: Sequence[str]
    cwd: Path = ROOT
    environment: Mapping[str, str] | None = None


class ProcessGroup:
    """All processes of one play."""

    def __init__(self, logs: Path) -> None:
        self._logs = logs
        self.members: list[MemberProcess] = []
        self._supervisor: asyncio.subprocess.Process | None = None
        self._ends: set[asyncio.Task[int]] = set()

    async def open(self) -> None:
        """Start the supervisor, which kills the others if this process dies."""
        self._logs.mkdir(parents=True, exist_ok=True)
        self._supervisor = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "brassfall.lab.real.supervisor", cwd=ROOT, stdin=asyncio.subprocess.PIPE
        )

    async def start(
        self, name: str, role: str, command: Sequence[str], order: msgspec.Struct | None = None
    ) -> MemberProcess:
        """Start a process in this program's folder, and send it its order."""
        return await self._start(name, role, _Launch(command), order)

    async def start_module(self, name: str, module: str, order: msgspec.Struct) -> MemberProcess:
        """Start a process of the lab from a module of this package."""
        return await self.start(name, LAB, [sys.executable, "-m", f"brassfall.lab.real.{module}"], order)

    async def start_sidecar(self, name: str, code: Path, config: Path) -> MemberProcess:
        """Start a sidecar of the version in `code` as the platform does, with its own configuration file.

        Raises `PlayError` if the version's deploy file does not say how.
        """
        environment = _sidecar_environment(NODE_CONFIG=str(config), TMPDIR=str(config.parent))
        launch = _Launch(["/bin/sh", "-c", _run_command(code)], code, environment)
        return await self._start(name, SIDECAR, launch, None)

    async def _start(
        self, name: str, role: str, launch: _Launch, order: msgspec.Struct | None
    ) -> MemberProcess:
        log = self._open_log(name)
        process = await asyncio.create_subprocess_exec(
            *launch.command,
            cwd=launch.cwd,
            env=launch.environment,
            stdin=asyncio.subprocess.PIPE if order is not None else asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            limit=MAX_LINE,
        )
        member = MemberProcess(name, role, process, log)
        self.members.append(member)
        if self._supervisor is not None and self._supervisor.stdin is not None:
            self._supervisor.stdin.write(f"{process.pid}\n".encode())
        ending = asyncio.get_running_loop().create_task(member.wait())
        self._ends.add(ending)
        ending.add_done_callback(self._ends.discard)
        if order is not None:
            member.send(order)
        return member

    def _open_log(self, name: str) -> IO[bytes]:
        path = self._logs / f"{name.replace(' ', '-')}.log"
        return open(path, "ab", buffering=0)

    def begin_cpu_count(self) -> None:
        """Count processor time from now on, without what the start has used."""
        for member in self.members:
            member.begin_cpu_count()

    async def close(self) -> None:
        """Kill all processes that still run, and wait for their ends."""
        for member in self.members:
            if member.alive:
                member.count_cpu()
                member.process.send_signal(signal.SIGCONT)
                member.process.kill()
        for member in self.members:
            await member.wait()
        if self._supervisor is not None:
            assert self._supervisor.stdin is not None
            self._supervisor.stdin.close()
            await self._supervisor.wait()


def free_port() -> int:
    """Return a port of loopback that no socket uses."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def _run_command(code: Path) -> str:
    """Return the platform's command for one sidecar of a version; `PlayError` if the deploy file has none."""
    try:
        raw = tomllib.loads((code / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        return str(raw["run"])
    except (OSError, tomllib.TOMLDecodeError, KeyError) as error:
        raise PlayError(str(code), f"deploy/balancer.toml names no `run`: {error}") from error


def lend_environment(code: Path) -> None:
    """Let another version use this one's packages: its `run` names `.venv`."""
    link = code / ".venv"
    if not link.exists():
        link.symlink_to(sys.prefix)


def _sidecar_environment(**changes: str) -> dict[str, str]:
    """Return the environment variables of a sidecar, without the lab's own."""
    inherited = {
        name: value for name, value in os.environ.items() if not name.startswith(("NODE_", "PYTHONPATH"))
    }
    return {**inherited, **changes}
