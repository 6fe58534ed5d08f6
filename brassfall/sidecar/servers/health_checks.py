"""The HTTP request of a health check."""

from __future__ import annotations

LIVENESS_TARGET = b"/health/live"
STATISTICS_TARGET = b"/stats"  # Target whose answer has a load report as its body
HEAD = b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n"


def message(server_name: str, *, with_report: bool) -> bytes:
    """Return the complete HTTP request of a health check.

    `with_report` asks for the server's load report; it is True if the servers of the deployment report their
    load.
    """
    return HEAD % (STATISTICS_TARGET if with_report else LIVENESS_TARGET, server_name.encode())
