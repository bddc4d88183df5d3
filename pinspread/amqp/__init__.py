"""AMQP 0-9-1: the second front and its next-hop transport."""
