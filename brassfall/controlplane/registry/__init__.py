"""The list service: discovery as PROTOCOL has it, over a durable table."""
