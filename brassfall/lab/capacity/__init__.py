"""Measurements of what the fleet's parts cost at size, behind the capacity page."""
