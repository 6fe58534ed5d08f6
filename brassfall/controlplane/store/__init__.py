"""A durable store of versioned tables: its state machine, its leases and its log."""
