"""The JSON form of the answer that a list service or aggregator gives to a sidecar's report."""

from __future__ import annotations

import msgspec

from brassfall.controlplane.aggregation.messages import TimesLeft
from brassfall.controlplane.revisions import pace


class ReportAnswer(
    msgspec.Struct,
    omit_defaults=True,
    kw_only=True,
    rename={
        "revision": "edition",
        "lease_ms": "permission_ms",
        "has_changes": "news",
        "epoch": "life",
        "members": "edges",
        "times_left": "left",
    },
):
    """The answer to a sidecar's report; a sidecar takes a field that is left out to have its default."""

    revision: int  # number of the committed revision
    lease_ms: float  # length of the lease, counted from when the report was sent; 0: no lease, see `why`
    list_index: int  # index of the endpoint list of the answering process
    has_changes: bool  # True if there is a newer revision or list than the sidecar has
    epoch: int | None = None  # epoch of the list service; left out if the report named the same
    pending: int = 0  # number of the pending revision; 0: none
    why: str = ""  # reason why no lease is granted
    every_ms: float = pace.REPORT_INTERVAL_MS  # interval at which the sidecar is to report
    spread_ms: float = pace.MIN_SPREAD_MS  # time span over which sidecars spread urgent reports
    members: int = 1  # number of sidecars in the whole fleet
    times_left: TimesLeft = {}  # remaining times of overrides
    list_overrides: bool = False  # True if the next report is to list the overrides that the sidecar acts on
    elsewhere: bool = False  # True if the sidecar may get a lease at another address
