"""A regional tier between sidecars and the service that decides: merged reports, chained leases, fan-out."""
