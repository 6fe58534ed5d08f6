"""Temporary overrides of the configuration: their documents, store, history and reconciler."""
