"""The command `python -m brassfall` as a process: its output and exit status."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time

import psutil
import pytest

from tests.support.loopback import bounded
from tests.support.processes import ROOT, Service


def run_brassfall(*arguments, limit_s=60):
    """Run one command; return its exit status, standard output and standard error."""
    completed = subprocess.run(
        [sys.executable, "-m", "brassfall", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=limit_s,
    )
    assert "Traceback" not in completed.stderr
    return completed.returncode, completed.stdout, completed.stderr


@bounded(90.0)
async def test_instance_registered_by_hand_is_listed_until_it_leaves(tmp_path):
    async with Service(tmp_path) as service:
        await service.start()
        await register_list_and_leave(service)


async def register_list_and_leave(service):
    at = ("--at", service.listen)
    assert run_brassfall("registry", "register", *at, "s1", "127.0.0.1:7001", "--zone", "a")[0] == 0
    status, out, _ = run_brassfall("registry", "list", *at, "--json")
    row = json.loads(out)["endpoints"][0]
    assert (status, row["name"], row["zone"], row["status"]) == (0, "s1", "a", "active")
    assert "s1" in run_brassfall("registry", "list", *at)[1]
    assert run_brassfall("registry", "leave", *at, "s1")[0] == 0
    status, _, errors = run_brassfall("registry", "leave", *at, "s1")
    assert (status, "404" in errors) == (1, True)
    status, _, errors = run_brassfall("registry", "serve", "--config", str(service.config))
    assert status == 1 and "in use" in errors  # The running service has this address
    assert await service.end() == 0


def test_exit_status_is_2_for_wrong_usage_and_1_for_a_failure(tmp_path):
    bad, good = tmp_path / "bad.toml", tmp_path / "good.toml"
    bad.write_text("[registry]\ncolour = 1\n")
    good.write_text('[registry]\nlisten = "127.0.0.1:0"\ndata = "d"\n')
    for arguments, status, expected_text in (
        (("check", str(good)), 0, ""),
        (("check", str(bad)), 2, "colour"),
        (("check", str(tmp_path / "none.toml")), 2, "none.toml"),
        (("registry", "serve", "--config", str(bad)), 2, "bad.toml"),
        (("registry", "list", "--at", "nowhere"), 2, "nowhere"),
        (("registry", "list", "--at", "127.0.0.1:9"), 1, "127.0.0.1:9"),
        (("registry", "leave", "--at", "127.0.0.1:9", "a/b"), 2, "a/b"),
        (("colour",), 2, ""),
    ):
        exit_status, _, errors = run_brassfall(*arguments)
        assert (exit_status, expected_text in errors) == (status, True), (arguments, errors)


@pytest.mark.parametrize("interrupted", [False, True])
def test_demo_succeeds_and_an_interrupted_demo_leaves_no_process(interrupted):
    process = subprocess.Popen(
        [sys.executable, "-m", "brassfall", "demo"], cwd=ROOT, stdout=subprocess.PIPE, text=True
    )
    if interrupted:
        for line in process.stdout:
            if line.startswith("sidecar on"):
                break
        children = psutil.Process(process.pid).children(recursive=True)
        assert len(children) == 5
        process.send_signal(signal.SIGINT)
        assert process.wait(timeout=60) != 0
        deadline = time.monotonic() + 10.0
        while any(child.is_running() for child in children) and time.monotonic() < deadline:
            time.sleep(0.05)
        assert not [child for child in children if child.is_running()]
    else:
        out, _ = process.communicate(timeout=90)
        assert (process.returncode, out.splitlines()[-1]) == (0, "it works")
    process.stdout.close()
