"""The decisions of pinspread. Settings, events and actions are in pinspread/policy/settings.py.

Per destination, a token bucket that failed retries drain and successes refill bounds retries; retries wait
by jittered exponential backoff; first attempts go out; freed slots go in turns, fewest calls out first.
docs/design.md says what was kept of the design, what was added, and when each addition acts.
"""

import random
from collections import deque
from heapq import heappop, heappush
from math import exp, sqrt

from pinspread.policy import events
from pinspread.policy.actions import CheckHealth, Disconnect, Fail, Reject, Send, SetTimer, Subscribe
from pinspread.policy.events import EndpointState, Outcome, UpdateScope
from pinspread.policy.settings import DeduplicationScope, Idempotency
from pinspread.policy.state import Call, Destination, QueuedMessage, RateLimiter, TrackedEndpoint

MS = 1_000_000
SECOND = 1_000 * MS
NEVER = 1 << 62  # later than any time of the clock
MAY_HAVE_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.ERROR)

# The design's own figures.
BUCKET_CAP = 10.0  # tokens of a new destination, and the most it can have
RETRY_COST = 1.0  # what a failed retry takes
REFILL = 0.1  # what a successful call brings: ten make a token
BACKOFF_BASE_NS = 10 * MS  # a: the wait before the first retry, in the middle
BACKOFF_FACTOR = 4  # b: growth from retry to retry
JITTER = (0.5, 1.5)  # waits are scaled by a random factor from this range

# Ours.
LONGEST_WAIT_NS = SECOND  # trial calls and untold refusals of few senders: looks must not be rare
LOOKS = 0.3  # looks of all senders together, as a share of the calls usual there; half: 0.03 lower
PACE_GAIN = 0.08  # growth of a pace with each success
LITTLE_LEFT = 0.15  # told share of a limit under which a sender waits as after a refusal
USED_UP_PACE = 0.6  # share of the usual pace after a refusal by a limit that is used up
CLUMP_SHARE = 0.2  # a clump's pace: an even share of few senders, grown with the fleet by this power
CUT = 0.3  # a refusal cuts the pace of one of many senders to the fleet's size by this power
LEAST_RATE = 1.5  # calls a second that no pace falls under, so that recovery can be seen
RATE_SPAN_S = 8.0  # delivered rates are means over about this long
BASE_SPAN_S = 60.0  # what a destination once took fades this slowly: longer than outages and throttled times

DOUBT = 0.5  # share of failures, newest weighing most, from which an endpoint counts as out
CAUTION = 0.25  # share from which no unsafe message goes while another, or a probe, can find out
DOUBT_WEIGHT = 0.3  # weight of the newest outcome in it: two failures in a row suffice
SHUT_AFTER = 4  # refusals in a row, with no success, that may be a shut destination
SHUT_SPAN_NS = SECOND  # and for at least this long: a limit lets something through in that time
LATENCY_GAIN = 0.125  # weight of the newest latency in the mean, half of it again in the deviation
TIMEOUT_SPREAD = 4  # time-out: twice (mean + this many deviations)
LEAST_TIMEOUT_NS = SECOND  # no time-out under this: a jam must not turn into lost calls
LOST = 0.15  # slot time that goes to lost calls, as a share of answers', from which time-outs are as learned
LOST_GAIN = 0.05  # weight of the newest call in it
UNSAFE_STRETCH = 2.5  # longer time-outs of unsafe messages, which a time-out loses
CROWDED_STRETCH = 1.5  # and where half the slots are taken: what hangs must not take them all
MOST_TIMEOUT_NS = 3 * SECOND  # no time-out over this, unless an endpoint's mean latency is over half of it
MOST_STRETCH = 2.0  # growth of time-outs while they strike: slow is followed, hung does not eat slots
RESTS_KEPT = 256  # keys at rest that are kept before those rested are dropped
FEW = 4  # senders that need not mind their sum; more share idle connections and looks at outages
HOLD_SPARE = 0.05  # share of the places for held messages that is kept free for what comes in
LATELY_NS = 2 * SECOND  # since its last success, an endpoint with overdue calls may be looked at again
FEW_ERRORS = 3  # failures in a row, but for time-outs and resets, from which a short outage was one
SILENCE_NS = 300 * MS  # least silence, with calls out, that makes an endpoint doubtful
WEIGHT_TRUST = 0.67  # listed weights may be rough; what they promise is discounted
RAMP_SAFETY = 0.8  # share of the permitted push that a cold destination gets: arrivals vary by chance
SHORT_OUTAGE = 0.33  # share of the time to get warm: a silence shorter than this was no outage
LEAST_WORTH = 0.25  # share of its worth under which a refused message gives way to fresh ones
ASK_SPREAD = 0.3  # part of the time in which a sender must ask for the list over which first asks spread
ASK_AGAIN = 0.05  # and of which the wait after the first failed ask is made; it doubles up to ASK_SPREAD
LONG_TOLD_NS = 2500 * MS  # told waits above this are no limit's: the destination is shut
CROWDED = 0.1  # share of calls to a kind that are first failures to connect, from which tables are full
ROOMY = 0.015  # and under which they are not any more
LET_GO = 0.1  # share of the idle connections of very many senders that are closed, to learn of full tables
CROWD_GAIN = 0.12  # weight of the newest call in it, and of the newest refusal in what refusals tell
ROUTE_SPREAD = 0.3  # what fees and handshakes must outweigh: a limit's room, spread over senders by chance
DRAINED = 0.6  # share of a kind's refusals with little left of the limit, from which they count against it
GONE_KEPT_NS = 10 * SECOND  # what an endpoint taught stays for so long after it is gone, for its successor
MOOT_STEP = 2  # the step of the backoff after a probe or call that could not be sent: 160 ms in the middle
OWED_WAIT = 0.5  # share of its time left after which what a restart found untried waits for told waits only
CREEP = 1.0  # calls a second, over all senders, to a cold destination that nothing is known of


class DeliveryPolicy:
    """One sender: `handle` takes what happened and gives what to do. No I/O, no clock, no shared state."""

    def __init__(self, settings, seed):
        self.use(settings)
        self.random = random.Random(seed)
        self.destinations, self.endpoints = {}, {}
        self.messages = {}  # not yet ended
        self.attempts = {}  # (request, attempt) -> (message, call, was a retry)
        self.waiting = {}  # destinations with a queue, by their number
        self.expiry = []  # heap of (when a held message's time is over, its request)
        self.keys = {}  # key -> messages in the order taken
        self.rests = {}  # key -> until when it rests
        self.calls_out = self.turn = self.tag = self.now = 0
        self.timer_ns = self.wake_ns = NEVER
        self.actions = []
        self.ask_ns = NEVER  # when to ask for the list's changes
        self.asks = 0  # asks since the last good answer; the first may still be to come
        self.crowded = {}  # kind -> share of calls that were first failures to connect
        self.drained = {}  # kind -> share of refusals that came with little left of the limit
        self.closing = set()  # kinds whose tables of connections seem full
        self.lost = 0.0  # share of calls that got lost while later ones were answered
        self.tells_opened = False  # whether the caller knows which connections were opened for a call
        self.unused = {}  # endpoints whose last call out ended in this turn

    def use(self, settings):
        """Decide by these settings from now on; messages keep the rules that they came under."""
        self.settings = settings
        self.few = min(1.0, FEW / settings.senders)  # 1: few senders; the less of it, the more

    def handle(self, now_ns, batch):
        """Take the events of one turn and give the actions, in order."""
        self.now = now_ns
        self.actions, self.unused = [], {}
        for event in batch:
            kind = type(event)
            if kind is events.AttemptCompleted:
                self.on_outcome(event)
            elif kind is events.MessageAccepted:
                self.on_message(event)
            elif kind is events.TimerFired:
                if event.tag == self.tag:
                    self.timer_ns = NEVER
            elif kind is events.EndpointsChanged:
                self.on_list(event)
            elif kind is events.HealthCheckCompleted:
                self.on_probe(event)
            elif kind is events.ClientCancelled:
                self.end(self.messages.get(event.request))
            elif kind is events.SettingsChanged:
                self.use(event.settings)
            else:
                raise TypeError(f"unknown event {event!r}")
        if self.ask_ns <= now_ns:
            self.ask_ns = NEVER  # at most one call out: the next is set by its answer
            self.actions.append(Subscribe())
        self.set_timer(min(self.hand_out(), self.ask_ns))
        for endpoint in self.unused:
            if not endpoint.calls and not self.keeps_connections(endpoint):
                self.actions.append(Disconnect(endpoint.id))
        return self.actions

    def on_list(self, event):
        """Keep up with the list; an endpoint that drains or is gone gets nothing more from this turn on."""
        self.plan_ask(event.scope)
        if event.scope in (UpdateScope.FULL, UpdateScope.CACHED):
            for endpoint in self.endpoints.values():
                endpoint.usable = False
                endpoint.gone_ns = endpoint.gone_ns or self.now
        for entry in event.entries:
            endpoint = self.endpoints.get(entry.endpoint)
            if endpoint is None:
                if entry.state is EndpointState.REMOVED:
                    continue
                destination = self.destination(entry.destination)
                apart = self.settings.kind(entry.kind).limits_per_endpoint
                line = RateLimiter() if apart else destination.line
                endpoint = TrackedEndpoint(entry, destination, line, self.now, self.random.random())
                self.inherit(endpoint)
                line.rate = line.rate or self.most(endpoint) % NEVER
                self.endpoints[entry.endpoint] = destination.endpoints[entry.endpoint] = endpoint
            else:
                endpoint.update(entry)
                gone = entry.state is EndpointState.REMOVED
                endpoint.gone_ns = (endpoint.gone_ns or self.now) if gone else 0
                if entry.cold:
                    endpoint.cold_ns = self.now
                    endpoint.next_ns = self.ramp_next(endpoint, self.random.random())
        self.forget()

    def forget(self):
        """Drop endpoints that are gone once nothing is out there and what they taught has been passed on."""
        # Endpoints are replaced all day under new ids; each event would pass over all there ever were.
        kept_ns = max(self.settings.slow_start_ns, GONE_KEPT_NS)
        for endpoint in list(self.endpoints.values()):
            if not endpoint.gone_ns or self.now - endpoint.gone_ns <= kept_ns:
                continue
            heirs = any(e.usable for e in endpoint.destination.endpoints.values())
            busy = endpoint.calls or endpoint.probing or endpoint.line.told_ns > self.now
            if heirs and not busy:
                del self.endpoints[endpoint.id], endpoint.destination.endpoints[endpoint.id]

    def inherit(self, endpoint):
        """A new endpoint starts with what its destination has taught, and in the outage that it is in."""
        # Danger: an endpoint that replaces another during an outage, or in the time after, is news to all
        # senders in one instant; each sends what it held, and the destination is pushed over (rule 4). It
        # could hurt where an endpoint died alone and no other is left: its successor then starts with looks.
        others = endpoint.destination.endpoints.values()
        for other in others:
            endpoint.mean_ns = max(endpoint.mean_ns, other.mean_ns)
            endpoint.dev_ns = max(endpoint.dev_ns, other.dev_ns)
            endpoint.line.limit = endpoint.line.limit or other.line.limit
            if not other.usable:
                endpoint.base = max(endpoint.base, other.base)
        alike = [e for e in others if e.line is endpoint.line]
        if alike and not any(e.usable and not e.down for e in alike):
            for other in alike:
                if other.down and (other.usable or self.now - other.heard_ns < self.settings.slow_start_ns):
                    endpoint.down, endpoint.doubt = True, other.doubt
                    endpoint.trials = max(endpoint.trials, other.trials)
                    endpoint.trial_ns = max(endpoint.trial_ns, other.trial_ns)
        cold_ns = max((e.cold_ns for e in alike), default=0)
        if cold_ns:
            endpoint.cold_ns = cold_ns
            endpoint.next_ns = self.ramp_next(endpoint, self.random.random())

    def plan_ask(self, scope):
        """Where the list is not pushed: subscribe soon after the start, and again after whatever failed."""
        # Danger: who never asks is held to know of drains all the same (rule 3), and never sees what is new.
        # All senders may start in one instant, and the register takes few calls: asks are spread by chance.
        if not self.settings.polled_discovery:
            return
        span = self.settings.max_poll_interval_ns or SECOND / ASK_AGAIN
        if scope is UpdateScope.FAILED:
            wait = min(ASK_AGAIN * 2**self.asks, ASK_SPREAD) * self.random.uniform(*JITTER)
            self.asks = min(self.asks + 1, 20)
        elif scope is UpdateScope.CACHED:
            wait = ASK_SPREAD * self.random.random()
        else:
            self.asks = 0
            return
        self.ask_ns = self.now + int(span * wait)

    def destination(self, number):
        """The record of a destination, made at first sight."""
        if number not in self.destinations:
            self.destinations[number] = Destination(number, BUCKET_CAP)
        return self.destinations[number]

    def on_message(self, event):
        """Take a message: hold it for its destination, behind its key's earlier ones."""
        destination = self.destination(event.destination)
        traffic_class = event.traffic_class or self.settings.classes[event.class_index]
        message = QueuedMessage(event, traffic_class, destination, self.now)
        message.most = event.max_attempts or self.settings.max_attempts
        if event.recovered:
            message.due_ns = self.now + int(OWED_WAIT * (message.deadline_ns - self.now))
        self.messages[message.request] = message
        heappush(self.expiry, (message.deadline_ns, message.request))
        self.enqueue(message)
        if message.key:
            self.keys.setdefault(message.key, deque()).append(message)
        # Danger: a sender that restarts with what it had taken must not repeat what may have run (rule 2).
        message.attempts = message.failures = event.attempts
        message.may_have_run_ns, message.may_have_run_zone = event.may_have_run_ns, event.may_have_run_zone
        if message.may_have_run_ns and message.traffic_class.effect is Idempotency.WITH_KEY:
            heappush(self.expiry, (message.may_repeat_until_ns(), message.request))
        if event.attempts and not self.may_repeat(message, self.now):
            self.give_up(message)

    def on_outcome(self, event):
        """Book an attempt's outcome; then retry, give up, or be done."""
        message, call, retry = self.attempts.pop((event.request, event.attempt))
        destination = message.destination
        outcome, line = event.outcome, call.endpoint.line
        message.out = False
        call.left -= 1
        if call.left == 0:
            self.calls_out -= 1
            destination.calls_out -= 1
            del call.endpoint.calls[call]
            if not call.endpoint.calls:
                self.unused[call.endpoint] = True
        destination.retries_out -= retry
        if outcome is Outcome.OK:
            destination.tokens = min(BUCKET_CAP, destination.tokens + REFILL)
        elif retry and outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
            destination.tokens = max(0.0, destination.tokens - RETRY_COST)
        if event.limit_per_s > 0:
            line.limit, line.left = event.limit_per_s, event.limit_remaining
        if event.retry_after_ns:
            self.heed(call.endpoint, event.retry_after_ns)
        if call.fresh:
            call.fresh = False
            self.tells_opened |= event.opened
            full_table = outcome is Outcome.OVERLOADED and event.opened and not event.retry_after_ns
            if full_table and not line.refusals:
                self.crowd(call.endpoint.kind, True, 1 - self.few)
            self.observe(call.endpoint, outcome, event.elapsed_ns, call.sent_ns, event.retry_after_ns)
        unknown = outcome in MAY_HAVE_RUN
        if message.key and unknown and outcome is not Outcome.ERROR:
            # Danger: it may still be running, and a later message of its key would overtake it.
            if len(self.rests) > RESTS_KEPT:
                self.rests = {key: at for key, at in self.rests.items() if at > self.now}
            self.rests[message.key] = self.now + self.settings.ordering_pause_ns
        if unknown and not message.may_have_run_ns:
            message.may_have_run_ns, message.may_have_run_zone = call.sent_ns, call.endpoint.zone
            if message.traffic_class.effect is Idempotency.WITH_KEY:
                heappush(self.expiry, (message.may_repeat_until_ns(), message.request))
        if event.done or message.request not in self.messages:
            self.end(message)
            return
        self.enqueue(message)
        # Danger: a told wait or a key's notice that bars a call between choice and write would use up all
        # attempts within milliseconds, and the message would be given up with no call.
        message.most += event.unsent
        if event.unsent or outcome is not Outcome.NOT_SENT:
            message.ready_ns = self.now + self.backoff(MOOT_STEP if event.unsent else message.failures)
        message.failures += outcome is not Outcome.NOT_SENT
        at = max(self.now, message.ready_ns, line.told_ns, line.wait_ns, line.next_ns)
        # Danger: messages that are worth little any more crowd fresh ones out at a limit that is passed.
        least = LEAST_WORTH * message.traffic_class.priority_weight
        stale = outcome is Outcome.OVERLOADED and self.worth(message, at) < least
        if stale or not self.may_repeat(message, at):
            self.give_up(message)

    def heed(self, endpoint, retry_after_ns):
        """A wait was told, by a call or a probe: nothing goes to that line before it is over (rule 5)."""
        # The messages of a bundle share a fate, yet each may be told a longer wait.
        line = endpoint.line
        line.told_ns = max(line.told_ns, self.now + retry_after_ns)
        if retry_after_ns > LONG_TOLD_NS:
            # Danger: all who were told of a shutting come back in one instant, each with what it held,
            # and push over what opens cold (rule 4). The told end is taken as an outage's end.
            for sibling in self.siblings(endpoint):
                sibling.cold_ns = line.told_ns
                sibling.next_ns = self.ramp_next(sibling, self.random.random())

    def enqueue(self, message):
        """Hold a message for its destination."""
        message.destination.queue[message.request] = message
        self.waiting[message.destination.number] = message.destination

    def backoff(self, n):
        """The jittered wait before retry n of a message, or trial n of a destination."""
        return int(BACKOFF_BASE_NS * BACKOFF_FACTOR ** min(n, 20) * self.random.uniform(*JITTER))

    def may_repeat(self, message, at):
        """Whether another attempt at that time is in time, not one too many and harmless (rule 2)."""
        if at >= message.deadline_ns or message.attempts >= message.most:
            return False
        if not message.may_have_run_ns or message.traffic_class.effect is Idempotency.IDEMPOTENT:
            return True
        return message.traffic_class.effect is Idempotency.WITH_KEY and at < message.may_repeat_until_ns()

    def give_up(self, message):
        """Answer at once: refused where handing it in again is harmless, failed otherwise (rules 1 and 2)."""
        rule = message.traffic_class
        harmless = not message.may_have_run_ns or rule.effect is Idempotency.IDEMPOTENT
        if not harmless and rule.effect is Idempotency.WITH_KEY and rule.group is DeduplicationScope.ALL:
            harmless = self.now + self.settings.max_retry_after_ns < message.may_repeat_until_ns()
        if harmless:
            opens = self.opening(message.destination)
            wait_ns = min(max(opens - self.now, 0), self.settings.max_retry_after_ns)
            self.actions.append(Reject(message.request, wait_ns * self.settings.retry_after_allowed))
        else:
            self.actions.append(Fail(message.request))
        self.end(message)

    def end(self, message):
        """Forget an ended message; its key goes on once no attempt of it is out (rule 6)."""
        if message is None:
            return
        self.messages.pop(message.request, None)
        message.destination.queue.pop(message.request, None)
        if message.key and not message.out:
            line = self.keys[message.key]
            line.remove(message)
            if not line:
                del self.keys[message.key]

    def observe(self, endpoint, outcome, elapsed_ns, sent_ns, retry_after_ns):
        """Fold a call's or a probe's outcome into waits, pace and health."""
        line = endpoint.line
        endpoint.heard_ns = self.now
        if outcome is Outcome.OVERLOADED:
            self.refused(endpoint, retry_after_ns, sent_ns)
            return
        if outcome in (Outcome.NOT_SENT, Outcome.CANCELLED):
            return
        failed = outcome is not Outcome.OK
        # Danger: an outage at one destination would close the connections to all others, for long. Where it
        # is told that a table is full, what fails unanswered tells of none.
        unanswered = outcome is not Outcome.ERROR and endpoint.doubt < CAUTION and not self.tells_opened
        if unanswered or not failed:
            self.crowd(endpoint.kind, failed, self.few if self.tells_opened else 1.0)
        if not failed:
            endpoint.answered_ns = max(endpoint.answered_ns, sent_ns)
        if not failed or outcome is Outcome.TIMEOUT:
            # A lone one shows by later calls that were answered before it, or by the next that is.
            missed = endpoint.answered_ns > sent_ns if failed else endpoint.failed and not endpoint.errors
            self.lost += LOST_GAIN * (missed - self.lost)
        lone = outcome in (Outcome.TIMEOUT, Outcome.RESET)  # a call or a connection, at first
        if lone and endpoint.served_ns > sent_ns and not endpoint.down:
            # Single calls get lost while the rest is answered: no outage, and no slowness.
            return
        endpoint.doubt += DOUBT_WEIGHT * (failed - endpoint.doubt)
        endpoint.failed = failed
        if failed:
            endpoint.errors += not lone
            # Danger: a sender that calls once in many seconds would find each endpoint of a destination out
            # by itself, with calls that are lost and push what comes back. Outages mostly take all: a failure
            # speaks for those not heard of since. It could hurt where one endpoint fails among well ones.
            # A reset speaks for its connection only: where all are out, the next ones are refused, or silent.
            alike = self.siblings(endpoint) if outcome is not Outcome.RESET else ()
            for sibling in alike:
                if sibling is not endpoint and sibling.served_ns < sent_ns:
                    sibling.doubt += DOUBT_WEIGHT * (1 - sibling.doubt)
                    if sibling.doubt > DOUBT and not sibling.down:
                        self.mark_down(sibling)
            if outcome is Outcome.TIMEOUT:
                endpoint.stretch = min(endpoint.stretch * 2, MOST_STRETCH)
            endpoint.down |= endpoint.doubt > DOUBT
            self.next_trial(endpoint)
            return
        shut = line.refusals >= SHUT_AFTER and self.now - line.refused_since_ns > SHUT_SPAN_NS
        line.refusals = 0
        if line.limit and line.left < LITTLE_LEFT:
            # The next call is refused, and at some destinations a refused call uses up the limit too.
            line.wait_ns = max(line.wait_ns, self.now + self.wait(endpoint, 1, 3, True))
        else:
            # Danger: who calls once in many seconds has few successes to grow by; time and told room count.
            aged = (self.now - endpoint.served_ns) / (RATE_SPAN_S * SECOND)
            room = line.left / 4 if line.limit else 0.0
            gain = max(PACE_GAIN, aged, room)  # on top of their shares, what many add is a jam
            gain *= self.few if line.rate > self.share(endpoint) else self.few ** (-2 * CUT)
            line.rate = min(line.rate * (1 + min(self.few**-CUT, gain)), self.most(endpoint))
        # Danger: calls get lost one by one, and two in a row look like an outage with a long ramp. Where only
        # such, or a lone error or two, lay between two successes close together it was none.
        short = self.now - endpoint.served_ns < SHORT_OUTAGE * self.settings.slow_start_ns
        lossy = endpoint.errors < FEW_ERRORS and short
        endpoint.errors, endpoint.served_ns = 0, self.now
        if not endpoint.mean_ns:
            endpoint.mean_ns, endpoint.dev_ns = float(elapsed_ns), elapsed_ns / 2
        else:
            error = elapsed_ns - endpoint.mean_ns
            endpoint.mean_ns += LATENCY_GAIN * error
            endpoint.dev_ns += LATENCY_GAIN * (abs(error) - endpoint.dev_ns)
        endpoint.stretch = max(1.0, endpoint.stretch / 2)
        if endpoint.down or shut:
            # Danger: judged when the second success has taken the doubt, a long outage looks like a short
            # one, since the first success is fresh: it would end without a ramp, in front of a cold partner.
            endpoint.cold_ns = endpoint.cold_ns if lossy else self.now
            if endpoint.doubt > DOUBT:
                endpoint.trial_ns = self.now  # one success among failures: look again at once
                # Danger: of many senders each looks at each endpoint of the line, and together they push
                # over what is cold (rule 4). The line is back: one ramp, and the others wait for their part.
                for sibling in self.siblings(endpoint) if self.few < 1 and endpoint.cold_ns else ():
                    if sibling.down:
                        sibling.cold_ns = endpoint.cold_ns
                        next_ns = self.ramp_next(sibling, self.random.uniform(*JITTER))
                        sibling.trial_ns = max(sibling.trial_ns, next_ns)
            else:
                endpoint.down, endpoint.trials = False, 0
        else:
            endpoint.trials = 0
        if endpoint.cold_ns and self.now - endpoint.cold_ns > self.settings.slow_start_ns:
            endpoint.cold_ns = 0
        self.delivered(endpoint, 1)

    def crowd(self, kind, turned_away, weight):
        """Fold whether a new connection was turned away into what is known of a kind's tables."""
        share = self.crowded.get(kind, 0.0)
        share = self.crowded[kind] = share + CROWD_GAIN * weight * (turned_away - share)
        if share > CROWDED and kind not in self.closing:
            self.closing.add(kind)
            self.unused |= {e: True for e in self.endpoints.values() if e.kind == kind}
        elif share < ROOMY:
            self.closing.discard(kind)

    def mark_down(self, endpoint):
        """An outage: from now on single trial calls, spaced by growing waits (rule 4)."""
        endpoint.down = True
        self.next_trial(endpoint)

    def next_trial(self, endpoint):
        """Put the next trial call off by the next longer wait."""
        endpoint.probed = False
        endpoint.trials += 1
        endpoint.trial_ns = self.now + self.wait(endpoint, endpoint.trials - 1)
        if endpoint.down:
            for sibling in self.siblings(endpoint):
                sibling.trial_ns = max(sibling.trial_ns, endpoint.trial_ns)

    def siblings(self, endpoint):
        """The endpoints of its destination that share its limit, pace and outages."""
        line = endpoint.line
        return [e for e in endpoint.destination.endpoints.values() if e.line is line]

    def wait(self, endpoint, n, steps=1, refused=False):
        """The wait before look n at a destination: backoff's, or the longest and its fourfold parts."""
        longest = self.longest_wait(endpoint, refused)
        if longest <= LONGEST_WAIT_NS:
            return min(self.backoff(n), longest)
        return int(longest * self.random.uniform(*JITTER) / BACKOFF_FACTOR ** max(0, steps - n))

    def longest_wait(self, endpoint, refused=False):
        """The longest wait between looks at a destination, so that all senders look seldom enough."""
        # Danger: looks of every sender once a second would be hundreds of calls a second, and push over
        # what comes back (rule 4); where refused calls use up a limit, they leave nothing of it to anyone.
        # With few senders, or where each calls often, it is LONGEST_WAIT_NS.
        # A rate from seconds ago would let a sender that fails since go on looking often: it fades.
        own = self.own(endpoint) * exp((endpoint.served_ns - self.now) / (RATE_SPAN_S * SECOND))
        if refused and endpoint.line.limit:
            usual = max(own, self.share(endpoint))
        else:
            usual = LOOKS * max(own, self.share(endpoint))
            usual = max(usual, SECOND / max(SECOND, self.settings.slow_start_ns))
        return int(max(LONGEST_WAIT_NS, SECOND / max(self.few, usual)))

    def own(self, endpoint):
        """Calls a second that this sender delivered lately at all endpoints of that one's line."""
        return sum(self.delivered(e) for e in self.siblings(endpoint))

    def delivered(self, endpoint, more=0):
        """Calls a second delivered at an endpoint up to its last success; count `more` successes in."""
        if more:
            aged = (endpoint.counted_ns - self.now) / SECOND
            endpoint.count = endpoint.count * exp(aged / RATE_SPAN_S) + more
            endpoint.base *= exp(aged / BASE_SPAN_S)
            endpoint.counted_ns = self.now
        span = RATE_SPAN_S * (1.02 - exp((endpoint.first_ns - endpoint.counted_ns) / (RATE_SPAN_S * SECOND)))
        rate = endpoint.count / span
        # After a time of refusals the latest rate is low; a ramp that starts from it would never end.
        endpoint.base = max(endpoint.base, rate)
        return rate

    def refused(self, endpoint, retry_after_ns, sent_ns):
        """Turned away: keep a told wait (rule 5), or wait a jittered while and lower the pace."""
        line = endpoint.line
        if sent_ns < line.refused_ns:
            return  # sent before the last refusal was known: the same one
        line.refused_ns = self.now
        line.refused_since_ns = line.refused_since_ns if line.refusals else self.now
        if endpoint.down:
            self.mark_down(endpoint)
        # Danger: where refused calls use up the limit too, early retries keep it used up for all.
        low = bool(line.limit) and line.left < LITTLE_LEFT
        share = self.drained.get(endpoint.kind, 0.8)
        share = self.drained[endpoint.kind] = share + CROWD_GAIN * (low - share)
        used_up = low and share > DRAINED
        # Danger: where refused calls use a limit up, a fleet whose even shares or looks sum to what it takes
        # keeps it used up, and one that is lowered lets nothing through. So each refusal slows many senders,
        # down to few calls a second of all, and what was told to all at once is followed in turns.
        many, share, looks = 1 - self.few, self.share(endpoint), SECOND / self.longest_wait(endpoint, True)
        usual = max(share or LEAST_RATE * self.few, looks, self.own(endpoint))
        if not line.refusals:
            line.rate = usual - many * max(0.0, usual - (line.rate or usual))
        if many or not line.refusals:
            cut = USED_UP_PACE if used_up else self.few**CUT
            line.rate = max(many * self.few * LEAST_RATE, line.rate * cut)
        if many and retry_after_ns <= LONG_TOLD_NS:
            line.wait_ns = self.now + retry_after_ns + int(SECOND / line.rate * self.random.random())
        elif used_up or not retry_after_ns:
            steps = 1 if used_up and not retry_after_ns else 3
            line.wait_ns = self.now + retry_after_ns + self.wait(endpoint, line.refusals + 1, steps, True)
        if used_up:
            # Danger: a clump uses up one route after the other: three of four calls that go on to a sibling
            # at once are refused there too, and use its limit up. It could hurt where a sibling had room.
            for other in endpoint.destination.endpoints.values():
                if other.line is not line and self.now - other.served_ns > SHUT_SPAN_NS:
                    other.line.wait_ns = max(other.line.wait_ns, self.now + self.wait(other, 1, 3, True))
        line.next_ns = max(line.next_ns, self.now)
        line.refusals += 1

    def pace(self, line):
        """Calls a second that this sender may make there; 0: as many as it likes."""
        # Danger: a clump at one sender on top of what the others send uses up a limit for all.
        room = line.limit * max(LITTLE_LEFT, line.left)
        return min(line.rate or room, room or line.rate)

    def share(self, endpoint):
        """This sender's even share of what the destination takes, where it is told or listed; else 0."""
        trust = 1.0 if self.settings.weights_exact else WEIGHT_TRUST
        weight = endpoint.weight * trust if self.settings.weights_known else 0.0
        return (endpoint.line.limit or weight) / self.settings.senders

    def most(self, endpoint):
        """The highest pace of one of many senders where the limit is listed; else no bound."""
        # Danger: a clump at one sender, on top of what the others send, uses up a limit for all.
        most = self.share(endpoint) * FEW / self.few**CLUMP_SHARE
        return most if self.few < 1 and self.settings.weights_known else NEVER

    def on_probe(self, event):
        """A probe's result counts like a call's; a good one lets a message try."""
        endpoint = self.endpoints[event.endpoint]
        endpoint.probing = False
        if event.outcome is Outcome.OK:
            # A probe may be answered where calls fail: it lets one message try, doubt stays.
            endpoint.probed = True
            endpoint.trial_ns = self.now
        elif event.outcome is Outcome.OVERLOADED:
            if event.retry_after_ns:
                self.heed(endpoint, event.retry_after_ns)
            self.refused(endpoint, event.retry_after_ns, self.now)
        elif event.outcome is Outcome.NOT_SENT:
            # Danger: a probe that was never sent tells nothing, least of all of an outage; but asked for
            # again at once, it is barred again at once, and the turn loop spins for as long as it is.
            endpoint.trial_ns = max(endpoint.trial_ns, self.now + self.backoff(MOOT_STEP))
        else:
            endpoint.doubt += DOUBT_WEIGHT * (1 - endpoint.doubt)
            self.mark_down(endpoint)

    def opens(self, endpoint, due=False):
        """From when an endpoint may be called: drains, told and untold waits, pace, trials and ramp."""
        if not endpoint.usable:
            return NEVER  # rule 3
        line = endpoint.line
        at = line.told_ns if due else max(line.told_ns, line.wait_ns, line.next_ns)  # rule 5
        if endpoint.down:
            looks = max((self.look_over(e) for e in self.siblings(endpoint) if e.down), default=0)
            return max(at, endpoint.trial_ns, looks)
        if endpoint.cold_ns:
            at = max(at, endpoint.next_ns)
        if len(endpoint.calls) > 1:  # a second call tells one lost on the way from silence
            # Danger: a hung or silent endpoint would take slot after slot until the first time-out.
            oldest = next(iter(endpoint.calls)).sent_ns
            if self.now - max(endpoint.heard_ns, oldest) > self.quiet(endpoint):
                at = max(at, self.look_over(endpoint))
        return at

    def opening(self, destination, due=False):
        """From when any endpoint of a destination may be called."""
        return min((self.opens(e, due) for e in destination.endpoints.values()), default=NEVER)

    def due(self, messages):
        """Whether one was owed before a restart, is untried, and waits for told waits only by now."""
        return any(m.due_ns <= self.now and not m.attempts for m in messages)

    def quiet(self, endpoint):
        """How long it may take to answer while all is well."""
        return max(SILENCE_NS, endpoint.mean_ns + TIMEOUT_SPREAD * endpoint.dev_ns)

    def look_over(self, endpoint):
        """From when its look no longer keeps others back: a look is its newest call out, or a probe."""
        # Danger: where calls get lost one by one, a look that is lost, or a call lost before, would keep an
        # endpoint shut that answers well, until its time-out. Who has answered lately is looked at again as
        # soon as an answer is overdue. It could hurt in a hang's first seconds, by a few slots.
        if endpoint.probing:
            return NEVER
        if not endpoint.calls:
            return 0
        if self.now - endpoint.served_ns > LATELY_NS:
            return NEVER
        return next(reversed(endpoint.calls)).sent_ns + int(self.quiet(endpoint))

    def message_opens(self, message):
        """From when a message may be sent: its backoff, its key's turn and rest, the bucket."""
        if message.attempts and message.destination.tokens - message.destination.retries_out < 1:
            return NEVER
        at = message.ready_ns
        if message.key:
            if self.keys[message.key][0] is not message:
                return NEVER  # rule 6
            if not message.attempts:
                at = max(at, self.rests.get(message.key, 0))
        return at

    def may_send(self, message, endpoint):
        """The one gate: whether all rules and waits let this message go to this endpoint now."""
        rule = message.traffic_class
        zoned = rule.effect is Idempotency.WITH_KEY and rule.group is DeduplicationScope.ZONE
        if message.may_have_run_ns and zoned and endpoint.zone != message.may_have_run_zone:
            return False
        return (
            not message.out
            and self.may_repeat(message, self.now)
            and self.opens(endpoint, self.due([message])) <= self.now
            and self.message_opens(message) <= self.now
        )

    def hand_out(self):
        """Hand free slots to destinations, fewest calls out first; give when to look again."""
        self.give_up_late()
        self.wake_ns = NEVER
        ready = [d for d in self.waiting.values() if self.opening(d, self.due(d.queue.values())) <= self.now]
        slots = self.settings.max_concurrent_calls
        best = {d.number: min(map(self.urgency, d.queue.values()))[0] for d in ready}
        while ready and self.calls_out < slots:
            # Danger: where slots are short (all slow at once, a hot sender) turns alone spend them on what is
            # worth least. Among destinations with as few calls out, what is worth most goes first.
            destination = min(ready, key=lambda d: (d.calls_out, best[d.number], d.served))
            # Danger: a slow or hung destination, or a clump, fills the slots; all others wait. It may
            # hold as many as it leaves free; a sole busy destination cannot use the other half.
            if destination.calls_out >= max(1, slots - self.calls_out):
                break
            if not self.serve(destination):
                ready.remove(destination)
        for destination in self.waiting.values():
            opens = self.opening(destination)
            if opens > self.now:
                self.wake_ns = min(self.wake_ns, opens)  # a doubtful endpoint opens with its next outcome
            for message in list(destination.queue.values()):
                at = opens
                if message.due_ns < NEVER and not message.attempts:
                    # Danger: a killed fleet holds more than its paces let out in time; most would go untried.
                    at = min((e.line.told_ns for e in destination.endpoints.values()), default=NEVER)
                    due_ns = max(message.due_ns, self.opening(destination, True))
                    self.wake_ns = min(self.wake_ns, due_ns if due_ns > self.now else NEVER)
                if at < NEVER and not self.may_repeat(message, at):
                    self.give_up(message)  # its waits are longer than its time: no use in holding it
                    continue
                at = self.message_opens(message)
                self.wake_ns = min(self.wake_ns, message.deadline_ns, at if at > self.now else NEVER)
        return self.wake_ns

    def give_up_late(self):
        """Answer the held messages whose time is over."""
        # Nothing here or in hand_out may pass over all destinations: every event of every sender pays for it.
        while self.expiry and self.expiry[0][0] <= self.now:
            message = self.messages.get(heappop(self.expiry)[1])
            if message and not message.out and not self.may_repeat(message, self.now):
                self.give_up(message)
        # Danger: held messages of a destination that is out fill all places, and messages for well ones are
        # turned away at the door. The longest queue gives way, its least worth first; a plain overload of
        # everything is met the same way. It could hurt where a long queue was about to be let go.
        places = self.settings.max_held_messages - max(1, int(self.settings.max_held_messages * HOLD_SPARE))
        while len(self.messages) > places:
            longest = max(self.waiting.values(), key=lambda d: len(d.queue), default=None)
            queue = longest.queue.values() if longest else ()
            held = [m for m in queue if not m.may_have_run_ns and (m.attempts or m.due_ns == NEVER)]
            if not held:
                break
            self.give_up(min(held, key=lambda m: (self.worth(m, self.now), m.taken_ns)))
        self.waiting = {number: d for number, d in self.waiting.items() if d.queue}

    def serve(self, destination):
        """Send the destination's most urgent message, or a bundle of them; false if nothing may go."""
        endpoints = [e for e in destination.endpoints.values() if self.opens(e, True) <= self.now]
        endpoints.sort(key=self.preference)
        for endpoint in endpoints:
            ready = [m for m in destination.queue.values() if self.may_send(m, endpoint)]
            if not ready:
                continue
            ready.sort(key=self.urgency)
            if endpoint.doubt > CAUTION:
                # Danger: where calls end in errors, an unsafe message is lost with each. Repeatable ones or
                # probes find out; alone in the queue, unsafe ones go one by one, at the pace of trials.
                safe = [m for m in ready if m.traffic_class.effect is not Idempotency.NOT_IDEMPOTENT]
                if not safe and (endpoint.calls or endpoint.probing or endpoint.trial_ns > self.now):
                    # Danger: with the trial's time past, a wake-up at once comes again and again until what
                    # is out ends: the turn loop spins. That end is an event and wakes by itself.
                    if endpoint.trial_ns > self.now:
                        self.wake_ns = min(self.wake_ns, endpoint.trial_ns)
                    continue
                if not safe and self.settings.health_checks_allowed and not endpoint.probed:
                    endpoint.probing = True
                    if endpoint.cold_ns:
                        # Danger: a probe weighs like a call on a partner that returns cold (rule 4).
                        endpoint.next_ns = self.ramp_next(endpoint, 1.0)
                    self.actions.append(CheckHealth(endpoint.id))
                    continue
                ready = safe or ready[:1]
            bundle = self.settings.kind(endpoint.kind).max_bundle_size
            if endpoint.down or endpoint.cold_ns:
                bundle = 1
            self.call(destination, endpoint, ready[:bundle])
            return True
        return False

    def preference(self, endpoint):
        """Fewest calls out first, a failure counting as one; then what the call costs, and chance."""
        settings = self.settings
        idle = self.now - endpoint.heard_ns < settings.keepalive_ns and not endpoint.down
        cost = settings.handshake_price * (not idle)
        cost += settings.cross_zone_price * (endpoint.zone != settings.zone)
        if endpoint.line is not endpoint.destination.line:
            # Danger: where all senders prefer one route, its limit is used up while its siblings' is left.
            fees = settings.zone_fees
            cost += ROUTE_SPREAD * endpoint.rank + (fees[endpoint.zone] if endpoint.zone < len(fees) else 0.0)
        calls = len(endpoint.calls) + endpoint.failed
        return calls, endpoint.heard_ns if endpoint.down else 0, cost, endpoint.rank

    def keeps_connections(self, endpoint):
        """Whether idle connections to it may stay open, or would be in others' way."""
        # Danger: some endpoints take few connections, idle ones counted; those that many senders leave behind
        # fill the table. It is told by the kind: new ones turned away at one destination after the other. Who
        # got one in time would never learn of it, and lets it go by chance. Else closing costs a handshake.
        if self.few == 1:
            return True
        if endpoint.kind not in self.closing:
            return self.random.random() > LET_GO * (1 - self.few)
        return self.delivered(endpoint) * self.few**2 * self.settings.keepalive_ns >= SECOND

    def urgency(self, message):
        """Sort key: most worth first, then order of arrival."""
        return (-self.worth(message, self.now), message.taken_ns)

    def worth(self, message, at):
        """What delivering the message then would earn."""
        rule, objective_ns = message.traffic_class, message.traffic_class.latency_objective_ns
        late_ns = at - (message.deadline_ns - rule.deadline_ns) - objective_ns
        if late_ns <= 0:
            return rule.priority_weight
        if self.settings.value_halves:
            share = 0.5 ** (late_ns / objective_ns)
        else:
            share = 1 - (1 - rule.late_value_share) * late_ns / max(1, rule.deadline_ns - objective_ns)
        return rule.priority_weight * max(share, rule.late_value_share)

    def call(self, destination, endpoint, messages):
        """Send messages to an endpoint as one call and book it."""
        now = self.now
        call = Call(endpoint, now)
        call.left = len(messages)
        endpoint.calls[call] = True
        self.calls_out += 1
        destination.calls_out += 1
        self.turn += 1
        destination.served = self.turn
        line = endpoint.line
        if self.pace(line):
            line.next_ns = max(now, line.next_ns) + int(SECOND / self.pace(line))
        if endpoint.cold_ns:
            endpoint.next_ns = self.ramp_next(endpoint, self.random.uniform(*JITTER))
        for message in messages:
            retry = message.attempts > 0
            if retry and destination.tokens - destination.retries_out < 1:
                call.left -= 1
                continue
            destination.retries_out += retry
            self.attempts[message.request, message.attempts] = (message, call, retry)
            message.attempts += 1
            message.out = True
            del destination.queue[message.request]
            self.actions.append(Send(message.request, endpoint.id, self.timeout(message, endpoint)))

    def timeout(self, message, endpoint):
        """How long to wait for an answer: learned from the latencies, longer while calls time out."""
        # Giving an unsafe message up early gains only the slot, and loses the message.
        crowded = 2 * self.calls_out >= self.settings.max_concurrent_calls
        stretch = 1.0
        if message.traffic_class.effect is Idempotency.NOT_IDEMPOTENT:
            stretch = CROWDED_STRETCH if crowded else UNSAFE_STRETCH
        slow_ns = endpoint.mean_ns + TIMEOUT_SPREAD * endpoint.dev_ns
        learned = 2 * slow_ns or message.traffic_class.latency_objective_ns
        # Where calls get lost one by one, those that wait for their time-outs would hold all slots.
        lossy = crowded and self.lost * LEAST_TIMEOUT_NS > LOST * endpoint.mean_ns
        least = SILENCE_NS if lossy else LEAST_TIMEOUT_NS
        wait = int(max(least, learned) * stretch * endpoint.stretch)
        # A jam's latencies and time-outs would lengthen each other, until hung calls hold all slots.
        wait = min(wait, max(MOST_TIMEOUT_NS, int(2 * endpoint.mean_ns)))
        return max(1, min(wait, message.deadline_ns - self.now))

    def ramp_next(self, endpoint, calls):
        """When this sender's part of what a cold endpoint may get has grown by so many calls (rule 4)."""
        settings, first = self.settings, self.settings.slow_start_fraction
        alike = sum(e.usable for e in self.siblings(endpoint))  # they share what the line takes
        base = max(endpoint.base, self.share(endpoint) / max(1, alike), CREEP / settings.senders)
        # The part grows with a share of capacity that rises evenly: from `first` to all in `slow_start_ns`.
        span = max(1, settings.slow_start_ns) / SECOND
        since = min(span, max(0, self.now - endpoint.cold_ns) / SECOND)
        rise = max(1e-9, (1 - first) / (2 * span))
        spent = first * since + rise * since**2
        spent += calls / (RAMP_SAFETY * settings.overload_multiple * base)
        then = (sqrt(first**2 + 4 * rise * spent) - first) / (2 * rise)
        return endpoint.cold_ns + int(min(then, span) * SECOND)

    def set_timer(self, at):
        """Ask to be woken then, unless an earlier wake-up is already on its way."""
        if at >= self.timer_ns or at >= NEVER:
            return
        self.tag += 1
        self.timer_ns = at
        self.actions.append(SetTimer(self.tag, max(1, at - self.now)))
