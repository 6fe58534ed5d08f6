"""The balancer's own records, for tests of what is left in it at the end and of which servers it blames.

Its decisions show neither: a leaked count, or a fault of the wrong server, changes them only much later, if
at all. This module is the one place that reads these records.
"""

from __future__ import annotations


def leaked_counts(balancer):
    """Return the counts that should be 0 when no request is under way, by name."""
    endpoints = balancer.components.endpoints
    servers = endpoints.servers.values()
    return {
        "balancer's requests": len(balancer.open_requests),
        "balancer's attempts in flight": endpoints.in_flight,
        "balancer's key queues": len(balancer.key_queues),
        "servers' attempts in flight": sum(abs(server.in_flight) for server in servers),
        "servers' outstanding attempts": sum(len(server.outstanding) for server in servers),
        # Below 0: more connections were counted as used than had become idle.
        "servers' idle connections missing": sum(-min(0, server.idle_connections) for server in servers),
    }


def fault_records(balancer):
    """Return the faults of all servers and what counts towards refusals; equal if nothing changed."""
    servers = balancer.components.endpoints.servers.values()
    of_servers = [(it.fault_share, it.consecutive_failures, it.ejected_until) for it in servers]
    ejector = balancer.components.ejector
    return [
        *of_servers,
        ejector.connect_failure_share,
        ejector.unaccepted_share,
        balancer.components.throttle.refusal_probability(0.0),
    ]


def nonzero_faults(balancer, server):
    """Return the faults of one server and those of new connections that are not 0."""
    record = balancer.components.endpoints.servers[server]
    faults = (record.fault_share, record.consecutive_failures, balancer.components.ejector.connect_failure_share)
    return [fault for fault in faults if fault != 0]


def ejection_record(balancer, server):
    """Return a server's share of faults, its consecutive failures and the end of its ejection."""
    record = balancer.components.endpoints.servers[server]
    return (record.fault_share, record.consecutive_failures, record.ejected_until)


def fault_shares(balancer):
    """Return the share of faults of each server that has one."""
    servers = balancer.components.endpoints.servers.values()
    return [server.fault_share for server in servers if server.fault_share]


def shed_probability(balancer, now):
    """Return the probability with which requests are refused for overload."""
    return balancer.components.shedder.probability(now)
