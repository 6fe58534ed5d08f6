"""The list service that a benchmark measures, in a process of its own."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import NamedTuple

import msgspec
import psutil

from brassfall.errors import BrassfallError

CONFIG = """[registry]
listen = "127.0.0.1:0"
data = "{data}"
batch = {batch}
[registry.limits]
caller_calls_per_s = 0
caller_share = 1.0
joins_per_s = 2000
connections = 12000
rows = 200000
"""
DEFAULT_BATCH = 1024  # writes for one sync, at most


class BenchError(BrassfallError):
    """The measurement came to nothing."""

    action = "End what else loads this machine, see that its limit of descriptors is high, and run it again."


class MeasuredService(NamedTuple):
    """A list service that is ready."""

    listen: str
    process: psutil.Process
    start_s: float  # from the start of the process until it was ready

    def cpu_s(self) -> float:
        """Return the processor time of the process so far, in user and system mode."""
        times = self.process.cpu_times()
        return float(times.user + times.system)

    def resident_bytes(self) -> int:
        """Return the memory that the process holds now."""
        return int(self.process.memory_info().rss)


class _LogEvent(msgspec.Struct, frozen=True):
    event: str
    listen: str = ""


_read_log_event = msgspec.json.Decoder(_LogEvent).decode


@contextlib.asynccontextmanager
async def measured_service(folder: Path, batch: int = DEFAULT_BATCH) -> AsyncIterator[MeasuredService]:
    """Run a list service on the data in a folder, and stop it at the end.

    Raises `BenchError` if it does not start.
    """
    config = _write_config(folder, batch)
    begun = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "brassfall", "registry", "serve", "--config", str(config)),
        stderr=subprocess.PIPE,
    )
    assert process.stderr is not None
    try:
        listen = await _ready_address(process.stderr)
        start_s = time.monotonic() - begun
        log_reader = asyncio.create_task(process.stderr.read())
        yield MeasuredService(listen, psutil.Process(process.pid), start_s)
        log_reader.cancel()
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
            await process.wait()


def _write_config(folder: Path, batch: int) -> Path:
    config = folder / "bench.toml"
    config.write_text(CONFIG.format(data=folder / "data", batch=batch))
    return config


async def _ready_address(log: asyncio.StreamReader) -> str:
    async for line in log:
        logged = _read_log_event(line)
        if logged.event == "ready":
            return logged.listen
    message = "the service did not start"
    raise BenchError(message)
