"""Discovery in a fleet, on real sockets: failover, the last valid list, and the age of the list."""

from __future__ import annotations

import json

import pytest

from brassfall.sidecar.config_values import parse_address
from brassfall.sidecar.discovery import sources
from tests.sidecar.test_discovery import notifications
from tests.support.loopback import (
    Registry,
    ScriptedBalancer,
    Upstream,
    entry,
    listed,
    loopback,
    running,
    sidecar_config,
    until,
)
from tests.support.sidecar_views import list_age_s, pool_servers


@pytest.fixture
def short_backoff(monkeypatch):
    """Shorten the first backoff between calls."""
    monkeypatch.setattr(sources, "FIRST_BACKOFF_S", 0.01)


def fleet(*registries, known=("s0",)):
    """Return the configuration keys of a sidecar whose list service has the addresses of `registries`.

    `known` are the names of the servers in the configured list.
    """
    addresses = [registry.address for registry in registries]
    return {"known": listed(41, *map(entry, known)), "fleet": {"registry": addresses}}


def change_address(sidecar, registry):
    """Change the address of the list service to that of `registry`, as a reload after SIGHUP does."""
    address = parse_address(registry.address)
    sidecar.discovery.change_address(address, (address,))


@pytest.mark.parametrize(
    ("line", "servers", "logged", "times"),
    [
        # A line that ends in the middle of a list.
        (b'{"index":50,"snapshot":true,"endpoints":[', ["s0", "s1"], "not a list", 2),
        (b"\x00\xff\n", ["s0", "s1"], "not a list", 2),
        (b'{"index":50,"snapshot":true,"endpoints":[]}\n', ["s0", "s1"], "a list without servers", 1),
        (json.dumps(listed(7, entry("s9"))).encode() + b"\n", ["s0", "s1"], "version 7", 1),
        (b'{"index":50,"endpoints":[' + b" " * 5_000_000, ["s0", "s1"], "too long", 2),
        # One invalid entry among valid ones: its server keeps the last valid entry; the others are applied.
        (
            json.dumps(listed(50, entry("s0", status="asleep"), entry("s2"))).encode() + b"\n",
            ["s0", "s2"],
            "asleep",
            2,
        ),
        (
            json.dumps(listed(50, entry("s2"), {"name": "s3"}, 7)).encode() + b"\n",
            ["s2"],
            "invalid entries, the last valid ones stay",
            2,
        ),
    ],
    ids=["half_a_line", "no_JSON", "no_servers", "older", "too_long", "invalid_entry", "invalid_entries"],
)
@pytest.mark.usefixtures("short_backoff")
@loopback
async def test_an_invalid_list_leaves_the_last_valid_one_and_is_logged(line, servers, logged, times, capsys):
    """Two watches in a row receive the same line.

    An invalid list is logged each time, and an implausible one only the first time until a list is accepted.
    """
    registry = await Registry().start()
    raw = fleet(registry, known=("s0", "s1"))
    async with running(balancer=ScriptedBalancer(), registry=registry, raw=raw) as sidecar:
        for watches in range(1, 3):
            await until(lambda watches=watches: len(registry.watches) >= watches)
            registry.write(line)
            registry.watches[-1].write(b"0\r\n\r\n")  # The last chunk of the answer
            registry.watches[-1].close()
        await until(lambda: len(registry.watches) >= 3)
        assert sorted(sidecar.discovery.endpoints().servers) == servers
        assert sorted(pool_servers(sidecar)) == servers
        log_lines = [text for text in capsys.readouterr().err.splitlines() if logged in text]
        assert len(log_lines) == times, log_lines
        registry.tell(60, entry("s5"), snapshot=True)  # A valid list is accepted after that.
        await until(lambda: sorted(pool_servers(sidecar)) == ["s5"])


@pytest.mark.usefixtures("short_backoff")
@loopback
async def test_a_working_address_is_found_and_kept_and_a_rejecting_address_is_called_again():
    rejections = 0

    async def reject(reader, writer):
        nonlocal rejections
        rejections += 1
        return b"HTTP/1.1 503 No\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n"

    rejecting, working = await Upstream([reject]).start(), await Registry().start()
    raw = {"fleet": {"registry": ["127.0.0.1:9", working.address]}}
    async with running(balancer=ScriptedBalancer(), registry=working, raw=raw) as sidecar:
        for number in range(1, 4):  # After each end of the watch, the working address is found again.
            await until(lambda number=number: len(working.watches) >= number)
            working.tell(50 + number, entry("s0"))
            await until(lambda number=number: f"version={50 + number}" in sidecar.discovery.state)
            assert working.address in sidecar.discovery.state
            working.watches[-1].close()
        change_address(sidecar, rejecting)
        await until(lambda: rejections > 2)
        assert sorted(pool_servers(sidecar)) == ["s0"]


@pytest.mark.parametrize("stated", [b"2000", b"90000", b"", b"-1", b"nan", b"soon"])
@loopback
async def test_the_stated_age_of_an_aggregators_list_is_added_until_a_line_states_another_age(stated):
    registry, balancer = await Registry(current=True).start(), ScriptedBalancer()
    registry.headers = b"X-List-Age-Ms: %b\r\n" % stated
    async with running(balancer=balancer, registry=registry, raw=fleet(registry)) as sidecar:
        await until(lambda: list_age_s(sidecar) is not None)
        # If the stated age is invalid, the list may have any age.
        min_age_s = float(stated) / 1000.0 if stated.isdigit() else float("inf")
        assert min_age_s <= list_age_s(sidecar) <= min_age_s + 5.0
        notification_count = len(notifications(balancer))
        registry.write(json.dumps({**listed(41, snapshot=False), "age_ms": 1000}).encode() + b"\n")
        # The line counts like a heartbeat, and a heartbeat may have arrived before it.
        await until(lambda: list_age_s(sidecar) < 10.0)
        assert list_age_s(sidecar) >= 1.0
        # The balancer is not notified of a line that only states an age.
        assert len(notifications(balancer)) == notification_count
        registry.tell(42, entry("s1"))
        await until(lambda: sidecar.discovery.version == 42)
        assert notifications(balancer)[-1] == ("changes", ["s1"])


@pytest.mark.usefixtures("short_backoff")
@loopback
async def test_an_older_list_is_rejected_from_another_address_and_after_an_invalid_list():
    ahead, behind = await Registry().start(), await Registry().start()
    async with running(balancer=ScriptedBalancer(), registry=ahead, raw=fleet(ahead, behind)) as sidecar:
        change_address(sidecar, ahead)
        await until(lambda: ahead.watches)
        ahead.tell(50, entry("s5"), snapshot=True)
        await until(lambda: sidecar.discovery.version == 50)
        change_address(sidecar, behind)
        await until(lambda: len(behind.watches) == 1)
        assert behind.asked[-1].endswith("from=50")
        behind.tell(45, entry("s1", status="leaving"))  # Changes that the current list has already
        behind.tell(44, entry("s4"), snapshot=True)
        await until(lambda: len(behind.watches) == 2)
        behind.write(b"no list\n")
        await until(lambda: len(behind.watches) == 3)
        assert behind.asked[-1].endswith("from=0")
        behind.tell(45, entry("s1"))
        behind.tell(45, entry("s4"), snapshot=True)  # The requested complete list, which is still older
        await until(lambda: len(behind.watches) == 4)
        assert (
            sorted(pool_servers(sidecar)) == ["s5"] and sidecar.discovery.report_fields()["list_index"] == 50
        )
        behind.tell(51, entry("s6"))
        await until(lambda: sorted(pool_servers(sidecar)) == ["s5", "s6"])


@loopback
async def test_a_watch_that_has_fallen_behind_is_reopened_at_the_next_address():
    registries = [await Registry(current=True).start() for _ in range(2)]
    async with running(
        balancer=ScriptedBalancer(), registry=registries[0], raw=fleet(*registries)
    ) as sidecar:
        await until(lambda: sum(len(each.watches) for each in registries) == 1)
        sidecar.discovery.reopen_watch()
        await until(lambda: [len(each.watches) for each in registries] == [1, 1])
    registries[1].stop()


@pytest.mark.parametrize(
    "value", [{}, {"registry": []}, {"registry": "127.0.0.1:1"}, {"registry": ["x"]}, [], {"colour": 1}]
)
def test_an_invalid_fleet_key_is_refused_at_the_start(value):
    with pytest.raises((ValueError, KeyError)):
        sidecar_config(raw={"fleet": value})
