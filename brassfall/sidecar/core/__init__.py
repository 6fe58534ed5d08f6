"""The driver of requests, attempts and health checks: the only caller of the balancer; it uses no sockets."""
