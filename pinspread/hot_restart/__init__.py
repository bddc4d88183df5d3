"""Hot restart: a new process takes everything over from the one before it."""
