"""Network addresses in the form `host:port`."""

MAX_PORT = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    Raises:
        ValueError: The text is not of the form `host:port`, or the port is above `MAX_PORT`.
    """
    host, _, port = address.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > MAX_PORT:
        raise ValueError(f"invalid address {address!r}: expected host:port, the port at most {MAX_PORT}")
    return host, int(port)
