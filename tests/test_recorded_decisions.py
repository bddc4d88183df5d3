"""Recorded decisions: senders replay streams of events and must give the same actions, turn by turn.

Each file of `tests/data/decisions/` is the life of one sender, gzipped text in a neutral form that names no
type or field of the package. First line: a JSON array of the seed and the settings' row. Then a line a turn,
three fields parted by tabs: nanoseconds since the turn before, the events as a JSON array of rows, the
actions as one. Last line: a digest of the state of the sender's random generator, so that draws which led to
no action count too. A row is an array: a code as on the simulator's wire (`pinspread/wire.py`; 0 stands for
other settings), then values by position.

`benchmarks/record_decisions.py` makes the files. They are not made anew to get a pass: a difference is a
change of what the software decides, which has to be meant and argued.
"""

import gzip
import hashlib
import json
from pathlib import Path

import pytest

from pinspread import interface as api
from pinspread.decide import Sender

RECORDINGS = Path(__file__).parent / "data" / "decisions"

# --- adapter: the only part that names the package's types and fields -------------------------------
# Tables give, for each code or nested record, the present type and its fields in the order of the row.


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
    """A field that is a row of its own; null where there is none."""

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

    def __init__(self, one):
        self.one = one

    def read(self, rows):
        return [self.one.read(row) for row in rows]

    def write(self, values):
        return [self.one.write(value) for value in values]


FLAG = Coded((0, False), (1, True))
EFFECT = Coded((0, api.Effect.REPEATABLE), (1, api.Effect.BY_KEY), (2, api.Effect.ONCE))
GROUP = Coded((0, api.Group.ALL), (1, api.Group.ZONE), (2, api.Group.CELL))
SCOPE = Coded(
    (0, api.ListScope.DELTA), (1, api.ListScope.FULL), (2, api.ListScope.CACHED), (3, api.ListScope.FAILED)
)
STATE = Coded((0, api.ListState.GONE), (1, api.ListState.DRAINING), (2, api.ListState.READY))
VERDICT = Coded(
    (0, api.Verdict.OK),
    (249, api.Verdict.MOOT),
    (250, api.Verdict.CANCELLED),
    (251, api.Verdict.RESET),
    (252, api.Verdict.CONNECT_FAILED),
    (253, api.Verdict.TIMEOUT),
    (254, api.Verdict.FULL),
    (255, api.Verdict.ERROR),
)
CLASS = Record(
    api.TrafficClass,
    "aim_ns",
    "deadline_ns",
    ("effect", EFFECT),
    ("group", GROUP),
    "window_ns",
    "late_share",
    "worth",
    ("in_order", FLAG),
)
SETTINGS = Record(
    api.Settings,
    ("classes", Several(CLASS)),
    ("kinds", Several(Record(api.Kind, ("routes_apart", FLAG), "bundle_max"))),
    "calls_out",
    "most_held",
    "max_attempts",
    ("tenants", Several(Record(api.Tenant, "quota_per_s", "share"))),
    "senders",
    "zone",
    "over_share_worth",
    ("halves", FLAG),
    ("weights_known", FLAG),
    ("weights_exact", FLAG),
    ("may_probe", FLAG),
    ("may_cancel", FLAG),
    ("may_tell_wait", FLAG),
    "max_come_back_ns",
    "streams_per_connection",
    "keepalive_ns",
    "drain_grace_ns",
    "cold_from",
    "cold_ns",
    "tip_multiple",
    "order_pause_ns",
    ("list_on_request", FLAG),
    "must_ask_in_ns",
    "handshake_price",
    "crossing_price",
    "zone_fees",
)
ENTRY = Record(
    api.ListEntry, "endpoint", "destination", "zone", "kind", ("state", STATE), "weight", ("cold", FLAG)
)
EVENTS = {
    0: Record(api.SettingsChanged, ("settings", SETTINGS)),
    1: Record(api.ListChanged, ("scope", SCOPE), ("entries", Several(ENTRY))),
    2: Record(
        api.MessageTaken,
        "request",
        "cls",
        "destination",
        "deadline_ns",
        "key",
        "tenant",
        "attempts",
        "may_run_ns",
        "may_run_zone",
        ("rule", CLASS),
        ("owed", FLAG),
        "max_attempts",
    ),
    4: Record(
        api.AttemptEnded,
        "request",
        "attempt",
        "endpoint",
        ("verdict", VERDICT),
        "elapsed_ns",
        ("done", FLAG),
        "wait_ns",
        "allowance_left",
        "limit_per_s",
        ("opened", FLAG),
        ("unsent", FLAG),
    ),
    5: Record(api.ClientGone, "request"),
    6: Record(api.TimerDue, "tag"),
    7: Record(api.ProbeEnded, "endpoint", ("verdict", VERDICT), "elapsed_ns", "wait_ns"),
}
ACTIONS = {
    1: Record(api.Send, "request", "endpoint", "timeout_ns"),
    2: Record(api.Subscribe),
    4: Record(api.Probe, "endpoint"),
    6: Record(api.Refuse, "request", "come_back_ns"),
    8: Record(api.SetTimer, "tag", "delay_ns"),
    10: Record(api.Fail, "request"),
    11: Record(api.Disconnect, "endpoint"),
}


def new_sender(settings_row, seed):
    """A sender with these settings."""
    return Sender(SETTINGS.read(settings_row), seed)


def play_turn(sender, now_ns, event_rows):
    """Hand a turn's events to a sender; the rows of its actions."""
    events = [EVENTS[row[0]].read(row[1:]) for row in event_rows]
    return rows_of(ACTIONS, sender.handle(now_ns, events))


def random_digest(sender):
    """A digest of the state of the sender's random generator."""
    return hashlib.sha256(repr(sender.random.getstate()).encode()).hexdigest()[:16]


# --- end of the adapter ---------------------------------------------------------------------------


def rows_of(table, items):
    """The rows of events or actions."""
    codes = {record.kind: code for code, record in table.items()}
    return [[codes[type(item)], *table[codes[type(item)]].write(item)] for item in items]


def text(value):
    """JSON without spaces: numbers keep their type, floats every digit."""
    return json.dumps(value, separators=(",", ":"))


def load(path):
    """A stream's seed, settings row, turns (time, event rows, text of the actions) and digest."""
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
        one = expected[n] if n < len(expected) else "nothing"
        other = found[n] if n < len(found) else "nothing"
        if text(one) != text(other):
            return f"action {n}: recorded {one}, now {other}"
    return "the same actions, written otherwise"


def replay(name):
    """Replay one stream and assert that every turn and the last random state are as recorded."""
    seed, settings_row, turns, digest = load(RECORDINGS / f"{name}.gz")
    sender = new_sender(settings_row, seed)
    for n, (now, events, expected) in enumerate(turns):
        found = play_turn(sender, now, events)
        if text(found) != expected:
            difference = first_difference(json.loads(expected), found)
            raise AssertionError(f"stream {name}, turn {n} at {now} ns: {difference}; events {events}")
    assert random_digest(sender) == digest, f"stream {name}: other draws were made than recorded"


NAMES = sorted(path.name.removesuffix(".gz") for path in RECORDINGS.glob("*.gz"))


def test_there_are_recordings():
    assert len(NAMES) >= 40


@pytest.mark.parametrize("name", NAMES)
def test_sender_decides_as_recorded(name):
    replay(name)
