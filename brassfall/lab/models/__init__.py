"""Models of servers, clients and network: pure code that simulated and real plays share."""
