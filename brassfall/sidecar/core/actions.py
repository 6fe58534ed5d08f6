"""The dispatcher that passes each action of the balancer to the component that carries it out."""

from __future__ import annotations

from dataclasses import dataclass

from brassfall.balancer import model
from brassfall.sidecar import log
from brassfall.sidecar.core.balancer_timers import BalancerTimers
from brassfall.sidecar.core.health_checks import HealthChecks
from brassfall.sidecar.core.interfaces import DiscoveryClient, Gossip, Upstreams
from brassfall.sidecar.core.request_lifecycle import RequestLifecycle


@dataclass(frozen=True, slots=True, kw_only=True)
class ActionDispatcher:
    """Carries out the balancer's actions by calling the components of the sidecar, without delay."""

    requests: RequestLifecycle
    timers: BalancerTimers
    health_checks: HealthChecks
    upstreams: Upstreams
    registry: DiscoveryClient
    gossip: Gossip

    def perform(self, action: model.Action, revision_header: bytes) -> None:
        """Carry out one action of the balancer.

        `revision_header` is the header line of the configuration revision that the decision was based on.
        """
        match action:
            case model.SendAttempt():
                self._send(action, revision_header)
            case model.StartTimer(request=number):
                self.timers.arm(action, is_tracked=number in self.requests.table.by_number)
            case model.RefuseRequest(number, retry_after):
                self.requests.refuse(number, retry_after)
            case model.FailRequest(number):
                self.requests.fail_by_number(number)
            case model.CancelAttempt(number, attempt):
                self.requests.cancel_attempt(number, attempt)
            case model.CloseIdleConnections(server):
                self.upstreams.close_idle(server)
            case model.CheckServerHealth(server):
                self.health_checks.start(server)
            case _:
                self._perform_external(action)

    def _perform_external(self, action: model.Action) -> None:
        """Carry out an action that concerns discovery, other sidecars or the log."""
        match action:
            case model.WatchEndpointList(on):
                self.registry.watch(on=on)
            case model.FetchEndpointList():
                self.registry.fetch()
            case model.SendPeerMessage(peer, data):
                self.gossip.send(peer, data)
            case model.WriteLog(text):
                log.info("balancer", text=text)

    def _send(self, send: model.SendAttempt, revision_header: bytes) -> None:
        request = self.requests.table.by_number.get(send.request)
        if request is None:
            log.error(
                "balancer asked for an attempt of an unknown request, not sent",
                request=send.request,
                action="report it as a defect",
            )
        else:
            self.requests.attempts.start(request, send, revision_header)
