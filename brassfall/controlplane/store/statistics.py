"""The statistics of a store. Pure code."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Statistics:
    """Counts since the start, and the state of the disk."""

    writes: int = 0  # records made durable
    commits: int = 0
    refused_writes: int = 0  # writes, because the queue was full
    failed_commits: int = 0  # commits that failed
    snapshots: int = 0
    expired_leases: int = 0  # leases
    suspected_leases: int = 0
    commit_s: float = 0.0  # time spent in commits
    disk_error: str = ""  # why the last commit failed; empty once one has succeeded
