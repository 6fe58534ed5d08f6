"""Names of request classes that clients may use after a reload."""

from __future__ import annotations

import asyncio

import pytest

from brassfall.sidecar.clients import known_classes, request_checks
from brassfall.sidecar.clients.known_classes import CLIENTS_LEARN_CLASSES_S, KnownClasses
from brassfall.sidecar.clients.request_message import RequestMessage
from brassfall.sidecar.reload import plan_reload
from tests.support.loopback import (
    OK,
    SETTINGS,
    App,
    ScriptedBalancer,
    Upstream,
    loopback,
    running,
    sidecar_config,
)


@pytest.mark.parametrize("second_names", [("view",), ("view", "see")])
@loopback
async def test_earlier_classes_are_still_served_after_two_reloads_in_a_row(second_names):
    def config_with_classes(*names):
        rows = [
            {"Name": name, "Semantics": "pure", "Objective": 2000.0, "Deadline": 5000.0} for name in names
        ]
        return sidecar_config([upstream], Profiles=rows)

    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        sidecar.apply_configuration(config_with_classes("view"))
        sidecar.apply_configuration(config_with_classes(*second_names))
        for target in ("/look", *(f"/{name}" for name in second_names)):
            assert (await app.ask("GET", target)).body == b"done"
        app.close()


@loopback
async def test_earlier_classes_are_kept_until_no_client_can_retry_their_requests(monkeypatch):
    """A client may use earlier names until 1.2 s after the reload, and retry until its deadline is over."""
    rows = [{"Name": "look", "Semantics": "pure", "Objective": 200.0, "Deadline": 9000.0}]
    async with running(Profiles=rows) as sidecar:
        delays = []
        loop = asyncio.get_running_loop()
        call_later = loop.call_later
        monkeypatch.setattr(
            loop, "call_later", lambda delay, *args: delays.append(delay) or call_later(delay, *args)
        )
        sidecar.apply_configuration(sidecar_config(Profiles=[{**rows[0], "Name": "view", "Deadline": 100.0}]))
        assert 10.2 in [pytest.approx(delay) for delay in delays]
        delays.clear()
        sidecar.apply_configuration(sidecar_config(Profiles=[{**rows[0], "Name": "see"}]))
        assert known_classes.EARLIER_CLASSES_KEPT_S in delays  # this minimum applies to short deadlines


def keyed_class(scope, key_ttl=750.0):
    """Return a configuration with one class, whose requests carry idempotency keys."""
    row = {"Name": "book", "Semantics": "token", "Group": scope, "KeyTtl": key_ttl}
    return sidecar_config(Profiles=[{**row, "Objective": 2000.0, "Deadline": 5000.0}])


@pytest.mark.parametrize(
    "changes", [{"scope": "all"}, {"scope": "zone"}, {"scope": "cell", "key_ttl": 5000.0}]
)
def test_a_class_with_other_limits_for_repeats_is_another_class(changes):
    """Guards against requests of the previous class that are sent again under the limits of the new one."""
    running_config = keyed_class("cell")
    plan = plan_reload(running_config, keyed_class(**changes), {0})
    assert plan.config.names.classes["book"].slot == 1 and not plan.same_classes
    assert plan.config.settings.profiles[0] == running_config.settings.profiles[0]
    assert plan_reload(running_config, keyed_class("cell"), {0}).same_classes == {0}


class ManualLoop:
    """Event loop whose time the test sets, in seconds."""

    now = 0.0

    def time(self):
        return self.now

    def get_debug(self):
        return False

    def call_later(self, delay, callback, *args):
        return asyncio.TimerHandle(self.now + delay, callback, args, self)


class CheckedRequest:
    """Request that records the slot of the class as which it was accepted."""

    slot = None

    def read_properties(self, message, names, not_forwarded):
        self.slot = request_checks.request_class(message, names).slot


def slot_of_request(classes):
    """Return the slot of the class as which a request is accepted now."""
    message, request = RequestMessage(), CheckedRequest()
    message.method, message.target = "POST", b"/book"
    message.header_block.add(b"X-Call-Class", b"book")
    message.header_block.add(b"Idempotency-Key", b"k1")
    classes.check_request(request, message, frozenset())
    return request.slot


@pytest.mark.parametrize(
    ("before", "after", "stricter_slot"), [("cell", "all", 0), ("zone", "all", 0), ("all", "cell", 1)]
)
def test_a_request_gets_the_rules_of_the_class_that_its_client_uses(before, after, stricter_slot):
    """Guards against requests that run twice after a reload: clients use the new class 1.2 s later."""
    loop, old = ManualLoop(), keyed_class(before)
    classes = KnownClasses(loop, old.names)
    classes.replace(plan_reload(old, keyed_class(after), {0}).config.names, 1200.0)
    slots = {}
    for offset in (-1.2, -0.2, -0.1, 0.1, 0.2, 2.0):
        loop.now = CLIENTS_LEARN_CLASSES_S + offset
        slots[offset] = slot_of_request(classes)
    assert [slots[-1.2], slots[-0.2]] == [0, 0]
    assert [slots[-0.1], slots[0.1]] == [stricter_slot, stricter_slot]
    assert [slots[0.2], slots[2.0]] == [1, 1]


def test_each_of_several_reloads_takes_effect_when_clients_use_it():
    """Guards against requests under the wrong class while new configurations come in quick succession."""
    loop, config = ManualLoop(), keyed_class("cell")
    classes = KnownClasses(loop, config.names)
    for reloaded_at, scope in ((0.0, "all"), (0.5, "zone"), (1.0, "cell")):
        loop.now = reloaded_at
        config = plan_reload(config, keyed_class(scope), classes.slots).config
        classes.replace(config.names, 1200.0)
    expected_slots = {1.0: 0, 1.4: 1, 1.9: 2, 2.4: config.names.classes["book"].slot}
    for at, slot in expected_slots.items():
        loop.now = at
        assert slot_of_request(classes) == slot


@loopback
async def test_a_request_just_after_a_reload_arrives_as_one_of_the_previous_class():
    """Guards against requests that clients still send under the previous class."""
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer()
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        profiles = sidecar.configuration.settings.profiles
        assert profiles[1].key_scope == "zone"
        rows = [dict(row) for row in SETTINGS["Profiles"]]
        rows[1]["Group"] = "all"
        sidecar.apply_configuration(sidecar_config([upstream], Profiles=rows))
        assert (await app.ask("POST", "/book", b"x")).body == b"done"
        ((arrival,),) = balancer.named("request")
        assert arrival.request_class == 1
        assert sidecar.configuration.settings.profiles[1] == profiles[1]
        assert sidecar.configuration.names.classes["book"].slot == 3
        app.close()
