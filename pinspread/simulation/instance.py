"""A courier in the model: a real `Sender`, with slots, kept connections, a journal and restarts round it.

Its guards are those of the real one: right before a call is written, drains, told waits, time and a second
live branch are checked again.
"""

from pinspread.http.pool import MAX_IDLE_FRACTION
from pinspread.policy.actions import CheckHealth, Disconnect, Fail, Reject, Send, SetTimer
from pinspread.policy.events import (
    AttemptCompleted,
    EndpointsChanged,
    EndpointState,
    HealthCheckCompleted,
    MessageAccepted,
    Outcome,
    TimerFired,
    UpdateScope,
)
from pinspread.simulation.destination import ConnectResult
from pinspread.simulation.engine import MS, SECOND
from pinspread.simulation.scenario import ATTEMPT_DRAWS

Outcome = Outcome
TELLS_OPENED = hasattr(AttemptCompleted, "opened")  # older versions of the module do not ask for it
LINGER_NS = 500 * MS  # and newcomers hear busy answers at least so long
DRAIN_NS = 3200 * MS  # after SIGTERM: what is out has so long to end
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
PROBE_NS = 1500 * MS
PROBE_TELLS = "retry_after_ns" in HealthCheckCompleted.__dataclass_fields__  # older versions do not take it
PROBE_WORK_NS = 5 * MS
PROBE_CHANCE = (0.5, 0.5, 0.5, 0.5)


class AcceptedMessage:
    """A message that is taken on: what the journal keeps of it, and who handed it in."""

    __slots__ = ("attempts", "client", "deadline_ns", "live", "may_have_run_ns", "number", "row")

    def __init__(self, number, row, deadline_ns, client):
        self.number = number
        self.row = row
        self.deadline_ns = deadline_ns
        self.client = client
        self.attempts = 0
        self.may_have_run_ns = 0
        self.live = None  # the call that is out and has been written


class Pool:
    """Kept connections of one courier to one endpoint: when each was last used, newest last."""

    __slots__ = ("courier", "endpoint", "idle", "out")

    def __init__(self, courier, endpoint):
        self.courier = courier
        self.endpoint = endpoint
        self.idle = []
        self.out = {}  # calls on connections
        endpoint.connection_owners.append(self)

    def take(self):
        """A kept connection, or false."""
        self.close_expired()
        if self.idle:
            self.idle.pop()
            return True
        return False

    def close_expired(self):
        """Close those idle for too long."""
        least = self.courier.engine.now - self.courier.keepalive_ns
        while self.idle and self.idle[0] <= least:
            del self.idle[0]
            self.endpoint.connections -= 1

    def close_idle(self):
        self.endpoint.connections -= len(self.idle)
        self.idle.clear()

    def connection_lost(self, reset):
        """The other side is gone: with a reset all are closed at once, else they stay, silent."""
        if not reset:
            return
        self.close_idle()
        for call in list(self.out):
            call.reset()


class Call:
    """One branch, or a probe."""

    __slots__ = ("attempt", "draws", "instance", "endpoint", "held", "home", "incarnation", "over", "sent_ns",
                 "started_ns", "timeout_ns", "turned_away", "fresh", "work_ns")  # fmt: skip

    def __init__(self, home, held, endpoint, timeout_ns):
        self.home = home
        self.instance = home.number
        self.held = held
        self.endpoint = endpoint
        self.started_ns = home.engine.now
        self.sent_ns = 0
        self.timeout_ns = timeout_ns
        self.incarnation = home.incarnation
        self.over = False
        self.fresh = False  # on a new connection
        self.turned_away = False  # on one that is closed after a 503, since the endpoint has too many
        self.attempt = 0

    def work_started(self):
        """The endpoint begins to work on it: from here on it takes effect."""
        if self.held is not None:
            self.home.fleet.effect(self)

    def respond(self, verdict, wait_ns):
        """The endpoint answers; the answer takes its way back."""
        home = self.home
        chance = self.draws
        delay = home.delay(self.endpoint, chance[1])
        if self.held is not None and home.lost_share and chance[2] < home.lost_share:
            return
        home.engine.after(delay, home.ended, self, verdict, wait_ns)

    def reset(self):
        """The connection is reset."""
        self.home.engine.after(
            self.home.delay(self.endpoint, self.draws[1]), self.home.ended, self, Outcome.RESET, 0
        )


class Instance:
    """One courier, over its restarts."""

    def __init__(self, number, fleet):
        self.number = number
        self.fleet = fleet
        self.engine = fleet.engine
        model = fleet.model
        self.keepalive_ns = int(model.couriers.keepalive_s * MAX_IDLE_FRACTION * SECOND)
        self.dial_ns = int(model.couriers.dial_s * SECOND)
        self.handshake_ns = int(model.network.handshake_ms * MS)
        self.reset_share, self.lost_share = model.network.reset_share, model.network.lost_share
        self.jitter = model.network.jitter
        self.up = False
        self.stopping = self.lingered = False
        self.incarnation = 0
        self.sender = None
        self.open = {}  # number -> Held: the journal
        self.calls = {}  # (number, attempt) -> Call that is out
        self.pools = {}
        self.told = {}  # dest -> until when
        self.usable = {}  # endpoint -> whether the list lets it be called
        self.serial = 0
        self.inbox = []
        self.turn_due = False
        self.handshakes = self.health_checks = self.turns = 0
        self.starts = 0

    # --- its process ------------------------------------------------------------------------------

    def start(self, entries):
        """The process starts: with its last list, and all that the journal holds."""
        fleet = self.fleet
        self.up, self.stopping, self.lingered = True, False, False
        self.told.clear()
        self.sender = fleet.make_policy(self.number, self.starts)
        self.starts += 1
        self.update_endpoints(UpdateScope.FULL, entries)
        fleet.checker.started(self.number, self.engine.now)
        for held in self.open.values():
            self.post(self._taken(held))

    def stop(self):
        """SIGTERM: busy answers from now on; what is out may end."""
        self.stopping = True
        self.engine.after(DRAIN_NS, self._gone, self.incarnation)
        self.engine.after(LINGER_NS, self._lingered, self.incarnation)

    def _lingered(self, incarnation):
        if incarnation == self.incarnation:
            self.lingered = True
            self._maybe_gone()

    def _maybe_gone(self):
        if self.stopping and self.lingered and self.up and not self.calls:
            self._gone(self.incarnation)

    def _gone(self, incarnation):
        if incarnation == self.incarnation and self.up:
            self.kill()

    def kill(self):
        """The process ends; its connections are reset, what was out may have run."""
        self.up = False
        self.incarnation += 1
        for call in list(self.calls.values()):
            call.over = True
            if call.held is not None and call.held.live is call:
                call.held.may_have_run_ns = call.held.may_have_run_ns or call.sent_ns
                call.held.live = None
                self.fleet.checker.cut(self.number, call.held.number, call.sent_ns)
        for pool in self.pools.values():
            pool.endpoint.connections -= len(pool.idle) + len(pool.out)
            pool.endpoint.connection_owners.remove(pool)
        self.pools.clear()
        self.calls.clear()
        self.inbox.clear()
        if not self.fleet.model.couriers.resume:
            for held in self.open.values():
                held.client.ended(held.row, "lost", 0)
            self.open.clear()

    # --- what comes in ----------------------------------------------------------------------------

    def take(self, row, deadline_ns, client):
        """A client hands a message in: true, or how long to stay away (-1: the process does not answer)."""
        if not self.up:
            return -1
        if self.stopping:
            return self.fleet.settings.max_retry_after_ns
        if len(self.open) >= self.fleet.settings.max_held_messages:
            return SECOND
        self.serial += 1
        held = self.open[self.serial] = AcceptedMessage(self.serial, row, deadline_ns, client)
        scenario = self.fleet.scenario
        self.fleet.checker.taken(
            self.number,
            held.number,
            int(scenario.class_index[row]),
            int(scenario.destination[row]),
            int(scenario.ordering_key[row]),
            deadline_ns,
        )
        self.post(self._taken(held))
        return True

    def _taken(self, held):
        scenario, row = self.fleet.scenario, held.row
        return MessageAccepted(
            held.number,
            int(scenario.class_index[row]),
            int(scenario.destination[row]),
            held.deadline_ns,
            int(scenario.ordering_key[row]),
            int(scenario.tenant_index[row]),
            held.attempts,
            held.may_have_run_ns,
        )

    def update_endpoints(self, scope, entries):
        """News of the list."""
        now, checker = self.engine.now, self.fleet.checker
        if scope is UpdateScope.FULL:
            for id_ in self.usable.keys() - {e.endpoint for e in entries}:
                self.usable[id_] = False
                checker.listed(self.number, now, id_, False)
        for entry in entries:
            usable = entry.state is EndpointState.READY
            self.usable[entry.endpoint] = usable
            checker.listed(self.number, now, entry.endpoint, usable)
            if not usable and entry.endpoint in self.pools:
                self.pools[entry.endpoint].close_idle()
        self.post(EndpointsChanged(scope, entries))

    def post(self, event):
        """Have the module told in the next turn."""
        self.inbox.append(event)
        if not self.turn_due:
            self.turn_due = True
            self.engine.at(self.engine.now, self._turn)

    def _timer(self, incarnation, tag):
        if incarnation == self.incarnation:
            self.post(TimerFired(tag))

    def _turn(self):
        self.turn_due = False
        if not self.up or not self.inbox:
            return
        events, self.inbox = self.inbox, []
        self.turns += 1
        now = self.engine.now
        for action in self.sender.handle(now, events):
            kind = type(action)
            if kind is SetTimer:
                self.engine.after(max(1000, action.delay_ns), self._timer, self.incarnation, action.tag)
            elif kind is Send:
                self._send(action, now)
            elif kind is Reject or kind is Fail:
                refused = kind is Reject
                self.fleet.checker.final(self.number, now, action.request, refused)
                held = self.open.pop(action.request, None)
                if held is not None:
                    held.client.ended(
                        held.row, "returned" if refused else "failed", action.retry_after_ns if refused else 0
                    )
            elif kind is CheckHealth:
                self._probe(action.endpoint, now)
            elif kind is Disconnect:
                if action.endpoint in self.pools:
                    self.pools[action.endpoint].close_idle()
        self._maybe_gone()

    # --- branches ---------------------------------------------------------------------------------

    def _send(self, action, now):
        endpoint = self.fleet.endpoints[action.endpoint]
        held = self.open.get(action.request)
        if held is None or not self.stopping:
            self.fleet.checker.sent(
                self.number, now, action.request, action.endpoint, endpoint.destination.number
            )
        if held is None or self.stopping:
            return  # what is not sent now stays in the journal for the next start
        call = Call(self, held, endpoint, action.timeout_ns)
        call.attempt = held.attempts
        draw = int(self.fleet.written[held.row]) % ATTEMPT_DRAWS
        call.draws = self.fleet.scenario.attempt_draws[held.row, draw]
        call.work_ns = int(self.fleet.scenario.work_ns[held.row, draw])
        held.attempts += 1
        self.calls[held.number, call.attempt] = call
        self.fleet.sent(call)
        self.engine.after(action.timeout_ns, self._timed_out, call)
        pool = self._pool(endpoint)
        if pool.take():
            self._write(call, pool)
        else:
            self._dial(call, pool)

    def _pool(self, endpoint):
        pool = self.pools.get(endpoint.id)
        if pool is None:
            pool = self.pools[endpoint.id] = Pool(self, endpoint)
        return pool

    def delay(self, endpoint, chance):
        """One way between this courier and an endpoint."""
        base = self.fleet.delays[endpoint.destination.number - 1]
        return int(base * (1 + self.jitter * (2 * float(chance) - 1)))

    def _dial(self, call, pool):
        found = call.endpoint.destination.connect(call.endpoint)
        there_and_back = 2 * self.delay(call.endpoint, call.draws[0])
        if found is ConnectResult.ACCEPTED:
            self.handshakes += 1
            call.fresh = True
            call.endpoint.connections += 1
            pool.out[call] = True
            self.engine.after(there_and_back, self._write, call, pool)
        elif found is ConnectResult.OVER_LIMIT:
            call.fresh = call.turned_away = True
            self.engine.after(there_and_back, self._write, call, pool)
        elif found is ConnectResult.REFUSED:
            self.engine.after(there_and_back, self.ended, call, Outcome.CONNECT_FAILED, 0)
        else:
            self.engine.after(min(self.dial_ns, call.timeout_ns), self.ended, call, Outcome.CONNECT_FAILED, 0)

    def _write(self, call, pool):
        """Right before the first byte: whether it may still go."""
        if call.over or call.incarnation != self.incarnation:
            return
        held, now = call.held, self.engine.now
        if not call.turned_away:
            pool.out[call] = True
        dest = call.endpoint.destination.number
        barred = (
            not self.usable.get(call.endpoint.id)
            or self.told.get(dest, 0) > now
            or self.stopping
            or (
                held is not None
                and (held.live is not None or held.number not in self.open or now >= held.deadline_ns)
            )
        )
        if barred:
            self.ended(call, Outcome.NOT_SENT, 0)
            return
        call.sent_ns = now
        if held is not None:
            held.live = call
            self.fleet.written[held.row] += 1
        if self.reset_share and not call.fresh and call.draws[2] > 1 - self.reset_share:
            call.reset()
            return
        work = call.work_ns + self.handshake_ns if call.fresh else call.work_ns
        self.engine.after(self.delay(call.endpoint, call.draws[0]), self._arrive, call, work)

    def _arrive(self, call, work_ns):
        if call.over and not call.sent_ns:
            return
        if call.turned_away:
            call.respond(Outcome.OVERLOADED, 0)
        else:
            call.endpoint.destination.arrive(call.endpoint, call, work_ns)

    def _timed_out(self, call):
        if not call.over:
            self.ended(call, Outcome.TIMEOUT if call.sent_ns else Outcome.CONNECT_FAILED, 0)

    def ended(self, call, verdict, wait_ns):
        """A branch or a probe has its outcome; whatever comes after it says nothing any more."""
        if call.over or call.incarnation != self.incarnation:
            return
        call.over = True
        now, endpoint = self.engine.now, call.endpoint
        pool = self.pools.get(endpoint.id)
        if pool is not None and call in pool.out:
            del pool.out[call]
            if verdict in (Outcome.TIMEOUT, Outcome.RESET):
                endpoint.connections -= 1  # of no further use
            else:
                pool.idle.append(now)
        dest = endpoint.destination.number
        if wait_ns:
            self.told[dest] = max(self.told.get(dest, 0), now + wait_ns)
        if verdict not in (Outcome.OK, Outcome.NOT_SENT):
            endpoint.destination.record_failure(self.number)
        held = call.held
        if held is None:
            told = (wait_ns,) if PROBE_TELLS else ()
            self.post(HealthCheckCompleted(endpoint.id, verdict, now - call.started_ns, *told))
            return
        del self.calls[held.number, call.attempt]
        if held.live is call:
            held.live = None
            if verdict not in NEVER_RAN and not held.may_have_run_ns:
                held.may_have_run_ns = call.sent_ns
        checker = self.fleet.checker
        was_open = held.number in self.open
        done = verdict is Outcome.OK or not was_open
        if was_open and verdict is Outcome.OK:
            del self.open[held.number]
            checker.delivered(self.number, now, held.number)
            held.client.ended(held.row, "delivered", 0)
        checker.outcome(self.number, now, held.number, verdict, call.sent_ns or now, wait_ns, dest, done)
        self.fleet.outcome(verdict)
        event = AttemptCompleted(
            held.number, call.attempt, endpoint.id, verdict, now - call.started_ns, done, wait_ns
        )
        if TELLS_OPENED:
            event.opened = call.fresh
        self.post(event)

    def _probe(self, id_, now):
        endpoint = self.fleet.endpoints[id_]
        if self.stopping:
            return
        self.health_checks += 1
        self.fleet.checker.probed(self.number, now, id_, endpoint.destination.number)
        call = Call(self, None, endpoint, PROBE_NS)
        call.draws = PROBE_CHANCE
        call.work_ns = PROBE_WORK_NS
        self.engine.after(PROBE_NS, self._timed_out, call)
        pool = self._pool(endpoint)
        if pool.take():
            self._write(call, pool)
        else:
            self._dial(call, pool)
