"""The program as the deploy file starts it, while system calls fail in it."""

from __future__ import annotations

import asyncio
import collections

import pytest

from tests.support import system_calls
from tests.support.loopback import OK, App, Registry, Upstream, bounded
from tests.support.processes import Process

CLIENTS, REQUESTS = 6, 40
PART = 0.15
FAILING = {
    "accept": [PART, system_calls.names(system_calls.ACCEPT_ERRORS)],
    "connect": [PART, system_calls.names(system_calls.CONNECT_ERRORS)],
    "socket": [PART, system_calls.names(system_calls.SOCKET_ERRORS)],
}


async def started(tmp_path, plan, upstreams, **changes):
    """The real program, in which the plan's faults are injected from its first line on."""
    folder = tmp_path / "faults"
    folder.mkdir()
    return await Process.start(
        tmp_path, *upstreams, variables=system_calls.variables(folder, plan), **changes
    )


async def client(made, answers, number):
    """Asks one request after the other; every third comes on a new connection. What crosses the end of a
    connection that has carried an answer is sent once more on a new one, as the protocol has it."""
    app = None
    for count in range(REQUESTS):
        if app is not None and count % 3 == 0:
            app.close()
            app = None
        kept = app is not None
        app = app or await App.connect(made.address)
        answer = await app.ask(X_Call_Id=f"{number}-{count}")
        if answer is None and kept:
            app.close()
            app = await App.connect(made.address)
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
    made = await started(tmp_path, plan, upstreams, discovery=registry.address, seed=str(seed))
    answers = []
    await asyncio.gather(*(client(made, answers, number) for number in range(CLIENTS)))
    # What fails on this machine is no attempt at a server: none runs out of them.
    assert collections.Counter(answers) == {("200", b"done"): CLIENTS * REQUESTS}
    made.process.terminate()
    assert await made.process.wait() == 0
    for partner in (*upstreams, registry):
        partner.stop()


@bounded(60.0)
async def test_a_process_starts_though_the_system_has_no_descriptor_for_a_moment(tmp_path):
    upstream = await Upstream([OK]).start()
    plan = {"script": {"socket": ["EMFILE", "ENOBUFS", "ENFILE", "ENOMEM"] * 3}}
    made = await started(tmp_path, plan, [upstream])
    assert (await made.app.ask()).body == b"done"
    made.process.terminate()
    assert await made.process.wait() == 0
    upstream.stop()


@pytest.mark.parametrize("most", [1, 7])
@bounded(60.0)
async def test_short_reads_and_writes_change_no_message(tmp_path, most):
    registry = await Registry(current=True).start()
    upstreams = [await Upstream([OK]).start() for _ in range(2)]
    plan = {"shorten": {"recv": most, "send": most}}
    made = await started(tmp_path, plan, upstreams, discovery=registry.address)
    for body in (b"", b"x" * 3000):
        answer = await made.app.ask("POST", "/pay", body)
        assert answer.body == b"done"
    assert [seen.body for upstream in upstreams for seen in upstream.seen if seen.body] == [b"x" * 3000]
    made.process.terminate()
    assert await made.process.wait() == 0
    for partner in (*upstreams, registry):
        partner.stop()
