"""The names of request classes that clients may use after a reload."""

from __future__ import annotations

import asyncio

import pytest

from brassfall.sidecar.clients import (
    known_classes,
)
from tests.support.loopback import (
    OK,
    App,
    Upstream,
    loopback,
    running,
    sidecar_config,
)


@pytest.mark.parametrize("second", [("view",), ("view", "see")])
@loopback
async def test_earlier_classes_are_served_for_a_while_after_two_reloads_in_a_row(second):
    def named(*names):
        rows = [
            {"Name": name, "Semantics": "pure", "Objective": 2000.0, "Deadline": 5000.0} for name in names
        ]
        return sidecar_config([upstream], Profiles=rows)

    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        sidecar.use_configuration(named("view"))
        sidecar.use_configuration(named(*second))
        for target in ("/look", *(f"/{name}" for name in second)):
            assert (await app.ask("GET", target)).body == b"done"
        app.close()


@loopback
async def test_earlier_classes_are_known_until_their_last_requests_may_have_been_retried(monkeypatch):
    """A client names them until 1.2 s after the reload, and comes again until its deadline is over."""
    rows = [{"Name": "look", "Semantics": "pure", "Objective": 200.0, "Deadline": 9000.0}]
    async with running(Profiles=rows) as sidecar:
        waits = []
        loop = asyncio.get_running_loop()
        later = loop.call_later
        monkeypatch.setattr(loop, "call_later", lambda wait, *rest: waits.append(wait) or later(wait, *rest))
        sidecar.use_configuration(sidecar_config(Profiles=[{**rows[0], "Name": "view", "Deadline": 100.0}]))
        assert 10.2 in [pytest.approx(wait) for wait in waits]
        waits.clear()
        sidecar.use_configuration(sidecar_config(Profiles=[{**rows[0], "Name": "see"}]))
        assert known_classes.KEEP_S in waits  # and no less, where deadlines are short
