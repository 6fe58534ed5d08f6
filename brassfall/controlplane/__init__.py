"""Control plane: endpoint lists, configuration revisions, aggregators, overrides, geographic steering."""
