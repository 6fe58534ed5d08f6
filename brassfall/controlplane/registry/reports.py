"""Reports of sidecars as they come in: whole, or going on from the one before on the same connection."""

from __future__ import annotations

from aiohttp import web

from brassfall.controlplane.registry.callers import Connection
from brassfall.controlplane.revisions.reports import Report, parse_delta


def read_report(request: web.Request, name: str, body: bytes) -> Report:
    """The report of a sidecar; `ReportError` says what is wrong with it.

    It may go on from the one before of its name, on the same connection alone."""
    connection = request.protocol
    assert isinstance(connection, Connection)
    (whose, before), connection.report = connection.report, ("", {})
    report, raw = parse_delta(body, before if whose == name else None)
    connection.report = (name, raw)
    return report
