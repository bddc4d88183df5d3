"""The simulator's wire: batches of events in, replies of actions out. No decisions.

Times are nanoseconds, but a Retry-After is in milliseconds on the wire. Keys and codes are the simulator's;
only this package knows them. The settings that a batch carries are read by `config/policy_settings.py`.
"""
