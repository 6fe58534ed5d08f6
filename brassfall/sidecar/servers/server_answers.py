"""What a server's answer means: the outcome of its attempt or health check, and a load report."""

from __future__ import annotations

from brassfall.balancer.model import Outcome
from brassfall.balancer.settings import Settings
from brassfall.sidecar import framing
from brassfall.sidecar.core.interfaces import Answer, ExchangeResult

LOAD_REPORT = b"x-load-report"
REJECTED = b"x-rejected"
NOT_FOR_CLIENTS = frozenset((LOAD_REPORT, REJECTED))
OK = 200
REJECTIONS = (503, 504)  # of an attempt with the header `REJECTED`; of a health check in any case


def client_headers(parser: framing.AnswerParser) -> framing.Headers:
    """Return the headers of an answer that its client gets."""
    return framing.end_to_end(parser.headers, NOT_FOR_CLIENTS)


class AnswerReader:
    """Reads complete answers; the settings say which fields a load report has."""

    def __init__(self, settings: Settings) -> None:
        self._fields = settings.report_fields if settings.report_how != "off" else ()

    @property
    def reports(self) -> bool:
        """True if servers report their load."""
        return bool(self._fields)

    def result(self, parser: framing.AnswerParser, *, health_check: bool) -> ExchangeResult:
        """Return the outcome of a complete answer, with the answer for the client if it is OK."""
        report = self._report(parser, health_check=health_check)
        status = parser.status
        if status == OK:
            return ExchangeResult(Outcome.OK, Answer(client_headers(parser), bytes(parser.body)), report)
        if status in REJECTIONS and (health_check or parser.header(REJECTED) == b"1"):
            return ExchangeResult(Outcome.FULL, None, report)
        return ExchangeResult(Outcome.ERROR, None, report)

    def _report(self, parser: framing.AnswerParser, *, health_check: bool) -> dict[str, float] | None:
        """Return the known fields of a load report that are numbers; None if there are none."""
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
