"""Revisions among real processes with faults between them, judged from what servers and clients saw."""
