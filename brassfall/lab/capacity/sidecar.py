"""A whole sidecar as a process, with its data path, beside which hollow ones are held."""

from __future__ import annotations

import asyncio
import json
import os
from typing import Any

from brassfall.lab.capacity.environment import Environment, free_port, until

SETTINGS: dict[str, Any] = {
    "Profiles": [{"Name": "look", "Semantics": "pure", "Objective": 5000.0, "Deadline": 20000.0}],
    "PolicyLimits": {"MaxAttempts": 3, "MayCancel": True, "ConnectTimeout": 250.0},
    "Rules": {"StopSendingWithin": 500.0},
    "FailureDomains": ["a", "b", "c"],
    "Discovery": "automatic",
}


async def start_sidecar(
    environment: Environment, name: str, addresses: list[str], agreement: bool = True
) -> tuple[str, asyncio.subprocess.Process]:
    """Start one that asks these addresses for its list; where it listens, once it takes connections."""
    address = f"127.0.0.1:{free_port()}"
    fleet: dict[str, Any] = {"registry": addresses}
    if agreement:
        fleet |= {"agreement": {}, "place": {"group": "g0", "region": "a"}}
    known = {"index": 0, "snapshot": True, "endpoints": []}
    raw_config = {"name": name, "listen": address, "seed": "1", "known": known, "settings": SETTINGS}
    path = environment.folder / f"{name}.json"
    path.write_text(json.dumps(raw_config | {"fleet": fleet}))
    inherited = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
    made = await environment.python(name, "brassfall.sidecar", env={**inherited, "NODE_CONFIG": str(path)})
    await until(lambda: _connect(address))
    return address, made


async def _connect(address: str) -> None:
    host, port = address.rsplit(":", 1)
    _, writer = await asyncio.open_connection(host, int(port))
    writer.close()
