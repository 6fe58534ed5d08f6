"""One world: a service or two, sidecars, publishers; then the faults end, and all have to come together."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

from brassfall.controlplane.revisions.messages import Publish
from brassfall.controlplane.revisions.timing import CLOCK_DRIFT
from brassfall.lab.agreement.base import Kernel
from brassfall.lab.agreement.program import Program
from brassfall.lab.agreement.rules import Judge, RuleError
from brassfall.lab.agreement.service import Disk, Service
from brassfall.lab.agreement.sidecar import NOVEL, Address, Sidecar

FAULTS_MS = (7_000.0, 24_000.0)
LIVE_MS = 20_000.0  # S6: after the faults, all that can be reached act on the newest revision within this
DECIDED_MS = 5_000.0  # S6: where no service fails, a revision is decided within this, whoever is cut off
REGIONS = ("a", "b", "c")
TENANTS = ("t0", "t1", "t2", "t3")


class World:
    """Everything of one seed."""

    def __init__(self, seed: int, nodes: int, program: Program) -> None:
        self.judge = Judge(program.timing.agree_ms, CLOCK_DRIFT)
        self.kernel = kernel = Kernel(seed, program, self.judge)
        self.seed, self.nodes = seed, nodes
        self.fault_random = random.Random(seed)  # of the fault that began last
        self.calm = True  # no service, disk or majority fails: a revision has to be decided in time
        first = Service(kernel, 0, Disk(), kernel.clock())
        # The address of a second service is known to all, whether or not anybody is there.
        self.services = [first, Service(kernel, 1, Disk(), kernel.clock())]
        self.sidecars: list[Sidecar] = []  # each name's newest process
        self.older: list[Sidecar] = []  # processes that were left beside their successors
        self.snapshots: list[Disk] = []
        self._drafts = self._processes = 0
        first.start()
        self._prepare()
        for number in range(nodes):
            self.join(f"s{number}", newer=kernel.random.random() < 0.9)
        kernel.at(500.0, self._publishing)
        kernel.at(6_000.0, self._copying)

    def _prepare(self) -> None:
        """What else there is before the sidecars."""

    @property
    def addresses(self) -> Sequence[Address]:
        """Where sidecars report and watch."""
        return self.services

    @property
    def numbers(self) -> tuple[int, ...]:
        """Of these addresses."""
        return tuple(address.number for address in self.addresses)

    @property
    def members(self) -> list[str]:
        """Names of those that report to the services themselves."""
        return [sidecar.name for sidecar in self.sidecars]

    @property
    def met(self) -> dict[str, int]:
        """How often each fault met each phase of the coordinator."""
        return dict(self.kernel.met)

    def phase(self) -> str:
        """What the services are doing just now."""
        found = [service.phase() for service in self.services if service.up]
        return next((phase for phase in found if phase != "rest"), "rest" if found else "outage")

    def note(self, fault: str) -> None:
        """A fault begins: count what it meets."""
        self.kernel.met[f"{fault} in {self.phase()}"] += 1

    # --- processes ---------------------------------------------------------------------------

    def join(self, name: str, newer: bool = True) -> Sidecar:
        """A new process of a sidecar."""
        self._processes += 1
        made = self._sidecar(name, f"p{self._processes}", newer)
        made.lax = self.kernel.random.random() < 0.3
        self.sidecars.append(made)
        made.start()
        return made

    def _sidecar(self, name: str, process_id: str, newer: bool) -> Sidecar:
        return Sidecar(self.kernel, name, process_id, self.services, newer)

    def succeed(self, old: Sidecar, leave: bool) -> Sidecar:
        """A process is followed by another of its name, which knows nothing."""
        self.sidecars.remove(old)
        if old.stopped:
            self.older.append(old)  # the supervisor gave it up, and it may come back
        else:
            old.end(leave)
        return self.join(old.name, old.newer)

    def _copying(self) -> None:
        self.snapshots.append(self.services[0].disk.copy())
        self.kernel.after(self.kernel.random.uniform(500.0, 4000.0), self._copying)

    # --- publishers ------------------------------------------------------------------------------

    def _publishing(self) -> None:
        """Two publishers that know nothing of each other, as one stream of drafts."""
        if self.kernel.now < FAULTS_MS[1]:
            self.publish()
            self.kernel.after(self.kernel.random.choice((200.0, 1000.0, 2500.0)), self._publishing)

    def publish(self) -> None:
        """One draft, at whichever service answers."""
        chance = self.kernel.random
        up = [service for service in self.services if service.up]
        if not up:
            return
        service = chance.choice(up)
        newest = service.coordinator.state.newest
        match = chance.choice((None, None, newest, newest - 1))
        service.publish(self._draft(match, chance.random()))

    def _draft(self, match: int | None, kind: float) -> Publish:
        """A draft with marks of its own in each layer that it states."""
        self._drafts += 1
        mark = self._drafts
        settings, plan = self._settings(mark), {"mark": mark}
        if kind < 0.25:
            return Publish(mark, plan=plan, if_match=match)
        if kind < 0.35:
            settings[NOVEL] = mark
        return Publish(mark, settings=settings, plan=plan if kind < 0.5 else None, if_match=match)

    def _settings(self, mark: int) -> dict[str, Any]:
        chance = self.kernel.random
        settings: dict[str, Any] = {
            "PolicyLimits": {"mark": mark},
            "caps": {"safe": float(chance.choice((10, 100, 1000)))},
            "tenants": {name: chance.choice(REGIONS) for name in TENANTS if chance.random() < 0.5},
            "regions": {"held": [name for name in REGIONS if chance.random() < 0.3]},
        }
        if chance.random() < 0.2:
            settings["floor"] = {"tenants": {TENANTS[0]: REGIONS[0]}, "regions": {"held": [REGIONS[2]]}}
        return settings

    # --- the run ------------------------------------------------------------------------------------

    def run(self) -> None:
        """Play it; `RuleError` names the rule that does not hold."""
        kernel = self.kernel
        kernel.run(FAULTS_MS[1])
        self._heal()
        kernel.run(kernel.now + 1_000.0)
        self._publish_last()
        self._settle()
        self._alive()

    def _settle(self) -> None:
        """Let come together what has to."""
        self.kernel.run(self.kernel.now + LIVE_MS)

    def _heal(self) -> None:
        """The faults end, and of two services the one with the later epoch stays."""
        kernel = self.kernel
        net = kernel.net
        net.partitions.clear()
        net.loss = net.slow = net.replay = 0.0
        for old in self.older:
            old.end()
        for sidecar in list(self.sidecars):
            sidecar.resume()
            if sidecar.liar:
                self.sidecars.remove(sidecar)
                sidecar.end()
        epochs = [service.epoch for service in self.services]
        self.survivor = self.services[0] if epochs[0] >= epochs[1] else self.services[1]
        for service in self.services:
            service.faults.fail = service.faults.slow = service.faults.crash = 0.0
            if service is not self.survivor:
                service.retire()
        if not self.survivor.up:
            self.survivor.start()

    def _publish_last(self) -> None:
        draft = self._draft(None, 1.0)
        self.survivor.publish(draft)
        if not self.survivor.up:
            raise RuleError(
                "S6 liveness", self.kernel.now, "the service is down though its faults have ended"
            )

    def _alive(self) -> None:
        now, state = self.kernel.now, self.survivor.coordinator.state
        for sidecar in self.sidecars:
            profile = sidecar.profile
            if profile is None or profile.safe or profile.number != state.newest:
                text = f"{sidecar.label} acts on {profile}, revision {state.newest} is the newest"
                raise RuleError("S6 liveness", now, text)
        if self.calm:
            self._decided_in_time()

    def _decided_in_time(self) -> None:
        judge = self.judge
        for number, at in judge.prepared_at.items():
            lasted = judge.decided_at.get(number, self.kernel.now) - at
            # The first one waits until the members are known.
            if at > FAULTS_MS[0] and lasted > DECIDED_MS:
                raise RuleError(
                    "S6 held up", at + lasted, f"revision {number} was prepared for {lasted:.0f} ms"
                )
