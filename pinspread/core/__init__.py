"""The courier's core: turn loop, transactions, journal and capacity. It knows no wire protocol."""
