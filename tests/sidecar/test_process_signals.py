"""The real program: signals during startup and shutdown, a closed log pipe, and addresses in use."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from pathlib import Path

import pytest

from brassfall.sidecar.config_values import parse_address
from brassfall.sidecar.lifecycle.sidecar import Sidecar
from tests.support.loopback import (
    OK,
    App,
    Registry,
    Upstream,
    entry,
    listed,
    loopback,
    sidecar_config,
    until,
)
from tests.support.processes import ROOT, Process, environment, free_port, start_fails


async def start_logging_to_pipe(tmp_path, stderr=asyncio.subprocess.PIPE, **changes):
    """Start the real program with its log on a pipe, without waiting until it is ready."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "brassfall.sidecar",
        env=environment(tmp_path, **changes),
        cwd=ROOT,
        stderr=stderr,
    )


# A program that runs the sidecar and sends itself a signal after the event loop has closed.
SIGNAL_AFTER_LOOP = """
import asyncio, os, sys
from brassfall.sidecar import __main__ as main
run = asyncio.run
def run_and_signal(coroutine):
    run(coroutine)
    os.kill(os.getpid(), int(sys.argv[1]))
main.asyncio.run = run_and_signal
sys.exit(main.main())
"""


@pytest.mark.parametrize("late_signal", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
@loopback
async def test_a_signal_after_the_loop_has_closed_does_not_change_the_exit_status(tmp_path, late_signal):
    registry = await Registry().start()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        SIGNAL_AFTER_LOOP,
        str(int(late_signal)),
        env=environment(tmp_path, discovery=registry.address),
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    await until(lambda: registry.watches)
    process.send_signal(signal.SIGTERM)
    _, log = await process.communicate()
    assert (process.returncode, b"Traceback" in log) == (0, False)
    registry.stop()


@pytest.mark.parametrize("signals", [(signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM)])
@loopback
async def test_sigterm_during_startup_ends_the_process_at_once(tmp_path, signals):
    # Startup waits, because discovery accepts the call and does not answer it.
    registry = await Registry().start()
    process = await start_logging_to_pipe(tmp_path, discovery=registry.address)
    await until(lambda: registry.watches)
    for signal_number in signals:
        process.send_signal(signal_number)
    _, log = await process.communicate()
    assert process.returncode == 0
    assert log.decode().splitlines() == [
        "INFO SIGTERM during startup, exiting",
        "INFO exiting, requests_in_flight=0",
    ]
    registry.stop()


@loopback
async def test_a_reload_during_startup_is_applied_at_the_end_of_startup(tmp_path, monkeypatch):
    old, new = await Registry(current=True).start(), await Registry(current=True).start()
    sidecar = Sidecar(asyncio.get_running_loop(), sidecar_config(registry=old.address))
    raw = json.loads(Path(environment(tmp_path, discovery=new.address)["NODE_CONFIG"]).read_text())
    (tmp_path / "config.json").write_text(json.dumps(raw))
    monkeypatch.setenv("NODE_CONFIG", str(tmp_path / "config.json"))

    async def listen(loop):
        sidecar.reload(os.environ)  # At this time no component is connected to the others

    monkeypatch.setattr(sidecar.peers, "listen", listen)
    await sidecar.start()
    await until(lambda: new.watches)
    assert sidecar.configuration.discovery == parse_address(new.address)
    assert len(new.watches) == 1
    sidecar.close()
    old.stop()
    new.stop()


@loopback
async def test_repeated_signals_and_signals_during_the_shutdown_do_not_disturb_it(tmp_path):
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK

    upstream, registry = await Upstream([wait]).start(), await Registry(current=True).start()
    sidecar = await Process.start(tmp_path, upstream)
    sidecar.app.send()
    await until(lambda: upstream.seen)
    raw = json.loads((tmp_path / "config.json").read_text())
    (tmp_path / "config.json").write_text(json.dumps({**raw, "discovery": registry.address}))
    for signal_number in (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        sidecar.process.send_signal(signal_number)
    await until(lambda: registry.watches)
    with pytest.raises(ConnectionError):
        while True:
            (await App.connect(sidecar.address)).close()
            await asyncio.sleep(0.01)
    sidecar.process.send_signal(signal.SIGHUP)
    sidecar.process.send_signal(signal.SIGTERM)
    release.set()
    assert (await sidecar.app.answer()).body == b"done"
    assert await sidecar.process.wait() == 0
    upstream.stop()
    registry.stop()


@loopback
async def test_a_closed_log_pipe_affects_neither_answers_nor_the_shutdown(tmp_path):
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([wait]).start()
    port = free_port()
    known = listed(1, entry("s0", upstream.address))
    read_end, write_end = os.pipe()
    process = await start_logging_to_pipe(tmp_path, stderr=write_end, listen=f"127.0.0.1:{port}", known=known)
    os.close(write_end)
    app = None
    while app is None:
        with contextlib.suppress(ConnectionError):
            app = await App.connect(("127.0.0.1", port))
    app.send()
    await until(lambda: upstream.seen)
    os.close(read_end)
    (tmp_path / "config.json").write_text("{")
    for signal_number in (signal.SIGHUP, signal.SIGTERM):
        process.send_signal(signal_number)
    release.set()
    assert (await app.answer()).body == b"done"
    app.close()
    assert await process.wait() == 0
    upstream.stop()


@pytest.mark.parametrize("key", ["listen", "operator", "peer_listen"])
def test_an_address_in_use_gives_one_line_and_exit_status_1(tmp_path, key):
    kind = socket.SOCK_DGRAM if key == "peer_listen" else socket.SOCK_STREAM
    with socket.socket(type=kind) as other_socket:
        other_socket.bind(("127.0.0.1", 0))
        if kind == socket.SOCK_STREAM:
            other_socket.listen()
        code, output = start_fails(
            environment(tmp_path, **{key: f"127.0.0.1:{other_socket.getsockname()[1]}"})
        )
    assert code == 1
    assert "can't start" in output and "in use" in output.lower()
