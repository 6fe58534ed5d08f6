"""This process as a member of the fleet: it checks configuration revisions and acts on them."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from typing import Any, Protocol

from brassfall.balancer.model import Steer
from brassfall.sidecar import config, log, reload
from brassfall.sidecar.agent import rules
from brassfall.sidecar.agent.agent import Agent
from brassfall.sidecar.agent.delays import DelaySketches
from brassfall.sidecar.agent.lease_client import ActiveConfiguration, Revision
from brassfall.sidecar.agent.lists import EndpointList
from brassfall.sidecar.agent.steering import NEUTRAL, Inputs, Steering
from brassfall.sidecar.config import Config, ConfigError

LIST_LATE_S = 2.0  # for which the service's list may be ahead; a watch that works brings changes far sooner


class Process(Protocol):
    """The sidecar's process, as far as revisions change it."""

    @property
    def classes_in_use(self) -> Collection[int]:
        """The slots of classes that requests or clients still use."""

    @property
    def running(self) -> Config:
        """The configuration in use."""

    def use_configuration(self, found: Config) -> None:
        """Use another configuration from now on; raise `ConfigError` if it can't replace the one in use."""

    def steer(self, steer: Steer) -> None:
        """Use another `Steer` from now on."""

    def endpoint_list(self) -> EndpointList:
        """Return the endpoint list."""

    @property
    def list_version(self) -> int:
        """The version of the endpoint list."""

    def reopen_list_watch(self) -> None:
        """Open the watch on the endpoint list anew: it has fallen behind."""


class FleetMember:
    """Acts on the revisions that this process has a lease on, and reports the delays that it measures."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, process: Process, environment: Mapping[str, str]
    ) -> None:
        self._process = process
        self._now = loop.time
        self._environment = {**environment, "NODE_DISCOVERY": ""}
        self._file = process.running
        self._overlay: Mapping[str, Any] = {}  # the settings of a revision in use over the file
        self._steer = NEUTRAL
        self._decided_for: tuple[ActiveConfiguration, Inputs] | None = None  # what was acted on last
        self._decided_until = -math.inf
        self._ahead_since = math.inf  # since when the service's list is ahead of this one
        file = self._file
        assert file.agreement is not None
        self.agent = Agent(
            loop, file.name, file.agreement, file.registry, self._objection, self._act, file.seed
        )
        self.steering = Steering(file.agreement, lambda: process.running.names, process.endpoint_list)
        self.delays = DelaySketches(file.agreement.group)
        self.agent.report_extensions.append(self.steering.report_fields)
        if file.agreement.group:
            self.agent.report_extensions.append(self._delay_report)
        self.agent.answer_listeners += [self.steering.receive_answer, self._receive_answer]

    def stamp_function(self, loop: asyncio.AbstractEventLoop) -> Callable[[], bytes]:
        """Return a function that returns the stamp of a decision or a send at the time of its call."""
        agent, clock = self.agent, loop.time

        def stamp() -> bytes:
            # As `Agent.current_stamp`, with one call less: this runs some five times per request.
            now = clock()
            if now >= agent.valid_until:
                agent.refresh(now)
            return agent.stamp

        return stamp

    # --- this process's own file ----------------------------------------------------------

    def apply_overlay(self, file: Config) -> Config:
        """Return a file's configuration with the overlay in use; raise `ConfigError` if it doesn't fit."""
        return self._with_overlay(file, self._overlay)

    def use_file(self, file: Config) -> None:
        """Apply revisions to this file from now on.

        Classes may have other numbers by it, so the `Steer` is made anew.
        """
        self._file = file
        self._decided_for = None
        self.agent.refresh(self._now())

    def endpoints_changed(self, now: float) -> None:
        """Act on a change of the endpoint list: other servers may be excluded."""
        self.agent.refresh(now)

    def _with_overlay(self, file: Config, overlay: Mapping[str, Any]) -> Config:
        if file.agreement is None or not overlay:
            return file
        raw = dict(file.agreement.raw)
        try:
            raw["settings"] = rules.with_overlay(raw["settings"], overlay)
            return replace(config.parse(raw, self._environment), agreement=file.agreement)
        except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
            message = f"{error}"
            raise ConfigError(message) from error

    # --- reports ----------------------------------------------------------------------------

    def _delay_report(self) -> dict[str, Any]:
        rows = self.delays.take_rows(self._now())
        return {"measures": {"delays": rows}} if rows else {}

    def _receive_answer(self, asked: float, received: float, answer: Mapping[str, Any]) -> None:
        """Request the list anew if the service's is ahead for longer than a change takes to arrive."""
        service_version = answer.get("list_index")
        version = self._process.list_version
        if not isinstance(service_version, int) or service_version <= version:
            self._ahead_since = math.inf
        elif received - min(self._ahead_since, asked) < LIST_LATE_S:
            self._ahead_since = min(self._ahead_since, asked)
        else:
            log.warning(
                "discovery: endpoint list is behind the service's",
                version=version,
                service_version=service_version,
                action="it is requested anew; if this repeats, look at the network to the list service",
            )
            self._ahead_since = math.inf
            self._process.reopen_list_watch()

    # --- revisions --------------------------------------------------------------------------

    def _objection(self, revision: Revision) -> str:
        """Return why this program can't act on a revision, empty where it can."""
        objection = rules.unsupported_reason(revision) or self.steering.objection(revision)
        if objection:
            return objection
        try:
            overlay = rules.overlay_of(revision.settings)
            found = self._with_overlay(self._file, overlay)
            reload.successor(self._process.running, found, self._process.classes_in_use)
        except ConfigError as error:
            return str(error)
        except Exception as error:  # noqa: BLE001 - any fault must be reported as an objection
            # Reported, it halts the revision; unreported, every sidecar would act on the fallback.
            return f"a defect in this program, report it: {error!r}"
        return ""

    def _act(self, active: ActiveConfiguration, now: float) -> float:
        """Act on the active configuration; return until when it stays the same if no revision comes."""
        inputs = (active, self.steering.inputs(active.revision, now))
        if inputs == self._decided_for and now < self._decided_until:
            return self._decided_until  # nothing has changed, as after most reports
        self._decided_for = None  # if anything below fails, it is tried again
        applied = self._apply(rules.overlay_of(rules.effective_settings(active)))
        found = self.steering.effective_rules(active, now)
        self.agent.overrides = [name for name, _ in found.acted]
        steer = self.steering.steer(active, found, now)
        if steer != self._steer:
            self._steer = steer
            self.agent.renew_stamp()
            self._process.steer(steer)
        self._decided_for = inputs if applied else None
        self._decided_until = self.steering.next_end(now)
        return self._decided_until

    def _apply(self, overlay: Mapping[str, Any]) -> bool:
        """Use this process's own file with an overlay; return False if the two don't fit."""
        if overlay == self._overlay:
            return True
        try:
            self._process.use_configuration(self._with_overlay(self._file, overlay))
        except ConfigError as error:
            log.warning(
                "configuration: a revision does not fit this sidecar's file",
                reason=error,
                action="the settings before stay; fix the file and send SIGHUP, or publish settings that fit",
            )
            return False
        self._overlay = overlay
        return True
