"""The times after which rejected callers are to retry: the limiter, the service, and the check itself."""

from __future__ import annotations

import heapq
import random
import time

import aiohttp
import pytest

from brassfall.controlplane.registry.limits import JoinLimiter
from tests.support.loopback import bounded
from tests.support.processes import Service
from tests.support.spread import crowded

LEAST_S, SPAN_S = 0.25, 0.5  # of the part that is drawn; the place in the line comes on top


# --- the check, on samples known to be good and bad ------------------------------------------------


@pytest.mark.parametrize("count", [0, 1, 20, 500, 1239, 1750])
def test_samples_over_the_whole_span_pass_in_any_number_and_with_any_line(count):
    rng = random.Random(count)
    for length in (0.0, 0.3, 1.5):
        line = [length * rng.random() for _ in range(count)]
        retries = [round(at + LEAST_S + SPAN_S * rng.random(), 2) for at in line]
        assert not crowded(retries, SPAN_S)


@pytest.mark.parametrize(
    "sample",
    [
        lambda rng: LEAST_S,
        lambda rng: LEAST_S + SPAN_S / 2.0 * rng.random(),
        lambda rng: LEAST_S + SPAN_S / 2.0 * (1.0 + rng.random()),
        lambda rng: LEAST_S + 0.8 * SPAN_S * rng.random(),
        lambda rng: LEAST_S + SPAN_S * rng.choice([0.0, 1.0]),
        lambda rng: LEAST_S + SPAN_S * rng.choice([0.0, 0.5, 1.0]),
        lambda rng: LEAST_S + SPAN_S * rng.random() ** 2,
    ],
    ids=["none", "first half", "second half", "four fifths", "two places", "three places", "uneven"],
)
@pytest.mark.parametrize("error_s", [0.0, 0.015])
def test_samples_over_less_than_the_span_fail(sample, error_s):
    rng = random.Random(11)
    retries = [round(sample(rng) + error_s * rng.uniform(-1.0, 1.0), 2) for _ in range(500)]
    assert crowded(retries, SPAN_S, error_s)


# --- the core -------------------------------------------------------------------------------------


def test_a_rejected_caller_gets_the_next_place_in_the_line_and_a_sample_over_half_a_second():
    limiter, rng = JoinLimiter(1000.0), random.Random(3)
    assert [limiter.admission_wait_s(0.0, rng.random()) for _ in range(250)] == [0.0] * 250
    for place in range(1, 1751):
        chance = rng.choice([0.0, rng.random(), 1.0])
        assert limiter.admission_wait_s(0.0, chance) == pytest.approx(
            place / 1000.0 + LEAST_S + SPAN_S * chance
        )


def test_a_herd_that_waits_as_it_is_asked_to_comes_back_at_the_rate_that_is_admitted():
    rate, herd, rng = 1000.0, 2000, random.Random(4)
    limiter, calls = JoinLimiter(rate), [(0.0, number) for number in range(herd)]
    back, entered = [], []
    while calls:
        now, number = heapq.heappop(calls)
        wait = limiter.admission_wait_s(now, rng.random())
        if wait:
            back.append(now + wait)
            heapq.heappush(calls, (back[-1], number))
        else:
            entered.append(now)
    assert len(entered) == herd
    assert (herd - rate / 4.0) / rate <= max(entered) < herd / rate + 2.0 * (LEAST_S + SPAN_S)
    expected = 0.1 * rate  # in a tenth of a second; a sum of samples has at most its mean as variance
    for tenth in range(40):
        came = sum(tenth / 10.0 <= at < (tenth + 1) / 10.0 for at in back)
        assert came <= expected + 6.0 * expected**0.5


# --- the service ----------------------------------------------------------------------------------


@bounded(60.0)
async def test_the_service_samples_each_retry_time_over_the_whole_span(tmp_path):
    # Told one after another at this rate, each is ten seconds further down the line than the one before,
    # so that the line's part is known, and what is left is the draw.
    step_s, quick_s, wanted, rounding_s = 10.0, 0.01, 500, 0.005
    limits = {"joins_per_s": 1.0 / step_s, "caller_calls_per_s": 0}
    samples, retries, earliest, latest = [], 0, 0.0, 0.0
    async with Service(tmp_path, limits=limits) as service, aiohttp.ClientSession() as session:
        await service.start()
        while len(samples) < wanted:
            sent = time.monotonic()
            async with session.get(f"http://{service.listen}/registry/instances") as answer:
                came, wait = time.monotonic(), answer.headers.get("Retry-After")
            if wait is None:
                continue
            retries += 1
            earliest, latest = max(earliest, sent) + step_s, max(latest, came) + step_s
            assert came + float(wait) - earliest >= LEAST_S - rounding_s
            assert sent + float(wait) - latest <= LEAST_S + SPAN_S + rounding_s
            if came - sent < quick_s:  # otherwise it isn't known well enough when it was sent
                samples.append((sent + came) / 2.0 + float(wait) - retries * step_s)
    assert not crowded(samples, SPAN_S, quick_s / 2.0 + 2.0 * rounding_s)
