"""Aggregators: a regional tier between the sidecars and the control-plane service, without any I/O.

An aggregator reports to the service for its children, which are the sidecar processes that report to it. It
merges their reports, grants them leases within its own lease, and passes new revisions on to them.

At an aggregator, `aggregator` has the state machine. Its parts are `child_reports` (answers children),
`upstream_messages` (applies the service's messages), `state_release` (passes new revisions on to children)
and `report_builder` (builds the reports to the service); all parts share the object in `state`. At the
service, `directory` maps each sidecar to its aggregator, and `child_orders` keeps the orders about single
children. `messages` defines the messages between an aggregator and the service.
"""
