"""Reading the path, query and headers of calls, and their answers."""

from __future__ import annotations

from aiohttp import web

from brassfall.controlplane.registry import entries
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.errors import RequestError

# Tables that are written under their own paths alone.
OWNED = {
    INSTANCES: "/registry/instances",
    "rules": "/rules",
    "edges": "/edges",
    "overrides": "/overrides",
    "overrides-history": "/overrides",
    "overrides-clock": "/overrides",
    "geo": "/geo",
}

MAX_DIGITS = 16
MAX_QUOTED = 40  # characters of a malformed number
MAX_REQUEST_ID = 128  # characters


class Brief(web.Response):
    """A small answer to the report of a sidecar or an aggregator, with the header of its length alone.

    It is sent about once a second on each connection: the others (server, date, type) would add 120 bytes.
    """


async def shorten(_request: web.Request, response: web.StreamResponse) -> None:
    """Drop the headers of a `Brief`; aiohttp calls this before it sends a head."""
    if isinstance(response, Brief):
        for name in ("Server", "Date", "Content-Type"):
            response.headers.popall(name, None)


def answer(body: bytes, status: int = 200) -> web.Response:
    """Return an answer with encoded JSON."""
    return web.Response(body=body, status=status, content_type="application/json")


def row_address(request: web.Request) -> tuple[str, str]:
    """Return the table and key in the path; raise `RequestError` if they are malformed."""
    return entries.check_name(request.match_info["table"]), entries.check_name(request.match_info["key"])


def writable_row_address(request: web.Request) -> tuple[str, str]:
    """Return the table and key of a write; raise `RequestError` if the table has its own path."""
    table, key = row_address(request)
    if table in OWNED:
        message = f"{table} is written under {OWNED[table]}"
        raise RequestError(message)
    return table, key


def is_watch(request: web.Request) -> bool:
    """Return whether a call asks for a watch."""
    return request.query.get("watch", "0") not in ("0", "")


def number(text: str, field: str) -> int:
    """Return a whole number; raise `RequestError` with the field if it is none."""
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        message = f"{field}: {text[:MAX_QUOTED]!r} is no whole number from 0 up"
        raise RequestError(message)
    return int(text)


def match(request: web.Request) -> int | None:
    """Return the version in `If-Match`; None without it."""
    text = request.headers.get("If-Match")
    return None if text is None else number(text.strip('"'), "If-Match")


def request_id(request: web.Request) -> str:
    """Return `X-Request-Id`; empty without it."""
    text = request.headers.get("X-Request-Id", "")
    if len(text) > MAX_REQUEST_ID or not text.isprintable():
        message = f"X-Request-Id: expected up to {MAX_REQUEST_ID} printable characters"
        raise RequestError(message)
    return text
