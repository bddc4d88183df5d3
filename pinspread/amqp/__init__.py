"""AMQP 0-9-1: the front for clients, and the transport to endpoints that are brokers."""
