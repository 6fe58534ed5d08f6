"""A client-side load-balancing sidecar, its control plane and its lab; importing it loads nothing."""
