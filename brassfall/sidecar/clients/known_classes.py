"""Names of request classes that clients may use: the current names and, for some time, earlier names."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from brassfall.sidecar.clients.client_request import ClientRequest
from brassfall.sidecar.clients.request_checks import path_class_name
from brassfall.sidecar.clients.request_message import BadRequestError, RequestMessage
from brassfall.sidecar.config_values import RepeatLimits, WireNames
from brassfall.sidecar.core.clock import MAX_PROCESS_PAUSE_MS

CLIENTS_LEARN_CLASSES_S = 1.2  # time after a reload until all clients know the new classes, in seconds
# Largest difference between the time at which clients begin to use new classes and the time at which this
# process expects that, in seconds: the process may pause before a reload and before it reads a request.
SWITCH_TOLERANCE_S = MAX_PROCESS_PAUSE_MS / 1000.0
# Shortest time after a reload for which the earlier names stay valid, in seconds: clients may retry requests
# that use them.
EARLIER_CLASSES_KEPT_S = 4.0


@dataclass(frozen=True, slots=True, eq=False)
class NamesVersion:
    """Names of one configuration, and when clients begin to use them, in seconds of the loop's time."""

    names: WireNames
    used_from: float

    def repeat_limits(self, class_name: str) -> RepeatLimits:
        """Return how freely requests of a class may be sent again; a missing class has the widest limits."""
        request_class = self.names.classes.get(class_name)
        return RepeatLimits(math.inf, math.inf) if request_class is None else request_class.repeat_limits


class KnownClasses:
    """Current and earlier names of request classes, against which requests are checked."""

    def __init__(self, loop: asyncio.AbstractEventLoop, names: WireNames) -> None:
        """Start with `names` as the current names, and without earlier ones."""
        self._loop = loop
        self._versions = deque([NamesVersion(names, -math.inf)])  # newest first
        self._forget_timers: list[asyncio.TimerHandle] = []

    def replace(self, names: WireNames, deadline_ms: float) -> None:
        """Replace the current names, and keep them as earlier names for some time.

        Clients learn of a reload later, and may retry a request with earlier names until its deadline, of at
        most `deadline_ms`, is over. Each replacement has its own timer.
        """
        earlier = self._versions[0].names
        if names == earlier:
            return
        self._versions.appendleft(NamesVersion(names, self._loop.time() + CLIENTS_LEARN_CLASSES_S))
        keep_s = max(EARLIER_CLASSES_KEPT_S, CLIENTS_LEARN_CLASSES_S + deadline_ms / 1000.0)
        self._forget_timers.append(self._loop.call_later(keep_s, self.forget, earlier))

    def forget(self, names: WireNames) -> None:
        """Remove earlier names that no client uses any more."""
        forgotten = next(version for version in reversed(self._versions) if version.names is names)
        self._versions.remove(forgotten)
        self._forget_timers = [timer for timer in self._forget_timers if timer.when() > self._loop.time()]

    @property
    def known(self) -> list[WireNames]:
        """Names that clients may use, newest first."""
        return [version.names for version in self._versions]

    @property
    def slots(self) -> set[int]:
        """Slots in the settings of all classes that clients may name."""
        return {request_class.slot for names in self.known for request_class in names.classes.values()}

    def check_request(
        self, request: ClientRequest, message: RequestMessage, not_forwarded: frozenset[bytes]
    ) -> None:
        """Check a request against the names that its client uses, and read its properties.

        Headers in `not_forwarded` are not forwarded to servers. A request that does not fit the names that
        clients use by now is checked against the other known names, newest first. If it fits none, raises the
        `BadRequestError` of the check against the current names.
        """
        if len(self._versions) == 1:
            request.read_properties(message, self._versions[0].names, not_forwarded)
            return
        for version in self._by_use(path_class_name(message)):
            with contextlib.suppress(BadRequestError):
                request.read_properties(message, version.names, not_forwarded)
                return
        request.read_properties(message, self._versions[0].names, not_forwarded)

    def _by_use(self, class_name: str) -> Iterator[NamesVersion]:
        """Return all known names: first those that clients may use now, then the others, newest first.

        About the time at which clients change from one version to the next, they may use either. The one that
        limits repeats of the class more comes first then, since it breaks no rule of the other.
        """
        in_use = self._in_use()
        yield from sorted(in_use, key=lambda version: version.repeat_limits(class_name))
        yield from (version for version in self._versions if version not in in_use)

    def _in_use(self) -> list[NamesVersion]:
        """Return the names that clients may use now for new requests: one version, or two about a change."""
        now = self._loop.time()
        in_use = []
        for version in self._versions:
            if version.used_from <= now + SWITCH_TOLERANCE_S:
                in_use.append(version)
            if version.used_from <= now - SWITCH_TOLERANCE_S:
                break
        return in_use

    def close(self) -> None:
        """Cancel the timers that remove earlier names."""
        for timer in self._forget_timers:
            timer.cancel()
