"""Editions that all sidecars act on together: prepare, commit, permissions and reports, as pure code."""
