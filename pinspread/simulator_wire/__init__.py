"""The simulator's wire protocol: batches of events come in, replies with actions go out. No decisions.

Times on the wire are in nanoseconds, except that a Retry-After is in milliseconds. Keys and codes are defined
by the simulator; only this package knows them. The settings in a batch are read by
`config/policy_settings.py`.
"""
