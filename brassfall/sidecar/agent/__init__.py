"""The small client side of the fleet parts; used only where the configuration has the key `fleet`."""
