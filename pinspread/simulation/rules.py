"""The checker of the six rules. It watches decisions and answers, and shares no state with the module.

| rule   | what it says                                                                              |
| ------ | ----------------------------------------------------------------------------------------- |
| final  | a message that was taken on has exactly one final answer in time                            |
| repeat | what may have run is repeated only as its class permits; never two at once; at most 6        |
| drain  | nothing to an endpoint 250 ms after it was told to drain or go, nor to another partner's     |
| cold   | a returning partner is not pushed over by couriers that saw it fail                          |
| wait   | nothing to a partner while a wait that it told this courier runs                             |
| order  | messages of a key go one at a time, as they were taken                                       |
"""

from pinspread.policy.events import Outcome
from pinspread.policy.settings import Idempotency
from pinspread.simulation.engine import MS, SECOND

RULES = ("final", "repeat", "drain", "cold", "wait", "order")
ANSWER_SLACK_NS = 300 * MS
READY_SLACK_NS = 1500 * MS
DRAIN_GRACE_NS = 250 * MS
BLAMED = 2 / 3  # share of what pushed a partner over that came from couriers that knew
KEPT = 200  # breaks that are listed; all are counted
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Entry:
    """What the checker knows of one message at one courier."""

    __slots__ = ("cls", "deadline_ns", "dest", "ended", "key", "may_have_run_ns", "out", "sends")

    def __init__(self, cls, dest, key, deadline_ns):
        self.cls, self.dest, self.key, self.deadline_ns = cls, dest, key, deadline_ns
        self.sends = 0
        self.out = False
        self.may_have_run_ns = 0
        self.ended = False


class RuleChecker:
    """Notes each break with its rule, time and reason."""

    def __init__(self, classes, max_attempts):
        self.classes = classes  # interface.TrafficClass, in their order
        self.max_attempts = max_attempts
        self.counts = dict.fromkeys(RULES, 0)
        self.breaks = []
        self.messages = {}  # (courier, request) -> Entry, those not over
        self.keys = {}  # (courier, key) -> entries in the order taken, those not over
        self.waits = {}  # (courier, dest) -> until when
        self.drains = {}  # (courier, endpoint) -> since when it is not to be used
        self.ready_ns = {}  # courier -> when it was last ready; absent: from the start

    def broke(self, rule, now, courier, why):
        """Note a break."""
        self.counts[rule] += 1
        if len(self.breaks) < KEPT:
            self.breaks.append({"rule": rule, "at_s": round(now / SECOND, 3), "courier": courier, "why": why})

    # --- what happens ------------------------------------------------------------------------------

    def taken(self, courier, request, cls, dest, key, deadline_ns):
        """A courier has taken a message on."""
        key = key if self.classes[cls].in_order else 0
        entry = self.messages[courier, request] = Entry(cls, dest, key, deadline_ns)
        if key:
            self.keys.setdefault((courier, key), []).append(entry)

    def listed(self, courier, now, endpoint, usable):
        """A courier was told of an endpoint."""
        if usable:
            self.drains.pop((courier, endpoint), None)
        else:
            self.drains.setdefault((courier, endpoint), now)

    def cut(self, courier, request, sent_ns):
        """A courier's process ended while this attempt was out and written: it may have run."""
        entry = self.messages[courier, request]
        entry.may_have_run_ns = entry.may_have_run_ns or sent_ns

    def started(self, courier, now):
        """A courier is ready again: told waits and attempts ended with its process."""
        self.ready_ns[courier] = now
        self.waits = {k: v for k, v in self.waits.items() if k[0] != courier}
        for (who, _), entry in self.messages.items():
            if who == courier:
                entry.out = False

    def sent(self, courier, now, request, endpoint, dest):
        """The module sends a message to an endpoint of a partner; `dest` is that endpoint's."""
        entry = self.messages.get((courier, request))
        if entry is None:
            self.broke("final", now, courier, f"sends message {request}, which is over")
            return
        rule = self.classes[entry.cls]
        if entry.out:
            self.broke("repeat", now, courier, f"a second live attempt for message {request}")
        if entry.sends >= self.max_attempts:
            self.broke("repeat", now, courier, f"attempt {entry.sends + 1} for message {request}")
        if entry.may_have_run_ns and rule.effect is Idempotency.NOT_IDEMPOTENT:
            self.broke("repeat", now, courier, f"message {request} may have run, and must not twice")
        if (
            entry.may_have_run_ns
            and rule.effect is Idempotency.WITH_KEY
            and now >= entry.may_have_run_ns + rule.deduplication_window_ns
        ):
            self.broke("repeat", now, courier, f"message {request} again after its window")
        if dest != entry.dest:
            self.broke("drain", now, courier, f"message {request} to an endpoint of partner {dest}")
        since = self.drains.get((courier, endpoint))
        if since is not None and now > since + DRAIN_GRACE_NS:
            self.broke(
                "drain",
                now,
                courier,
                f"to endpoint {endpoint}, {(now - since) // MS} ms after its end was told",
            )
        if self.waits.get((courier, entry.dest), 0) > now:
            self.broke("wait", now, courier, f"to partner {entry.dest} while its wait runs")
        if entry.key:
            for other in self.keys[courier, entry.key]:
                if other is entry:
                    break
                if other.out or not other.ended:
                    self.broke("order", now, courier, f"message {request} ahead of an earlier one of its key")
                    break
        entry.sends += 1
        entry.out = True

    def outcome(self, courier, now, request, verdict, sent_ns, wait_ns, dest, done):
        """The module hears how an attempt ended."""
        if wait_ns:
            self.waits[courier, dest] = max(self.waits.get((courier, dest), 0), now + wait_ns)
        entry = self.messages.get((courier, request))
        if entry is None:
            return
        entry.out = False
        if verdict not in NEVER_RAN and not entry.may_have_run_ns:
            entry.may_have_run_ns = sent_ns
        if done or entry.ended:
            self._over(courier, request, entry)

    def probed(self, courier, now, endpoint, dest):
        """The module sends a probe."""
        if self.waits.get((courier, dest), 0) > now:
            self.broke("wait", now, courier, f"a probe to partner {dest} while its wait runs")

    def final(self, courier, now, request, refused):
        """The module gives a final answer: refused or failed."""
        entry = self.messages.get((courier, request))
        if entry is None or entry.ended:
            self.broke("final", now, courier, f"a second final answer for message {request}")
            return
        if refused and entry.may_have_run_ns and self.classes[entry.cls].effect is Idempotency.NOT_IDEMPOTENT:
            self.broke("repeat", now, courier, f"message {request} refused though it may have run")
        entry.ended = True
        self._in_time(courier, now, request, entry)
        if not entry.out:
            self._over(courier, request, entry)

    def delivered(self, courier, now, request):
        """A 200 came for a message that is open."""
        entry = self.messages.get((courier, request))
        if entry is not None and not entry.ended:
            entry.ended = True
            self._in_time(courier, now, request, entry)

    def destination_collapsed(self, dest, now, informed, all_):
        """A cold partner was pushed over."""
        if informed >= BLAMED * all_:
            self.broke(
                "cold",
                now,
                -1,
                f"partner {dest} fell over: {informed} of {all_} calls from couriers that knew",
            )

    def close(self, now, up):
        """The run is over: what is overdue was lost. `up` are the couriers that run."""
        for (courier, request), entry in sorted(self.messages.items()):
            ready = self.ready_ns.get(courier, 0)
            if not entry.ended and courier in up and now > max(entry.deadline_ns, ready) + READY_SLACK_NS:
                self.broke("final", entry.deadline_ns, courier, f"message {request} never had a final answer")

    # --- what follows ------------------------------------------------------------------------------

    def _in_time(self, courier, now, request, entry):
        ready = self.ready_ns.get(courier)
        due = entry.deadline_ns + ANSWER_SLACK_NS
        if ready is not None:
            due = max(due, ready + READY_SLACK_NS)
        if now > due:
            late = (now - entry.deadline_ns) // MS
            self.broke("final", now, courier, f"message {request} answered {late} ms after its time")

    def _over(self, courier, request, entry):
        entry.ended = True
        self.messages.pop((courier, request), None)
        if entry.key:
            line = self.keys[courier, entry.key]
            line.remove(entry)
            if not line:
                del self.keys[courier, entry.key]
