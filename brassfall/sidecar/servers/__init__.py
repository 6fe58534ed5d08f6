"""Connections to servers: the pool, how they are opened, attempts written and answers read."""
