"""Judges a play by its ledger: the rules that were broken, and the service that was given. Pure code."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from brassfall.lab.rules import Collapse, Finding, Records, broken_rules
from brassfall.lab.service import Statistics, statistics
from brassfall.lab.spec import Measure, RequestClass


class Judgement(msgspec.Struct):
    """All that a ledger shows."""

    statistics: Statistics = msgspec.field(name="figures")
    findings: list[Finding]


def judge(
    records: Records,
    classes: Sequence[RequestClass],
    lasts: float,
    slack: float,
    collapse: Collapse,
    measures: Sequence[Measure] = (),
) -> Judgement:
    """Judge a play that lasted so many ms; `slack` is what is allowed for transit, in ms."""
    by_name = {request_class.name: request_class for request_class in classes}
    findings = broken_rules(records, by_name, slack, collapse)
    return Judgement(statistics(records, by_name, lasts, measures), findings)
