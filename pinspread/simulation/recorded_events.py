"""Conversion of log events to the names in recorded logs and traces, whichever version wrote the log.

Recordings outlive the names of events and fields in the code. Code that reads logs therefore uses the
recorded names, and only this module converts events of the current version to them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class RecordedForm:
    """The names of a log event and of its fields in recordings.

    Attributes:
        event: The event's name in recordings.
        fields: Recorded name by current name, for the fields whose names differ.
    """

    event: str
    fields: Mapping[str, str] = field(default_factory=dict)


# Recorded form by the current name of an event.
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
# Recorded name by current name of outcomes and of endpoint states.
RECORDED_OUTCOMES = {"OVERLOADED": "FULL", "NOT_SENT": "MOOT"}
RECORDED_STATES = {"REMOVED": "GONE"}


def recorded(event: Any) -> Any:
    """Return a log event under its recorded names; a value that is not an event is returned unchanged."""
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
