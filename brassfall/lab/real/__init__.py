"""A fleet of real processes on loopback around the lab's models, and its controller."""
