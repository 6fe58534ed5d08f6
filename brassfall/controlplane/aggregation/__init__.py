"""The regional tier between sidecars and the service: merged reports, chained leases, fan-out. Pure code.

At an aggregator, `aggregator` is the state machine: `child_reports` answers children, `upstream_messages`
takes in what the service sends, `state_release` passes it on, `report_builder` reports; `state` is what they
share. At the service, `directory` knows whose child a sidecar is, and `child_orders` what aggregators are to
do about one. `messages` is the wire between the two.
"""
