"""Steps of the wall clock while the sidecar runs, which change no deadline, key window, wait or grace period.

`test_start_times` tests the effect of a wrong wall clock at the start on the ages of servers; `test_layout`
checks in the source that the wall clock is read at the start alone.
"""

from __future__ import annotations

import asyncio

import pytest

from brassfall.balancer.model import FailRequest, ListForm, SendAttempt
from brassfall.sidecar.agent.agent import Agent
from brassfall.sidecar.config import Agreement
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.endpoint_list import parse_list
from tests.support.loopback import (
    OK,
    App,
    Registry,
    ScriptedBalancer,
    Upstream,
    break_off,
    entry,
    hang,
    listed,
    loopback,
    running,
    until,
)
from tests.support.system_calls import Faults

# Steps of the wall clock, in seconds.
STEPS_S = [5.0, -5.0, 3600.0, -3600.0]
MACHINE_DELAY_S = 0.5  # Delay that a busy machine may add, in seconds


@pytest.mark.parametrize("step_s", STEPS_S)
@loopback
async def test_a_step_of_the_wall_clock_does_not_move_a_deadline(step_s):
    loop, upstream = asyncio.get_running_loop(), await Upstream([hang]).start()
    with Faults() as faults:
        async with running(upstream) as sidecar:
            app = await App.connect(sidecar.address)
            sent = loop.time()
            app.send("POST", "/pay", X_Budget="600m")
            await until(lambda: upstream.seen)
            faults.step(step_s)
            answer = await app.answer()
            assert answer.start.split(" ")[1] == "504"
            assert 0.5 <= loop.time() - sent <= 0.6 + MACHINE_DELAY_S
            app.close()


@pytest.mark.parametrize("step_s", STEPS_S)
@loopback
async def test_a_step_of_the_wall_clock_does_not_move_a_key_window(step_s):
    """A retry in the key window is written, even if by the wall clock the window is over or in the future."""
    loop, sent_at = asyncio.get_running_loop(), []
    window_ends = []

    def send_first(now, arrival):
        window_ends.append(now + 1000.0)
        return [SendAttempt(arrival.request, "s0", 0.0)]

    def retry(now, number, hop, status, spent, last, report):
        faults.step(step_s)
        return (
            [] if last else [FailRequest(number)] if hop else [SendAttempt(number, "s1", 0.0, window_ends[0])]
        )

    async def record_time(reader, writer):
        sent_at.append(loop.time())
        return OK

    upstreams = await Upstream([break_off]).start(), await Upstream([record_time]).start()
    with Faults() as faults:
        async with running(
            *upstreams, balancer=ScriptedBalancer(request=send_first, outcome=retry)
        ) as sidecar:
            app = await App.connect(sidecar.address)
            answer = await app.ask("POST", "/book")
            app.close()
    assert answer.start.split(" ")[1] == "200" and len(sent_at) == 1


@pytest.mark.parametrize("step_s", STEPS_S)
@loopback
async def test_a_step_of_the_wall_clock_does_not_move_the_grace_period_of_a_draining_server(step_s):
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(
        outcome=lambda now, number, hop, status, spent, last, report: [] if last else [FailRequest(number)]
    )
    with Faults() as faults:
        async with running(upstream, balancer=balancer, Rules={"StopSendingWithin": 800.0}) as sidecar:
            app = await App.connect(sidecar.address)
            row = entry("s0", upstream.address, status="leaving")
            sidecar.driver.endpoints_listed(
                ListForm.CHANGES, parse_list(listed(42, row, snapshot=False), sidecar.configuration.names)
            )
            faults.step(step_s)
            within = await app.ask()
            await asyncio.sleep(0.9)
            after = await app.ask()
            app.close()
    assert [answer.start.split(" ")[1] for answer in (within, after)] == ["200", "502"]


@pytest.mark.parametrize("step_s", STEPS_S)
@loopback
async def test_a_step_of_the_wall_clock_does_not_end_a_watch(step_s):
    """Heartbeats keep the watch open, so that discovery is called only once."""
    registry = await Registry(current=True).start()
    with Faults() as faults:
        async with running(registry=registry) as sidecar:
            await until(lambda: registry.watches)
            for _ in range(4):
                faults.step(step_s)
                await asyncio.sleep(0.2)
                registry.write(b"\n")
            assert len(registry.asked) == 1 and sidecar.discovery.version == 41
    registry.stop()


@pytest.mark.parametrize("step_s", STEPS_S)
@loopback
async def test_a_step_of_the_wall_clock_does_not_move_the_end_of_a_lease(step_s):
    loop, applied = asyncio.get_running_loop(), []

    def apply(active, now):
        applied.append(active)
        return float("inf")

    with Faults() as faults:
        agreement = Agreement(600.0, "", "", {})
        agent = Agent(loop, "e1", agreement, (Address("127.0.0.1", 9),), lambda revision: "", apply, 1)
        asked = loop.time()
        seq = int(agent.lease_client.report_fields(asked)["seq"])
        granted = {"edition": 0, "permission_ms": 600.0, "life": 1, "pending": 0, "news": False}
        assert agent.lease_client.receive_answer(asked, seq, granted)
        faults.step(step_s)
        agent.refresh(loop.time())
        left_ms = agent.lease_client.lease_left_ms(loop.time())
        assert 300.0 < left_ms <= 600.0
        await asyncio.sleep(0.65)
        agent.current_stamp(loop.time())
        assert agent.lease_client.lease_left_ms(loop.time()) == 0.0
        assert applied[-1].fallback
