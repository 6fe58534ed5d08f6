"""Connections to servers: the connection pool, opening connections, sending requests, reading answers."""
