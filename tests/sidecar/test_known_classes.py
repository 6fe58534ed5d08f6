"""Names of request classes that clients may use after a reload."""

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


@pytest.mark.parametrize("second_names", [("view",), ("view", "see")])
@loopback
async def test_earlier_classes_are_still_served_after_two_reloads_in_a_row(second_names):
    def config_with_classes(*names):
        rows = [
            {"Name": name, "Semantics": "pure", "Objective": 2000.0, "Deadline": 5000.0} for name in names
        ]
        return sidecar_config([upstream], Profiles=rows)

    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        sidecar.apply_configuration(config_with_classes("view"))
        sidecar.apply_configuration(config_with_classes(*second_names))
        for target in ("/look", *(f"/{name}" for name in second_names)):
            assert (await app.ask("GET", target)).body == b"done"
        app.close()


@loopback
async def test_earlier_classes_are_kept_until_no_client_can_retry_their_requests(monkeypatch):
    """A client may use earlier names until 1.2 s after the reload, and retry until its deadline is over."""
    rows = [{"Name": "look", "Semantics": "pure", "Objective": 200.0, "Deadline": 9000.0}]
    async with running(Profiles=rows) as sidecar:
        delays = []
        loop = asyncio.get_running_loop()
        call_later = loop.call_later
        monkeypatch.setattr(
            loop, "call_later", lambda delay, *args: delays.append(delay) or call_later(delay, *args)
        )
        sidecar.apply_configuration(sidecar_config(Profiles=[{**rows[0], "Name": "view", "Deadline": 100.0}]))
        assert 10.2 in [pytest.approx(delay) for delay in delays]
        delays.clear()
        sidecar.apply_configuration(sidecar_config(Profiles=[{**rows[0], "Name": "see"}]))
        assert known_classes.EARLIER_CLASSES_KEPT_S in delays  # this minimum applies to short deadlines
