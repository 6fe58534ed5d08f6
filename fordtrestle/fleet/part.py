"""What an edition means for this process: checked against its own program, and laid over its own file."""

from __future__ import annotations

import asyncio
import math
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

LIST_LATE_S = 2.0  # news of the list take far less on a watch that works


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

    @property
    def list_version(self) -> int:
        """The version of the list held."""

    def ask_for_list(self) -> None:
        """Ask for the list anew: what tells of changes has fallen behind."""


class Part:
    """This process's part in the agreement."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, process: Process, environment: Mapping[str, str]
    ) -> None:
        self._process = process
        self._now = loop.time
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
        self.delays = Delays(told.agreement.group)
        self.agent.measures.append(self.steering.report)
        if told.agreement.group:
            self.agent.measures.append(lambda: self._delays(loop.time()))
        self.agent.answered += [self.steering.answered, self._answered]
        self._ahead_since = math.inf

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

    def over(self, file: Config) -> Config:
        """A file that was read again, with what is acted on laid over it; `ConfigError` if that is none."""
        return self._over(file, self._laid)

    def file_read(self, file: Config) -> None:
        """This file is what editions are laid over from now on. Classes may have other numbers by it: what
        is capped or shifted is said anew."""
        self._file = file
        self.agent.refresh(self._now())

    def _answered(self, asked: float, heard: float, told: Mapping[str, Any]) -> None:
        """The service's list is ahead of the one held for longer than news takes: the watch is of no use."""
        ahead = told.get("list_index")
        if not isinstance(ahead, int) or ahead <= self._process.list_version:
            self._ahead_since = math.inf
        elif heard - min(self._ahead_since, asked) < LIST_LATE_S:
            self._ahead_since = min(self._ahead_since, asked)
        else:
            log(
                f"agreement: the list is at {ahead}, and here at {self._process.list_version}: asked for anew"
            )
            self._ahead_since = math.inf
            self._process.ask_for_list()

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
        except (
            Exception
        ) as error:  # said, it halts the edition; unsaid, every sidecar would act on safe rules
            return f"a fault in this program, report it: {error!r}"
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
