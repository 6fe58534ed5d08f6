"""Starts of the list service on a failing disk, and the durability of the override clock."""

from __future__ import annotations

import asyncio
import resource
import signal
import time

import aiohttp
import pytest

from brassfall.controlplane.registry.override_clock import KEY, TABLE
from brassfall.controlplane.registry.server import Service as InProcess
from brassfall.controlplane.store.log import FILE, Log
from brassfall.settings import RegistrySettings
from tests.support.loopback import bounded, until
from tests.support.processes import Service


async def get_json(session, service, path):
    async with session.get(f"http://127.0.0.1:{service.port}{path}") as response:
        return response.status, await response.json()


async def start_unready(service, limit=""):
    """Start the process on a failing disk; return a task that ends when the process is ready."""
    starting = asyncio.ensure_future(service.start(limit))
    await until(lambda: service.process is not None)
    await service.event("service not ready, disk error at the start")
    return starting


def block_file(service):
    """Put a folder in the place of the store's file, which `unblock_file` removes."""
    (service.data / FILE).mkdir(parents=True)
    return ""


def limit_file_size(service):
    return "ulimit -S -f 0;"


def unblock_file(service):
    (service.data / FILE).rmdir()


def raise_file_limit(service):
    most = resource.RLIM_INFINITY
    resource.prlimit(service.process.pid, resource.RLIMIT_FSIZE, (most, most))


@pytest.mark.parametrize(
    ("break_disk", "repair_disk", "reason"),
    [(block_file, unblock_file, "unable to open"), (limit_file_size, raise_file_limit, "disk")],
    ids=["not there", "full"],
)
@bounded(60.0)
async def test_while_the_disk_fails_only_health_checks_are_answered_and_later_all_calls(
    tmp_path, break_disk, repair_disk, reason
):
    async with Service(tmp_path) as service, aiohttp.ClientSession() as session:
        starting = await start_unready(service, break_disk(service))
        assert await get_json(session, service, "/health/live") == (200, {"live": True})
        status, body = await get_json(session, service, "/health/ready")
        assert status == 503 and reason in body["reason"] and FILE in body["reason"]
        for path in ("/registry/instances", "/registry/instances?watch=1", "/rules", "/status", "/overrides"):
            status, body = await get_json(session, service, path)
            assert status == 503 and "has not started" in body["reason"], path
        assert not starting.done()
        repair_disk(service)
        await starting
        assert await get_json(session, service, "/health/ready") == (200, {"ready": True})
        assert (await get_json(session, service, "/registry/instances"))[0] == 200
        assert await service.end() == 0


@bounded(60.0)
async def test_sigterm_ends_a_start_that_waits_for_the_disk(tmp_path):
    async with Service(tmp_path) as service:
        starting = await start_unready(service, block_file(service))
        begun = time.monotonic()
        assert await service.end(signal.SIGTERM) == 0
        assert time.monotonic() - begun < 5.0
        starting.cancel()


def lock_store(folder):
    log = Log(folder)
    log.load()
    return log


def corrupt_store(folder):
    folder.mkdir()
    (folder / FILE).write_bytes(b"no database" * 100)


def replace_folder_by_file(folder):
    folder.write_text("no folder")


@pytest.mark.parametrize("break_disk", [lock_store, corrupt_store, replace_folder_by_file])
@bounded(30.0)
async def test_a_store_that_only_an_operator_can_repair_ends_the_process(tmp_path, break_disk):
    async with Service(tmp_path) as service:
        other = break_disk(service.data)
        with pytest.raises(AssertionError, match="can't start"):  # the process ends before it is ready
            await service.start()
        assert await service.end() == 1
        if other is not None:
            other.close()


@bounded(30.0)
async def test_the_clock_is_stored_before_an_override_is_answered(tmp_path):
    service = InProcess(RegistrySettings(listen="127.0.0.1:0", data=str(tmp_path / "registry")))
    listen = await service.start()
    try:
        async with aiohttp.ClientSession() as session:
            document = {"action": {"freeze": True}, "by": "ana", "why": "maintenance"}
            document["until_ms"] = service.overrides.now() + 60_000
            async with session.put(f"http://{listen}/overrides/o", json=document) as response:
                body = await response.json()
        assert service.store.state.get(TABLE, KEY).value["mark"] >= body["from_ms"]
    finally:
        await service.close()
