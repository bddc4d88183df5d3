"""The core: collects events, lets the module decide once a turn, and performs what it decides."""

from heapq import heappop, heappush
from itertools import count

import anyio

from pinspread.core.bundling import group_into_calls
from pinspread.core.endpoint_blocklist import MAX_ID_LENGTH, EndpointBlocklist
from pinspread.core.log import log
from pinspread.core.messages import NEVER_RAN, Attempt, AttemptResult, FinalResult, FinalState, Message
from pinspread.errors import JournalFullError, RejectedError
from pinspread.policy.actions import CheckHealth, Disconnect, Fail, Reject, Send, SetTimer, Subscribe
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
from pinspread.policy.settings import DeduplicationScope, Idempotency

SECOND_US = 1_000_000
BUSY_MS = 1000  # when to come back if there is no room: about the wait that callers choose themselves
PROBE_US = 1_500_000
DRAIN_US = 3_000_000  # after SIGTERM: the process is killed 3.7 s after it, and legs are closed behind this
WAIT_S = 0.02  # between looks at whether copies bar what waits for them
LINGER_US = 500_000  # new callers keep arriving for a while and must hear a busy answer


class DeliveryEngine:
    """One courier: transactions in, branches out, one final answer for each."""

    def __init__(self, policy, settings, clock, journal):
        self.policy = policy
        self.settings = settings  # config.settings.Told
        self.clock = clock
        self.journal = journal
        self.fronts = {}
        self.transports = {}
        self.subscribe = None  # asks discovery for the list's changes
        self.tasks = None
        self.open_messages = {}  # number -> transaction without a final answer
        self.messages_by_id = {}  # id -> its transaction, for those that are not over
        self.endpoints = {}
        self.destinations = (
            set()
        )  # partners that the list has named, though they may have no next hop just now
        self.retry_after_until_us = {}  # dest, or route apart -> until when it told this courier to wait
        self.pending_notifications = {}  # key -> how many of its ends are still to be heard
        self.attempts = {}  # (number, branch) -> Branch
        self.sending = {}  # id of a next hop -> branches that this turn has started
        self.blocklist = EndpointBlocklist()
        self.replication = None  # core.ports.Copies, where a file turns them on
        self.serving = False  # all that is owed is known, and callers are heard
        self.stopping = False
        self.successor = None  # the process that owns all from now on: core.ports.Heir
        self.delayed_results = []  # branches that ended here since then, and how
        self.health_checks = {}  # id of a next hop -> since when a probe of it is out
        self.numbers = count(1)
        self.inbox = []
        self.timers = []
        self.wake = anyio.Event()
        self.calm = anyio.Event()

    # --- what fronts call -------------------------------------------------------------------------

    def recover(self):
        """Take up again all that the journal says is owed."""
        held = self.journal.recover()
        self._take_up(held)
        log("recovered", held=len(self.open_messages), notices=len(held) - len(self.open_messages))

    def _take_up(self, held, out=(), known=()):
        """Owe what the journal says; `out` have a branch elsewhere, of `known` the module has heard."""
        self.blocklist = EndpointBlocklist(self.journal.blocked_endpoints)
        for endpoint in self.endpoints.values():
            if endpoint.id in self.blocklist.ids:
                self._show(endpoint)
        self.numbers = count(max((t.number for t in held), default=0) + 1)
        for t in held:
            self.messages_by_id[t.id] = t
            if t.in_flight_since_unix_us and t.number not in out:
                # Danger: it was out when the process ended, and may have run or still run.
                t.may_have_run_unix_us = t.may_have_run_unix_us or t.in_flight_since_unix_us
                t.in_flight_since_unix_us = 0
            t.rules = t.rules or self.settings.delivery_rules.get(t.class_name)
            if t.final is None and t.rules is None:
                t.final = FinalResult(
                    FinalState.FAILED
                )  # an older version took it, and the settings have changed since
            if t.final is not None:
                self._owe_notice(t)
            else:
                self.open_messages[t.number] = t
                if t.number not in known:
                    self._hand_to_module(t, owed=True)

    def unknown_reason(self, cls, tenant, dest) -> str:
        """What of a message nothing can be decided for; empty if all is known."""
        if cls not in self.settings.delivery_rules or tenant not in self.settings.tenants:
            return f"unknown class or tenant: {cls[:32]!r}, {tenant[:32]!r}"
        # Danger: taken on for a partner that does not exist, a message fills a place until its time is up.
        if self.destinations and dest not in self.destinations:
            return f"unknown dest: {dest}"
        return ""

    def accept(self, message: Message):
        """Take a transaction on: it is in the journal when this returns. Raises Busy."""
        if self.replication and (why := self.replication.blocked_reason()):
            raise RejectedError(
                BUSY_MS, why
            )  # of what is known as well: it may have been taken over meanwhile
        known = self.messages_by_id.get(message.id)
        if known is not None and known.final is not None and known.final.state is FinalState.RETURNED:
            raise RejectedError(BUSY_MS, "it was returned, and that has not been heard yet")
        if known is not None or message.id in self.journal.finished_ids:
            return  # sent once more on a new connection: it is taken on already
        if self.stopping:
            raise RejectedError(self.settings.max_retry_after_ms, "shutting down")
        if len(self.open_messages) >= self.settings.policy_settings.max_held_messages:
            raise RejectedError(BUSY_MS, "holds all it may")
        message.number = next(self.numbers)
        message.rules = self.settings.delivery_rules[message.class_name]
        if not message.rules.traffic_class.in_order:
            message.key = 0
        try:
            self.journal.message_accepted(message)
        except JournalFullError as error:
            raise RejectedError(BUSY_MS, str(error)) from None
        self.open_messages[message.number] = self.messages_by_id[message.id] = message
        self._hand_to_module(message)
        log(
            "taken",
            id=message.id,
            cls=message.class_name,
            dest=message.destination,
            n=message.number,
            tenant=message.tenant,
            key=message.key,
            size=len(message.body),
            for_ms=(message.deadline_unix_us - self.clock.unix(self.clock.now())) // 1000,
        )

    async def wait_committed(self) -> bool:
        """Whether what was taken on by now may be promised: at once, or once it is copied."""
        return self.replication is None or await self.replication.wait_replicated()

    def take_over(self, messages) -> int:
        """Owe what another courier took on, from where it stands; how many were new here. JournalFull."""
        count_ = 0
        for t in messages:
            if t.id in self.messages_by_id or t.id in self.journal.finished_ids:
                continue
            t.number = next(self.numbers)
            t.may_have_run_unix_us, t.in_flight_since_unix_us = (
                t.may_have_run_unix_us or t.in_flight_since_unix_us,
                0,
            )  # Danger: it may have run, or still run
            t.rules = t.rules or self.settings.delivery_rules.get(t.class_name)
            if t.final is None and t.rules is None:
                t.final = FinalResult(FinalState.FAILED)
            self.journal.message_taken_over(t)
            self.messages_by_id[t.id] = t
            count_ += 1
            if t.final is not None:
                self._owe_notice(t)
                self.tasks.start_soon(self._notify, t)
            else:
                self.open_messages[t.number] = t
                self._hand_to_module(t, owed=True)
        return count_

    def release(self, ids) -> int:
        """Owe these no longer, for another courier has taken them over; how many of them were owed here."""
        gone = [t for t in self.messages_by_id.values() if t.id in ids]
        for t in gone:
            del self.messages_by_id[t.id]
            if self.open_messages.pop(t.number, None) is not None:
                self.post(ClientCancelled(t.number))
            elif self.fronts[t.front].ordered_by_notice:
                self._heard(t.key)
        self.journal.release(gone)
        self.journal.begin()
        return len(gone)

    def apply_settings(self, told):
        """Other settings count from now on; what is open keeps the rules that it was taken on under."""
        self.settings = told
        self.post(SettingsChanged(told.policy_settings))

    def withdraw(self, message: Message):
        """Nobody wants it any more, and nothing is owed for it."""
        if self.open_messages.pop(message.number, None) is not None:
            self.post(ClientCancelled(message.number))
            self._over(message)

    def update_endpoints(self, scope, endpoints):
        """News of the list of endpoints: whole or changes; a hop that is gone comes as not usable."""
        gone = set(self.endpoints) if scope in (UpdateScope.FULL, UpdateScope.CACHED) else set()
        entries = []
        for endpoint, listed in endpoints:
            old = self.endpoints.get(endpoint.id)
            endpoint.listed, state = listed, self.blocklist.effective_state(endpoint.id, listed)
            endpoint.usable = state is EndpointState.READY
            # Danger: a branch that is dialled names the object it began with. Replaced at each list, that one
            # would miss all but the next change, and a drain or ban would not be seen right before the write.
            if old is not None and old.same_address_as(endpoint):
                old.update_from(endpoint)
                endpoint = old
            elif old is not None:
                old.usable = False  # it is elsewhere by now
            self.endpoints[endpoint.id] = endpoint
            self.destinations.add(endpoint.destination)
            entries.append(_entry(endpoint, state))
            if state is EndpointState.REMOVED:
                gone.add(endpoint.id)
            else:
                gone.discard(endpoint.id)
                if not endpoint.usable and endpoint.scheme in self.transports:
                    self.transports[endpoint.scheme].disconnect(
                        endpoint
                    )  # idle connections serve nobody any more
        for id_ in gone:
            # Danger: next hops are replaced all day under new ids; what each leaves would fill the memory.
            endpoint = self.endpoints.pop(id_)
            endpoint.usable = False
            if endpoint.scheme in self.transports:
                self.transports[endpoint.scheme].forget(endpoint)
        now_us = self.clock.now()
        self.retry_after_until_us = {
            line: at_us for line, at_us in self.retry_after_until_us.items() if at_us > now_us
        }
        self.post(EndpointsChanged(scope, entries))

    # --- what operators ask -----------------------------------------------------------------------

    def ready(self) -> bool:
        """Whether this process serves."""
        return self.serving and not self.stopping and not self.successor

    async def disable(self, id_: str) -> bool:
        """Take an endpoint out until it is called back, whatever the list says; false if it is unknown."""
        if self.successor:
            return await self.successor.set_blocked(id_, True)
        if not self.serving:
            raise RejectedError(BUSY_MS, "not serving yet")
        if id_ not in self.endpoints and id_ not in self.blocklist.ids:
            return False
        if len(id_) <= MAX_ID_LENGTH and self.blocklist.block(id_):
            try:
                self.journal.endpoint_blocked(id_, True)
            except JournalFullError:
                self.blocklist.unblock(id_)
                raise
            if id_ in self.endpoints:
                self._show(self.endpoints[id_])
        log("endpoint_out", hop=id_, out=len(self.blocklist.ids))
        return True

    async def enable(self, id_: str) -> bool:
        """Use an endpoint again, as one that comes back cold; false if it is unknown."""
        if self.successor:
            return await self.successor.set_blocked(id_, False)
        if not self.serving:
            raise RejectedError(BUSY_MS, "not serving yet")
        if id_ not in self.endpoints and id_ not in self.blocklist.ids:
            return False
        if id_ in self.blocklist.ids:
            self.journal.endpoint_blocked(id_, False)
            self.blocklist.unblock(id_)
            if id_ in self.endpoints:
                self._show(self.endpoints[id_], cold=True)
        log("endpoint_back", hop=id_, out=len(self.blocklist.ids))
        return True

    def _show(self, endpoint, cold=False):
        """Have the module told how a next hop reads now that a ban of it came or went."""
        state = self.blocklist.effective_state(endpoint.id, endpoint.listed)
        endpoint.usable = state is EndpointState.READY
        if not endpoint.usable and endpoint.scheme in self.transports:
            self.transports[endpoint.scheme].disconnect(
                endpoint
            )  # what is out finishes, what is idle serves nobody
        self.post(EndpointsChanged(UpdateScope.DELTA, [_entry(endpoint, state, cold)]))

    def post(self, event):
        """Have the module told in the next turn."""
        self.inbox.append(event)
        self.wake.set()

    # --- the turn loop ----------------------------------------------------------------------------

    async def run(self):
        """Run turns until cancelled."""
        async with anyio.create_task_group() as self.tasks:
            for t in self.messages_by_id.values():
                if t.final is not None:
                    self.tasks.start_soon(self._notify, t)
            while True:
                due_us = self.timers[0][0] if self.timers and not self.successor else None
                with anyio.move_on_after(None if due_us is None else self._seconds_to(due_us)):
                    await self.wake.wait()
                self.wake = anyio.Event()
                self.turn()

    def turn(self):
        """One turn: everything that has happened goes to the module, and its actions are performed."""
        if self.successor:
            return
        now_us = self.clock.now()
        events, self.inbox = self.inbox, []
        while self.timers and self.timers[0][0] <= now_us:
            events.append(TimerFired(heappop(self.timers)[1]))
        if events:
            for action in self.policy.handle(now_us * 1000, events):
                self._perform(action, now_us)
            self._launch()
        if self.stopping and not self.attempts:
            self.calm.set()

    def _seconds_to(self, at_us):
        return max(0, at_us - self.clock.now()) / SECOND_US

    def _perform(self, action, now_us):
        kind = type(action)
        if kind is SetTimer:
            heappush(self.timers, (now_us + max(1, action.delay_ns // 1000), action.tag))
        elif kind is Send:
            if not self.stopping:  # what is not sent now stays in the journal for the next start
                self._start_attempt(action, now_us)
        elif kind is Reject:
            self._end(
                self.open_messages[action.request],
                FinalResult(FinalState.RETURNED, -(-action.retry_after_ns // 1_000_000)),
            )
        elif kind is Fail:
            self._end(self.open_messages[action.request], FinalResult(FinalState.FAILED))
        elif kind is CheckHealth:
            if not self.stopping:
                self.tasks.start_soon(self._check_health, self.endpoints[action.endpoint], now_us)
        elif kind is Disconnect:
            endpoint = self.endpoints.get(action.endpoint)
            if endpoint is not None:  # else it is gone, and its connections with it
                self.transports[endpoint.scheme].disconnect(endpoint)
        elif kind is Subscribe:
            self.subscribe()

    # --- branches ---------------------------------------------------------------------------------

    def _start_attempt(self, action, now_us):
        message = self.open_messages[action.request]
        endpoint = self.endpoints[action.endpoint]
        attempt = Attempt(message, message.attempts, endpoint, now_us, action.timeout_ns // 1000)
        attempt.check_before_write = lambda: self._check_before_write(attempt)
        attempt.apply_retry_after = lambda retry_after_us: self._apply_retry_after(
            endpoint, retry_after_us, self.clock.now()
        )
        message.attempts += 1
        self.attempts[message.number, attempt.number] = attempt
        self.sending.setdefault(endpoint.id, []).append(attempt)

    def _launch(self):
        """Run the branches that this turn has started; those to one next hop share calls where they may."""
        sending, self.sending = self.sending, {}
        for attempts in sending.values():
            endpoint = attempts[0].endpoint
            most = (
                self.settings.policy_settings.kind(endpoint.kind).max_bundle_size
                if endpoint.scheme == "http"
                else 1
            )
            for call in group_into_calls(attempts, most):
                if len(call) > 1:
                    self.tasks.start_soon(self._run_call, call)
                else:
                    self.tasks.start_soon(self._run_attempt, call[0])

    async def _run_call(self, attempts):
        try:
            if not await self._recorded(attempts):
                outcomes = [AttemptResult(Outcome.NOT_SENT, note="not copied") for _ in attempts]
            else:
                outcomes = await self.transports[attempts[0].endpoint.scheme].send_many(attempts)
        except Exception as error:
            # Danger: as for one branch; those that were written may have run.
            log("fault", where="call", error=repr(error))
            outcomes = [_lost(attempt) for attempt in attempts]
        for attempt, outcome in zip(attempts, outcomes, strict=True):
            self._attempt_ended(attempt, outcome)

    async def _run_attempt(self, attempt):
        message = attempt.message
        if message.key in self.pending_notifications and message.key:
            # Danger: an earlier message of the key that ended by a notice is over once that is answered.
            with anyio.move_on_after(self._seconds_to(attempt.ends_us())):
                while message.key in self.pending_notifications and not self.successor:
                    await anyio.sleep(0.005)
        try:
            if message.key in self.pending_notifications and message.key and not self.successor:
                # Danger: its time is over; a transport would find none to dial in, and blame the partner.
                outcome = AttemptResult(Outcome.NOT_SENT, note="its key waits for a notice")
            elif not await self._recorded([attempt]):
                outcome = AttemptResult(Outcome.NOT_SENT, note="not copied")
            else:
                outcome = await self.transports[attempt.endpoint.scheme].send(attempt)
        except Exception as error:
            # Danger: a transport's fault must neither end the process nor pass for proof that nothing ran.
            log("fault", where="branch", error=repr(error))
            outcome = _lost(attempt)
        self._attempt_ended(attempt, outcome)

    async def _recorded(self, attempts) -> bool:
        """With copies, record branches as started and have that copied before their transport is called."""
        if self.replication is None:
            return True
        # Danger: each refusal counts as an attempt; what is not ours, or not copied, for a while would be
        # given up. So the wait is bound by the messages' time, and the partner's time begins behind it.
        until_us = min(self.clock.monotonic(attempt.message.deadline_unix_us) for attempt in attempts)
        while self.replication.blocked_reason() and self.clock.now() < until_us and not self.stopping:
            await anyio.sleep(WAIT_S)
        if self.replication.blocked_reason():
            return False
        unix_us = self.clock.unix(self.clock.now())
        for attempt in attempts:
            t = attempt.message
            if t.in_flight_since_unix_us or t.number not in self.open_messages:
                continue  # `check_before_write` says why not
            try:
                t.zone = t.zone if t.may_have_run_unix_us else attempt.endpoint.zone
                self.journal.attempt_started(t, attempt.number, unix_us)
            except JournalFullError:
                return False
            attempt.recorded = True
        while not await self.replication.wait_replicated():
            if self.clock.now() >= until_us or self.stopping:
                return False
            await anyio.sleep(WAIT_S)
        now_us = self.clock.now()
        for attempt in attempts:
            attempt.started_us = now_us
            attempt.timeout_us = max(1, min(attempt.timeout_us, until_us - now_us))
        return True

    def _check_before_write(self, attempt):
        """Asked right before a branch's first byte: empty if it may be written, else why not."""
        # Danger: dialling takes time, and what was allowed when the module decided may not be any more.
        message, endpoint = attempt.message, attempt.endpoint
        why = self._barred(endpoint)
        if message.number not in self.open_messages:
            why = "over"
        elif self.clock.now() >= min(attempt.ends_us(), self.clock.monotonic(message.deadline_unix_us)):
            why = "out of time"
        elif message.key and message.key in self.pending_notifications:
            why = "its key waits for a notice"
        elif message.in_flight_since_unix_us and not attempt.recorded:
            why = "another branch is out"  # never two copies, whatever the module says
        elif endpoint.destination != message.destination:
            why = "not its partner"
        elif not self._may_repeat(message, endpoint):
            why = "a repeat may take effect there"
        if not why and self.replication:
            # Danger: the lease of this work may have ended while the branch was copied or dialled.
            why = self.replication.blocked_reason() or ("" if attempt.recorded else "not copied")
        if not why and not attempt.recorded:
            try:
                message.zone = message.zone if message.may_have_run_unix_us else endpoint.zone
                self.journal.attempt_started(message, attempt.number, self.clock.unix(self.clock.now()))
            except JournalFullError as error:
                why = str(error)
        return why

    def _may_repeat(self, t, endpoint):
        """Whether a further branch does no harm there now, after one that may have run."""
        # Danger: the module chose in time, but a dial may outlast the window in which repeats are dropped.
        cls = t.rules.traffic_class
        if not t.may_have_run_unix_us or cls.effect is Idempotency.IDEMPOTENT:
            return True
        in_time = (
            self.clock.unix(self.clock.now()) < t.may_have_run_unix_us + cls.deduplication_window_ns // 1000
        )
        near = cls.group is not DeduplicationScope.ZONE or endpoint.zone == t.zone
        return cls.effect is Idempotency.WITH_KEY and in_time and near

    def _barred(self, endpoint):
        """Why nothing may go to a next hop at present, whatever it is."""
        if self.successor:
            return "handed over"
        if self.stopping:
            return "shutting down"
        if not endpoint.usable:
            return "drains or is gone"
        if self.retry_after_until_us.get(self._line(endpoint), 0) > self.clock.now():
            return "told to wait"
        return ""

    def _attempt_ended(self, attempt, outcome: AttemptResult):
        message, now_us = attempt.message, self.clock.now()
        del self.attempts[message.number, attempt.number]
        attempt.detach()
        if self.successor:
            self.delayed_results.append((attempt, outcome))
            self.successor.attempt_ended(message.number, attempt.number, outcome)
            return
        self._apply_retry_after(attempt.endpoint, outcome.retry_after_us, now_us)
        was_open = message.number in self.open_messages
        unsent = outcome.outcome is Outcome.NOT_SENT and not message.in_flight_since_unix_us
        log(
            "branch",
            id=message.id,
            n=attempt.number,
            hop=attempt.endpoint.id,
            verdict=outcome.outcome.name,
            took_us=now_us - attempt.started_us,
            wait_us=outcome.retry_after_us,
            idle_us=outcome.idle_us,
            note=outcome.note,
        )
        if was_open and outcome.outcome is Outcome.OK:
            self._end(message, FinalResult(FinalState.DELIVERED))
        elif was_open and outcome.no_longer_wanted:
            del self.open_messages[message.number]
            self._over(message)
        elif was_open and message.in_flight_since_unix_us:
            self._record(
                self.journal.attempt_ended, message, attempt.number, outcome.outcome not in NEVER_RAN
            )
        self.post(
            AttemptCompleted(
                message.number,
                attempt.number,
                attempt.endpoint.id,
                outcome.outcome,
                (now_us - attempt.started_us) * 1000,
                message.number not in self.open_messages,
                outcome.retry_after_us * 1000,
                limit_remaining=outcome.limit_remaining,
                limit_per_s=outcome.limit_per_s,
                opened=outcome.opened,
                unsent=unsent,
            )
        )

    def _apply_retry_after(self, endpoint, retry_after_us, now_us):
        if retry_after_us and self.successor:
            self.successor.apply_retry_after(endpoint.id, retry_after_us)
        if retry_after_us:
            line = self._line(endpoint)
            self.retry_after_until_us[line] = max(
                self.retry_after_until_us.get(line, 0), now_us + retry_after_us
            )

    def _line(self, endpoint):
        """What a told wait binds: a partner, or the one next hop where its routes are apart."""
        return (
            endpoint.id
            if self.settings.policy_settings.kind(endpoint.kind).limits_per_endpoint
            else endpoint.destination
        )

    async def _check_health(self, endpoint, started_us):
        self.health_checks[endpoint.id] = started_us
        with anyio.move_on_after(PROBE_US / SECOND_US) as limit:
            outcome = await self.transports[endpoint.scheme].check_health(
                endpoint, lambda: self._barred(endpoint)
            )
        if limit.cancelled_caught:
            outcome = AttemptResult(Outcome.TIMEOUT)
        self._health_check_ended(endpoint, started_us, outcome)

    def _health_check_ended(self, endpoint, started_us, outcome):
        self.health_checks.pop(endpoint.id, None)
        now_us = self.clock.now()
        self._apply_retry_after(endpoint, outcome.retry_after_us, now_us)
        if self.successor:
            self.successor.health_check_ended(endpoint.id, outcome)
        log("probe", hop=endpoint.id, verdict=outcome.outcome.name, note=outcome.note)
        took_ns = (now_us - started_us) * 1000
        self.post(HealthCheckCompleted(endpoint.id, outcome.outcome, took_ns, outcome.retry_after_us * 1000))

    # --- ends -------------------------------------------------------------------------------------

    def _end(self, message, final):
        """Give the final answer at once; it is over when its front says that it was heard."""
        del self.open_messages[message.number]
        log("final", id=message.id, state=final.state.name, after_ms=final.retry_after_ms)
        if final.state is FinalState.DELIVERED and not self.fronts[message.front].reports_delivery:
            self._over(message)
            return
        message.final = final
        self._record(self.journal.final_result, message, final)
        self._owe_notice(message)
        self.tasks.start_soon(self._notify, message)

    def _owe_notice(self, message):
        if self.fronts[message.front].ordered_by_notice:
            self.pending_notifications[message.key] = self.pending_notifications.get(message.key, 0) + 1

    async def _notify(self, message):
        front = self.fronts[message.front]
        if self.replication:
            # Danger: a successor that finds no end in its copy, or took the work over, would give another.
            while self.replication.blocked_reason() or not await self.replication.wait_replicated():
                await anyio.sleep(WAIT_S)
            if self.messages_by_id.get(message.id) is not message:
                return  # disowned meanwhile: who took it over tells its end
        await front.notify(message, message.final)
        if front.ordered_by_notice:
            self._heard(message.key)
        self._over(message)

    def _heard(self, key):
        self.pending_notifications[key] -= 1
        if not self.pending_notifications[key]:
            del self.pending_notifications[key]

    def _over(self, message):
        self._record(self.journal.message_ended, message)
        del self.messages_by_id[message.id]

    def _record(self, write, *what):
        if self.successor:
            return  # Danger: two writers to one file; the heir records what it hears of
        try:
            write(*what)
        except JournalFullError as error:
            log("journal_full", error=str(error))  # the next rewrite holds what memory holds

    def _hand_to_module(self, t, owed=False):
        clock = self.clock
        self.post(
            MessageAccepted(
                request=t.number,
                class_index=0,
                destination=t.destination,
                deadline_ns=clock.monotonic(t.deadline_unix_us) * 1000,
                key=t.key,
                tenant=self.settings.tenants.get(t.tenant, 0),
                attempts=t.attempts,
                may_have_run_ns=clock.monotonic(t.may_have_run_unix_us) * 1000
                if t.may_have_run_unix_us
                else 0,
                may_have_run_zone=t.zone,
                traffic_class=t.rules.traffic_class,
                max_attempts=t.rules.max_attempts,
                recovered=owed,
            )
        )

    # --- from one process to the next -------------------------------------------------------------

    def pause_for_handover(self, successor) -> dict:
        """Come to rest for an heir, and give what it needs beside the journal, which rests too."""
        self.successor = successor
        self.journal.close()
        return {
            "sender": self.policy,
            "inbox": self.inbox,
            "timers": self.timers,
            "told_us": self.retry_after_until_us,
            "hops": list(self.endpoints.values()),
            "dests": self.destinations,
            "next": next(self.numbers),
            "made": {t.number: t.attempts for t in self.open_messages.values()},
            "out": [(*k, b.endpoint, b.started_us, b.timeout_us) for k, b in self.attempts.items()],
            "probes": self.health_checks,
        }

    def cancel_handover(self):
        """Serve on, for the heir did not take over."""
        self.successor = None
        self.journal.begin()
        late, self.delayed_results = self.delayed_results, []
        for attempt, outcome in late:
            self.attempts[attempt.message.number, attempt.number] = attempt
            self._attempt_ended(attempt, outcome)
        self.wake.set()

    def resume_from_handover(self, state: dict):
        """Take over from the process before; the journal has been read."""
        self.policy = state["sender"]
        self.inbox, self.timers = state["inbox"], state["timers"]
        self.retry_after_until_us, self.destinations = state["told_us"], state["dests"]
        self.numbers = count(state["next"])
        self.endpoints = {endpoint.id: endpoint for endpoint in state["hops"]}
        self.journal.begin()
        held = list(self.journal.open_messages.values())
        out = {number for number, *_ in state["out"]}
        coming = {event.request for event in self.inbox if type(event) is MessageAccepted}
        self._take_up(held, out, coming | self.policy.messages.keys())
        for t in self.open_messages.values():
            t.attempts = max(t.attempts, state["made"].get(t.number, 0))
        by_number = {t.number: t for t in held}
        for number, n, endpoint, started_us, timeout_us in state["out"]:
            # One that is over has a branch out all the same: its slot is taken until that ends.
            message = by_number.get(number) or _over(number, endpoint.destination)
            known = self.endpoints.get(endpoint.id, endpoint)
            self.attempts[number, n] = Attempt(message, n, known, started_us, timeout_us)
        self.health_checks = dict(state["probes"])
        log(
            "inherited",
            held=len(self.open_messages),
            notices=len(held) - len(self.open_messages),
            out=len(out),
        )

    def predecessor_attempt_ended(self, number: int, n: int, outcome: AttemptResult):
        """The process before tells how a branch of its own ended."""
        attempt = self.attempts.get((number, n))
        if attempt is not None:
            self._attempt_ended(attempt, outcome)

    def predecessor_retry_after(self, id_: str, retry_after_us: int):
        """The process before was told to wait."""
        if id_ in self.endpoints:
            self._apply_retry_after(self.endpoints[id_], retry_after_us, self.clock.now())

    def predecessor_health_check_ended(self, id_: str, outcome: AttemptResult):
        """The process before tells how a probe of its own ended."""
        if id_ in self.health_checks and id_ in self.endpoints:
            self._health_check_ended(self.endpoints[id_], self.health_checks[id_], outcome)

    def predecessor_lost(self, attempts, probes):
        """The process before has ended, and what it had out is not told any more."""
        for number, n in attempts:
            # Danger: it may have run, or still run.
            self.predecessor_attempt_ended(number, n, AttemptResult(Outcome.RESET, note="its process ended"))
        for id_ in probes:
            self.predecessor_health_check_ended(
                id_, AttemptResult(Outcome.NOT_SENT, note="its process ended")
            )

    # --- the end of the process -------------------------------------------------------------------

    async def stop(self):
        """Busy answers from now on; return when all that is out has ended, or time is short."""
        log("stopping", out=len(self.attempts), held=len(self.open_messages))
        self.stopping = True
        self.wake.set()
        with anyio.move_on_after(DRAIN_US / SECOND_US):
            await anyio.sleep(LINGER_US / SECOND_US)
            await self.calm.wait()
            while self.pending_notifications:
                await anyio.sleep(0.005)


def _lost(attempt):
    return AttemptResult(Outcome.RESET if attempt.message.in_flight_since_unix_us else Outcome.CONNECT_FAILED)


def _over(number, dest):
    return Message(number, "", "", "", dest, 0, "", 0)


def _entry(endpoint, state, cold=False):
    return EndpointEntry(
        endpoint.id, endpoint.destination, endpoint.zone, endpoint.kind, state, endpoint.weight, cold
    )
