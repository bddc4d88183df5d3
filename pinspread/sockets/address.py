"""Addresses of the form host:port."""


def split_address(address: str) -> tuple[str, int]:
    """host:port as a pair."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"not host:port: {address!r}")
    return host, int(port)
