"""This process as a member of the fleet: it checks configuration revisions and acts on them."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from typing import Any, Protocol

from brassfall.balancer.model import SteeringDirectives
from brassfall.sidecar import config, log, reload
from brassfall.sidecar.agent import rules
from brassfall.sidecar.agent.agent import Agent
from brassfall.sidecar.agent.delays import DelaySketches
from brassfall.sidecar.agent.lease_client import ActiveConfiguration, Revision
from brassfall.sidecar.agent.lists import EndpointList
from brassfall.sidecar.agent.steering import NEUTRAL, Inputs, Steering
from brassfall.sidecar.config import Config, ConfigError

# Time for which this sidecar's endpoint list may be older than the list service's before the watch on it is
# reopened, in seconds. A working watch delivers changes much sooner.
LIST_LATE_S = 2.0


class Process(Protocol):
    """Interface of the sidecar's process to the parts of it that revisions change."""

    @property
    def classes_in_use(self) -> Collection[int]:
        """The slots of the request classes that requests in flight or clients still use."""

    @property
    def configuration(self) -> Config:
        """The configuration in use."""

    def apply_configuration(self, configuration: Config) -> None:
        """Replace the configuration in use; raise `ConfigError` if the new one can't replace it."""

    def steer(self, steer: SteeringDirectives) -> None:
        """Select servers by another `SteeringDirectives` from now on."""

    def endpoint_list(self) -> EndpointList:
        """Return the current endpoint list."""

    @property
    def list_version(self) -> int:
        """The version of the current endpoint list."""

    def reopen_list_watch(self) -> None:
        """Reopen the watch on the endpoint list, because the list has fallen behind."""


class FleetMember:
    """This process as a member of the fleet.

    A member acts on the configuration revisions that its process has a lease on, and reports the delays that
    the process measures.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, process: Process, environment: Mapping[str, str]
    ) -> None:
        self._process = process
        self._now = loop.time
        self._environment = {**environment, "NODE_DISCOVERY": ""}
        self._file = process.configuration
        # The settings of a revision that are in use in place of settings of the file.
        self._overlay: Mapping[str, Any] = {}
        self._steer = NEUTRAL  # The directives in use
        # The configuration and the inputs that were applied last; None if they have to be applied again.
        self._applied_inputs: tuple[ActiveConfiguration, Inputs] | None = None
        # Time until which the same inputs give the same result, in seconds of the loop.
        self._applied_until = -math.inf
        # Time since which the list service has a newer list than this sidecar; inf if it has none.
        self._list_behind_since = math.inf
        file = self._file
        assert file.agreement is not None
        self.agent = Agent(
            loop,
            file.name,
            file.agreement,
            file.registry,
            self._objection_to,
            self._apply_configuration,
            file.seed,
        )
        self.steering = Steering(file.agreement, lambda: process.configuration.names, process.endpoint_list)
        self.delays = DelaySketches(file.agreement.group)
        self.agent.report_extensions.append(self.steering.report_fields)
        if file.agreement.group:
            self.agent.report_extensions.append(self._delay_report)
        self.agent.answer_listeners += [self.steering.receive_answer, self._receive_answer]

    def stamp_function(self, loop: asyncio.AbstractEventLoop) -> Callable[[], bytes]:
        """Return a function without arguments that returns `Agent.current_stamp` for the time of its call."""
        agent, clock = self.agent, loop.time

        def stamp() -> bytes:
            # The code of `Agent.current_stamp` is repeated to save a function call: this function is called
            # about five times per request.
            now = clock()
            if now >= agent.valid_until:
                agent.refresh(now)
            return agent.stamp

        return stamp

    # --- the configuration file of this process -------------------------------------------

    def apply_overlay(self, file: Config) -> Config:
        """Return the configuration of a file with the overlay in use.

        Raise `ConfigError` if the overlay can't be applied to the file.
        """
        return self._with_overlay(file, self._overlay)

    def use_file(self, file: Config) -> None:
        """Apply revisions to another file of this process from now on.

        The request classes may have other slots in this file, so the `SteeringDirectives` is computed again.
        """
        self._file = file
        self._applied_inputs = None
        self.agent.refresh(self._now())

    def endpoints_changed(self, now: float) -> None:
        """Apply the active configuration to a changed endpoint list: other servers may be excluded."""
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

    def _receive_answer(self, sent_at: float, received_at: float, answer: Mapping[str, Any]) -> None:
        """Reopen the watch on the endpoint list if the list has been too old for `LIST_LATE_S`.

        The answer to a report states the version of the list service's list.
        """
        service_version = answer.get("list_index")
        version = self._process.list_version
        if not isinstance(service_version, int) or service_version <= version:
            self._list_behind_since = math.inf
        elif received_at - min(self._list_behind_since, sent_at) < LIST_LATE_S:
            self._list_behind_since = min(self._list_behind_since, sent_at)
        else:
            log.warning(
                "discovery: endpoint list is behind the service's",
                version=version,
                service_version=service_version,
                action="the list is requested again; if this repeats, check the network to the list service",
            )
            self._list_behind_since = math.inf
            self._process.reopen_list_watch()

    # --- revisions --------------------------------------------------------------------------

    def _objection_to(self, revision: Revision) -> str:
        """Return the reason why this sidecar can't act on a revision, or an empty text if it can."""
        objection = rules.unsupported_reason(revision) or self.steering.objection(revision)
        if objection:
            return objection
        try:
            overlay = rules.overlay_of(revision.settings)
            configuration = self._with_overlay(self._file, overlay)
            reload.plan_reload(self._process.configuration, configuration, self._process.classes_in_use)
        except ConfigError as error:
            return str(error)
        except Exception as error:  # noqa: BLE001 - any fault must be reported as an objection
            # An objection halts the revision. Without one, the same exception would make every sidecar act on
            # the fallback configuration.
            return f"a defect in this program, report it: {error!r}"
        return ""

    def _apply_configuration(self, active: ActiveConfiguration, now: float) -> float:
        """Apply the active configuration; return the time until which it stays valid without a new revision.

        Times are in seconds of the loop.
        """
        inputs = (active, self.steering.inputs(active.revision, now))
        if inputs == self._applied_inputs and now < self._applied_until:
            return self._applied_until  # Nothing has changed, as is the case after most reports.
        self._applied_inputs = None  # If anything below fails, the next call applies the configuration again.
        applied = self._use_overlay(rules.overlay_of(rules.effective_settings(active)))
        effective_rules = self.steering.effective_rules(active, now)
        self.agent.overrides = [name for name, _ in effective_rules.acted]
        steer = self.steering.steer(active, effective_rules, now)
        if steer != self._steer:
            self._steer = steer
            self.agent.renew_stamp()
            self._process.steer(steer)
        self._applied_inputs = inputs if applied else None
        self._applied_until = self.steering.next_end(now)
        return self._applied_until

    def _use_overlay(self, overlay: Mapping[str, Any]) -> bool:
        """Use this process's own file with an overlay; return False if the overlay can't be applied to it."""
        if overlay == self._overlay:
            return True
        try:
            self._process.apply_configuration(self._with_overlay(self._file, overlay))
        except ConfigError as error:
            log.warning(
                "configuration: a revision does not fit this sidecar's file",
                reason=error,
                action="the previous settings stay in use; fix the file and send SIGHUP, or publish settings "
                "that fit the file",
            )
            return False
        self._overlay = overlay
        return True
