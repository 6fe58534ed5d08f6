"""A client of the list service's HTTP calls and watches, and helpers to read its answers."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from typing import Any, TypeVar

import aiohttp
import msgspec
from aiohttp.http import HttpProcessingError

from brassfall.errors import UnreachableError

CALL_TIMEOUT_S = 2.0
# Exceptions of a call that got no answer. `ValueError` stands for an address that makes no valid URL,
# `HttpProcessingError` for an answer with an endless line or head.
CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError, HttpProcessingError)
DECODING_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
ANOTHER_PROGRAM = "Another program seems to listen there: name the address of a list service."
SILENCE_TIMEOUT_S = 4.5  # time limit for the next bytes of a watch, which sends a heartbeat every 2 s

MAX_REASON = 200  # length to which the reason of a failed call is cut, in characters
MAX_LINE_BYTES = 2**22  # maximum length of a line of a watch, in bytes

Decoded = TypeVar("Decoded")


class ErrorAnswer(msgspec.Struct, frozen=True):
    """The JSON body of an answer with an error status."""

    reason: str


_error_answer = msgspec.json.Decoder(ErrorAnswer, strict=False).decode


class CallError(UnreachableError):
    """A call got no answer, an error status or a malformed answer; the error's text is one line."""

    action = "See that a list service runs at that address and is reachable from here; its log says more."


class CallRefusedError(CallError):
    """The service answered a call with an error status; reason and action are the service's own."""

    action = "See the log of the list service for what it refused."


async def call(
    address: str, method: str, path: str, body: object = None, headers: Mapping[str, str] | None = None
) -> Any:  # noqa: ANN401 - JSON of any form; `decode_answer` gives it a type
    """Make one call; return the decoded JSON of its answer.

    `address` is HOST:PORT. Raise `CallError` with the service's reason, or with the failure of the call.
    """
    try:
        async with (
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)) as session,
            session.request(method, f"http://{address}{path}", json=body, headers=headers) as answer,
        ):
            data = await answer.read()
    except CONNECTION_ERRORS as error:
        raise CallError(address, str(error)[:MAX_REASON] or "no answer") from error
    if answer.status != 200:
        raise _refusal_error(address, answer.status, data)
    try:
        return msgspec.json.decode(data)
    except DECODING_ERRORS as error:
        raise CallError(address, "the answer is no JSON", ANOTHER_PROGRAM) from error


async def watch(address: str, path: str, index: int = 0) -> AsyncIterator[bytes]:
    """Yield the lines of one watch, including the empty heartbeats, until the service ends it.

    `index` is the last one that the caller has. Raise `CallError` if the watch fails.
    """
    limit = aiohttp.ClientTimeout(total=None, connect=CALL_TIMEOUT_S, sock_read=SILENCE_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=limit, read_bufsize=MAX_LINE_BYTES) as session,
            session.get(f"http://{address}{path}?watch=1&from={index}") as answer,
        ):
            if answer.status != 200:
                raise _refusal_error(address, answer.status, await answer.read())
            async for line in answer.content:
                yield line.strip()
    except CONNECTION_ERRORS as error:
        raise CallError(address, str(error)[:MAX_REASON] or "the watch fell silent") from error


async def read_bounded(answer: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of an answer; if it is too long, close its connection and raise `ValueError`."""
    body = bytearray()
    async for part in answer.content.iter_any():
        body += part
        if len(body) > max_bytes:
            answer.close()
            message = f"an answer of more than {max_bytes} bytes"
            raise ValueError(message)
    return bytes(body)


def decode_answer(address: str, form: type[Decoded], raw: object) -> Decoded:
    """Convert the JSON of an answer, or of a line of a watch, to a type; raise `CallError` if that fails."""
    try:
        return msgspec.json.decode(raw, type=form) if isinstance(raw, bytes) else msgspec.convert(raw, form)
    except DECODING_ERRORS as error:
        raise CallError(address, f"the answer has an unexpected form: {error}", ANOTHER_PROGRAM) from error


def retry_after_s(text: str | None) -> float:
    """Parse the header `Retry-After` into seconds, 60 at most; return 0 if it is missing or malformed."""
    try:
        return min(max(float(text or 0.0), 0.0), 60.0)
    except ValueError:
        return 0.0


def _refusal_error(address: str, status: int, body: bytes) -> CallRefusedError:
    text, _, action = error_reason(body).partition(". ")
    return CallRefusedError(address, f"{status}, {text}", action)


def error_reason(body: bytes) -> str:
    """Return the reason in the body of an error answer, or the start of a body that has none."""
    try:
        return _error_answer(body).reason
    except DECODING_ERRORS:
        return body[:MAX_REASON].decode("latin-1")
