"""Pace of servers: the time that they take per unit of work.

Work is in the unit that clients state (milliseconds on a standard core), or 1 per request if clients state no
work. Times are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

PACE_MEMORY = 0.98  # Weight of the past at each new answer, so that about the last fifty answers count
# Weight, in answers, of a machine kind's pace in the pace of its servers, and of the service's pace in the
# pace of a machine kind.
PRIOR_ANSWERS = 6.0
PACE_POWER = 2.5  # Exponent of the ratio of two paces in a speed: higher values prefer faster servers more
MIN_SPEED = 0.2  # Smallest speed, with which a slow server gets enough requests to show that it became faster
WORK_GAIN = 0.05  # Weight of the newest request in the mean work of requests


@dataclass(slots=True, eq=False)
class Pace:
    """Exponentially decaying sums of the time of answers and of the work of their requests."""

    elapsed_ms: float = 0.0
    work: float = 0.0
    speed: float = 1.0  # Speed relative to the machine kind or service that includes it; above 1 is faster

    def count_answer(self, elapsed_ms: float, work: float) -> None:
        """Count one answer that took `elapsed_ms` for `work` units of work."""
        self.elapsed_ms = self.elapsed_ms * PACE_MEMORY + elapsed_ms
        self.work = self.work * PACE_MEMORY + work

    def ms_per_work(self, prior_ms: float, prior_work: float) -> float:
        """Return the milliseconds per unit of work; `prior_ms` per unit counts like `prior_work` units."""
        return (self.elapsed_ms + prior_ms * prior_work) / (self.work + prior_work)


class PaceTracker:
    """Paces of the whole service, of each machine kind and of each request class.

    Few answers give little evidence, so the pace of the machine kind counts as prior of a server's pace, and
    the pace of the service as prior of a machine kind's.
    """

    __slots__ = ("_by_class", "_by_kind", "_service", "mean_work")

    def __init__(self) -> None:
        """Create the tracker without any answer."""
        self.mean_work = 0.0  # Moving average of the work of arriving requests
        self._service = Pace()
        self._by_kind: dict[int, Pace] = {}
        # Paces of the classes whose clients state no work; the work of a request is then the service's time
        # per unit of work.
        self._by_class: dict[int, Pace] = {}

    def kind_pace(self, kind: int) -> Pace:
        """Return the pace of a machine kind."""
        return self._by_kind.setdefault(kind, Pace())

    def retain_classes(self, retained: Collection[int]) -> None:
        """Forget the paces of the request classes that are not `retained`."""
        self._by_class = {index: pace for index, pace in self._by_class.items() if index in retained}

    def count_arrival(self, work: float) -> None:
        """Update the mean work by the work of a request that arrives."""
        gain = WORK_GAIN if self.mean_work else 1.0
        self.mean_work += gain * (work - self.mean_work)

    def usual_ms(self) -> float:
        """Return the average time that an answer takes, in milliseconds; 0 before the first answer."""
        return self.mean_work * self._service.ms_per_work(0.0, 0.0) if self._service.work else 0.0

    def expected_ms(self, request_class: int, work: float | None) -> float:
        """Return the expected time of an answer to a request, in milliseconds; 0 if it is unknown.

        If `work` is None, the expected time follows from earlier answers to the same class, because the mean
        of all requests would be too high for a class of short requests.
        """
        if not self._service.work:
            return 0.0
        if work is None:
            of_class = self._by_class.get(request_class)
            work = of_class.ms_per_work(0.0, 0.0) if of_class else 0.0
        return work * self._service.ms_per_work(0.0, 0.0)

    def count_answer(self, own: Pace, kind: Pace, elapsed_ms: float, work: float) -> None:
        """Count an answer for the paces of a server, its machine kind and the service; update the speeds."""
        service = self._service
        for pace in (service, kind, own):
            pace.count_answer(elapsed_ms, work)
        prior_work = PRIOR_ANSWERS * self.mean_work
        of_service = service.ms_per_work(0.0, 0.0)
        of_kind = kind.ms_per_work(of_service, prior_work)
        kind.speed = max(MIN_SPEED, (of_service / of_kind) ** PACE_POWER)
        own.speed = max(MIN_SPEED, (of_kind / own.ms_per_work(of_kind, prior_work)) ** PACE_POWER)

    def count_class_answer(self, request_class: int, elapsed_ms: float) -> None:
        """Count an answer to a request whose client stated no work."""
        if usual := self._service.ms_per_work(0.0, 0.0):
            self._by_class.setdefault(request_class, Pace()).count_answer(elapsed_ms, usual)
