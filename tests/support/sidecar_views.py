"""What a sidecar's parts hold, as tests ask for it."""

from __future__ import annotations


def pool_servers(sidecar):
    """The servers that the pool knows, by name."""
    return sidecar.pool.servers


def balancer_servers(sidecar):
    """The servers that the balancer knows, by name."""
    return sidecar.driver.balancer.components.endpoints.servers


def balancer_active_servers(sidecar):
    """The names of the servers that the balancer may choose from."""
    return [server.name for server in sidecar.driver.balancer.components.endpoints.ring]


def carry_out(sidecar, balancer, *actions):
    """Have the driver carry out actions, which a scripted balancer decides on at the message of a peer."""
    balancer.scripts["peer_message"] = lambda now, peer, data: actions
    sidecar.driver.peer_message(0, b"")


def list_age_s(sidecar):
    """The bound on the age of the list that the admin endpoint shows, in seconds; None if it is unknown."""
    shown = dict(part.split("=") for part in sidecar.discovery.state.split())["age_ms"]
    return None if shown == "unknown" else float(shown) / 1000.0
