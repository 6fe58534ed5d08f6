"""The entries of the current endpoint list, by server, group and zone."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Set

from brassfall.balancer.model import EndpointEntry
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.endpoint_list import ServerList

NO_LIST = ServerList(0, complete=True, entries=[], addresses={})


class EndpointList:
    """The last valid entry of each server, with indices over all of them.

    An update costs time by its own length, not by that of the list.
    """

    def __init__(self, known: ServerList = NO_LIST) -> None:
        self._entries: dict[str, tuple[EndpointEntry, Address | None]] = {}
        self._groups: dict[str, set[str]] = {}  # names of servers by group; none is empty
        self._active: Counter[int] = Counter()  # active servers by zone; none is 0
        self.changes = 0  # updates applied
        self.apply(known)

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def servers(self) -> Set[str]:
        """The names of the servers; a view that follows the list."""
        return self._entries.keys()

    @property
    def groups(self) -> Set[str]:
        """The groups of the servers; a view that follows the list."""
        return self._groups.keys()

    @property
    def served_zones(self) -> Set[int]:
        """The zones with an active server; a view that follows the list."""
        return self._active.keys()

    def in_groups(self, groups: Iterable[str]) -> set[str]:
        """Return the servers of some groups."""
        return {name for group in groups for name in self._groups.get(group, ())}

    def apply(self, update: ServerList) -> None:
        """Apply a complete list, or changes."""
        self.changes += 1
        if update.complete:
            self._entries.clear()
            self._groups.clear()
            self._active.clear()
        for entry in update.entries:
            self._remove(entry.server)
            if entry.state != "left":
                self._add(entry, update.addresses.get(entry.server))

    def _add(self, entry: EndpointEntry, address: Address | None) -> None:
        self._entries[entry.server] = (entry, address)
        self._groups.setdefault(str(entry.cell), set()).add(entry.server)
        if entry.state == "active":
            self._active[entry.zone] += 1

    def _remove(self, name: str) -> None:
        if name not in self._entries:
            return
        entry, _ = self._entries.pop(name)
        group = self._groups[str(entry.cell)]
        group.discard(name)
        if not group:
            del self._groups[str(entry.cell)]
        if entry.state == "active":
            self._active[entry.zone] -= 1
            if not self._active[entry.zone]:
                del self._active[entry.zone]

    def repaired(self, update: ServerList, invalid: Mapping[str, str]) -> ServerList:
        """Return the update with the last valid entries in the place of the `invalid` ones, by server."""
        entries, addresses = list(update.entries), dict(update.addresses)
        for name in invalid:
            if name not in self._entries:
                continue
            entry, address = self._entries[name]
            entries.append(entry)
            if address is not None:
                addresses[name] = address
        return ServerList(update.version, update.complete, entries, addresses)
