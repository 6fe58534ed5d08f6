"""The process of a sidecar: startup, admin endpoint, hand-over between processes and graceful shutdown."""
