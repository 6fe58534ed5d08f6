"""The program as it is deployed: invalid configurations, reload, shutdown and lack of descriptors."""

from __future__ import annotations

import asyncio
import json
import signal
import socket

import pytest

from tests.support.loopback import SETTINGS, App, Registry, Upstream, entry, hang, listed, loopback, until
from tests.support.processes import Process, environment, start_fails


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"settings": {}}, "Profiles"),
        ({"settings": None}, "settings"),
        ({"settings": {**SETTINGS, "Rules": {"ColdFrom": 7}}}, "Rules.ColdFrom"),
        ({"listen": "nowhere"}, "not an address"),
        ({"known": {"index": 1}}, "endpoints"),
        ({"known": listed(1, entry("s0", status="asleep"))}, "asleep"),
        ({"known": []}, "configuration"),
    ],
)
def test_an_invalid_configuration_gives_one_line_and_an_exit_status(tmp_path, changes, message):
    assert message in start_fails(environment(tmp_path, **changes))[1]


def test_a_missing_configuration_gives_one_line_and_an_exit_status(tmp_path):
    for path in ("", str(tmp_path / "missing.json")):
        env = {**environment(tmp_path), "NODE_CONFIG": path}
        assert start_fails(env)[0] == 2


@pytest.mark.parametrize("value", ["four", "-1", "0x4", "987", "0", "bound"])
def test_an_inherited_descriptor_that_is_no_listening_socket_gives_one_line(tmp_path, value):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        number = str(sock.fileno()) if value == "bound" else value
        env = environment(tmp_path) | {"NODE_INHERITED_FD": number}
        assert "NODE_INHERITED_FD" in start_fails(env, pass_fds=[sock.fileno()])[1]


@loopback
async def test_after_sigterm_open_requests_and_new_connections_are_served_before_the_exit(tmp_path):
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

    upstream = await Upstream([wait]).start()
    sidecar = await Process.start(tmp_path, upstream)
    sidecar.app.send()
    await until(lambda: upstream.seen)
    terminated_at = asyncio.get_running_loop().time()
    sidecar.process.send_signal(signal.SIGTERM)
    late = await App.connect(sidecar.address)  # Clients still open new connections after SIGTERM
    late.send()
    await until(lambda: len(upstream.seen) == 2)

    while True:
        try:
            (await App.connect(sidecar.address)).close()
        except ConnectionError:
            break
        await asyncio.sleep(0.01)
    assert asyncio.get_running_loop().time() - terminated_at > 0.4
    release.set()
    for app in (sidecar.app, late):
        answer = await app.answer()
        assert (answer.body, answer.headers["connection"]) == (b"done", "close")
    assert await sidecar.process.wait() == 0
    upstream.stop()


@loopback
async def test_sighup_applies_the_discovery_address_of_the_file_and_ignores_an_invalid_file(
    tmp_path, monkeypatch
):
    old, new = await Registry().start(), await Registry().start()
    sidecar = await Process.start(tmp_path, variables={"NODE_DISCOVERY": old.address}, discovery=old.address)
    await until(lambda: old.watches)
    path = tmp_path / "config.json"
    valid = json.loads(path.read_text()) | {"discovery": new.address}
    for text in ("{", json.dumps(valid)):
        path.write_text(text)
        sidecar.process.send_signal(signal.SIGHUP)
        answer = await sidecar.app.ask("GET", "/health/ready", X_Call_Class=None)
        assert answer.start.split(" ")[1] == "200"
    await until(lambda: new.watches)
    sidecar.process.terminate()
    assert await sidecar.process.wait() == 0
    old.stop()
    new.stop()


@loopback
async def test_a_process_serves_again_after_running_out_of_descriptors(tmp_path):
    upstream = await Upstream([hang]).start()
    # The configuration allows more descriptors than the system, so that the system's limit must count.
    sidecar = await Process.start(tmp_path, upstream, limit="ulimit -n 64;")
    apps = [await App.connect(sidecar.address) for _ in range(80)]
    for app in apps:
        app.send(X_Budget="400m")
    answers = await asyncio.gather(*(app.answer() for app in apps))
    statuses = [answer.start.split(" ")[1] for answer in answers if answer is not None]
    assert "503" in statuses  # Clients get an answer instead of a closed connection
    for app in apps:
        app.close()
    upstream.replies = [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"]

    async def serves():
        app = await App.connect(sidecar.address)
        answer = await app.ask()
        app.close()
        return answer is not None and answer.body == b"done"

    while not await serves():
        await asyncio.sleep(0.05)
    sidecar.process.terminate()
    assert await sidecar.process.wait() == 0
    upstream.stop()
