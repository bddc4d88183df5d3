"""Records the policy's decisions: generators of event streams, and the writer of the recordings."""
