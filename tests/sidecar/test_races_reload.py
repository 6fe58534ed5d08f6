"""Reloads while requests are open: values derived from settings, and the positions of request classes."""

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
    EndpointsListed,
    RequestArrived,
    SettingsReloaded,
    TimerDue,
)
from brassfall.balancer.model import (
    CloseIdle,
    IdleCloseTimer,
    KeyPauseTimer,
    ListForm,
    Listing,
    Outcome,
    Send,
    Timer,
)
from brassfall.sidecar import config, reload
from brassfall.sidecar.clients import inbound
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.process_state import Lifecycle
from brassfall.sidecar.discovery.endpoint_list import parse_list
from brassfall.sidecar.servers import pool as outbound
from tests.sidecar.test_reload import raw, row, take
from tests.support.helpers import CLASSES, answered, arrival, balancer, listing, of_type, raw_settings
from tests.support.loopback import OK, App, Upstream, entry, listed, loopback, running, sidecar_config

EFFECTS = ("pure", "token", "side_effect")
NOWHERE = "127.0.0.1:9"
CROSSING = {"CrossZone": 0.2}


def reloaded(made, now, kept, *names, **changes):
    """Give a balancer other settings; return its actions."""
    return made.step(now, SettingsReloaded(Settings.parse(raw_settings(*names, **changes)), kept))


# --- values derived from settings ------------------------------------------------

DERIVED_VALUES = {
    "endpoints": ("subset_size",),
    "zones": ("active", "margins"),
    "shedder": ("weight_by_work", "over_quota_weight", "worst_class", "quotas"),
}
SITES = [
    {"Prices": {}},
    {"Prices": CROSSING},
    {"Prices": {"Connection": 0.1}},
    {"Prices": {**CROSSING, "Connection": 0.1}, "WorthBy": "work", "OverShareWorth": 0.2},
    {"IdleClose": 100.0, "Goal": {"Whole": 0.5, "WorstClass": 0.5}},
]


@pytest.mark.parametrize("before", SITES)
@pytest.mark.parametrize("after", SITES)
def test_values_derived_from_settings_are_those_of_a_new_balancer(before, after):
    made = balancer("safe", "keyed", **before)
    reloaded(made, 1.0, {0, 1}, "safe", "keyed", **after)
    fresh = balancer("safe", "keyed", **after)
    for part, names in DERIVED_VALUES.items():
        for name in names:
            before, expected = getattr(made.components, part), getattr(fresh.components, part)
            assert getattr(before, name) == getattr(expected, name)


def test_each_setting_is_applied_or_named_as_pending_a_restart():
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
    after = reload.successor(before, replace(before, settings=other), ())
    waits = {name for name in after.pending_restart if name in reload.FIXED_SETTINGS}
    for field in fields(Settings):
        kept = before.settings if field.name in waits else other
        assert getattr(after.config.settings, field.name) == getattr(kept, field.name), field.name
    assert waits == set(reload.FIXED_SETTINGS)


def test_a_longer_idle_time_applies_to_connections_that_are_open():
    def closes_idle(made):
        made.step(0.0, arrival(1))
        made.step(10.0, answered(1, 10.0))
        return of_type(made.step(3010.0, arrival(2, 3010.0)), CloseIdle)

    short, long = ({"PolicyLimits": {"MaxAttempts": 4, "IdleClose": idle}} for idle in (500.0, 5000.0))
    assert closes_idle(balancer(servers=1, **short)) and not closes_idle(balancer(servers=1, **long))
    made = balancer(servers=1, **short)
    reloaded(made, 1.0, {0}, **long)
    assert not closes_idle(made)


def weighted_settings(*values, **changes):
    """Return settings with one class for each priority weight."""
    profiles = [dict(raw_settings()["Profiles"][0], Worth=value) for value in values]
    return Settings.parse(raw_settings(Profiles=profiles, Goal={"Whole": 1.0}, **changes))


def count_arrivals(made, count=100):
    for number in range(count):
        profile = made.settings.profiles[number % 2]
        made.components.shedder.arrive(number % 2, profile.priority_weight, 1.0 + number % 2, 0, 1.0)


@pytest.mark.parametrize(
    "change",
    [{"values": (10.0, 1.0)}, {"values": (1.5, 1.0), "WorthBy": "work"}],
)
def test_load_shedding_uses_the_priority_weights_in_force(change):
    values = change.pop("values")
    made = Balancer(0.0, weighted_settings(1.0, 10.0), 1)
    count_arrivals(made)
    made.step(1.0, SettingsReloaded(weighted_settings(*values, **change), {0, 1}))
    fresh = Balancer(0.0, weighted_settings(*values, **change), 1)
    count_arrivals(fresh)
    for band in (0, 1):
        assert made.components.shedder.refusal_chance(0.0, 0.2, band, over=False) == pytest.approx(
            fresh.components.shedder.refusal_chance(0.0, 0.2, band, over=False)
        )


def test_classes_without_priority_weight_are_shed_like_others():
    made = Balancer(0.0, weighted_settings(0.0, 0.0), 1)
    count_arrivals(made)
    assert 0.0 < made.components.shedder.refusal_chance(0.0, 0.2, 0, over=False) <= 1.0


def test_a_time_limit_for_idle_connections_applies_to_servers_that_drain_already():
    made = balancer()
    made.step(1.0, EndpointsListed(ListForm.CHANGES, [Listing("s0", state="leaving")]))
    actions = reloaded(made, 2.0, {0}, Rules={"ReleaseWithin": 100.0})
    assert of_type(actions, CloseIdle) == [CloseIdle("s0")]
    assert of_type(actions, Timer) == [Timer(40.0, IdleCloseTimer("s0"))]


@pytest.mark.parametrize(("before", "after"), [(100.0, 10.0), (10.0, 100.0)])
def test_a_key_pauses_for_the_longer_time_of_both_settings(before, after):
    ordered = {**CLASSES["late"], "InTurn": True}
    made = balancer(Profiles=[ordered], Rules={"SettleAfterDoubt": before})
    made.step(0.0, RequestArrived(1, 0, 1000.0, key=7))
    reloaded(made, 1.0, {0}, Profiles=[ordered], Rules={"SettleAfterDoubt": after})
    made.step(2.0, RequestArrived(2, 0, 1000.0, key=7))
    assert not of_type(made.step(20.0, AttemptEnded(1, 0, Outcome.RESET, 20.0, request_ended=True)), Send)
    assert not of_type(made.step(119.0, TimerDue(KeyPauseTimer(7))), Send)
    assert of_type(made.step(120.0, TimerDue(KeyPauseTimer(7))), Send)


def test_a_server_that_a_reload_puts_into_slow_start_is_not_charged_for_earlier_sends():
    made = balancer(servers=0)
    made.step(0.0, EndpointsListed(ListForm.CHANGES, [Listing("s0", started=1.0)]))
    for number in range(1, 201):
        assert of_type(made.step(number * 10.0, arrival(number, number * 10.0)), Send)
        made.step(number * 10.0 + 5.0, answered(number, 5.0))
    cold = {"WarmUp": 20000.0, "ColdFrom": 0.2, "OverloadFor": 2000.0, "FallMultiple": 4.0}
    reloaded(made, 2010.0, {0}, Rules=cold)
    assert of_type(made.step(2100.0, arrival(999, 2100.0)), Send)


# --- positions of classes ---------------------------------------------------------------------


def test_what_was_learned_of_a_class_stays_and_is_not_inherited_by_another():
    made = balancer("safe", "safe", "safe", Prices=CROSSING)
    made.components.zones.spill = [0.1, 0.2, 0.3]
    reloaded(made, 1.0, {0, 2}, "safe", "keyed", "safe", "unsafe", Prices=CROSSING)
    assert made.components.zones.spill == [0.1, 0.0, 0.3, 0.0]


def test_a_removed_class_does_not_affect_the_price_of_other_zones():
    before = config.parse(raw(Profiles=[row("a", Worth=1.0), row("dear", Worth=100.0)], Prices=CROSSING), {})
    after = take(before, raw(Profiles=[row("a", Worth=1.0)], Prices=CROSSING))
    margins = [Balancer(0.0, c.settings, 1).components.zones.margins[0] for c in (before, after.config)]
    alone = Balancer(0.0, config.parse(raw(Profiles=[row("a")], Prices=CROSSING), {}).settings, 1)
    assert margins[0] > margins[1] == alone.components.zones.margins[0]


def test_an_open_request_of_a_removed_class_is_learned_from():
    before = config.parse(raw(Profiles=[row("a"), row("b")], Prices=CROSSING), {})
    made = Balancer(0.0, before.settings, 1)
    made.step(0.0, EndpointsListed(ListForm.REMEMBERED, listing(4)))
    made.step(0.0, RequestArrived(1, 1, 1000.0))
    for names in ("ac", "ad", "ae"):
        news = take(before, raw(Profiles=[row(name) for name in names], Prices=CROSSING), busy={1})
        before = news.config
        made.step(1.0, SettingsReloaded(before.settings, news.same_classes))
        assert all(kind.slot != 1 for kind in before.names.classes.values())
    assert not made.step(5.0, answered(1, 5.0)) and not made.open_requests


def test_key_settings_are_required_only_of_classes_with_a_key():
    def keyed(name, **changes):
        return row(name, "token", KeyTtl=500.0, Group="all", **changes)

    before = config.parse(raw(Profiles=[keyed("a"), keyed("b")]), {})
    for profiles in ([row("a"), keyed("b")], [row("a"), row("b", "side_effect")]):
        assert take(before, raw(Profiles=profiles)).config.names.classes.keys() == {"a", "b"}
    lame = keyed("b")
    del lame["KeyTtl"]
    with pytest.raises(config.ConfigError, match=r"Profiles\.KeyTtl is missing"):
        take(before, raw(Profiles=[row("a"), lame]))
    # Without a keyed class before, the settings of keys are not required.
    assert take(config.parse(raw(Profiles=[row("a")]), {}), raw(Profiles=[lame])).same_classes == frozenset()


def test_new_zones_that_wait_for_a_restart_are_kept_apart():
    zones = {"FailureDomains": ["east", "west"]}
    classes = [row("book", "token", Group="zone", KeyTtl=4000.0)]
    before = config.parse(raw(Profiles=classes, **zones), {})
    after = take(before, raw(Profiles=classes, FailureDomains=["north", "south"]))
    assert "zones" in after.pending_restart
    rows = [entry(f"s{i}", zone=zone) for i, zone in enumerate(("north", "south", "north", "east"))]
    entries = parse_list(listed(1, *rows), after.config.names).entries
    zones_of = {listing.server: listing.zone for listing in entries}
    assert zones_of["s0"] == zones_of["s2"] and len({0, -1, *zones_of.values()}) == 4
    for seed in range(20):
        made = Balancer(0.0, after.config.settings, seed)
        made.step(0.0, EndpointsListed(ListForm.REMEMBERED, entries))
        (first,) = of_type(made.step(0.0, RequestArrived(1, 0, 1000.0)), Send)
        for again in of_type(made.step(1.0, AttemptEnded(1, 0, Outcome.ERROR, 1.0)), Send):
            assert zones_of[again.server] == zones_of[first.server]


class StoppedClock:
    """A loop and a clock whose time does not pass."""

    def call_later(self, delay, what, *args):
        return asyncio.TimerHandle(delay, what, args, self)

    def time(self):
        return 0.0

    def get_debug(self):
        return False

    def now(self):
        return 0.0


def test_no_class_takes_a_position_while_clients_may_still_name_its_former_class():
    running, rng = config.parse(raw(), {}), random.Random(5)
    made = inbound.Inbound(StoppedClock(), StoppedClock(), running, None, Lifecycle())
    for _ in range(300):
        profiles = [row(name, rng.choice(EFFECTS)) for name in rng.sample("abcdef", 3)]
        running = take(running, raw(Profiles=profiles), made.request_classes).config
        made.reload(running.names)
        while len(made.classes.known) - 1 > rng.randrange(1, 4):
            made.classes.forget(made.classes.known[-1])  # after their 4 s
        named = {}
        for names in made.classes.known:
            for name, kind in names.classes.items():
                this = (name, kind.method, kind.keyed)
                assert named.setdefault(kind.slot, this) == this
                effect = running.settings.profiles[kind.slot].semantics
                assert this[1:] == ("GET" if effect == "pure" else "POST", effect == "token")
    assert len(running.settings.profiles) <= 15


@loopback
async def test_a_request_in_flight_keeps_the_semantics_of_its_class():
    held, answer = asyncio.Event(), asyncio.Event()

    async def reset_then(reader, writer):
        held.set()
        await answer.wait()
        writer.transport.abort()

    upstreams = [await Upstream([reset_then, OK]).start(), await Upstream([reset_then, OK]).start()]
    async with running(*upstreams) as made:
        app = await App.connect(made.address)
        app.send("POST", "/pay", b"x")
        await held.wait()
        made.use_configuration(
            config.parse({**raw(Profiles=[row("pay"), row("look")]), "discovery": NOWHERE}, {})
        )
        answer.set()
        assert (await app.answer()).start.split(" ")[1] == "502"
        assert sum(len(upstream.seen) for upstream in upstreams) == 1
        # The name stands for both classes now: a POST as before runs once, a GET may be retried.
        again, other = await App.connect(made.address), await App.connect(made.address)
        assert (await again.ask("GET", "/pay")).body == b"done"
        other.send("POST", "/pay", b"x")
        codes = {(await other.answer()).start.split(" ")[1]}
        assert codes <= {"200", "502"}
        bodies = [seen.body for upstream in upstreams for seen in upstream.seen]
        assert bodies.count(b"x") == 2


# --- the pool -----------------------------------------------------------------------------


@pytest.mark.parametrize(("grace", "closed_from"), [(200.0, 1050.0), (5000.0, 1350.0)])
@loopback
async def test_a_shorter_grace_period_applies_to_servers_that_drain_already(grace, closed_from):
    loop = asyncio.get_running_loop()
    before, after = (sidecar_config(Rules={"StopSendingWithin": ms}) for ms in (500.0, grace))
    pool = outbound.Pool(loop, Clock(loop), before)
    pool.update(0.0, parse_list(listed(1, entry("s0"), entry("s1")), before.names), complete=True)
    leaving = listed(2, entry("s0", status="leaving"), snapshot=False)
    pool.update(1000.0, parse_list(leaving, before.names), complete=False)
    pool.reload(copy.copy(after))
    assert pool.servers["s0"].closed_from == closed_from
    assert pool.servers["s1"].closed_from == math.inf
