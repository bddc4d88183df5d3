"""Limits and checks of what clients give with a message, the same on all protocols.

The texts of the errors go to the clients, so they are part of the protocols.
"""

MAX_BODY_BYTES = 64 * 1024
MAX_DEADLINE_MS = 10**9
MAX_DESTINATION = 65_535
MAX_IDENTIFIER_LENGTH = 64
MAX_KEY_DIGITS = 16
MAX_NUMBER_DIGITS = 10
SHOWN_LENGTH = 32  # characters of a wrong value that an error shows
FIRST_VISIBLE, LAST_VISIBLE = 33, 126  # of ASCII
_HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")


class InvalidFieldError(ValueError):
    """A client gave a field that cannot be used; the text is for the client."""


def parse_key(text: bytes) -> int:
    """Read an ordering key, which is up to 16 hexadecimal digits; 0 stands for none.

    Raises:
        InvalidFieldError: It is no such key.
    """
    if not 1 <= len(text) <= MAX_KEY_DIGITS or not _HEX_DIGITS.issuperset(text):
        raise InvalidFieldError("the key must be up to 16 hexadecimal digits")
    return int(text, 16)


def parse_identifier(view: bytes | memoryview, field: str) -> str:
    """Read an id of visible ASCII characters only, since it becomes the value of an HTTP header.

    Args:
        view: The bytes that the client gave.
        field: What they are, for the error.

    Raises:
        InvalidFieldError: It is empty, too long, or has other characters.
    """
    fits = 1 <= len(view) <= MAX_IDENTIFIER_LENGTH
    if not fits or not all(FIRST_VISIBLE <= byte <= LAST_VISIBLE for byte in view):
        raise InvalidFieldError(f"the {field} must be 1 to {MAX_IDENTIFIER_LENGTH} visible characters")
    return bytes(view).decode("ascii")


def parse_number(text: str, field: str, maximum: int) -> int:
    """Read a whole number from 0 to `maximum`.

    Args:
        text: The text that the client gave.
        field: What it is, for the error.
        maximum: The largest number that is allowed.

    Raises:
        InvalidFieldError: It is no such number.
    """
    digits = text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
    if not digits or int(text) > maximum:
        raise InvalidFieldError(f"{field} must be a number up to {maximum}, not {text[:SHOWN_LENGTH]!r}")
    return int(text)
