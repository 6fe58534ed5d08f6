"""The tasks of one part of the service: held while they run, ended with it, and logged if they fail."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from brassfall.logs import logger

log = logger("tasks")


class Tasks:
    """Owns tasks that no caller awaits. The loop holds tasks weakly, and logs a failed one only when it is
    collected: here it is logged at once, and the others go on."""

    def __init__(self) -> None:
        self._running: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run this beside the rest; the task may be cancelled, which is no failure."""
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._running.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            log.error("fault", exc_info=error)

    async def end(self) -> None:
        """Cancel all that run, and wait until they have ended."""
        running = list(self._running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
