"""What holds for all tests, before any of them is imported."""

from __future__ import annotations

import os
import signal

# The matrices here are small: on one core each, the linear algebra is done sooner than split over all.
os.environ |= {"OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1", "MKL_NUM_THREADS": "1"}

# A shell without job control starts what it puts in the background with SIGINT ignored, and every process
# from there on would ignore the one that some tests send.
if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
    signal.signal(signal.SIGINT, signal.default_int_handler)
