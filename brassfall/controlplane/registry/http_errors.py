"""HTTP error answers: a status, and JSON with a slug for programs and a reason for people."""

from __future__ import annotations

from aiohttp import web

from brassfall.errors import (
    ConflictError,
    NotFoundError,
    PreconditionFailedError,
    RateLimitError,
    RequestError,
    TooLargeError,
    UnavailableError,
)

MIN_RETRY_S = 0.05  # minimum value of `Retry-After`


class UnknownPathError(NotFoundError):
    """The path of the request does not exist (404)."""

    action = "See docs/registry.md for the paths; a service of an earlier version lacks the newer ones."


class MethodNotAllowedError(RequestError):
    """The path exists, but does not support the method of the request (405)."""

    action = "See docs/registry.md for the methods of the path."
    status = 405
    slug = "method not allowed"


class BodyTimeoutError(RequestError):
    """The body of the request did not arrive in time (408)."""

    action = "Send the complete body at once; look at the network between the two."
    status = 408
    slug = "too slow"


class InternalError(RequestError):
    """A request failed because of a defect in the service (500)."""

    action = (
        "Report it with the traceback that the service's log has under "
        "`unexpected exception in this program`."
    )
    status = 500
    slug = "internal error"


class TryOtherAddressError(RequestError):
    """This process can't answer, but another address may (503, without `Retry-After`)."""

    action = "Ask another aggregator, or the list service; /health/ready here says what is missing."
    status = 503
    slug = "unavailable"


BY_STATUS: dict[int, type[RequestError]] = {
    kind.status: kind
    for kind in (
        RequestError,
        NotFoundError,
        MethodNotAllowedError,
        BodyTimeoutError,
        ConflictError,
        PreconditionFailedError,
        TooLargeError,
        RateLimitError,
        InternalError,
        UnavailableError,
    )
}


def status_response(status: int, reason: str, retry_s: float | None = None) -> web.Response:
    """Return the error answer for a status and a reason; `retry_s` adds the header `Retry-After`."""
    return error_response(BY_STATUS.get(status, RequestError)(reason), retry_s, status)


def error_response(
    error: RequestError, retry_s: float | None = None, status: int | None = None
) -> web.Response:
    """Return the HTTP answer for an error; `retry_s` and `status` override the error's own values."""
    status = error.status if status is None else status
    body = error.wire() if status in BY_STATUS else {**error.wire(), "error": "error"}
    wait_s = error.retry_s if retry_s is None and isinstance(error, UnavailableError) else retry_s
    headers = {} if wait_s is None else {"Retry-After": f"{max(wait_s, MIN_RETRY_S):.2f}"}
    return web.json_response(body, status=status, headers=headers)
