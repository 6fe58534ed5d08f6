"""Real processes of the program, and what speaks with them: the one place where tests start any."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
from pathlib import Path

from fordtrestle.config import Address
from tests.loopback import PATIENCE_S, SETTINGS, App, entry, listed

ROOT = Path(__file__).resolve().parent.parent


def environment(tmp_path, **changes):
    """A configuration file, and the environment that names it."""
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "1",
        "limits": {"sockets": 1024},
        "known": listed(1),
        "settings": SETTINGS,
        **changes,
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps({name: value for name, value in raw.items() if value is not None}))
    kept = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
    return {**kept, "NODE_CONFIG": str(path)}


def start_fails(env, pass_fds=()):
    """Exit code and log of a sidecar that does not start: a line, and never a traceback."""
    done = subprocess.run(
        [sys.executable, "-m", "fordtrestle"],
        env=env,
        cwd=ROOT,
        pass_fds=pass_fds,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode != 0
    assert len(done.stderr.splitlines()) == 1
    return done.returncode, done.stderr


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Process:
    """The real program in a process of its own."""

    @classmethod
    async def start(cls, tmp_path, *upstreams, limit="", variables=None, **changes):
        made = cls()
        made.address = Address("127.0.0.1", free_port())
        known = listed(1, *(entry(f"s{i}", upstream.address) for i, upstream in enumerate(upstreams)))
        env = environment(tmp_path, known=known, listen=f"{made.address.host}:{made.address.port}", **changes)
        env |= variables or {}
        made.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", f'{limit} exec "$0" -m fordtrestle', sys.executable, env=env, cwd=ROOT
        )
        while True:
            try:
                made.app = await App.connect(made.address)
                return made
            except ConnectionError:
                assert made.process.returncode is None
                await asyncio.sleep(0.01)


class Platform:
    """Holds the clients' listening socket, and starts processes that inherit it."""

    def __init__(self, tmp_path, **changes):
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = Address(*self.socket.getsockname())
        self._tmp_path, self._changes = tmp_path, changes
        self.processes = []

    async def start(self):
        """A process, and where its door is."""
        with socket.create_server(("127.0.0.1", 0)) as free:
            door = Address(*free.getsockname())
        env = environment(
            self._tmp_path,
            listen=f"{self.address.host}:{self.address.port}",
            operator=f"{door.host}:{door.port}",
            **self._changes,
        )
        number = str(self.socket.fileno())
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "fordtrestle",
            env={**env, "NODE_INHERITED_FD": number, "TMPDIR": str(self._tmp_path)},
            pass_fds=[self.socket.fileno()],
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        self.processes.append(process)
        return process, door

    def end(self):
        self.socket.close()
        for process in self.processes:
            if process.returncode is None:
                process.kill()


async def ping(door):
    """What a door says, or None where none is open yet."""
    try:
        reader, writer = await asyncio.open_connection(*door)
    except ConnectionError:
        return None
    writer.write(b"PING\n")
    answer = await reader.read()
    writer.close()
    return answer


async def yes(door):
    async with asyncio.timeout(PATIENCE_S):
        while not (await ping(door) or b"").startswith(b"done"):
            await asyncio.sleep(0.02)


class Load:
    """Clients that keep connections, and open one anew where an answer was the last."""

    def __init__(self, address):
        self._address = address
        self.answered, self.wrong, self.crossed = 0, [], 0
        self.going = True

    async def client(self):
        app = None
        while self.going:
            app = app or await App.connect(self._address)
            answer = await app.ask()
            if answer is None:  # closed as the request crossed: it is sent once more
                self.crossed += 1
                app = None
                continue
            self.answered += 1
            if answer.body != b"done":
                self.wrong.append(answer)
            if answer.headers.get("connection") == "close":
                app.close()
                app = None
            await asyncio.sleep(0.003)
        if app is not None:
            app.close()
