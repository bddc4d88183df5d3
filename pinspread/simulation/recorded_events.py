"""Log events in the words of recorded logs and traces, whichever version of the program wrote them.

Recordings outlive names in the code: what reads them uses the recorded words, and a log of the present version is
brought to these words here, and nowhere else.
"""

# The present names of outcomes and endpoint states, and what recordings call them.
RECORDED_OUTCOMES = {"OVERLOADED": "FULL", "NOT_SENT": "MOOT"}
RECORDED_STATES = {"REMOVED": "GONE"}
# The present names of events, and what recordings call them and their fields.
RECORDED_EVENTS = {"endpoint_list": "list"}
RECORDED_FIELDS = {"endpoint_list": {"endpoints": "hops"}}


def recorded(event):
    """Return a log event with its names as recordings have them; what is no event comes back unchanged."""
    if not isinstance(event, dict):
        return event
    name = event.get("event")
    if isinstance(name, str) and name in RECORDED_EVENTS:
        fields = RECORDED_FIELDS[name]
        event = {fields.get(field, field): value for field, value in event.items()}
        event["event"] = RECORDED_EVENTS[name]
    if "verdict" in event:
        event["verdict"] = RECORDED_OUTCOMES.get(event["verdict"], event["verdict"])
    if event.get("event") == "list" and isinstance(event.get("hops"), dict):
        event["hops"] = {hop: RECORDED_STATES.get(state, state) for hop, state in event["hops"].items()}
    return event
