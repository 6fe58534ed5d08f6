"""The answer to a sidecar's report, by the service or an aggregator. Pure code."""

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
    """What a sidecar is answered. A field that is left out is as a sidecar takes it to be."""

    revision: int  # in force
    lease_ms: float  # counted from when the sidecar asked; 0: none, and `why` says why
    list_index: int
    has_changes: bool  # whether there is a revision or a list that the sidecar does not have
    epoch: int | None = None  # left out where the report named it
    pending: int = 0
    why: str = ""
    every_ms: float = pace.REPORT_INTERVAL_MS  # how far apart its reports are to be
    spread_ms: float = pace.MIN_SPREAD_MS  # over what span urgent reports are spread
    members: int = 1  # sidecars in the whole fleet
    times_left: TimesLeft = {}  # of overrides
    list_overrides: bool = False  # the next report is to list what it acts on
    elsewhere: bool = False  # another address may have a lease to grant
