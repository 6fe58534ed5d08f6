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
        "admin",
        "aggregator_shell",
        "aggregators_service",
        "agreement_agent",
        "capacity",
        "capacity_datapath",
        "crossings_attempts",
        "crossings_configuration",
        "crossings_hold_up",
        "crossings_inbound",
        "crossings_reload",
        "crossings_servers",
        "crossings_shutdown",
        "crossings_wall_clock",
        "endurance",
        "errors",
        "failures",
        "geography",
        "lab",
        "large",
        "operation_process",
        "registry_clocks",
        "registry_command",
        "registry_fleet",
        "registry_service",
        "registry_sockets",
        "registry_spread",
        "registry_start",
        "registry_watches",
        "reload",
        "revision_chaos",
        "rules_service",
        "rules_shell",
        "server_ends",
        "sidecar_attempts",
        "sidecar_lists",
        "sidecar_process",
        "sidecar_requests",
        "sidecar_rules",
        "standing_brink",
        "store_disk",
        "store_stored_data",
        "system_calls",
        "tier_processes",
        "upgrade",
        "whole_program_faults",
        "wire_forms",
    ]
)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests of those modules."""
    for item in items:
        if item.path.stem.removeprefix("test_") in REAL_TIME:
            item.add_marker(pytest.mark.real_time)
