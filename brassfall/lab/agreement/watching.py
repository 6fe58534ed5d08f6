"""A watch on the rules as a model: one connection at a time, opened anew elsewhere when it ends."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from brassfall.lab.agreement.base import Kernel

SILENT_MS = (2000.0, 3000.0)


class Watched(Protocol):
    """An address where the rules can be watched."""

    number: int

    def watch(self, connection: int, watcher: Any) -> bool:
        """A watch is opened; whether anybody is there."""

    def closed(self, connection: int) -> None:
        """The watcher has closed it."""


class Watch:
    """The watcher's end. `do` runs what comes in the order of its stream, `take` gets each line."""

    def __init__(
        self,
        kernel: Kernel,
        name: str,
        addresses: Sequence[Watched],
        do: Callable[..., None],
        take: Callable[[dict[str, Any]], None],
        near: int = 0,
    ) -> None:
        self.kernel, self.name = kernel, name
        self._addresses, self._do, self._take = addresses, do, take
        self._at = kernel.random.randrange(near or len(addresses))
        self._connection = 0
        self.live = False  # whether lines come through it, as far as is known

    def open(self) -> None:
        """Open one, in place of the one before."""
        kernel = self.kernel
        self._addresses[self._at].closed(self._connection)
        kernel.watches += 1
        self._connection = connection = kernel.watches
        self.live = False
        address = self._addresses[self._at]
        if kernel.lost("open", self.name, address.number):
            kernel.after(kernel.random.uniform(*SILENT_MS), self._do, "timer", self._reopen, connection)
            return
        kernel.after(kernel.delay(), self._opens, address, connection)

    def close(self) -> None:
        """End it for good."""
        self.live = False
        for address in self._addresses:
            address.closed(self._connection)
        self._connection = -1

    def _opens(self, address: Watched, connection: int) -> None:
        if connection == self._connection and not address.watch(connection, self):
            self.broken(connection, False)

    def _reopen(self, connection: int) -> None:
        if connection == self._connection:
            self._at = (self._at + 1) % len(self._addresses)
            self.open()

    def broken(self, connection: int, silent: bool) -> None:
        """The watch has ended: at once where that was told, else after a silence."""
        self.live = False
        span = self.kernel.random.uniform(*SILENT_MS) if silent else self.kernel.random.uniform(20.0, 500.0)
        self.kernel.after(span, self._do, "timer", self._reopen, connection)

    def line(self, connection: int, raw: dict[str, Any]) -> None:
        """A line has come."""
        self._do("watch", self._line, connection, raw)

    def _line(self, connection: int, raw: dict[str, Any]) -> None:
        if connection == self._connection:
            self.live = True
            self._take(raw)
