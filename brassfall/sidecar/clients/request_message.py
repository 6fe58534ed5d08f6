"""A client's request while it is parsed: its head, its buffered body, and the memory that it takes."""

from __future__ import annotations

from brassfall.sidecar.body import Body, MemoryBudget
from brassfall.sidecar.framing import Headers


class BadRequestError(Exception):
    """A request that is answered here, with this status.

    `status` is the HTTP status of the answer; the reason is one line of text for the client.
    """

    action = "the client has to mend its request as the answer says; 503 may be sent again"

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class Reservation:
    """The part of the memory budget that one message takes, in bytes."""

    __slots__ = ("size",)

    def __init__(self) -> None:
        self.size = 0

    def grow(self, budget: MemoryBudget, size: int) -> bool:
        """Reserve `size` bytes more; return False, without reserving any, if they are not free."""
        if not budget.reserve(size):
            return False
        self.size += size
        return True

    def release(self, budget: MemoryBudget) -> None:
        """Free all bytes: the message is no longer in memory."""
        budget.release(self.size)
        self.size = 0


class RequestMessage:
    """A request while it is read."""

    def __init__(self) -> None:
        self.method = ""
        self.target = b""
        self.headers: Headers = []
        self.body = bytearray()  # of a request that is buffered completely
        self.flowing_body: Body | None = None  # of a large request, which is forwarded as it comes
        self.size = 0  # bytes read, framing included
        self.body_size = 0  # bytes of the body read
        self.reservation = Reservation()
        self.head_complete = False
        self.continue_sent = False  # "100 Continue" was sent
        self._values: dict[str, str] = {}

    def header(self, name: str) -> str | None:
        """Return the value of a header, by its lower-case name; None if it is missing."""
        if not self._values:
            self._values = {
                key.decode("latin-1").lower(): value.decode("latin-1") for key, value in self.headers
            }
        return self._values.get(name)

    def required_header(self, name: str) -> str:
        """Return the value of a header that has to be there exactly once.

        Raises `BadRequestError` if it is missing or repeated: a server might read another one of repeated
        values than this sidecar.
        """
        value = self.header(name)
        if value is None:
            raise BadRequestError(400, f"{name}: missing")
        repeated = len(self._values) < len(self.headers)  # at least one header is
        if repeated and sum(key.lower() == name.encode() for key, _ in self.headers) > 1:
            raise BadRequestError(400, f"{name}: more than once")
        return value
