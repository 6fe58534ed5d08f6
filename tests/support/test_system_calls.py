"""The helper that injects faults into system calls: what it lets fail, and that it leaves all else alone."""

from __future__ import annotations

import errno
import os
import socket
import subprocess
import sys
import time

import pytest

from tests.support import system_calls
from tests.support.processes import ROOT
from tests.support.system_calls import Faults

PROGRAM = """
import socket, time
print(round(time.time()))
for _ in range(3):
    try:
        socket.socket()
    except OSError as error:
        print(error.errno)
"""
BEFORE = (socket.socket.__init__, socket.socket.accept, socket.socket.recv, os.write, open, time.time)


@pytest.fixture
def pair():
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as near,
    ):
        far, _ = server.accept()
        with far:
            yield near, far


def test_calls_fail_in_the_order_of_the_script_and_then_no_more():
    with socket.create_server(("127.0.0.1", 0)) as server, Faults() as faults:
        faults.script("accept", errno.ECONNABORTED, None, errno.EPROTO)
        clients = [socket.create_connection(server.getsockname()) for _ in range(2)]
        with pytest.raises(ConnectionAbortedError):
            server.accept()
        server.accept()[0].close()
        with pytest.raises(OSError, match=os.strerror(errno.EPROTO)):
            server.accept()
        server.accept()[0].close()
        assert faults.injected == {("accept", errno.ECONNABORTED): 1, ("accept", errno.EPROTO): 1}
        for sock in clients:
            sock.close()


def test_a_share_of_calls_fails_by_the_seed_on_what_matches():
    def failing(seed):
        with Faults(seed) as faults:
            faults.share("socket", 0.3, system_calls.SOCKET_ERRORS)
            outcomes = []
            for _ in range(50):
                try:
                    socket.socket().close()
                    outcomes.append(0)
                except OSError as error:
                    outcomes.append(error.errno)
            a, b = socket.socketpair()  # of another family: met by none
            a.close(), b.close()
        return outcomes

    assert failing(1) == failing(1) != failing(2)
    assert 5 < sum(map(bool, failing(1))) < 25


def test_reads_and_writes_are_short(pair):
    near, far = pair
    with Faults() as faults:
        faults.shorten("send", 3, on=lambda sock: sock is near)
        faults.shorten("recv", 2, on=lambda sock: sock is far)
        assert near.send(b"abcdef") == 3
        assert (far.recv(10), far.recv(10)) == (b"ab", b"c")
        assert far.send(b"abcdef") == 6
        buffer = bytearray(10)
        assert near.recv_into(buffer) == 6
        faults.script("recv", errno.ETIMEDOUT)
        with pytest.raises(TimeoutError):
            near.recv(1)


def test_an_interrupted_connect_goes_on():
    with socket.create_server(("127.0.0.1", 0)) as server, Faults() as faults, socket.socket() as sock:
        faults.script("connect", errno.EINTR)
        with pytest.raises(InterruptedError):
            sock.connect(server.getsockname())
        server.accept()[0].close()


def test_files_fail_by_their_path(tmp_path):
    with Faults() as faults:
        faults.script("write", errno.ENOSPC, on=lambda path: path.endswith("log"))
        faults.shorten("write", 4, on=lambda path: path.endswith("short"))
        faults.script("fsync", errno.EIO)
        faults.script("replace", errno.EIO)
        with pytest.raises(OSError, match="No space"), open(tmp_path / "log", "wb", buffering=0) as file:
            file.write(b"x")
        (tmp_path / "log").write_text("works again")
        fd = os.open(tmp_path / "short", os.O_CREAT | os.O_WRONLY)
        assert os.write(fd, b"abcdef") == 4
        with pytest.raises(OSError, match="Input/output"):
            os.fsync(fd)
        os.fsync(fd)
        os.close(fd)
        with pytest.raises(OSError, match="Input/output"):
            os.replace(tmp_path / "short", tmp_path / "other")
    assert (tmp_path / "log").read_text() == "works again"
    assert (tmp_path / "short").read_bytes() == b"abcd"


def test_the_wall_clock_steps_and_the_monotonic_clock_runs_on():
    before, steady = time.time(), time.monotonic()
    with Faults() as faults:
        faults.step(-3600.0)
        assert -3601.0 < time.time() - before < -3590.0
        assert -3601.0 < time.time_ns() / 1e9 - before < -3590.0
        assert 0.0 <= time.monotonic() - steady < 10.0
        faults.step(7200.0, after_s=60.0)
        assert time.time() < before
    assert time.time() >= before


def test_all_is_as_it_was_afterwards():
    with Faults():
        assert socket.socket.recv is not BEFORE[2]
    now = (socket.socket.__init__, socket.socket.accept, socket.socket.recv, os.write, open, time.time)
    assert now == BEFORE


def test_a_program_of_its_own_meets_what_its_environment_names(tmp_path):
    plan = {"script": {"socket": [None, "EMFILE"]}, "step": [[0.0, 86400.0]]}
    env = {**os.environ, **system_calls.variables(tmp_path, plan)}
    said = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        env=env,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    ).stdout.split()
    assert abs(int(said[0]) - time.time() - 86400.0) < 60.0
    assert said[1:] == [str(errno.EMFILE)]
