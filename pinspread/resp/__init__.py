"""The RESP2 front end: client connections, and notifications of final results."""
