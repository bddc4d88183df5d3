"""The client of the platform's discovery service, which says what endpoints there are."""
