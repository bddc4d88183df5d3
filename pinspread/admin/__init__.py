"""The operators' HTTP server, and the client that prints what it serves."""
