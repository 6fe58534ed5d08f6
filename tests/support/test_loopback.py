"""The runner of the async tests leaves no stream open."""

from __future__ import annotations

import asyncio
import gc
import sys

import pytest

from tests.support.loopback import App, Upstream, hang, loopback, until


async def leave_streams_open(kept):
    """Leave streams open at both ends: some are in `kept`, some are held by a task, and some by nothing."""
    upstream = await Upstream([hang]).start()
    host, port = upstream.address.split(":")
    for _ in range(3):
        app = await App.connect((host, int(port)))
        app.send()
    kept += [app, *upstream.writers]
    held = await App.connect((host, int(port)))
    kept.append(asyncio.create_task(held.answer()))
    await until(lambda: len(upstream.seen) == 3)


@pytest.mark.parametrize("error", [None, ValueError])
def test_no_stream_outlives_the_loop_of_its_test(monkeypatch, error):
    kept, reported = [], []
    monkeypatch.setattr(sys, "unraisablehook", lambda report: reported.append(report.exc_value))

    @loopback
    async def body():
        await leave_streams_open(kept)
        if error:
            raise error

    if error:
        with pytest.raises(error):
            body()
    else:
        body()
    assert kept[0].writer.transport.is_closing()
    kept.clear()
    gc.collect()
    assert reported == []
