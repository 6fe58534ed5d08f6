"""What holds for all tests, before any of them is imported."""

from __future__ import annotations

import os
import signal

import pytest

# The matrices here are small: on one core each, the linear algebra is done sooner than split over all.
os.environ |= {"OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1", "MKL_NUM_THREADS": "1"}

# A shell without job control starts what it puts in the background with SIGINT ignored, and every process
# from there on would ignore the one that some tests send.
if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
    signal.signal(signal.SIGINT, signal.default_int_handler)

# Modules whose tests start processes, use sockets or wait in real time. They run few at a time, each module
# in one worker (`tests/run.sh`); all other tests are pure, or run in simulated time, and share all cores.
REAL_TIME = frozenset(
    [
        "balancer/endurance",
        "cli/errors",
        "cli/registry_command",
        "controlplane/aggregator_shell",
        "controlplane/aggregators_service",
        "controlplane/registry_clocks",
        "controlplane/registry_fleet",
        "controlplane/registry_service",
        "controlplane/registry_sockets",
        "controlplane/registry_spread",
        "controlplane/registry_start",
        "controlplane/registry_watches",
        "controlplane/revisions_service",
        "controlplane/revisions_shell",
        "controlplane/store_disk",
        "controlplane/store_stored_data",
        "controlplane/wire_forms",
        "lab/capacity",
        "lab/capacity_datapath",
        "lab/earlier_interface",
        "lab/geography",
        "lab/lab",
        "lab/numeric_libraries",
        "lab/revision_chaos",
        "lab/tier_processes",
        "sidecar/accept",
        "sidecar/admin",
        "sidecar/agent",
        "sidecar/agent_rules",
        "sidecar/answer_boundaries",
        "sidecar/answer_order",
        "sidecar/attempts",
        "sidecar/client_departures",
        "sidecar/client_timeouts",
        "sidecar/configuration",
        "sidecar/connection_limits",
        "sidecar/connection_state",
        "sidecar/discovery",
        "sidecar/discovery_faults",
        "sidecar/discovery_fleet",
        "sidecar/driver",
        "sidecar/graceful_shutdown",
        "sidecar/http_forms",
        "sidecar/invalid_requests",
        "sidecar/known_classes",
        "sidecar/large_answers",
        "sidecar/large_requests",
        "sidecar/long_heads",
        "sidecar/memory_limit",
        "sidecar/operation_process",
        "sidecar/partial_writes",
        "sidecar/peers",
        "sidecar/pool",
        "sidecar/process",
        "sidecar/process_pause",
        "sidecar/process_signals",
        "sidecar/races_reload",
        "sidecar/races_servers",
        "sidecar/reload",
        "sidecar/repeated_ids",
        "sidecar/requests",
        "sidecar/server_incarnations",
        "sidecar/simultaneous_events",
        "sidecar/standing_brink",
        "sidecar/unread_answers",
        "sidecar/unwanted_attempts",
        "sidecar/upgrade",
        "sidecar/upload_deadlines",
        "sidecar/wall_clock",
        "sidecar/whole_program_faults",
        "sidecar/write_deadlines",
        "support/loopback",
        "support/system_calls",
    ]
)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests of those modules."""
    for item in items:
        if f"{item.path.parent.name}/{item.path.stem.removeprefix('test_')}" in REAL_TIME:
            item.add_marker(pytest.mark.real_time)
