"""Checks of the head of a client's request, before the request is admitted.

Each check returns the value that it has read, or raises `BadRequestError` with the answer to the request.
"""

from __future__ import annotations

import math
import re

from brassfall.sidecar.clients.request_message import BadRequestError, RequestMessage
from brassfall.sidecar.config_values import RequestClass, WireNames

BUDGET = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])")  # in milliseconds or microseconds
MAX_BUDGET_MS = 3_600_000.0
CALL_ID = re.compile(r"[!-~]{1,128}")


def request_class(message: RequestMessage, names: WireNames) -> RequestClass:
    """Return the class, which the path and `X-Call-Class` have to name alike, and which fixes the method."""
    path = message.target.partition(b"?")[0].decode("latin-1")
    first = path.split("/")[1] if path.startswith("/") else ""
    if first not in names.classes:
        # A request with the header is meant for servers, but its class does not exist.
        status = 400 if message.header("x-call-class") is not None else 404
        raise BadRequestError(status, "no such path")
    found = names.classes[first]
    if message.required_header("x-call-class") != first:
        raise BadRequestError(400, "X-Call-Class: not the first part of the path")
    if message.method != found.method:
        raise BadRequestError(400, f"the class asks for {found.method}")
    if found.keyed and not message.required_header("idempotency-key"):
        raise BadRequestError(400, "Idempotency-Key: empty")
    return found


def check_call_id(message: RequestMessage) -> None:
    """Check that the id of the request has 1 to 128 printable characters and no blanks."""
    if not CALL_ID.fullmatch(message.required_header("x-call-id")):
        raise BadRequestError(400, "X-Call-Id: not an id")


def budget_ms(message: RequestMessage) -> float:
    """Return the time that the client waits for its answer, in ms: more than 0, at most an hour."""
    match = BUDGET.fullmatch(message.required_header("x-budget"))
    if match is None:
        raise BadRequestError(400, "X-Budget: not a time")
    budget = float(match[1]) / (1.0 if match[2] == "m" else 1000.0)
    if not 0.0 < budget <= MAX_BUDGET_MS:
        raise BadRequestError(400, "X-Budget: out of range")
    return budget


def tenant(message: RequestMessage, names: WireNames) -> int:
    """Return the index of the client's tenant."""
    found = names.tenants.get(message.required_header("x-caller"))
    if found is None:
        raise BadRequestError(400, "X-Caller: not known")
    return found


def work_ms(message: RequestMessage) -> float | None:
    """Return the work of the request in ms; None without `X-Call-Cost`, which has it in microseconds."""
    text = message.header("x-call-cost")
    if text is None:
        return None
    try:
        work = float(text) / 1000.0
    except ValueError:
        work = math.nan
    if not 0.0 <= work < math.inf:
        raise BadRequestError(400, "X-Call-Cost: not a time")
    return work


def cookie(text: str, name: str) -> str | None:
    """Return the value of one cookie in a `Cookie` header; None if it is missing."""
    for pair in text.split(";"):
        key, found, value = pair.strip().partition("=")
        if found and key == name:
            return value
    return None


def check_framing(message: RequestMessage, version: str, *, upgrade: bool) -> None:
    """Check that the body will be forwarded as the client meant it.

    `version` is the version of HTTP, and `upgrade` whether the request offers another protocol.
    """
    if version not in ("1.0", "1.1"):
        raise BadRequestError(505, "HTTP/1.1 is spoken here")
    coding = message.header("transfer-encoding")
    if coding is not None and coding.lower() != "chunked":
        raise BadRequestError(501, "Transfer-Encoding: only chunked")
    bare = coding is None and message.header("content-length") in (None, "0")
    if upgrade and not bare:
        # The parser would read such a body as the other protocol's.
        raise BadRequestError(400, "Upgrade: not with a body")
