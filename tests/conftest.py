"""What holds for all tests, before any of them is imported."""

from __future__ import annotations

import os

# The matrices here are small: on one core each, the linear algebra is done sooner than split over all.
os.environ |= {"OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1", "MKL_NUM_THREADS": "1"}
