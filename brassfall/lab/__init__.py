"""Models of what the project serves, and experiments on them."""
