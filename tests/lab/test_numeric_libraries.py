"""The lab's results are the same on every processor: no last digit of a numeric library decides a play.

Guards against days that take another course, and pages with other digits, where the library of linear algebra
has picked other code for the processor, or more threads.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.processes import ROOT

# Kernels of OpenBLAS, each with the flag that a processor needs for it (`/proc/cpuinfo`).
KERNELS = (("Nehalem", "sse4_2"), ("Haswell", "avx2"), ("Zen", "avx2"), ("SkylakeX", "avx512f"))
LIMIT_S = 120.0
# Samples days, plays one, fills the page of capacity and fits the delays of a small world; prints a digest of
# each.
PROGRAM = """
import hashlib, sys, tempfile
from pathlib import Path
from brassfall.lab.capacity import measurements, page
from tests.controlplane import test_geo as geo
from tests.lab import test_lab as lab

SEEDS = range(1, 31)

with tempfile.TemporaryDirectory() as name:
    folder = Path(name)
    experiment = lab.told(folder, lab.TROUBLED.replace("[load]", "[load]\\nswing = 0.2"))
    days = b"".join(repr(lab.day.sample_day(experiment, seed)).encode() for seed in SEEDS)
    arrivals = b"".join(lab.day.sample_day(experiment, seed).arrivals.at.tobytes() for seed in SEEDS)
    lab.played(experiment, folder / "day")
    ledger = b"".join(path.read_bytes() for path in sorted((folder / "day").glob("*.jsonl")))
root = Path(sys.argv[1])
text = page.filled((root / "CAPACITY.md").read_text(), measurements.read(root / "capacity" / "figures.json"))
world = geo.sampled(3)
state = geo.observed(world, world.measured, 0, 6, geo.evidence.State())
estimates = geo.model.estimate(state, 6.0, world.groups, world.regions)
for content in (days + arrivals, ledger, text.encode(), repr(estimates).encode()):
    print(len(content), hashlib.sha256(content).hexdigest())
"""


def kernels():
    """Return the kernels that this processor can run."""
    flags = Path("/proc/cpuinfo").read_text(encoding="utf-8").split()
    return [kernel for kernel, flag in KERNELS if flag in flags]


def digests(**environment):
    """Return what the program prints in a process of its own, with these variables set."""
    command = [sys.executable, "-c", PROGRAM, str(ROOT / "docs")]
    threads = {"OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1"}
    done = subprocess.run(
        command,
        cwd=ROOT,
        env=os.environ | threads | environment,
        capture_output=True,
        text=True,
        check=False,
        timeout=LIMIT_S,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout.splitlines()


@pytest.fixture(scope="module")
def usual_digests():
    return digests()


@pytest.mark.parametrize("kernel", kernels())
def test_days_a_page_and_a_fit_are_the_same_with_every_kernel(usual_digests, kernel):
    assert len(usual_digests) == 4
    assert digests(OPENBLAS_CORETYPE=kernel) == usual_digests


def test_days_a_page_and_a_fit_are_the_same_with_four_threads(usual_digests):
    assert digests(OPENBLAS_NUM_THREADS="4", OMP_NUM_THREADS="4") == usual_digests


def test_days_and_a_page_are_the_same_without_the_latest_instructions_of_the_processor(usual_digests):
    features = "AVX512F AVX512CD AVX512_SKX X86_V4 AVX2 FMA3 X86_V3"
    assert digests(NPY_DISABLE_CPU_FEATURES=features)[:3] == usual_digests[:3]
