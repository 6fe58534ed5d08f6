"""Reloads while requests are open: values derived from settings, and the slots of request classes."""

from __future__ import annotations

import asyncio
import copy
import math
import random
from dataclasses import fields, replace

import pytest

from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import (
    AttemptEnded,
    EndpointListReceived,
    RequestArrived,
    SettingsReloaded,
    TimerDue,
)
from brassfall.balancer.model import (
    CloseIdleConnections,
    EndpointEntry,
    IdleCloseTimer,
    KeyPauseTimer,
    ListForm,
    Outcome,
    SendAttempt,
    StartTimer,
)
from brassfall.sidecar import config, reload
from brassfall.sidecar.clients import inbound
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.process_state import ProcessLifecycle
from brassfall.sidecar.discovery.endpoint_list import parse_list
from brassfall.sidecar.servers import pool as pool_module
from tests.sidecar.test_reload import raw, reload_plan, row
from tests.support.helpers import (
    CLASSES,
    attempt_answered,
    endpoint_entries,
    make_balancer,
    of_type,
    raw_settings,
    request_arrival,
)
from tests.support.loopback import OK, App, Upstream, entry, listed, loopback, running, sidecar_config

EFFECTS = ("pure", "token", "side_effect")
NOWHERE = "127.0.0.1:9"
CROSSING = {"CrossZone": 0.2}


def reload_settings(balancer, now, kept, *names, **changes):
    """Reload a balancer with other settings; return its actions."""
    return balancer.step(now, SettingsReloaded(Settings.parse(raw_settings(*names, **changes)), kept))


# --- values derived from settings ------------------------------------------------

DERIVED_VALUES = {
    "endpoints": ("subset_size",),
    "zone_spillover": ("active", "spill_margins"),
    "shedder": ("weight_by_work", "over_quota_weight", "worst_class", "quotas"),
}
SETTINGS_VARIANTS = [
    {"Prices": {}},
    {"Prices": CROSSING},
    {"Prices": {"Connection": 0.1}},
    {"Prices": {**CROSSING, "Connection": 0.1}, "WorthBy": "work", "OverShareWorth": 0.2},
    {"IdleClose": 100.0, "Goal": {"Whole": 0.5, "WorstClass": 0.5}},
]


@pytest.mark.parametrize("before", SETTINGS_VARIANTS)
@pytest.mark.parametrize("after", SETTINGS_VARIANTS)
def test_a_reload_updates_values_derived_from_settings_as_in_a_new_balancer(before, after):
    balancer = make_balancer("safe", "keyed", **before)
    reload_settings(balancer, 1.0, {0, 1}, "safe", "keyed", **after)
    fresh = make_balancer("safe", "keyed", **after)
    for component, names in DERIVED_VALUES.items():
        for name in names:
            before, expected = getattr(balancer.components, component), getattr(fresh.components, component)
            assert getattr(before, name) == getattr(expected, name)


def test_a_reload_applies_each_setting_or_reports_it_as_pending_a_restart():
    before = config.parse(raw(), {})
    other = replace(
        before.settings,
        **{
            field.name: value + 1
            for field in fields(Settings)
            if isinstance(value := getattr(before.settings, field.name), int | float)
            and not isinstance(value, bool)
            and math.isfinite(value)
        },
        **{
            field.name: not value
            for field in fields(Settings)
            if isinstance(value := getattr(before.settings, field.name), bool)
        },
        prices={"Probe": 1.0},
        discovery="subscribe",
        report_how="off",
        report_fields=("queue",),
        allowances=(1.0,),
    )
    after = reload.plan_reload(before, replace(before, settings=other), ())
    pending_settings = {name for name in after.pending_restart if name in reload.FIXED_SETTINGS}
    for field in fields(Settings):
        kept = before.settings if field.name in pending_settings else other
        assert getattr(after.config.settings, field.name) == getattr(kept, field.name), field.name
    assert pending_settings == set(reload.FIXED_SETTINGS)


def test_a_longer_idle_time_out_applies_to_open_connections():
    def closes_idle(balancer):
        balancer.step(0.0, request_arrival(1))
        balancer.step(10.0, attempt_answered(1, 10.0))
        return of_type(balancer.step(3010.0, request_arrival(2, 3010.0)), CloseIdleConnections)

    short, long = ({"PolicyLimits": {"MaxAttempts": 4, "IdleClose": idle}} for idle in (500.0, 5000.0))
    assert closes_idle(make_balancer(servers=1, **short)) and not closes_idle(
        make_balancer(servers=1, **long)
    )
    balancer = make_balancer(servers=1, **short)
    reload_settings(balancer, 1.0, {0}, **long)
    assert not closes_idle(balancer)


def weighted_settings(*values, **changes):
    """Return settings with one request class for each priority weight."""
    profiles = [dict(raw_settings()["Profiles"][0], Worth=value) for value in values]
    return Settings.parse(raw_settings(Profiles=profiles, Goal={"Whole": 1.0}, **changes))


def count_arrivals(balancer, count=100):
    for number in range(count):
        profile = balancer.settings.profiles[number % 2]
        balancer.components.shedder.count_arrival(
            number % 2, profile.priority_weight, 1.0 + number % 2, 0, 1.0
        )


@pytest.mark.parametrize(
    "change",
    [{"values": (10.0, 1.0)}, {"values": (1.5, 1.0), "WorthBy": "work"}],
)
def test_load_shedding_uses_the_priority_weights_of_the_reload(change):
    values = change.pop("values")
    balancer = Balancer(0.0, weighted_settings(1.0, 10.0), 1)
    count_arrivals(balancer)
    balancer.step(1.0, SettingsReloaded(weighted_settings(*values, **change), {0, 1}))
    fresh = Balancer(0.0, weighted_settings(*values, **change), 1)
    count_arrivals(fresh)
    for band in (0, 1):
        assert balancer.components.shedder.class_refusal_probability(
            0.0, 0.2, band, over_quota=False
        ) == pytest.approx(
            fresh.components.shedder.class_refusal_probability(0.0, 0.2, band, over_quota=False)
        )


def test_classes_with_a_priority_weight_of_0_are_shed_like_others():
    balancer = Balancer(0.0, weighted_settings(0.0, 0.0), 1)
    count_arrivals(balancer)
    assert 0.0 < balancer.components.shedder.class_refusal_probability(0.0, 0.2, 0, over_quota=False) <= 1.0


def test_a_new_time_limit_for_idle_connections_applies_to_servers_already_draining():
    balancer = make_balancer()
    balancer.step(1.0, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("s0", state="leaving")]))
    actions = reload_settings(balancer, 2.0, {0}, Rules={"ReleaseWithin": 100.0})
    assert of_type(actions, CloseIdleConnections) == [CloseIdleConnections("s0")]
    assert of_type(actions, StartTimer) == [StartTimer(40.0, IdleCloseTimer("s0"))]


@pytest.mark.parametrize(("before", "after"), [(100.0, 10.0), (10.0, 100.0)])
def test_a_key_pauses_for_the_longer_of_the_old_and_the_new_time(before, after):
    ordered = {**CLASSES["late"], "InTurn": True}
    balancer = make_balancer(Profiles=[ordered], Rules={"SettleAfterDoubt": before})
    balancer.step(0.0, RequestArrived(1, 0, 1000.0, key=7))
    reload_settings(balancer, 1.0, {0}, Profiles=[ordered], Rules={"SettleAfterDoubt": after})
    balancer.step(2.0, RequestArrived(2, 0, 1000.0, key=7))
    assert not of_type(
        balancer.step(20.0, AttemptEnded(1, 0, Outcome.RESET, 20.0, request_ended=True)), SendAttempt
    )
    assert not of_type(balancer.step(119.0, TimerDue(KeyPauseTimer(7))), SendAttempt)
    assert of_type(balancer.step(120.0, TimerDue(KeyPauseTimer(7))), SendAttempt)


def test_requests_before_a_reload_do_not_count_against_a_server_that_it_puts_into_slow_start():
    balancer = make_balancer(servers=0)
    balancer.step(0.0, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("s0", started=1.0)]))
    for number in range(1, 201):
        assert of_type(balancer.step(number * 10.0, request_arrival(number, number * 10.0)), SendAttempt)
        balancer.step(number * 10.0 + 5.0, attempt_answered(number, 5.0))
    cold = {"WarmUp": 20000.0, "ColdFrom": 0.2, "OverloadFor": 2000.0, "FallMultiple": 4.0}
    reload_settings(balancer, 2010.0, {0}, Rules=cold)
    assert of_type(balancer.step(2100.0, request_arrival(999, 2100.0)), SendAttempt)


# --- slots of request classes ---------------------------------------------------------------------


def test_the_spill_of_a_kept_class_stays_and_a_new_class_starts_without_one():
    balancer = make_balancer("safe", "safe", "safe", Prices=CROSSING)
    balancer.components.zone_spillover.spill_shares = [0.1, 0.2, 0.3]
    reload_settings(balancer, 1.0, {0, 2}, "safe", "keyed", "safe", "unsafe", Prices=CROSSING)
    assert balancer.components.zone_spillover.spill_shares == [0.1, 0.0, 0.3, 0.0]


def test_a_removed_class_does_not_affect_the_price_of_other_zones():
    before = config.parse(raw(Profiles=[row("a", Worth=1.0), row("dear", Worth=100.0)], Prices=CROSSING), {})
    after = reload_plan(before, raw(Profiles=[row("a", Worth=1.0)], Prices=CROSSING))
    margins = [
        Balancer(0.0, c.settings, 1).components.zone_spillover.spill_margins[0]
        for c in (before, after.config)
    ]
    alone = Balancer(0.0, config.parse(raw(Profiles=[row("a")], Prices=CROSSING), {}).settings, 1)
    assert margins[0] > margins[1] == alone.components.zone_spillover.spill_margins[0]


def test_an_answer_to_an_open_request_of_a_removed_class_is_processed():
    before = config.parse(raw(Profiles=[row("a"), row("b")], Prices=CROSSING), {})
    balancer = Balancer(0.0, before.settings, 1)
    balancer.step(0.0, EndpointListReceived(ListForm.CONFIGURED, endpoint_entries(4)))
    balancer.step(0.0, RequestArrived(1, 1, 1000.0))
    for names in ("ac", "ad", "ae"):
        plan = reload_plan(before, raw(Profiles=[row(name) for name in names], Prices=CROSSING), busy={1})
        before = plan.config
        balancer.step(1.0, SettingsReloaded(before.settings, plan.same_classes))
        assert all(kind.slot != 1 for kind in before.names.classes.values())
    assert not balancer.step(5.0, attempt_answered(1, 5.0)) and not balancer.open_requests


def test_key_settings_are_required_only_for_keyed_classes():
    def keyed(name, **changes):
        return row(name, "token", KeyTtl=500.0, Group="all", **changes)

    before = config.parse(raw(Profiles=[keyed("a"), keyed("b")]), {})
    for profiles in ([row("a"), keyed("b")], [row("a"), row("b", "side_effect")]):
        assert reload_plan(before, raw(Profiles=profiles)).config.names.classes.keys() == {"a", "b"}
    without_ttl = keyed("b")
    del without_ttl["KeyTtl"]
    with pytest.raises(config.ConfigError, match=r"Profiles\.KeyTtl is missing"):
        reload_plan(before, raw(Profiles=[row("a"), without_ttl]))
    # If no class was keyed before, the key settings are not required.
    assert (
        reload_plan(config.parse(raw(Profiles=[row("a")]), {}), raw(Profiles=[without_ttl])).same_classes
        == frozenset()
    )


def test_new_zones_that_need_a_restart_are_told_apart_before_it():
    zones = {"FailureDomains": ["east", "west"]}
    classes = [row("book", "token", Group="zone", KeyTtl=4000.0)]
    before = config.parse(raw(Profiles=classes, **zones), {})
    after = reload_plan(before, raw(Profiles=classes, FailureDomains=["north", "south"]))
    assert "zones" in after.pending_restart
    rows = [entry(f"s{i}", zone=zone) for i, zone in enumerate(("north", "south", "north", "east"))]
    entries = parse_list(listed(1, *rows), after.config.names).entries
    zones_of = {listing.server: listing.zone for listing in entries}
    assert zones_of["s0"] == zones_of["s2"] and len({0, -1, *zones_of.values()}) == 4
    for seed in range(20):
        balancer = Balancer(0.0, after.config.settings, seed)
        balancer.step(0.0, EndpointListReceived(ListForm.CONFIGURED, entries))
        (first,) = of_type(balancer.step(0.0, RequestArrived(1, 0, 1000.0)), SendAttempt)
        for again in of_type(balancer.step(1.0, AttemptEnded(1, 0, Outcome.ERROR, 1.0)), SendAttempt):
            assert zones_of[again.server] == zones_of[first.server]


class StoppedClock:
    """An event loop and a clock whose time stands still."""

    def call_later(self, delay, callback, *args):
        return asyncio.TimerHandle(delay, callback, args, self)

    def time(self):
        return 0.0

    def get_debug(self):
        return False

    def now(self):
        return 0.0


def test_no_class_gets_a_slot_while_clients_may_still_use_the_previous_class_there():
    running, rng = config.parse(raw(), {}), random.Random(5)
    clients = inbound.Inbound(StoppedClock(), StoppedClock(), running, None, ProcessLifecycle())
    for _ in range(300):
        profiles = [row(name, rng.choice(EFFECTS)) for name in rng.sample("abcdef", 3)]
        running = reload_plan(running, raw(Profiles=profiles), clients.request_classes).config
        clients.reload(running.names)
        while len(clients.classes.known) - 1 > rng.randrange(1, 4):
            clients.classes.forget(clients.classes.known[-1])  # Clients may use previous names for 4 s
        class_by_slot = {}
        for names in clients.classes.known:
            for name, kind in names.classes.items():
                properties = (name, kind.method, kind.keyed)
                assert class_by_slot.setdefault(kind.slot, properties) == properties
                effect = running.settings.profiles[kind.slot].semantics
                assert properties[1:] == ("GET" if effect == "pure" else "POST", effect == "token")
    assert len(running.settings.profiles) <= 15


@loopback
async def test_a_request_in_flight_keeps_the_semantics_of_its_class():
    received, release = asyncio.Event(), asyncio.Event()

    async def wait_and_reset(reader, writer):
        received.set()
        await release.wait()
        writer.transport.abort()

    upstreams = [await Upstream([wait_and_reset, OK]).start(), await Upstream([wait_and_reset, OK]).start()]
    async with running(*upstreams) as sidecar:
        app = await App.connect(sidecar.address)
        app.send("POST", "/pay", b"x")
        await received.wait()
        sidecar.apply_configuration(
            config.parse({**raw(Profiles=[row("pay"), row("look")]), "discovery": NOWHERE}, {})
        )
        release.set()
        assert (await app.answer()).start.split(" ")[1] == "502"
        assert sum(len(upstream.seen) for upstream in upstreams) == 1
        # Both classes have this name now: a POST runs at most once as before, a GET may be retried.
        again, other = await App.connect(sidecar.address), await App.connect(sidecar.address)
        assert (await again.ask("GET", "/pay")).body == b"done"
        other.send("POST", "/pay", b"x")
        codes = {(await other.answer()).start.split(" ")[1]}
        assert codes <= {"200", "502"}
        bodies = [seen.body for upstream in upstreams for seen in upstream.seen]
        assert bodies.count(b"x") == 2


# --- the connection pool -----------------------------------------------------------------------------


@pytest.mark.parametrize(("grace", "no_requests_from"), [(200.0, 1050.0), (5000.0, 1350.0)])
@loopback
async def test_a_shorter_grace_period_applies_to_servers_already_draining(grace, no_requests_from):
    loop = asyncio.get_running_loop()
    before, after = (sidecar_config(Rules={"StopSendingWithin": ms}) for ms in (500.0, grace))
    pool = pool_module.ConnectionPool(loop, Clock(loop), before)
    pool.update_servers(0.0, parse_list(listed(1, entry("s0"), entry("s1")), before.names), complete=True)
    leaving = listed(2, entry("s0", status="leaving"), snapshot=False)
    pool.update_servers(1000.0, parse_list(leaving, before.names), complete=False)
    pool.reload(copy.copy(after))
    assert pool.servers["s0"].no_requests_from == no_requests_from
    assert pool.servers["s1"].no_requests_from == math.inf
