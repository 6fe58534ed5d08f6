"""Discovery as the sidecar sees it: the parts of this folder, wired together.

`PushedWatch` and `PolledWatch` are the two strategies, by the setting `Discovery`; a fleet has a list and a
route of its own (`FleetList`, `FleetRoute`), whose modules are loaded only there.
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

PUSHED = "automatic"  # the value of the setting `Discovery` with which lists are pushed
# Reports state the age of the list rounded up to a multiple of this: two heartbeats of a watch.
REPORTED_AGE_STEP_S = 4.0


class Discovery:
    """The current endpoint list, and the calls that keep it so. `listener` is notified of each list."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, listener: ListListener) -> None:
        self._loop = loop
        self._known = config.known
        self._route, self._current = _fleet_parts(loop, config) if config.registry else _parts(config)
        self._notifier = Notifier(loop, self._current, self._route, listener)
        self._list_calls = ListCalls(loop, self._route, self._current, self._notifier)
        call = WatchCall(self._route, self._current, self._notifier)
        self._strategy: WatchStrategy
        if config.settings.discovery == PUSHED:
            self._strategy = PushedWatch(loop, call, self._route, self._notifier)
        else:
            self._strategy = PolledWatch(loop, call, self._route, self._notifier, self._list_calls)

    def start(self) -> None:
        """Pass on the list that the configuration had, then watch if lists are pushed."""
        self._notifier.remembered(self._known)
        self._strategy.start()
        self._current.start(self._loop, lambda: self.state)

    @property
    def version(self) -> int:
        """The version of the current list."""
        return self._current.version

    @property
    def state(self) -> str:
        """The current list, for operators: version, an upper bound on its age, servers, and its address."""
        age = self._current.age_at(self._loop.time())
        age_text = "unknown" if age is None else f"{age * 1000.0:.0f}"
        host, port = self._route.current
        return f"version={self.version} age_ms={age_text} servers={self._current.size} at={host}:{port}"

    def report_fields(self) -> dict[str, float]:
        """Return the version of the current list, and an upper bound on its age in ms if there is one."""
        age = self._current.age_at(self._loop.time())
        if age is None or not math.isfinite(age):
            return {"list_index": self.version}
        steps = math.ceil(age / REPORTED_AGE_STEP_S)
        return {"list_index": self.version, "list_age_ms": round(steps * REPORTED_AGE_STEP_S * 1000.0)}

    def endpoints(self) -> EndpointList | None:
        """Return the entries of the current list; None outside of a fleet."""
        return self._current.endpoints

    async def wait_for_first_list(self, limit: float) -> None:
        """Wait until discovery has sent a list, at most `limit` seconds."""
        await self._notifier.wait_for_first_list(limit)

    async def wait_for_first_call(self, limit: float) -> None:
        """Wait for the first call, where lists are pushed, at most `limit` seconds."""
        await self._strategy.wait_for_first_call(limit)

    def skip_first_call(self) -> None:
        """Let `wait_for_first_call` return at once."""
        self._notifier.call_ended()

    def watch(self, *, on: bool) -> None:
        """Watch from now on, or stop, as the balancer decides."""
        self._strategy.watch(on=on)

    def fetch(self) -> None:
        """Call for the complete list once."""
        self._list_calls.start()

    def change_address(self, address: Address, addresses: tuple[Address, ...] = ()) -> None:
        """Call elsewhere from now on: at `address`, or in a fleet at one of `addresses`.

        Changes are requested from the current version on.
        """
        if self._route.change_address(address, addresses):
            self._list_calls.change_address()
            self._strategy.change_address()

    def reopen_watch(self) -> None:
        """Get what the watch, which has fallen behind, has missed; elsewhere if there is another address."""
        self._route.failed(0.0)
        self._strategy.reopen_watch()

    def close(self) -> None:
        """Cancel all calls."""
        self._current.close()
        self._list_calls.close()
        self._strategy.close()


def _parts(config: Config) -> tuple[Route, CurrentList]:
    route = SingleAddress(config.discovery, random.Random(config.seed))
    return route, CurrentList(config.known, config.names)


def _fleet_parts(loop: asyncio.AbstractEventLoop, config: Config) -> tuple[Route, CurrentList]:
    from brassfall.sidecar.discovery.fleet_list import FleetList
    from brassfall.sidecar.discovery.sources import FleetRoute

    route = FleetRoute(config.registry, random.Random(config.seed))
    return route, FleetList(config.known, config.names, loop)
