"""Tests of `lab capacity`: the fit, the tables, what is refused at once, and a small fleet on sockets."""

import asyncio
import math
import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import psutil
import pytest

from brassfall.lab.capacity import command, control, fit, fleet, machine, measurements, page, relay, topology
from brassfall.lab.capacity.environment import Environment, register, start_service
from brassfall.lab.capacity.hollow import HollowSidecar, SourceLoop, sidecar_config
from brassfall.lab.capacity.measurements import Measurement
from tests.support.loopback import PATIENCE_S, Registry, bounded, run_bounded, until

ROOT = Path(__file__).parents[2]
SIDECARS, LISTED = 60, 20
BEHIND = 24  # sidecars at aggregators


def rows(*pairs, unit="core", role="r", quantity="q"):
    return [Measurement(role, quantity, unit, size, value, 3) for size, value in pairs]


def test_a_line_through_figures_tells_slope_error_and_what_it_gives_at_the_target():
    exact = fit.line(rows((300, 0.4), (900, 1.0), (2700, 2.8)))
    assert exact.slope == pytest.approx(0.001)
    assert exact.at(5400) == pytest.approx(5.5)
    assert exact.error == pytest.approx(0.0, abs=1e-9)
    bent = fit.line(rows((300, 0.5), (900, 0.9), (2700, 2.8)))
    # The part of (0.1, -0.1, 0) along (-1800, 2400, -600), to which every line is orthogonal.
    assert bent.error == pytest.approx(420.0 / math.sqrt(9.36e6))
    assert math.isnan(fit.line(rows((300, 0.4), (900, 1.0))).error)
    assert fit.line(rows((300, 0.4))).at(5400) == 0.4
    assert fit.value_at_target(rows((900, 1.0), (5400, 9.0))) == fit.AtTarget(9.0, 1.0)
    assert fit.value_at_target(rows((900, 1.0), (2700, 2.8))) == fit.AtTarget(pytest.approx(5.5), 2.0)
    # What falls is not taken to fall for ever; what lies between sizes is no extrapolation.
    assert fit.value_at_target(rows((900, 0.9), (2700, 0.2))) == fit.AtTarget(0.2, 2.0)
    assert fit.value_at_target(rows((300, 0.3), (1800, 1.8)), 900) == fit.AtTarget(pytest.approx(0.9), 1.0)


def test_figures_are_kept_a_row_a_line_and_newer_ones_take_the_place_of_older(tmp_path):
    path = tmp_path / "figures.json"
    old, new = rows((300, 0.4), (900, 1.0)), [*rows((900, 2.0)), *rows((300, 7.0), role="s")]
    measurements.write(path, measurements.merged(old, new))
    assert measurements.read(path) == [*rows((300, 0.4), (900, 2.0)), *rows((300, 7.0), role="s")]
    assert len(path.read_text().splitlines()) == 5
    path.write_text('[{"role": 3}]')
    with pytest.raises(measurements.MeasurementsError, match="role"):
        measurements.read(path)
    with pytest.raises(measurements.MeasurementsError, match="No such file"):
        measurements.read(tmp_path / "none.json")


def test_what_is_over_budget_says_so_in_words():
    role, quantity = "list service, one for all sidecars", "processor time"
    over = page.budget_table(rows((900, 0.5), (2700, 1.4), role=role, quantity=quantity))
    assert "over budget: 2.8 times what is allowed" in over
    assert "x2.0 beyond what was measured" in over
    assert "over budget" not in page.budget_table(rows((5400, 0.5), role=role, quantity=quantity))
    assert page.budget_table([]).count("not measured") == len(page.BUDGETS)
    assert page.number(math.inf) == "never"


def test_a_table_between_markers_is_written_anew_and_an_unknown_one_is_named():
    text = "# Page\n<!-- table r -->\nold\n<!-- end -->\nbelow\n"
    filled = page.filled(text, rows((300, 0.4)))
    assert "| q | 0.4 at 300 | core |" in filled
    assert "old" not in filled
    assert filled.endswith("<!-- end -->\nbelow\n")
    assert page.filled(filled, rows((300, 0.4))) == filled
    with pytest.raises(page.PageError, match="table 'z'"):
        page.filled("<!-- table z -->\n<!-- end -->", rows((300, 0.4)))


@pytest.mark.parametrize(
    ("limits", "told"),
    [
        ((1000, 2**40, 2**40), "16600 descriptors are needed, the limit is 1000"),
        ((20_000, 2**40, 2**30), "MiB are needed"),
        ((20_000, 2**31, 2**31), "MiB are needed"),
    ],
)
def test_a_machine_that_is_too_small_is_told_before_the_start(limits, told):
    with pytest.raises(machine.MachineTooSmallError, match=told) as raised:
        machine.check(machine.Machine(*limits), [300, 5400])
    assert raised.value.exit_status == 2
    machine.check(machine.Machine(20_000, 2**40, 2**40), [300, 5400])


@pytest.mark.parametrize("sizes", ["", "2", "300,x", "6001", "-5"])
def test_sizes_that_are_none_are_refused(sizes):
    with pytest.raises(command.UsageError, match="--sizes"):
        command.chosen_sizes(sizes)


def test_moments_of_several_processes_are_one_spread():
    some = [control.Moments(3, [11.0, 12.0]), control.Moments(2, [10.5, 13.0])]
    found = fleet.spread(10.0, some)
    assert (found.sidecars, found.reached, found.p50_s, found.last_s) == (5, 4, 1.5, 3.0)
    assert math.isinf(fleet.spread(10.0, [control.Moments(2, [])]).p99_s)


def test_a_hollow_sidecar_holds_what_a_sidecar_reads_from_its_file():
    told = sidecar_config(7, control.Start(0, 9, ["127.0.0.1:1", "127.0.0.1:2"], region="c"))
    assert (told.name, told.agreement.group, told.agreement.region) == ("n7", "g0", "c")
    with SourceLoopOf("127.0.0.9") as loop:
        made = HollowSidecar(loop, told)
        assert (made.acting, made.list_version) == ("safe", 0)


def test_a_hollow_sidecar_opens_its_watch_anew_once_it_has_fallen_behind():
    async def play():
        registry = await Registry(current=True).start()
        start = control.Start(0, 9, [registry.address], region="c")
        made = HollowSidecar(asyncio.get_running_loop(), sidecar_config(7, start))
        made.discovery.start()
        await until(lambda: len(registry.watches) == 1)
        made.reopen_list_watch()
        await until(lambda: len(registry.watches) == 2)
        made.discovery.close()
        registry.stop()

    run_bounded(play(), 4 * PATIENCE_S, lambda: SourceLoop("127.0.0.9"))


class SourceLoopOf:
    """A loop that is closed at the end."""

    def __init__(self, source):
        self._loop = SourceLoop(source)

    def __enter__(self):
        return self._loop

    def __exit__(self, *told):
        self._loop.close()


@bounded(30.0)
async def test_a_small_hollow_fleet_acts_on_a_revision_and_its_counts_and_bytes_are_told(tmp_path):
    async with Environment(tmp_path) as environment:
        service = await start_service(environment)
        version = await register(service.address, LISTED)
        hollow = fleet.HollowFleet(environment)
        most = await hollow.start(SIDECARS - 1, [service.address], per_s=200.0)
        [single] = await hollow.start(1, [service.address])
        begun = asyncio.get_running_loop().time()
        told = await publish(service.address, {"caps": {"look": 1000.0}})
        await hollow.leased(15.0)
        acted = await reached(hollow, told, begun)
        assert (acted.sidecars, acted.reached) == (SIDECARS, SIDECARS)
        assert (await hollow.listed(version, begun)).reached == SIDECARS
        before = await hollow.snapshots()
        assert fleet.servers(before) == {service.address: 3 * SIDECARS}
        assert {held for each in before for held in each.list_versions} == {version}
        status = await service.status()
        assert (status["rules"]["may_act"], status["watches"]) == (SIDECARS, {"instances": 60, "/rules": 60})
        await reports(hollow, 3 * SIDECARS)
        rates = fleet.rates(before, await hollow.snapshots())
        report_bytes = rates.report_sent_bytes / rates.reports
        assert 80 < report_bytes < 500  # a short report with its head, and now and then a row of delays
        assert 0 < rates.report_received_bytes / rates.reports < 400
        await most[0].ask(control.Stop(0))
        await most[0].ask(control.Stop(1, farewell=False))
        after = await hollow.snapshots()
        assert sum(each.sidecars for each in after) == SIDECARS - 2
        assert single.process.returncode is None
    assert {worker.process.returncode for worker in hollow.workers} == {-signal.SIGKILL}


@bounded(60.0)
async def test_hollow_sidecars_behind_aggregators_are_counted_once_and_move_when_one_is_killed(tmp_path):
    async with Environment(tmp_path) as environment:
        made = await topology.with_aggregators(environment, LISTED)
        await made.publish()
        await made.start(BEHIND, per_s=200.0)
        await made.hollow.leased(20.0)
        at = fleet.servers(await made.hollow.snapshots())
        assert sum(at.values()) == 3 * BEHIND
        assert set(at) <= {each.address for each in made.aggregators}
        assert (await made.service.status())["rules"]["edges"] == 6
        await counted(made.service, BEHIND)
        await made.aggregators[0].kill()
        begun = asyncio.get_running_loop().time()
        assert (await reached(made.hollow, await made.publish(), begun)).reached == BEHIND
        after = fleet.servers(await made.hollow.snapshots())
        assert not after[made.aggregators[0].address]
        await counted(made.service, BEHIND)
        assert all(each.relay.passed[relay.UP] for each in made.aggregators)


async def publish(address, settings):
    from brassfall.controlplane.registry import client

    return (await client.call(address, "PUT", "/rules", body=settings))["edition"]


async def reached(hollow, revision, since):
    while True:
        found = await hollow.acted(revision, since)
        if found.reached == found.sidecars:
            return found
        await asyncio.sleep(0.05)


async def counted(service, children):
    """Wait until the service's directory has so many children."""
    while (await service.status())["aggregators"]["children"] != children:
        await asyncio.sleep(0.1)


async def reports(hollow, more):
    """Wait until so many more were answered."""
    before = sum(each.reports for each in await hollow.snapshots())
    while sum(each.reports for each in await hollow.snapshots()) < before + more:
        await asyncio.sleep(0.2)


@bounded(10.0)
async def test_a_relay_holds_back_what_a_cut_keeps_and_counts_what_passes():
    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data.upper())
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    way = relay.Relay(*server.sockets[0].getsockname()[:2])
    await way.start()
    host, port = way.address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"one")
    assert await reader.readexactly(3) == b"ONE"
    for cut, passed in ((relay.UP, 3), (relay.DOWN, 6)):
        way.partition(cut)
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(1), 0.1)
        assert way.passed[cut] == passed
        way.heal()
        assert await reader.readexactly(3) == b"TWO"
    assert way.passed == {relay.UP: 9, relay.DOWN: 9}
    await way.close()
    assert await reader.read() == b""
    server.close()


def test_the_command_ends_what_it_started_when_it_is_told_to_stop(tmp_path):
    words = ("lab", "capacity", "--out", str(tmp_path), "--parts", "reports", "--sizes", "20")
    made = subprocess.Popen(
        [sys.executable, "-m", "brassfall", *words], cwd=ROOT, stderr=subprocess.PIPE, text=True
    )
    for line in made.stderr:
        if "sidecars start" in line:
            break
    started = psutil.Process(made.pid).children(recursive=True)
    assert started
    os.kill(made.pid, signal.SIGINT)
    rest = made.stderr.read()
    assert made.wait(20.0) == 1
    assert "told to stop" in rest
    assert "Traceback" not in rest
    assert not [process for process in started if process.is_running()]


def test_a_hollow_process_ends_with_its_input():
    made = subprocess.run(
        [sys.executable, "-m", "brassfall.lab.capacity.hollow", "127.0.0.9"],
        input=msgspec.json.encode(control.AskSnapshot()) + b"\n",
        stdout=subprocess.PIPE,
        cwd=ROOT,
        timeout=20.0,
    )
    assert made.returncode == 0
    answer = msgspec.json.decode(made.stdout, type=control.Answer)
    assert (answer.sidecars, answer.reports, answer.by_server) == (0, 0, {})


def test_the_capacity_page_is_what_its_figures_give():
    path, held = ROOT / "docs" / "CAPACITY.md", ROOT / "docs" / "capacity" / "figures.json"
    text, measured = path.read_text(), measurements.read(held)
    assert page.filled(text, measured) == text
    named = {found["name"] for found in page.MARKED.finditer(text)}
    assert named == set(page.tables(measured))  # no table of the page lacks figures, and no figure a table
