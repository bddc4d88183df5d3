"""Log events in the words of recorded logs and traces, whichever version of the program wrote them.

Recordings outlive names in the code: what reads them uses the recorded words, and a log of the present
version is brought to these words here, and nowhere else.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class RecordedForm:
    """What recordings call an event of the log.

    Attributes:
        event: The event's name in recordings.
        fields: The names of its fields in the present log, where recordings have others, and those.
    """

    event: str
    fields: Mapping[str, str] = field(default_factory=dict)


# The present names of events, and what recordings call them.
RECORDED_EVENTS = {
    "accepted": RecordedForm(
        "taken",
        {
            "class_name": "cls",
            "destination": "dest",
            "number": "n",
            "size_bytes": "size",
            "time_left_ms": "for_ms",
        },
    ),
    "attempt": RecordedForm(
        "branch",
        {
            "number": "n",
            "endpoint": "hop",
            "outcome": "verdict",
            "elapsed_us": "took_us",
            "retry_after_us": "wait_us",
        },
    ),
    "final_result": RecordedForm("final", {"retry_after_ms": "after_ms"}),
    "health_check": RecordedForm("probe", {"endpoint": "hop", "outcome": "verdict"}),
    "recovered": RecordedForm("recovered", {"open": "held", "notifications": "notices"}),
    "handover_received": RecordedForm(
        "inherited", {"open": "held", "notifications": "notices", "in_flight": "out"}
    ),
    "stopping": RecordedForm("stopping", {"open": "held", "in_flight": "out"}),
    "endpoint_list": RecordedForm("list", {"endpoints": "hops"}),
    "endpoint_disabled": RecordedForm("endpoint_out", {"endpoint": "hop", "disabled": "out"}),
    "endpoint_enabled": RecordedForm("endpoint_back", {"endpoint": "hop", "disabled": "out"}),
}
# The present names of outcomes and endpoint states, and what recordings call them.
RECORDED_OUTCOMES = {"OVERLOADED": "FULL", "NOT_SENT": "MOOT"}
RECORDED_STATES = {"REMOVED": "GONE"}


def recorded(event: Any) -> Any:
    """Return a log event with its names as recordings have them; what is no event comes back unchanged."""
    if not isinstance(event, dict):
        return event
    form = RECORDED_EVENTS.get(str(event.get("event")))
    if form is not None:
        event = {form.fields.get(name, name): value for name, value in event.items()} | {"event": form.event}
    if "verdict" in event:
        event["verdict"] = RECORDED_OUTCOMES.get(event["verdict"], event["verdict"])
    if event.get("event") == "list" and isinstance(event.get("hops"), dict):
        event["hops"] = {hop: RECORDED_STATES.get(state, state) for hop, state in event["hops"].items()}
    return event
