"""One sidecar: the wiring of its components, and its startup, reload and shutdown."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from brassfall.balancer.model import ListForm, SteeringDirectives
from brassfall.sidecar import config, log, reload
from brassfall.sidecar.clients.inbound import Inbound
from brassfall.sidecar.clients.listener import retry_until_descriptor_free
from brassfall.sidecar.config import Config, ConfigError
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.driver import DecisionMaker, Driver
from brassfall.sidecar.core.process_state import ProcessLifecycle, ProcessState
from brassfall.sidecar.discovery.discovery import Discovery
from brassfall.sidecar.discovery.endpoint_list import ServerList
from brassfall.sidecar.lifecycle import shutdown
from brassfall.sidecar.lifecycle.admin import AdminEndpoint
from brassfall.sidecar.lifecycle.handover import Handover
from brassfall.sidecar.peers import Peers
from brassfall.sidecar.servers.pool import ConnectionPool

if TYPE_CHECKING:
    from brassfall.sidecar.agent.member import FleetMember
    from brassfall.sidecar.discovery.endpoint_index import EndpointList

# Seconds between two checks for another process of this sidecar; starting a process takes longer than this.
HANDOVER_POLL_S = 0.25
# Seconds that a process which replaces another one waits for its first endpoint list. It has to be ready
# within 6 s, and the balancer polls discovery within 2.5 s.
FIRST_LIST_TIMEOUT_S = 4.0
# Seconds that a process which is the only one of its sidecar waits for its first call to discovery to end.
FIRST_CALL_TIMEOUT_S = 1.0


class Sidecar:
    """One sidecar, which runs in this process on one event loop."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, configuration: Config, *, balancer: DecisionMaker | None = None
    ) -> None:
        """Create and wire the components; they open no sockets before `start`."""
        self._loop = loop
        self._current_config = configuration
        self._clock = Clock(loop)
        self.lifecycle = ProcessLifecycle()
        # True while another process of this sidecar runs, which uses half of the descriptors.
        self._shares_descriptors = False
        # Returns the memory of this process, in bytes; 0 if it is not this sidecar's alone.
        self.process_size: Callable[[], int] = lambda: 0
        self._reload_due = False  # True if a reload was requested during startup, which has deferred it
        self._handover_timer: asyncio.TimerHandle | None = None
        inherits_socket = configuration.inherited_descriptor is not None
        self.handover = Handover(os.environ.get("TMPDIR"), configuration.name) if inherits_socket else None
        self.admin = AdminEndpoint(loop, self.lifecycle)
        self.driver = Driver(loop, self._clock, configuration, balancer)
        self.admin.add_command("REFUSALS", lambda: self.driver.refusals)
        self.pool = ConnectionPool(loop, self._clock, configuration)
        self.discovery = Discovery(loop, configuration, self)
        if configuration.registry:
            self.admin.add_command("LIST", lambda: self.discovery.state)
        self.inbound = Inbound(loop, self._clock, configuration, self.driver, self.lifecycle)
        self.pool.budget = self.inbound.budget
        self.admin.add_command("MEMORY", lambda: self.inbound.memory_state)
        self.peers = Peers(configuration, self.driver.peer_message)
        self.member = self._create_member() if configuration.agreement is not None else None

    def _create_member(self) -> FleetMember:
        """Create the fleet membership; only processes that are fleet members import the agent's code."""
        from brassfall.sidecar.agent.member import FleetMember

        member = FleetMember(self._loop, self, os.environ)
        member.agent.report_extensions.append(self.discovery.report_fields)
        if self._current_config.agreement is not None and self._current_config.agreement.group:
            self.pool.delays = member.delays
        self.driver.revision_header = self.pool.revision_header = member.stamp_function(self._loop)
        self.admin.add_command("RULES", lambda: member.agent.state, json=True)
        return member

    # --- called by discovery (discovery.interfaces.ListListener) -------------------

    def endpoints_listed(self, form: ListForm, update: ServerList) -> None:
        """Apply an endpoint list, which is complete or has only the entries that changed."""
        self.driver.endpoints_listed(form, update)
        if self.member is not None:
            self.member.endpoints_changed(self._loop.time())

    def discovery_failed(self) -> None:
        """Handle that a call to discovery failed or was rejected, or that the watch on it ended."""
        self.driver.discovery_failed()
        if self.member is not None:
            self.member.endpoints_changed(self._loop.time())

    # --- called by the fleet membership (agent.member.Process) --------------------

    def steer(self, steer: SteeringDirectives) -> None:
        """Apply a new steering plan to the selection of servers."""
        self.driver.steer(steer)

    def endpoint_list(self) -> EndpointList:
        """Return the current endpoint list; every process that is a member of a fleet has one."""
        current_list = self.discovery.endpoints()
        assert current_list is not None
        return current_list

    @property
    def list_version(self) -> int:
        """The version of the current endpoint list."""
        return self.discovery.version

    def reopen_list_watch(self) -> None:
        """Open the watch on the endpoint list again, because its changes have fallen behind."""
        self.discovery.reopen_watch()

    @property
    def configuration(self) -> Config:
        """The configuration in use."""
        return self._current_config

    @property
    def classes_in_use(self) -> set[int]:
        """The profile slots of request classes that requests in flight or clients may still use."""
        return self.driver.request_classes | self.inbound.request_classes

    def apply_configuration(self, configuration: Config) -> None:
        """Apply another configuration; raise `ConfigError` if it can't replace the current one."""
        plan = reload.plan_reload(self._current_config, configuration, self.classes_in_use)
        for name in plan.pending_restart:
            log.warning(
                "reload: a changed setting needs a restart, the old value stays in use",
                key=name,
                action="restart the process to apply the new value",
            )
        longest_deadline_ms, self._current_config = self._longest_deadline_ms(), plan.config
        self.driver.reload(self._current_config, plan.same_classes)
        self.pool.reload(self._current_config)
        self.inbound.reload(self._current_config.names, longest_deadline_ms)
        self.discovery.change_address(self._current_config.discovery, self._current_config.registry)

    # --- startup, reload and shutdown -----------------------------------------------

    async def start(self) -> Address:
        """Start to serve clients; return the address that clients connect to.

        The endpoint list of the configuration is in use before the first request. Raise `OSError` if the
        sidecar can't listen on an address. If this method is cancelled, the caller has to call `close`.
        """
        await retry_until_descriptor_free(self._listen_to_operators)
        await retry_until_descriptor_free(lambda: self.peers.listen(self._loop))
        self.driver.connect(self.pool, self.discovery, self.peers)
        self.discovery.start()
        if self.member is not None:
            self.member.agent.start()
        if self._update_descriptor_share():
            log.info("another process of this sidecar is running, waiting for the endpoint list")
            # The other process detects this one at its next check, and reduces its limits at that time.
            await asyncio.gather(
                self.discovery.wait_for_first_list(FIRST_LIST_TIMEOUT_S), asyncio.sleep(HANDOVER_POLL_S)
            )
        else:
            await self.discovery.wait_for_first_call(FIRST_CALL_TIMEOUT_S)
        self.inbound.set_process_size(self.process_size())
        address = await retry_until_descriptor_free(self._listen_to_clients)
        self.lifecycle.serve()
        if self._reload_due:
            self.reload(os.environ)
        return address

    async def _listen_to_operators(self) -> None:
        if self._current_config.operator is not None:
            self.admin.listen(self._current_config.operator)

    async def _listen_to_clients(self) -> Address:
        return self.inbound.listen(self._current_config.listen, self._current_config.inherited_descriptor)

    def _update_descriptor_share(self) -> bool:
        """Limit this process to half of the descriptors while another process of this sidecar runs.

        Return whether another process runs. The check is repeated every `HANDOVER_POLL_S`.
        """
        if self.handover is None:
            return False
        other_runs = self.handover.other_process_runs()
        if other_runs != self._shares_descriptors:
            self._shares_descriptors = other_runs
            share = 0.5 if other_runs else 1.0
            self.pool.set_descriptor_share(share)
            self.inbound.set_machine_share(share)
            if other_runs:
                self.inbound.recent_calls.share(self.handover.calls_path)
            else:
                self.inbound.recent_calls.stop_sharing()
        self._handover_timer = self._loop.call_later(HANDOVER_POLL_S, self._update_descriptor_share)
        return other_runs

    def reload(self, environment: Mapping[str, str]) -> None:
        """Read the configuration file again and apply it, completely or not at all.

        The address of discovery is read only from the file, because the environment is still the one of the
        process's start. During startup, the reload is deferred until startup has ended.
        """
        if self.lifecycle.state is ProcessState.STARTING:
            self._reload_due = True
            return
        try:
            file_config = config.load({**environment, "NODE_DISCOVERY": ""})
            self.apply_configuration(
                file_config if self.member is None else self.member.apply_overlay(file_config)
            )
        except ConfigError as error:
            log.warning(
                "reload: configuration rejected, nothing is changed",
                reason=error,
                action="fix the file and send SIGHUP again",
            )
            return
        if self.member is not None:
            self.member.use_file(file_config)
        log.info("reload: new configuration in use", classes=", ".join(self._current_config.names.classes))

    def _longest_deadline_ms(self) -> float:
        """Return the longest deadline of the current request classes, in milliseconds.

        Classes that a reload has removed don't count, since the time until SIGKILL does not depend on them.
        """
        slots = {request_class.slot for request_class in self._current_config.names.classes.values()}
        return max(self._current_config.settings.profiles[slot].deadline for slot in slots)

    async def drain(self) -> None:
        """Shut down gracefully: answer the requests of all clients and close the clients' connections.

        If this method is cancelled, connections stay open until `close` is called.
        """
        self.lifecycle.stop()
        log.info("graceful shutdown: finishing the requests in flight", requests=self.driver.in_flight)
        await shutdown.drain(
            self._clock,
            self.inbound,
            self.driver,
            longest_deadline_ms=self._longest_deadline_ms(),
            inherited=self._current_config.inherited_descriptor is not None,
        )

    def close(self) -> None:
        """Close all sockets, even if requests are in flight, and release the locks."""
        log.info("exiting", requests_in_flight=self.driver.in_flight)
        self.admin.close()
        self.inbound.close()
        self.pool.close()
        self.discovery.close()
        if self.member is not None:
            self.member.agent.close()
        self.peers.close()
        if self._handover_timer is not None:
            self._handover_timer.cancel()
        if self.handover is not None:
            self.handover.release()
