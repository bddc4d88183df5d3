"""Leases for cluster-wide tasks, agreed on by voters; loaded only where a file turns them on."""
