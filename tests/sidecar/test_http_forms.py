"""Variants of HTTP/1.1 messages that clients and servers may use."""

from __future__ import annotations

import asyncio

import pytest

from brassfall.sidecar import framing
from tests.support import loopback as partners
from tests.support.loopback import (
    OK,
    App,
    Upstream,
    loopback,
    running,
    until,
)


@loopback
async def test_a_request_target_in_absolute_form_is_forwarded_in_origin_form():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(
            partners.request(target="/look/7?a=1").replace(b"/look", b"HTTP://api.internal:80/look", 1)
        )
        assert (await app.answer()).body == b"done"
        assert upstream.seen[0].start == "GET /look/7?a=1 HTTP/1.1"


@loopback
async def test_blanks_after_a_header_value_are_removed():
    upstream = await Upstream([OK.replace(b"queue=0", b"queue=0 \t")]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        message = partners.request("POST", "/pay", b"hello").replace(b"\r\n", b" \t\r\n")
        app.writer.write(message.replace(b"HTTP/1.1 \t", b"HTTP/1.1", 1).replace(b"\r\n \t\r\n", b"\r\n\r\n"))
        assert (await app.answer()).body == b"done"
        assert upstream.seen[0].headers["x-call-id"] == "9b1f03aa5c7e2d41"


@pytest.mark.parametrize(
    ("target", "origin"),
    [
        (b"/a?u=http://x/y", b"/a?u=http://x/y"),
        (b"http://x", b"/"),
        (b"http://x?q", b"/?q"),
        (b"https://x:1/a/b", b"/a/b"),
        (b"ftp://x/a", b"ftp://x/a"),
    ],
)
def test_origin_form_removes_the_scheme_and_host_of_a_target(target, origin):
    assert framing.origin_form(target) == origin


@loopback
async def test_an_expected_100_continue_is_written_after_the_answers_to_earlier_requests():
    release = asyncio.Event()

    async def answer_after_release(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([answer_after_release, OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        message = partners.request("POST", "/pay", b"hello", Expect="100-Continue")
        app.writer.write(message[:-5])
        await until(lambda: upstream.seen)
        release.set()
        assert (await app.answer()).body == b"done"
        assert (await app.answer()).start.startswith("HTTP/1.1 100")
        app.writer.write(message[-5:])
        assert (await app.answer()).body == b"done"
