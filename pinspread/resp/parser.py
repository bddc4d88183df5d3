"""Parsing of RESP2 requests, without I/O: commands, and the fields of an ENQUEUE command."""

from typing import NamedTuple

from pinspread.core.message_fields import (
    MAX_BODY_BYTES,
    MAX_DEADLINE_MS,
    MAX_DESTINATION,
    InvalidFieldError,
    parse_identifier,
    parse_key,
    parse_number,
)

MAX_ARGUMENTS = 16
# A longer string ends the connection. A string up to this length is read, and answered with an error if it is
# too long for its field.
MAX_STRING_BYTES = 96 * 1024
MAX_COMMAND_BYTES = 128 * 1024
MAX_OPTIONS_BYTES = 4096  # of an ENQUEUE; splitting tens of thousands of short options takes long
MAX_HEADER_BYTES = 32  # of the line that gives the number of arguments or the length of a string
ENQUEUE_ARGUMENTS = 5  # with the command's name
# The options of an ENQUEUE command.
DEADLINE, DESTINATION, CLASS, TENANT, IDEMPOTENCY_KEY = "d", "dest", "c", "t", "k"


class ProtocolError(ValueError):
    """The stream violates RESP2 and can no longer be parsed; the text is sent to the client."""


class CommandError(InvalidFieldError):
    """A command is malformed but the stream can still be parsed; the text is sent to the client."""


class Parsed(NamedTuple):
    """The result of parsing the command at the start of a view.

    Attributes:
        arguments: The arguments of the command as slices of the view; None if it is not complete yet.
        size: The length of the command in bytes. For an incomplete command its minimum length: parsing again
            with fewer bytes is pointless.
    """

    arguments: list[memoryview] | None
    size: int


class EnqueueRequest(NamedTuple):
    """The fields of an ENQUEUE command.

    Attributes:
        key: The ordering key; 0 for none.
        id: The message id.
        options: The options, parsed and checked.
        body: A slice of the view that was parsed.
    """

    key: int
    id: str
    options: "EnqueueOptions"
    body: memoryview


class EnqueueOptions(NamedTuple):
    """The options of an ENQUEUE command.

    Attributes:
        deadline_ms: The time until the deadline of the message, in milliseconds from now.
        destination: The number of the destination.
        class_name: The traffic class.
        tenant: The tenant; empty if none is given.
        idempotency_key: The key by which the destination recognises repeated requests; empty for none.
    """

    deadline_ms: int
    destination: int
    class_name: str
    tenant: str
    idempotency_key: str


def parse(view: memoryview) -> Parsed:
    """Parse the command at the start of a view.

    Raises:
        ProtocolError: The view does not start with a valid command.
    """
    header = _header(view, 0, b"*")
    if header is None:
        return Parsed(None, len(view) + 1)
    count, position = header
    if not 1 <= count <= MAX_ARGUMENTS:
        raise ProtocolError(f"a command of {count} arguments")
    arguments = []
    for _ in range(count):
        header = _header(view, position, b"$")
        if header is None:
            return Parsed(None, len(view) + 1)
        size, position = header
        end = position + size
        if not 0 <= size <= MAX_STRING_BYTES:
            raise ProtocolError(f"a string of {size} bytes")
        if end > MAX_COMMAND_BYTES:
            raise ProtocolError(f"a command of over {MAX_COMMAND_BYTES} bytes")
        if len(view) < end + 2:
            return Parsed(None, end + 2)
        if bytes(view[end : end + 2]) != b"\r\n":
            raise ProtocolError("a string does not end where its length says")
        arguments.append(view[position:end])
        position = end + 2
    return Parsed(arguments, position)


def _header(view: memoryview, position: int, mark: bytes) -> tuple[int, int] | None:
    """Parse the header line at a position, which gives the number of arguments or the length of a string.

    A plain tuple is returned rather than a named one for speed: each command has several header lines.

    Returns:
        The number and the position after the line, or None if the line is incomplete.
    """
    if position >= len(view):
        return None
    if view[position : position + 1] != mark:
        raise ProtocolError(f"expected {mark.decode()}, not byte {view[position]}")
    line = bytes(view[position + 1 : position + MAX_HEADER_BYTES])
    end = line.find(b"\r\n")
    if end < 0:
        if len(line) >= MAX_HEADER_BYTES - 1 or line.strip(b"-0123456789\r"):
            raise ProtocolError("not a header line")
        return None
    digits = line[:end]
    if not digits.removeprefix(b"-").isdigit():
        raise ProtocolError(f"not a length: {digits!r}")
    return int(digits), position + 1 + end + 2


def parse_enqueue(arguments: list[memoryview]) -> EnqueueRequest:
    """Parse the arguments of an ENQUEUE command, including the command's name.

    Raises:
        InvalidFieldError: An argument is missing or malformed.
    """
    if len(arguments) != ENQUEUE_ARGUMENTS:
        raise CommandError(f"ENQUEUE takes key, id, options and body, not {len(arguments) - 1} arguments")
    _, key, id_, options, body = arguments
    if len(options) > MAX_OPTIONS_BYTES:
        raise CommandError(f"options of {len(options)} bytes are over {MAX_OPTIONS_BYTES}")
    if len(body) > MAX_BODY_BYTES:
        raise CommandError(f"a body of {len(body)} bytes is over {MAX_BODY_BYTES}")
    return EnqueueRequest(
        parse_key(bytes(key)), parse_identifier(id_, "id"), _parse_options(bytes(options)), body
    )


def _parse_options(text: bytes) -> EnqueueOptions:
    option_values: dict[str, str] = {}
    for pair in text.decode("latin-1").split(","):
        option, equals, value = pair.partition("=")
        if not equals:
            raise CommandError(f"option {pair!r} has no value")
        if option in option_values:
            raise CommandError(f"option {option} is given twice")
        option_values[option] = value
    deadline_ms = parse_number(_required(option_values, DEADLINE), DEADLINE, MAX_DEADLINE_MS)
    destination = parse_number(_required(option_values, DESTINATION), DESTINATION, MAX_DESTINATION)
    class_name = _required(option_values, CLASS)
    if IDEMPOTENCY_KEY in option_values:
        parse_identifier(option_values[IDEMPOTENCY_KEY].encode("latin-1"), "idempotency key")
    return EnqueueOptions(
        deadline_ms,
        destination,
        class_name,
        option_values.get(TENANT, ""),
        option_values.get(IDEMPOTENCY_KEY, ""),
    )


def _required(options: dict[str, str], option: str) -> str:
    if option not in options:
        raise CommandError(f"option {option} is missing")
    return options[option]
