"""Parsing of the endpoint list as discovery sends it: JSON lines, updates and their entries. No I/O."""

import math
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, TypeGuard

import orjson

from pinspread.core.messages import Endpoint
from pinspread.policy.events import EndpointState
from pinspread.sockets import split_address

MAX_LINE_BYTES = 4 << 20
SHOWN_LENGTH = 100  # characters of a malformed update that the error shows

# Discovery's words for the state of an endpoint, which the file `list.left` uses too.
STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING, "gone": EndpointState.REMOVED}
HEALTH_WORDS = {state: word for word, state in STATES.items()}

ListedEndpoint = tuple[Endpoint, EndpointState]
"""An endpoint with its state in the endpoint list."""

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
_OPENING, _CLOSING = re.compile(rb"[{[]"), re.compile(rb"[]}]")


class LineReader:
    """Splits the bytes of a watch into JSON objects, each of which may extend over several lines."""

    def __init__(self) -> None:
        self._partial_line = b""
        self._lines = b""  # complete lines of an object that is not complete yet
        self._depth = 0  # brackets that are open in these lines

    def feed(self, data: bytes) -> Iterator[Any]:
        """Take more bytes; yield the value of each complete object, and None for each empty line, in order.

        Raises:
            ValueError: The data is not JSON, or an object exceeds `MAX_LINE_BYTES`.
        """
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) + len(self._lines) > MAX_LINE_BYTES:
            raise ValueError(f"incomplete update exceeds {MAX_LINE_BYTES} bytes")
        for line in lines:
            if not self._lines and not line.strip():
                yield None
                continue
            brackets = _STRING.sub(b"", line)
            self._depth += len(_OPENING.findall(brackets)) - len(_CLOSING.findall(brackets))
            self._lines += line
            if self._depth <= 0:
                complete, self._lines, self._depth = self._lines, b"", 0
                yield orjson.loads(complete)


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """A full endpoint list, or changes to the list.

    Attributes:
        sequence: The version of the list after this update.
        full: The update has all endpoints, not only those that changed.
        entries: An unchecked entry for each endpoint.
    """

    sequence: int
    full: bool
    entries: list[Any]


def parse_update(value: object) -> EndpointUpdate:
    """Check the outer form of an update; its entries are checked later, one by one.

    Raises:
        ValueError: The value is not an update.
    """
    if isinstance(value, dict):
        entries, sequence = value.get("hosts"), value.get("seq")
        if isinstance(entries, list) and _is_count(sequence):
            return EndpointUpdate(sequence, bool(value.get("whole")), entries)
    raise ValueError(f"malformed endpoint list: {str(value)[:SHOWN_LENGTH]}")


def parse_endpoint(entry: Any, zones: Mapping[str, int], kinds: Mapping[str, int]) -> Endpoint:
    """Parse the endpoint of an entry.

    All fields are checked here, because a field of a wrong type would end the process where it is first used.

    Args:
        entry: The entry.
        zones: The zones' numbers by their names.
        kinds: The destination kinds' numbers by their names.

    Raises:
        KeyError: A field is missing.
        TypeError: A field has a wrong type.
        ValueError: A field is out of range, or not a number where one is expected.
    """
    id_, address, weight = entry["host"], entry["dial"], float(entry["share"])
    texts = isinstance(id_, str) and id_ and isinstance(address, str)
    if not (texts and _is_count(entry["block"])):
        raise TypeError("host, dial or block is invalid: expected non-empty text, text and a count")
    split_address(address)
    if not (math.isfinite(weight) and weight >= 0):
        raise ValueError(f"share is {weight}, expected a finite number of at least 0")
    zone, kind = zones.get(entry["site"], 0), kinds.get(entry["class"], 0)
    return Endpoint(id_, address, entry["block"], weight=weight, zone=zone, kind=kind)


def parse_departure(entry: object) -> tuple[str, EndpointState] | None:
    """Return the id and state of an endpoint that a malformed entry reports as draining or removed, or None.

    If the whole entry were ignored, the endpoint would be called for as long as the process runs.
    """
    if not isinstance(entry, dict):
        return None
    id_, health = entry.get("host"), entry.get("health")
    if not isinstance(id_, str) or health not in ("draining", "gone"):
        return None
    return id_, STATES[health]


def _is_count(value: object) -> TypeGuard[int]:
    return type(value) is int and value >= 0
