"""Base classes of the program's errors; each error says what happened, why, and what an operator can do.

Every error that reaches an operator or a caller is a subclass of one of these classes, and each class defines
its own `action`. `docs/operations.md` lists all error classes. `str()` of an error gives its `what`,
`why` and `action` in one line.
"""

from __future__ import annotations

from typing import Any, ClassVar


class BrassfallError(Exception):
    """Base class of all errors: `what` happened, `why`, and `action`, a sentence on what an operator can do.

    An instance uses the `action` of its class unless its constructor is given another one.
    """

    action: str = "Report this message as a defect: the error should have a class of its own."
    exit_status: ClassVar[int] = 1  # Status of a command: 1 failed, 2 bad usage or configuration

    def __init_subclass__(cls, **options: object) -> None:
        super().__init_subclass__(**options)
        action = cls.__dict__.get("action")
        # An inherited `action` is rejected, because the advice of a base class is too general for a subclass.
        if not isinstance(action, str) or not action.strip().endswith("."):
            message = f"{cls.__name__}: `action` must be a sentence that says what to do and ends with '.'"
            raise TypeError(message)

    def __init__(self, what: str, why: str = "", action: str = "") -> None:
        super().__init__(what, why, action)  # Pickling rebuilds the error from these `args`
        self.what = what
        self.why = why
        if action:
            self.action = action

    @property
    def summary(self) -> str:
        """`what` and `why` in one line, without `action`."""
        return " ".join((f"{self.what}: {self.why}" if self.why else self.what).split())

    def __str__(self) -> str:
        return f"{self.summary.rstrip('.')}. {' '.join(self.action.split())}"


class UsageError(BrassfallError):
    """Invalid command-line argument or configuration; the command exits with status 2."""

    action = "Correct the argument or the file, and run the command again."
    exit_status = 2


class RequestError(BrassfallError):
    """Invalid request (400); subclasses have other statuses.

    The HTTP response has the status `status` and the JSON of `wire()` as its body. Client programs compare
    `slug`, so the slug of a class must not change.
    """

    action = "Correct the request as the reason says; the same request fails again."
    status: ClassVar[int] = 400
    slug: ClassVar[str] = "bad request"

    def wire(self) -> dict[str, str]:
        """Return the body of the HTTP response, to be encoded as JSON."""
        return {"error": self.slug, "reason": str(self)}


class NotFoundError(RequestError):
    """Request for something that does not exist (404)."""

    action = "List what exists, and name one of it; a lease may have expired."
    status = 404
    slug = "not found"


class ConflictError(RequestError):
    """Request for something that another process holds (409)."""

    action = "Find the process that has it, and end one of the two."
    status = 409
    slug = "conflict"


class PreconditionFailedError(RequestError):
    """Request whose `If-Match` header does not name the newest version (412)."""

    action = "Read the newest version, decide again, and send the request with that version."
    status = 412
    slug = "precondition failed"


class TooLargeError(RequestError):
    """Request that is larger than the service accepts (413)."""

    action = "Send less, or raise the limit in the service's configuration."
    status = 413
    slug = "too large"


class UnavailableError(RequestError):
    """Request that the service can't carry out now; retry after `retry_s` seconds (503, `Retry-After`)."""

    action = "Retry after the time in Retry-After; if it goes on, look at /status of the service."
    status = 503
    slug = "unavailable"

    def __init__(self, what: str, why: str = "", action: str = "", *, retry_s: float = 1.0) -> None:
        super().__init__(what, why, action)
        self.retry_s = retry_s

    def __reduce__(self) -> tuple[Any, ...]:
        return type(self), self.args, {"retry_s": self.retry_s}


class RateLimitError(UnavailableError):
    """Request of a caller that exceeds its rate limit (429, `Retry-After`)."""

    action = "Call less often, or raise the limit for one caller in the service's configuration."
    status = 429
    slug = "too many calls"


class StorageError(BrassfallError):
    """Durable data that can't be read or written; `what` or `why` names the file."""

    action = "Check the disk and the file; restore an intact copy, or start without data where that is safe."


class UnreachableError(BrassfallError):
    """Process that can't be reached or gave no valid answer."""

    action = (
        "Check that the process runs at that address and is reachable from here; read its log and /status."
    )


class ListenError(BrassfallError):
    """Address on which a process can't listen."""

    action = "Stop the process that uses that address, or configure another address of this machine."


class OperatingSystemError(BrassfallError):
    """System call of a command that the operating system refused."""

    action = "Check that file or address, the disk, and the permissions and resource limits of this user."


class ExperimentError(BrassfallError):
    """Experiment that could not run to its end and has no result."""

    action = "Read the logs in the folder of the failed run, remove the cause, and run the experiment again."
