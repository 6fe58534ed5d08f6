"""The list service: servers register in a durable table, and sidecars and aggregators read and watch it."""
