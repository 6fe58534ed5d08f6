"""The child processes of a demonstration: started until ready, signalled and ended by their ids."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import BinaryIO

import msgspec

from brassfall.errors import ExperimentError

ROOT = Path(__file__).resolve().parents[3]
DEPLOY_FILE = ROOT / "deploy" / "balancer.toml"
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
LOG_CHUNK_BYTES = 65_536
LAST_LOG_CHARACTERS = 300
PLATFORM_VARIABLES = "NODE_"  # prefix of the environment variables that the platform sets


class DemoError(ExperimentError):
    """The demonstration failed; its text is one line."""

    action = "Run it again on a machine with less to do; if it fails there too, report this line."


class _LogEvent(msgspec.Struct, frozen=True):
    """The fields of a log line that announce a program that is ready."""

    event: str = ""
    listen: str = ""


_read_log_event = msgspec.json.Decoder(_LogEvent).decode


class ProcessGroup:
    """The child processes of one demonstration, by name."""

    def __init__(self) -> None:
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._log_readers: list[asyncio.Task[None]] = []

    async def start_program(self, name: str, *command: str) -> str:
        """Start a `brassfall` command; return the address that it listens on once it is ready.

        Raises `DemoError` if it is not ready in time.
        """
        process = self._processes[name] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "brassfall", *command, cwd=ROOT, stderr=subprocess.PIPE
        )
        assert process.stderr is not None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_TIMEOUT_S):
                async for line in process.stderr:
                    log = _read_log_event(line) if line.startswith(b"{") else _LogEvent()
                    if log.event == "ready":
                        self._log_readers.append(asyncio.create_task(_discard(process.stderr)))
                        return log.listen
        failure = f"{name} did not start"
        raise DemoError(failure, f"not ready within {READY_TIMEOUT_S:g} s")

    async def start_deployed(
        self, name: str, config: Path, log: Path, is_ready: Callable[[], Awaitable[bool]]
    ) -> None:
        """Start a sidecar with the deploy file's command; return once `is_ready` says so.

        Raises `DemoError` if the process ends first, or if it is not ready in time.
        """
        inherited = {key: text for key, text in os.environ.items() if not key.startswith(PLATFORM_VARIABLES)}
        environment = {**inherited, "NODE_CONFIG": str(config)}
        with _open_log(log) as log_file:
            process = self._processes[name] = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", _deployed_command(), cwd=ROOT, env=environment, stderr=log_file
            )
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await is_ready():
                    if process.returncode is not None:
                        failure = f"the {name} exited"
                        raise DemoError(failure, _last_lines(log))
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            why = f"not ready within {READY_TIMEOUT_S:g} s"
            failure = f"the {name} did not start"
            raise DemoError(failure, why) from None

    async def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self._processes[name].kill()
        await self._processes[name].wait()

    async def drain(self, name: str) -> None:
        """Send SIGTERM and wait for the end; raise `DemoError` if the exit status is not 0."""
        self._processes[name].send_signal(signal.SIGTERM)
        status = await self._processes[name].wait()
        if status:
            failure = f"{name} did not drain"
            raise DemoError(failure, f"its exit status is {status}")

    def suspend(self, name: str) -> None:
        """Stop a process without ending it."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a suspended process run again."""
        self._processes[name].send_signal(signal.SIGCONT)

    async def close(self) -> None:
        """Kill every process that still runs and wait for its end."""
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for task in self._log_readers:
            task.cancel()


def _deployed_command() -> str:
    return str(tomllib.loads(DEPLOY_FILE.read_text())["run"])


def _open_log(path: Path) -> BinaryIO:
    return path.open("wb")


def _last_lines(log: Path) -> str:
    return log.read_text().strip()[-LAST_LOG_CHARACTERS:]


async def _discard(stream: asyncio.StreamReader) -> None:
    while await stream.read(LOG_CHUNK_BYTES):
        pass
