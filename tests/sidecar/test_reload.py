"""A reload takes the whole file or nothing, and requests keep the rules with which they came."""

from __future__ import annotations

import asyncio
import copy
import json
import math
import random
import signal

import pytest

from brassfall.balancer import Settings
from brassfall.balancer.events import AttemptEnded, RequestArrived, SettingsReloaded
from brassfall.balancer.model import Fail, Outcome, Refuse, Send
from brassfall.sidecar import config, reload
from brassfall.sidecar.clients import known_classes
from tests.support.helpers import balancer, of_type, raw_settings
from tests.support.loopback import (
    OK,
    SETTINGS,
    App,
    Registry,
    Upstream,
    listed,
    loopback,
    running,
    sidecar_config,
    until,
)
from tests.support.processes import Process


def raw(**settings):
    """A configuration with nothing left out."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": listed(1),
        "settings": {**copy.deepcopy(SETTINGS), **settings},
    }


def row(name, semantics="pure", **changes):
    return {"Name": name, "Semantics": semantics, "Objective": 2000.0, "Deadline": 5000.0, **changes}


def take(running_config, new, busy=()):
    return reload.successor(running_config, config.parse(new, {}), busy)


def test_classes_keep_their_slots_and_slots_are_used_again():
    first = config.parse(raw(Profiles=[row("a"), row("b"), row("c")]), {})
    second = take(first, raw(Profiles=[row("c"), row("d"), row("b", "side_effect")]))
    assert {name: kind.slot for name, kind in second.config.names.classes.items()} == {"c": 2, "d": 3, "b": 4}
    assert second.same_classes == {2}
    assert [p.semantics for p in second.config.settings.profiles] == ["pure"] * 4 + ["side_effect"]
    # Clients name "a" and the old "b" no more, but a request of "a" is still open.
    third = take(second.config, raw(Profiles=[row("c"), row("e")]), busy={0})
    assert {name: kind.slot for name, kind in third.config.names.classes.items()} == {"c": 2, "e": 1}


def test_tables_do_not_grow_with_the_number_of_reloads():
    running_config = config.parse(raw(), {})
    rng = random.Random(3)
    for _ in range(200):
        names = rng.sample("abcdefghij", 4)
        running_config = take(running_config, raw(Profiles=[row(name) for name in names])).config
    assert len(running_config.settings.profiles) <= 8


def broken(path, value):
    made = raw()
    at = made
    for key in path[:-1]:
        at = at[key]
    if value is None:
        del at[path[-1]]
    else:
        at[path[-1]] = value
    return json.dumps(made)


DEADLINE = ("settings", "Profiles", 1, "Deadline")
ATTEMPTS = ("settings", "PolicyLimits", "MaxAttempts")
BROKEN = [
    "",
    "{",
    json.dumps(raw())[:-40],
    "[]",
    "null",
    "[" * 100000,
    *(broken((key,), None) for key in ("name", "listen", "discovery", "known", "limits", "settings")),
    *(broken(("settings", key), None) for key in ("Profiles", "PolicyLimits", "Rules", "Me", "Report")),
    *(
        broken(("settings", "Profiles", 1, key), None)
        for key in ("Name", "Semantics", "Deadline", "Objective")
    ),
    broken(ATTEMPTS, None),
    *(broken(DEADLINE, value) for value in ("soon", "5000", True, math.nan, math.inf, 0, -1, [], {})),
    *(broken(ATTEMPTS, value) for value in ("4", True, math.nan, 0, -1, [])),
    broken(("settings", "Profiles", 1, "Name"), "look"),
    broken(("discovery",), "nowhere"),
    broken(("known", "index"), math.inf),
]


@pytest.mark.parametrize("text", BROKEN)
def test_nothing_is_taken_from_a_broken_file(tmp_path, text):
    path = tmp_path / "config.json"
    path.write_text(text)
    before = config.parse(raw(), {})
    with pytest.raises(config.ConfigError) as caught:
        reload.successor(before, config.load({"NODE_CONFIG": str(path)}), ())
    assert len(str(caught.value).splitlines()) == 1 and str(caught.value)


def test_a_whole_file_is_no_broken_one():
    before = config.parse(raw(), {})
    assert take(before, raw()).config == before


def test_what_needs_a_restart_is_named_and_left():
    before = config.parse(raw(), {})
    new = raw(Me=5, Kinds=["other"])
    new["listen"] = "127.0.0.1:4242"
    new["limits"]["sockets"] = 512
    after = take(before, new)
    assert after.pending_restart == ("me", "kinds", "listen", "limits")
    assert after.config.listen == before.listen and after.config.settings.me == before.settings.me


def settings(*names, attempts=4):
    return Settings.parse(raw_settings(*names, PolicyLimits={"MaxAttempts": attempts}))


def test_an_open_request_keeps_its_limit_of_attempts_and_a_later_one_has_the_new():
    made = balancer("safe")
    made.step(0.0, RequestArrived(1, 0, 1000.0))
    made.step(1.0, SettingsReloaded(settings("safe", attempts=1), {0}))
    made.step(2.0, RequestArrived(2, 0, 1000.0))
    assert of_type(made.step(3.0, AttemptEnded(1, 0, Outcome.ERROR, 3.0)), Send)
    assert not of_type(made.step(4.0, AttemptEnded(2, 0, Outcome.ERROR, 2.0)), Send)


def test_an_open_request_keeps_its_semantics():
    made = balancer("unsafe")
    made.step(0.0, RequestArrived(1, 0, 1000.0))
    made.step(1.0, SettingsReloaded(settings("safe"), set()))
    actions = made.step(2.0, AttemptEnded(1, 0, Outcome.TIMEOUT, 2.0))
    assert not of_type(actions, Send) and not of_type(actions, Refuse) and of_type(actions, Fail)


def test_what_was_learned_of_servers_and_of_retained_classes_is_kept():
    made = balancer("safe", "unsafe")
    for number in range(40):
        made.step(float(number), RequestArrived(number, number % 2, 1e6))
        made.step(number + 0.5, AttemptEnded(number, 0, Outcome.FULL, 0.5))
    strikes = {name: server.ejected_until for name, server in made.components.endpoints.servers.items()}
    throttle, level = made.components.throttle.requests, made.components.shedder.probability(50.0)
    made.step(50.0, SettingsReloaded(settings("safe", "keyed", "safe"), {0}))
    assert {
        name: server.ejected_until for name, server in made.components.endpoints.servers.items()
    } == strikes
    assert (made.components.throttle.requests, made.components.shedder.probability(50.0)) == (throttle, level)
    assert made.components.shedder.request_classes == {0}
    assert len(made.components.zones.spill) == len(made.components.zones.margins) == 3


@loopback
async def test_new_classes_are_served_and_old_ones_for_a_while(monkeypatch):
    monkeypatch.setattr(known_classes, "EARLIER_CLASSES_KEPT_S", 0.2)
    upstream = await Upstream([OK]).start()
    new = [row("view"), row("book", "side_effect")]
    async with running(upstream) as made:
        app = await App.connect(made.address)
        news = take(
            sidecar_config([upstream]),
            raw(Profiles=new),
            made.driver.request_classes | made.inbound.request_classes,
        )
        made.driver.reload(news.config, news.same_classes)
        made.inbound.reload(news.config.names)
        for target, method in (("/view", "GET"), ("/look", "GET"), ("/book", "POST")):
            assert (await app.ask(method, target)).body == b"done"
        assert (await app.ask("POST", "/book", Idempotency_Key=None)).body == b"done"
        await until(
            lambda: made.inbound.request_classes == {kind.slot for kind in news.config.names.classes.values()}
        )
        assert (await app.ask("GET", "/look")).start.split(" ")[1] == "400"
        assert (await app.ask("GET", "/view")).body == b"done"


@loopback
async def test_a_process_reloads_under_an_open_request(tmp_path):
    old, new = await Registry().start(), await Registry().start()
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([wait, OK]).start()
    made = await Process.start(tmp_path, upstream, discovery=old.address)
    await until(lambda: old.watches)
    made.app.send("POST", "/pay")
    await until(lambda: upstream.seen)
    path = tmp_path / "config.json"
    good = json.loads(path.read_text())
    changed = {**good, "discovery": new.address}
    changed["settings"] = {**good["settings"], "Profiles": [row("look"), row("view")]}
    bad = {**changed, "settings": {**changed["settings"], "PolicyLimits": {}}}
    for text in ("", json.dumps(bad), json.dumps(changed)):
        path.write_text(text)
        made.process.send_signal(signal.SIGHUP)
        if text != json.dumps(changed):
            app = await App.connect(made.address)
            assert (await app.ask("GET", "/health/ready", X_Call_Class=None)).start.split(" ")[1] == "200"
            assert (await app.ask("GET", "/view")).start.split(" ")[1] == "400"
            assert not new.watches
    await until(lambda: new.watches)
    app = await App.connect(made.address)
    assert (await app.ask("GET", "/view")).body == b"done"
    release.set()
    assert (await made.app.answer()).body == b"done"
    made.process.terminate()
    assert await made.process.wait() == 0
    for partner in (old, new, upstream):
        partner.stop()
