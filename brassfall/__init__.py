"""What keeps a fleet together: the list service and, in time, shared state, duties and releases."""
