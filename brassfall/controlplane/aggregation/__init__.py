"""The regional tier between sidecars and the service: merged reports, chained leases, fan-out. Pure code.

At an aggregator, `aggregator` is the state machine: `child_reports` answers children, `upstream_messages`
applies the service's messages, `state_release` passes them on, `report_builder` builds reports; they share
`state`. At the service, `directory` knows the aggregator of each sidecar, and `child_orders` has the orders
about single children. `messages` is the wire between the two.
"""
