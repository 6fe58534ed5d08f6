"""The client of discovery: the calls, the parser of endpoint lists, and the current endpoint list."""
