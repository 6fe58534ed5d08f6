"""Checks of the head of a client's request, made before the request is given to the driver.

Each check returns the value that it has read, or raises a `BadRequestError` with the answer for the client.
"""

from __future__ import annotations

import math
import re

from brassfall.sidecar.clients.request_message import BadRequestError, RequestMessage
from brassfall.sidecar.config_values import RequestClass, WireNames

# Form of the header `X-Budget`: a number followed by `m` for milliseconds or `u` for microseconds.
BUDGET_PATTERN = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])")
MAX_BUDGET_MS = 3_600_000.0  # longest accepted budget of a request, in ms: one hour
CALL_ID_PATTERN = re.compile(r"[!-~]{1,128}")  # form of `X-Call-Id`: printable ASCII without blanks


def path_class_name(message: RequestMessage) -> str:
    """Return the first part of the path, which has to be the name of a class."""
    path = message.target.partition(b"?")[0].decode("latin-1")
    return path.split("/")[1] if path.startswith("/") else ""


def request_class(message: RequestMessage, names: WireNames) -> RequestClass:
    """Return the class of a request.

    The first part of the path and the header `X-Call-Class` have to name the same class. The class determines
    the method, and whether an idempotency key is required.
    """
    class_name = path_class_name(message)
    if class_name not in names.classes:
        # A request with `X-Call-Class` is meant for servers, but names a class that does not exist.
        status = 400 if message.header("x-call-class") is not None else 404
        raise BadRequestError(status, "no such path")
    found_class = names.classes[class_name]
    if message.required_header("x-call-class") != class_name:
        raise BadRequestError(400, "X-Call-Class: not the first part of the path")
    if message.method != found_class.method:
        raise BadRequestError(400, f"the class asks for {found_class.method}")
    if found_class.keyed and not message.required_header("idempotency-key"):
        raise BadRequestError(400, "Idempotency-Key: empty")
    return found_class


def call_id(message: RequestMessage) -> str:
    """Return `X-Call-Id`, which has 1 to 128 printable characters and no blanks."""
    value = message.required_header("x-call-id")
    if not CALL_ID_PATTERN.fullmatch(value):
        raise BadRequestError(400, "X-Call-Id: not an id")
    return value


def budget_ms(message: RequestMessage) -> float:
    """Return how long the client waits for its answer, in ms: more than 0 and at most one hour."""
    match = BUDGET_PATTERN.fullmatch(message.required_header("x-budget"))
    if match is None:
        raise BadRequestError(400, "X-Budget: not a time")
    budget = float(match[1]) / (1.0 if match[2] == "m" else 1000.0)
    if not 0.0 < budget <= MAX_BUDGET_MS:
        raise BadRequestError(400, "X-Budget: out of range")
    return budget


def tenant(message: RequestMessage, names: WireNames) -> int:
    """Return the index in the settings of the tenant that `X-Caller` names."""
    index = names.tenants.get(message.required_header("x-caller"))
    if index is None:
        raise BadRequestError(400, "X-Caller: not known")
    return index


def work_ms(message: RequestMessage) -> float | None:
    """Return the work of the request in ms; None if it has no `X-Call-Cost`, which is in microseconds."""
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
    """Return the value of the cookie `name` in the `Cookie` header `text`; None if it is missing."""
    for pair in text.split(";"):
        key, found, value = pair.strip().partition("=")
        if found and key == name:
            return value
    return None


def check_framing(message: RequestMessage, version: str, *, upgrade: bool) -> None:
    """Check that a server will find the same body in the forwarded request as the client sent.

    `version` is the HTTP version, and `upgrade` is whether the request offers to switch to another protocol.
    """
    if version not in ("1.0", "1.1"):
        raise BadRequestError(505, "HTTP version: only 1.0 and 1.1")
    coding = message.header("transfer-encoding")
    if coding is not None and coding.lower() != "chunked":
        raise BadRequestError(501, "Transfer-Encoding: only chunked")
    without_body = coding is None and message.header("content-length") in (None, "0")
    if upgrade and not without_body:
        # The HTTP parser would take the body of an upgrade request for data of the other protocol.
        raise BadRequestError(400, "Upgrade: not with a body")
