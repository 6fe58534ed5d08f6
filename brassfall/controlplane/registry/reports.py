"""Parsing of sidecars' reports, which are complete or a delta to the last report on the connection."""

from __future__ import annotations

from aiohttp import web

from brassfall.controlplane.registry.callers import Connection, LastReport
from brassfall.controlplane.revisions.reports import Report, parse_delta


def read_report(request: web.Request, name: str, body: bytes) -> Report:
    """Parse the report of the sidecar `name`; raise `ReportError` if it is malformed.

    The body may be a delta to the last report of the same sidecar on the same connection.
    """
    connection = request.protocol
    assert isinstance(connection, Connection)
    last, connection.last_report = connection.last_report, LastReport()
    report, fields = parse_delta(body, last.fields if last.name == name else None)
    connection.last_report = LastReport(name, fields)
    return report
