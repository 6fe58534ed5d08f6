"""Invalid configurations: the error is one line with file, key and reason, and nothing else changes."""

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

COMPLETE = {
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
ODD_VALUES = [
    *("soon", "", "5", "127.0.0.1:x", "a..b:1", "a\x00b:1", "\ud800", "a\nb"),
    *(None, True, False, [], {}, [None], [[]], {"x": 1}, ["x"]),
    *(math.nan, math.inf, -math.inf, 0, -1, -0.5, 1e308, 10**30),
]


def key_paths(value, path=()):
    """Yield the path of keys to each value in a configuration."""
    yield path
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, item in items:
        yield from key_paths(item, (*path, key))


def replaced(path, value):
    """Return the complete configuration with another value at a path of keys."""
    raw = copy.deepcopy(COMPLETE)
    if not path:
        return value
    parent = raw
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return raw


def load(tmp_path, text):
    path = tmp_path / "config.json"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return config.load({"NODE_CONFIG": str(path)})


@pytest.mark.parametrize(
    "key_path", list(key_paths(COMPLETE)), ids=lambda path: ".".join(map(str, path)) or "all"
)
def test_any_value_of_any_key_is_accepted_or_rejected_in_one_line(tmp_path, key_path):
    running = config.parse(COMPLETE, {})
    for value in ODD_VALUES:
        try:
            loaded = load(tmp_path, json.dumps(replaced(key_path, value)))
            reload.plan_reload(running, loaded, ())
        except config.ConfigError as error:
            assert len(str(error).splitlines()) == 1  # noqa: PT017 - most of the files are valid


@pytest.mark.parametrize(
    ("key_path", "value", "key"),
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
def test_the_error_names_file_and_key(tmp_path, key_path, value, key):
    with pytest.raises(config.ConfigError) as caught:
        load(tmp_path, json.dumps(replaced(key_path, value)))
    message = str(caught.value)
    assert str(tmp_path / "config.json") in message and key in message
    assert len(message.splitlines()) == 1


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
        json.dumps(COMPLETE).encode() + b"}",
    ],
    ids=range(9),
)
def test_a_file_without_a_valid_json_configuration_is_rejected_in_one_line(tmp_path, text):
    with pytest.raises(config.ConfigError) as caught:
        load(tmp_path, text)
    message = str(caught.value)
    assert str(tmp_path / "config.json") in message and len(message.splitlines()) == 1 and len(message) < 500


@pytest.mark.parametrize("kind", ["missing", "folder", "pipe", "device", "loop"])
def test_a_path_to_no_regular_file_is_rejected_without_blocking(tmp_path, kind):
    path = tmp_path / kind
    if kind == "folder":
        path.mkdir()
    elif kind == "pipe":
        os.mkfifo(path)  # The pipe has no writer, so that a blocking open would never return
    elif kind == "device":
        path.symlink_to("/dev/zero")
    elif kind == "loop":
        path.symlink_to(path)
    with pytest.raises(config.ConfigError) as caught:
        config.load({"NODE_CONFIG": str(path)})
    assert str(path) in str(caught.value)


@pytest.mark.parametrize("name", ["NODE_LISTEN", "NODE_DISCOVERY", "NODE_OPERATOR"])
def test_the_error_names_the_environment_variable_with_an_invalid_address(tmp_path, name):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(COMPLETE))
    with pytest.raises(config.ConfigError, match=f"{name}: 'nowhere' is not an address"):
        config.load({"NODE_CONFIG": str(path), name: "nowhere"})


def test_an_invalid_file_at_startup_exits_with_2_and_names_file_key_and_reason(tmp_path):
    env = environment(tmp_path, limits={"sockets": "many"})
    code, output = start_fails(env)
    assert code == 2
    assert all(
        part in output for part in (env["NODE_CONFIG"], "limits.sockets", "'many'", "correct the file")
    )


@loopback
async def test_an_invalid_file_at_a_reload_changes_nothing_and_is_named(tmp_path, capsys):
    sidecar = Sidecar(asyncio.get_running_loop(), config.parse(COMPLETE, {}))
    sidecar.lifecycle.serve()
    before = sidecar.configuration
    path = tmp_path / "config.json"
    for key_path, value in (
        (("known", "endpoints", 0, "weight"), math.nan),
        (("limits", "sockets"), []),
        ((), None),
    ):
        path.write_text(json.dumps(replaced(key_path, value)))
        sidecar.reload({"NODE_CONFIG": str(path)})
        log = capsys.readouterr().err
        assert sidecar.configuration is before
        assert len(log.splitlines()) == 1 and str(path) in log and "nothing is changed" in log
