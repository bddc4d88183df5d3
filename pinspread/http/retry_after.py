"""The `Retry-After` header as endpoints send it."""

MAX_SECONDS = 86_400  # a day; a longer one is not taken seriously


def parse_retry_after_us(text: bytes) -> int:
    """Read seconds with decimals as microseconds, rounded up; 0 if it is no such number."""
    try:
        seconds = float(text)
    except ValueError:
        return 0
    if not 0 < seconds < MAX_SECONDS:
        return 0
    return int(seconds * 1_000_000) + 1
