"""Non-blocking sockets: client connections, their limiter and read buffers."""
