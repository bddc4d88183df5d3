"""Simulation of many couriers and destinations under the delivery policy; couriers never import it."""
