"""The processes of a real play: started, spoken with, signalled and ended, each by its id."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tomllib
from collections import deque
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
import psutil

from brassfall.errors import ExperimentError

ROOT = Path(__file__).resolve().parent.parent.parent.parent
READY_S = 30.0
LAST_LINES = 20


class PlayError(ExperimentError):
    """A play that came to nothing; its text is one line."""

    action = "Look at `logs` in the folder of the play; `lab run` with the same --out plays it again."


class MemberProcess:
    """One process."""

    def __init__(self, name: str, role: str, log: Path) -> None:
        self.name = name
        self.role = role
        self._log = open(log, "ab", buffering=0)  # noqa: SIM115 (closed when the process has ended)
        self.reports: dict[str, dict[str, Any]] = {}
        self.lines: deque[str] = deque(maxlen=LAST_LINES)
        self.ending = False  # its end is meant, and no crash
        self.cpu_s = 0.0  # since the play has begun
        self._cpu_before_s = 0.0
        self.process: asyncio.subprocess.Process
        self._changed = asyncio.Event()
        self._reading: list[asyncio.Task[None]] = []

    @property
    def alive(self) -> bool:
        """Whether it has not ended yet."""
        return self.process.returncode is None

    def send(self, **message: Any) -> None:
        """Give it a command."""
        if self.alive and self.process.stdin is not None:
            self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    async def report(self, event: str) -> dict[str, Any]:
        """Wait for it to report something; `PlayError` if it ends instead, or takes too long."""
        try:
            async with asyncio.timeout(READY_S):
                while event not in self.reports:
                    if not self.alive and all(task.done() for task in self._reading):
                        raise PlayError(
                            f"{self.name} ended with status {self.process.returncode}: {self.last}"
                        )
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            raise PlayError(f"{self.name}: not {event} within {READY_S:g} s: {self.last}") from None
        return self.reports.pop(event)

    @property
    def last(self) -> str:
        """The last line of its log."""
        return self.lines[-1] if self.lines else "no word"

    def count_cpu(self, begin: bool = False) -> None:
        """Note the processor time that it has used, or that this is where the count begins."""
        try:
            times = psutil.Process(self.process.pid).cpu_times()
        except psutil.Error:
            return
        if begin:
            self._cpu_before_s = times.user + times.system
        self.cpu_s = times.user + times.system - self._cpu_before_s

    async def _read(self, stream: asyncio.StreamReader, reports: bool) -> None:
        async for line in stream:
            message = _object(line)
            if message is not None and "event" in message and (reports or message["event"] == "ready"):
                self.reports[message["event"]] = message
            elif line.strip():
                self.lines.append(line.decode(errors="replace").strip())
                self._log.write(line)
            self._changed.set()
        self._changed.set()

    def follow(self) -> None:
        """Read what it says from now on."""
        assert self.process.stdout and self.process.stderr
        self._reading = [
            asyncio.create_task(self._read(self.process.stdout, True)),
            asyncio.create_task(self._read(self.process.stderr, False)),
        ]

    async def wait(self) -> int:
        """Until it has ended; its status."""
        status = await self.process.wait()
        await asyncio.gather(*self._reading)
        self._log.close()
        self._changed.set()
        return status


def _object(line: bytes) -> dict[str, Any] | None:
    try:
        message = json.loads(line)
    except ValueError:
        return None
    return message if isinstance(message, dict) else None


class ProcessGroup:
    """All processes of one play."""

    def __init__(self, logs: Path) -> None:
        self._logs = logs
        self.members: list[MemberProcess] = []
        self._supervisor: asyncio.subprocess.Process | None = None

    async def open(self) -> None:
        """Start the supervisor, which ends all others if this process dies."""
        self._logs.mkdir(parents=True, exist_ok=True)
        self._supervisor = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "brassfall.lab.real.supervisor", cwd=ROOT, stdin=asyncio.subprocess.PIPE
        )

    async def start(
        self,
        name: str,
        role: str,
        command: list[str],
        order: Any = None,
        cwd: Path = ROOT,
        env: Mapping[str, str] | None = None,
    ) -> MemberProcess:
        """Start one process, and give it its order."""
        member = MemberProcess(name, role, self._logs / f"{name.replace(' ', '-')}.log")
        member.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=cwd,
            env=env,
            stdin=asyncio.subprocess.PIPE if order is not None else asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            limit=2**24,
        )
        self.members.append(member)
        if self._supervisor is not None and self._supervisor.stdin is not None:
            self._supervisor.stdin.write(f"{member.process.pid}\n".encode())
        member.follow()
        asyncio.get_running_loop().create_task(member.wait())
        if order is not None:
            assert member.process.stdin is not None
            member.process.stdin.write(msgspec.json.encode(order) + b"\n")
        return member

    async def own(self, name: str, role: str, module: str, order: Any) -> MemberProcess:
        """Start one of the lab's own processes."""
        return await self.start(name, role, [sys.executable, "-m", f"brassfall.lab.real.{module}"], order)

    def count_from_here(self) -> None:
        """The play begins: what all have used so far was their start."""
        for member in self.members:
            member.count_cpu(begin=True)

    async def close(self) -> None:
        """End whatever still runs."""
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
    """A port of loopback that nobody has."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def run_command(code: Path) -> str:
    """How the platform starts one sidecar of a version; `PlayError` if its deploy file does not say."""
    try:
        raw = tomllib.loads((code / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        return str(raw["run"])
    except (OSError, tomllib.TOMLDecodeError, KeyError) as error:
        raise PlayError(str(code), f"deploy/balancer.toml names no `run`: {error}") from error


def lend_environment(code: Path) -> None:
    """Let another revision use the packages that this one has: its `run` names `.venv`."""
    link = code / ".venv"
    if not link.exists():
        link.symlink_to(sys.prefix)


def sidecar_environment(**changes: str) -> dict[str, str]:
    """The environment of a sidecar: nothing of the lab's own."""
    inherited = {
        name: value for name, value in os.environ.items() if not name.startswith(("NODE_", "PYTHONPATH"))
    }
    return {**inherited, **changes}
