"""What goes wrong in a simulated play, each kind as it begins and as it is over."""

from __future__ import annotations

from collections.abc import Callable

from brassfall.lab import ledger
from brassfall.lab.day import Trouble
from brassfall.lab.sim.lists import WATCH_SILENT_MS
from brassfall.lab.sim.parts import Host
from brassfall.lab.sim.world import World

Deed = Callable[[float, Host], None]


class Faults:
    """Carries out the troubles of a day."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._kinds: dict[str, Callable[[float, Trouble], None]] = {
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
            "cut": self._cut,
            "registry-down": self._registry_down,
            "sidecar-kill": self._sidecar_kill,
        }

    def set(self) -> None:
        """Put all of them on the heap."""
        for trouble in self._world.day.troubles:
            self._world.at(trouble.at, self._begin, trouble)

    def _begin(self, now: float, trouble: Trouble) -> None:
        world = self._world
        row = ledger.Event(trouble.kind, round(now, 3), round(trouble.until, 3), list(trouble.targets))
        world.book.add(row)
        self._kinds[trouble.kind](now, trouble)

    def _hosts(self, trouble: Trouble) -> list[Host]:
        """The servers that it strikes: those that run now on the machines that it names."""
        chosen = set(trouble.targets)
        return [h for h in self._world.servers.values() if h.up and h.name.partition(".")[0] in chosen]

    def _each(self, now: float, trouble: Trouble, begin: Deed, end: Deed) -> None:
        """Do it to every server that it strikes, and undo it to those of them that still live."""
        struck = [(host, host.life) for host in self._hosts(trouble)]
        for host, _ in struck:
            begin(now, host)

        def over(later: float, _: None) -> None:
            for host, life in struck:
                if host.up and host.life == life:
                    end(later, host)

        self._world.at(trouble.until, over, None)

    def _kill(self, now: float, trouble: Trouble) -> None:
        for host in self._hosts(trouble):
            self._world.die(now, host, "killed")
            self._world.at(trouble.until, self._world.start, host)

    def _stop(self, now: float, trouble: Trouble) -> None:
        still = self._world.stand_still
        self._each(now, trouble, lambda t, host: still(t, host, True), lambda t, host: still(t, host, False))

    def _burden(self, now: float, host: Host, slow: float | None = None, taken: float | None = None) -> None:
        self._world.settle(now, host)
        host.core.burden(slow=slow, taken=taken)
        self._world.wake(host)

    def _slow(self, now: float, trouble: Trouble) -> None:
        self._each(
            now,
            trouble,
            lambda t, host: self._burden(t, host, slow=max(1.0, trouble.size)),
            lambda t, host: self._burden(t, host, slow=1.0),
        )

    def _neighbour(self, now: float, trouble: Trouble) -> None:
        struck = [(host, host.life) for host in self._hosts(trouble)]

        def turn(later: float, on: bool) -> None:
            on = on and later < trouble.until
            for host, life in struck:
                if host.up and host.life == life:
                    self._burden(later, host, taken=trouble.size if on else 0.0)
            if later < trouble.until:
                self._world.at(min(later + trouble.swing, trouble.until), turn, not on)

        turn(now, True)

    def _errors(self, now: float, trouble: Trouble) -> None:
        def share(value: float) -> Deed:
            return lambda t, host: setattr(host.core, "errors", value)

        self._each(now, trouble, share(trouble.size), share(0.0))

    def _release(self, now: float, trouble: Trouble) -> None:
        """Batch after batch is drained, ends, and is followed by servers that start cold."""
        world = self._world
        names = [host.name for host in self._hosts(trouble)]
        batches = [names[i : i + trouble.batch] for i in range(0, len(names), trouble.batch)]
        pace = max(0.0, trouble.until - now - trouble.drain) / max(1, len(batches))
        for number, batch in enumerate(batches):
            for name in batch:
                world.at(now + number * pace, self._drain, (name, trouble.drain))

    def _drain(self, now: float, told: tuple[str, float]) -> None:
        host = self._world.servers[told[0]]
        if host.up and not host.leaving:
            self._world.drain(now, host)
            self._world.at(now + told[1], self._replace, (host, host.life))

    def _replace(self, now: float, told: tuple[Host, int]) -> None:
        host, life = told
        if host.up and host.life == life:
            self._world.leave(now, host)
        self._world.successor(now, host)

    def _reset(self, now: float, trouble: Trouble) -> None:
        for host in self._hosts(trouble):
            self._world.reset(now, host)

    def _black_hole(self, now: float, trouble: Trouble) -> None:
        holes = self._world.network.holes
        self._each(now, trouble, lambda t, h: holes.add(h.name), lambda t, h: holes.discard(h.name))

    def _lose_answers(self, now: float, trouble: Trouble) -> None:
        deaf = self._world.network.deaf
        self._each(now, trouble, lambda t, h: deaf.add(h.name), lambda t, h: deaf.discard(h.name))

    def _slow_link(self, now: float, trouble: Trouble) -> None:
        slow = self._world.network.slow
        self._each(
            now,
            trouble,
            lambda t, host: slow.__setitem__(host.name, trouble.size),
            lambda t, host: slow.__delitem__(host.name),
        )

    def _cut(self, now: float, trouble: Trouble) -> None:
        world = self._world
        world.network.cut.add(trouble.zone)
        world.lists.break_watches(now, trouble.zone, WATCH_SILENT_MS)
        world.at(trouble.until, lambda later, _: world.network.cut.discard(trouble.zone), None)

    def _registry_down(self, now: float, trouble: Trouble) -> None:
        world = self._world
        world.lists.down(now)
        world.at(trouble.until, lambda later, _: world.lists.up(later, trouble.disk == "lost"), None)

    def _sidecar_kill(self, now: float, trouble: Trouble) -> None:
        world = self._world
        for sidecar in world.sidecars:
            if sidecar.name in trouble.targets and sidecar.up:
                world.kill_sidecar(now, sidecar)
                world.at(trouble.until, self._sidecar_back, sidecar.number)

    def _sidecar_back(self, now: float, number: int) -> None:
        world = self._world
        app = world.day.apps[number]
        world.start_sidecar(now, world.sidecars[number], app.seed + round(now))
