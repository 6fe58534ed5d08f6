"""Part `overrides`: from the call until all sidecars act on an override, and what some in force cost."""

from __future__ import annotations

import asyncio
import time

from brassfall.controlplane.registry import client
from brassfall.errors import BrassfallError
from brassfall.lab.capacity import machine
from brassfall.lab.capacity.environment import MeasurementError, Service
from brassfall.lab.capacity.fleet import rates
from brassfall.lab.capacity.part import Options, Recorder
from brassfall.lab.capacity.topology import Topology, one_service

ROLE = "overrides"
IN_FORCE = 10
LASTS_MS = 600_000
LIMIT_S = 20.0
LOOK_S = 0.5


async def measure(options: Options, recorder: Recorder, size: int) -> None:
    """One size, with one list service."""
    async with options.environment() as environment:
        topology = await one_service(environment, options.list_length)
        await topology.publish()
        try:
            await topology.start(size)
            await topology.hollow.leased()
            await _size(options, recorder, topology, size)
        except BrassfallError as error:
            options.progress(f"overrides: {size} sidecars are not held: {error.summary}")


async def _size(options: Options, recorder: Recorder, topology: Topology, size: int) -> None:
    without = await _steady(options, topology)
    for number in range(IN_FORCE):
        begun = time.monotonic()
        await put(topology.service, number)
        revision = await _published(topology.service, f"o{number}")
        found = await _acted(topology, revision, begun)
        recorder.add(ROLE, "call to acted on by all, p50", "s", size, found[0])
        recorder.add(ROLE, "call to acted on by all, last", "s", size, found[1])
    with_them = await _steady(options, topology)
    state = await client.call(topology.service.address, "GET", "/overrides")
    recorder.add(ROLE, "in force", "", size, len(state["overrides"]))
    more = f"{IN_FORCE} in force, more"
    core, received, sent = (after - before for before, after in zip(without, with_them, strict=True))
    recorder.add(ROLE, f"{more} of the service's processor time", "core", size, core)
    recorder.add(ROLE, f"{more} of a sidecar's bytes in", "B/s", size, received)
    recorder.add(ROLE, f"{more} of a sidecar's bytes out", "B/s", size, sent)
    recorder.load("overrides", size)
    options.progress(f"overrides: {size} sidecars, the last of {IN_FORCE} acted on after {found[1]:.2f} s")


async def put(service: Service, number: int) -> None:
    """Hold off one server for some minutes."""
    body = {
        "action": {"hold": {"server": f"s{number}"}},
        "by": "capacity",
        "why": "measured",
        "until_ms": round(time.time() * 1000.0) + LASTS_MS,
    }
    await client.call(service.address, "PUT", f"/overrides/o{number}", body=body)


async def _published(service: Service, name: str) -> int:
    """The revision that carries an override."""
    until = time.monotonic() + LIMIT_S
    while time.monotonic() < until:
        answer = await client.call(service.address, "GET", "/rules")
        if any(row["id"] == name for row in answer["overrides"]):
            return int(answer["edition"])
        await asyncio.sleep(LOOK_S / 5.0)
    raise MeasurementError(f"override {name}", f"no revision carries it after {LIMIT_S:g} s")


async def _acted(topology: Topology, revision: int, begun: float) -> tuple[float, float]:
    while True:
        await asyncio.sleep(LOOK_S)
        found = await topology.hollow.acted(revision, begun)
        if found.reached == found.sidecars:
            return found.p50_s, found.last_s
        if time.monotonic() - begun > LIMIT_S:
            raise MeasurementError("an override", f"{found.reached} of {found.sidecars} act on it")


async def _steady(options: Options, topology: Topology) -> tuple[float, float, float]:
    """Core of the service, and a sidecar's bytes a second in and out."""
    before, spent = await topology.hollow.snapshots(), machine.cpu_s(topology.service.pid)
    await asyncio.sleep(options.window_s)
    found = rates(before, await topology.hollow.snapshots())
    core = (machine.cpu_s(topology.service.pid) - spent) / found.seconds
    return core, found.received_bytes, found.sent_bytes
