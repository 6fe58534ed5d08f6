"""What an edition means for this process: checked against its own program, and laid over its own file."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace
from typing import Any, Protocol

from fordtrestle import config
from fordtrestle.config import Config, ConfigError
from fordtrestle.driver import log
from fordtrestle.fleet import rules
from fordtrestle.fleet.agent import Agent
from fordtrestle.fleet.delays import Delays
from fordtrestle.fleet.holder import Edition, Stance
from fordtrestle.fleet.steering import NEUTRAL, Steering
from poppypulley.model import Listing, Steer


class Process(Protocol):
    """The sidecar's process, as far as editions change it."""

    @property
    def busy(self) -> Collection[int]:
        """The slots of classes that requests or clients still name."""

    @property
    def running(self) -> Config:
        """What it runs on."""

    def adopt(self, told: Config) -> None:
        """Run on another configuration from now on; `ConfigError` if it can't take the place."""

    def steer(self, steer: Steer) -> None:
        """Pick servers so from now on."""

    def listings(self) -> Iterable[Listing]:
        """The servers on the list held."""


class Part:
    """This process's part in the agreement."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, process: Process, environment: Mapping[str, str]
    ) -> None:
        self._process = process
        self._environment = {**environment, "NODE_DISCOVERY": ""}
        self._file = process.running
        self._laid: Mapping[str, Any] = {}  # of an edition: what is laid over the file now
        self._steer = NEUTRAL
        told = self._file
        assert told.agreement is not None
        self.agent = Agent(
            loop, told.name, told.agreement, told.registry, self._objection, self._act, told.seed
        )
        self.steering = Steering(told.agreement, lambda: process.running.names, process.listings)
        self.delays = Delays(told.agreement.group, loop.time())
        self.agent.measures.append(self.steering.report)
        if told.agreement.group:
            self.agent.measures.append(lambda: self._delays(loop.time()))
        self.agent.answered.append(self.steering.answered)

    def _delays(self, now: float) -> dict[str, Any]:
        rows = self.delays.take(now)
        return {"measures": {"delays": rows}} if rows else {}

    def stamp_at(self, loop: asyncio.AbstractEventLoop) -> Callable[[], bytes]:
        """What is asked before each decision, and at each send: under which edition it is made."""
        agent, clock = self.agent, loop.time

        def stamp() -> bytes:
            # As `agent.at`, without a call more: this is asked some five times a request.
            now = clock()
            if now >= agent.good_until:
                agent.refresh(now)
            return agent.stamp

        return stamp

    def file_read(self, told: Config) -> Config:
        """The file was read again: what to run on, with the edition laid over it; `ConfigError` if none."""
        made = self._over(told, self._laid)
        self._file = told
        return made

    def _over(self, file: Config, settings: Mapping[str, Any]) -> Config:
        """The file with settings of an edition laid over it; `ConfigError` if that is no configuration."""
        if file.agreement is None or not settings:
            return file
        raw = dict(file.agreement.raw)
        try:
            raw["settings"] = rules.overlaid(raw["settings"], settings)
            return replace(config.parse(raw, self._environment), agreement=file.agreement)
        except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
            raise ConfigError(f"{error}") from error

    def _objection(self, edition: Edition) -> str:
        """Why this program can't act on an edition; empty where it can."""
        why = rules.unknown(edition) or self.steering.objection(edition)
        if why:
            return why
        try:
            laid = rules.laid(edition.settings)
            config.successor(self._process.running, self._over(self._file, laid), self._process.busy)
        except ConfigError as error:
            return str(error)
        return ""

    def _act(self, stance: Stance, now: float) -> float:
        """Act on an edition, on the meet of two, or on safe rules; until when that holds by itself."""
        settings = rules.effective(stance)
        laid = rules.laid(settings)
        if laid != self._laid:
            try:
                self._process.adopt(self._over(self._file, laid))
                self._laid = laid
            except ConfigError as error:
                log(f"agreement: {error}; the settings before stay. Look at the edition and at this file")
        found = self.steering.found(stance, now)
        self.agent.overrides = [name for name, _ in found.acted]
        steer = self.steering.steer(stance, found, now)
        if steer != self._steer:
            self._steer = steer
            self.agent.renew()
            self._process.steer(steer)
        return self.steering.next_end(now)

    def listed(self, now: float) -> None:
        """The list has changed: what is held off may be another set of servers."""
        self.agent.refresh(now)
