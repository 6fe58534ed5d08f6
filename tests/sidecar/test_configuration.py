"""Bad configurations: one line with file, key and reason, and nothing else changes."""

from __future__ import annotations

import asyncio
import copy
import json
import math
import os

import pytest

from brassfall.sidecar import config, reload
from brassfall.sidecar.lifecycle.sidecar import Sidecar
from tests.support.loopback import SETTINGS, entry, listed, loopback
from tests.support.processes import environment, start_fails

WHOLE = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "operator": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "1",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "peer_listen": "127.0.0.1:0",
    "peers": ["127.0.0.1:1"],
    "peers_all": "127.0.0.1:2",
    "known": listed(1, entry("s0")),
    "settings": SETTINGS | {"Goal": {"Whole": 0.5, "WorstClass": 0.5}, "Prices": {"cancel": 1.0}},
}
VALUES = [
    *("soon", "", "5", "127.0.0.1:x", "a..b:1", "a\x00b:1", "\ud800", "a\nb"),
    *(None, True, False, [], {}, [None], [[]], {"x": 1}, ["x"]),
    *(math.nan, math.inf, -math.inf, 0, -1, -0.5, 1e308, 10**30),
]


def places(value, at=()):
    """Where there is something in a configuration."""
    yield at
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, part in items:
        yield from places(part, (*at, key))


def put(at, value):
    """The whole configuration with another value somewhere."""
    made = copy.deepcopy(WHOLE)
    if not at:
        return value
    part = made
    for key in at[:-1]:
        part = part[key]
    part[at[-1]] = value
    return made


def load(tmp_path, text):
    path = tmp_path / "config.json"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return config.load({"NODE_CONFIG": str(path)})


@pytest.mark.parametrize("at", list(places(WHOLE)), ids=lambda at: ".".join(map(str, at)) or "all")
def test_any_value_of_any_key_is_accepted_or_rejected_in_one_line(tmp_path, at):
    running = config.parse(WHOLE, {})
    for value in VALUES:
        try:
            news = load(tmp_path, json.dumps(put(at, value)))
            reload.plan_reload(running, news, ())
        except config.ConfigError as error:
            assert len(str(error).splitlines()) == 1  # noqa: PT017 - most files are taken


@pytest.mark.parametrize(
    ("at", "value", "key"),
    [
        (("limits", "sockets"), -1, "limits.sockets"),
        (("limits", "sockets"), "many", "limits.sockets"),
        (("limits", "sockets"), math.nan, "limits.sockets"),
        (("limits", "memory_mb"), math.inf, "limits.memory_mb"),
        (("limits", "memory_mb"), {}, "limits.memory_mb"),
        (("limits",), [], "limits"),
        (("listen",), "nowhere", "listen"),
        (("listen",), "a..b:1", "listen"),
        (("discovery",), "a\x00b:1", "discovery"),
        (("operator",), "host:99999", "operator"),
        (("peers",), ["x"], "peers"),
        (("peer_listen",), "host:²", "peer_listen"),
        (("known", "endpoints", 0, "weight"), math.nan, "known: endpoints[0]"),
        (("known", "endpoints", 0, "weight"), -1.0, "known: endpoints[0]"),
        (("known", "endpoints", 0, "weight"), math.inf, "known: endpoints[0]"),
        (("known", "endpoints", 0, "name"), "\ud800", "known: endpoints[0]"),
        (("known", "endpoints", 0, "name"), "s\r\nX-Call-Id: 1", "known: endpoints[0]"),
        (("known", "endpoints", 0, "address"), "host:²", "known: endpoints[0]"),
        (("fleet",), {"registry": ["a..b:1"]}, "fleet.registry"),
        (("known", "endpoints", 0), None, "known: endpoints[0]"),
        (("settings", "Profiles"), [], "Profiles"),
        (("settings", "Profiles", 0, "Semantics"), "sometimes", "Semantics"),
        (("settings", "PolicyLimits", "MaxOpen"), "x", "PolicyLimits.MaxOpen"),
        (("settings", "Rules", "StopSendingWithin"), math.nan, "StopSendingWithin"),
        (("settings", "Tenants", 0), {}, "Tenants"),
        (("settings", "Tenants"), [1], "Tenants"),
        (("seed",), "\ud800", "seed"),
    ],
)
def test_the_error_names_file_and_key(tmp_path, at, value, key):
    with pytest.raises(config.ConfigError) as caught:
        load(tmp_path, json.dumps(put(at, value)))
    said = str(caught.value)
    assert str(tmp_path / "config.json") in said and key in said
    assert len(said.splitlines()) == 1


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b"\xff\xfe{",
        b"\xef\xbb\xbf{}",
        b"[" * 200_000,
        b'{"a":' * 100_000,
        b"1" * 10_000,
        b" " * (config.MAX_FILE_BYTES + 1),
        json.dumps(WHOLE).encode() + b"}",
    ],
    ids=range(9),
)
def test_a_file_that_is_no_configuration_is_rejected_in_one_line(tmp_path, text):
    with pytest.raises(config.ConfigError) as caught:
        load(tmp_path, text)
    said = str(caught.value)
    assert str(tmp_path / "config.json") in said and len(said.splitlines()) == 1 and len(said) < 500


@pytest.mark.parametrize("kind", ["missing", "folder", "pipe", "device", "loop"])
def test_a_path_that_is_no_regular_file_is_rejected_without_waiting(tmp_path, kind):
    path = tmp_path / kind
    if kind == "folder":
        path.mkdir()
    elif kind == "pipe":
        os.mkfifo(path)  # nobody writes there: a plain reader would wait for ever
    elif kind == "device":
        path.symlink_to("/dev/zero")
    elif kind == "loop":
        path.symlink_to(path)
    with pytest.raises(config.ConfigError) as caught:
        config.load({"NODE_CONFIG": str(path)})
    assert str(path) in str(caught.value)


@pytest.mark.parametrize("name", ["NODE_LISTEN", "NODE_DISCOVERY", "NODE_OPERATOR"])
def test_the_error_names_the_variable_that_replaces_a_key(tmp_path, name):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(WHOLE))
    with pytest.raises(config.ConfigError, match=f"{name}: 'nowhere' is not an address"):
        config.load({"NODE_CONFIG": str(path), name: "nowhere"})


def test_a_bad_file_at_startup_exits_with_2_and_names_file_key_and_reason(tmp_path):
    env = environment(tmp_path, limits={"sockets": "many"})
    code, said = start_fails(env)
    assert code == 2
    assert all(part in said for part in (env["NODE_CONFIG"], "limits.sockets", "'many'", "correct the file"))


@loopback
async def test_a_bad_file_at_a_reload_changes_nothing_and_is_named(tmp_path, capsys):
    made = Sidecar(asyncio.get_running_loop(), config.parse(WHOLE, {}))
    made.lifecycle.serve()
    before = made.configuration
    path = tmp_path / "config.json"
    for at, value in (
        (("known", "endpoints", 0, "weight"), math.nan),
        (("limits", "sockets"), []),
        ((), None),
    ):
        path.write_text(json.dumps(put(at, value)))
        made.reload({"NODE_CONFIG": str(path)})
        said = capsys.readouterr().err
        assert made.configuration is before
        assert len(said.splitlines()) == 1 and str(path) in said
        assert "configuration rejected, nothing is changed" in said
