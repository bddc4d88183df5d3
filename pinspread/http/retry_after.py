"""The `Retry-After` header of endpoints' responses."""

MAX_SECONDS = 86_400  # a day; a wait of a day or more is ignored


def parse_retry_after_us(text: bytes) -> int:
    """Parse a number of seconds, with decimals, as microseconds, rounded up; 0 if it is invalid."""
    try:
        seconds = float(text)
    except ValueError:
        return 0
    if not 0 < seconds < MAX_SECONDS:
        return 0
    return int(seconds * 1_000_000) + 1
