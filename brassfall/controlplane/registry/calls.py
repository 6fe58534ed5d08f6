"""What a call has in its path, query and headers, and how it is answered."""

from __future__ import annotations

from aiohttp import web

from brassfall.controlplane.registry import entries
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.errors import RequestError

# Tables that are written under paths of their own, where each write is decided on first.
OWNED = {
    INSTANCES: "/registry/instances",
    "rules": "/rules",
    "edges": "/edges",
    "overrides": "/overrides",
    "overrides-history": "/overrides",
    "overrides-clock": "/overrides",
    "geo": "/geo",
}


class Brief(web.Response):
    """A small answer that is sent about once a second on each connection, to a sidecar or an aggregator. It
    has only the header that frames it: the others (server, date, type) would add 120 bytes."""


async def shorten(_request: web.Request, response: web.StreamResponse) -> None:
    """Drop the headers of a `Brief`; aiohttp calls this before it sends a head."""
    if isinstance(response, Brief):
        for name in ("Server", "Date", "Content-Type"):
            response.headers.popall(name, None)


def answer(body: bytes, status: int = 200) -> web.Response:
    """JSON that is encoded already."""
    return web.Response(body=body, status=status, content_type="application/json")


def row_address(request: web.Request) -> tuple[str, str]:
    """The table and key that the path names; `RequestError` if they are none."""
    return entries.name(request.match_info["table"]), entries.name(request.match_info["key"])


def writable_row_address(request: web.Request) -> tuple[str, str]:
    """The same, for a write; `RequestError` where the table is written under another path."""
    table, key = row_address(request)
    if table in OWNED:
        raise RequestError(f"{table} is written under {OWNED[table]}")
    return table, key


def is_watch(request: web.Request) -> bool:
    """Whether a call asks for a watch, and not for one answer."""
    return request.query.get("watch", "0") not in ("0", "")


def number(text: str, field: str) -> int:
    """A whole number; `RequestError` names the field."""
    if not (text.isascii() and text.isdigit() and len(text) <= 16):
        raise RequestError(f"{field}: {text[:40]!r} is no whole number from 0 up")
    return int(text)


def match(request: web.Request) -> int | None:
    """The version that `If-Match` names, if any."""
    text = request.headers.get("If-Match")
    return None if text is None else number(text.strip('"'), "If-Match")


def request_id(request: web.Request) -> str:
    """`X-Request-Id`, or an empty text."""
    text = request.headers.get("X-Request-Id", "")
    if len(text) > 128 or not text.isprintable():
        raise RequestError("X-Request-Id: up to 128 printable characters are wanted")
    return text
