"""The parts of `brassfall registry bench`: the service, the loads, the measurements and their table."""
