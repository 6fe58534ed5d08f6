"""The fleet of a demonstration: a list service, servers that register, and one sidecar."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import time
from collections.abc import Callable
from pathlib import Path

import aiohttp
import msgspec

from brassfall.controlplane.registry import client
from brassfall.controlplane.registry.entries import InstanceList
from brassfall.controlplane.registry.rules import PublishedAnswer
from brassfall.lab.demonstration.processes import READY_TIMEOUT_S, DemoError, ProcessGroup

LOOPBACK = "127.0.0.1"
SERVICE, SIDECAR = "service", "sidecar"  # names of processes
REQUEST_CLASS = "look"
SETTINGS = {
    "Profiles": [{"Name": REQUEST_CLASS, "Semantics": "pure", "Objective": 500.0, "Deadline": 2000.0}],
    "PolicyLimits": {"MaxAttempts": 3, "MayCancel": True, "ConnectTimeout": 250.0},
    "Rules": {"StopSendingWithin": 500.0},
    "Discovery": "automatic",
    "FailureDomains": ["a", "b"],
}
REGIONS = {"s1": "a", "s2": "b", "s3": "b"}
AGREEMENT_MS = 1500  # half the default, so that the demonstration is short
REGISTRATION_TTL_MS = 2000
STATE_POLL_INTERVAL_S = 0.02
FIRST_CALL_ID = "f" * 16  # of the requests that find out whether the sidecar is ready


class SidecarState(msgspec.Struct, frozen=True):
    """The answer of the sidecar's admin endpoint to `RULES`."""

    acting: int | str
    overrides: list[str]


class LedgerRow(msgspec.Struct, frozen=True, rename={"revision": "edition", "at_s": "at"}):
    """One request in a server's ledger; `at_s` is on the monotonic clock of the machine."""

    server: str
    revision: str | None
    at_s: float


_read_state = msgspec.json.Decoder(SidecarState).decode
_read_row = msgspec.json.Decoder(LedgerRow).decode


class DemoFleet:
    """The list service, the servers and the sidecar, with what they report."""

    def __init__(self, folder: Path) -> None:
        self.processes = ProcessGroup()
        self.service_address = _free_address()
        # Found when the sidecar starts, so that no server is given one of them in between.
        self.sidecar_address = ""
        self._admin_port = 0
        self._folder = folder

    async def start_service(self) -> None:
        """Start the list service, on the data of an earlier process if there is one."""
        config = self._write_service_config()
        await self.processes.start_program(SERVICE, "registry", "serve", "--config", str(config))

    async def start_server(self, name: str) -> str:
        """Start a server that registers itself; return its address."""
        options = {
            "--registry": self.service_address,
            "--ttl-ms": str(REGISTRATION_TTL_MS),
            "--zone": REGIONS[name],
            "--ledger": str(self._ledger_path(name)),
        }
        arguments = [argument for option in options.items() for argument in option]
        return await self.processes.start_program(name, "lab", "server", name, *arguments)

    async def start_sidecar(self) -> None:
        """Start the sidecar as the platform does; return once it forwards requests."""
        self.sidecar_address, self._admin_port = _free_address(), _free_port()
        async with aiohttp.ClientSession() as session:

            async def is_ready() -> bool:
                try:
                    return await self._status(session, "first", FIRST_CALL_ID) == 200
                except aiohttp.ClientError:
                    return False

            config, log = self._write_sidecar_config(), self._folder / "sidecar.log"
            await self.processes.start_deployed(SIDECAR, config, log, is_ready)

    async def close(self) -> None:
        """End every process of the fleet."""
        await self.processes.close()

    # --- the control plane ------------------------------------------------------------------

    async def publish_revision(self, settings: object) -> int:
        """Publish a configuration revision; return its number."""
        raw = await client.call(self.service_address, "PUT", "/rules", settings)
        return client.decode_answer(self.service_address, PublishedAnswer, raw).revision

    async def exclude_region(self, region: str, until_unix_s: float) -> None:
        """Put the override `demo`, which keeps requests off a region until a time."""
        document = {
            "action": {"hold": {"region": region}},
            "by": "demo",
            "why": "to show it",
            "until_ms": int(until_unix_s * 1000.0),
        }
        await client.call(self.service_address, "PUT", "/overrides/demo", document)

    async def wait_for_active_servers(self, count: int) -> None:
        """Return once the list has this many active servers; raise `DemoError` if it takes too long."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                async for line in client.watch(self.service_address, "/registry/instances"):
                    if line and await self._count_active_servers() == count:
                        return
        except TimeoutError:
            why = f"not within {READY_TIMEOUT_S:g} s"
            failure = f"the list did not have {count} active servers"
            raise DemoError(failure, why) from None

    async def _count_active_servers(self) -> int:
        raw = await client.call(self.service_address, "GET", "/registry/instances")
        endpoints = client.decode_answer(self.service_address, InstanceList, raw).endpoints
        return sum(endpoint.status == "active" for endpoint in endpoints)

    # --- the sidecar ------------------------------------------------------------------------

    async def sidecar_state(self) -> SidecarState:
        """Return the active configuration, as the sidecar's admin endpoint reports it."""
        reader, writer = await asyncio.open_connection(LOOPBACK, self._admin_port)
        try:
            writer.write(b"RULES\n")
            async with asyncio.timeout(READY_TIMEOUT_S):
                return _read_state(await reader.read())
        finally:
            writer.close()

    async def wait_for_state(self, expected: Callable[[SidecarState], bool], failure: str) -> None:
        """Return once the sidecar's state is as expected; raise `DemoError(failure)` if it takes too long."""
        begun = time.monotonic()
        while not expected(await self.sidecar_state()):
            if time.monotonic() - begun > READY_TIMEOUT_S:
                raise DemoError(failure, f"not within {READY_TIMEOUT_S:g} s")
            await asyncio.sleep(STATE_POLL_INTERVAL_S)

    async def send(self, session: aiohttp.ClientSession, number: int) -> str:
        """Send one request through the sidecar; return the server that answered, or `status N`."""
        async with self._request(session, str(number), f"{number:016x}") as answer:
            body = (await answer.read()).decode()
            return body.split(" ")[0] if answer.status == 200 else f"status {answer.status}"

    async def _status(self, session: aiohttp.ClientSession, path: str, call_id: str) -> int:
        async with self._request(session, path, call_id) as answer:
            return answer.status

    def _request(
        self, session: aiohttp.ClientSession, path: str, call_id: str
    ) -> contextlib.AbstractAsyncContextManager[aiohttp.ClientResponse]:
        headers = {"X-Call-Id": call_id, "X-Call-Class": REQUEST_CLASS, "X-Budget": "2000m"}
        return session.get(f"http://{self.sidecar_address}/{REQUEST_CLASS}/{path}", headers=headers)

    # --- files ------------------------------------------------------------------------------

    def ledger_rows(self, region: str | None = None) -> list[LedgerRow]:
        """Return the requests in the servers' ledgers, of one region or of all."""
        names = [name for name, of_server in REGIONS.items() if region in (None, of_server)]
        return [_read_row(line) for name in names for line in self._ledger_path(name).open("rb")]

    def _ledger_path(self, server: str) -> Path:
        return self._folder / f"{server}.jsonl"

    def _write_service_config(self) -> Path:
        path = self._folder / "registry.toml"
        path.write_text(
            f'[registry]\nlisten = "{self.service_address}"\ndata = "{self._folder / "data"}"\n'
            f"[registry.agreement]\nagree_ms = {AGREEMENT_MS}\n"
        )
        return path

    def _write_sidecar_config(self) -> Path:
        path = self._folder / "sidecar.json"
        config = {
            "name": "n1",
            "listen": self.sidecar_address,
            "seed": "1",
            "known": {"index": 0, "snapshot": True, "endpoints": []},
            "settings": SETTINGS,
            "operator": f"{LOOPBACK}:{self._admin_port}",
            "fleet": {
                "registry": [self.service_address],
                "place": {"group": "a", "region": "a"},
                "agreement": {"agree_ms": AGREEMENT_MS},
            },
        }
        path.write_text(json.dumps(config))
        return path


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        port: int = sock.getsockname()[1]
        return port


def _free_address() -> str:
    return f"{LOOPBACK}:{_free_port()}"
