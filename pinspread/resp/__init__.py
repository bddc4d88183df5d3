"""The RESP2 front, where clients submit messages, and the notifications of their final results."""
