"""Background tasks of one part of a process: they are cancelled with it, and their failures are logged."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from brassfall import logs
from brassfall.logs import logger

log = logger("tasks")


class Tasks:
    """Owns tasks that no caller awaits, and logs their failures.

    asyncio's loop keeps only weak references to tasks, so that a task without an owner may be collected, and
    it logs a failure only when the task is collected.
    """

    def __init__(self) -> None:
        self._running: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task; a cancelled task does not count as failed."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._log_failure)
        return task

    def _log_failure(self, task: asyncio.Task[Any]) -> None:
        self._running.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            log.error("unexpected exception in this program", exc_info=error, action=logs.REPORT)

    async def end(self) -> None:
        """Cancel all running tasks, and wait until they have ended."""
        running = list(self._running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
