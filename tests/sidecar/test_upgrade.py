"""The hand-over from one process to another, which both inherit the listening socket."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from dataclasses import replace

from brassfall.sidecar import config
from brassfall.sidecar.lifecycle.handover import Handover
from brassfall.sidecar.lifecycle.sidecar import Sidecar
from tests.support.loopback import (
    OK,
    SETTINGS,
    Registry,
    Upstream,
    entry,
    listed,
    loopback,
    sidecar_config,
    until,
)
from tests.support.processes import Load, Platform, ping, yes


@loopback
async def test_a_second_process_takes_over_under_load_without_a_lost_request(tmp_path):
    upstream = await Upstream([OK]).start()
    platform = Platform(tmp_path, known=listed(1, entry("s0", upstream.address)))
    old, admin = await platform.start()
    await yes(admin)
    load = Load(platform.address)
    clients = [asyncio.create_task(load.client()) for _ in range(8)]
    await until(lambda: load.answered > 100)

    registry = await Registry().start()
    platform.change(discovery=registry.address)
    new, admin = await platform.start()
    await until(lambda: registry.watches)
    # The new process detects the old one and accepts no client before it has an endpoint list.
    assert (await ping(admin)).startswith(b"error")
    registry.tell(2, entry("s0", upstream.address), snapshot=True)
    await yes(admin)
    old.send_signal(signal.SIGTERM)
    _, log = await old.communicate()
    assert old.returncode == 0
    assert b"Traceback" not in log and b"exiting, requests_in_flight=0" in log
    answered = load.answered
    await until(lambda: load.answered > answered + 100)
    load.going = False
    await asyncio.gather(*clients)
    assert load.wrong == []
    assert load.crossed <= 2
    # The new process serves the backlog, and the socket is still listening.
    assert new.returncode is None
    new.terminate()
    assert await new.wait() == 0
    assert platform.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    platform.end()
    upstream.stop()
    registry.stop()


@loopback
async def test_a_process_started_after_a_killed_one_does_not_wait_for_it(tmp_path):
    # The lock file of the old process stays, and discovery can't be reached.
    platform = Platform(tmp_path)
    old, admin = await platform.start()
    await yes(admin)
    old.kill()
    await old.wait()
    new, admin = await platform.start()
    await yes(admin)
    new.terminate()
    _, log = await new.communicate()
    assert b"another process" not in log
    platform.end()


def test_two_processes_detect_each_other(tmp_path):
    old, new = Handover(str(tmp_path), "n0"), Handover(str(tmp_path), "n0")
    assert not old.other_process_runs()
    assert new.other_process_runs() and old.other_process_runs()
    assert new.other_process_runs() and old.other_process_runs()
    old.release()
    assert not new.other_process_runs()
    third = Handover(str(tmp_path), "n0")
    assert third.other_process_runs() and new.other_process_runs()
    third.release()  # The third process ends before it serves
    assert not new.other_process_runs()
    other = Handover(str(tmp_path), "n1")
    assert not other.other_process_runs() and not new.other_process_runs()
    other.release()
    new.release()


def test_a_folder_for_locks_that_can_not_be_written_does_not_prevent_a_start(tmp_path, capsys):
    assert not Handover(str(tmp_path / "missing"), "n0").other_process_runs()
    assert "handover" in capsys.readouterr().err


@loopback
async def test_two_processes_share_the_resource_limits_of_one(tmp_path, monkeypatch):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    loop = asyncio.get_running_loop()
    listening = socket.create_server(("127.0.0.1", 0))
    sidecars = []
    for _ in range(2):
        environment = {"NODE_INHERITED_FD": str(os.dup(listening.fileno()))}
        raw = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "known": listed(1)}
        raw |= {"limits": {"sockets": 192, "memory_mb": 40}, "settings": SETTINGS}
        sidecars.append(Sidecar(loop, config.parse(raw, environment)))
    old, new = sidecars
    await old.start()
    full_limits = old.inbound.limits.open_connections, old.inbound.budget.limit
    assert full_limits[1] == 10 * 2**20
    monkeypatch.setattr("brassfall.sidecar.lifecycle.sidecar.FIRST_LIST_TIMEOUT_S", 0.0)
    await new.start()
    await until(lambda: old.inbound.limits.open_connections < full_limits[0])
    descriptors = 2 * 24
    for sidecar in sidecars:
        descriptors += sidecar.inbound.limits.open_connections + sidecar.pool.max_connections
        assert sidecar.inbound.budget.limit == 5 * 2**20
    assert descriptors <= 192
    old.close()
    await until(lambda: (new.inbound.limits.open_connections, new.inbound.budget.limit) == full_limits)
    new.close()
    listening.close()


def test_the_contents_of_a_lock_file_do_not_matter(tmp_path):
    old = Handover(str(tmp_path), "n0")
    old.other_process_runs()
    old.release()
    for path in tmp_path.iterdir():
        path.write_text(json.dumps({"version": 99})[:-3])
    handover = Handover(str(tmp_path), "n0")
    assert not handover.other_process_runs()
    handover.release()


@loopback
async def test_a_replacement_accepts_no_client_before_the_old_process_halves_its_limits(
    tmp_path, monkeypatch
):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    registry = await Registry(current=True).start()
    listening = socket.create_server(("127.0.0.1", 0))
    sidecars = []
    for _ in range(2):
        configuration = sidecar_config(registry=registry.address)
        configuration = replace(configuration, inherited_descriptor=os.dup(listening.fileno()))
        sidecars.append(Sidecar(asyncio.get_running_loop(), configuration))
    old, new = sidecars
    await old.start()
    full_limit = old.inbound.limits.open_connections
    await new.start()  # The endpoint list arrives at once
    assert (
        old.inbound.limits.open_connections < full_limit
        and old.inbound.limits.open_connections == new.inbound.limits.open_connections
    )
    for sidecar in sidecars:
        sidecar.close()
    listening.close()
    registry.stop()
