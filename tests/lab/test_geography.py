"""The lab's far regions: delays by group and zone in both modes, plans, and sidecars that follow them."""

from __future__ import annotations

import subprocess
import sys

import pytest

from brassfall.lab import day, ledger, play, runner, spec, steering
from brassfall.lab.play import Order
from brassfall.settings import SettingsError
from tests.support.processes import ROOT

HEAD = (
    '[experiment]\nname = "t"\nmode = "simulated"\nfor = "12 s"\n[load]\nshare = 0.3\n'
    '[fleet]\nsidecars = 4\nservers = 6\nzones = ["a", "b"]\n[network]\njitter = 0.0\n'
)
PLACE = '[[geography.groups]]\nname = "x"\nzone = "a"\ndelays = { a = "2 ms", b = "40 ms" }\n'
ROUTE = '[[geography.changes]]\nat = "6 s"\ngroup = "x"\ndelays = { a = "60 ms" }\n'
TRUE = '[[versions]]\nname = "v"\nsteer = "true"\n'
HELD = '[[versions]]\nname = "v"\nholds = [{ zone = "a", from = "2 s", to = "6 s" }]\n'


def simulated(tmp_path, text):
    """Play the one version; its attempts, by the zone of their server."""
    (tmp_path / "e.toml").write_text(text)
    result = play.simulate(Order(str(tmp_path / "e.toml"), "v", 1, str(tmp_path / "out")))
    assert result.judgement is not None and not result.judgement.findings
    rows = list(ledger.read(tmp_path / "out", ledger.Attempt))
    return [[row for row in rows if int(row.server[1:]) % 2 == zone] for zone in (0, 1)]


def test_a_way_takes_as_long_as_the_group_is_far_and_as_its_route_changes(tmp_path):
    near, far = simulated(tmp_path, HEAD.replace("12 s", "16 s") + PLACE + ROUTE + TRUE)
    early = [row for row in near if row.sent < 5900.0]
    late = [row for row in near if row.sent > 6000.0]
    assert [min(row.at - row.sent for row in rows) for rows in (early, late, far)] == pytest.approx(
        [2.0, 60.0, 40.0], abs=0.01
    )
    # By the true delays nearly all go near, and far once the plan has followed the route.
    assert len([row for row in far if row.sent < 5900.0]) < 0.35 * len(early)
    after = [row for row in near if row.sent > 14_200.0]
    assert len(after) < 0.5 * len([row for row in far if row.sent > 14_200.0])


def test_a_zone_that_is_held_off_is_sent_nothing(tmp_path):
    near, far = simulated(tmp_path, HEAD + PLACE + HELD)
    assert not [row for row in near if 2000.0 < row.sent < 6000.0]
    assert len([row for row in far if 2000.0 < row.sent < 6000.0]) > 100
    assert (
        0
        < len([row for row in near if 6000.0 < row.sent < 7000.0])
        < 0.5 * len([row for row in near if row.sent < 1000.0])
    )


@pytest.mark.parametrize(
    ("loads", "rooms", "wanted"),
    [
        ([1.0, 1.0], [2.0, 2.0], [{0: 0.98, 1: 0.02}, {0: 0.02, 1: 0.98}]),
        ([3.0, 1.0], [2.0, 4.0], [{0: 0.66, 1: 0.34}, {0: 0.02, 1: 0.98}]),  # what is near is too small
        ([1.0, 1.0], [0.0, 3.0], [{1: 1.0}, {1: 1.0}]),
        ([1.0, 1.0], [0.5, 0.5], [{0: 0.5, 1: 0.5}, {0: 0.5, 1: 0.5}]),  # all is too small
    ],
)
def test_a_plan_takes_the_least_delay_that_there_is_room_for(loads, rooms, wanted):
    made = steering.ideal_shares(((1.0, 50.0), (50.0, 1.0)), loads, rooms, 0.02)
    assert made == [pytest.approx(row, abs=0.005) for row in wanted]


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        (PLACE.replace('zone = "a"', 'zone = "c"'), "geography.groups[0]"),
        (PLACE.replace(', b = "40 ms"', ""), "geography.groups[0]"),
        (PLACE + ROUTE.replace('"x"', '"y"'), "geography.changes[0]"),
        (TRUE, "versions[0]: steered"),
        (PLACE + HELD.replace('"a"', '"c"'), "versions[0]: shares and holds"),
        (PLACE.replace("[[geo", "[experiment.x]\n[[geo"), "experiment"),
    ],
)
def test_a_bad_geography_is_refused(tmp_path, text, reason):
    (tmp_path / "e.toml").write_text(HEAD + text)
    with pytest.raises(SettingsError) as error:
        runner.prepare(tmp_path / "e.toml", tmp_path / "out", print)
    assert reason in str(error.value)


def test_without_a_geography_a_group_is_a_zone(tmp_path):
    (tmp_path / "e.toml").write_text(HEAD)
    drawn = day.sample_day(spec.load(tmp_path / "e.toml"), 1)
    assert [app.group for app in drawn.apps] == [app.zone for app in drawn.apps] == [0, 1, 0, 1]
    assert drawn.routes == ((0.0, drawn.delays.between),) and drawn.delays.homes == (0, 1)


def test_a_real_network_takes_as_long(tmp_path):
    both = "".join(
        f'[[geography.groups]]\nname = "{zone}x"\nzone = "{zone}"\ndelays = {{ a = "50 ms", b = "50 ms" }}\n'
        for zone in "ab"
    )
    text = HEAD.replace("simulated", "real").replace("12 s", "3 s").replace("share = 0.3", 'rate = "60 /s"')
    (tmp_path / "e.toml").write_text(text + both)
    words = [sys.executable, "-m", "brassfall", "lab", "run", str(tmp_path / "e.toml")]
    done = subprocess.run([*words, "--out", str(tmp_path / "out")], cwd=ROOT, capture_output=True, text=True)
    assert done.returncode in (0, 1), done.stderr
    folder = tmp_path / "out" / "plays" / "now-1"
    took = [row.end - row.sent for row in ledger.read(folder, ledger.Answer) if row.status == "served"]
    assert len(took) > 60 and min(took) > 100.0
