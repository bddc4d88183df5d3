"""An instance of the model: a real delivery policy with simulated connections, journal and restarts.

Right before it writes a call it checks again, as a real instance does, whether the endpoint is draining, a
Retry-After is in force, the deadline has passed, or another attempt of the message is in flight.
"""

from typing import TYPE_CHECKING, Protocol, cast

from pinspread.policy.actions import Action, CheckHealth, Disconnect, Fail, Reject, Send, SetTimer
from pinspread.policy.events import (
    AttemptCompleted,
    EndpointEntry,
    EndpointId,
    EndpointsChanged,
    EndpointState,
    Event,
    HealthCheckCompleted,
    Outcome,
    TimerFired,
    UpdateScope,
)
from pinspread.simulation.connection_pool import MAX_IDLE_FRACTION, ConnectionPool
from pinspread.simulation.endpoint import ConnectResult, Endpoint
from pinspread.simulation.engine import MS, SECOND
from pinspread.simulation.outgoing_call import AcceptedMessage, OutgoingCall
from pinspread.simulation.rules import NEVER_RAN, AttemptReport
from pinspread.simulation.scenario import ATTEMPT_DRAWS, ERROR_DRAW, OUTBOUND_DELAY_DRAW

if TYPE_CHECKING:
    from pinspread.simulation.simulate import Simulation

LINGER_NS = 500 * MS  # after SIGTERM, new messages are rejected for at least this long
DRAIN_NS = 3200 * MS  # after SIGTERM, calls in flight have this long to end
JOURNAL_FULL_RETRY_NS = SECOND  # Retry-After while the maximum number of messages is held
MIN_TIMER_NS = 1000
HEALTH_CHECK_TIMEOUT_NS = 1500 * MS
HEALTH_CHECK_WORK_NS = 5 * MS
HEALTH_CHECK_DRAWS = (0.5, 0.5, 0.5, 0.5)
BROKEN_CONNECTION = (Outcome.TIMEOUT, Outcome.RESET)  # outcomes after which a connection cannot be reused
NON_FAILURES = (Outcome.OK, Outcome.NOT_SENT)


class Policy(Protocol):
    """Makes the decisions of an instance."""

    def handle(self, now_ns: int, batch: list[Event]) -> list[Action]:
        """Handle the events of one turn and return the actions, in order."""
        ...


class Instance:
    """One instance, across its restarts.

    Args:
        number: Its number, from 0.
        simulation: The run that it is part of.

    Attributes:
        up: Whether its process runs.
        stopping: Whether its process has received SIGTERM.
        incarnation: Grows whenever its process ends.
        messages: The accepted messages without a final result, by number: the journal.
        starts: Number of starts.
    """

    def __init__(self, number: int, simulation: "Simulation") -> None:
        self.number = number
        self.simulation = simulation
        self.engine = simulation.engine
        model = simulation.model
        self.idle_timeout_ns = int(model.couriers.keepalive_s * MAX_IDLE_FRACTION * SECOND)
        self.connect_timeout_ns = int(model.couriers.dial_s * SECOND)
        self.handshake_work_ns = int(model.network.handshake_ms * MS)
        self.reset_share = model.network.reset_share
        self.lost_share = model.network.lost_share
        self.jitter = model.network.jitter
        self.up = False
        self.stopping = False
        self.incarnation = 0
        self.messages: dict[int, AcceptedMessage] = {}
        self.handshakes = 0
        self.health_checks = 0
        self.turns = 0
        self.starts = 0
        self._lingered = False
        self._policy: Policy
        self._attempts: dict[tuple[int, int], OutgoingCall] = {}  # in flight, by message and attempt number
        self._pools: dict[EndpointId, ConnectionPool] = {}
        self._retry_after_until_ns: dict[int, int] = {}  # by destination
        self._usable: dict[EndpointId, bool] = {}  # whether the endpoint list allows calls to an endpoint
        self._last_message = 0
        self._events: list[Event] = []
        self._turn_scheduled = False

    # --- the process ------------------------------------------------------------------------------

    def start(self, entries: list[EndpointEntry]) -> None:
        """Start the process with the current endpoint list and all messages of the journal."""
        self.up = True
        self.stopping = False
        self._lingered = False
        self._retry_after_until_ns.clear()
        self._policy = self.simulation.make_policy(self.number, self.starts)
        self.starts += 1
        self.update_endpoints(UpdateScope.FULL, entries)
        self.simulation.checker.instance_started(self.number, self.engine.now)
        for message in self.messages.values():
            self.post(message.accepted_event(self.simulation.scenario))

    def stop(self) -> None:
        """Stop as after SIGTERM: new messages are rejected from now on, calls in flight may end."""
        self.stopping = True
        self.engine.after(DRAIN_NS, self._drain_ended, self.incarnation)
        self.engine.after(LINGER_NS, self._linger_ended, self.incarnation)

    def _linger_ended(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self._lingered = True
            self._kill_if_drained()

    def _drain_ended(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.up:
            self.kill()

    def _kill_if_drained(self) -> None:
        if self.stopping and self._lingered and self.up and not self._attempts:
            self.kill()

    def kill(self) -> None:
        """End the process: its connections are reset, and attempts in flight may have taken effect."""
        self.up = False
        self.incarnation += 1
        for call in list(self._attempts.values()):
            self._interrupt(call)
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()
        self._attempts.clear()
        self._events.clear()
        if not self.simulation.model.couriers.resume:
            for message in self.messages.values():
                self.simulation.message_failed(message.row)
            self.messages.clear()

    def _interrupt(self, call: OutgoingCall) -> None:
        call.completed = True
        message = call.message
        if message is not None and message.sent_call is call:
            message.note_may_have_run(call.sent_ns)
            message.sent_call = None
            self.simulation.checker.attempt_interrupted(self.number, message.number, call.sent_ns)

    # --- messages and endpoint updates ------------------------------------------------------------

    def accept(self, row: int, deadline_ns: int) -> int | None:
        """Accept a message of the scenario; the process must be up.

        Returns:
            None if it was accepted, else the Retry-After of the rejection in nanoseconds.
        """
        settings, scenario = self.simulation.settings, self.simulation.scenario
        if self.stopping:
            return settings.max_retry_after_ns
        if len(self.messages) >= settings.max_held_messages:
            return JOURNAL_FULL_RETRY_NS
        self._last_message += 1
        message = AcceptedMessage(self._last_message, row, deadline_ns)
        self.messages[message.number] = message
        self.simulation.checker.message_accepted(self.number, message.number, message.record(scenario))
        self.post(message.accepted_event(scenario))
        return None

    def update_endpoints(self, scope: UpdateScope, entries: list[EndpointEntry]) -> None:
        """Apply an update of the endpoint list."""
        if scope is UpdateScope.FULL:
            for id_ in self._usable.keys() - {entry.endpoint for entry in entries}:
                self._set_usable(id_, False)
        for entry in entries:
            usable = entry.state is EndpointState.READY
            self._set_usable(entry.endpoint, usable)
            if not usable and entry.endpoint in self._pools:
                self._pools[entry.endpoint].close_idle()
        self.post(EndpointsChanged(scope, entries))

    def _set_usable(self, endpoint: EndpointId, usable: bool) -> None:
        self._usable[endpoint] = usable
        self.simulation.checker.endpoint_listed(self.number, self.engine.now, endpoint, usable)

    # --- turns of the policy ----------------------------------------------------------------------

    def post(self, event: Event) -> None:
        """Pass an event to the policy in its next turn."""
        self._events.append(event)
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self.engine.at(self.engine.now, self._turn)

    def _timer_expired(self, incarnation: int, tag: int) -> None:
        if incarnation == self.incarnation:
            self.post(TimerFired(tag))

    def _turn(self) -> None:
        self._turn_scheduled = False
        if not self.up or not self._events:
            return
        events, self._events = self._events, []
        self.turns += 1
        for action in self._policy.handle(self.engine.now, events):
            self._perform(action)
        self._kill_if_drained()

    def _perform(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            delay_ns = max(MIN_TIMER_NS, action.delay_ns)
            self.engine.after(delay_ns, self._timer_expired, self.incarnation, action.tag)
        elif isinstance(action, Send):
            self._send(action)
        elif isinstance(action, Reject):
            message = self._end_message(action.request, rejected=True)
            if message is not None:
                self.simulation.message_rejected(message.row, action.retry_after_ns)
        elif isinstance(action, Fail):
            message = self._end_message(action.request, rejected=False)
            if message is not None:
                self.simulation.message_failed(message.row)
        elif isinstance(action, CheckHealth):
            self._check_health(self._endpoint(action.endpoint))
        elif isinstance(action, Disconnect) and action.endpoint in self._pools:
            self._pools[action.endpoint].close_idle()

    def _end_message(self, number: int, rejected: bool) -> AcceptedMessage | None:
        self.simulation.checker.message_ended(self.number, self.engine.now, number, rejected)
        return self.messages.pop(number, None)

    # --- calls ------------------------------------------------------------------------------------

    def _send(self, action: Send) -> None:
        simulation = self.simulation
        endpoint = self._endpoint(action.endpoint)
        message = self.messages.get(action.request)
        if message is None or not self.stopping:
            destination = endpoint.destination.number
            simulation.checker.attempt_started(
                self.number, self.engine.now, action.request, endpoint.id, destination
            )
        if message is None or self.stopping:
            return  # a message that is not sent now stays in the journal for the next start
        call = OutgoingCall(self, message, endpoint, action.timeout_ns)
        call.attempt = message.attempts
        draw_index = int(simulation.written[message.row]) % ATTEMPT_DRAWS
        call.draws = simulation.scenario.attempt_draws[message.row, draw_index]
        call.work_ns = int(simulation.scenario.work_ns[message.row, draw_index])
        message.attempts += 1
        self._attempts[message.number, call.attempt] = call
        simulation.attempt_started(message.row)
        self._start(call)

    def _check_health(self, endpoint: Endpoint) -> None:
        if self.stopping:
            return
        self.health_checks += 1
        destination = endpoint.destination.number
        self.simulation.checker.health_check_started(self.number, self.engine.now, destination)
        call = OutgoingCall(self, None, endpoint, HEALTH_CHECK_TIMEOUT_NS)
        call.draws = HEALTH_CHECK_DRAWS
        call.work_ns = HEALTH_CHECK_WORK_NS
        self._start(call)

    def _endpoint(self, id_: EndpointId) -> Endpoint:
        return self.simulation.endpoints[cast("int", id_)]

    def delay_ns(self, endpoint: Endpoint, draw: float) -> int:
        """Return the network's one-way delay between this instance and an endpoint, in nanoseconds."""
        base_ns = self.simulation.delays_ns[endpoint.destination.number - 1]
        return int(base_ns * (1 + self.jitter * (2 * float(draw) - 1)))

    def _start(self, call: OutgoingCall) -> None:
        self.engine.after(call.timeout_ns, self._time_out, call)
        pool = self._pools.get(call.endpoint.id)
        if pool is None:
            pool = ConnectionPool(self.engine, call.endpoint, self.idle_timeout_ns)
            self._pools[call.endpoint.id] = pool
        if pool.take_idle():
            self._write(call, pool)
        else:
            self._connect(call, pool)

    def _connect(self, call: OutgoingCall, pool: ConnectionPool) -> None:
        result = call.endpoint.destination.connect(call.endpoint)
        round_trip_ns = 2 * self.delay_ns(call.endpoint, call.draws[OUTBOUND_DELAY_DRAW])
        if result is ConnectResult.ACCEPTED:
            self.handshakes += 1
            call.opened = True
            pool.open(call)
            self.engine.after(round_trip_ns, self._write, call, pool)
        elif result is ConnectResult.OVER_LIMIT:
            call.opened = True
            call.over_limit = True
            self.engine.after(round_trip_ns, self._write, call, pool)
        elif result is ConnectResult.REFUSED:
            self.engine.after(round_trip_ns, self.complete, call, Outcome.CONNECT_FAILED, 0)
        else:
            timeout_ns = min(self.connect_timeout_ns, call.timeout_ns)
            self.engine.after(timeout_ns, self.complete, call, Outcome.CONNECT_FAILED, 0)

    def _write(self, call: OutgoingCall, pool: ConnectionPool) -> None:
        """Write a call, unless it must no longer be sent."""
        if call.completed or call.incarnation != self.incarnation:
            return
        if not call.over_limit:
            pool.use(call)
        if not self._may_write(call):
            self.complete(call, Outcome.NOT_SENT, 0)
            return
        call.sent_ns = self.engine.now
        if call.message is not None:
            call.message.sent_call = call
            self.simulation.written[call.message.row] += 1
        if self.reset_share and not call.opened and call.draws[ERROR_DRAW] > 1 - self.reset_share:
            call.reset()
            return
        work_ns = call.work_ns + self.handshake_work_ns if call.opened else call.work_ns
        delay_ns = self.delay_ns(call.endpoint, call.draws[OUTBOUND_DELAY_DRAW])
        self.engine.after(delay_ns, self._arrive, call, work_ns)

    def _may_write(self, call: OutgoingCall) -> bool:
        now_ns = self.engine.now
        if self.stopping or not self._usable.get(call.endpoint.id):
            return False
        if self._retry_after_until_ns.get(call.endpoint.destination.number, 0) > now_ns:
            return False
        message = call.message
        if message is None:
            return True
        return message.sent_call is None and message.number in self.messages and now_ns < message.deadline_ns

    @staticmethod
    def _arrive(call: OutgoingCall, work_ns: int) -> None:
        if call.over_limit:
            call.respond(Outcome.OVERLOADED, 0)
        else:
            call.endpoint.destination.arrive(call.endpoint, call, work_ns)

    def _time_out(self, call: OutgoingCall) -> None:
        if not call.completed:
            self.complete(call, Outcome.TIMEOUT if call.sent_ns else Outcome.CONNECT_FAILED, 0)

    def complete(self, call: OutgoingCall, outcome: Outcome, retry_after_ns: int) -> None:
        """Record the outcome of a call; any further outcome is ignored."""
        if call.completed or call.incarnation != self.incarnation:
            return
        call.completed = True
        endpoint, destination = call.endpoint, call.endpoint.destination
        pool = self._pools.get(endpoint.id)
        if pool is not None:
            pool.release(call, reusable=outcome not in BROKEN_CONNECTION)
        if retry_after_ns:
            until_ns = self.engine.now + retry_after_ns
            previous_ns = self._retry_after_until_ns.get(destination.number, 0)
            self._retry_after_until_ns[destination.number] = max(previous_ns, until_ns)
        if outcome not in NON_FAILURES:
            destination.record_failure(self.number)
        if call.message is not None:
            self._complete_attempt(call, call.message, outcome, retry_after_ns)
            return
        elapsed_ns = self.engine.now - call.started_ns
        self.post(HealthCheckCompleted(endpoint.id, outcome, elapsed_ns, retry_after_ns))

    def _complete_attempt(
        self, call: OutgoingCall, message: AcceptedMessage, outcome: Outcome, retry_after_ns: int
    ) -> None:
        now_ns, number, checker = self.engine.now, message.number, self.simulation.checker
        del self._attempts[number, call.attempt]
        if message.sent_call is call:
            message.sent_call = None
            if outcome not in NEVER_RAN:
                message.note_may_have_run(call.sent_ns)
        was_pending = number in self.messages
        done = outcome is Outcome.OK or not was_pending
        if was_pending and done:
            del self.messages[number]
            checker.message_delivered(self.number, now_ns, number)
            self.simulation.message_delivered(message.row)
        destination = call.endpoint.destination.number
        report = AttemptReport(number, destination, outcome, call.sent_ns or now_ns, retry_after_ns, done)
        checker.attempt_completed(self.number, now_ns, report)
        self.simulation.attempt_completed(outcome)
        self.post(
            AttemptCompleted(
                number,
                call.attempt,
                call.endpoint.id,
                outcome,
                now_ns - call.started_ns,
                done,
                retry_after_ns,
                opened=call.opened,
            )
        )
