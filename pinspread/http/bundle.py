"""Bundles, several messages in one call: the body of `POST /events/bundle` and its response. No I/O."""

from base64 import b64encode
from collections.abc import Callable, Iterable
from typing import Any

import orjson

from pinspread.core.messages import AttemptResult, Message
from pinspread.policy.events import Outcome

PATH = "/events/bundle"
MAX_FIGURE = 1e9  # figures of a load report must be below this
SHOWN_LENGTH = 60  # characters of a malformed load report that the error shows

# The state of a message in the response -> the function that makes the result of its attempt from the
# response's Retry-After in microseconds.
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
    """Encode the messages of a call as a JSON array."""
    items = []
    for message in messages:
        item = {"id": message.id, "body": b64encode(message.body).decode()}
        if message.idempotency_key:
            item["key"] = message.idempotency_key
        items.append(item)
    return orjson.dumps(items)


def parse_results(body: bytes, ids: Iterable[str], retry_after_us: int) -> dict[str, AttemptResult]:
    """Parse the result of each message from a complete response with status 200.

    Args:
        body: The body of the response.
        ids: The ids of the messages of the call.
        retry_after_us: The Retry-After of the response, in microseconds; 0 for none.

    Returns:
        A result for each id. A message without exactly one known state in the response may have run.
    """
    states = _parse_states(body)
    results = {}
    for id_ in ids:
        make_result = RESULTS.get(states.get(id_, ""))
        # A missing or unknown state proves nothing. Taken as proof that the message never ran, it would lead
        # to a second attempt, and a payment would be made twice.
        results[id_] = (
            make_result(retry_after_us)
            if make_result
            else AttemptResult(Outcome.ERROR, retry_after_us, note="no valid state in the response")
        )
    return results


def _parse_states(body: bytes) -> dict[str, str]:
    """Return the state of each message that occurs exactly once in the response, with a string as state."""
    try:
        decoded: Any = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    states: dict[str, str | None] = {}
    for item in decoded if isinstance(decoded, list) else ():
        id_ = item.get("id") if isinstance(item, dict) else None
        if isinstance(id_, str):
            state = item.get("state")
            repeated = id_ in states  # neither of two states for one message can be trusted
            states[id_] = state if isinstance(state, str) and not repeated else None
    return {id_: state for id_, state in states.items() if state is not None}


def parse_load_report(text: str) -> dict[str, float]:
    """Parse the named figures of a load report, such as `x0=0.4,x1=25`.

    Raises:
        ValueError: The report is malformed.
    """
    figures: dict[str, float] = {}
    for pair in text.split(","):
        name, sign, value = pair.strip().partition("=")
        figure = float(value)
        if not sign or not name or name in figures or not 0 <= figure < MAX_FIGURE:
            raise ValueError(f"malformed load report: {text[:SHOWN_LENGTH]!r}")
        figures[name] = figure
    return figures
