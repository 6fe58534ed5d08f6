"""This process as a member of the fleet: it checks configuration revisions against its own program, lays
them over its own file, and acts on them."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from typing import Any, Protocol

from brassfall.balancer.model import Steer
from brassfall.sidecar import config, reload
from brassfall.sidecar.agent import rules
from brassfall.sidecar.agent.agent import Agent
from brassfall.sidecar.agent.delays import Delays
from brassfall.sidecar.agent.lease_client import ActiveConfiguration, Revision
from brassfall.sidecar.agent.lists import EndpointList
from brassfall.sidecar.agent.steering import NEUTRAL, Inputs, Steering
from brassfall.sidecar.config import Config, ConfigError
from brassfall.sidecar.console import log

LIST_LATE_S = 2.0  # changes of the list take far less on a watch that works


class Process(Protocol):
    """The sidecar's process, as far as revisions change it."""

    @property
    def busy(self) -> Collection[int]:
        """The slots of classes that requests or clients still name."""

    @property
    def running(self) -> Config:
        """What it runs on."""

    def adopt(self, found: Config) -> None:
        """Run on another configuration from now on; `ConfigError` if it can't take the place."""

    def steer(self, steer: Steer) -> None:
        """Pick servers so from now on."""

    def listings(self) -> EndpointList:
        """The list held."""

    @property
    def list_version(self) -> int:
        """The version of the list held."""

    def ask_for_list(self) -> None:
        """Ask for the list anew: the watch on its changes has fallen behind."""


class FleetMember:
    """Acts on the revisions that this process may act on, and reports what it measures."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, process: Process, environment: Mapping[str, str]
    ) -> None:
        self._process = process
        self._now = loop.time
        self._environment = {**environment, "NODE_DISCOVERY": ""}
        self._file = process.running
        self._laid: Mapping[str, Any] = {}  # of a revision: what is laid over the file now
        self._steer = NEUTRAL
        self._decided_by: tuple[ActiveConfiguration, Inputs] | None = None  # what was acted on last
        self._decided_until = -math.inf
        file = self._file
        assert file.agreement is not None
        self.agent = Agent(
            loop, file.name, file.agreement, file.registry, self._objection, self._act, file.seed
        )
        self.steering = Steering(file.agreement, lambda: process.running.names, process.listings)
        self.delays = Delays(file.agreement.group)
        self.agent.report_extensions.append(self.steering.report)
        if file.agreement.group:
            self.agent.report_extensions.append(lambda: self._delays(loop.time()))
        self.agent.answer_listeners += [self.steering.receive_answer, self._receive_answer]
        self._ahead_since = math.inf

    def _delays(self, now: float) -> dict[str, Any]:
        rows = self.delays.take(now)
        return {"measures": {"delays": rows}} if rows else {}

    def stamp_at(self, loop: asyncio.AbstractEventLoop) -> Callable[[], bytes]:
        """What is asked before each decision, and at each send: under which revision it is made."""
        agent, clock = self.agent, loop.time

        def stamp() -> bytes:
            # As `agent.at`, without a call more: this is asked some five times a request.
            now = clock()
            if now >= agent.valid_until:
                agent.refresh(now)
            return agent.stamp

        return stamp

    def over(self, file: Config) -> Config:
        """A file that was read again, with what is acted on laid over it; `ConfigError` if that is none."""
        return self._over(file, self._laid)

    def file_read(self, file: Config) -> None:
        """This file is what revisions are laid over from now on. Classes may have other numbers by it: what
        is capped or shifted is stated anew."""
        self._file = file
        self._decided_by = None
        self.agent.refresh(self._now())

    def _receive_answer(self, asked: float, received: float, answer: Mapping[str, Any]) -> None:
        """Ask for the list anew where the service's is ahead for longer than a change takes to come."""
        ahead = answer.get("list_index")
        if not isinstance(ahead, int) or ahead <= self._process.list_version:
            self._ahead_since = math.inf
        elif received - min(self._ahead_since, asked) < LIST_LATE_S:
            self._ahead_since = min(self._ahead_since, asked)
        else:
            log(
                f"agreement: the list is at {ahead}, and here at {self._process.list_version}: asked for anew"
            )
            self._ahead_since = math.inf
            self._process.ask_for_list()

    def _over(self, file: Config, settings: Mapping[str, Any]) -> Config:
        """The file with settings of a revision laid over it; `ConfigError` if that is no configuration."""
        if file.agreement is None or not settings:
            return file
        raw = dict(file.agreement.raw)
        try:
            raw["settings"] = rules.overlaid(raw["settings"], settings)
            return replace(config.parse(raw, self._environment), agreement=file.agreement)
        except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
            raise ConfigError(f"{error}") from error

    def _objection(self, revision: Revision) -> str:
        """Why this program can't act on a revision; empty where it can."""
        why = rules.unknown(revision) or self.steering.objection(revision)
        if why:
            return why
        try:
            laid = rules.laid(revision.settings)
            reload.successor(self._process.running, self._over(self._file, laid), self._process.busy)
        except ConfigError as error:
            return str(error)
        except Exception as error:  # noqa: BLE001 - any fault must be told as an objection
            # Reported, it halts the revision; unreported, every sidecar would act on the fallback.
            return f"a fault in this program, report it: {error!r}"
        return ""

    def _act(self, active: ActiveConfiguration, now: float) -> float:
        """Act on a revision, on what several have in common, or on the fallback; until when that holds."""
        inputs = (active, self.steering.inputs(active.revision, now))
        if inputs == self._decided_by and now < self._decided_until:
            return self._decided_until  # as with most reports: nothing has changed
        self._decided_by = None  # where anything fails, it is tried again
        taken = self._lay(rules.laid(rules.effective(active)))
        found = self.steering.found(active, now)
        self.agent.overrides = [name for name, _ in found.acted]
        steer = self.steering.steer(active, found, now)
        if steer != self._steer:
            self._steer = steer
            self.agent.renew()
            self._process.steer(steer)
        self._decided_by = inputs if taken else None
        self._decided_until = self.steering.next_end(now)
        return self._decided_until

    def _lay(self, laid: Mapping[str, Any]) -> bool:
        """Run on this process's own file with these settings over it; whether it does."""
        if laid == self._laid:
            return True
        try:
            self._process.adopt(self._over(self._file, laid))
        except ConfigError as error:
            log(f"agreement: {error}; the settings before stay. Look at the edition and at this file")
            return False
        self._laid = laid
        return True

    def listed(self, now: float) -> None:
        """The list has changed: what is held off may be another set of servers."""
        self.agent.refresh(now)
