"""Case 7: after SIGHUP, requests of the old class run twice, at transcribers that do not share their keys."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path
from typing import Any

from client_standin import Client
from discovery_standin import Discovery
from platform_standin import CaseError, Record, Sidecar, play
from transcriber_standin import Transcriber, Writer, answer_whole

SERVERS = 10  # in two cells of five
REQUESTS_PER_S = 40.0
CLASS, BUDGET_MS = "new-message", 660.0
RESET_SHARE = 0.1  # of the requests are reset after they have begun
CYCLES, WIDE_S, NARROW_S = 7, 3.0, 3.0
CLIENTS_USE_IT_S = 1.2  # after SIGHUP clients use the new class
FIRST_SIGNAL_S = 2.0  # after the sidecar is ready; none comes in the first second of the program
OLD_DISCOVERY_S = 1.5  # after SIGHUP the old address of discovery closes its connections
TIMES_LATE_S = 0.55


class Rules:
    """Which class clients use at a time: that whose keys one cell shares, or that whose keys all share."""

    def __init__(self) -> None:
        self.now = "cell"
        self.at_send: dict[str, str] = {}  # the group of the class with which each request was sent
        self.resent: set[str] = set()  # requests that a client itself sent once more
        self.seen: dict[tuple[str, int], float] = {}  # when a request was first seen, by its group

    def drops(self, server: Transcriber, call_id: str) -> bool:
        """Return whether a transcriber knows the key of a request that arrives."""
        group = server.cell if self.at_send.get(call_id) == "cell" else -1
        now = time.monotonic()
        return now - self.seen.setdefault((call_id, group), now) > 0.0


def new_message(sidecar: Sidecar) -> dict[str, Any]:
    """Return the class of the configuration that the case changes."""
    (row,) = (row for row in sidecar.config["settings"]["Profiles"] if row["Name"] == CLASS)
    return row


async def answer_or_reset(server: Transcriber, writer: Writer, call_id: str, body: bytes) -> None:
    """Answer soundly; now and then reset the connection instead."""
    if server.random.random() < RESET_SHARE:
        server.record.add(f"{server.name}: {call_id} reset")
        writer.transport.abort()
        return
    await answer_whole(server, writer, call_id, body)


async def configure(
    sidecar: Sidecar, discovery: Discovery, rules: Rules, record: Record, *, trouble: bool
) -> None:
    """Give the sidecar one class and then the other, in turn; clients follow 1.2 s later."""
    profile = new_message(sidecar)
    await asyncio.sleep(FIRST_SIGNAL_S)
    for _ in range(CYCLES):
        for group, duration in (("all", WIDE_S), ("cell", NARROW_S)):
            if trouble:
                profile["Group"] = group
                old, discovery = discovery, Discovery(discovery.entries)
                await discovery.start()
                sidecar.config["discovery"] = discovery.address
                sidecar.reload()
                old.close_after(OLD_DISCOVERY_S)
                record.add(f"platform: SIGHUP, {CLASS} has Group {group}")
            await asyncio.sleep(CLIENTS_USE_IT_S)
            rules.now = group if trouble else rules.now
            await asyncio.sleep(duration - CLIENTS_USE_IT_S)


def run_in_both_cells(servers: list[Transcriber], rules: Rules) -> list[str]:
    """Return the requests that ran in both cells although only one shares the keys of their class."""
    first, second = (
        {call_id for server in servers if server.cell == cell for call_id in server.runs} for cell in (0, 1)
    )
    both = first & second - rules.resent
    return sorted(call_id for call_id in both if rules.at_send.get(call_id) == "cell")


async def case(record: Record, trouble: bool) -> bool:  # noqa: FBT001 - called by `play`
    """Return whether no request ran twice at transcribers of different cells while its class forbids that."""
    rules = Rules()
    servers = [
        Transcriber(f"s-{number}", "rennes", record, number, answer_or_reset) for number in range(SERVERS)
    ]
    for number, server in enumerate(servers):
        server.cell, server.is_repeat = number // 5, rules.drops
        await server.start()
    discovery = Discovery([server.entry() for server in servers])
    await discovery.start()
    sidecar = Sidecar(record, discovery.address, discovery.whole())
    new_message(sidecar)["Group"] = "cell"
    draw = random.Random(6)
    sent = 0
    try:
        await sidecar.start()
        client = Client(sidecar.host, sidecar.port)

        async def ask(number: int) -> None:
            call_id = f"{number:016x}"
            rules.at_send[call_id] = rules.now
            record.add(f"client: {call_id} sent, {CLASS} with the keys of {rules.now}")
            answer = await client.ask(call_id, CLASS, BUDGET_MS, BUDGET_MS / 1000.0 + TIMES_LATE_S)
            if answer.resent:
                rules.resent.add(call_id)
            record.add(f"client: {call_id} answered {answer.status} {answer.body!r} {answer.broken}")

        async with asyncio.TaskGroup() as group:
            configuring = group.create_task(configure(sidecar, discovery, rules, record, trouble=trouble))
            loop = asyncio.get_running_loop()
            due = loop.time()
            while not configuring.done():
                sent += 1
                group.create_task(ask(sent))
                due += draw.expovariate(REQUESTS_PER_S)
                await asyncio.sleep(max(0.0, due - loop.time()))
        client.close()
        crashed = not sidecar.running
    finally:
        sidecar.end()
    twice = run_in_both_cells(servers, rules)
    for call_id in twice:
        record.add(f"twice: {call_id} ran in both cells")
    record.add(f"requests {sent}, run twice {len(twice)}, crashed {crashed}", show=True)
    record.add(f"sent again by a client: {len(rules.resent)}")
    if sum(len(server.runs) for server in servers) < sent / 2:
        message = "under half of the requests ran"
        raise CaseError(message)
    return not twice and not crashed


play(Path(__file__).resolve().parent, case)
