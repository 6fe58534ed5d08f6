"""The processes of one measurement: started in a folder, ended by their ids whatever happens."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp

from brassfall.controlplane.registry import client
from brassfall.errors import ExperimentError

ROOT = Path(__file__).resolve().parent.parent.parent.parent
READY_S = 20.0
END_S = 5.0
REGISTERED_AT_ONCE = 32
# A whole fleet calls from a few addresses here, and one service may get more of it than its defaults allow.
LIMITS = {
    "connections": 19_000,
    "watches": 13_000,
    "caller_calls_per_s": 0.0,
    "caller_share": 1.0,
}


class MeasurementError(ExperimentError):
    """A measurement could not be made; its text is one line."""

    action = "Run it again on a machine with less to do; if it fails there too, report this line."


class Environment(contextlib.AsyncExitStack):
    """Processes of one measurement, with a folder for their files."""

    def __init__(self, folder: Path) -> None:
        super().__init__()
        self.folder = folder

    async def process(
        self, name: str, *command: str, env: dict[str, str] | None = None, piped: bool = False
    ) -> asyncio.subprocess.Process:
        """Start a process whose log is a file of the folder; it is killed when this environment ends."""
        pipe = asyncio.subprocess.PIPE if piped else None
        with (self.folder / f"{name}.log").open("ab") as log:
            made = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stderr=log, stdin=pipe, stdout=pipe or log, limit=2**24
            )
        self.push_async_callback(end, made)
        return made

    async def python(
        self, name: str, *command: str, env: dict[str, str] | None = None, piped: bool = False
    ) -> asyncio.subprocess.Process:
        """Start a module with this interpreter."""
        return await self.process(name, sys.executable, "-m", *command, env=env, piped=piped)


async def end(process: asyncio.subprocess.Process) -> None:
    """End a process and wait for it."""
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
    await process.wait()


async def until(work: Callable[[], Awaitable[Any]], limit_s: float = READY_S) -> None:
    """Try until it works; `MeasurementError` where it does not in time."""
    last: Exception | None = None
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            while True:
                try:
                    await work()
                    return
                except Exception as error:  # whatever a process that is not ready does
                    last = error
                    await asyncio.sleep(0.05)
    raise MeasurementError("a process was not ready in time", repr(last))


def free_port() -> int:
    """A port that was free just now."""
    with socket.socket() as made:
        made.bind(("127.0.0.1", 0))
        port: int = made.getsockname()[1]
        return port


class Service:
    """One list service as a process."""

    def __init__(self, environment: Environment, limits: dict[str, float]) -> None:
        self._environment = environment
        self.address = f"127.0.0.1:{free_port()}"
        self.data = environment.folder / "data"
        self._config = environment.folder / "registry.toml"
        rows = "".join(f"{name} = {value}\n" for name, value in limits.items())
        config = f'[registry]\nlisten = "{self.address}"\ndata = "{self.data}"\n[registry.limits]\n{rows}'
        self._config.write_text(config)
        self.process: asyncio.subprocess.Process

    @property
    def pid(self) -> int:
        """The id of its process."""
        return self.process.pid

    async def start(self) -> None:
        """Start it, also anew on the same data; until it is ready."""
        command = ("brassfall", "registry", "serve", "--config", str(self._config))
        self.process = await self._environment.python("service", *command)
        await until(lambda: client.call(self.address, "GET", "/health/ready"))

    async def status(self) -> dict[str, Any]:
        """What it says of itself."""
        last: Exception | None = None
        for _ in range(5):
            try:
                return dict(await client.call(self.address, "GET", "/status"))
            except client.CallError as error:
                last = error
        raise MeasurementError("the list service does not answer /status", repr(last))


async def start_service(environment: Environment, limits: dict[str, float] | None = None) -> Service:
    """A list service that is ready; `limits` in place of those for a whole fleet on one machine."""
    made = Service(environment, LIMITS if limits is None else limits)
    await made.start()
    return made


async def register(address: str, number: int) -> int:
    """Register servers without leases, in three regions; the version of the list after the last."""
    async with aiohttp.ClientSession() as session:
        gate = asyncio.Semaphore(REGISTERED_AT_ONCE)
        found = await asyncio.gather(*(_register(session, gate, address, index) for index in range(number)))
    return max(found)


def entry(index: int) -> dict[str, Any]:
    """What a server of this number registers; nobody ever connects to it."""
    return {
        "address": f"10.{index // 65_536}.{index // 256 % 256}.{index % 256}:8000",
        "zone": "abc"[index % 3],
        "ttl_ms": 0,
    }


async def _register(session: aiohttp.ClientSession, gate: asyncio.Semaphore, address: str, index: int) -> int:
    async with (
        gate,
        session.put(f"http://{address}/registry/instances/s{index}", json=entry(index)) as answer,
    ):
        if answer.status != 200:
            raise MeasurementError("a server could not be registered", (await answer.text())[:200])
        return int((await answer.json())["index"])
