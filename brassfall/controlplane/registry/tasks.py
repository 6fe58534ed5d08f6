"""The tasks of one part of the service: they are cancelled with it, and logged if they fail."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from brassfall import logs
from brassfall.logs import logger

log = logger("tasks")


class Tasks:
    """Owns tasks that no caller awaits, and logs their failures.

    The loop has only weak references to tasks, and logs a failed one when it is collected.
    """

    def __init__(self) -> None:
        self._running: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task; cancelling it is no failure."""
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._running.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            log.error("fault", exc_info=error, action=logs.REPORT)

    async def end(self) -> None:
        """Cancel all running tasks, and wait until they have ended."""
        running = list(self._running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
