"""Functions through which tests read the state of a sidecar's parts, and drive its driver."""

from __future__ import annotations


def pool_servers(sidecar):
    """Return the servers of the connection pool by name."""
    return sidecar.pool.servers


def balancer_servers(sidecar):
    """Return the servers of the balancer by name."""
    return sidecar.driver.balancer.components.endpoints.servers


def balancer_active_servers(sidecar):
    """Return the names of the servers that the balancer may select."""
    return [server.name for server in sidecar.driver.balancer.components.endpoints.ring]


def carry_out(sidecar, balancer, *actions):
    """Let the driver perform `actions`, which a scripted balancer returns for the message of a peer."""
    balancer.scripts["peer_message"] = lambda now, peer, data: actions
    sidecar.driver.peer_message(0, b"")


def list_age_s(sidecar):
    """Return the upper bound on the age of the list as the admin endpoint shows it; None if it is unknown.

    The result is in seconds.
    """
    fields = dict(part.split("=") for part in sidecar.discovery.state.split())["age_ms"]
    return None if fields == "unknown" else float(fields) / 1000.0
