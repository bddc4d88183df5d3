"""RESP2 as the platform's clients speak it: parsing only."""

MOST_ARGUMENTS = 16
MOST_BODY = 64 * 1024
MOST_BULK = 96 * 1024  # longer ones end the connection; up to it a command is read and answered an error
MOST_COMMAND = 128 * 1024  # all of them together
MOST_LINE = 32
MOST_FOR_MS = 10**9
MOST_DEST = 65_535
MOST_NAME = 64
_HEX = frozenset(b"0123456789abcdefABCDEF")


class ProtocolError(ValueError):
    """The stream cannot be followed any more."""


class CommandError(ValueError):
    """This command is malformed; the next may be well."""


def parse(view):
    """The command that a view starts with: arguments as slices, its length.

    Where it is not whole, None and the length that it has at the least: no use in parsing less.
    """
    line = _line(view, 0, b"*")
    if line is None:
        return None, len(view) + 1
    count, at = line
    if not 1 <= count <= MOST_ARGUMENTS:
        raise ProtocolError(f"a command of {count} arguments")
    arguments = []
    for _ in range(count):
        line = _line(view, at, b"$")
        if line is None:
            return None, len(view) + 1
        size, at = line
        if not 0 <= size <= MOST_BULK:
            raise ProtocolError(f"a string of {size} bytes")
        if at + size > MOST_COMMAND:
            raise ProtocolError(f"a command of over {MOST_COMMAND} bytes")
        if len(view) < at + size + 2:
            return None, at + size + 2
        if view[at + size : at + size + 2] != b"\r\n":
            raise ProtocolError("a string does not end where its length says")
        arguments.append(view[at : at + size])
        at += size + 2
    return arguments, at


def _line(view, at, mark):
    """The number in a header line and where the line ends; None if it is not whole."""
    if at >= len(view):
        return None
    if view[at : at + 1] != mark:
        raise ProtocolError(f"expected {mark.decode()}, not byte {view[at]}")
    head = bytes(view[at + 1 : at + MOST_LINE])
    end = head.find(b"\r\n")
    if end < 0:
        if len(head) >= MOST_LINE - 1 or head.strip(b"-0123456789\r"):
            raise ProtocolError("not a header line")
        return None
    digits = head[:end]
    if not digits.removeprefix(b"-").isdigit():
        raise ProtocolError(f"not a length: {digits!r}")
    return int(digits), at + 1 + end + 2


def enqueue(arguments):
    """The fields of an ENQUEUE command: key, id, options; the body stays a slice."""
    if len(arguments) != 5:
        raise CommandError(f"ENQUEUE takes key, id, options and body, not {len(arguments) - 1} arguments")
    _, key, id_, options, body = arguments
    if len(body) > MOST_BODY:
        raise CommandError(f"a body of {len(body)} bytes is over {MOST_BODY}")
    return key_number(bytes(key)), name(id_, "id"), _options(bytes(options)), body


def key_number(text):
    """A key: hexadecimal digits; 0 is none."""
    if not 1 <= len(text) <= 16 or not _HEX.issuperset(text):
        raise CommandError("the key must be up to 16 hexadecimal digits")
    return int(text, 16)


def name(view, what):
    """An id: visible characters, since it becomes a header's value."""
    if not 1 <= len(view) <= MOST_NAME or not all(33 <= byte <= 126 for byte in view):
        raise CommandError(f"the {what} must be 1 to {MOST_NAME} visible characters")
    return bytes(view).decode("ascii")


def number(text, what, most):
    """A whole number from 0 to `most`."""
    if not (text.isascii() and text.isdigit() and len(text) <= 10 and int(text) <= most):
        raise CommandError(f"{what} must be a number up to {most}, not {text[:32]!r}")
    return int(text)


def _options(text):
    found = {}
    for part in text.decode("latin-1").split(","):
        option, equals, value = part.partition("=")
        if not equals:
            raise CommandError(f"option {part!r} has no value")
        if option in found:
            raise CommandError(f"option {option} is given twice")
        found[option] = value
    for option, most in (("d", MOST_FOR_MS), ("dest", MOST_DEST)):
        if option not in found:
            raise CommandError(f"option {option} is missing")
        found[option] = number(found[option], option, most)
    if "c" not in found:
        raise CommandError("option c is missing")
    if "k" in found:
        name(found["k"].encode("latin-1"), "idempotency key")
    return found
