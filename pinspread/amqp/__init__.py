"""AMQP 0-9-1: the front that clients use, and the transport to brokers as endpoints."""
