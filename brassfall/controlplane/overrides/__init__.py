"""Temporary overrides: what an operator may write, the book that starts and ends them, and the reconciler."""
