"""Stand-ins for the second review: clients, endpoints, brokers and the platform, on loopback only."""
