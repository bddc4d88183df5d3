"""The HTTP client side: connection pool, transport and message bundles."""
