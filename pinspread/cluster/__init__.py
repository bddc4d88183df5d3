"""The running fleet: membership among couriers, and what stands on it. Never imported by serving unless a file turns it on."""
