"""The clock of overrides: its time is stored at intervals, and continues from there after a crash."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from brassfall.controlplane.overrides.clock import SteadyClock
from brassfall.controlplane.registry.tasks import Tasks
from brassfall.controlplane.store.commands import Put
from brassfall.controlplane.store.store import Store
from brassfall.errors import UnavailableError
from brassfall.logs import logger

TABLE, KEY = "overrides-clock", "mark"
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")  # file with an id that changes at each boot

log = logger("overrides")


class OverrideClock:
    """A clock in Unix ms that does not follow steps of the wall clock; create it once the store is loaded."""

    def __init__(self, store: Store, tasks: Tasks) -> None:
        self._store = store
        self._tasks = tasks
        self._writing: asyncio.Task[None] | None = None
        row = store.state.get(TABLE, KEY)
        stored = row.value if row is not None else {}
        same_boot = bool(stored.get("boot")) and stored.get("boot") == _boot_id()
        self._clock = SteadyClock(
            time.time() * 1000.0,
            _monotonic_ms(),
            stored.get("mark", 0.0),
            stored.get("at") if same_boot else None,
        )

    def now(self) -> int:
        """Return the time in Unix ms, which never goes back."""
        return self._clock.now(_monotonic_ms())

    async def write_first_mark(self) -> None:
        """Store the time durably before any answer depends on it.

        Raise `UnavailableError` while the disk fails. Cancelling does not cancel a write under way.
        """
        await self._store.submit(self.mark(), until_settled=False)

    def mark(self) -> Put:
        """Return the store command that stores the present time."""
        at = _monotonic_ms()
        return Put(table=TABLE, key=KEY, value={"mark": self._clock.now(at), "at": at, "boot": _boot_id()})

    def write_mark_when_due(self) -> None:
        """Start to store the time if a write is due, which is once a second, and none is under way."""
        if self._writing is not None and not self._writing.done():
            return
        if self._clock.mark(_monotonic_ms()) is not None:
            self._writing = self._tasks.spawn(self._write_mark())

    async def _write_mark(self) -> None:
        try:
            await self._store.submit(self.mark())
        except UnavailableError as error:
            log.warning("override clock not written to disk", reason=error.summary, action=error.action)


def _monotonic_ms() -> float:
    return time.monotonic() * 1000.0


def _boot_id() -> str:
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""
