"""Types of the arrays in this package."""

from __future__ import annotations

import numpy as np
import numpy.typing as npt

Array = npt.NDArray[np.float64]
Index = npt.NDArray[np.intp]
Flags = npt.NDArray[np.bool_]
