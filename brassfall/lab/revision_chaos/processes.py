"""How a process of a play is paused and ended."""

from __future__ import annotations

import asyncio
import contextlib
import signal

from brassfall.lab.real.process_group import MemberProcess

LEAVE_S = 10.0  # from SIGTERM; then SIGKILL


async def end_process(member: MemberProcess, *, planned: bool) -> None:
    """End a process and wait until it is gone; `planned` sends SIGTERM before SIGKILL."""
    if member.alive:
        member.ending = True
        if planned:
            member.process.terminate()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LEAVE_S):
                    await member.process.wait()
    if member.alive:
        member.process.kill()
    await member.wait()


async def pause_process(member: MemberProcess, duration_s: float) -> None:
    """Stop a process with SIGSTOP, and continue it after `duration_s`, also when cancelled."""
    member.process.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(duration_s)
    finally:
        if member.alive:
            member.process.send_signal(signal.SIGCONT)
