"""Access to the balancer's internal records, for tests of leaked counts and of faults attributed to servers.

The actions of the balancer do not show these records: a leaked count, or a fault attributed to the wrong
server, changes the actions only much later or never.
"""

from __future__ import annotations


def leaked_counts(balancer):
    """Return the counts that have to be 0 if there is no open request, by name."""
    endpoints = balancer.components.endpoints
    servers = endpoints.servers.values()
    return {
        "balancer's requests": len(balancer.open_requests),
        "balancer's attempts in flight": endpoints.in_flight,
        "balancer's key queues": len(balancer.key_queues),
        "servers' attempts in flight": sum(abs(server.in_flight) for server in servers),
        "servers' outstanding attempts": sum(len(server.outstanding) for server in servers),
        # A count of idle connections below 0 means that more were counted as reused than as idle.
        "servers' idle connections missing": sum(-min(0, server.idle_connections) for server in servers),
    }


def fault_records(balancer):
    """Return the records of faults of all servers and of the throttle, to compare them before and after."""
    servers = balancer.components.endpoints.servers.values()
    server_records = [
        (server.fault_share, server.consecutive_failures, server.ejected_until) for server in servers
    ]
    ejector = balancer.components.ejector
    return [
        *server_records,
        ejector.connect_failure_share,
        ejector.unaccepted_share,
        balancer.components.throttle.refusal_probability(0.0),
    ]


def nonzero_faults(balancer, server):
    """Return the fault records of one server and of new connections that are not 0."""
    record = balancer.components.endpoints.servers[server]
    faults = (
        record.fault_share,
        record.consecutive_failures,
        balancer.components.ejector.connect_failure_share,
    )
    return [fault for fault in faults if fault != 0]


def ejection_record(balancer, server):
    """Return the fault share of a server, its consecutive failures and the end of its ejection."""
    record = balancer.components.endpoints.servers[server]
    return (record.fault_share, record.consecutive_failures, record.ejected_until)


def fault_shares(balancer):
    """Return the fault share of each server with faults."""
    servers = balancer.components.endpoints.servers.values()
    return [server.fault_share for server in servers if server.fault_share]


def shed_probability(balancer, now):
    """Return the shed probability at the time `now`."""
    return balancer.components.shedder.probability(now)
