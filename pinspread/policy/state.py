"""What a sender remembers: messages, calls, limits, endpoints, destinations. No decisions."""

from pinspread.policy.events import EndpointState


class QueuedMessage:
    """A message that is held or out."""

    __slots__ = (
        "attempts",
        "class_index",
        "deadline_ns",
        "destination",
        "due_ns",
        "failures",
        "key",
        "may_have_run_ns",
        "may_have_run_zone",
        "most",
        "out",
        "ready_ns",
        "request",
        "traffic_class",
        "taken_ns",
        "tenant",
    )

    def __init__(self, event, traffic_class, destination, now):
        self.request = event.request
        self.class_index = event.class_index
        self.traffic_class = traffic_class  # the settings of its class
        self.destination = destination
        self.tenant = event.tenant
        self.key = event.key if traffic_class.in_order else 0
        self.deadline_ns = event.deadline_ns
        self.taken_ns = now
        self.ready_ns = now  # its backoff runs until then
        self.due_ns = 1 << 62  # from then on it waits for no pace of this sender's own; owed since a restart
        self.most = 0  # attempts that it may have
        self.attempts = 0
        self.failures = 0
        self.out = False
        self.may_have_run_ns = 0  # when the earliest attempt was sent that may have run; 0: none
        self.may_have_run_zone = 0

    def may_repeat_until_ns(self):
        """When the destination stops dropping repeats of a keyed message that may have run."""
        return self.may_have_run_ns + self.traffic_class.deduplication_window_ns


class Call:
    """One call that is out: one slot, one fate, one message or a bundle."""

    __slots__ = ("endpoint", "fresh", "left", "sent_ns")

    def __init__(self, endpoint, now):
        self.endpoint = endpoint
        self.sent_ns = now
        self.left = 0
        self.fresh = True  # no outcome has come yet


class RateLimiter:
    """A limit that endpoints share: told and untold waits, and a pace. One a destination, or one a route."""

    __slots__ = (
        "left",
        "limit",
        "next_ns",
        "rate",
        "refusals",
        "refused_ns",
        "refused_since_ns",
        "told_ns",
        "wait_ns",
    )

    def __init__(self):
        self.told_ns = 0
        self.wait_ns = 0
        self.refusals = 0
        self.refused_since_ns = 0
        self.refused_ns = 0
        self.rate = 0.0  # calls a second; 0: no refusal has set a pace
        self.limit = 0.0  # the limit for all senders together, as told in answers; 0: not told
        self.left = 1.0  # the share of it that was left then
        self.next_ns = 0


class TrackedEndpoint:
    """What one endpoint has shown: list state, outcomes, latencies, delivered rate."""

    __slots__ = (
        "answered_ns",
        "base",
        "calls",
        "cold_ns",
        "count",
        "counted_ns",
        "destination",
        "dev_ns",
        "doubt",
        "down",
        "errors",
        "failed",
        "first_ns",
        "gone_ns",
        "heard_ns",
        "id",
        "kind",
        "line",
        "mean_ns",
        "next_ns",
        "probed",
        "probing",
        "rank",
        "served_ns",
        "stretch",
        "trial_ns",
        "trials",
        "usable",
        "weight",
        "zone",
    )

    def __init__(self, entry, destination, line, now, rank):
        self.id = entry.endpoint
        self.destination = destination
        self.line = line
        self.usable = False
        self.calls = {}  # calls out, oldest first
        self.mean_ns = 0.0
        self.dev_ns = 0.0
        self.stretch = 1.0
        self.heard_ns = now
        self.first_ns = now
        self.served_ns = 0  # when the last success came
        self.answered_ns = 0  # when the newest call was sent that succeeded
        self.count = 0.0  # successes, fading
        self.counted_ns = now
        self.doubt = 0.0
        self.down = False
        self.errors = 0  # failures since its last success that were more than a time-out or a reset
        self.failed = False  # its latest outcome was a failure
        self.trials = 0
        self.trial_ns = 0
        self.probing = False
        self.probed = False
        self.cold_ns = 0  # since when it is taken to be cold; 0: it is not
        self.base = 0.0  # the most delivered there lately, calls a second
        self.next_ns = 0
        self.gone_ns = 0  # since when the list does not have it any more; 0: it has
        self.rank = rank  # this sender's order among endpoints that are as good
        self.update(entry)

    def update(self, entry):
        """Take over what the list says."""
        self.zone = entry.zone
        self.kind = entry.kind
        self.weight = entry.weight
        self.usable = entry.state is EndpointState.READY


class Destination:
    """A destination: its bucket, its endpoints, its queue."""

    __slots__ = ("calls_out", "endpoints", "line", "number", "queue", "retries_out", "served", "tokens")

    def __init__(self, number, tokens):
        self.number = number
        self.endpoints = {}
        self.line = RateLimiter()
        self.queue = {}  # messages held for it, in order of arrival
        self.tokens = tokens
        self.retries_out = 0
        self.calls_out = 0
        self.served = 0  # number of the turn in which it last got a slot
