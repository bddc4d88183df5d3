"""Several messages in one call: the body of `POST /events/bundle`, and what its answer tells. No I/O."""

from base64 import b64encode

import orjson

from pinspread.core.messages import AttemptResult
from pinspread.policy.events import Outcome

TARGET = "/events/bundle"
ENDS = {
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


def body(messages) -> bytes:
    """The JSON array of a call."""
    items = []
    for t in messages:
        item = {"id": t.id, "body": b64encode(t.body).decode()}
        if t.idempotency_key:
            item["key"] = t.idempotency_key
        items.append(item)
    return orjson.dumps(items)


def ends(answer: bytes, ids, retry_after_us: int) -> dict[str, AttemptResult]:
    """How each message fared by a whole answer with 200; one that it does not tell truly may have run."""
    try:
        found = orjson.loads(answer)
    except orjson.JSONDecodeError:
        found = None
    told = {}
    for item in found if isinstance(found, list) else ():
        id_ = item.get("id") if isinstance(item, dict) else None
        if isinstance(id_, str):
            told[id_] = None if id_ in told else item.get("state")  # named twice, neither is to be believed
    # Danger: taken for proof that it never ran, a state that is missing or odd would send a payment twice.
    odd = AttemptResult(Outcome.ERROR, retry_after_us, note="not told in the answer")
    return {
        i: ENDS[s](retry_after_us) if isinstance(s := told.get(i), str) and s in ENDS else odd for i in ids
    }


def report(text: str) -> dict[str, float]:
    """The named figures of a load report; ValueError if it can't be read."""
    found = {}
    for pair in text.split(","):
        name, sign, value = pair.strip().partition("=")
        figure = float(value)
        if not sign or not name or name in found or not 0 <= figure < 1e9:
            raise ValueError(f"not a load report: {text[:60]!r}")
        found[name] = figure
    return found
