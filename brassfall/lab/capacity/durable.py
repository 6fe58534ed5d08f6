"""Part `durable`: what the log takes for each kind of change, and for a day of 6,100, computed from it.

The sizes are rows on the list, since a snapshot of the table holds them all.
"""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from brassfall.controlplane.registry import client
from brassfall.lab.capacity.environment import Service, register
from brassfall.lab.capacity.lists import alter
from brassfall.lab.capacity.part import Options, Recorder
from brassfall.lab.capacity.topology import Topology, one_service

ROLE = "durable log, by rows on the list"
WRITES = 30  # of each kind
SIDECARS = 3  # that acknowledge revisions
COMMIT_S, LOOK_S = 10.0, 0.02
A_DAY = 6100
HOUR_MS = 3_600_000
COUNTER = re.compile(r"^brassfall_(writes|commits|snapshots)_total ([0-9.e+]+)$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Spent:
    """What a service has used so far."""

    records: float
    syncs: float
    disk_bytes: float  # handed to the disk


async def _spent(service: Service) -> Spent:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{service.address}/metrics") as answer,
    ):
        found = dict(COUNTER.findall(await answer.text()))
    written = re.search(r"^write_bytes: (\d+)$", Path(f"/proc/{service.pid}/io").read_text(), re.MULTILINE)
    disk_bytes = float(written[1]) if written is not None else 0.0
    return Spent(float(found["writes"]), float(found["commits"]), disk_bytes)


async def measure(options: Options, recorder: Recorder, rows: int) -> None:
    """One length of the list."""
    async with options.environment() as environment:
        topology = await one_service(environment, 0)
        await register(topology.service.address, rows)
        stored_bytes = sum(path.stat().st_size for path in topology.service.data.rglob("*") if path.is_file())
        recorder.add(ROLE, "on the disk, after each row was written once", "MB", rows, stored_bytes / 1e6)
        await topology.publish()
        await topology.hollow.start(SIDECARS, [topology.service.address], alone=True)
        await topology.hollow.leased()
        await _kinds(options, recorder, topology, rows)
        recorder.load("durable", rows)


async def _committed(service: Service, override: str = "") -> None:
    """Wait until what was published last is in force, with an override where one is named."""
    async with asyncio.timeout(COMMIT_S):
        while True:
            committed = await client.call(service.address, "GET", "/rules")
            carries = not override or any(row["id"] == override for row in committed["overrides"])
            if committed["state"] == "committed" and carries:
                return
            await asyncio.sleep(LOOK_S)


async def _kinds(options: Options, recorder: Recorder, topology: Topology, rows: int) -> None:
    service = topology.service

    async def entry(number: int) -> None:
        await alter(service.address, number, 0.5)

    async def override(number: int) -> None:
        body = {
            "action": {"hold": {"server": f"s{number}"}},
            "by": "capacity",
            "why": "measured",
            "until_ms": round(time.time() * 1000.0) + HOUR_MS,
        }
        await client.call(service.address, "PUT", f"/overrides/o{number}", body=body)
        await _committed(service, f"o{number}")

    async def settings(number: int) -> None:
        await topology.publish()
        await _committed(service)

    kinds = {"changed entry": entry, "revision of settings": settings, "override": override}
    for kind, change in kinds.items():
        syncs, disk_bytes = await _kind(recorder, service, kind, change, rows)
        day = f"a day of {A_DAY:,} of one kind, {kind}"
        recorder.add(ROLE, f"{day}: to the disk", "MB", rows, A_DAY * disk_bytes / 1e6)
        recorder.add(ROLE, f"{day}: syncs", "", rows, A_DAY * syncs)
        options.progress(f"durable: {rows} rows, {kind}: {disk_bytes:.0f} B, {syncs:.2f} syncs")


async def _kind(
    recorder: Recorder, service: Service, kind: str, change: Callable[[int], Awaitable[None]], rows: int
) -> tuple[float, float]:
    """Syncs and bytes to the disk of one change of a kind."""
    before, begun = await _spent(service), time.monotonic()
    for number in range(min(WRITES, rows)):
        await change(number)
    took_s, after = time.monotonic() - begun, await _spent(service)
    each = 1.0 / min(WRITES, rows)
    syncs = (after.syncs - before.syncs) * each
    disk_bytes = (after.disk_bytes - before.disk_bytes) * each
    recorder.add(ROLE, f"records, {kind}", "", rows, (after.records - before.records) * each)
    recorder.add(ROLE, f"syncs, {kind}", "", rows, syncs)
    recorder.add(ROLE, f"bytes to the disk, {kind}", "KB", rows, disk_bytes / 1000.0)
    recorder.add(ROLE, f"until it is in force, {kind}", "ms", rows, 1000.0 * took_s * each)
    return syncs, disk_bytes
