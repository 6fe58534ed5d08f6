"""The sidecar's data path: what it adds to a call, and what a call costs it.

    figures = await measure(DatapathOptions())

Sidecars, servers and the client are processes of their own; calls are planned ahead and do not wait for
answers. `docs/capacity-datapath.md` tells what was found.
"""

from __future__ import annotations

from collections.abc import Callable

from brassfall.lab.capacity.datapath.options import DatapathOptions
from brassfall.lab.capacity.measurements import Measurement

__all__ = ["DatapathOptions", "measure"]


async def measure(
    options: DatapathOptions, say: Callable[[str], None] = lambda text: None
) -> list[Measurement]:
    """Measure all that the options name, and end what that starts; `say` is told of the progress.

    Raises `PlayError` if a process fails, or none of the calls of a spell is answered."""
    # Here, since the client and the servers import this package and need none of it.
    from brassfall.lab.capacity.datapath import turns

    return await turns.measure(options, say)
