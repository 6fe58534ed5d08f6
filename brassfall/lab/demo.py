"""`brassfall demo`: a small fleet on loopback, and its behaviour when parts of it fail.

The fleet is a list service, three servers that register themselves, and one sidecar that runs with the
command of the deploy file. A configuration revision is committed, an override expires while the sidecar
is suspended, the list service is restarted and a server drains; the servers' ledgers show the results.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path

from brassfall.lab.demonstration.fleet import DemoFleet
from brassfall.lab.demonstration.processes import DemoError
from brassfall.lab.demonstration.steps import Demonstration

__all__ = ["DemoError", "run"]


async def run(say: Callable[[str], None]) -> None:
    """Run the demonstration in a temporary folder; each line of its output goes to `say`.

    Raises `DemoError` if a step has another result than it must have. Every process is ended before it
    returns, also when it is cancelled.
    """
    with tempfile.TemporaryDirectory(prefix="brassfall-demo-") as folder:
        fleet = DemoFleet(Path(folder))
        try:
            await Demonstration(fleet, say).run()
        finally:
            await fleet.close()
