"""A reload applies the complete file or nothing, and open requests keep the settings of their arrival."""

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
from brassfall.balancer.model import FailRequest, Outcome, RefuseRequest, SendAttempt
from brassfall.sidecar import config, reload
from brassfall.sidecar.clients import known_classes
from tests.support.helpers import make_balancer, of_type, raw_settings
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
    """Return a complete configuration, with some settings replaced."""
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


def reload_plan(running_config, new, busy=()):
    """Return the plan of a reload from a new configuration."""
    return reload.plan_reload(running_config, config.parse(new, {}), busy)


def test_classes_keep_their_slots_and_freed_slots_are_reused():
    first = config.parse(raw(Profiles=[row("a"), row("b"), row("c")]), {})
    second = reload_plan(first, raw(Profiles=[row("c"), row("d"), row("b", "side_effect")]))
    assert {name: kind.slot for name, kind in second.config.names.classes.items()} == {"c": 2, "d": 3, "b": 4}
    assert second.same_classes == {2}
    assert [p.semantics for p in second.config.settings.profiles] == ["pure"] * 4 + ["side_effect"]
    # Clients no longer use "a" and the old "b", but a request of class "a" is still open.
    third = reload_plan(second.config, raw(Profiles=[row("c"), row("e")]), busy={0})
    assert {name: kind.slot for name, kind in third.config.names.classes.items()} == {"c": 2, "e": 1}


def test_the_number_of_slots_does_not_grow_with_the_number_of_reloads():
    running_config = config.parse(raw(), {})
    rng = random.Random(3)
    for _ in range(200):
        names = rng.sample("abcdefghij", 4)
        running_config = reload_plan(running_config, raw(Profiles=[row(name) for name in names])).config
    assert len(running_config.settings.profiles) <= 8


def changed_text(path, value):
    """Return the JSON of a configuration with another value at a path, or with none if it is None."""
    configuration = raw()
    parent = configuration
    for key in path[:-1]:
        parent = parent[key]
    if value is None:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return json.dumps(configuration)


DEADLINE = ("settings", "Profiles", 1, "Deadline")
ATTEMPTS = ("settings", "PolicyLimits", "MaxAttempts")
INVALID_TEXTS = [
    "",
    "{",
    json.dumps(raw())[:-40],
    "[]",
    "null",
    "[" * 100000,
    *(changed_text((key,), None) for key in ("name", "listen", "discovery", "known", "limits", "settings")),
    *(changed_text(("settings", key), None) for key in ("Profiles", "PolicyLimits", "Rules", "Me", "Report")),
    *(
        changed_text(("settings", "Profiles", 1, key), None)
        for key in ("Name", "Semantics", "Deadline", "Objective")
    ),
    changed_text(ATTEMPTS, None),
    *(changed_text(DEADLINE, value) for value in ("soon", "5000", True, math.nan, math.inf, 0, -1, [], {})),
    *(changed_text(ATTEMPTS, value) for value in ("4", True, math.nan, 0, -1, [])),
    changed_text(("settings", "Profiles", 1, "Name"), "look"),
    changed_text(("discovery",), "nowhere"),
    changed_text(("known", "index"), math.inf),
]


@pytest.mark.parametrize("text", INVALID_TEXTS)
def test_an_invalid_file_is_rejected_with_one_line(tmp_path, text):
    path = tmp_path / "config.json"
    path.write_text(text)
    before = config.parse(raw(), {})
    with pytest.raises(config.ConfigError) as caught:
        reload.plan_reload(before, config.load({"NODE_CONFIG": str(path)}), ())
    assert len(str(caught.value).splitlines()) == 1 and str(caught.value)


def test_a_reload_of_an_unchanged_file_gives_the_same_configuration():
    before = config.parse(raw(), {})
    assert reload_plan(before, raw()).config == before


def test_values_that_need_a_restart_are_reported_and_not_changed():
    before = config.parse(raw(), {})
    new = raw(Me=5, Kinds=["other"])
    new["listen"] = "127.0.0.1:4242"
    new["limits"]["sockets"] = 512
    after = reload_plan(before, new)
    assert after.pending_restart == ("me", "kinds", "listen", "limits")
    assert after.config.listen == before.listen and after.config.settings.me == before.settings.me


def settings(*names, attempts=4):
    return Settings.parse(raw_settings(*names, PolicyLimits={"MaxAttempts": attempts}))


def test_an_open_request_keeps_its_limit_of_attempts_and_a_later_one_gets_the_new_limit():
    balancer = make_balancer("safe")
    balancer.step(0.0, RequestArrived(1, 0, 1000.0))
    balancer.step(1.0, SettingsReloaded(settings("safe", attempts=1), {0}))
    balancer.step(2.0, RequestArrived(2, 0, 1000.0))
    assert of_type(balancer.step(3.0, AttemptEnded(1, 0, Outcome.ERROR, 3.0)), SendAttempt)
    assert not of_type(balancer.step(4.0, AttemptEnded(2, 0, Outcome.ERROR, 2.0)), SendAttempt)


def test_an_open_request_keeps_its_semantics():
    balancer = make_balancer("unsafe")
    balancer.step(0.0, RequestArrived(1, 0, 1000.0))
    balancer.step(1.0, SettingsReloaded(settings("safe"), set()))
    actions = balancer.step(2.0, AttemptEnded(1, 0, Outcome.TIMEOUT, 2.0))
    assert (
        not of_type(actions, SendAttempt)
        and not of_type(actions, RefuseRequest)
        and of_type(actions, FailRequest)
    )


def test_ejections_throttle_and_shedding_state_survive_a_reload():
    balancer = make_balancer("safe", "unsafe")
    for number in range(40):
        balancer.step(float(number), RequestArrived(number, number % 2, 1e6))
        balancer.step(number + 0.5, AttemptEnded(number, 0, Outcome.REJECTED, 0.5))
    ejections = {name: server.ejected_until for name, server in balancer.components.endpoints.servers.items()}
    throttle, level = balancer.components.throttle.requests, balancer.components.shedder.probability(50.0)
    balancer.step(50.0, SettingsReloaded(settings("safe", "keyed", "safe"), {0}))
    assert {
        name: server.ejected_until for name, server in balancer.components.endpoints.servers.items()
    } == ejections
    assert (balancer.components.throttle.requests, balancer.components.shedder.probability(50.0)) == (
        throttle,
        level,
    )
    assert balancer.components.shedder.request_classes == {0}
    assert (
        len(balancer.components.zone_spillover.spill_shares)
        == len(balancer.components.zone_spillover.spill_margins)
        == 3
    )


@loopback
async def test_new_classes_are_served_at_once_and_removed_ones_for_a_while(monkeypatch):
    monkeypatch.setattr(known_classes, "EARLIER_CLASSES_KEPT_S", 0.2)
    upstream = await Upstream([OK]).start()
    new = [row("view"), row("book", "side_effect")]
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        plan = reload_plan(
            sidecar_config([upstream]),
            raw(Profiles=new),
            sidecar.driver.request_classes | sidecar.inbound.request_classes,
        )
        sidecar.driver.reload(plan.config, plan.same_classes)
        sidecar.inbound.reload(plan.config.names)
        for target, method in (("/view", "GET"), ("/look", "GET"), ("/book", "POST")):
            assert (await app.ask(method, target)).body == b"done"
        assert (await app.ask("POST", "/book", Idempotency_Key=None)).body == b"done"
        await until(
            lambda: (
                sidecar.inbound.request_classes == {kind.slot for kind in plan.config.names.classes.values()}
            )
        )
        assert (await app.ask("GET", "/look")).start.split(" ")[1] == "400"
        assert (await app.ask("GET", "/view")).body == b"done"


@loopback
async def test_a_process_applies_a_valid_file_only_while_a_request_is_open(tmp_path):
    old, new = await Registry().start(), await Registry().start()
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([wait, OK]).start()
    sidecar = await Process.start(tmp_path, upstream, discovery=old.address)
    await until(lambda: old.watches)
    sidecar.app.send("POST", "/pay")
    await until(lambda: upstream.seen)
    path = tmp_path / "config.json"
    valid = json.loads(path.read_text())
    changed = {**valid, "discovery": new.address}
    changed["settings"] = {**valid["settings"], "Profiles": [row("look"), row("view")]}
    invalid = {**changed, "settings": {**changed["settings"], "PolicyLimits": {}}}
    for text in ("", json.dumps(invalid), json.dumps(changed)):
        path.write_text(text)
        sidecar.process.send_signal(signal.SIGHUP)
        if text != json.dumps(changed):
            app = await App.connect(sidecar.address)
            assert (await app.ask("GET", "/health/ready", X_Call_Class=None)).start.split(" ")[1] == "200"
            assert (await app.ask("GET", "/view")).start.split(" ")[1] == "400"
            assert not new.watches
    await until(lambda: new.watches)
    app = await App.connect(sidecar.address)
    assert (await app.ask("GET", "/view")).body == b"done"
    release.set()
    assert (await sidecar.app.answer()).body == b"done"
    sidecar.process.terminate()
    assert await sidecar.process.wait() == 0
    for partner in (old, new, upstream):
        partner.stop()
