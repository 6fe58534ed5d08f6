"""The control plane: list service, revisions, aggregators, overrides and geographic steering."""
