"""What of the data path is to be measured."""

from __future__ import annotations

import msgspec


class DatapathOptions(msgspec.Struct, frozen=True):
    """What to measure. A turn is one spell of calls direct and one through the sidecar."""

    rates: tuple[float, ...] = (185.0, 1850.0)  # calls a second
    entries: tuple[int, ...] = (17, 5400)  # on the list: one callee, and those of 310
    turns: int = 6
    seconds: float = 4.0  # of a spell
    skip_seconds: float = 0.5  # of it, in which caches and connections come to be
    connections: int = 40  # of the client
    sockets: int = 17  # on which servers listen: the entries of one callee
    chain: int = 7  # sidecars that a call passes one after the other; 0: no chain is measured
    starts: int = 5  # sidecars whose first second is measured; 0: none
    seed: int = 1
