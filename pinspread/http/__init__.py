"""HTTP/1.1 as a client: exchanges on connections, the pool of connections, and the transport to endpoints."""
