"""Cluster membership by SWIM; loaded only where a file turns it on."""
