"""Asks aggregators for the rows of their children, within a bounded time."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

import aiohttp
import msgspec

from brassfall.controlplane.registry.sidecar_rows import SidecarRow, View, behind
from brassfall.controlplane.revisions.reports import Objection

ASK_S = 1.0
AT_ONCE = 8
ANSWER_BYTES = 4_000_000


class _ChildRow(SidecarRow, kw_only=True):
    """A row as an aggregator tells it."""

    objection: Objection | None = None


class _Answer(msgspec.Struct):
    edges: list[_ChildRow]


@dataclass(slots=True)
class Gathered:
    """The rows of each aggregator that answered, and why the others did not."""

    rows: dict[str, list[SidecarRow]] = field(default_factory=dict)
    unanswered: dict[str, str] = field(default_factory=dict)


async def gather(session: aiohttp.ClientSession, listens: Mapping[str, str], view: View) -> Gathered:
    """Ask all at the addresses where they listen, by name. Ages are counted from the moment of asking."""
    made, room = Gathered(), asyncio.Semaphore(AT_ONCE)

    async def ask(name: str, listen: str) -> None:
        async with room:
            try:
                made.rows[name] = await _ask(session, name, listen, view)
            except TimeoutError:
                made.unanswered[name] = f"no answer from {listen} within {ASK_S:g} s"
            except (aiohttp.ClientError, msgspec.MsgspecError, OSError, ValueError) as error:
                made.unanswered[name] = f"{listen}: {error}"[:200]

    await asyncio.gather(*(ask(name, listen) for name, listen in listens.items()))
    return made


async def _ask(session: aiohttp.ClientSession, name: str, listen: str, view: View) -> list[SidecarRow]:
    if not listen:
        raise ValueError("it has not told where it listens")
    asked = time.monotonic()
    async with asyncio.timeout(ASK_S), session.get(f"http://{listen}/edges") as answer:
        answer.raise_for_status()
        body = await _read(answer)
    told = msgspec.json.decode(body, type=_Answer).edges
    on_the_way = (time.monotonic() - asked) * 1000.0
    return [_row(each, name, on_the_way, view) for each in told]


def _row(told: _ChildRow, via: str, on_the_way_ms: float, view: View) -> SidecarRow:
    row = SidecarRow(**{field: getattr(told, field) for field in SidecarRow.__struct_fields__})
    row.via = via
    if row.age_ms is not None:
        row.age_ms = round(row.age_ms + on_the_way_ms)
    row.behind = behind(row, view, told.objection)
    return row


async def _read(answer: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    with contextlib.closing(answer):
        async for part in answer.content.iter_any():
            body += part
            if len(body) > ANSWER_BYTES:
                raise ValueError(f"its answer is longer than {ANSWER_BYTES} bytes")
    return bytes(body)
