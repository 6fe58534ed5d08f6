"""Temporary overrides: their documents, the store that starts and ends them, and the reconciler."""
