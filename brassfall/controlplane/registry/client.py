"""A client of the list service: single calls and watches."""

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

MAX_REASON = 200  # characters
MAX_LINE = 2**22  # bytes of a watch's line

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
    address: str, method: str, path: str, body: object = None, headers: Mapping[str, str] | None = None
) -> Any:  # noqa: ANN401 - JSON of any form; `decode_answer` gives it a type
    """Make one call; return its JSON, or raise `CallError` with the service's reason or the failure."""
    try:
        async with (
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)) as session,
            session.request(method, f"http://{address}{path}", json=body, headers=headers) as answer,
        ):
            data = await answer.read()
    except UNANSWERED as error:
        raise CallError(address, str(error)[:MAX_REASON] or "no answer") from error
    if answer.status != 200:
        raise _refused(address, answer.status, data)
    try:
        return msgspec.json.decode(data)
    except UNREADABLE as error:
        raise CallError(address, "the answer is no JSON", ANOTHER_PROGRAM) from error


async def watch(address: str, path: str, index: int = 0) -> AsyncIterator[bytes]:
    """Yield the lines of one watch, with empty ones, until it ends; raise `CallError` if it fails."""
    limit = aiohttp.ClientTimeout(total=None, connect=CALL_TIMEOUT_S, sock_read=SILENCE_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=limit, read_bufsize=MAX_LINE) as session,
            session.get(f"http://{address}{path}?watch=1&from={index}") as answer,
        ):
            if answer.status != 200:
                raise _refused(address, answer.status, await answer.read())
            async for line in answer.content:
                yield line.strip()
    except UNANSWERED as error:
        raise CallError(address, str(error)[:MAX_REASON] or "the watch fell silent") from error


async def read_bounded(answer: aiohttp.ClientResponse, most: int) -> bytes:
    """Return the body of an answer; raise `ValueError`, and close its connection, if it is too long."""
    body = bytearray()
    async for part in answer.content.iter_any():
        body += part
        if len(body) > most:
            answer.close()
            message = f"an answer of more than {most} bytes"
            raise ValueError(message)
    return bytes(body)


def decode_answer(address: str, kind: type[Kind], raw: object) -> Kind:
    """Return an answer, or a line of a watch, as its type; raise `CallError` if it is malformed."""
    try:
        return msgspec.json.decode(raw, type=kind) if isinstance(raw, bytes) else msgspec.convert(raw, kind)
    except UNREADABLE as error:
        raise CallError(address, f"what came is not what was asked for: {error}", ANOTHER_PROGRAM) from error


def retry_after_s(text: str | None) -> float:
    """Return the seconds of a `Retry-After`, up to a minute; 0 if it is malformed."""
    try:
        return min(max(float(text or 0.0), 0.0), 60.0)
    except ValueError:
        return 0.0


def _refused(address: str, status: int, body: bytes) -> CallRefusedError:
    text, _, action = reason_of(body).partition(". ")
    return CallRefusedError(address, f"{status}, {text}", action)


def reason_of(body: bytes) -> str:
    """Return the reason in an error's answer, or the start of a body in another form."""
    try:
        return _error_answer(body).reason
    except UNREADABLE:
        return body[:MAX_REASON].decode("latin-1")
