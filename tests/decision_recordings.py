"""The format of recorded decisions, and the replay that compares them with those of the present policy.

Each file of `tests/data/decisions/` has all turns of one sender, as gzipped text in a neutral form that names
no type or field of the package. The first line is a JSON array of the seed and the settings' row. Then each
turn is a line of three fields separated by tabs: the nanoseconds since the turn before, the events as a JSON
array of rows, and the actions as another. The last line is a digest of the state of the sender's random
generator, so that draws that led to no action are compared too. A row is an array: a code as on the
simulator's wire (`pinspread/simulator_wire/`; 0 stands for changed settings), then values by position. The
codes are repeated here on purpose: a change of the wire must not change how a recording is read.

`tests/test_recorded_decisions.py` replays the files, `benchmarks/record_decisions.py` writes them.
"""

import gzip
import hashlib
import json
from pathlib import Path

from pinspread.policy.actions import CheckHealth, Disconnect, Fail, Reject, Send, SetTimer, Subscribe
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.events import (
    AttemptCompleted,
    ClientCancelled,
    EndpointEntry,
    EndpointsChanged,
    EndpointState,
    HealthCheckCompleted,
    MessageAccepted,
    Outcome,
    SettingsChanged,
    TimerFired,
    UpdateScope,
)
from pinspread.policy.settings import (
    DeduplicationScope,
    DestinationKind,
    Idempotency,
    Settings,
    Tenant,
    TrafficClass,
)

RECORDINGS = Path(__file__).parent / "data" / "decisions"

# --- adapter: the only part that names the package's types and fields -------------------------------
# The tables give, for each code or nested record, its type and the fields in the order of the row.


class Coded:
    """A field whose value is written as a number."""

    def __init__(self, *pairs):
        self.members = dict(pairs)
        self.codes = {member: code for code, member in pairs}

    def read(self, value):
        return self.members[value]

    def write(self, value):
        return self.codes[value]


class Record:
    """A field that is a nested row, or null for None."""

    def __init__(self, kind, *fields):
        self.kind = kind
        self.fields = [field if isinstance(field, tuple) else (field, None) for field in fields]

    def read(self, row):
        if row is None:
            return None
        found = {}
        for (name, codec), value in zip(self.fields, row, strict=True):
            found[name] = codec.read(value) if codec else value
        return self.kind(**found)

    def write(self, value):
        if value is None:
            return None
        return [
            codec.write(getattr(value, name)) if codec else getattr(value, name)
            for name, codec in self.fields
        ]


class Several:
    """A field that is a list of rows."""

    def __init__(self, row_type):
        self.row_type = row_type

    def read(self, rows):
        return [self.row_type.read(row) for row in rows]

    def write(self, values):
        return [self.row_type.write(value) for value in values]


FLAG = Coded((0, False), (1, True))
EFFECT = Coded((0, Idempotency.IDEMPOTENT), (1, Idempotency.WITH_KEY), (2, Idempotency.NOT_IDEMPOTENT))
GROUP = Coded((0, DeduplicationScope.ALL), (1, DeduplicationScope.ZONE), (2, DeduplicationScope.CELL))
SCOPE = Coded((0, UpdateScope.DELTA), (1, UpdateScope.FULL), (2, UpdateScope.CACHED), (3, UpdateScope.FAILED))
STATE = Coded((0, EndpointState.REMOVED), (1, EndpointState.DRAINING), (2, EndpointState.READY))
OUTCOME = Coded(
    (0, Outcome.OK),
    (249, Outcome.NOT_SENT),
    (250, Outcome.CANCELLED),
    (251, Outcome.RESET),
    (252, Outcome.CONNECT_FAILED),
    (253, Outcome.TIMEOUT),
    (254, Outcome.OVERLOADED),
    (255, Outcome.ERROR),
)
CLASS = Record(
    TrafficClass,
    "latency_objective_ns",
    "deadline_ns",
    ("effect", EFFECT),
    ("group", GROUP),
    "deduplication_window_ns",
    "late_value_share",
    "priority_weight",
    ("in_order", FLAG),
)
SETTINGS = Record(
    Settings,
    ("classes", Several(CLASS)),
    ("kinds", Several(Record(DestinationKind, ("limits_per_endpoint", FLAG), "max_bundle_size"))),
    "max_concurrent_calls",
    "max_held_messages",
    "max_attempts",
    ("tenants", Several(Record(Tenant, "quota_per_s", "share"))),
    "senders",
    "zone",
    "over_quota_weight",
    ("value_halves", FLAG),
    ("weights_known", FLAG),
    ("weights_exact", FLAG),
    ("health_checks_allowed", FLAG),
    ("cancellation_allowed", FLAG),
    ("retry_after_allowed", FLAG),
    "max_retry_after_ns",
    "streams_per_connection",
    "keepalive_ns",
    "drain_grace_ns",
    "slow_start_fraction",
    "slow_start_ns",
    "overload_multiple",
    "ordering_pause_ns",
    ("polled_discovery", FLAG),
    "max_poll_interval_ns",
    "handshake_price",
    "cross_zone_price",
    "zone_fees",
)
ENTRY = Record(
    EndpointEntry, "endpoint", "destination", "zone", "kind", ("state", STATE), "weight", ("cold", FLAG)
)
EVENTS = {
    0: Record(SettingsChanged, ("settings", SETTINGS)),
    1: Record(EndpointsChanged, ("scope", SCOPE), ("entries", Several(ENTRY))),
    2: Record(
        MessageAccepted,
        "request",
        "class_index",
        "destination",
        "deadline_ns",
        "key",
        "tenant",
        "attempts",
        "may_have_run_ns",
        "may_have_run_zone",
        ("traffic_class", CLASS),
        ("recovered", FLAG),
        "max_attempts",
    ),
    4: Record(
        AttemptCompleted,
        "request",
        "attempt",
        "endpoint",
        ("outcome", OUTCOME),
        "elapsed_ns",
        ("done", FLAG),
        "retry_after_ns",
        "limit_remaining",
        "limit_per_s",
        ("opened", FLAG),
        ("unsent", FLAG),
    ),
    5: Record(ClientCancelled, "request"),
    6: Record(TimerFired, "tag"),
    7: Record(HealthCheckCompleted, "endpoint", ("outcome", OUTCOME), "elapsed_ns", "retry_after_ns"),
}
ACTIONS = {
    1: Record(Send, "request", "endpoint", "timeout_ns"),
    2: Record(Subscribe),
    4: Record(CheckHealth, "endpoint"),
    6: Record(Reject, "request", "retry_after_ns"),
    8: Record(SetTimer, "tag", "delay_ns"),
    10: Record(Fail, "request"),
    11: Record(Disconnect, "endpoint"),
}


def new_sender(settings_row, seed):
    """A sender with these settings."""
    return DeliveryPolicy(SETTINGS.read(settings_row), seed)


def play_turn(sender, now_ns, event_rows):
    """Hand a turn's events to a sender; return the rows of its actions."""
    events = [EVENTS[row[0]].read(row[1:]) for row in event_rows]
    return rows_of(ACTIONS, sender.handle(now_ns, events))


def random_digest(sender):
    """A digest of the state of the sender's random generator."""
    return hashlib.sha256(repr(sender.context.random.getstate()).encode()).hexdigest()[:16]


# --- end of the adapter ---------------------------------------------------------------------------


def rows_of(table, items):
    """The rows of events or actions."""
    codes = {record.kind: code for code, record in table.items()}
    return [[codes[type(item)], *table[codes[type(item)]].write(item)] for item in items]


def text(value):
    """JSON without spaces; numbers keep their type, and floats all digits."""
    return json.dumps(value, separators=(",", ":"))


def load(path):
    """A recording's seed, settings row, turns (time, event rows, text of the actions) and digest."""
    first, *lines, digest = gzip.decompress(path.read_bytes()).decode().splitlines()
    seed, settings_row = json.loads(first)
    turns, now = [], 0
    for line in lines:
        step, events, actions = line.split("\t")
        now += int(step)
        turns.append((now, json.loads(events), actions))
    return seed, settings_row, turns, digest


def first_difference(expected, found):
    """The first action that differs, for the message of a failed test."""
    for n in range(max(len(expected), len(found))):
        recorded = expected[n] if n < len(expected) else "nothing"
        present = found[n] if n < len(found) else "nothing"
        if text(recorded) != text(present):
            return f"action {n}: recorded {recorded}, now {present}"
    return "the same actions, written differently"


def replay(name):
    """Replay a recording and check that each turn's actions and the last random state are as recorded."""
    seed, settings_row, turns, digest = load(RECORDINGS / f"{name}.gz")
    sender = new_sender(settings_row, seed)
    for n, (now, events, expected) in enumerate(turns):
        found = play_turn(sender, now, events)
        if text(found) != expected:
            difference = first_difference(json.loads(expected), found)
            raise AssertionError(f"stream {name}, turn {n} at {now} ns: {difference}; events {events}")
    if random_digest(sender) != digest:
        raise AssertionError(f"stream {name}: the random numbers drawn are not those recorded")
