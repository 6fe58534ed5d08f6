"""`brassfall demo`: a small fleet on loopback, and what it does when parts of it fail.

A list service, three servers that register themselves, one sidecar by the command that the platform
runs, and a client. One edition takes effect, and one override ends while the sidecar is stopped: what the
servers write down says who acted on what. Every process is ended at the end, by its id, also on Ctrl-C.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp

from brassfall.controlplane.registry import client
from brassfall.errors import ExperimentError

ROOT = Path(__file__).resolve().parent.parent.parent
READY_S = 20.0
SETTINGS = {
    "Profiles": [{"Name": "look", "Semantics": "pure", "Objective": 500.0, "Deadline": 2000.0}],
    "PolicyLimits": {"MaxAttempts": 3, "MayCancel": True, "ConnectTimeout": 250.0},
    "Rules": {"StopSendingWithin": 500.0},
    "Discovery": "automatic",
    "FailureDomains": ["a", "b"],
}
ZONES = {"s1": "a", "s2": "b", "s3": "b"}
AGREE_MS = 1500  # half the default, so that the demonstration is short
OVERRIDE_S, STOPPED_S = (
    4.0,
    2.0,
)  # how long the override lasts, and how long the sidecar is stopped over its end
BACK_S = 4.0  # within that, traffic has begun to come back: it is eased in over 5 s


class DemoError(ExperimentError):
    """The demonstration failed; its text is one line."""

    action = "Run it again on a machine with less to do; if it fails there too, report this line."


class Demo:
    """The processes of one demonstration."""

    def __init__(self, folder: Path, say: Callable[[str], None]) -> None:
        self._folder = folder
        self._say = say
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._logs: list[asyncio.Task[None]] = []
        self._admin_address = _free_port()

    async def run(self) -> None:
        """Start all, send, break things, send again; `DemoError` if something is not as it should be."""
        try:
            await self._play()
        finally:
            await self._end()

    async def _play(self) -> None:
        say = self._say
        port = _free_port()
        config = self._folder / "registry.toml"
        config.write_text(
            f'[registry]\nlisten = "127.0.0.1:{port}"\ndata = "{self._folder / "data"}"\n'
            f"[registry.agreement]\nagree_ms = {AGREE_MS}\n"
        )
        service = f"127.0.0.1:{port}"
        say(f"list service on {service}")
        await self._brassfall("service", "registry", "serve", "--config", str(config))
        for name, zone in ZONES.items():
            command = ("lab", "server", name, "--registry", service, "--ttl-ms", "2000", "--zone", zone)
            listen = await self._brassfall(name, *command, "--ledger", str(self._ledger(name)))
            say(f"server {name} in region {zone} on {listen}")
        await self._listed(service, 3)
        address = await self._sidecar(service)
        say(f"sidecar on {address}")
        await self._send(address, 60, "all three up")
        await self._publish_revision(service)
        await self._override(service, address)
        say("the list service is killed: the sidecar goes on with the list that it holds")
        await self._kill("service")
        await self._send(address, 60, "no list service")
        await self._brassfall("service", "registry", "serve", "--config", str(config))
        await self._listed(service, 3)
        say("the list service is back, with every server; now s3 drains")
        self._processes["s3"].send_signal(signal.SIGTERM)
        if await self._processes["s3"].wait():
            raise DemoError("s3 did not drain")
        await self._listed(service, 2)
        served = await self._send(address, 60, "s3 has left")
        if "s3" in served:
            raise DemoError("s3 was sent to after it had left")
        self._saw()
        say("it works")

    # --- an edition, and an override that ends while the sidecar is stopped ---------------

    async def _publish_revision(self, service: str) -> None:
        """Publish an edition, and wait until the sidecar acts on it."""
        settings = {"Profiles": [{"Name": "look", "Objective": 400.0}]}
        number = (await client.call(service, "PUT", "/rules", settings))["edition"]
        begun = time.monotonic()
        await self._until("the edition was not acted on", lambda answer: answer["acting"] == number)
        took = time.monotonic() - begun
        self._say(
            f"edition {number} is committed, and the sidecar acts on it, {took:.1f} s after it was published"
        )

    async def _override(self, service: str, address: str) -> None:
        """Hold region b off for a while, and stop the sidecar over the end of that."""
        hold = {"action": {"hold": {"region": "b"}}, "by": "demo", "why": "to show it"}
        until = time.time() + OVERRIDE_S
        await client.call(service, "PUT", "/overrides/demo", {**hold, "until_ms": int(until * 1000.0)})
        await self._until("the override was not acted on", lambda answer: answer["overrides"] == ["demo"])
        since, left = time.monotonic(), until - time.time()
        self._say(f"an override holds region b off, {left:.1f} s are left")
        await self._send(address, 30, "b held off")
        self._say(f"the sidecar is stopped for {STOPPED_S:g} s, over the override's end")
        self._processes["sidecar"].send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(max(STOPPED_S, until + 0.2 - time.time()))
        finally:
            self._processes["sidecar"].send_signal(signal.SIGCONT)
        went_on = time.monotonic()
        answer = await self._rules()
        if answer["overrides"]:
            raise DemoError("an override was acted on past its end", f"the sidecar said {answer}")
        self._say("  it goes on: with its first word it acts on no override any more")
        while not any(row["at"] > went_on for row in self._rows("b")):
            if time.monotonic() - went_on > 2.0 * BACK_S:
                raise DemoError("no traffic came back to region b", "its override has ended")
            await self._send(address, 10, "", quiet=True)
            await asyncio.sleep(0.2)
        between = [row for row in self._rows("b") if since < row["at"] < went_on]
        if between:
            raise DemoError("region b was sent to while it was held off", f"{len(between)} requests")
        back = min(row["at"] for row in self._rows("b") if row["at"] > went_on) - went_on
        self._say(f"  region b's ledgers: no request while it was held off, the first one {back:.1f} s after")

    async def _until(self, what: str, good: Callable[[Any], bool]) -> None:
        """Wait until the sidecar's door says so."""
        begun = time.monotonic()
        while not good(await self._rules()):
            if time.monotonic() - begun > READY_S:
                raise DemoError(what, f"not within {READY_S:g} s")
            await asyncio.sleep(0.02)

    async def _rules(self) -> Any:
        """What the sidecar says that it acts on."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._admin_address)
        try:
            writer.write(b"RULES\n")
            async with asyncio.timeout(READY_S):
                return json.loads(await reader.read())
        finally:
            writer.close()

    def _ledger(self, name: str) -> Path:
        return self._folder / f"{name}.jsonl"

    def _rows(self, zone: str = "") -> list[dict[str, Any]]:
        """What servers have written down, of one region or of all."""
        names = [name for name, stands in ZONES.items() if zone in ("", stands)]
        return [json.loads(line) for name in names for line in self._ledger(name).open("rb")]

    def _saw(self) -> None:
        """Which editions the servers were sent requests under."""
        self._say("what the servers' ledgers saw, by the edition that each request named:")
        rows = self._rows()
        for name in ZONES:
            found = Counter(str(row["edition"]) for row in rows if row["server"] == name)
            self._say(
                f"  {name}: " + ", ".join(f"{times} under {revision}" for revision, times in found.items())
            )
        if any(row["edition"] is None for row in rows):
            raise DemoError("a request named no edition")

    async def _send(self, address: str, count: int, when: str, quiet: bool = False) -> Counter[str]:
        served: Counter[str] = Counter()
        async with aiohttp.ClientSession() as session:
            for number in range(count):
                headers = {"X-Call-Id": f"{number:016x}", "X-Call-Class": "look", "X-Budget": "2000m"}
                async with session.get(f"http://{address}/look/{number}", headers=headers) as answer:
                    body = (await answer.read()).decode()
                served[body.split(" ")[0] if answer.status == 200 else f"status {answer.status}"] += 1
        shares = ", ".join(f"{name} {times}" for name, times in sorted(served.items()))
        if not quiet:
            self._say(f"  {when}: {count} requests, answered by {shares}")
        if any(name.startswith("status") for name in served):
            raise DemoError("a request was not served")
        return served

    async def _listed(self, service: str, count: int) -> None:
        """Wait until so many servers are listed and active."""
        try:
            async with asyncio.timeout(READY_S):
                async for line in client.watch(service, "/registry/instances"):
                    if line:
                        answer = await client.call(service, "GET", "/registry/instances")
                        if sum(row["status"] == "active" for row in answer["endpoints"]) == count:
                            return
        except TimeoutError:
            raise DemoError(f"{count} servers were not listed within {READY_S:g} s") from None

    async def _brassfall(self, name: str, *command: str) -> str:
        """Start a process of this program and wait until it is ready; where it listens."""
        process = self._processes[name] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "brassfall", *command, cwd=ROOT, stderr=asyncio.subprocess.PIPE
        )
        assert process.stderr is not None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_S):
                async for line in process.stderr:
                    answer = json.loads(line) if line.startswith(b"{") else {}
                    if answer.get("event") == "ready":
                        self._logs.append(asyncio.create_task(_drop(process.stderr)))
                        return str(answer["listen"])
        raise DemoError(f"{name} did not start", f"not ready within {READY_S:g} s")

    async def _sidecar(self, service: str) -> str:
        """Start a sidecar as the platform does; where it listens, once it is ready."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        address = f"127.0.0.1:{_free_port()}"
        config = self._folder / "sidecar.json"
        known = {"index": 0, "snapshot": True, "endpoints": []}
        raw = {"name": "n1", "listen": address, "seed": "1", "known": known, "settings": SETTINGS}
        raw["operator"] = f"127.0.0.1:{self._admin_address}"
        place, agreement = {"group": "a", "region": "a"}, {"agree_ms": AGREE_MS}
        fleet = {"registry": [service], "place": place, "agreement": agreement}
        config.write_text(json.dumps({**raw, "fleet": fleet}))
        inherited = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
        log = (self._folder / "sidecar.log").open("wb")
        self._processes["sidecar"] = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env={**inherited, "NODE_CONFIG": str(config)}, stderr=log
        )
        log.close()
        try:
            async with asyncio.timeout(READY_S), aiohttp.ClientSession() as session:
                while not await _serves(session, address):
                    if self._processes["sidecar"].returncode is not None:
                        last_lines = (self._folder / "sidecar.log").read_text().strip()[-300:]
                        raise DemoError("the sidecar ended", last_lines)
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise DemoError("the sidecar did not start", f"not ready within {READY_S:g} s") from None
        return address

    async def _kill(self, name: str) -> None:
        self._processes[name].kill()
        await self._processes[name].wait()

    async def _end(self) -> None:
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for task in self._logs:
            task.cancel()


async def _serves(session: aiohttp.ClientSession, address: str) -> bool:
    """Whether a request is answered by a server: the list has come, and sending works."""
    headers = {"X-Call-Id": "ffffffffffffffff", "X-Call-Class": "look", "X-Budget": "2000m"}
    try:
        async with session.get(f"http://{address}/look/first", headers=headers) as answer:
            return answer.status == 200
    except aiohttp.ClientError:
        return False


async def _drop(stream: asyncio.StreamReader) -> None:
    while await stream.read(65_536):
        pass


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


async def run(say: Callable[[str], None]) -> None:
    """The demonstration, in a folder of its own that is removed at the end."""
    with tempfile.TemporaryDirectory(prefix="brassfall-demo-") as folder:
        await Demo(Path(folder), say).run()
