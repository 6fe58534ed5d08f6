"""The request of a health check; a server answers it with its state and perhaps its load report."""

from __future__ import annotations

LIVENESS_TARGET = b"/health/live"
STATISTICS_TARGET = b"/stats"  # its body is a load report
HEAD = b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n"


def message(server_name: str, *, with_report: bool) -> bytes:
    """Return the complete request; `with_report` if the deployment's servers report their load."""
    return HEAD % (STATISTICS_TARGET if with_report else LIVENESS_TARGET, server_name.encode())
