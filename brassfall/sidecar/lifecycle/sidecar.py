"""One sidecar: its parts, wired together, and its startup, reload and shutdown."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Mapping
from typing import TYPE_CHECKING

from brassfall.balancer.model import ListForm, Steer
from brassfall.sidecar import config, log, reload
from brassfall.sidecar.clients.inbound import Inbound
from brassfall.sidecar.clients.listener import retry_while_exhausted
from brassfall.sidecar.config import Config, ConfigError
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.driver import DecisionMaker, Driver
from brassfall.sidecar.core.process_state import Lifecycle, State
from brassfall.sidecar.discovery.discovery import Discovery
from brassfall.sidecar.discovery.endpoint_list import ServerList
from brassfall.sidecar.lifecycle import shutdown
from brassfall.sidecar.lifecycle.admin import AdminEndpoint
from brassfall.sidecar.lifecycle.handover import Handover
from brassfall.sidecar.peers import Peers
from brassfall.sidecar.servers.pool import Pool

if TYPE_CHECKING:
    from brassfall.sidecar.agent.member import FleetMember
    from brassfall.sidecar.discovery.endpoint_index import EndpointList

HANDOVER_POLL_S = 0.25  # between checks for another process of this sidecar; a start takes longer
# For the first list of a process that replaces another one and has to be ready within 6 s; the balancer polls
# discovery within 2.5 s.
FIRST_LIST_S = 4.0
FIRST_CALL_S = 1.0  # for the first call of a process that is alone, where discovery does not answer


class Sidecar:
    """One sidecar in this process, on one event loop."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, configuration: Config, *, balancer: DecisionMaker | None = None
    ) -> None:
        """Wire the parts, without listening or calling before `start`."""
        self._loop = loop
        self._running = configuration
        self._clock = Clock(loop)
        self.lifecycle = Lifecycle()
        self._shares_machine = False  # with another process of this sidecar
        self._reload_due = False  # SIGHUP came during startup
        self._handover_timer: asyncio.TimerHandle | None = None
        inherits = configuration.inherited is not None
        self.handover = Handover(os.environ.get("TMPDIR"), configuration.name) if inherits else None
        self.admin = AdminEndpoint(loop, self.lifecycle)
        self.driver = Driver(loop, self._clock, configuration, balancer)
        self.admin.add_command("REFUSALS", lambda: self.driver.refusals)
        self.pool = Pool(loop, self._clock, configuration)
        self.discovery = Discovery(loop, configuration, self)
        if configuration.registry:
            self.admin.add_command("LIST", lambda: self.discovery.state)
        self.inbound = Inbound(loop, self._clock, configuration, self.driver, self.lifecycle)
        self.peers = Peers(configuration, self.driver.peer_message)
        self.member = self._member() if configuration.agreement is not None else None

    def _member(self) -> FleetMember:
        """Return the membership in a fleet; only a process that has one loads the agent's code."""
        from brassfall.sidecar.agent.member import FleetMember

        member = FleetMember(self._loop, self, os.environ)
        member.agent.report_extensions.append(self.discovery.report_fields)
        if self._running.agreement is not None and self._running.agreement.group:
            self.pool.delays = member.delays
        self.driver.revision_stamp = self.pool.stamp = member.stamp_function(self._loop)
        self.admin.add_command("RULES", lambda: member.agent.state, json=True)
        return member

    # --- what discovery notifies of (discovery.interfaces.ListListener) ------------

    def endpoints_listed(self, form: ListForm, update: ServerList) -> None:
        """Take in an endpoint list, or the changes of one."""
        self.driver.endpoints_listed(form, update)
        if self.member is not None:
            self.member.endpoints_changed(self._loop.time())

    def discovery_failed(self) -> None:
        """Take note that a poll failed or was rejected, or that its watch has ended."""
        self.driver.discovery_failed()
        if self.member is not None:
            self.member.endpoints_changed(self._loop.time())

    # --- called by the membership (agent.member.Process) --------------------------

    def steer(self, steer: Steer) -> None:
        """Select servers by this steering plan from now on."""
        self.driver.steer(steer)

    def endpoint_list(self) -> EndpointList:
        """Return the endpoint list; there is one wherever this process is a member of a fleet."""
        endpoints = self.discovery.endpoints()
        assert endpoints is not None
        return endpoints

    @property
    def list_version(self) -> int:
        """The version of the endpoint list."""
        return self.discovery.version

    def reopen_list_watch(self) -> None:
        """Ask for the endpoint list anew: what tells of changes has fallen behind."""
        self.discovery.reopen_watch()

    @property
    def running(self) -> Config:
        """The configuration in use."""
        return self._running

    @property
    def classes_in_use(self) -> set[int]:
        """The slots of classes that requests in flight or clients may still name."""
        return self.driver.request_classes | self.inbound.request_classes

    def use_configuration(self, configuration: Config) -> None:
        """Use another configuration from now on; raises `ConfigError` if it can't replace the present one."""
        successor = reload.successor(self._running, configuration, self.classes_in_use)
        for name in successor.pending_restart:
            log.warning(
                "reload: a setting keeps its value", key=name, action="restart the process to change it"
            )
        longest_ms, self._running = self._longest_deadline_ms(), successor.config
        self.driver.reload(self._running, successor.same_classes)
        self.pool.reload(self._running)
        self.inbound.reload(self._running.names, longest_ms)
        self.discovery.change_address(self._running.discovery, self._running.registry)

    # --- startup, reload and shutdown -----------------------------------------------

    async def start(self) -> Address:
        """Start to serve clients; return the address that they connect to.

        The endpoint list of the configuration is in use before the first request. Raises `OSError` if an
        address can't be had. After cancelling, `close` is to be called.
        """
        await retry_while_exhausted(self._listen_to_operators)
        await retry_while_exhausted(lambda: self.peers.listen(self._loop))
        self.driver.connect(self.pool, self.discovery, self.peers)
        self.discovery.start()
        if self.member is not None:
            self.member.agent.start()
        if self._share_machine():
            log.info("another process of this sidecar is running, waiting for the endpoint list")
            # The other process detects this one at its next check, and reduces its limits then.
            await asyncio.gather(
                self.discovery.wait_for_first_list(FIRST_LIST_S), asyncio.sleep(HANDOVER_POLL_S)
            )
        else:
            await self.discovery.wait_for_first_call(FIRST_CALL_S)
        address = await retry_while_exhausted(self._listen_to_clients)
        self.lifecycle.serve()
        if self._reload_due:
            self.reload(os.environ)
        return address

    async def _listen_to_operators(self) -> None:
        if self._running.operator is not None:
            self.admin.listen(self._running.operator)

    async def _listen_to_clients(self) -> Address:
        return self.inbound.listen(self._running.listen, self._running.inherited)

    def _share_machine(self) -> bool:
        """Use half of the machine while another process of this sidecar runs; return whether one does."""
        if self.handover is None:
            return False
        shares = self.handover.other_process_runs()
        if shares != self._shares_machine:
            self._shares_machine = shares
            part = 0.5 if shares else 1.0
            self.pool.share(part)
            self.inbound.share(part)
        self._handover_timer = self._loop.call_later(HANDOVER_POLL_S, self._share_machine)
        return shares

    def reload(self, environment: Mapping[str, str]) -> None:
        """Read the configuration file again, and use it completely or not at all.

        The address of discovery comes from the file alone: the environment is still that of the start. During
        startup the reload is deferred until its end.
        """
        if self.lifecycle.state is State.STARTING:
            self._reload_due = True
            return
        try:
            file = config.load({**environment, "NODE_DISCOVERY": ""})
            self.use_configuration(file if self.member is None else self.member.apply_overlay(file))
        except ConfigError as error:
            log.warning(
                "reload: nothing is changed", reason=error, action="fix the file and send SIGHUP again"
            )
            return
        if self.member is not None:
            self.member.use_file(file)
        log.info("reload: done", classes=", ".join(self._running.names.classes))

    def _longest_deadline_ms(self) -> float:
        """Return the longest deadline of the present classes.

        Classes that a reload removed don't count: the time until SIGKILL does not depend on them.
        """
        slots = {found.slot for found in self._running.names.classes.values()}
        return max(self._running.settings.profiles[slot].deadline for slot in slots)

    async def drain(self) -> None:
        """Shut down gracefully: answer the requests of all clients, and close their connections.

        After cancelling, `close` closes what is still open.
        """
        self.lifecycle.stop()
        log.info("graceful shutdown: finishing the requests in flight", requests=self.driver.in_flight)
        await shutdown.drain(
            self._clock,
            self.inbound,
            self.driver,
            longest_deadline_ms=self._longest_deadline_ms(),
            inherited=self._running.inherited is not None,
        )

    def close(self) -> None:
        """Close all sockets, even with requests in flight, and release the locks."""
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
