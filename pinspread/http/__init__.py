"""HTTP/1.1 client: exchanges and the transport to endpoints."""
