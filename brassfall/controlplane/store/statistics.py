"""The counters of a store, and the state of its disk. Pure code."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Statistics:
    """Counters since the start of the service, and the error of the disk while it fails."""

    writes: int = 0  # Records that were made durable
    commits: int = 0
    refused_writes: int = 0  # Writes that were refused because the queue was full or the service stopped
    failed_commits: int = 0
    snapshots: int = 0
    expired_leases: int = 0  # Leases whose end has deleted a row
    suspected_leases: int = 0  # Leases that ended but were kept because too many ended at once
    commit_s: float = 0.0  # Time spent in successful commits, in seconds
    disk_error: str = ""  # Error of the last commit; empty after a commit that succeeded
