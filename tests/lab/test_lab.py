"""The lab: its models, its ledger's verdicts, its files and its command."""

from __future__ import annotations

import asyncio
import json
import math
import os
import shutil
import signal
import socket
import subprocess
import sys
from collections import Counter
from pathlib import Path

import psutil
import pytest

from brassfall.lab import compare, day, judge, ledger, play, rules, runner, service, spec
from brassfall.lab.models.server import ACCEPTED, FULL, Job, Server
from brassfall.lab.real import controller
from brassfall.lab.sim.defects import DEFECTS
from brassfall.lab.sim.faults import Faults
from brassfall.lab.sim.sidecar import Sidecar
from brassfall.lab.sim.world import World
from brassfall.settings import SettingsError
from tests.support.processes import ROOT

HEAD = '[experiment]\nname = "t"\nmode = "simulated"\nfor = "{s} s"\n'
TROUBLED = (
    HEAD.format(s=14)
    + "[load]\nshare = 0.8\n[fleet]\nservers = 9\nsidecars = 3\n"
    + '[[faults]]\nkind = "release"\nat = "2 s"\nfor = "11 s"\npart = 0.6\ndrain = "3 s"\n'
    + '[[faults]]\nkind = "kill"\nat = "6 s"\nfor = "4 s"\npart = 0.15\n'
    + '[[faults]]\nkind = "reset"\nat = "9 s"\npart = 0.6\n'
)


def written(tmp_path, text):
    file = tmp_path / "e.toml"
    file.write_text(text)
    return file


def told(tmp_path, text):
    return spec.load(written(tmp_path, text))


def played(experiment, folder, seed=1, kind=Sidecar):
    """Play a day here; its judgement."""
    book = ledger.LedgerWriter(folder)
    world = World(
        day.sample_day(experiment, seed), lambda me: day.wire_settings(experiment, me, {}), book, kind
    )
    Faults(world).schedule()
    world.begin()
    world.run()
    book.close()
    return play.judged(folder, experiment)


def test_a_seed_gives_the_same_bytes_and_another_does_not(tmp_path):
    experiment = told(tmp_path, TROUBLED)
    for name, seed in (("a", 1), ("b", 1), ("c", 2)):
        played(experiment, tmp_path / name, seed)
    files = sorted(path.name for path in (tmp_path / "a").glob("*.jsonl"))
    content = {n: [(tmp_path / n / file).read_bytes() for file in files] for n in "abc"}
    assert len(files) == len(ledger.KINDS) and content["a"] == content["b"] != content["c"]


def test_a_sound_sidecar_breaks_no_rule_and_the_ledger_names_each_flaw(tmp_path):
    experiment = told(tmp_path, TROUBLED)
    sound = played(experiment, tmp_path / "sound")
    assert sound.findings == [] and sound.statistics.requests > 3000 and sound.statistics.service > 0.5
    for name, (kind, rule) in DEFECTS.items():
        # Whether a cold server falls on one day depends on how many requests come while it is the newest.
        seeds = (1, 2, 3) if rule == "cold server" else (1,)
        found = Counter()
        for seed in seeds:
            for finding in played(experiment, tmp_path / f"{name}-{seed}", seed, kind).findings:
                found[finding.rule] += finding.count
        assert found[rule] >= 2 * len(seeds), (name, found)


def test_a_server_that_is_listed_again_may_be_sent_to(tmp_path):
    experiment = told(tmp_path, TROUBLED)
    answer = ledger.Answer(
        "a", "send-notice", "n0", "a", 0, 2000.0, 2000.0, 900.0, 2100.0, "served", "", "s1", "a"
    )
    sent = ledger.Attempt("a", "s1", 0, 2000.0, 2001.0, 2100.0, "ok", "send-notice", "", 9.0)
    gone, back = (
        ledger.ListEvent("n0", "s1", 0, state, at) for state, at in (("left", 1000.0), ("active", 1800.0))
    )
    for news, found in (([gone], ["drain"]), ([gone, back], []), ([back], [])):
        book = rules.Records([answer], [sent], news, [])
        findings = judge.judge(book, experiment.classes, 5000.0, 30.0, rules.Collapse(4.0, 2000.0)).findings
        assert [finding.rule for finding in findings] == found


def test_the_load_is_as_the_experiment_says(tmp_path):
    lines = [
        {"at_ms": 4000, "class": "send-notice", "app": 5, "work_ms": 7},
        {"at_ms": 10, "class": "new-message"},
    ]
    (tmp_path / "day.jsonl").write_text("".join(json.dumps(line) + "\n" for line in lines))
    _, rows = play.load_experiment(written(tmp_path, HEAD.format(s=5) + '[load]\nreplay = "day.jsonl"\n'))
    sampled = day.sample_day(spec.load(tmp_path / "e.toml"), 1, rows).arrivals
    assert [column.tolist() for column in (sampled.at, sampled.app, sampled.cls)] == [
        [10.0, 4000.0],
        [0, 1],
        [3, 2],
    ]
    assert sampled.work[1] == 7.0 and 120.0 <= sampled.work[0] <= 210.0
    (tmp_path / "day.jsonl").write_text('{"at_ms": 1, "class": "a"}\n{"at_ms": -1, "class": "a"}\n')
    with pytest.raises(SettingsError, match=r"day.jsonl: line 2: .*at_ms"):
        play.load_experiment(tmp_path / "e.toml")
    shaped = (
        HEAD.format(s=40)
        + '[load]\nrate = "400 /s"\nsteps = [{ at = "10 s", times = 2.0 }]\n'
        + 'bursts = [{ at = "20 s", for = "5 s", times = 3.0 }]\nwander = { between = [0.5, 0.6] }\n'
    )
    at = day.sample_day(told(tmp_path, shaped), 1).arrivals.at
    rates = [sum((at >= low) & (at < low + 5000.0)) / 5.0 for low in (0.0, 10_000.0, 20_000.0, 30_000.0)]
    for rate, times in zip(rates, (1.0, 2.0, 6.0, 2.0), strict=True):
        assert 400.0 * times * 0.47 < rate < 400.0 * times * 0.63


def test_versions_are_paired_by_seed_and_noise_is_not_called_a_difference(tmp_path):
    def side(name, shifts):
        def judged(shift):
            spans = {"m": 0.4 + shift}
            statistics = service.Statistics(
                1, 1, 1, 0.5 + shift, 0.5, 0.5, 0.5, {}, {}, 0, 0.0, 0.0, {}, [], spans
            )
            return judge.Judgement(statistics, [])

        rows = {seed: play.Result(name, seed, True, "", judged(shift)) for seed, shift in enumerate(shifts)}
        return compare.Side(name, rows)

    # The days differ far more than the versions; only pairs can tell them apart.
    days = [0.0, 0.3, -0.3, 0.2, -0.2, 0.1]
    base = side("a", days)
    for shifts, beyond in (
        ([0.02, 0.03, 0.01, 0.02, 0.03, 0.02], True),
        ([0.05, -0.05, 0.04, -0.05, 0.06, -0.04], False),
    ):
        other = side("b", [at + shift for at, shift in zip(days, shifts, strict=True)])
        for figure in ("service", "m"):
            row = compare.difference(figure, base, other)
            assert row.pairs == 6 and row.beyond_noise == beyond
            assert row.low <= row.difference <= row.high and row.difference == pytest.approx(sum(shifts) / 6)
    few = compare.difference("service", base, side("b", days[:2]))
    assert few.low is None and not few.beyond_noise


def test_latency_runs_from_when_a_request_was_due(tmp_path):
    """One server stops for 1 s: everybody who asked meanwhile waited, and the figures say so."""
    experiment = told(
        tmp_path,
        HEAD.format(s=10)
        + '[load]\nrate = "50 /s"\n[fleet]\nservers = 1\nsidecars = 1\ncrowding = { servers = 0.0 }\n'
        + 'kinds = [{ name = "m", share = 1.0, slots_per_core = 50, queue_per_core = 50, speed = 1.0 }]\n'
        + "[clients]\nretries = 0\ntry_share = 1.0\n"
        + '[[classes]]\nname = "c"\nshare = 1.0\nwork = "5 ms"\nwanted = "4 s"\n'
        + 'deadline = "5 s"\nworth = 1.0\neffect = "unsafe"\n'
        + '[[faults]]\nkind = "stop"\nat = "4 s"\nfor = "1 s"\nservers = ["s0"]\n',
    )
    judgement = played(experiment, tmp_path / "p")
    answers = list(ledger.read(tmp_path / "p", ledger.Answer))
    waited = [answer for answer in answers if answer.end - answer.due > 500.0]
    assert 15 <= len(waited) <= 40  # of about 25 that were due in the first half of that second
    assert judgement.statistics.latency_ms["p99"] > 700.0


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ("[load]\nshare = 0.5\nspeed = 1", "unknown field `speed`"),
        ('[load]\nrate = "260 /h"', "unit '/h'"),
        ('[load]\nrate = "-5 /s"', "is negative"),
        ("[load]\nrate = 5", "number with a unit"),
        ("[load]", "one of share, rate and replay"),
        ('[load]\nreplay = "none.jsonl"', "none.jsonl: No such file"),
        ('[load]\nshare = 0.5\n[[faults]]\nkind = "quake"\nat = "1 s"', "faults[0].kind: 'quake'"),
        (
            '[load]\nshare = 0.5\n[[faults]]\nkind = "kill"\nat = "99 s"\nfor = "1 s"\npart = 0.1',
            "after the end",
        ),
        ('[load]\nshare = 0.5\n[[faults]]\nkind = "kill"\nat = "1 s"\nfor = "1 s"', "one of part, servers"),
        (
            '[load]\nshare = 0.5\n[[faults]]\nkind = "cut"\nat = "1 s"\nfor = "1 s"\nzone = "x"',
            "'x' is none of",
        ),
        ('[load]\nshare = 0.5\n[[versions]]\nname = "v"\nflaw = "odd"', "versions[0].flaw: 'odd'"),
        ('[load]\nshare = 0.5\n[[versions]]\nname = "v"\nrevision = "nowhere"', "'nowhere' is no revision"),
        ("[load]\nshare = 0.5\n[fleet]\nsidecars = 0", "fleet.sidecars"),
        (
            '[load]\nshare = 0.5\n[[measure]]\nname = "m"\nfrom = "9 s"\nto = "11 s"',
            "measure[0]: from and to",
        ),
    ],
)
def test_a_bad_experiment_is_refused_before_anything_starts(tmp_path, change, reason):
    file = tmp_path / "e.toml"
    file.write_text(HEAD.format(s=10) + change + "\n")
    with pytest.raises(SettingsError) as error:
        runner.prepare(file, tmp_path / "out", print)
    assert reason in str(error.value) and "\n" not in str(error.value)
    assert str(file) in str(error.value) or "none.jsonl" in str(error.value)
    assert not (tmp_path / "out" / "plays").exists()


def test_the_command_says_what_is_wrong_in_one_line(tmp_path):
    file = tmp_path / "e.toml"
    file.write_text(HEAD.format(s=10) + "[load]\nshare = -0.5\n")
    for words in (("lab", "run", str(file), "--out", str(tmp_path / "out")), ("check", str(file))):
        done = brassfall(*words)
        assert done.returncode == 2 and not done.stdout
        assert done.stderr.startswith(f"{file}: ") and "load.share" in done.stderr
        assert len(done.stderr.splitlines()) == 1


def brassfall(*words):
    return subprocess.run(
        [sys.executable, "-m", "brassfall", *words], cwd=ROOT, capture_output=True, text=True, timeout=120
    )


def test_a_server_shares_its_cores_and_turns_away_what_has_no_room():
    machine = day.Machine(
        "s0", 0, 0, 2, 1.0, slots=3, queue=1, warmup_start=0.1, warmup_ms=1000.0, error_rate=0.0,
        report_every=100.0, report_late=50.0, report_noise=0.0, handshake=2.0, round_trips=1.0,
        connections=100, full_tax=0.0, fall_multiple=4.0, fall_after=100.0,
        overload=day.Overload(4.0, 50.0, 2.0, 0.0, 100.0, 1e6), seed=1,
    )  # fmt: skip
    server = Server(machine, 0.0, lambda: 0.5, warming_up=False)
    jobs = [Job(30.0, number) for number in range(5)]
    assert [server.offer(0.0, job, new_connection=False) for job in jobs] == [ACCEPTED] * 4 + [FULL]
    # Three share two cores: done at 45; the fourth begins then, and has a core for itself.
    assert server.due == pytest.approx(45.0)
    assert [job.data for job in server.advance(46.0)] == [0, 1, 2]
    assert server.due == pytest.approx(75.0) and server.report(200.0) == 0.0
    assert [job.data for job in server.advance(75.0)] == [3] and server.due == math.inf
    # Crowded for longer than 50 ms: half as fast, until it has rested.
    server.advance(100.0)
    for job in jobs[:4]:
        job.work = 300.0
        server.offer(100.0, job, new_connection=False)
    server.advance(110.0)
    server.advance(170.0)
    assert server.overloaded and server.due == pytest.approx(170.0 + (300.0 - 70.0 * 2 / 3) * 3.0)
    # A cold one falls over, once it has been sent four times what it can do.
    cold = Server(machine, 0.0, lambda: 0.5, warming_up=True)
    fallen = [cold.offer(0.0, Job(10.0, None), new_connection=False) and cold.collapsed for _ in range(12)]
    assert fallen.index(True) == 8  # 90 ms of work; 4 times 20 ms, and a twentieth more, are 84


REAL = (
    HEAD.format(s=4).replace("simulated", "real")
    + '[load]\nrate = "120 /s"\n[fleet]\nservers = 4\nsidecars = 2\ncrowding = { servers = 0.0 }\n'
    + '[[faults]]\nkind = "kill"\nat = "500 ms"\nfor = "1 s"\nservers = ["s0"]\n'
    + '[[faults]]\nkind = "stop"\nat = "2 s"\nfor = "1 s"\nservers = ["s1"]\n'
)


def test_a_real_fleet_is_played_and_its_ledger_is_whole(tmp_path):
    file, out = tmp_path / "e.toml", tmp_path / "out"
    # So many that some are with the server as it is killed, however late a busy machine makes that.
    file.write_text(REAL.replace("120 /s", "200 /s"))
    done = brassfall("lab", "run", str(file), "--out", str(out))
    assert done.returncode in (0, 1), done.stderr
    [row] = [json.loads(line) for line in (out / "plays.jsonl").read_bytes().splitlines()]
    statistics = row["judgement"]["figures"]
    asked = len(day.sample_day(spec.load(file), 1).arrivals.at)
    # A machine that is busy with other things makes the lab late, and the play says so itself.
    assert row["valid"] == (done.returncode == 0) and (row["valid"] or "ran late" in row["why"])
    assert statistics["requests"] == asked > 300 and statistics["statuses"]["served"] > 0.5 * asked
    assert {finding["rule"] for finding in row["judgement"]["findings"]} <= {"unanswered", "drain"}
    folder = out / "plays" / "now-1"
    incarnations = [
        (incarnation.server, incarnation.incarnation, incarnation.why)
        for incarnation in ledger.read(folder, ledger.Incarnation)
    ]
    assert ("s0", 0, "killed") in incarnations and ("s0", 1, "") in incarnations and len(incarnations) == 5
    assert {("s0", 1)} <= {(news.server, news.incarnation) for news in ledger.read(folder, ledger.ListEvent)}
    attempts = list(ledger.read(folder, ledger.Attempt))
    assert len({attempt.server for attempt in attempts}) == 4
    assert any(attempt.outcome == "unfinished" and attempt.server == "s0" for attempt in attempts)
    # What was with the server that stood still waited for as long: nothing is left out of the count.
    assert any(a.server == "s1" and a.end - a.sent > 900.0 for a in attempts)


@pytest.mark.parametrize(
    ("text", "number"), [(TROUBLED, signal.SIGKILL), (REAL, signal.SIGKILL), (REAL, signal.SIGINT)]
)
def test_a_lab_that_is_killed_leaves_no_process_and_can_go_on(tmp_path, text, number):
    asyncio.run(asyncio.wait_for(_killed(tmp_path, text, number), 90))


def listening(process):
    """The ports that a process listens on; none where it has ended."""
    try:
        return [place.laddr.port for place in process.net_connections() if place.status == "LISTEN"]
    except psutil.NoSuchProcess:
        return []


def has_ended(process):
    """Return True if a process and all its threads have ended: until then its sockets may be open.

    A killed process is a zombie as soon as its first thread has ended, while others still hold its sockets.
    """
    try:
        return process.status() == "zombie" and len(os.listdir(f"/proc/{process.pid}/task")) == 1
    except (psutil.NoSuchProcess, FileNotFoundError, ProcessLookupError):
        return True


async def _killed(tmp_path, text, number):
    file, out = tmp_path / "e.toml", tmp_path / "out"
    # The real one is long enough not to be over when it is killed, however long the look before takes.
    file.write_text(
        text.replace('for = "14 s"', 'for = "16 s"\nrepeats = 2').replace('for = "4 s"', 'for = "60 s"')
    )
    words = [sys.executable, "-m", "brassfall", "lab", "run", str(file), "--out", str(out)]
    lab = await asyncio.create_subprocess_exec(*words, cwd=ROOT, stderr=asyncio.subprocess.DEVNULL)
    real = text is REAL
    written = "plays/*/parts/*/attempts.jsonl" if real else "plays/*/answers.jsonl"
    while not any(path.stat().st_size for path in out.glob(written)):
        assert lab.returncode is None  # it ended without a play
        await asyncio.sleep(0.02)
    started = psutil.Process(lab.pid).children(recursive=True)
    ports = {port for process in started for port in listening(process)}
    # A play, its keeper, the list service, two networks, two sidecars, four servers, clients.
    assert len(started) >= (11 if real else 2) and bool(ports) == real
    lab.send_signal(number)
    await lab.wait()
    while not all(has_ended(process) for process in started):
        await asyncio.sleep(0.02)
    for port in ports:
        with socket.socket() as sock:
            assert sock.connect_ex(("127.0.0.1", port)) != 0
    assert not list(out.glob("plays/*/result.json"))  # they ended, and did not play to the end
    kind = ledger.Attempt if real else ledger.Answer
    assert sum(1 for path in out.glob(written) for _ in ledger.read(path.parent, kind)) > 0
    if real:
        return
    # One play that dies does not keep the other from being played, and is played again next time.
    lab = await asyncio.create_subprocess_exec(*words, cwd=ROOT, stderr=asyncio.subprocess.DEVNULL)
    while not (workers := psutil.Process(lab.pid).children()):
        await asyncio.sleep(0.02)
    workers[0].kill()
    assert await lab.wait() == 0
    rows = [json.loads(line) for line in (out / "plays.jsonl").read_bytes().splitlines()]
    assert sorted(row["valid"] for row in rows) == [False, True]
    assert "does not count: ended with status -9" in (out / "report.md").read_text()
    done = await asyncio.to_thread(brassfall, "lab", "run", str(file), "--out", str(out))
    assert done.returncode == 0 and "1 of 2 plays were there already" in done.stderr
    rows = [json.loads(line) for line in (out / "plays.jsonl").read_bytes().splitlines()]
    assert [row["seed"] for row in rows] == [1, 2] and all(row["valid"] for row in rows)
    assert "## Service" in (out / "report.md").read_text()
    other = tmp_path / "other.toml"
    other.write_text(file.read_text().replace("0.8", "0.7"))
    again = await asyncio.to_thread(brassfall, "lab", "run", str(other), "--out", str(out))
    assert again.returncode == 2 and "another experiment" in again.stderr


def test_a_lab_that_stood_still_says_so_and_its_play_does_not_count(tmp_path):
    asyncio.run(asyncio.wait_for(_stood_still(tmp_path), 90))


async def _stood_still(tmp_path):
    file, out = written(tmp_path, REAL), tmp_path / "out"
    words = [sys.executable, "-m", "brassfall", "lab", "run", str(file), "--out", str(out)]
    lab = await asyncio.create_subprocess_exec(*words, cwd=ROOT, stderr=asyncio.subprocess.DEVNULL)
    while not any(path.stat().st_size for path in out.glob("plays/*/parts/*/attempts.jsonl")):
        assert lab.returncode is None  # it ended without a play
        await asyncio.sleep(0.02)
    started = psutil.Process(lab.pid).children(recursive=True)
    clients, sidecar = (
        next(process for process in started if name in process.cmdline())
        for name in ("brassfall.lab.real.clients", "brassfall.sidecar")
    )
    clients.suspend()
    await asyncio.sleep(0.7)
    clients.resume()
    sidecar.kill()
    assert await lab.wait() == 1
    [row] = [json.loads(line) for line in (out / "plays.jsonl").read_bytes().splitlines()]
    assert (
        not row["valid"] and "ran late" in row["why"] and "does not count" in (out / "report.md").read_text()
    )
    assert "crashed" in {finding["rule"] for finding in row["judgement"]["findings"]}
    # Those that were due meanwhile went out late, and their latency runs from when they were due.
    rows = list(ledger.read(out / "plays" / "now-1", ledger.Answer))
    assert sum(answer.hop == 0 and answer.sent - answer.due > 300.0 for answer in rows) >= 20
    took = sorted(answer.end - answer.due for answer in rows if answer.status == "served")
    p90 = row["judgement"]["figures"]["latency_ms"]["p90"]
    low, high = (took[int(part * len(took))] for part in (0.88, 0.92))
    assert 0.99 * low <= p90 <= 1.01 * high  # a histogram's rank is rounded


def test_too_few_descriptors_are_told(tmp_path):
    file = written(tmp_path, REAL)
    words = f"ulimit -n 256; exec {sys.executable} -m brassfall lab run {file} --out {tmp_path / 'out'}"
    done = subprocess.run(["/bin/sh", "-c", words], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.returncode == 1 and "256 descriptors a process are too few" in done.stderr
    assert "256 descriptors" in (tmp_path / "out" / "report.md").read_text()


def test_a_play_in_which_the_lab_was_late_or_starved_does_not_count():
    fine = {"late_ms": 20.0, "late": 0, "due": 1000}
    assert controller.lateness([fine, fine]) == ""
    for odd, why in (
        ({"late": 11}, "11 of 1000 came more than 50 ms late"),
        ({"late": 1, "late_ms": 400.0}, "late, by 400 ms"),
        ({"starved": 3}, "out of descriptors: 3 tries"),
    ):
        assert why in controller.lateness([fine, {**fine, **odd}])


def installed(folder: Path, changes: dict[str, tuple[str, str]]) -> subprocess.CompletedProcess[str]:
    """Install a changed copy of the decisions in a process that has imported those that stand here."""
    shutil.copytree(ROOT / "brassfall" / "balancer", folder / "brassfall" / "balancer")
    for name, (old, new) in changes.items():
        file = folder / "brassfall" / "balancer" / name
        assert old in file.read_text()
        file.write_text(file.read_text().replace(old, new))
    program = (
        "import sys, pathlib, brassfall.balancer; from brassfall.lab import play; "
        f"play.install(pathlib.Path({str(folder)!r})); from brassfall.balancer import Balancer; "
        "model = sys.modules['brassfall.balancer.model']; "
        "print(sys.modules[Balancer.__module__].__file__, model.DISCOVERY_CALL_TIMEOUT_MS)"
    )
    return subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, timeout=60
    )


def test_the_decisions_of_another_revision_take_the_place_of_all_that_were_imported(tmp_path):
    done = installed(
        tmp_path, {"model.py": ("DISCOVERY_CALL_TIMEOUT_MS = 1000.0", "DISCOVERY_CALL_TIMEOUT_MS = 1001.0")}
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout.split() == [str(tmp_path / "brassfall" / "balancer" / "balancer.py"), "1001.0"]


@pytest.mark.parametrize(
    "changes",
    [
        {"events.py": ("    request_class: int", "    band: int")},
        {"model.py": ("SendAttempt", "Send")},
        {
            "events.py": ("EndpointListReceived", "EndpointsListed"),
            "balancer.py": ("EndpointListReceived", "EndpointsListed"),
        },
        {"events.py": ("RequestArrived", "Arrival"), "balancer.py": ("RequestArrived", "Arrival")},
    ],
)
def test_decisions_with_an_earlier_interface_are_refused_with_what_to_do(tmp_path, changes):
    done = installed(tmp_path, changes)
    assert (
        done.returncode == 1 and "has an earlier interface" in done.stderr and 'mode = "real"' in done.stderr
    )
