"""Products and inverses whose digits do not depend on the processor. Pure code.

`numpy` passes its matrix operators to a library of linear algebra that picks its code by the processor and
the number of threads. The sums then differ in their last digits, which can change a plan. The functions here
sum in an order of their own.
"""

from __future__ import annotations

import numpy as np

from brassfall.controlplane.geo.arrays import Array


def weighted_sum(weights: Array, rows: Array) -> Array:
    """Return the sum (Q,) of `rows` (C, Q), each times its weight (C,)."""
    return np.asarray(np.einsum("c,cq->q", weights, rows))


def matrix_product(left: Array, right: Array) -> Array:
    """Return the product (N, Q) of `left` (N, M) and `right` (M, Q)."""
    return np.asarray(np.einsum("nm,mq->nq", left, right))


def gram_matrix(rows: Array) -> Array:
    """Return the product (K, K) of the transpose of `rows` (P, K) and `rows`."""
    return np.asarray(np.einsum("pj,pk->jk", rows, rows))


def inverse(matrix: Array) -> Array:
    """Return the inverse of a symmetric, positive definite matrix (K, K), by Gauss-Jordan elimination.

    Such a matrix needs no exchange of rows.
    """
    size = len(matrix)
    extended = np.hstack([matrix, np.eye(size)])
    for column in range(size):
        extended[column] /= extended[column, column]
        factors = extended[:, column].copy()
        factors[column] = 0.0
        extended -= factors[:, None] * extended[column]
    return extended[:, size:]
