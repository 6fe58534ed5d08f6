"""Stand-in of the platform: it starts one sidecar by the deploy file's `run`, and ends it.

Each case uses one `Sidecar`. The configuration has the settings of the site `breizh-main`.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
READY_WITHIN_S = 20.0
CASE_LIMIT_S = 110.0
# Statuses of a case's program. Python itself ends with 1 after an error, which shows no broken rule, so
# `run.sh` makes 1 of `BROKEN`, and 2 of whatever else is not `HELD`.
HELD, BROKEN, NOT_RUN = 0, 10, 2


class CaseError(Exception):
    """The case could not be played."""


def free_port() -> int:
    """Return a port of 127.0.0.1 that nothing uses at this moment."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def profile(name: str, semantics: str, objective: float, deadline: float, worth: float) -> dict[str, Any]:
    """Return one request class in the form of the settings."""
    return {
        "Name": name,
        "Semantics": semantics,
        "Objective": objective,
        "Deadline": deadline,
        "Worth": worth,
        "Group": "all",
        "KeyTtl": 750.0 if semantics == "token" else 5000.0,
        "LateWorth": 0.0,
        "Streaming": False,
    }


def settings() -> dict[str, Any]:
    """Return the settings of the site `breizh-main`, as `WIRE-brassfall.md` shows them."""
    return {
        "Balancers": 2,
        "Clients": {"MarksRetry": True},
        "Discovery": "subscribe",
        "Domain": {"WarmKeys": False},
        "FailureDomains": ["rennes", "brest"],
        "Family": "mesh",
        "Goal": {"Whole": 0.75, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.05},
        "Kinds": ["fast-box", "std-box"],
        "Layer": 0,
        "Layers": ["skrivan"],
        "Locality": 0,
        "Me": 0,
        "OverShareWorth": 0.1,
        "PolicyLimits": {
            "ConnectTimeout": 200.0,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 100000,
            "IdleClose": 60000.0,
            "MaxAttempts": 4,
            "MaxOpen": 20000,
            "MaxRetryAfter": 2000.0,
            "MayCancel": True,
            "MayProbe": True,
            "ParallelTries": True,
            "PeerMessages": False,
            "RetryAfter": True,
            "StreamsPerConn": 1,
        },
        "Prices": {
            "Connection": 0.0,
            "CrossZone": 0.03,
            "Discovery": 0.02,
            "Handshake": 0.0,
            "LateFail": 0.05,
            "Moves": 0.0,
            "Origin": 0.0,
            "Peer": 0.0,
            "Probe": 0.0067,
            "Waste": 0.015,
        },
        "Profiles": [
            profile("get-transcript", "pure", 400.0, 1200.0, 2.0),
            profile("save-correction", "pure", 400.0, 1000.0, 2.0),
            profile("send-notice", "side_effect", 800.0, 2500.0, 10.0),
            profile("new-message", "token", 600.0, 1200.0, 8.0),
        ],
        "Report": {"Fields": ["inflight"], "How": "inline"},
        "Rules": {
            "AnswerSlack": 20.0,
            "AskWithin": 10000.0,
            "ColdFrom": 0.12,
            "FallMultiple": 4.0,
            "OverloadFor": 2000.0,
            "StopSendingWithin": 500.0,
            "WarmUp": 22000.0,
        },
        "Tenants": [],
        "Tick": 5.0,
        "WeightKind": "off",
        "WorthBy": "request",
    }


class Record:
    """The file `record.txt` of a case: one line for each thing sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began

    def add(self, text: str, *, show: bool = False) -> None:
        """Write one line with its time; also to standard output with `show`."""
        self._file.write(f"{self.now():9.4f} {text}\n")
        if show:
            print(text, flush=True)

    def close(self) -> None:
        """Write the file to the disk."""
        self._file.close()


# A case: it gets the record and whether the disruption is on, and returns whether the rule held.
Case = Callable[[Record, bool], Coroutine[Any, Any, bool]]


class Sidecar:
    """One sidecar process, started from the root of the repository as the deploy file says."""

    def __init__(
        self, record: Record, discovery: str, known: dict[str, Any], *, operator: bool = False
    ) -> None:
        """Write the configuration; `known` is the list that the sidecar had last."""
        self.host, self.port = "127.0.0.1", free_port()
        self.operator_port = free_port() if operator else 0
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.process: subprocess.Popen[bytes] | None = None
        self.config: dict[str, Any] = {
            "name": "n1",
            "listen": f"{self.host}:{self.port}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings(),
        }
        if operator:
            self.config["operator"] = f"{self.host}:{self.operator_port}"
        self._record = record
        self._log: Any = None

    async def start(self) -> None:
        """Start the process, and wait until it is ready."""
        config = self.folder / "config.json"
        config.write_text(json.dumps(self.config), encoding="utf-8")
        private = self.folder / "tmp"
        private.mkdir()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(private),
            "NODE_NAME": "n1",
            "NODE_LISTEN": self.config["listen"],
            "NODE_DISCOVERY": self.config["discovery"],
            "NODE_CONFIG": str(config),
        }
        if self.operator_port:
            environment["NODE_OPERATOR"] = self.config["operator"]
        self._log = (self.folder / "log.txt").open("wb")
        self.process = subprocess.Popen(  # noqa: ASYNC220 - returns once the shell has started
            ["/bin/sh", "-c", deploy["run"]],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        self._record.add(f"platform: sidecar started, listens on {self.config['listen']}")
        until = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until:
            if self.process.poll() is not None:
                message = f"the sidecar ended with status {self.process.returncode}"
                raise CaseError(message)
            if await self.ready() == 200:
                self._record.add("platform: sidecar is ready")
                return
            await asyncio.sleep(0.05)
        message = "the sidecar was not ready in time"
        raise CaseError(message)

    async def ready(self) -> int:
        """Return the status of `GET /health/ready`; 0 if there is no answer."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            return 0
        try:
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2.0)
            return int(line.split()[1]) if line else 0
        except (OSError, TimeoutError, ValueError, IndexError):
            return 0
        finally:
            writer.close()

    def reload(self) -> None:
        """Replace the configuration file by the current `config`, and send SIGHUP."""
        config, new = self.folder / "config.json", self.folder / "config.new"
        new.write_text(json.dumps(self.config), encoding="utf-8")
        new.rename(config)
        if self.process is not None:
            self.process.send_signal(signal.SIGHUP)

    async def operate(self, command: str) -> str:
        """Send one line to the operators' door, and return the line that answers it."""
        reader, writer = await asyncio.open_connection(self.host, self.operator_port)
        try:
            writer.write(f"{command}\n".encode())
            line = await asyncio.wait_for(reader.readline(), 1.0)
        finally:
            writer.close()
        self._record.add(f"operator: {command} -> {line!r}")
        return line.decode("ascii", "replace").strip()

    @property
    def running(self) -> bool:
        """True if the process runs."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """End the process, copy its log into the record, and remove the temporary folder."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
            self._log.close()
            for line in (self.folder / "log.txt").read_text("utf-8", "replace").splitlines():
                self._record.add(f"sidecar log: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


async def _bounded(case: Case, record: Record, *, trouble: bool) -> bool:
    """Play a case for at most `CASE_LIMIT_S` seconds; SIGTERM and SIGINT end it as well."""
    playing = asyncio.ensure_future(case(record, trouble))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, playing.cancel)
    try:
        return await asyncio.wait_for(playing, CASE_LIMIT_S)
    except (TimeoutError, asyncio.CancelledError):
        message = "the case took too long or was stopped"
        raise CaseError(message) from None


def play(folder: Path, case: Case) -> None:
    """Play a case, and exit with `HELD`, `BROKEN` or `NOT_RUN`."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    status = NOT_RUN
    try:
        record.add(f"case {folder.name}, trouble {'on' if trouble else 'off'}", show=True)
        held = asyncio.run(_bounded(case, record, trouble=trouble))
        status = HELD if held else BROKEN
        record.add(f"the rule {'held' if held else 'was broken'}", show=True)
    except Exception as error:  # noqa: BLE001 - whatever it is, the case could not run
        record.add(f"the case could not run: {error!r}", show=True)
    finally:
        record.close()
    sys.exit(status)
