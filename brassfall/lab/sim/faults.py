"""The faults of a simulated play: each kind as it begins and as it ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from brassfall.lab import ledger
from brassfall.lab.day import ScheduledFault
from brassfall.lab.sim.lists import WATCH_SILENT_MS
from brassfall.lab.sim.parts import Host
from brassfall.lab.sim.world import World

Change = Callable[[float, Host], None]  # of one server, at a time


class _Draining(NamedTuple):
    """A server that is to drain."""

    name: str
    drain_ms: float  # until it ends


class _Replaced(NamedTuple):
    """A server that is to end, and to be followed by another one."""

    host: Host
    incarnation: int


class Faults:
    """Carries out the faults of a day."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._kinds: dict[str, Callable[[float, ScheduledFault], None]] = {
            "kill": self._kill,
            "stop": self._stop,
            "slow": self._slow,
            "neighbour": self._neighbour,
            "errors": self._errors,
            "release": self._release,
            "reset": self._reset,
            "black-hole": self._black_hole,
            "lose-answers": self._lose_answers,
            "slow-link": self._slow_link,
            "cut": self._partition,
            "registry-down": self._registry_down,
            "sidecar-kill": self._sidecar_kill,
        }

    def schedule(self) -> None:
        """Schedule all of them."""
        for fault in self._world.day.faults:
            self._world.at(fault.at, self._begin, fault)

    def _begin(self, now: float, fault: ScheduledFault) -> None:
        world = self._world
        row = ledger.Event(fault.kind, round(now, 3), round(fault.until, 3), list(fault.targets))
        world.ledger_writer.add(row)
        self._kinds[fault.kind](now, fault)

    def _hosts(self, fault: ScheduledFault) -> list[Host]:
        """The servers that run now on the machines that a fault names."""
        chosen = set(fault.targets)
        return [h for h in self._world.servers.values() if h.up and h.name.partition(".")[0] in chosen]

    def _each(self, now: float, fault: ScheduledFault, begin: Change, end: Change) -> None:
        """Change every server of a fault, and change those back at its end that have not died meanwhile."""
        struck = [(host, host.incarnation) for host in self._hosts(fault)]
        for host, _ in struck:
            begin(now, host)

        def over(later: float, _: None) -> None:
            for host, incarnation in struck:
                if host.up and host.incarnation == incarnation:
                    end(later, host)

        self._world.at(fault.until, over, None)

    def _kill(self, now: float, fault: ScheduledFault) -> None:
        for host in self._hosts(fault):
            self._world.die(now, host, "killed")
            self._world.at(fault.until, self._world.start, host)

    def _stop(self, now: float, fault: ScheduledFault) -> None:
        suspend = self._world.suspend
        self._each(
            now,
            fault,
            lambda at, host: suspend(at, host, is_stopped=True),
            lambda at, host: suspend(at, host, is_stopped=False),
        )

    def _change_load(
        self, now: float, host: Host, slowdown: float | None = None, neighbour_share: float | None = None
    ) -> None:
        self._world.settle(now, host)
        host.core.change_load(slowdown=slowdown, neighbour_share=neighbour_share)
        self._world.wake(host)

    def _slow(self, now: float, fault: ScheduledFault) -> None:
        self._each(
            now,
            fault,
            lambda at, host: self._change_load(at, host, slowdown=max(1.0, fault.size)),
            lambda at, host: self._change_load(at, host, slowdown=1.0),
        )

    def _neighbour(self, now: float, fault: ScheduledFault) -> None:
        struck = [(host, host.incarnation) for host in self._hosts(fault)]

        def set_share(later: float, share: float) -> None:
            share = share if later < fault.until else 0.0
            for host, incarnation in struck:
                if host.up and host.incarnation == incarnation:
                    self._change_load(later, host, neighbour_share=share)
            if later < fault.until:
                then = 0.0 if share else fault.size
                self._world.at(min(later + fault.swing, fault.until), set_share, then)

        set_share(now, fault.size)

    def _errors(self, now: float, fault: ScheduledFault) -> None:
        def answering_errors(part: float) -> Change:
            def change(_now: float, host: Host) -> None:
                host.core.errors = part

            return change

        self._each(now, fault, answering_errors(fault.size), answering_errors(0.0))

    def _release(self, now: float, fault: ScheduledFault) -> None:
        """Batch after batch is drained, ends, and is followed by servers that warm up."""
        world = self._world
        names = [host.name for host in self._hosts(fault)]
        batches = [names[i : i + fault.batch] for i in range(0, len(names), fault.batch)]
        pace = max(0.0, fault.until - now - fault.drain) / max(1, len(batches))
        for number, batch in enumerate(batches):
            for name in batch:
                world.at(now + number * pace, self._drain, _Draining(name, fault.drain))

    def _drain(self, now: float, draining: _Draining) -> None:
        host = self._world.servers[draining.name]
        if host.up and not host.leaving:
            self._world.drain(now, host)
            replaced = _Replaced(host, host.incarnation)
            self._world.at(now + draining.drain_ms, self._replace, replaced)

    def _replace(self, now: float, replaced: _Replaced) -> None:
        host, incarnation = replaced
        if host.up and host.incarnation == incarnation:
            self._world.leave(now, host)
        self._world.successor(now, host)

    def _reset(self, now: float, fault: ScheduledFault) -> None:
        for host in self._hosts(fault):
            self._world.reset(now, host)

    def _black_hole(self, now: float, fault: ScheduledFault) -> None:
        self._list_names(now, fault, self._world.network.unreachable)

    def _lose_answers(self, now: float, fault: ScheduledFault) -> None:
        self._list_names(now, fault, self._world.network.answers_lost)

    def _list_names(self, now: float, fault: ScheduledFault, names: set[str]) -> None:
        """Have the names of its servers in a set of the network for as long as the fault lasts."""
        self._each(now, fault, lambda _, host: names.add(host.name), lambda _, host: names.discard(host.name))

    def _slow_link(self, now: float, fault: ScheduledFault) -> None:
        slow = self._world.network.slow
        self._each(
            now,
            fault,
            lambda _, host: slow.__setitem__(host.name, fault.size),
            lambda _, host: slow.__delitem__(host.name),
        )

    def _partition(self, now: float, fault: ScheduledFault) -> None:
        world = self._world
        world.network.partitioned.add(fault.zone)
        world.lists.break_watches(now, fault.zone, WATCH_SILENT_MS)
        world.at(fault.until, lambda _now, _: world.network.partitioned.discard(fault.zone), None)

    def _registry_down(self, now: float, fault: ScheduledFault) -> None:
        world = self._world
        world.lists.down(now)
        world.at(fault.until, lambda later, _: world.lists.up(later, disk_lost=fault.disk == "lost"), None)

    def _sidecar_kill(self, now: float, fault: ScheduledFault) -> None:
        world = self._world
        for sidecar in world.sidecars:
            if sidecar.name in fault.targets and sidecar.up:
                world.kill_sidecar(now, sidecar)
                world.at(fault.until, self._sidecar_back, sidecar.number)

    def _sidecar_back(self, now: float, number: int) -> None:
        world = self._world
        app = world.day.apps[number]
        world.start_sidecar(now, world.sidecars[number], app.seed + round(now))
