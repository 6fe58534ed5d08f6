"""Faults in system calls: errors, short results and a stepped wall clock, injected at Python's seams.

In a test, in its own process:

    with Faults(seed=1) as faults:
        faults.script("accept", None, errno.ECONNABORTED)     # the second accept fails, the others don't
        faults.share("connect", 0.15, CONNECT_ERRORS)         # 15% of the connects fail, drawn by the seed
        faults.shorten("send", 1)                             # each write takes one byte
        faults.script("fsync", errno.EIO, on=lambda path: path.endswith("log"))
        faults.step(-3600.0)                                  # the wall clock goes back by an hour
        ...
        assert faults.injected["accept", errno.ECONNABORTED] == 1

In a program of its own, started as it is deployed: `variables(folder, plan)` gives environment variables with
which any Python program injects what the plan names, from its first line on.

Sockets are met if they are TCP over IPv4, files by their path. The selector's waits are left to Python, which
repeats what a signal interrupts (PEP 475); a connect that is interrupted goes on, as on Linux."""

from __future__ import annotations

import builtins
import contextlib
import errno
import fcntl
import io
import json
import os
import random
import socket
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
VARIABLE = "SYSTEM_CALL_FAULTS"

NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.EPROTO, errno.EINTR, *NO_ROOM)
SOCKET_ERRORS = NO_ROOM
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ENOMEM, errno.EINTR)
BROKEN = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
DISK_ERRORS = (errno.ENOSPC, errno.EIO)

SOCKET_CALLS = ("socket", "accept", "connect", "recv", "send")
FILE_CALLS = ("open", "write", "fsync", "replace", "flock")


def anything(target: Any) -> bool:
    """Matches every socket, path or descriptor."""
    return True


@dataclass
class Rule:
    """What happens to one kind of call on the targets that match."""

    on: Callable[[Any], bool]
    script: deque[int | None] = field(default_factory=deque)  # an error for each call, None: none
    part: float = 0.0  # of the calls, that fail with one of `errors`
    errors: tuple[int, ...] = ()
    most: int | None = None  # bytes that one read or write takes


class Faults:
    """A plan of faults, in force within its `with` block."""

    def __init__(self, seed: int = 0) -> None:
        self.injected: Counter[tuple[str, int]] = Counter()  # by call and error number; 0: made short
        self.calls: Counter[str] = Counter()  # all that were looked at
        self._rules: dict[str, list[Rule]] = {}
        self._random = random.Random(seed)
        self._steps: list[tuple[float, float]] = []  # when, by the monotonic clock, and by how much
        self._undo = contextlib.ExitStack()

    # --- the plan

    def script(self, call: str, *results: int | None, on: Callable[[Any], bool] = anything) -> None:
        """Let the next calls end so, one after the other: with an error number, or None to do its work."""
        self._add(call, Rule(on, script=deque(results)))

    def share(
        self, call: str, part: float, errors: tuple[int, ...], on: Callable[[Any], bool] = anything
    ) -> None:
        """Let this part of the calls fail with one of these errors, from now on."""
        self._add(call, Rule(on, part=part, errors=tuple(errors)))

    def shorten(self, call: str, most: int, on: Callable[[Any], bool] = anything) -> None:
        """Let each read or write (`recv`, `send`, `write`) take at most so many bytes."""
        self._add(call, Rule(on, most=most))

    def clear(self, call: str | None = None) -> None:
        """Let this call, or all, do its work again."""
        for name in [call] if call is not None else list(self._rules):
            self._rules.pop(name, None)

    def step(self, seconds: float, after_s: float = 0.0) -> None:
        """Step the wall clock, now or in a while; the monotonic clock runs on."""
        self._steps.append((time.monotonic() + after_s, seconds))

    def _add(self, call: str, rule: Rule) -> None:
        if call not in (*SOCKET_CALLS, *FILE_CALLS):
            raise ValueError(f"{call}: not a call that faults can be injected into")
        self._rules.setdefault(call, []).append(rule)

    # --- asked by the seams

    def error(self, call: str, target: Any) -> int | None:
        """The error number that this call is to end with, if any."""
        self.calls[call] += 1
        for rule in self._rules.get(call, ()):
            if not (rule.script or rule.part) or not rule.on(target):
                continue
            if rule.script:
                number = rule.script.popleft()
            else:
                fails = self._random.random() < rule.part
                number = self._random.choice(rule.errors) if fails else None
            if number is not None:
                self.injected[call, number] += 1
                return number
        return None

    def applies_to(self, call):
        """Return True if a fault of this system call is to be injected."""
        return bool(self._rules.get(call))

    def check(self, call: str, target: Any) -> None:
        """Raise what this call is to end with, if anything."""
        number = self.error(call, target)
        if number is not None:
            raise OSError(number, os.strerror(number))

    def most(self, call: str, target: Any, size: int) -> int:
        """How many bytes this call may take."""
        found = [r.most for r in self._rules.get(call, ()) if r.most is not None and r.on(target)]
        most = min((size, *found))
        if most < size:
            self.injected[call, 0] += 1
        return most

    @property
    def stepped(self) -> float:
        """By how many seconds the wall clock is off now."""
        now = time.monotonic()
        return sum(seconds for at, seconds in self._steps if at <= now)

    # --- in force

    def __enter__(self) -> Faults:
        _patch_sockets(self)
        _patch_files(self)
        _patch_clock(self)
        return self

    def __exit__(self, *error: object) -> None:
        self._undo.close()

    def put(self, owner: Any, name: str, value: Any) -> None:
        """Put something in the place of an attribute until the end."""
        own = name in vars(owner)
        before = getattr(owner, name)
        setattr(owner, name, value)
        if own:
            self._undo.callback(setattr, owner, name, before)
        else:
            self._undo.callback(delattr, owner, name)  # was inherited


# --- sockets ---------------------------------------------------------------------------------------


def _met(sock: socket.socket) -> bool:
    return sock.family == socket.AF_INET and sock.type == socket.SOCK_STREAM


def _patch_sockets(faults: Faults) -> None:
    kind = socket.socket
    made, accept, connect = kind.__init__, kind.accept, kind.connect

    def init(self, family=-1, type=-1, proto=-1, fileno=None):
        asked = fileno is None and family in (-1, socket.AF_INET) and type in (-1, socket.SOCK_STREAM)
        if asked:
            faults.check("socket", self)
        made(self, family, type, proto, fileno)

    def accepting(self):
        faults.check("accept", self)
        return accept(self)

    def connecting(self, address):
        number = faults.error("connect", self) if _met(self) else None
        if number is not None and number != errno.EINTR:
            raise OSError(number, os.strerror(number))
        try:
            return connect(self, address)
        finally:
            if number == errno.EINTR:
                raise InterruptedError(number, os.strerror(number))  # it goes on without the caller

    faults.put(kind, "__init__", init)
    faults.put(kind, "accept", accepting)
    faults.put(kind, "connect", connecting)
    _patch_reads_and_writes(faults, kind)


def _patch_reads_and_writes(faults: Faults, kind: type[socket.socket]) -> None:
    recv, recv_into, send = kind.recv, kind.recv_into, kind.send

    def receiving(self, size, *flags):
        if _met(self):
            faults.check("recv", self)
            size = faults.most("recv", self, size)
        return recv(self, size, *flags)

    def receiving_into(self, buffer, nbytes=0, *flags):
        if _met(self):
            faults.check("recv", self)
            nbytes = faults.most("recv", self, nbytes or memoryview(buffer).nbytes)
        return recv_into(self, buffer, nbytes, *flags)

    def sending(self, data, *flags):
        if _met(self):
            faults.check("send", self)
            size = memoryview(data).nbytes
            most = faults.most("send", self, size)
            if most < size:
                data = bytes(memoryview(data).cast("B")[:most])
        return send(self, data, *flags)

    faults.put(kind, "recv", receiving)
    faults.put(kind, "recv_into", receiving_into)
    faults.put(kind, "send", sending)


# --- files -----------------------------------------------------------------------------------------


def _path(target: Any) -> str:
    """The path of a file that is given by its descriptor, its name or itself."""
    if hasattr(target, "fileno"):
        target = target.fileno()
    if isinstance(target, int):
        try:
            return os.readlink(f"/proc/self/fd/{target}")
        except OSError:
            return ""
    return os.fsdecode(target)


class _File(io.FileIO):
    """A file whose writes may fail or be short."""

    faults: Faults

    def write(self, data):
        path = os.fsdecode(self.name) if not isinstance(self.name, int) else _path(self.name)
        self.faults.check("write", path)
        most = self.faults.most("write", path, memoryview(data).nbytes)
        return super().write(memoryview(data).cast("B")[:most])


def _patch_files(faults: Faults) -> None:
    os_open, os_write, io_open = os.open, os.write, io.open

    def opening(path, *rest, **named):
        faults.check("open", _path(path))
        return os_open(path, *rest, **named)

    def writing(fd, data):
        if faults.applies_to("write"):
            path = _path(fd)
            faults.check("write", path)
            data = memoryview(data).cast("B")[: faults.most("write", path, memoryview(data).nbytes)]
        return os_write(fd, data)

    def file_opening(file, mode="r", buffering=-1, encoding=None, errors=None, newline=None, **rest):
        faults.check("open", _path(file))
        if not faults.applies_to("write") or not set(mode) & set("wax+"):
            return io_open(file, mode, buffering, encoding, errors, newline, **rest)
        raw = _File(file, mode.replace("b", "").replace("t", ""), **rest)
        raw.faults = faults
        if buffering == 0:
            return raw
        held = (io.BufferedRandom if "+" in mode else io.BufferedWriter)(raw)
        return held if "b" in mode else io.TextIOWrapper(held, encoding or "utf-8", errors, newline)

    def by_target(call: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def called(target, *rest, **named):
            faults.check(call, _path(target))
            return real(target, *rest, **named)

        return called

    faults.put(os, "open", opening)
    faults.put(os, "write", writing)
    faults.put(builtins, "open", file_opening)
    faults.put(io, "open", file_opening)
    for owner, name, call in (
        (os, "fsync", "fsync"), (os, "fdatasync", "fsync"), (os, "replace", "replace"),
        (os, "rename", "replace"), (fcntl, "flock", "flock"),
    ):  # fmt: skip
        faults.put(owner, name, by_target(call, getattr(owner, name)))


# --- the wall clock --------------------------------------------------------------------------------


def _patch_clock(faults: Faults) -> None:
    now, now_ns, clock, clock_ns = time.time, time.time_ns, time.clock_gettime, time.clock_gettime_ns
    wall = time.CLOCK_REALTIME
    faults.put(time, "time", lambda: now() + faults.stepped)
    faults.put(time, "time_ns", lambda: now_ns() + round(faults.stepped * 1e9))
    faults.put(time, "clock_gettime", lambda which: clock(which) + (faults.stepped if which == wall else 0))
    faults.put(
        time,
        "clock_gettime_ns",
        lambda which: clock_ns(which) + (round(faults.stepped * 1e9) if which == wall else 0),
    )


# --- a whole program -------------------------------------------------------------------------------


def variables(folder: Path, plan: dict[str, Any]) -> dict[str, str]:
    """Environment variables with which a Python program injects the plan's faults into itself:

    `seed`; `share`: {call: [part, [error names]]}; `shorten`: {call: bytes}; `script`: {call: [error name or
    null, ...]}; `step`: [[after seconds, by seconds], ...]. The folder, which has to be empty, gets the file
    from which the interpreter starts it; the program's output and arguments stay as they are."""
    (folder / "sitecustomize.py").write_text("from tests.support import system_calls\nsystem_calls.begin()\n")
    paths = [str(folder), str(ROOT)] + ([os.environ["PYTHONPATH"]] if os.environ.get("PYTHONPATH") else [])
    return {VARIABLE: json.dumps(plan), "PYTHONPATH": os.pathsep.join(paths)}


def begin() -> None:
    """Inject what the environment names, for as long as this process lives."""
    plan = json.loads(os.environ[VARIABLE])
    faults = Faults(plan.get("seed", 0))
    for call, (part, names) in plan.get("share", {}).items():
        faults.share(call, part, tuple(getattr(errno, name) for name in names))
    for call, names in plan.get("script", {}).items():
        faults.script(call, *(name and getattr(errno, name) for name in names))
    for call, most in plan.get("shorten", {}).items():
        faults.shorten(call, most)
    for after_s, seconds in plan.get("step", ()):
        faults.step(seconds, after_s)
    faults.__enter__()


def names(errors: tuple[int, ...]) -> list[str]:
    """The names of error numbers, as a plan holds them."""
    return [errno.errorcode[number] for number in errors]
