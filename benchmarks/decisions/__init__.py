"""Recordings of what the policy decides: the streams that are recorded, and what writes them."""
