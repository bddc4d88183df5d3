"""The running fleet: membership among couriers, and what stands on it.

Serving imports it only when an application's file turns it on.
"""
