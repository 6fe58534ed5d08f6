"""A versioned table: the core, its leases and its durable log."""
