"""Overrides under simulated time: the simulation, the judge of its outcome, and injected defects."""
