"""The sidecar: the sockets, timers and records of requests around the balancer that makes the decisions."""
