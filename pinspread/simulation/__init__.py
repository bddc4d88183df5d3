"""The simulation of many nodes and destinations, driven by the delivery policy; no serving process loads it."""
