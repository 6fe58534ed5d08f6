"""The sidecar's client of the control plane, used only if the configuration has the key `fleet`."""
