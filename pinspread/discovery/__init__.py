"""The client of the platform's discovery service."""
