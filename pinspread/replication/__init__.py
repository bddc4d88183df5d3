"""Replication of each node's journal to others; loaded only where a file turns it on."""
