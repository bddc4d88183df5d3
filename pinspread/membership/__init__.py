"""Cluster membership by SWIM; loaded only if the configuration file turns it on."""
