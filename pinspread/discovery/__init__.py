"""The client of the platform's discovery service, which lists the endpoints."""
