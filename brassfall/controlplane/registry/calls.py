"""Parsing of the path, query and headers of HTTP requests, and JSON answers."""

from __future__ import annotations

from aiohttp import web

from brassfall.controlplane.registry import entries
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.errors import RequestError

# Tables that can't be written under `/tables`, each with the path of the calls that write it.
TABLE_PATHS = {
    INSTANCES: "/registry/instances",
    "rules": "/rules",
    "edges": "/edges",
    "overrides": "/overrides",
    "overrides-history": "/overrides",
    "overrides-clock": "/overrides",
    "geo": "/geo",
}

MAX_DIGITS = 16  # maximum number of digits of a whole number in a request
MAX_QUOTED = 40  # length to which a malformed number is cut in an error message, in characters
MAX_REQUEST_ID = 128  # maximum length of the header `X-Request-Id`, in characters


class MinimalResponse(web.Response):
    """The answer to the report of a sidecar or an aggregator, with no header but its length.

    Such an answer is sent about once a second on each connection, and the usual headers (Server, Date,
    Content-Type) would add 120 bytes to each.
    """


async def drop_optional_headers(_request: web.Request, response: web.StreamResponse) -> None:
    """Remove the usual headers of a `MinimalResponse`; aiohttp calls this before it sends a response head."""
    if isinstance(response, MinimalResponse):
        for name in ("Server", "Date", "Content-Type"):
            response.headers.popall(name, None)


def answer(body: bytes, status: int = 200) -> web.Response:
    """Return a response whose body is JSON that has been encoded already."""
    return web.Response(body=body, status=status, content_type="application/json")


def row_address(request: web.Request) -> tuple[str, str]:
    """Return the table and the key in the path of a request; raise `RequestError` if one is malformed."""
    return entries.check_name(request.match_info["table"]), entries.check_name(request.match_info["key"])


def writable_row_address(request: web.Request) -> tuple[str, str]:
    """Return the table and the key in the path of a write.

    Raise `RequestError` if one is malformed, or the table can only be written under another path.
    """
    table, key = row_address(request)
    if table in TABLE_PATHS:
        message = f"{table} is written under {TABLE_PATHS[table]}"
        raise RequestError(message)
    return table, key


def is_watch(request: web.Request) -> bool:
    """Return whether the query of a request asks for a watch."""
    return request.query.get("watch", "0") not in ("0", "")


def parse_whole_number(text: str, field: str) -> int:
    """Parse a whole number from 0 up; raise `RequestError`, which names the field, if the text is none."""
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        message = f"{field}: {text[:MAX_QUOTED]!r} is no whole number from 0 up"
        raise RequestError(message)
    return int(text)


def if_match_version(request: web.Request) -> int | None:
    """Return the version in the header `If-Match`; None without that header."""
    text = request.headers.get("If-Match")
    return None if text is None else parse_whole_number(text.strip('"'), "If-Match")


def request_id(request: web.Request) -> str:
    """Return the header `X-Request-Id`, empty without it; raise `RequestError` if it is malformed."""
    text = request.headers.get("X-Request-Id", "")
    if len(text) > MAX_REQUEST_ID or not text.isprintable():
        message = f"X-Request-Id: expected up to {MAX_REQUEST_ID} printable characters"
        raise RequestError(message)
    return text
