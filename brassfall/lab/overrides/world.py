"""A simulated fleet: a list service, sidecars, operators and random faults.

The service's side is the real store, clock and reconciler; a sidecar's side is passed in, since the control
plane doesn't import it. Clocks run at different rates; wall clocks are up to an hour off and jump. The lease
of a revision is left out: that no override is acted on past its end has to hold without it.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from functools import partial

from brassfall.controlplane.overrides import events
from brassfall.controlplane.overrides.document import Document, Override
from brassfall.lab.overrides.judge import Judge, Outcome
from brassfall.lab.overrides.node import Direction, Node
from brassfall.lab.overrides.parts import Parts, Sidecar
from brassfall.lab.overrides.service import HOUR_MS, Service
from brassfall.lab.overrides.timeline import Timeline
from brassfall.lab.overrides.workload import IDS, REGIONS, extended, random_document

QUIET_MS = 8000.0  # at the end of a run, without new faults
CALL_MS = 700.0  # on average, from one operator's call to the next
FAULT_MS = 4000.0  # on average, from one fault to the next
FAULT_LENGTHS_MS = (300.0, 2000.0, 10_000.0, 60_000.0)
MAX_PAUSE_MS, MAX_DOWN_MS = 10_000.0, 20_000.0  # of the service
END_SHARE = 0.15  # of the calls to an existing override
EXTEND_SHARE, EXTEND_WITHIN_MS = 0.3, 20_000  # of overrides that end so soon
EXTENSION_MS = (5000.0, 30_000.0)


class Fault(StrEnum):
    """A kind of fault, of a node unless it is in `SERVICE_FAULTS`."""

    STOP = "stop"  # of a sidecar's process, which continues
    PARTITION = "cut"  # of both directions between a node and the service
    UP = "up"
    DOWN = "down"
    RESTART = "restart"
    KILL = "kill"
    REBOOT = "reboot"
    PAUSE = "pause"
    JUMP = "jump"  # of the wall clock
    COPY = "copy"  # a second service answers a node


FAULTS = (
    Fault.STOP,
    Fault.PARTITION,
    Fault.UP,
    Fault.DOWN,
    Fault.RESTART,
    Fault.KILL,
    Fault.KILL,
    Fault.REBOOT,
    Fault.PAUSE,
    Fault.JUMP,
    Fault.COPY,
)  # with the weights of a random choice
SERVICE_FAULTS = frozenset({Fault.KILL, Fault.REBOOT, Fault.PAUSE, Fault.JUMP})
PARTITIONS = {
    Fault.PARTITION: (Direction.UP, Direction.DOWN),
    Fault.UP: (Direction.UP,),
    Fault.DOWN: (Direction.DOWN,),
}


class World(Timeline):
    """One run: everything random comes from the seed, and is judged as it happens."""

    def __init__(
        self,
        seed: int,
        nodes: int,
        length_ms: float,
        make: Callable[[str], Sidecar],
        parts: Parts | None = None,
    ) -> None:
        super().__init__(seed)
        self._length_ms = length_ms
        self._last_call = 0
        self._calls: dict[int, tuple[str, Document | None]] = {}  # id, and None for an end
        self.judge = Judge(REGIONS)
        self.nodes: list[Node] = []
        self.service = Service(self, self.judge, self.nodes, parts or Parts(), self._receive_result)
        for number in range(nodes):
            self.nodes.append(Node(self, self.judge, self.service, number, make))
        self.at(500.0, self.operate)
        self.at(self.rng.uniform(0.0, 4000.0), self.inject_fault)

    def run(self) -> Outcome:
        """Run to the end, and return the outcome."""
        self.run_until(self._length_ms)
        self.judge.finished(self.service, self.nodes)
        return self.judge.outcome

    # --- operators ------------------------------------------------------------------------------

    def operate(self) -> None:
        """Start, extend, change or end a random override, and schedule the next call."""
        wait_ms = self.rng.expovariate(1.0 / CALL_MS)
        service, key = self.service, self.rng.choice(IDS)
        if self._service_answers():
            now = service.unix()
            current = service.store.get(key, now)
            if current is not None and self.rng.random() < END_SHARE:
                self.end(key)
            else:
                self.put(key, random_document(self.rng, now, current))
            wait_ms = self._wait_for_end(key, now, wait_ms)
        self.at(wait_ms, self.operate)

    def _wait_for_end(self, key: str, now: int, wait_ms: float) -> float:
        """Return when the next call is due; often about when this override ends, with an extension of it."""
        current = self.service.store.get(key, now)
        if current is None or current.until_ms - now >= EXTEND_WITHIN_MS or self.rng.random() >= EXTEND_SHARE:
            return wait_ms
        left_ms = (current.until_ms - now) / self.service.rate
        wait_ms = max(0.0, left_ms - self.rng.uniform(0.0, 60.0))
        self.at(wait_ms, partial(self._extend, key))
        return wait_ms

    def _extend(self, key: str) -> None:
        now = self.service.unix()
        current = self.service.store.get(key, now)
        if self._service_answers() and current is not None:
            self.put(key, extended(current, now + int(self.rng.uniform(*EXTENSION_MS))))

    def _service_answers(self) -> bool:
        return self.service.up and self.now >= self.service.stopped_until

    def put(self, key: str, document: Document) -> None:
        """Call the service to start, extend or change an override."""
        self._last_call += 1
        self._calls[self._last_call] = (key, document)
        self.service.call(events.Put(self._last_call, key, document))

    def end(self, key: str) -> None:
        """Call the service to end an override."""
        self._last_call += 1
        self._calls[self._last_call] = (key, None)
        self.service.call(events.End(self._last_call, key, "op", "enough"))

    def _receive_result(self, result: events.Answer) -> None:
        key, document = self._calls.pop(result.call)
        if result.error is None:
            override: Override | None = result.override if document is not None else None
            self.judge.acknowledged(key, override)

    # --- faults ---------------------------------------------------------------------------------

    def inject_fault(self) -> None:
        """Inject a random fault, and schedule the next."""
        most_ms = self._length_ms - QUIET_MS - self.now
        if most_ms < 0:
            return
        length_ms = min(most_ms, self.rng.choice(FAULT_LENGTHS_MS))
        node = self.rng.choice(self.nodes)
        fault = self.rng.choice(FAULTS)
        faults = self.judge.outcome.faults
        faults[fault.value] = faults.get(fault.value, 0) + 1
        if fault in SERVICE_FAULTS:
            self._disturb_service(fault, length_ms)
        else:
            self._disturb_node(node, fault, length_ms)
        self.at(self.rng.expovariate(1.0 / FAULT_MS), self.inject_fault)

    def _disturb_node(self, node: Node, fault: Fault, length_ms: float) -> None:
        until = self.now + length_ms
        if fault is Fault.STOP:
            node.stopped_until = until
            self.at(length_ms, partial(node.decide, node.run))  # the first event once it continues
        elif fault is Fault.COPY:
            node.copy_until = until
        elif fault is Fault.RESTART:
            node.start()
            until = self.now
        for direction in PARTITIONS.get(fault, ()):
            node.partitioned_until[direction] = max(node.partitioned_until[direction], until)
        node.disturb(until)

    def _disturb_service(self, fault: Fault, length_ms: float) -> None:
        if fault is Fault.JUMP:
            self.service.wall_offset_ms = self.rng.uniform(-HOUR_MS, HOUR_MS)
        elif fault is Fault.PAUSE:
            self.service.stopped_until = self.now + min(length_ms, MAX_PAUSE_MS)
            self.judge.disturbed(self.service.stopped_until)
        elif self.service.up:
            self._kill(min(length_ms, MAX_DOWN_MS), reboot=fault is Fault.REBOOT)

    def _kill(self, down_ms: float, *, reboot: bool) -> None:
        self.service.up, self.service.stopped_until = False, 0.0
        self.judge.disturbed(self.now + down_ms)
        self.at(down_ms, partial(self._restart_service, reboot=reboot))

    def _restart_service(self, *, reboot: bool) -> None:
        """Start the service, with a wall clock that has another error."""
        service = self.service
        self.judge.starting(self.now, service, reboot=reboot)
        service.wall_offset_ms = self.rng.uniform(-HOUR_MS, HOUR_MS)
        if reboot:
            service.reboot()
        service.start()
