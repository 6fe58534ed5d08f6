"""The aggregator process: it mirrors the endpoint list, leases revisions to sidecars, and forwards writes."""
