"""Construction of the reports that an aggregator sends to the service."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice

from brassfall.controlplane.aggregation.messages import LAGGING_MOST, MEMBERS_MOST, AggregatorReport
from brassfall.controlplane.aggregation.state import AggregatorState


@dataclass(slots=True)
class Identity:
    """Identity of one aggregator process; its children reach it at the address `listen`."""

    process_id: str
    name: str
    region: str
    listen: str


class ReportBuilder:
    """Builder of the numbered reports of one aggregator process."""

    def __init__(self, state: AggregatorState, identity: Identity) -> None:
        self.state = state
        self.identity = identity

    def build(self, now: float) -> AggregatorReport:
        """Return the next report, which has to be sent; `now` is in ms of the aggregator's clock.

        Arrivals and departures are repeated in later reports until a report with them is answered. Measures
        are in one report only, even if it fails.
        """
        state, identity = self.state, self.identity
        state.last_seq += 1
        seq = state.last_seq
        state.child_leases.sweep(now)
        return AggregatorReport(
            process_id=identity.process_id,
            seq=seq,
            region=identity.region,
            listen=identity.listen,
            epoch=state.epoch,
            newest_revision=state.revisions.newest,
            acknowledged=state.pending,
            prepared=self._prepared(now),
            list_index=state.list.index,
            list_age_ms=max(0.0, now - state.list.confirmed_ms),
            children=state.membership.counts(now, state.child_leases),
            joined=state.membership.arrivals(seq, MEMBERS_MOST),
            departed=state.membership.departures(seq, MEMBERS_MOST),
            lagging=list(islice(state.child_leases.lagging(now), LAGGING_MOST)),
            objections=state.objections.reasons(state.pending),
            exceptions=state.exceptions.rows(now, state.membership.children),
            places=state.exceptions.places(),
            measures=state.delays.take(now),
            known_override_revision=state.override_times.known_for_report(now),
            leaving=self._leaving(now),
        )

    def _prepared(self, now: float) -> int:
        """Return the pending revision if each child with a lease has acknowledged it; else 0."""
        return self.state.pending if self.state.child_leases.all_acknowledged(now) else 0

    def _leaving(self, now: float) -> bool:
        """Return whether this process shuts down and no child has a lease any more.

        The first such report is stored in `leaving_seq`.
        """
        leaving = self.state.leaving and not self.state.child_leases.any(now)
        if leaving and not self.state.leaving_seq:
            self.state.leaving_seq = self.state.last_seq
        return leaving
