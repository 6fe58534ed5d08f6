"""Real processes of the program, and what speaks with them: the one place where tests start any."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
from pathlib import Path

from brassfall.controlplane.registry import client
from brassfall.sidecar.config_values import Address
from tests.support.idle_clients import CONNECTED
from tests.support.loopback import PATIENCE_S, SETTINGS, App, entry, listed, until

LOCAL_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")
ROOT = Path(__file__).resolve().parents[2]


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
        [sys.executable, "-m", "brassfall.sidecar"],
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
    """A port that nobody holds, below those that the system gives to connections: one of these could be
    taken by any connection on the machine before the process that it is for listens on it, or while that
    process is down."""
    below = range(10_000, int(LOCAL_PORTS.read_text().split()[0])) or (0,)  # 0: whichever the system takes
    while True:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", secrets.choice(below)))
            except OSError:
                continue
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
            "/bin/sh", "-c", f'{limit} exec "$0" -m brassfall.sidecar', sys.executable, env=env, cwd=ROOT
        )
        while True:
            try:
                made.app = await App.connect(made.address)
                return made  # noqa: TRY300 - the loop ends here
            except ConnectionError:
                assert made.process.returncode is None
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def idle_clients(address, count):
    """Run clients that send nothing and connect again whenever they are disconnected, in a process of their
    own; the block begins once each of them has been connected, and its end ends them."""
    words = (address.host, str(address.port), str(count), str(2 * PATIENCE_S))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.support.idle_clients",
        *words,
        cwd=ROOT,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(PATIENCE_S):
            assert await process.stdout.readline() == CONNECTED
        yield
        assert process.returncode is None  # they ran throughout
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


class Platform:
    """Holds the clients' listening socket, and starts processes that inherit it."""

    def __init__(self, tmp_path, **changes):
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = Address(*self.socket.getsockname())
        self._tmp_path, self._changes = tmp_path, changes
        self.processes = []

    def change(self, **changes):
        """Give another configuration to the processes that are started from now on."""
        self._changes |= changes

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
            "brassfall.sidecar",
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


# --- a fleet: list service, servers, sidecars, and a way to cut them off from each other ----------


class Logged:
    """A process of `brassfall`, whose log is read as it comes."""

    def __init__(self, *words):
        self._words = words
        self.lines, self.process, self._reading = [], None, None

    async def start(self, limit=""):
        """Start, and wait until it is ready; where it listens."""
        self.lines = []
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", f'{limit} exec "$0" -m brassfall "$@"', sys.executable, *self._words,
            cwd=ROOT, stderr=asyncio.subprocess.PIPE, limit=2**20,
        )  # fmt: skip
        self._reading = asyncio.create_task(self._read())
        ready = await self.event("ready")
        self.listen = ready["listen"]
        return self.listen

    async def _read(self):
        async for line in self.process.stderr:
            self.lines.append(json.loads(line) if line.startswith(b"{") else {"event": "?", "text": line})

    async def event(self, name, **wanted):
        """Wait for a line of the log."""
        found = []

        def there():
            found[:] = [
                line for line in self.lines
                if line["event"] == name and all(line.get(k) == v for k, v in wanted.items())
            ]  # fmt: skip
            assert found or self.process.returncode is None, self.lines
            return found

        await until(there)
        return found[-1]

    def send(self, number):
        self.process.send_signal(number)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        if self.process is not None:
            await self.end(signal.SIGKILL)

    async def end(self, number=signal.SIGTERM):
        """Stop it; its exit status."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(number)
        return await self.process.wait()


class Service(Logged):
    """The list service, on one port for all its lives."""

    def __init__(self, tmp_path, **changes):
        self.data = tmp_path / "registry"
        self.config = tmp_path / "registry.toml"
        self.port = free_port()
        self.write(**changes)
        super().__init__("registry", "serve", "--config", str(self.config))

    def write(self, **changes):
        rows = [f'[registry]\nlisten = "127.0.0.1:{self.port}"\ndata = "{self.data}"']
        rows += [
            f"[registry.{part}]\n" + "\n".join(f"{key} = {value}" for key, value in values.items())
            for part, values in changes.items()
        ]
        self.config.write_text("\n".join(rows) + "\n")


class Proxy:
    """A way between two that can be cut: what is on it then is neither passed on nor refused."""

    def __init__(self, target):
        self.target = target
        self._open = asyncio.Event()
        self._open.set()
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._open.wait()
            host, port = self.target.split(":")
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            self._writers.add(far_writer)
            await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def _pass(self, reader, writer):
        try:
            while data := await reader.read(65_536):
                await self._open.wait()
                writer.write(data)
        except OSError:
            pass
        writer.transport.abort()

    def cut(self):
        self._open.clear()

    def mend(self):
        self._open.set()

    def stop(self):
        self._open.set()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()


async def ask_door(door, line):
    """One line to a sidecar's door, and its answer."""
    reader, writer = await asyncio.open_connection(*door)
    writer.write(line)
    async with asyncio.timeout(PATIENCE_S):
        answer = await reader.read()
    writer.close()
    return answer


class Callers:
    """Clients of one sidecar: every request has an id, and every answer is written down."""

    CLASSES = (("GET", "look"), ("POST", "book"), ("POST", "pay"))

    def __init__(self, address, number):
        self._address, self._number = address, number
        self.answers, self.lost, self.going = {}, [], True

    async def client(self, which):
        app, count = None, 0
        while self.going:
            app = app or await App.connect(self._address)
            method, name = self.CLASSES[count % 3]
            count += 1
            call_id = f"{self._number:04x}{which:04x}{count:08x}"
            headers = {"X_Call_Id": call_id, "Idempotency_Key": f"k{call_id}" if name == "book" else None}
            answer = await app.ask(
                method, f"/{name}/{call_id}", b"hello" if method == "POST" else b"", **headers
            )
            if answer is None:
                self.lost.append(call_id)
                app = None
                continue
            self.answers[call_id] = int(answer.start.split(" ")[1])
            if answer.headers.get("connection") == "close":
                app.close()
                app = None
            await asyncio.sleep(0.01)
        if app is not None:
            app.close()


class Fleet:
    """One list service, servers that register themselves, sidecars, clients that send throughout."""

    def __init__(self, tmp_path, servers=6, sidecars=4, ttl_ms=3000, **changes):
        self.tmp_path, self._ttl_ms = tmp_path, ttl_ms
        self.service = Service(tmp_path, **changes)
        self._counts = servers, sidecars
        self.near = self.far = None
        self.over_at = None  # when the fault was over, where that is before its test says so
        self.servers, self.sidecars, self.doors, self.callers = {}, [], [], []

    async def __aenter__(self):
        try:
            return await self._start()
        except BaseException:
            await self.__aexit__()  # what was started ends with a start that failed, too
            raise

    async def _start(self):
        servers, sidecars = self._counts
        await self.service.start()
        self.near = await Proxy(self.service.listen).start()  # between sidecars and the service
        self.far = await Proxy(self.service.listen).start()  # between a third of the servers and it
        await asyncio.gather(
            *(self.add_server(f"s{i}", self.far.address if i % 3 == 0 else None) for i in range(servers))
        )
        for number in range(sidecars):
            await self.add_sidecar(number)
        await self.agree(servers)
        for number, made in enumerate(self.sidecars):
            load = Callers(made.address, number)
            self.callers.append((load, [asyncio.create_task(load.client(i)) for i in range(3)]))
        return self

    async def add_server(self, name, registry=None):
        ledger = self.tmp_path / f"ledger-{name}"
        made = Logged(
            "lab", "server", name, "--registry", registry or self.service.listen, "--ttl-ms",
            str(self._ttl_ms), "--ledger", str(ledger),
        )  # fmt: skip
        self.servers[name] = made
        await made.start()
        await made.event("registration state changed", place="registered")

    async def add_sidecar(self, number):
        folder = self.tmp_path / f"n{number}"
        folder.mkdir()
        door = Address("127.0.0.1", free_port())
        made = await Process.start(
            folder,
            name=f"n{number}",
            operator=f"{door.host}:{door.port}",
            fleet={"registry": [self.near.address]},
            seed=str(number),
        )
        self.sidecars.append(made)
        self.doors.append(door)

    async def lists(self):
        """What each sidecar holds: version, age and number of servers."""
        answers = await asyncio.gather(*(ask_door(door, b"LIST\n") for door in self.doors))
        return [dict(part.split("=") for part in answer.decode().split()[1:]) for answer in answers]

    async def agree(self, count):
        """Wait until every sidecar holds the list that the service tells, and knows so; in how long."""
        loop = asyncio.get_running_loop()
        begun, self.over_at = self.over_at or loop.time(), None
        async with asyncio.timeout(2 * PATIENCE_S):
            while not await self._agree(count):
                await asyncio.sleep(0.05)
        return loop.time() - begun

    async def _agree(self, count):
        try:
            told = await client.call(self.service.listen, "GET", "/registry/instances")
        except client.CallError:
            return False
        held = await self.lists()
        versions = {row["version"] for row in held} | {str(told["index"])}
        counts = {int(row["servers"]) for row in held} | {len(told["endpoints"]), count}
        fresh = all(row["age_ms"] != "unknown" and int(row["age_ms"]) < 4500 for row in held)
        return fresh and len(versions) == len(counts) == 1

    async def more(self, requests=40):
        """Wait until every sidecar has answered so many more requests with a server's answer."""
        before = [sum(status == 200 for status in load.answers.values()) for load, _ in self.callers]
        for (load, _), had in zip(self.callers, before, strict=True):
            await until(
                lambda load=load, had=had: sum(s == 200 for s in load.answers.values()) >= had + requests
            )

    def ran(self):
        """Every call that a server took, by the servers' own books."""
        rows = []
        for path in self.tmp_path.glob("ledger-*"):
            rows += [json.loads(line) for line in path.read_bytes().splitlines()]
        return rows

    async def quiet(self):
        """Let the clients finish what they have out."""
        for load, tasks in self.callers:
            load.going = False
            await asyncio.gather(*tasks)

    async def __aexit__(self, *error):
        for _, tasks in self.callers:
            for task in tasks:
                task.cancel()
        for made in (*self.servers.values(), self.service):
            await made.__aexit__()
        for made in self.sidecars:
            if made.process.returncode is None:
                made.process.kill()
            await made.process.wait()
        for proxy in (self.near, self.far):
            if proxy is not None:
                proxy.stop()
