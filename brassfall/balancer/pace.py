"""The pace of servers: the time that they take per unit of work.

Work is in the unit of the clients' hints (milliseconds on a standard core), or 1 per request where clients
give none; times are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

PACE_MEMORY = 0.98  # weight of the past at each new answer: about the last fifty count
PRIOR_ANSWERS = 6.0  # answers with which the wider pace counts
PACE_POWER = 2.5  # how strongly sampling prefers faster servers
MIN_SPEED = 0.2  # a slow server still gets enough requests to show that it has become faster
WORK_GAIN = 0.05  # weight of the newest work hint in the mean


@dataclass(slots=True, eq=False)
class Pace:
    """Time taken and work done, both fading."""

    elapsed_ms: float = 0.0
    work: float = 0.0
    speed: float = 1.0  # compared with the wider pace; over 1 is faster

    def add(self, elapsed_ms: float, work: float) -> None:
        """Count one answer."""
        self.elapsed_ms = self.elapsed_ms * PACE_MEMORY + elapsed_ms
        self.work = self.work * PACE_MEMORY + work

    def rate(self, wider: float, prior_work: float) -> float:
        """Return the time per unit of work; the `wider` rate counts like `prior_work` units of work."""
        return (self.elapsed_ms + wider * prior_work) / (self.work + prior_work)


class PaceTracker:
    """The pace of the whole service, of each kind of machine and of each request class.

    A few answers say little, so a server's pace leans on that of its kind, and a kind's on the service's.
    """

    __slots__ = ("_by_class", "_by_kind", "_service", "mean_work")

    def __init__(self) -> None:
        """Begin without answers."""
        self.mean_work = 0.0  # of the requests that arrive
        self._service = Pace()
        self._by_kind: dict[int, Pace] = {}
        self._by_class: dict[
            int, Pace
        ] = {}  # where clients give no work; work is then the time of a usual answer

    def of_kind(self, kind: int) -> Pace:
        """Return the pace of a kind of machine."""
        return self._by_kind.setdefault(kind, Pace())

    def keep_classes(self, retained: Collection[int]) -> None:
        """Forget the request classes that are not `retained`."""
        self._by_class = {slot: pace for slot, pace in self._by_class.items() if slot in retained}

    def arrive(self, work: float) -> None:
        """Count the work of one request that arrives."""
        gain = WORK_GAIN if self.mean_work else 1.0
        self.mean_work += gain * (work - self.mean_work)

    def usual_ms(self) -> float:
        """Return the time that an answer usually takes, in milliseconds; 0 before the first."""
        return self.mean_work * self._service.rate(0.0, 0.0) if self._service.work else 0.0

    def expected_ms(self, request_class: int, work: float | None) -> float:
        """Return the time that an answer to such a request takes, in milliseconds; 0 if that is not known.

        Where the client gives no work, the answers of the same class count: the mean of all requests would be
        too much for a class of short ones.
        """
        if not self._service.work:
            return 0.0
        if work is None:
            of_class = self._by_class.get(request_class)
            work = of_class.rate(0.0, 0.0) if of_class else 0.0
        return work * self._service.rate(0.0, 0.0)

    def learn(self, own: Pace, kind: Pace, elapsed_ms: float, work: float) -> None:
        """Count an answer for the pace of a server, of its kind and of the service, and update the speeds."""
        service = self._service
        for pace in (service, kind, own):
            pace.add(elapsed_ms, work)
        prior_work = PRIOR_ANSWERS * self.mean_work
        of_service = service.rate(0.0, 0.0)
        of_kind = kind.rate(of_service, prior_work)
        kind.speed = max(MIN_SPEED, (of_service / of_kind) ** PACE_POWER)
        own.speed = max(MIN_SPEED, (of_kind / own.rate(of_kind, prior_work)) ** PACE_POWER)

    def learn_class(self, request_class: int, elapsed_ms: float) -> None:
        """Count an answer to a request whose client gave no work."""
        if usual := self._service.rate(0.0, 0.0):
            self._by_class.setdefault(request_class, Pace()).add(elapsed_ms, usual)
