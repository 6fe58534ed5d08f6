"""A statistical check that random times are spread uniformly over a stated span."""

from __future__ import annotations

from collections import Counter

from scipy.stats import binom

STEP_S = 0.01  # resolution of `Retry-After`
WINDOWS = (1, 5, 25, 40)  # widths of windows, in steps: up to half, and most, of a span of fifty steps
FALSE_ALARM = 1e-9  # probability of a false alarm for a window; a set of samples has a few hundred windows


def overfull_windows(samples, span_s, error_s=0.0):
    """Return the windows with more samples than chance allows, as (from s, to s, count, maximum count).

    Each sample is the sum of a part of any size (a place in a queue) and a random time that is uniform over
    `span_s`, measured with an error of up to `error_s` either way. So a sample falls into a given window of
    width w with a probability of at most (w + 2 error) / span, whatever the first part is. The number of
    samples in the window exceeds the binomial quantile with a probability of at most FALSE_ALARM, for any
    number of samples, including small ones.
    """
    counts = Counter(round(sample / STEP_S) for sample in samples)
    overfull = []
    for width in WINDOWS:
        chance = min(1.0, (width * STEP_S + 2.0 * error_s) / span_s)
        max_count = int(binom.isf(FALSE_ALARM, len(samples), chance))
        for first in range(min(counts, default=0) - width + 1, max(counts, default=0) + 1):
            count = sum(counts[step] for step in range(first, first + width))
            if count > max_count:
                overfull.append((first * STEP_S, (first + width) * STEP_S, count, max_count))
    return overfull
