"""Leases for cluster-wide tasks, agreed on by voters; loaded only if the deploy file has a table for them."""
