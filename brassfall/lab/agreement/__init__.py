"""The checker of the agreement: the real cores in a simulated world of faults, judged from outside."""
