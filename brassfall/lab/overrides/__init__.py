"""Overrides under simulated time: what is played, who judges it, and list services with a flaw each."""
