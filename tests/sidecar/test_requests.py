"""Requests of clients: the events that the balancer gets about them, and their final answers."""

from __future__ import annotations

import asyncio
import socket
import time

from brassfall.sidecar import config_values
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.discovery import endpoint_list
from tests.support import loopback as partners
from tests.support.loopback import (
    OK,
    App,
    ScriptedBalancer,
    Upstream,
    entry,
    hang,
    listed,
    loopback,
    running,
    sidecar_config,
    until,
)


@loopback
async def test_the_clock_is_unix_time_in_milliseconds_and_a_missing_start_time_is_0():
    clock = Clock(asyncio.get_running_loop())
    assert abs(clock.now() - time.time() * 1000.0) < 1000.0
    rows = listed(1, entry("old"), entry("new", since_ms=1_790_000_000_000))
    endpoints = endpoint_list.parse_list(rows, sidecar_config().names)
    assert [row.started for row in endpoints.entries] == [0.0, 1_790_000_000_000.0]


def test_the_key_of_a_user_is_the_same_in_every_process():
    assert config_values.stable_number("7f3a9c21e0b4d655") == 3267690693392718
    assert all(config_values.stable_number(str(i)) < 2**53 for i in range(200))


@loopback
async def test_the_balancer_gets_indices_and_the_deadline_of_a_request():
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer()
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        before = sidecar.inbound.clock.now()
        headers = {"Cookie": "a=b; user=u1", "X_Again": "1", "X_Call_Cost": "2500", "X_Budget": "800000u"}
        await app.ask("POST", "/pay/now", **headers)
        ((arrival,),) = balancer.named("request")
        (row,) = balancer.named("server_list")[0][1]
    assert (arrival.request_class, arrival.tenant, arrival.work) == (2, 1, 2.5)
    assert (arrival.retried, arrival.mutates) == (True, False)
    assert arrival.key == config_values.stable_number("u1")
    assert 0 <= arrival.request < 2**32
    assert before + 700.0 < arrival.give_up_at < latest_read_time(arrival, before) + 800.0
    assert (row.zone, row.kind, row.cell) == (1, 1, 3)


def latest_read_time(arrival, before):
    """Return the latest time at which the request can have been read, in ms of Unix time."""
    return max(before, time.time() * 1000.0 + 1.0)


@loopback
async def test_an_exception_in_the_balancer_fails_only_the_request_at_hand():
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer()
    send_to_s0 = balancer.scripts["request"]

    def fail_on_first_request(now, arrival):
        if len(balancer.named("request")) == 1:
            raise RuntimeError("a fault")
        return send_to_s0(now, arrival)

    balancer.scripts["request"] = fail_on_first_request
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).status == 502
        assert (await app.ask()).status == 200
        assert len(balancer.named("client_gone")) == 1


@loopback
async def test_a_request_that_the_balancer_leaves_unanswered_fails_at_its_deadline():
    balancer = ScriptedBalancer(request=lambda now, arrival: [])
    async with running(balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask(X_Budget="60m")).status == 504
        assert sidecar.driver.idle and partners.nothing_left(sidecar)


@loopback
async def test_above_max_open_a_request_is_answered_503_without_an_event_for_the_balancer():
    upstream = await Upstream([hang]).start()
    balancer = ScriptedBalancer()
    limits = {**partners.SETTINGS["PolicyLimits"], "MaxOpen": 1}
    async with running(upstream, balancer=balancer, PolicyLimits=limits) as sidecar:
        first, second = await App.connect(sidecar.address), await App.connect(sidecar.address)
        first.send()
        await until(lambda: upstream.seen)
        assert (await second.ask()).status == 503
        assert len(balancer.named("request")) == 1


@loopback
async def test_a_request_that_arrives_in_pieces_is_forwarded_as_one_request():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        sock = app.writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        whole_request = partners.request("POST", "/pay", b"hello")
        for i in range(0, len(whole_request), 7):
            app.writer.write(whole_request[i : i + 7])
            await asyncio.sleep(0)
        assert (await app.answer()).body == b"done"
        assert upstream.seen[0].body == b"hello"


@loopback
async def test_a_body_is_never_forwarded_without_its_length():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        # Without a length, the server would take the body for the next request.
        await app.ask("GET", "/look", b"GET /look HTTP/1.1\r\n\r\n")
        assert (await app.ask("GET", "/look")).body == b"done"
        assert [len(seen.body) for seen in upstream.seen] == [22, 0]


@loopback
async def test_the_sidecar_is_ready_once_it_listens_and_the_balancer_has_the_known_list():
    balancer = ScriptedBalancer()
    async with running(balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask("GET", "/health/ready", X_Call_Class=None)).status == 200
        assert balancer.events[0][:2] == ("server_list", "remembered")
