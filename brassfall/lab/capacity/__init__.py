"""Measures what each role costs at several sizes of the fleet, and extrapolates: `lab capacity`."""
