"""The delivery policy: decides on calls, with no I/O and no clock."""
