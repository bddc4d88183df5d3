"""Network addresses in the form `host:port`."""


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    Raises:
        ValueError: The text is not of the form `host:port`.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"invalid address {address!r}: expected host:port")
    return host, int(port)
