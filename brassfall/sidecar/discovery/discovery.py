"""The sidecar's client of discovery, which creates and connects the parts of this package.

The setting `Discovery` selects one of the two strategies `PushedWatch` and `PolledWatch`. A sidecar in a
fleet uses `FleetList` and `FleetRoute` instead of `CurrentList` and `SingleAddress`. Only there are the
modules of `FleetList` and `FleetRoute` loaded.
"""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

from brassfall.sidecar.config import Config
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.current_list import CurrentList
from brassfall.sidecar.discovery.interfaces import ListListener, Route, WatchStrategy
from brassfall.sidecar.discovery.list_call import ListCalls
from brassfall.sidecar.discovery.notifier import Notifier
from brassfall.sidecar.discovery.polled_watch import PolledWatch
from brassfall.sidecar.discovery.pushed_watch import PushedWatch
from brassfall.sidecar.discovery.single_address import SingleAddress
from brassfall.sidecar.discovery.watch_call import WatchCall

if TYPE_CHECKING:
    from brassfall.sidecar.discovery.endpoint_index import EndpointList

PUSHED = "automatic"  # Value of the setting `Discovery` for pushed lists
# Reports state the age of the list rounded up to a multiple of this time, which is two heartbeats of a watch,
# in seconds.
REPORTED_AGE_STEP_S = 4.0


class Discovery:
    """The current endpoint list, and the calls to discovery that keep it up to date.

    `listener` is notified of each list and of failed polls.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, listener: ListListener) -> None:
        self._loop = loop
        self._configured_list = config.known_servers
        self._route, self._current = _fleet_parts(loop, config) if config.registry else _default_parts(config)
        self._notifier = Notifier(loop, self._current, self._route, listener)
        self._list_calls = ListCalls(loop, self._route, self._current, self._notifier)
        call = WatchCall(self._route, self._current, self._notifier)
        self._strategy: WatchStrategy
        if config.settings.discovery == PUSHED:
            self._strategy = PushedWatch(loop, call, self._route, self._notifier)
        else:
            self._strategy = PolledWatch(loop, call, self._route, self._notifier, self._list_calls)

    def start(self) -> None:
        """Notify the listener of the list in the configuration; open the watch if lists are pushed."""
        self._notifier.notify_configured_list(self._configured_list)
        self._strategy.start()
        self._current.start(self._loop, lambda: self.state)

    @property
    def version(self) -> int:
        """The version of the current list."""
        return self._current.version

    @property
    def state(self) -> str:
        """The state of the current list for operators, as one line of text.

        It has the version, the upper bound on the age in milliseconds, the number of servers, and the address
        at which discovery is called.
        """
        age = self._current.age_at(self._loop.time())
        age_text = "unknown" if age is None else f"{age * 1000.0:.0f}"
        host, port = self._route.current
        return f"version={self.version} age_ms={age_text} servers={self._current.size} at={host}:{port}"

    def report_fields(self) -> dict[str, float]:
        """Return the fields of a report about the current list, in their form on the wire.

        They are the version, and the rounded upper bound on the age in milliseconds if one is known.
        """
        age = self._current.age_at(self._loop.time())
        if age is None or not math.isfinite(age):
            return {"list_index": self.version}
        steps = math.ceil(age / REPORTED_AGE_STEP_S)
        return {"list_index": self.version, "list_age_ms": round(steps * REPORTED_AGE_STEP_S * 1000.0)}

    def endpoints(self) -> EndpointList | None:
        """Return the entries of the current list; None outside of a fleet."""
        return self._current.endpoints

    async def wait_for_first_list(self, limit: float) -> None:
        """Wait until discovery has sent a list, for at most `limit` seconds."""
        await self._notifier.wait_for_first_list(limit)

    async def wait_for_first_call(self, limit: float) -> None:
        """Wait until the first call has ended if lists are pushed, for at most `limit` seconds."""
        await self._strategy.wait_for_first_call(limit)

    def skip_first_call(self) -> None:
        """Let `wait_for_first_call` return without waiting for the first call."""
        self._notifier.record_call_end()

    def watch(self, *, on: bool) -> None:
        """Start or stop a watch, as the balancer decides."""
        self._strategy.watch(on=on)

    def fetch(self) -> None:
        """Request the complete list once."""
        self._list_calls.start()

    def change_address(self, address: Address, addresses: tuple[Address, ...] = ()) -> None:
        """Call discovery at another address from now on: `address`, or in a fleet one of `addresses`.

        Calls under way are made again. Watches still request the changes since the current version.
        """
        if self._route.change_address(address, addresses):
            self._list_calls.change_address()
            self._strategy.change_address()

    def reopen_watch(self) -> None:
        """Request the changes that the watch has missed, at the next address if there is more than one."""
        self._route.record_failure(0.0)
        self._strategy.reopen_watch()

    def close(self) -> None:
        """Cancel all calls."""
        self._current.close()
        self._list_calls.close()
        self._strategy.close()


def _default_parts(config: Config) -> tuple[Route, CurrentList]:
    """Return the route and the current list of a sidecar outside of a fleet."""
    route = SingleAddress(config.discovery, random.Random(config.seed))
    return route, CurrentList(config.known_servers, config.names)


def _fleet_parts(loop: asyncio.AbstractEventLoop, config: Config) -> tuple[Route, CurrentList]:
    """Return the route and the current list of a sidecar in a fleet."""
    from brassfall.sidecar.discovery.fleet_list import FleetList
    from brassfall.sidecar.discovery.sources import FleetRoute

    route = FleetRoute(config.registry, random.Random(config.seed))
    return route, FleetList(config.known_servers, config.names, loop)
