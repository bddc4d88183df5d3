"""Makes traces from couriers' logs."""

from collections.abc import Sequence
from typing import Any, NamedTuple

import orjson
from cryptography.hazmat.primitives import hashes, hmac

from pinspread.simulation.fit import RecordedAttempt, fit_destinations
from pinspread.simulation.recorded_events import recorded
from pinspread.simulation.trace import Arrivals, RecordedEndpointList, Trace, TraceError

MIN_KEY_BYTES = 16


class Hasher:
    """Hashes names with a secret key, to 16 hexadecimal digits.

    Args:
        key: The secret, of at least `MIN_KEY_BYTES` bytes.

    Raises:
        TraceError: The key is too short.
    """

    def __init__(self, key: bytes):
        if len(key) < MIN_KEY_BYTES:
            raise TraceError(f"the secret key has {len(key)} bytes; it needs at least {MIN_KEY_BYTES}")
        self._key = key

    def __call__(self, value: object) -> str:
        """Return the hash of a value's text."""
        code = hmac.HMAC(self._key, hashes.SHA256())
        code.update(str(value).encode())
        return code.finalize()[:8].hex()


class _Acceptance(NamedTuple):
    """A message as logged at its acceptance: `at_us` is Unix time; the ordering key is hashed, or empty."""

    at_us: int
    class_index: int
    tenant_index: int
    destination: int
    ordering_key: str
    size_bytes: int
    time_left_ms: int
    instance: int
    id: str


class _LogReader:
    """Collects the messages, attempts and endpoint lists of all logs, in the order of their lines."""

    def __init__(self, hasher: Hasher):
        self.hasher = hasher
        self.classes: dict[str, int] = {}
        self.tenants: dict[str, int] = {}
        self.acceptances: list[_Acceptance] = []
        self.attempts: list[RecordedAttempt] = []
        self.endpoint_lists: list[RecordedEndpointList] = []
        self.skipped_lines = 0
        self.without_deadline = 0  # messages logged by a version that did not log the deadline
        self._number_of: dict[tuple[int, str], int] = {}  # number of a message, by courier and id

    def read(self, instance: int, lines: Sequence[bytes]) -> None:
        """Read one courier's log; lines that are not events are counted and skipped."""
        for line in lines:
            try:
                self._read_event(instance, recorded(orjson.loads(line)))
            except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
                self.skipped_lines += 1

    def _read_event(self, instance: int, event: Any) -> None:
        kind, at_us = event["event"], event["at_us"]
        if kind == "taken":
            self._read_acceptance(instance, at_us, event)
        elif kind == "branch":
            self._read_attempt(instance, at_us, event)
        elif kind == "list" and isinstance(event["hops"], dict):
            states = {self.hasher(endpoint): state for endpoint, state in event["hops"].items()}
            self.endpoint_lists.append(RecordedEndpointList(instance, at_us, states))

    def _read_acceptance(self, instance: int, at_us: int, event: dict[str, Any]) -> None:
        if "for_ms" not in event:
            self.without_deadline += 1
            return
        acceptance = _Acceptance(
            at_us=at_us,
            class_index=self.classes.setdefault(event["cls"], len(self.classes)),
            tenant_index=self.tenants.setdefault(event["tenant"], len(self.tenants)),
            destination=int(event["dest"]),
            ordering_key=self.hasher(event["key"]) if event["key"] else "",
            size_bytes=int(event["size"]),
            time_left_ms=int(event["for_ms"]),
            instance=instance,
            id=self.hasher(event["id"]),
        )
        self._number_of[instance, event["id"]] = len(self.acceptances)
        self.acceptances.append(acceptance)

    def _read_attempt(self, instance: int, at_us: int, event: dict[str, Any]) -> None:
        number = self._number_of.get((instance, event["id"]))
        if number is None:
            return
        self.attempts.append(
            RecordedAttempt(
                message=number,
                end_us=at_us,
                destination=self.acceptances[number].destination,
                endpoint=self.hasher(event["hop"]),
                outcome=event["verdict"],
                elapsed_us=event["took_us"],
                retry_after_us=event["wait_us"],
                idle_us=event["idle_us"],
            )
        )


def record_trace(logs: Sequence[tuple[str, Sequence[bytes]]], key: bytes) -> Trace:
    """Make a trace from couriers' logs.

    Args:
        logs: The name and the lines of each log, one log per courier.
        key: The secret key for hashing ids, ordering keys and endpoints.

    Raises:
        TraceError: The key is too short, or the logs contain no usable message.
    """
    reader = _LogReader(Hasher(key))
    for instance, (_, lines) in enumerate(logs):
        reader.read(instance, lines)
    if not reader.acceptances:
        unusable_count = reader.without_deadline
        detail = (
            f"; {unusable_count} messages were logged by a version that did not log deadlines"
            if unusable_count
            else ""
        )
        raise TraceError(f"no message was accepted in these logs{detail}")
    return _trace_of(reader, len(logs))


def _trace_of(reader: _LogReader, instance_count: int) -> Trace:
    """Return the trace of all logs: messages in order of arrival, times from the first arrival on."""
    acceptances = reader.acceptances
    start_us = min(acceptance.at_us for acceptance in acceptances)
    order = sorted(range(len(acceptances)), key=lambda number: acceptances[number].at_us)
    number_in_trace = {number: index for index, number in enumerate(order)}
    attempts = [
        attempt._replace(message=number_in_trace[attempt.message], end_us=attempt.end_us - start_us)
        for attempt in reader.attempts
    ]
    attempts.sort(key=lambda attempt: attempt.end_us)
    arrivals = _arrivals([acceptances[number] for number in order], start_us)
    return Trace(
        class_names=list(reader.classes),
        tenant_count=len(reader.tenants),
        instance_count=instance_count,
        arrivals=arrivals,
        attempts=attempts,
        endpoint_lists=[update._replace(at_us=update.at_us - start_us) for update in reader.endpoint_lists],
        skipped_lines=reader.skipped_lines,
        fits=fit_destinations(arrivals.destination, attempts),
    )


def _arrivals(acceptances: Sequence[_Acceptance], start_us: int) -> Arrivals:
    """Return the columns of messages, given in order of arrival; number their ordering keys."""
    numbers: dict[str, int] = {"": 0}
    arrivals = Arrivals()
    for acceptance in acceptances:
        arrivals.at_us.append(acceptance.at_us - start_us)
        arrivals.class_index.append(acceptance.class_index)
        arrivals.tenant_index.append(acceptance.tenant_index)
        arrivals.destination.append(acceptance.destination)
        arrivals.ordering_key.append(numbers.setdefault(acceptance.ordering_key, len(numbers)))
        arrivals.size_bytes.append(acceptance.size_bytes)
        arrivals.time_left_ms.append(acceptance.time_left_ms)
        arrivals.instance.append(acceptance.instance)
        arrivals.id.append(acceptance.id)
    return arrivals
