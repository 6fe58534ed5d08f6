"""The spread of the times after which rejected callers retry: the check itself, the limiter, the service."""

from __future__ import annotations

import heapq
import random
import time

import aiohttp
import pytest

from brassfall.controlplane.registry.limits import JoinLimiter
from tests.support.loopback import bounded
from tests.support.processes import Service
from tests.support.spread import overfull_windows

# Minimum and span of the random part of a wait, to which the place in the queue is added.
MIN_RETRY_S, SPAN_S = 0.25, 0.5


# --- the check, with samples known to be good and bad ------------------------------------------------


@pytest.mark.parametrize("count", [0, 1, 20, 500, 1239, 1750])
def test_uniform_samples_pass_for_any_number_of_samples_and_any_queue(count):
    rng = random.Random(count)
    for length in (0.0, 0.3, 1.5):
        queue = [length * rng.random() for _ in range(count)]
        retries = [round(at + MIN_RETRY_S + SPAN_S * rng.random(), 2) for at in queue]
        assert not overfull_windows(retries, SPAN_S)


@pytest.mark.parametrize(
    "sample",
    [
        lambda rng: MIN_RETRY_S,
        lambda rng: MIN_RETRY_S + SPAN_S / 2.0 * rng.random(),
        lambda rng: MIN_RETRY_S + SPAN_S / 2.0 * (1.0 + rng.random()),
        lambda rng: MIN_RETRY_S + 0.8 * SPAN_S * rng.random(),
        lambda rng: MIN_RETRY_S + SPAN_S * rng.choice([0.0, 1.0]),
        lambda rng: MIN_RETRY_S + SPAN_S * rng.choice([0.0, 0.5, 1.0]),
        lambda rng: MIN_RETRY_S + SPAN_S * rng.random() ** 2,
    ],
    ids=["none", "first half", "second half", "four fifths", "two places", "three places", "uneven"],
)
@pytest.mark.parametrize("error_s", [0.0, 0.015])
def test_samples_over_only_a_part_of_the_span_are_detected(sample, error_s):
    rng = random.Random(11)
    retries = [round(sample(rng) + error_s * rng.uniform(-1.0, 1.0), 2) for _ in range(500)]
    assert overfull_windows(retries, SPAN_S, error_s)


# --- the core -------------------------------------------------------------------------------------


def test_a_rejected_caller_waits_for_its_place_in_the_queue_plus_a_random_time():
    limiter, rng = JoinLimiter(1000.0), random.Random(3)
    assert [limiter.admission_wait_s(0.0, rng.random()) for _ in range(250)] == [0.0] * 250
    for place in range(1, 1751):
        chance = rng.choice([0.0, rng.random(), 1.0])
        assert limiter.admission_wait_s(0.0, chance) == pytest.approx(
            place / 1000.0 + MIN_RETRY_S + SPAN_S * chance
        )


def test_callers_that_respect_retry_after_come_back_at_the_admitted_rate():
    rate, callers, rng = 1000.0, 2000, random.Random(4)
    limiter, calls = JoinLimiter(rate), [(0.0, number) for number in range(callers)]
    retried_at, admitted_at = [], []
    while calls:
        now, number = heapq.heappop(calls)
        wait = limiter.admission_wait_s(now, rng.random())
        if wait:
            retried_at.append(now + wait)
            heapq.heappush(calls, (retried_at[-1], number))
        else:
            admitted_at.append(now)
    assert len(admitted_at) == callers
    assert (callers - rate / 4.0) / rate <= max(admitted_at) < callers / rate + 2.0 * (MIN_RETRY_S + SPAN_S)
    # Expected number of retries in a tenth of a second. The variance of such a sum is at most its mean.
    expected = 0.1 * rate
    for tenth in range(40):
        retries = sum(tenth / 10.0 <= at < (tenth + 1) / 10.0 for at in retried_at)
        assert retries <= expected + 6.0 * expected**0.5


# --- the service ----------------------------------------------------------------------------------


@bounded(60.0)
async def test_the_service_spreads_retry_after_over_the_whole_span(tmp_path):
    # At this rate of joins each rejected caller waits ten seconds longer in the queue than the one before. So
    # the wait for the place in the queue is known, and the rest of `Retry-After` is the random time.
    step_s, max_call_s, sample_count, rounding_s = 10.0, 0.01, 500, 0.005
    limits = {"joins_per_s": 1.0 / step_s, "caller_calls_per_s": 0}
    samples, retries, earliest, latest = [], 0, 0.0, 0.0
    async with Service(tmp_path, limits=limits) as service, aiohttp.ClientSession() as session:
        await service.start()
        while len(samples) < sample_count:
            sent = time.monotonic()
            async with session.get(f"http://{service.listen}/registry/instances") as answer:
                received, wait = time.monotonic(), answer.headers.get("Retry-After")
            if wait is None:
                continue
            retries += 1
            earliest, latest = max(earliest, sent) + step_s, max(latest, received) + step_s
            assert received + float(wait) - earliest >= MIN_RETRY_S - rounding_s
            assert sent + float(wait) - latest <= MIN_RETRY_S + SPAN_S + rounding_s
            # The time of the answer is not known well enough after a slow call.
            if received - sent < max_call_s:
                samples.append((sent + received) / 2.0 + float(wait) - retries * step_s)
    assert not overfull_windows(samples, SPAN_S, max_call_s / 2.0 + 2.0 * rounding_s)
