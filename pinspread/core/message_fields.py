"""Limits and checks of the fields that clients submit with a message, the same on all protocols.

The error texts are sent to the clients, so they are part of the protocols.
"""

MAX_BODY_BYTES = 64 * 1024
MAX_DEADLINE_MS = 10**9
MAX_DESTINATION = 65_535
MAX_IDENTIFIER_LENGTH = 64
MAX_KEY_DIGITS = 16
MAX_NUMBER_DIGITS = 10
SHOWN_LENGTH = 32  # characters of an invalid value that an error repeats
FIRST_VISIBLE, LAST_VISIBLE = 33, 126  # of ASCII
_HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")


class InvalidFieldError(ValueError):
    """A client submitted an invalid field; the text is sent to the client."""


def parse_key(text: bytes) -> int:
    """Parse an ordering key of up to 16 hexadecimal digits; 0 means no key.

    Raises:
        InvalidFieldError: The text is not such a key.
    """
    if not 1 <= len(text) <= MAX_KEY_DIGITS or not _HEX_DIGITS.issuperset(text):
        raise InvalidFieldError("the key must be up to 16 hexadecimal digits")
    return int(text, 16)


def parse_identifier(view: bytes | memoryview, field: str) -> str:
    """Parse an id; it must consist of visible ASCII characters, because it becomes an HTTP header value.

    Args:
        view: The bytes that the client submitted.
        field: The name of the field, for the error.

    Raises:
        InvalidFieldError: The id is empty, too long, or contains other characters.
    """
    fits = 1 <= len(view) <= MAX_IDENTIFIER_LENGTH
    if not fits or not all(FIRST_VISIBLE <= byte <= LAST_VISIBLE for byte in view):
        raise InvalidFieldError(f"the {field} must be 1 to {MAX_IDENTIFIER_LENGTH} visible characters")
    return bytes(view).decode("ascii")


def parse_number(text: str, field: str, maximum: int) -> int:
    """Parse an integer from 0 to `maximum`.

    Args:
        text: The text that the client submitted.
        field: The name of the field, for the error.
        maximum: The largest allowed number.

    Raises:
        InvalidFieldError: The text is not such a number.
    """
    digits = text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
    if not digits or int(text) > maximum:
        raise InvalidFieldError(f"{field} must be a number up to {maximum}, not {text[:SHOWN_LENGTH]!r}")
    return int(text)
