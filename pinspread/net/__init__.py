"""The platform's wires: RESP2 from clients, HTTP to next hops, discovery and notices."""
