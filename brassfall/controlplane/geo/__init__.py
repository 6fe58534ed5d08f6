"""Delays from client groups to regions, out of what passes anyway, and the steering plan made of them."""
