"""Interpretation of a server's answer: the outcome of the attempt or health check, and the load report."""

from __future__ import annotations

from brassfall.balancer.model import Outcome
from brassfall.balancer.settings import Settings
from brassfall.sidecar import framing
from brassfall.sidecar.core.interfaces import Answer, ExchangeResult

LOAD_REPORT = b"x-load-report"
REJECTED = b"x-rejected"
NOT_FOR_CLIENTS = frozenset((LOAD_REPORT, REJECTED))
OK = 200
# Status codes of a rejection: always for a health check, and for an attempt if the header `REJECTED` is 1.
REJECTIONS = (503, 504)


def client_headers(parser: framing.AnswerParser) -> framing.Headers:
    """Return the headers of a server's answer that are passed on to the client."""
    return framing.end_to_end(parser.headers, NOT_FOR_CLIENTS)


class AnswerReader:
    """Turns complete answers into exchange results; the settings name the fields of load reports."""

    def __init__(self, settings: Settings) -> None:
        self._fields = settings.report_fields if settings.report_how != "off" else ()

    @property
    def reports(self) -> bool:
        """True if servers report their load."""
        return bool(self._fields)

    def result(self, parser: framing.AnswerParser, *, health_check: bool) -> ExchangeResult:
        """Return the result of an exchange from a complete answer.

        The result includes the answer for the client only if the outcome is `OK`.
        """
        report = self._report(parser, health_check=health_check)
        status = parser.status
        if status == OK:
            return ExchangeResult(Outcome.OK, Answer(client_headers(parser), bytes(parser.body)), report)
        if status in REJECTIONS and (health_check or parser.header(REJECTED) == b"1"):
            return ExchangeResult(Outcome.REJECTED, None, report)
        return ExchangeResult(Outcome.ERROR, None, report)

    def _report(self, parser: framing.AnswerParser, *, health_check: bool) -> dict[str, float] | None:
        """Return the known, numeric fields of an answer's load report; None if there are none."""
        if not self._fields:
            return None
        text = parser.header(LOAD_REPORT) or (bytes(parser.body) if health_check else b"")
        report = {}
        for pair in text.decode("latin-1").split(","):
            name, _, value = pair.strip().partition("=")
            if name in self._fields:
                try:
                    report[name] = float(value)
                except ValueError:
                    continue
        return report or None
