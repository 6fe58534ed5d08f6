"""Requests to aggregators for the rows of their children, each with a time limit."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

import aiohttp
import msgspec

from brassfall.controlplane.registry.sidecar_rows import ExpectedState, SidecarRow, describe_lag
from brassfall.controlplane.revisions.reports import Objection

TIMEOUT_S = 1.0  # time limit for the answer of one aggregator
MAX_CONCURRENT = 8  # maximum number of requests to aggregators that are under way at once
MAX_ANSWER_BYTES = 4_000_000
MAX_REASON = 200  # length to which the reason of a failed request is cut, in characters


class _ChildRow(SidecarRow, kw_only=True):
    """The row of a sidecar as an aggregator sends it, with the sidecar's objection."""

    objection: Objection | None = None


class _EdgesAnswer(msgspec.Struct, rename={"rows": "edges"}):
    """The part of an aggregator's answer to `GET /edges` that the list service reads."""

    rows: list[_ChildRow]


@dataclass(slots=True)
class ChildListing:
    """The rows of the children, by aggregator, and why an aggregator did not answer, by aggregator."""

    rows: dict[str, list[SidecarRow]] = field(default_factory=dict)
    unanswered: dict[str, str] = field(default_factory=dict)


async def request_child_rows(
    session: aiohttp.ClientSession, addresses: Mapping[str, str], expected: ExpectedState
) -> ChildListing:
    """Request the children's rows from all aggregators; `addresses` maps their names to HOST:PORT.

    The time that a request takes is added to the ages in its rows. Cancelling ends all requests.
    """
    listing, slots = ChildListing(), asyncio.Semaphore(MAX_CONCURRENT)

    async def request_from(name: str, address: str) -> None:
        async with slots:
            try:
                listing.rows[name] = await _request_rows(session, name, address, expected)
            except TimeoutError:
                listing.unanswered[name] = f"no answer from {address} within {TIMEOUT_S:g} s"
            except (aiohttp.ClientError, msgspec.MsgspecError, OSError, ValueError) as error:
                listing.unanswered[name] = f"{address}: {error}"[:MAX_REASON]

    await asyncio.gather(*(request_from(name, address) for name, address in addresses.items()))
    return listing


async def _request_rows(
    session: aiohttp.ClientSession, name: str, address: str, expected: ExpectedState
) -> list[SidecarRow]:
    if not address:
        message = "it has not reported where it addresses"
        raise ValueError(message)
    requested_s = time.monotonic()
    async with asyncio.timeout(TIMEOUT_S), session.get(f"http://{address}/edges") as response:
        response.raise_for_status()
        body = await _read_body(response)
    rows = msgspec.json.decode(body, type=_EdgesAnswer).rows
    elapsed_ms = (time.monotonic() - requested_s) * 1000.0
    return [_sidecar_row(child, name, elapsed_ms, expected) for child in rows]


def _sidecar_row(child: _ChildRow, via: str, elapsed_ms: float, expected: ExpectedState) -> SidecarRow:
    row = SidecarRow(**{field: getattr(child, field) for field in SidecarRow.__struct_fields__})
    row.via = via
    if row.age_ms is not None:
        row.age_ms = round(row.age_ms + elapsed_ms)
    row.behind = describe_lag(row, expected, child.objection)
    return row


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    with contextlib.closing(response):
        async for part in response.content.iter_any():
            body += part
            if len(body) > MAX_ANSWER_BYTES:
                message = f"its answer is longer than {MAX_ANSWER_BYTES} bytes"
                raise ValueError(message)
    return bytes(body)
