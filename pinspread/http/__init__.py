"""HTTP/1.1 client: exchanges, the pool of idle connections, and the transport to endpoints."""
