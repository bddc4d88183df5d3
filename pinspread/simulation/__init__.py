"""A simulation of many couriers and destinations under the delivery policy; no serving process loads it."""
