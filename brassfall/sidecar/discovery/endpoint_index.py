"""The entries of the current endpoint list, indexed by server, group and zone."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Set

from brassfall.balancer.model import EndpointEntry
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.endpoint_list import ServerList

EMPTY_LIST = ServerList(0, complete=True, entries=[], addresses={})  # A complete list without servers


class EndpointList:
    """The last valid entry of each server, with indices by group and zone.

    The time that an update takes is proportional to the length of the update, not to that of the list.
    """

    def __init__(self, known: ServerList = EMPTY_LIST) -> None:
        self._entries: dict[str, tuple[EndpointEntry, Address | None]] = {}
        # Names of the servers of each group; no set is empty.
        self._servers_by_group: dict[str, set[str]] = {}
        # Number of active servers of each zone; no number is 0.
        self._active_by_zone: Counter[int] = Counter()
        self.changes = 0  # Number of updates applied
        self.apply(known)

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def servers(self) -> Set[str]:
        """The names of all servers, as a view that changes with the list."""
        return self._entries.keys()

    @property
    def groups(self) -> Set[str]:
        """The groups that have a server, as a view that changes with the list."""
        return self._servers_by_group.keys()

    @property
    def served_zones(self) -> Set[int]:
        """The numbers of the zones that have an active server, as a view that changes with the list."""
        return self._active_by_zone.keys()

    def servers_in_groups(self, groups: Iterable[str]) -> set[str]:
        """Return the names of the servers in any of `groups`."""
        return {name for group in groups for name in self._servers_by_group.get(group, ())}

    def apply(self, update: ServerList) -> None:
        """Apply an update, which is a complete list or the entries that changed."""
        self.changes += 1
        if update.complete:
            self._entries.clear()
            self._servers_by_group.clear()
            self._active_by_zone.clear()
        for entry in update.entries:
            self._remove(entry.server)
            if entry.state != "left":
                self._add(entry, update.addresses.get(entry.server))

    def _add(self, entry: EndpointEntry, address: Address | None) -> None:
        """Add the entry of a server that has none."""
        self._entries[entry.server] = (entry, address)
        self._servers_by_group.setdefault(str(entry.cell), set()).add(entry.server)
        if entry.state == "active":
            self._active_by_zone[entry.zone] += 1

    def _remove(self, name: str) -> None:
        """Remove the entry of a server, if it has one."""
        if name not in self._entries:
            return
        entry, _ = self._entries.pop(name)
        group = self._servers_by_group[str(entry.cell)]
        group.discard(name)
        if not group:
            del self._servers_by_group[str(entry.cell)]
        if entry.state == "active":
            self._active_by_zone[entry.zone] -= 1
            if not self._active_by_zone[entry.zone]:
                del self._active_by_zone[entry.zone]

    def with_last_valid_entries(self, update: ServerList, invalid: Mapping[str, str]) -> ServerList:
        """Return the update, with the last valid entry of each server whose new entry is invalid.

        `invalid` maps the names of these servers to the reasons.
        """
        entries, addresses = list(update.entries), dict(update.addresses)
        for name in invalid:
            if name not in self._entries:
                continue
            entry, address = self._entries[name]
            entries.append(entry)
            if address is not None:
                addresses[name] = address
        return ServerList(update.version, update.complete, entries, addresses)
