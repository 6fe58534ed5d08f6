"""The process of an aggregator: a mirror of the list, leases for its children, forwarded writes."""
