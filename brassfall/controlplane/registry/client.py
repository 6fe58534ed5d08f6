"""The callers' side of the list service: single calls and watches."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from typing import Any, TypeVar

import aiohttp
import msgspec
from aiohttp.http import HttpProcessingError

from brassfall.errors import UnreachableError

CALL_TIMEOUT_S = 2.0
# The last two: an address that is no URL, and a line or a head without end.
UNANSWERED = (aiohttp.ClientError, TimeoutError, OSError, ValueError, HttpProcessingError)
UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
ANOTHER_PROGRAM = "Another program seems to listen there: name the address of a list service."
SILENCE_TIMEOUT_S = 4.5  # a watch brings a heartbeat every 2 s

REASON_MOST = 200  # characters
LINE_MOST = 2**22  # bytes of a watch's line

Kind = TypeVar("Kind")


class ErrorAnswer(msgspec.Struct, frozen=True):
    """The body of an answer that is an error."""

    reason: str


_error_answer = msgspec.json.Decoder(ErrorAnswer, strict=False).decode


class CallError(UnreachableError):
    """A call had no good answer; its text is one line."""

    action = "See that a list service runs at that address and is reachable from here; its log says more."


class CallRefusedError(CallError):
    """The service refused a call; the text is the service's own, and says what can be done."""

    action = "See the log of the list service for what it refused."


async def call(
    address: str, method: str, path: str, body: Any = None, headers: Mapping[str, str] | None = None
) -> Any:
    """One call and its JSON; `CallError` has the service's reason, or says that there was no answer."""
    try:
        async with (
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)) as session,
            session.request(method, f"http://{address}{path}", json=body, headers=headers) as answer,
        ):
            data = await answer.read()
    except UNANSWERED as error:
        raise CallError(address, str(error)[:REASON_MOST] or "no answer") from error
    if answer.status != 200:
        raise _refused(address, answer.status, data)
    try:
        return msgspec.json.decode(data)
    except UNREADABLE as error:
        raise CallError(address, "what came is no JSON", ANOTHER_PROGRAM) from error


async def watch(address: str, path: str, index: int = 0) -> AsyncIterator[bytes]:
    """The lines of one watch, the empty ones included, until it ends; `CallError` if there is none."""
    limit = aiohttp.ClientTimeout(total=None, connect=CALL_TIMEOUT_S, sock_read=SILENCE_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=limit, read_bufsize=LINE_MOST) as session,
            session.get(f"http://{address}{path}?watch=1&from={index}") as answer,
        ):
            if answer.status != 200:
                raise _refused(address, answer.status, await answer.read())
            async for line in answer.content:
                yield line.strip()
    except UNANSWERED as error:
        raise CallError(address, str(error)[:REASON_MOST] or "the watch fell silent") from error


async def read_bounded(answer: aiohttp.ClientResponse, most: int) -> bytes:
    """The whole body of an answer; `ValueError`, and the end of its connection, where it is longer."""
    body = bytearray()
    async for part in answer.content.iter_any():
        body += part
        if len(body) > most:
            answer.close()
            raise ValueError(f"an answer of more than {most} bytes")
    return bytes(body)


def read(address: str, kind: type[Kind], raw: Any) -> Kind:
    """An answer, or a line of a watch, as its type; `CallError` where it is none."""
    try:
        return msgspec.json.decode(raw, type=kind) if isinstance(raw, bytes) else msgspec.convert(raw, kind)
    except UNREADABLE as error:
        raise CallError(address, f"what came is not what was asked for: {error}", ANOTHER_PROGRAM) from error


def retry_after_s(text: str | None) -> float:
    """The seconds of a `Retry-After`, up to a minute; 0 where it has nothing usable."""
    try:
        return min(max(float(text or 0.0), 0.0), 60.0)
    except ValueError:
        return 0.0


def _refused(address: str, status: int, body: bytes) -> CallRefusedError:
    text, _, action = reason_of(body).partition(". ")
    return CallRefusedError(address, f"{status}, {text}", action)


def reason_of(body: bytes) -> str:
    """The reason that an error's answer gives, or the start of the body where it has another form."""
    try:
        return _error_answer(body).reason
    except UNREADABLE:
        return body[:REASON_MOST].decode("latin-1")
