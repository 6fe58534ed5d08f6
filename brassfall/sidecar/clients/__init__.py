"""Client side of the sidecar: connections of the application, their requests, and the answers to them."""
