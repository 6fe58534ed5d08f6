"""The demonstration of `brassfall demo`: its processes, its fleet and the steps that are shown."""
