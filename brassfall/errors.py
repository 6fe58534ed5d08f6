"""Hierarchy of errors: what happened, why, and what an operator can do.

Every error that reaches an operator or a caller belongs to one of these families, and its type has an
`action` of its own; `docs/operations.md` lists them all. `str()` gives all three parts in one line.
"""

from __future__ import annotations

from typing import Any, ClassVar


class BrassfallError(Exception):
    """The root: `what` happened, `why`, and `action`, a sentence that says what an operator can do.

    `action` of the type applies unless an instance is given one.
    """

    action: str = "Report it: this error should have a type of its own."
    exit_status: ClassVar[int] = 1  # of a command that it ends: 1 failed, 2 wrong usage or configuration

    def __init_subclass__(cls, **options: object) -> None:
        super().__init_subclass__(**options)
        action = cls.__dict__.get("action")
        # Not inherited: the advice of the family is too general for an error with a name of its own.
        if not isinstance(action, str) or not action.strip().endswith("."):
            message = f"{cls.__name__}: `action` has to be a sentence that says what can be done"
            raise TypeError(message)

    def __init__(self, what: str, why: str = "", action: str = "") -> None:
        super().__init__(what, why, action)  # complete, for pickling
        self.what = what
        self.why = why
        if action:
            self.action = action

    @property
    def summary(self) -> str:
        """What happened and why, in one line, without the action."""
        return " ".join((f"{self.what}: {self.why}" if self.why else self.what).split())

    def __str__(self) -> str:
        return f"{self.summary.rstrip('.')}. {' '.join(self.action.split())}"


class UsageError(BrassfallError):
    """An argument or a configuration is invalid; exit status 2."""

    action = "Correct the argument or the file, and run the command again."
    exit_status = 2


class RequestError(BrassfallError):
    """A request is invalid: 400 unless a subclass has another status.

    On the wire it is `status` and the JSON of `wire()`. Programs read `slug`: it does not change.
    """

    action = "Correct the request as the reason says; the same request fails again."
    status: ClassVar[int] = 400
    slug: ClassVar[str] = "bad request"

    def wire(self) -> dict[str, str]:
        """Return the body of the answer."""
        return {"error": self.slug, "reason": str(self)}


class NotFoundError(RequestError):
    """The request names something that does not exist (404)."""

    action = "List what exists, and name one of it; a lease may have expired."
    status = 404
    slug = "not found"


class ConflictError(RequestError):
    """Another process has what the request wants (409)."""

    action = "Find the process that has it, and end one of the two."
    status = 409
    slug = "conflict"


class PreconditionFailedError(RequestError):
    """The version in `If-Match` is not the newest (412)."""

    action = "Read the newest version, decide again, and send the request with that version."
    status = 412
    slug = "precondition failed"


class TooLargeError(RequestError):
    """The request is larger than the service accepts (413)."""

    action = "Send less, or raise the limit in the service's configuration."
    status = 413
    slug = "too large"


class UnavailableError(RequestError):
    """Not carried out for now; a retry may succeed after `retry_s` seconds (503, `Retry-After`)."""

    action = "Retry after the time in Retry-After; if it goes on, look at /status of the service."
    status = 503
    slug = "unavailable"

    def __init__(self, what: str, why: str = "", action: str = "", *, retry_s: float = 1.0) -> None:
        super().__init__(what, why, action)
        self.retry_s = retry_s

    def __reduce__(self) -> tuple[Any, ...]:
        return type(self), self.args, {"retry_s": self.retry_s}


class RateLimitError(UnavailableError):
    """One caller exceeds its rate limit (429, `Retry-After`)."""

    action = "Call less often, or raise the limit for one caller in the service's configuration."
    status = 429
    slug = "too many calls"


class StorageError(BrassfallError):
    """Durable data can't be read or written; the text names the file."""

    action = "Look at the disk and at the file; start from a good copy, or empty where that is safe."


class UnreachableError(BrassfallError):
    """A process gave no valid answer."""

    action = "Check that it runs at that address and is reachable from here; its log and /status say more."


class ListenError(BrassfallError):
    """A process can't listen on its address."""

    action = "End the process that has that address, or configure another address of this machine."


class OperatingSystemError(BrassfallError):
    """The operating system refused a call that a command needs."""

    action = "Look at that file or address, at the disk, and at this user's rights and limits."


class ExperimentError(BrassfallError):
    """An experiment could not be played to its end; it has no result."""

    action = "Look at the logs in the folder of the play, remove the cause, and run it again."
