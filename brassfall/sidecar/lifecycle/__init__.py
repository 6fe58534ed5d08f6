"""The process: startup, admin endpoint, handover between processes, graceful shutdown."""
