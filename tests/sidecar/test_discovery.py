"""Discovery outside of a fleet, on real sockets: pushed and polled lists, and a change of the address."""

from __future__ import annotations

import asyncio
import json

import pytest

from brassfall.balancer.model import FetchEndpointList, WatchEndpointList
from brassfall.sidecar.config_values import parse_address
from brassfall.sidecar.discovery import channel, single_address
from tests.support.loopback import Registry, ScriptedBalancer, entry, listed, loopback, running, until
from tests.support.sidecar_views import carry_out, pool_servers


def notifications(balancer):
    """Return the form and the server names of each list that the balancer was notified of."""
    return [(form, [row.server for row in rows]) for form, rows in balancer.named("server_list")]


@loopback
async def test_the_configured_list_is_used_first_and_a_pushed_list_is_watched_from_its_version():
    registry, balancer = await Registry().start(), ScriptedBalancer()
    configured_list = listed(41, entry("s0"))
    async with running(balancer=balancer, registry=registry, raw={"known": configured_list}):
        await until(lambda: registry.watches)
        assert registry.asked == ["/registry/instances?watch=1&from=41"]
        registry.tell(43, entry("s1", status="leaving"))
        registry.write(b"\n")
        registry.tell(50, entry("s2"), snapshot=True)
        await until(lambda: len(notifications(balancer)) == 3)
        assert notifications(balancer) == [("remembered", ["s0"]), ("changes", ["s1"]), ("all", ["s2"])]


@loopback
async def test_lines_are_parsed_however_they_are_split_into_chunks():
    registry, balancer = await Registry().start(), ScriptedBalancer()
    async with running(balancer=balancer, registry=registry):
        await until(lambda: registry.watches)
        line = json.dumps(listed(42, entry("s1"), snapshot=False)).encode() + b"\n\n"
        for i in range(0, len(line), 9):
            registry.write(line[i : i + 9])
            await asyncio.sleep(0)
        await until(lambda: len(notifications(balancer)) == 2)
        assert notifications(balancer)[1] == ("changes", ["s1"])


@loopback
async def test_a_complete_list_removes_missing_servers_from_the_pool():
    registry = await Registry().start()
    async with running(registry=registry, raw={"known": listed(41, entry("s0"), entry("s1"))}) as sidecar:
        await until(lambda: registry.watches)
        registry.tell(42, entry("s1", "127.0.0.1:10"), snapshot=True)
        await until(lambda: set(pool_servers(sidecar)) == {"s1"})
        assert pool_servers(sidecar)["s1"].address.port == 10


@loopback
async def test_older_changes_are_ignored_and_the_current_version_answers_a_watch():
    registry, balancer = await Registry().start(), ScriptedBalancer()
    async with running(balancer=balancer, registry=registry):
        await until(lambda: registry.watches)
        registry.tell(41)
        registry.tell(40, entry("old"))
        registry.tell(42, entry("new"))
        await until(lambda: len(notifications(balancer)) == 3)
        assert notifications(balancer)[1:] == [("changes", []), ("changes", ["new"])]


@pytest.mark.parametrize("how", ["ended", "invalid", "silent"])
@loopback
async def test_a_watch_on_a_pushed_list_is_reopened_after_it_ends(how, monkeypatch):
    monkeypatch.setattr(single_address, "BACKOFF_S", 0.01)
    if how == "silent":
        monkeypatch.setattr(channel, "SILENCE_LIMIT_S", 1.0)
    registry, balancer = await Registry().start(), ScriptedBalancer()
    async with running(balancer=balancer, registry=registry):
        await until(lambda: registry.watches)
        registry.tell(44, entry("s1"))
        await until(lambda: len(notifications(balancer)) == 2)
        if how == "ended":
            registry.watches[0].close()
        elif how == "invalid":
            registry.write(b'{"endpoints": 7}\n')
        await until(lambda: len(registry.asked) > 1)
        version = 0 if how == "invalid" else 44
        assert registry.asked[1] == f"/registry/instances?watch=1&from={version}"
        assert "refused" not in [form for form, _ in notifications(balancer)]


@loopback
async def test_the_balancer_decides_when_discovery_is_polled_and_is_notified_of_failures():
    registry, balancer = await Registry(listed(60, entry("s5"))).start(), ScriptedBalancer()
    async with running(balancer=balancer, registry=registry, Discovery="subscribe") as sidecar:
        assert registry.asked == []
        carry_out(sidecar, balancer, WatchEndpointList(True))
        await until(lambda: registry.watches)
        registry.watches[0].close()
        await until(lambda: len(notifications(balancer)) == 2)
        carry_out(sidecar, balancer, FetchEndpointList())
        await until(lambda: len(notifications(balancer)) == 3)
        registry.stop()
        carry_out(sidecar, balancer, FetchEndpointList())
        await until(lambda: len(notifications(balancer)) == 4)
        assert notifications(balancer)[1:] == [("refused", []), ("all", ["s5"]), ("refused", [])]
        assert len(registry.watches) == 1


@pytest.mark.parametrize("pushed", [True, False])
@loopback
async def test_a_watch_continues_at_the_new_address_of_discovery(pushed):
    old, new, balancer = await Registry().start(), await Registry().start(), ScriptedBalancer()
    settings = {"Discovery": "automatic" if pushed else "subscribe"}
    async with running(balancer=balancer, registry=old, **settings) as sidecar:
        if not pushed:
            carry_out(sidecar, balancer, WatchEndpointList(True))
        await until(lambda: old.watches)
        old.tell(44, entry("s1"))
        await until(lambda: len(notifications(balancer)) == 2)
        sidecar.discovery.change_address(parse_address(new.address))
        await until(lambda: new.watches)
        assert new.asked == ["/registry/instances?watch=1&from=44"]
        new.tell(45, entry("s2"))
        await until(lambda: ("changes", ["s2"]) in notifications(balancer))
        assert "refused" not in [form for form, _ in notifications(balancer)]
        assert len(old.asked) == 1
    new.stop()


@loopback
async def test_a_new_address_of_discovery_is_watched_even_if_no_watch_is_open():
    stopped, new, balancer = await Registry().start(), await Registry().start(), ScriptedBalancer()
    stopped.stop()
    async with running(balancer=balancer, registry=stopped, Discovery="subscribe") as sidecar:
        carry_out(sidecar, balancer, WatchEndpointList(True))
        await until(lambda: ("refused", []) in notifications(balancer))
        sidecar.discovery.change_address(parse_address(new.address))
        await until(lambda: new.watches)
    new.stop()
