"""Discovery and peers on real sockets."""

from __future__ import annotations

import asyncio
import json
import random
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brassfall.balancer import model
from brassfall.balancer.model import Fetch, Tell, Watch
from brassfall.sidecar import config_values
from brassfall.sidecar.agent import lists as fleet
from brassfall.sidecar.discovery import channel as registry_channel
from brassfall.sidecar.discovery import discovery, endpoint_list
from tests.support.loopback import Registry, Scripted, Upstream, entry, listed, loopback, running, told, until


def told_of(module):
    """Form and server names of each list event."""
    return [(form, [row.server for row in rows]) for form, rows in module.named("server_list")]


@loopback
async def test_the_known_list_comes_first_and_a_pushed_one_is_watched_from_there():
    registry = await Registry().start()
    module = Scripted()
    known = listed(41, entry("s0"))
    async with running(balancer=module, registry=registry, raw={"known": known}):
        await until(lambda: registry.watches)
        assert registry.asked == ["/registry/instances?watch=1&from=41"]
        registry.tell(43, entry("s1", status="leaving"))
        registry.write(b"\n")
        registry.tell(50, entry("s2"), snapshot=True)
        await until(lambda: len(told_of(module)) == 3)
        assert told_of(module) == [("remembered", ["s0"]), ("changes", ["s1"]), ("all", ["s2"])]


@loopback
async def test_lines_are_whole_however_they_are_cut_into_chunks():
    registry = await Registry().start()
    module = Scripted()
    async with running(balancer=module, registry=registry):
        await until(lambda: registry.watches)
        line = json.dumps(listed(42, entry("s1"), snapshot=False)).encode() + b"\n\n"
        for i in range(0, len(line), 9):
            registry.write(line[i : i + 9])
            await asyncio.sleep(0)
        await until(lambda: len(told_of(module)) == 2)
        assert told_of(module)[1] == ("changes", ["s1"])


@loopback
async def test_a_full_list_drops_servers_from_the_pool():
    registry = await Registry().start()
    async with running(registry=registry, raw={"known": listed(41, entry("s0"), entry("s1"))}) as sidecar:
        await until(lambda: registry.watches)
        registry.tell(42, entry("s1", "127.0.0.1:10"), snapshot=True)
        await until(lambda: set(sidecar.pool._servers) == {"s1"})
        assert sidecar.pool._servers["s1"].address.port == 10


@loopback
async def test_older_changes_are_not_told_again_and_the_version_held_answers_a_watch():
    registry = await Registry().start()
    module = Scripted()
    async with running(balancer=module, registry=registry):
        await until(lambda: registry.watches)
        registry.tell(41)
        registry.tell(40, entry("old"))
        registry.tell(42, entry("new"))
        await until(lambda: len(told_of(module)) == 3)
        assert told_of(module)[1:] == [("changes", []), ("changes", ["new"])]


@pytest.mark.parametrize("how", ["ended", "garbage", "silent"])
@loopback
async def test_a_watch_that_breaks_is_opened_again_where_lists_are_pushed(how, monkeypatch):
    monkeypatch.setattr(discovery, "BACKOFF_S", 0.01)
    if how == "silent":
        monkeypatch.setattr(registry_channel, "SILENT_S", 1.0)
    registry = await Registry().start()
    module = Scripted()
    async with running(balancer=module, registry=registry):
        await until(lambda: registry.watches)
        registry.tell(44, entry("s1"))
        await until(lambda: len(told_of(module)) == 2)
        if how == "ended":
            registry.watches[0].close()
        elif how == "garbage":
            registry.write(b'{"endpoints": 7}\n')
        await until(lambda: len(registry.asked) > 1)
        after = 0 if how == "garbage" else 44
        assert registry.asked[1] == f"/registry/instances?watch=1&from={after}"
        assert "refused" not in [form for form, _ in told_of(module)]


@loopback
async def test_where_discovery_is_asked_the_module_says_when_and_hears_of_failures():
    registry = await Registry(listed(60, entry("s5"))).start()
    module = Scripted()
    async with running(balancer=module, registry=registry, Discovery="subscribe") as sidecar:
        assert registry.asked == []
        sidecar.driver.perform(Watch(True))
        await until(lambda: registry.watches)
        registry.watches[0].close()
        await until(lambda: len(told_of(module)) == 2)
        sidecar.driver.perform(Fetch())
        await until(lambda: len(told_of(module)) == 3)
        registry.stop()
        sidecar.driver.perform(Fetch())
        await until(lambda: len(told_of(module)) == 4)
        assert told_of(module)[1:] == [("refused", []), ("all", ["s5"]), ("refused", [])]
        assert len(registry.watches) == 1


@pytest.mark.parametrize("pushed", [True, False])
@loopback
async def test_a_watch_goes_on_where_discovery_has_moved_to(pushed):
    old, new = await Registry().start(), await Registry().start()
    module = Scripted()
    settings = {"Discovery": "automatic" if pushed else "subscribe"}
    async with running(balancer=module, registry=old, **settings) as sidecar:
        if not pushed:
            sidecar.driver.perform(Watch(True))
        await until(lambda: old.watches)
        old.tell(44, entry("s1"))
        await until(lambda: len(told_of(module)) == 2)
        sidecar.discovery.move(config_values.parse_address(new.address))
        await until(lambda: new.watches)
        assert new.asked == ["/registry/instances?watch=1&from=44"]
        new.tell(45, entry("s2"))
        await until(lambda: ("changes", ["s2"]) in told_of(module))
        assert "refused" not in [form for form, _ in told_of(module)]
        assert len(old.asked) == 1
    new.stop()


@loopback
async def test_discovery_is_asked_at_its_new_address_though_no_watch_is_open():
    gone, new = await Registry().start(), await Registry().start()
    gone.stop()
    module = Scripted()
    async with running(balancer=module, registry=gone, Discovery="subscribe") as sidecar:
        sidecar.driver.perform(Watch(True))
        await until(lambda: ("refused", []) in told_of(module))
        sidecar.discovery.move(config_values.parse_address(new.address))
        await until(lambda: new.watches)
    new.stop()


def udp():
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.settimeout(10.0)
    return sock


@loopback
async def test_peers_are_known_by_their_address_and_junk_is_dropped():
    me, peer, stranger, everyone = udp(), udp(), udp(), udp()
    address, other, broadcast = (f"127.0.0.1:{sock.getsockname()[1]}" for sock in (me, peer, everyone))
    me.close()
    raw = {"peer_listen": address, "peers": [address, other], "peers_all": broadcast}
    module = Scripted()
    async with running(balancer=module, raw=raw) as sidecar:
        here = (address.split(":")[0], int(address.split(":")[1]))
        stranger.sendto(b"who", here)
        peer.sendto(b"x" * 257, here)
        peer.sendto(b"x" * 256, here)
        await until(lambda: module.named("peer_message"))
        assert module.named("peer_message") == [[1, b"x" * 256]]
        sidecar.driver.perform(Tell(1, b"x" * 257))
        sidecar.driver.perform(Tell(1, b"one"))
        sidecar.driver.perform(Tell(None, b"all"))
        loop = asyncio.get_running_loop()
        assert await loop.run_in_executor(None, peer.recv, 999) == b"one"
        assert await loop.run_in_executor(None, everyone.recv, 999) == b"all"
    for sock in (peer, stranger, everyone):
        sock.close()


# --- with the key `fleet` --------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("line", "held", "said"),
    [
        (b'{"index":50,"snapshot":true,"endpoints":[', ["s0", "s1"], "not a list"),  # half a line
        (b"\x00\xff\n", ["s0", "s1"], "not a list"),
        (b'{"index":50,"snapshot":true,"endpoints":[]}\n', ["s0", "s1"], "a list without servers"),
        (json.dumps(listed(7, entry("s9"))).encode() + b"\n", ["s0", "s1"], "version 7"),
        (b'{"index":50,"endpoints":[' + b" " * 5_000_000, ["s0", "s1"], "too long"),
        (  # one bad entry among good ones: it stays as it was, and the others are taken
            json.dumps(listed(50, entry("s0", status="asleep"), entry("s2"))).encode() + b"\n",
            ["s0", "s2"],
            "asleep",
        ),
        (json.dumps(listed(50, entry("s2"), {"name": "s3"}, 7)).encode() + b"\n", ["s2"], "kept as"),
    ],
)
@loopback
async def test_a_fleet_keeps_its_last_good_list_and_says_so_once(line, held, said, monkeypatch, capsys):
    monkeypatch.setattr(fleet, "FIRST_WAIT_S", 0.01)
    registry = await Registry().start()
    module = Scripted()
    known = listed(41, entry("s0"), entry("s1"))
    raw = {"known": known, "fleet": {"registry": [registry.address]}}
    async with running(balancer=module, registry=registry, raw=raw) as sidecar:
        for again in range(1, 3):
            await until(lambda again=again: len(registry.watches) >= again)
            registry.write(line)
            registry.watches[-1].write(b"0\r\n\r\n")  # the end of the answer
            registry.watches[-1].close()
        await until(lambda: len(registry.watches) >= 3)
        assert sorted(sidecar.discovery.endpoints().servers) == held
        assert sorted(sidecar.pool._servers) == sorted(held)
        lines = [text for text in capsys.readouterr().err.splitlines() if said in text]
        assert len(lines) == (1 if "without" in said or "version" in said else 2), lines
        registry.tell(60, entry("s5"), snapshot=True)  # and the service goes on
        await until(lambda: sorted(sidecar.pool._servers) == ["s5"])


@loopback
async def test_a_fleet_fails_over_and_stays_and_comes_back_when_told(monkeypatch):
    monkeypatch.setattr(fleet, "FIRST_WAIT_S", 0.01)
    turned_away = 0

    async def turn_away(reader, writer):
        nonlocal turned_away
        turned_away += 1
        return b"HTTP/1.1 503 No\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n"

    full = await Upstream([turn_away]).start()
    good = await Registry().start()
    module = Scripted()
    addresses = {"registry": ["127.0.0.1:9", good.address]}
    async with running(balancer=module, registry=good, raw={"fleet": addresses}) as sidecar:
        for number in range(1, 4):  # the watch breaks, and each time the working one is found again
            await until(lambda number=number: len(good.watches) >= number)
            good.tell(50 + number, entry("s0"))
            await until(lambda number=number: f"version={50 + number}" in sidecar.discovery.state)
            assert good.address in sidecar.discovery.state
            good.watches[-1].close()
        sidecar.discovery.move(
            config_values.parse_address(full.address), (config_values.parse_address(full.address),)
        )
        await until(lambda: turned_away > 2)
        assert sorted(sidecar.pool._servers) == ["s0"]


def test_where_to_ask_is_spread_and_waits_grow():
    addresses = [config_values.Address("127.0.0.1", port) for port in (1, 2, 3)]
    made = [fleet.Sources(addresses, random.Random(seed)) for seed in range(300)]
    starts = [source.current.port for source in made]
    assert min(starts.count(port) for port in (1, 2, 3)) > 70
    first = [source.failed() for source in made]
    assert len(set(first)) == 300 and min(first) < 0.1 and max(first) > 0.3
    for source, port in zip(made, starts, strict=True):
        assert source.current.port == port % 3 + 1
    one = made[0]
    waits = [one.failed() for _ in range(30)]
    assert max(waits) <= 1.5 * fleet.WAIT_MOST_S and max(waits) > 0.5
    told = [source.failed(4.0) for source in made]
    assert min(told) >= 4.0 and max(told) <= 5.0 and len(set(told)) > 200
    at = one.current
    one.failed(4.0)
    assert one.current == at  # who was told when to come back stays
    one.worked()
    assert one.failed() <= 1.5 * fleet.FIRST_WAIT_S
    alone = fleet.Sources(addresses[:1], random.Random(1))
    for _ in range(5000):  # an hour without any answer: it goes on asking
        assert alone.failed() <= 1.5 * fleet.WAIT_MOST_S


@pytest.mark.parametrize(
    ("heard", "now", "bound"),
    [
        ([], 9.0, None),
        ([(0.5, 0)], 1.0, 1.0),  # asked at 0: the list may be as old as that
        ([(0.5, 0), (2.5, 1)], 3.0, 3.0 - 1.98),
        ([(0.5, 0), (2.5, 1), (9.0, 2)], 9.0, 9.0 - 3.96),  # late on its way: its age counts from its sending
        ([(0.5, 9)], 1.0, 0.5),  # never younger than heard
    ],
)
def test_the_age_of_a_list_is_never_stated_too_low(heard, now, bound):
    age = fleet.ListAge()
    for at, empties in heard:
        age.confirmed(0.0, at, empties)
    assert age.bound(now) == (None if bound is None else pytest.approx(bound))


@pytest.mark.parametrize("stated", [b"2000", b"90000", b"", b"-1", b"nan", b"soon"])
@loopback
async def test_the_age_of_an_aggregators_list_is_added_until_a_line_states_another(stated):
    registry = await Registry(current=True).start()
    registry.headers = b"X-List-Age-Ms: %b\r\n" % stated
    module = Scripted()
    raw = {"known": listed(41, entry("s0")), "fleet": {"registry": [registry.address]}}
    async with running(balancer=module, registry=registry, raw=raw) as sidecar:

        def age():
            return sidecar.discovery._fleet.age.bound(asyncio.get_running_loop().time())

        await until(lambda: age() is not None)
        least = float(stated) / 1000.0 if stated.isdigit() else float("inf")  # none that can be read: any age
        assert least <= age() <= least + 5.0
        news = len(told_of(module))
        registry.write(json.dumps({**listed(41, snapshot=False), "age_ms": 1000}).encode() + b"\n")
        await until(lambda: age() < 10.0)  # counted as an empty line of which an older one may have come
        assert age() >= 1.0 and len(told_of(module)) == news  # and the module has no work with it
        registry.tell(42, entry("s1"))
        await until(lambda: sidecar.discovery.version == 42)
        assert told_of(module)[-1] == ("changes", ["s1"])


@loopback
async def test_a_list_goes_back_neither_by_another_address_nor_after_one_that_was_none(monkeypatch):
    monkeypatch.setattr(fleet, "FIRST_WAIT_S", 0.01)
    ahead, behind = await Registry().start(), await Registry().start()
    module = Scripted()
    raw = {"known": listed(41, entry("s0")), "fleet": {"registry": [ahead.address, behind.address]}}
    async with running(balancer=module, registry=ahead, raw=raw) as sidecar:
        sidecar.discovery.move(
            config_values.parse_address(ahead.address), (config_values.parse_address(ahead.address),)
        )
        await until(lambda: ahead.watches)
        ahead.tell(50, entry("s5"), snapshot=True)
        await until(lambda: sidecar.discovery.version == 50)
        sidecar.discovery.move(
            config_values.parse_address(behind.address), (config_values.parse_address(behind.address),)
        )
        await until(lambda: len(behind.watches) == 1)
        assert behind.asked[-1].endswith("from=50")
        behind.tell(45, entry("s1", status="leaving"))  # changes that were heard of before
        behind.tell(44, entry("s4"), snapshot=True)
        await until(lambda: len(behind.watches) == 2)
        behind.write(b"no list\n")
        await until(lambda: len(behind.watches) == 3)
        assert behind.asked[-1].endswith("from=0")
        behind.tell(45, entry("s1"))
        behind.tell(45, entry("s4"), snapshot=True)  # asked for whole, it is no older for that
        await until(lambda: len(behind.watches) == 4)
        assert sorted(sidecar.pool._servers) == ["s5"] and sidecar.discovery.report()["list_index"] == 50
        behind.tell(51, entry("s6"))
        await until(lambda: sorted(sidecar.pool._servers) == ["s5", "s6"])


@loopback
async def test_a_watch_that_has_fallen_behind_is_opened_at_the_next_address():
    registries = [await Registry(current=True).start() for _ in range(2)]
    raw = {
        "known": listed(41, entry("s0")),
        "fleet": {"registry": [each.address for each in registries]},
    }
    async with running(balancer=Scripted(), registry=registries[0], raw=raw) as sidecar:
        await until(lambda: sum(len(each.watches) for each in registries) == 1)
        sidecar.discovery.reopen()
        await until(lambda: [len(each.watches) for each in registries] == [1, 1])
    registries[1].stop()


def test_the_age_of_a_list_is_logged_as_it_passes_bounds_and_not_again():
    age = fleet.ListAge()
    age.confirmed(0.0, 0.1, 0)
    said = [text for now in range(0, 400) if (text := age.passed(float(now)))]
    age.confirmed(400.0, 400.1, 0)
    assert [*said, age.passed(401.0)] == [
        "the list is older than 5 s",
        "the list is older than 30 s",
        "the list is older than 300 s",
        "the list is fresh again",
    ]


def test_a_list_that_cannot_be_right_is_believed_in_the_end():
    doubt, empty = fleet.ListDoubt(), endpoint_list.ServerList(50, True, [], {})
    assert "without servers" in doubt.reason(empty, 41, 3, 0.0)
    assert doubt.reason(empty, 41, 3, fleet.DOUBT_S - 1.0)
    assert doubt.reason(empty, 41, 3, fleet.DOUBT_S) is None
    assert doubt.reason(empty, 41, 0, 0.0) is None  # nothing is lost by it
    assert "version 50" in doubt.reason(empty, 60, 0, 0.0)


ENTRIES = st.builds(
    model.Listing,
    st.sampled_from(["s0", "s1", "s2", "s3"]),
    st.integers(0, 2),
    cell=st.integers(0, 2),
    state=st.sampled_from(["active", "active", "leaving", "left"]),
)


@given(st.lists(st.tuples(st.booleans(), st.lists(ENTRIES, max_size=4)), max_size=12))
def test_what_is_kept_of_the_list_with_each_change_is_what_the_whole_list_says(updates):
    held, plain = fleet.EndpointList(), {}
    for whole, entries in updates:
        held.apply(endpoint_list.ServerList(1, whole, entries, {}))
        plain = {} if whole else plain
        for row in entries:
            plain[row.server] = row
        plain = {name: row for name, row in plain.items() if row.state != "left"}
        assert held.servers == plain.keys() and len(held) == len(plain)
        assert held.groups == {str(row.cell) for row in plain.values()}
        assert held.served_zones == {row.zone for row in plain.values() if row.state == "active"}
        for groups in (set(), {"0"}, {"1", "2", "9"}):
            assert held.in_groups(groups) == {n for n, row in plain.items() if str(row.cell) in groups}


@pytest.mark.parametrize(
    "value", [{}, {"registry": []}, {"registry": "127.0.0.1:1"}, {"registry": ["x"]}, [], {"colour": 1}]
)
def test_a_fleet_that_is_none_stops_the_start(value):
    with pytest.raises((ValueError, KeyError)):
        told(raw={"fleet": value})
