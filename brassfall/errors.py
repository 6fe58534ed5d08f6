"""Errors with a type: what happened, why, and what an operator can do. Pure code.

Every error of the package that reaches an operator or a caller belongs to one of these families, and its type
names an `action` of its own; `docs/operations.md` lists them all. `str()` gives all three parts in one line.
"""

from __future__ import annotations

from typing import Any, ClassVar


class BrassfallError(Exception):
    """The root: `what` happened, `why`, and `action`, a sentence that says what an operator can do.

    A type's `action` is for all its errors; an error that knows better is given its own."""

    action: str = "Report it: this error should have a type of its own."
    exit_status: ClassVar[int] = 1  # of a command that it ends: 1 failed, 2 wrong usage or configuration

    def __init_subclass__(cls, **options: Any) -> None:
        super().__init_subclass__(**options)
        action = cls.__dict__.get("action")
        # Not inherited: a family's general advice is too little for an error that has a name of its own.
        if not isinstance(action, str) or not action.strip().endswith("."):
            raise TypeError(f"{cls.__name__}: an error names in `action`, as a sentence, what can be done")

    def __init__(self, what: str, why: str = "", action: str = "") -> None:
        super().__init__(what, why, action)  # all of them, so that a copy from another process is whole
        self.what = what
        self.why = why
        if action:
            self.action = action

    @property
    def summary(self) -> str:
        """What happened and why, in one line, without what can be done."""
        return " ".join((f"{self.what}: {self.why}" if self.why else self.what).split())

    def __str__(self) -> str:
        return f"{self.summary.rstrip('.')}. {' '.join(self.action.split())}"


class UsageError(BrassfallError):
    """What was asked for can't be meant: an argument or a configuration; exit status 2."""

    action = "Mend the argument or the file, and run the command again."
    exit_status = 2


class RequestError(BrassfallError):
    """A call that is not carried out, and never will be as it is: 400 unless a subclass says else.

    On the wire it is `status` and the JSON of `wire()`. `slug` is for programs: it stays as it is."""

    action = "Mend the call as the reason says; the same call again is refused again."
    status: ClassVar[int] = 400
    slug: ClassVar[str] = "bad request"

    def wire(self) -> dict[str, str]:
        """The body of the answer."""
        return {"error": self.slug, "reason": str(self)}


class NotFoundError(RequestError):
    """What the call names is not there (404)."""

    action = "List what there is, and name one of it; what had a lease may have run out."
    status = 404
    slug = "not found"


class ConflictError(RequestError):
    """Somebody else has what the call wants (409)."""

    action = "Find who holds it, and end one of the two."
    status = 409
    slug = "conflict"


class PreconditionFailedError(RequestError):
    """The version that the call builds on is not the newest (412)."""

    action = "Read the newest version, decide anew, and send the call with that version."
    status = 412
    slug = "precondition failed"


class TooLargeError(RequestError):
    """More than the service takes (413)."""

    action = "Send less, or raise the limit in the service's configuration."
    status = 413
    slug = "too large"


class UnavailableError(RequestError):
    """Not now: it has not happened, and may succeed after `retry_s` seconds (503, `Retry-After`)."""

    action = "Send the call again after the time told; look at /status of the service if it goes on."
    status = 503
    slug = "unavailable"

    def __init__(self, what: str, why: str = "", action: str = "", *, retry_s: float = 1.0) -> None:
        super().__init__(what, why, action)
        self.retry_s = retry_s

    def __reduce__(self) -> tuple[Any, ...]:
        return type(self), self.args, {"retry_s": self.retry_s}


class RateLimitError(UnavailableError):
    """One caller calls more often than its limit (429, `Retry-After`)."""

    action = "Call less often, or raise the limit for one caller in the service's configuration."
    status = 429
    slug = "too many calls"


class StorageError(BrassfallError):
    """What should last can't be read or written; the text names the file."""

    action = "Look at the disk and at the file; start from a good copy, or empty where that is safe."


class UnreachableError(BrassfallError):
    """A process that was asked gave no good answer."""

    action = "See that it runs at that address and is reachable from here; its log and /status say more."


class ListenError(BrassfallError):
    """The address that a process should listen on can't be had."""

    action = "End whoever has that address, or name another one that this machine has."


class OperatingSystemError(BrassfallError):
    """The operating system refused what a command needs, and no part of the program knows more."""

    action = "Look at that file or address, at the disk, and at this user's rights and limits."


class ExperimentError(BrassfallError):
    """An experiment could not be played to its end; it says nothing about the versions."""

    action = "Look at the logs in the folder of the play, mend the cause, and run it again."
