"""The program as the deploy file starts it, while some of its system calls fail."""

from __future__ import annotations

import asyncio
import collections

import pytest

from tests.support import system_calls
from tests.support.loopback import OK, App, Registry, Upstream, bounded
from tests.support.processes import Process

CLIENTS, REQUESTS = 6, 40
FAULT_SHARE = 0.15  # Share of the system calls that fail
FAILING = {
    "accept": [FAULT_SHARE, system_calls.names(system_calls.ACCEPT_ERRORS)],
    "connect": [FAULT_SHARE, system_calls.names(system_calls.CONNECT_ERRORS)],
    "socket": [FAULT_SHARE, system_calls.names(system_calls.SOCKET_ERRORS)],
}


async def start_with_faults(tmp_path, plan, upstreams, **changes):
    """Start the real program with the faults of a plan, which are injected from its first line on."""
    folder = tmp_path / "faults"
    folder.mkdir()
    return await Process.start(
        tmp_path, *upstreams, variables=system_calls.variables(folder, plan), **changes
    )


async def run_client(sidecar, answers, number):
    """Send one request after the other, with a new connection for every third request.

    A request that finds its used connection closed is sent once more on a new connection, as the protocol
    requires.
    """
    app = None
    for count in range(REQUESTS):
        if app is not None and count % 3 == 0:
            app.close()
            app = None
        reused = app is not None
        app = app or await App.connect(sidecar.address)
        answer = await app.ask(X_Call_Id=f"{number}-{count}")
        if answer is None and reused:
            app.close()
            app = await App.connect(sidecar.address)
            answer = await app.ask(X_Call_Id=f"{number}-{count}")
        answers.append(None if answer is None else (answer.start.split(" ")[1], answer.body))
        if answer is None or answer.headers.get("connection") == "close":
            app.close()
            app = None
    if app is not None:
        app.close()


@pytest.mark.parametrize("seed", [1, 9])
@bounded(60.0)
async def test_all_requests_are_answered_while_accept_connect_and_socket_fail(tmp_path, seed):
    registry = await Registry(current=True).start()
    upstreams = [await Upstream([OK]).start() for _ in range(4)]
    plan = {"seed": seed, "share": FAILING}
    sidecar = await start_with_faults(tmp_path, plan, upstreams, discovery=registry.address, seed=str(seed))
    answers = []
    await asyncio.gather(*(run_client(sidecar, answers, number) for number in range(CLIENTS)))
    # A local failure does not use up an attempt, so that no request runs out of attempts.
    assert collections.Counter(answers) == {("200", b"done"): CLIENTS * REQUESTS}
    sidecar.process.terminate()
    assert await sidecar.process.wait() == 0
    for partner in (*upstreams, registry):
        partner.stop()


@bounded(60.0)
async def test_a_process_starts_although_the_system_has_no_free_descriptor_at_first(tmp_path):
    upstream = await Upstream([OK]).start()
    plan = {"script": {"socket": ["EMFILE", "ENOBUFS", "ENFILE", "ENOMEM"] * 3}}
    sidecar = await start_with_faults(tmp_path, plan, [upstream])
    assert (await sidecar.app.ask()).body == b"done"
    sidecar.process.terminate()
    assert await sidecar.process.wait() == 0
    upstream.stop()


@pytest.mark.parametrize("max_bytes", [1, 7])
@bounded(60.0)
async def test_short_reads_and_writes_change_no_message(tmp_path, max_bytes):
    registry = await Registry(current=True).start()
    upstreams = [await Upstream([OK]).start() for _ in range(2)]
    plan = {"shorten": {"recv": max_bytes, "send": max_bytes}}
    sidecar = await start_with_faults(tmp_path, plan, upstreams, discovery=registry.address)
    for body in (b"", b"x" * 3000):
        answer = await sidecar.app.ask("POST", "/pay", body)
        assert answer.body == b"done"
    assert [seen.body for upstream in upstreams for seen in upstream.seen if seen.body] == [b"x" * 3000]
    sidecar.process.terminate()
    assert await sidecar.process.wait() == 0
    for partner in (*upstreams, registry):
        partner.stop()
