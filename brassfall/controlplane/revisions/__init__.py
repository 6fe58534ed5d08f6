"""Configuration revisions that all sidecars act on together: prepare, commit, leases and reports. Pure code.

- `coordinator`: the state machine that decides about revisions; `messages` has its events and actions.
- `authority`: whether this service may grant leases at all.
- `membership` and `leases`: what the service knows of the nodes that report, and the leases they have.
- `state` and `transitions`: the durable state, and its changes as pure functions.
- `reports`: the parser of the reports that nodes send; `pace`: how often they send them.
- `document` and `validation`: what a revision may contain, and which settings would do harm.
"""
