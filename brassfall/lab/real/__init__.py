"""A fleet of real processes on loopback around the same models, and who conducts it."""
