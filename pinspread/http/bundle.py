"""Several messages in one call: the body of `POST /events/bundle`, and what its response says. No I/O."""

from base64 import b64encode
from collections.abc import Callable, Iterable
from typing import Any

import orjson

from pinspread.core.messages import AttemptResult, Message
from pinspread.policy.events import Outcome

PATH = "/events/bundle"
MAX_FIGURE = 1e9  # of a load report
SHOWN_LENGTH = 60  # characters of a malformed load report that the error shows

# What the response says of a message -> the result of its attempt, for the Retry-After in microseconds.
RESULTS: dict[str, Callable[[int], AttemptResult]] = {
    "ok": lambda retry_after_us: AttemptResult(Outcome.OK),
    "error": lambda retry_after_us: AttemptResult(Outcome.ERROR, retry_after_us, note="error"),
    "later": lambda retry_after_us: AttemptResult(Outcome.OVERLOADED, retry_after_us),
    "gone": lambda retry_after_us: AttemptResult(
        Outcome.NOT_SENT, retry_after_us, no_longer_wanted=True, note="over"
    ),
    "exhausted": lambda retry_after_us: AttemptResult(
        Outcome.NOT_SENT, retry_after_us, note="all attempts used"
    ),
}


def encode_messages(messages: Iterable[Message]) -> bytes:
    """Encode the JSON array of a call."""
    items = []
    for message in messages:
        item = {"id": message.id, "body": b64encode(message.body).decode()}
        if message.idempotency_key:
            item["key"] = message.idempotency_key
        items.append(item)
    return orjson.dumps(items)


def parse_results(body: bytes, ids: Iterable[str], retry_after_us: int) -> dict[str, AttemptResult]:
    """Read the result for each message from a complete response with status 200.

    Args:
        body: The body of the response.
        ids: The messages of the call.
        retry_after_us: The Retry-After of the response, in microseconds; 0 for none.

    Returns:
        A result for each id. A message that the response does not name, or not unambiguously, may have run.
    """
    states = _parse_states(body)
    results = {}
    for id_ in ids:
        make = RESULTS.get(states.get(id_, ""))
        # Taken for proof that it never ran, a state that is missing or unknown would send a payment twice.
        results[id_] = (
            make(retry_after_us)
            if make
            else AttemptResult(Outcome.ERROR, retry_after_us, note="not told in the answer")
        )
    return results


def _parse_states(body: bytes) -> dict[str, str]:
    """The state of each message that the response names once, and with text."""
    try:
        found: Any = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    states: dict[str, str | None] = {}
    for item in found if isinstance(found, list) else ():
        id_ = item.get("id") if isinstance(item, dict) else None
        if isinstance(id_, str):
            state = item.get("state")
            repeated = id_ in states  # named twice, neither is to be believed
            states[id_] = state if isinstance(state, str) and not repeated else None
    return {id_: state for id_, state in states.items() if state is not None}


def parse_load_report(text: str) -> dict[str, float]:
    """Read the named figures of a load report.

    Raises:
        ValueError: It cannot be read.
    """
    figures: dict[str, float] = {}
    for pair in text.split(","):
        name, sign, value = pair.strip().partition("=")
        figure = float(value)
        if not sign or not name or name in figures or not 0 <= figure < MAX_FIGURE:
            raise ValueError(f"not a load report: {text[:SHOWN_LENGTH]!r}")
        figures[name] = figure
    return figures
