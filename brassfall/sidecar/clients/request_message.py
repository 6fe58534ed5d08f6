"""Client's request while it is parsed: its head, its buffered body, and the memory reserved for it."""

from __future__ import annotations

from brassfall.sidecar.body import Body, Reservation
from brassfall.sidecar.framing import HeaderBlock, Headers


class BadRequestError(Exception):
    """Error about a request that is not forwarded but answered by this sidecar.

    `status` is the HTTP status of the answer, and `reason` is one line of text for the client.
    """

    action = "correct the client's request as the answer says; a request answered 503 may be sent again"

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class RequestMessage:
    """Request that is being read from a client connection."""

    def __init__(self) -> None:
        self.method = ""
        self.target = b""
        self.body = bytearray()  # body of a request that is buffered completely
        self.streamed_body: Body | None = None  # body of a large request, which is forwarded as it arrives
        self.size = 0  # number of bytes read, framing included
        self.length: int | None = None  # length of the body that the head states; None if it states none
        self.body_size = 0  # number of bytes of the body read
        self.reservation = Reservation()
        self.head_complete = False
        self.awaits_continue = False  # True if the interim answer "100 Continue" is still to be sent
        self.header_block = HeaderBlock()
        self._header_values: dict[str, str] = {}  # last value of each header, by its lower-case name

    @property
    def headers(self) -> Headers:
        """Headers of the request."""
        return self.header_block.pairs()

    def compact(self) -> None:
        """Reduce the memory of the head to little more than its text, because the request is incomplete."""
        self.header_block.compact()
        self._header_values = {}

    def header(self, name: str) -> str | None:
        """Return the value of the header with this lower-case name; None if it is missing."""
        if not self._header_values:
            self._header_values = {
                key.decode("latin-1").lower(): value.decode("latin-1") for key, value in self.headers
            }
        return self._header_values.get(name)

    def required_header(self, name: str) -> str:
        """Return the value of a header that has to be present exactly once.

        Raises `BadRequestError` if the header is missing or repeated. A repeated header is not accepted
        because a server might use another one of its values than this sidecar.
        """
        value = self.header(name)
        if value is None:
            raise BadRequestError(400, f"{name}: missing")
        headers = self.headers
        some_repeated = len(self._header_values) < len(headers)
        if some_repeated and sum(key.lower() == name.encode() for key, _ in headers) > 1:
            raise BadRequestError(400, f"{name}: more than once")
        return value
