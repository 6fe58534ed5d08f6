"""Requests to aggregators for the rows of their children, within a time limit."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

import aiohttp
import msgspec

from brassfall.controlplane.registry.sidecar_rows import Expected, SidecarRow, behind
from brassfall.controlplane.revisions.reports import Objection

TIMEOUT_S = 1.0
MAX_CONCURRENT = 8
ANSWER_BYTES = 4_000_000
MAX_REASON = 200  # characters


class _ChildRow(SidecarRow, kw_only=True):
    """A row as an aggregator sends it."""

    objection: Objection | None = None


class _Answer(msgspec.Struct, rename={"rows": "edges"}):
    """The part of an aggregator's `GET /edges` that is read here."""

    rows: list[_ChildRow]


@dataclass(slots=True)
class ChildListing:
    """The rows of the aggregators that answered, and why the others did not, by aggregator."""

    rows: dict[str, list[SidecarRow]] = field(default_factory=dict)
    unanswered: dict[str, str] = field(default_factory=dict)


async def gather(
    session: aiohttp.ClientSession, listens: Mapping[str, str], expected: Expected
) -> ChildListing:
    """Request the rows of aggregators by name, at their addresses; ages count from the request.

    Cancelling ends all calls.
    """
    listing, free = ChildListing(), asyncio.Semaphore(MAX_CONCURRENT)

    async def ask(name: str, listen: str) -> None:
        async with free:
            try:
                listing.rows[name] = await _ask(session, name, listen, expected)
            except TimeoutError:
                listing.unanswered[name] = f"no answer from {listen} within {TIMEOUT_S:g} s"
            except (aiohttp.ClientError, msgspec.MsgspecError, OSError, ValueError) as error:
                listing.unanswered[name] = f"{listen}: {error}"[:MAX_REASON]

    await asyncio.gather(*(ask(name, listen) for name, listen in listens.items()))
    return listing


async def _ask(
    session: aiohttp.ClientSession, name: str, listen: str, expected: Expected
) -> list[SidecarRow]:
    if not listen:
        message = "it has not reported where it listens"
        raise ValueError(message)
    asked_s = time.monotonic()
    async with asyncio.timeout(TIMEOUT_S), session.get(f"http://{listen}/edges") as response:
        response.raise_for_status()
        body = await _read(response)
    rows = msgspec.json.decode(body, type=_Answer).rows
    elapsed_ms = (time.monotonic() - asked_s) * 1000.0
    return [_row(each, name, elapsed_ms, expected) for each in rows]


def _row(child: _ChildRow, via: str, elapsed_ms: float, expected: Expected) -> SidecarRow:
    row = SidecarRow(**{field: getattr(child, field) for field in SidecarRow.__struct_fields__})
    row.via = via
    if row.age_ms is not None:
        row.age_ms = round(row.age_ms + elapsed_ms)
    row.behind = behind(row, expected, child.objection)
    return row


async def _read(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    with contextlib.closing(response):
        async for part in response.content.iter_any():
            body += part
            if len(body) > ANSWER_BYTES:
                message = f"its answer is longer than {ANSWER_BYTES} bytes"
                raise ValueError(message)
    return bytes(body)
