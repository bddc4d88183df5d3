"""RESP2: the front that clients submit messages to, and the notifications of how these ended."""
