"""Tests of the simulator's adapter, which runs as a process with standard input and output."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from brassfall.balancer.model import (
    DiscoveryRetryTimer,
    IdleCloseTimer,
    KeyPauseTimer,
    ObjectiveTimer,
    QueueDeadlineTimer,
)
from brassfall.simulator import parse_timer, timer_token

ROOT = Path(__file__).resolve().parents[2]
# Settings of a balancer as JSON, with some unknown members.
SETUP = json.dumps(
    {
        "Profiles": [
            {"Semantics": "pure", "Objective": 200, "Deadline": 1000, "Name": "a b"},
            {"Semantics": "side_effect", "Objective": 200, "Deadline": 1000},
        ],
        "FailureDomains": ["x", "y"],
        "PolicyLimits": {"MaxAttempts": 3, "MayProbe": True, "Unheard": {"of": 1}},
        "Report": {"How": "on_probe", "Fields": ["inflight", "x0"]},
        "Unknown": [1, 2],
    }
)
# The lines of an endpoint list with three servers.
LIST = "snapshot_rows List=3 Elements=3\n" + "".join(
    f"item StageState=active Server=s.{i} RegionPart={i % 2} Other=1\n" for i in range(3)
)


def run(text, hash_seed="0"):
    """Run the adapter with the input `text`; return the completed process."""
    return subprocess.run(
        [sys.executable, "-m", "brassfall.simulator"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        timeout=60,
    )


def batch(number, body, now=100.0):
    """Return the lines of one batch of messages."""
    return f"sync seq={number} Now={now + 5 * number}\n{body}over_to_you\n"


def born(instance, seed=7):
    """Return the lines that create the balancer of a sidecar and give it the endpoint list."""
    return (
        f"context SidecarId=sidecar/{instance}\nborn RngSeed={seed} Setup={SETUP}\n"
        "discovery Version=1 List=3 Form=remembered\n"
    )


def day(instances):
    """Return the batches of a short day of several balancers, each with its own events."""
    text = batch(0, "") + batch(1, LIST + "".join(born(i, seed=i + 5) for i in instances))
    for number in range(2, 40):
        body = ""
        for i in instances:
            body += f"context SidecarId=sidecar/{i}\n"
            request = 1000 * i + number
            body += f"arrival GiveUpAt=9000 Band={number % 2} RequestId={request} New=1\n"
            for server in range(3):
                body += f"ping_result Server=s.{server} Status=0 Report=x0:1,inflight:4\n"
            if number % 4 == 0:
                body += f"verdict Status={number % 8} RequestId={request - 2} Hop=0 Spent=10\n"
            body += f"tick_due Tag=look:{request}:0\n"
        text += batch(number, body)
    return text


def test_all_batches_of_a_day_are_answered_and_the_adapter_exits_at_the_end_of_the_input():
    completed = run(day([0]))
    assert (completed.returncode, completed.stderr) == (0, "")
    replies = re.findall(r"^yield seq=(\d+)$", completed.stdout, re.M)
    assert replies == [str(n) for n in range(40)]
    send_lines = re.findall(r"^relay RequestId=(\d+) Server=s\.\d Timeout=[\d.]+$", completed.stdout, re.M)
    assert len(send_lines) > 10
    assert completed.stdout.startswith("yield seq=0\n")


def test_the_output_does_not_depend_on_the_hash_seed():
    text = day([0, 1, 2])
    assert run(text, "1").stdout == run(text, "2").stdout


def actions_by_instance(output):
    """Return the lines with the actions of each balancer, by its sidecar."""
    by_instance, instance = {}, None
    for line in output.splitlines():
        if line.startswith("speaking "):
            instance = line.partition("=")[2]
        elif not line.startswith("yield "):
            by_instance.setdefault(instance, []).append(line)
    return by_instance


def test_the_actions_of_a_balancer_do_not_depend_on_other_balancers_in_the_process():
    together = actions_by_instance(run(day([0, 1, 2])).stdout)
    for i in range(3):
        assert actions_by_instance(run(day([i])).stdout) == {f"sidecar/{i}": together[f"sidecar/{i}"]}


def test_lists_apply_in_the_order_of_events_and_a_balancer_may_restart_within_a_batch():
    second_list = "snapshot_rows List=3 Elements=1\nitem Server=s.9\n"
    body = LIST + born(0) + "kill\n" + second_list + born(0)
    arrival = "context SidecarId=sidecar/0\narrival RequestId=1 Band=0 GiveUpAt=900\n"
    completed = run(batch(1, body) + batch(2, arrival))
    assert completed.returncode == 0
    assert set(re.findall(r"Server=(\S+)", completed.stdout)) == {"s.9"}


@pytest.mark.parametrize(
    ("text", "line", "message"),
    [
        ("nonsense\n", 1, "expected sync"),
        (batch(1, "context SidecarId=sidecar/0\nwhat Now=1\n"), 3, "unknown message"),
        (batch(1, "context SidecarId=sidecar/0\naborted RequestId=1\n"), 3, "not born"),
        (batch(1, "aborted RequestId=1\n"), 2, "before any context"),
        (batch(1, LIST + born(0) + "arrival RequestId=1\n"), 9, "GiveUpAt is missing"),
        (batch(1, LIST + born(0) + "arrival RequestId=x GiveUpAt=1\n"), 9, "invalid literal"),
        (batch(1, LIST + born(0) + "verdict RequestId=1 Status=9\n"), 9, "Status"),
        (batch(1, LIST + born(0) + "discovery Form=all List=4\n"), 9, "list 4"),
        (batch(1, born(0).replace("pure", "odd")), 3, "Profiles[0].Semantics"),
        (f"sync seq=1 Now=1\n{LIST}", 5, "without over_to_you"),
    ],
)
def test_malformed_input_ends_the_adapter_with_one_line_that_names_it(text, line, message):
    completed = run(text)
    assert completed.returncode == 1
    assert len(completed.stderr.splitlines()) == 1
    assert completed.stderr.startswith(f"line {line}: ")
    assert message in completed.stderr
    assert "Traceback" not in completed.stderr + completed.stdout


def test_an_exception_in_the_balancer_is_reported_as_fatal():
    body = LIST + born(0) + "arrival RequestId=1 Band=7 GiveUpAt=900\n"
    completed = run(batch(1, body))
    assert completed.returncode == 1
    assert re.search(r"^fatal ReasonText=ValueError: request 1: no class 7$", completed.stdout, re.M)


def test_a_closed_output_ends_the_adapter_without_an_error():
    with subprocess.Popen(
        [sys.executable, "-m", "brassfall.simulator"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    ) as process:
        process.stdout.close()
        process.stdin.write(day([0]))
        process.stdin.close()
        assert process.wait(timeout=60) == 0
        assert process.stderr.read() == ""


@pytest.mark.parametrize(
    ("token", "tag"),
    [
        (ObjectiveTimer(request=7, attempt=2), "due:7:2"),
        (QueueDeadlineTimer(request=7), "late:7"),
        (KeyPauseTimer(key=7), "turn:7"),
        (IdleCloseTimer("s:1"), "close:s:1"),
        (DiscoveryRetryTimer(), "watch"),
    ],
)
def test_each_timer_token_has_its_tag_in_the_line_protocol(token, tag):
    assert timer_token(token) == tag
    assert parse_timer(tag) == token and type(parse_timer(tag)) is type(token)


def test_a_timer_tag_that_is_not_from_the_balancer_is_ignored():
    assert parse_timer("look:7:0") is None and parse_timer("watch:1") is None
    completed = run(batch(1, LIST + born(0) + "tick_due Tag=look:7:0\n"))
    assert completed.returncode == 0 and "fatal" not in completed.stdout


def test_a_timer_tag_with_an_invalid_number_is_reported_as_fatal():
    completed = run(batch(1, LIST + born(0) + "tick_due Tag=due:x:0\n"))
    assert completed.returncode == 1
    assert "fatal ReasonText=ValueError" in completed.stdout and "Traceback" not in completed.stderr
