"""The core: collects events, lets the module decide once a turn, and performs what it decides."""

from heapq import heappop, heappush
from itertools import count

import anyio

from pinspread import interface as api
from pinspread.core.bans import MOST_ID, Bans
from pinspread.core.calls import groups
from pinspread.core.journal import JournalFull
from pinspread.core.log import log
from pinspread.core.transactions import NEVER_RAN, Branch, Final, Outcome, State, Transaction

SECOND_US = 1_000_000
BUSY_MS = 1000  # when to come back if there is no room: about the wait that callers choose themselves
PROBE_US = 1_500_000
DRAIN_US = 3_000_000  # after SIGTERM: the process is killed 3.7 s after it, and legs are closed behind this
WAIT_S = 0.02  # between looks at whether copies bar what waits for them
LINGER_US = 500_000  # new callers keep arriving for a while and must hear a busy answer


class Busy(Exception):
    """A busy answer: nothing was taken on; come back after `after_ms`."""

    def __init__(self, after_ms: int, why: str):
        super().__init__(why)
        self.after_ms = after_ms


class Courier:
    """One courier: transactions in, branches out, one final answer for each."""

    def __init__(self, sender, settings, clock, journal):
        self.sender = sender
        self.settings = settings  # config.settings.Told
        self.clock = clock
        self.journal = journal
        self.fronts = {}
        self.transports = {}
        self.subscribe = None  # asks discovery for the list's changes
        self.tasks = None
        self.open = {}  # number -> transaction without a final answer
        self.ids = {}  # id -> its transaction, for those that are not over
        self.next_hops = {}
        self.dests = set()  # partners that the list has named, though they may have no next hop just now
        self.told_us = {}  # dest, or route apart -> until when it told this courier to wait
        self.notified = {}  # key -> how many of its ends are still to be heard
        self.branches = {}  # (number, branch) -> Branch
        self.sending = {}  # id of a next hop -> branches that this turn has started
        self.bans = Bans()
        self.copies = None  # core.ports.Copies, where a file turns them on
        self.serving = False  # all that is owed is known, and callers are heard
        self.stopping = False
        self.heir = None  # the process that owns all from now on: core.ports.Heir
        self.late = []  # branches that ended here since then, and how
        self.probes = {}  # id of a next hop -> since when a probe of it is out
        self.numbers = count(1)
        self.inbox = []
        self.timers = []
        self.wake = anyio.Event()
        self.calm = anyio.Event()

    # --- what fronts call -------------------------------------------------------------------------

    def recover(self):
        """Take up again all that the journal says is owed."""
        held = self.journal.open()
        self._take_up(held)
        log("recovered", held=len(self.open), notices=len(held) - len(self.open))

    def _take_up(self, held, out=(), known=()):
        """Owe what the journal says; `out` have a branch elsewhere, of `known` the module has heard."""
        self.bans = Bans(self.journal.bans)
        for hop in self.next_hops.values():
            if hop.id in self.bans.ids:
                self._show(hop)
        self.numbers = count(max((t.number for t in held), default=0) + 1)
        for t in held:
            self.ids[t.id] = t
            if t.live_us and t.number not in out:
                # Danger: it was out when the process ended, and may have run or still run.
                t.may_run_us = t.may_run_us or t.live_us
                t.live_us = 0
            t.rules = t.rules or self.settings.rules.get(t.cls)
            if t.final is None and t.rules is None:
                t.final = Final(State.FAILED)  # an older version took it, and the settings have changed since
            if t.final is not None:
                self._owe_notice(t)
            else:
                self.open[t.number] = t
                if t.number not in known:
                    self._hand_to_module(t, owed=True)

    def unknown(self, cls, tenant, dest) -> str:
        """What of a message nothing can be decided for; empty if all is known."""
        if cls not in self.settings.rules or tenant not in self.settings.tenants:
            return f"unknown class or tenant: {cls[:32]!r}, {tenant[:32]!r}"
        # Danger: taken on for a partner that does not exist, a message fills a place until its time is up.
        if self.dests and dest not in self.dests:
            return f"unknown dest: {dest}"
        return ""

    def take(self, transaction: Transaction):
        """Take a transaction on: it is in the journal when this returns. Raises Busy."""
        if self.copies and (why := self.copies.barred()):
            raise Busy(BUSY_MS, why)  # of what is known as well: it may have been taken over meanwhile
        known = self.ids.get(transaction.id)
        if known is not None and known.final is not None and known.final.state is State.RETURNED:
            raise Busy(BUSY_MS, "it was returned, and that has not been heard yet")
        if known is not None or transaction.id in self.journal.past:
            return  # sent once more on a new connection: it is taken on already
        if self.stopping:
            raise Busy(self.settings.max_come_back_ms, "shutting down")
        if len(self.open) >= self.settings.module.most_held:
            raise Busy(BUSY_MS, "holds all it may")
        transaction.number = next(self.numbers)
        transaction.rules = self.settings.rules[transaction.cls]
        if not transaction.rules.cls.in_order:
            transaction.key = 0
        try:
            self.journal.taken(transaction)
        except JournalFull as error:
            raise Busy(BUSY_MS, str(error)) from None
        self.open[transaction.number] = self.ids[transaction.id] = transaction
        self._hand_to_module(transaction)
        log(
            "taken",
            id=transaction.id,
            cls=transaction.cls,
            dest=transaction.dest,
            n=transaction.number,
            tenant=transaction.tenant,
            key=transaction.key,
            size=len(transaction.body),
            for_ms=(transaction.until_unix_us - self.clock.unix(self.clock.now())) // 1000,
        )

    async def promised(self) -> bool:
        """Whether what was taken on by now may be promised: at once, or once it is copied."""
        return self.copies is None or await self.copies.settled()

    def adopt(self, transactions) -> int:
        """Owe what another courier took on, from where it stands; how many were new here. JournalFull."""
        count_ = 0
        for t in transactions:
            if t.id in self.ids or t.id in self.journal.past:
                continue
            t.number = next(self.numbers)
            t.may_run_us, t.live_us = t.may_run_us or t.live_us, 0  # Danger: it may have run, or still run
            t.rules = t.rules or self.settings.rules.get(t.cls)
            if t.final is None and t.rules is None:
                t.final = Final(State.FAILED)
            self.journal.adopted(t)
            self.ids[t.id] = t
            count_ += 1
            if t.final is not None:
                self._owe_notice(t)
                self.tasks.start_soon(self._notify, t)
            else:
                self.open[t.number] = t
                self._hand_to_module(t, owed=True)
        return count_

    def disown(self, ids) -> int:
        """Owe these no longer, for another courier has taken them over; how many of them were owed here."""
        gone = [t for t in self.ids.values() if t.id in ids]
        for t in gone:
            del self.ids[t.id]
            if self.open.pop(t.number, None) is not None:
                self.post(api.ClientGone(t.number))
            elif self.fronts[t.front].over_when_heard:
                self._heard(t.key)
        self.journal.drop(gone)
        self.journal.begin()
        return len(gone)

    def settle(self, told):
        """Other settings count from now on; what is open keeps the rules that it was taken on under."""
        self.settings = told
        self.post(api.SettingsChanged(told.module))

    def withdraw(self, transaction: Transaction):
        """Nobody wants it any more, and nothing is owed for it."""
        if self.open.pop(transaction.number, None) is not None:
            self.post(api.ClientGone(transaction.number))
            self._over(transaction)

    def learn(self, scope, next_hops):
        """News of the list of endpoints: whole or changes; a hop that is gone comes as not usable."""
        gone = set(self.next_hops) if scope in (api.ListScope.FULL, api.ListScope.CACHED) else set()
        entries = []
        for hop, listed in next_hops:
            old = self.next_hops.get(hop.id)
            hop.listed, state = listed, self.bans.seen(hop.id, listed)
            hop.usable = state is api.ListState.READY
            # Danger: a branch that is dialled names the object it began with. Replaced at each list, that one
            # would miss all but the next change, and a drain or ban would not be seen right before the write.
            if old is not None and old.reached_as(hop):
                old.take_over(hop)
                hop = old
            elif old is not None:
                old.usable = False  # it is elsewhere by now
            self.next_hops[hop.id] = hop
            self.dests.add(hop.dest)
            entries.append(_entry(hop, state))
            if state is api.ListState.GONE:
                gone.add(hop.id)
            else:
                gone.discard(hop.id)
                if not hop.usable and hop.scheme in self.transports:
                    self.transports[hop.scheme].disconnect(hop)  # idle connections serve nobody any more
        for id_ in gone:
            # Danger: next hops are replaced all day under new ids; what each leaves would fill the memory.
            hop = self.next_hops.pop(id_)
            hop.usable = False
            if hop.scheme in self.transports:
                self.transports[hop.scheme].forget(hop)
        now_us = self.clock.now()
        self.told_us = {line: at_us for line, at_us in self.told_us.items() if at_us > now_us}
        self.post(api.ListChanged(scope, entries))

    # --- what operators ask -----------------------------------------------------------------------

    def ready(self) -> bool:
        """Whether this process serves."""
        return self.serving and not self.stopping and not self.heir

    async def disable(self, id_: str) -> bool:
        """Take an endpoint out until it is called back, whatever the list says; false if it is unknown."""
        if self.heir:
            return await self.heir.ban(id_, True)
        if not self.serving:
            raise Busy(BUSY_MS, "not serving yet")
        if id_ not in self.next_hops and id_ not in self.bans.ids:
            return False
        if len(id_) <= MOST_ID and self.bans.out(id_):
            try:
                self.journal.banned(id_, True)
            except JournalFull:
                self.bans.back(id_)
                raise
            if id_ in self.next_hops:
                self._show(self.next_hops[id_])
        log("endpoint_out", hop=id_, out=len(self.bans.ids))
        return True

    async def enable(self, id_: str) -> bool:
        """Use an endpoint again, as one that comes back cold; false if it is unknown."""
        if self.heir:
            return await self.heir.ban(id_, False)
        if not self.serving:
            raise Busy(BUSY_MS, "not serving yet")
        if id_ not in self.next_hops and id_ not in self.bans.ids:
            return False
        if id_ in self.bans.ids:
            self.journal.banned(id_, False)
            self.bans.back(id_)
            if id_ in self.next_hops:
                self._show(self.next_hops[id_], cold=True)
        log("endpoint_back", hop=id_, out=len(self.bans.ids))
        return True

    def _show(self, hop, cold=False):
        """Have the module told how a next hop reads now that a ban of it came or went."""
        state = self.bans.seen(hop.id, hop.listed)
        hop.usable = state is api.ListState.READY
        if not hop.usable and hop.scheme in self.transports:
            self.transports[hop.scheme].disconnect(hop)  # what is out finishes, what is idle serves nobody
        self.post(api.ListChanged(api.ListScope.DELTA, [_entry(hop, state, cold)]))

    def post(self, event):
        """Have the module told in the next turn."""
        self.inbox.append(event)
        self.wake.set()

    # --- the turn loop ----------------------------------------------------------------------------

    async def run(self):
        """Run turns until cancelled."""
        async with anyio.create_task_group() as self.tasks:
            for t in self.ids.values():
                if t.final is not None:
                    self.tasks.start_soon(self._notify, t)
            while True:
                due_us = self.timers[0][0] if self.timers and not self.heir else None
                with anyio.move_on_after(None if due_us is None else self._seconds_to(due_us)):
                    await self.wake.wait()
                self.wake = anyio.Event()
                self.turn()

    def turn(self):
        """One turn: everything that has happened goes to the module, and its actions are performed."""
        if self.heir:
            return
        now_us = self.clock.now()
        events, self.inbox = self.inbox, []
        while self.timers and self.timers[0][0] <= now_us:
            events.append(api.TimerDue(heappop(self.timers)[1]))
        if events:
            for action in self.sender.handle(now_us * 1000, events):
                self._perform(action, now_us)
            self._launch()
        if self.stopping and not self.branches:
            self.calm.set()

    def _seconds_to(self, at_us):
        return max(0, at_us - self.clock.now()) / SECOND_US

    def _perform(self, action, now_us):
        kind = type(action)
        if kind is api.SetTimer:
            heappush(self.timers, (now_us + max(1, action.delay_ns // 1000), action.tag))
        elif kind is api.Send:
            if not self.stopping:  # what is not sent now stays in the journal for the next start
                self._start_branch(action, now_us)
        elif kind is api.Refuse:
            self._end(self.open[action.request], Final(State.RETURNED, -(-action.come_back_ns // 1_000_000)))
        elif kind is api.Fail:
            self._end(self.open[action.request], Final(State.FAILED))
        elif kind is api.Probe:
            if not self.stopping:
                self.tasks.start_soon(self._probe, self.next_hops[action.endpoint], now_us)
        elif kind is api.Disconnect:
            hop = self.next_hops.get(action.endpoint)
            if hop is not None:  # else it is gone, and its connections with it
                self.transports[hop.scheme].disconnect(hop)
        elif kind is api.Subscribe:
            self.subscribe()

    # --- branches ---------------------------------------------------------------------------------

    def _start_branch(self, action, now_us):
        transaction = self.open[action.request]
        hop = self.next_hops[action.endpoint]
        branch = Branch(transaction, transaction.branches, hop, now_us, action.timeout_ns // 1000)
        branch.clear = lambda: self._clear(branch)
        branch.heed = lambda wait_us: self._heed(hop, wait_us, self.clock.now())
        transaction.branches += 1
        self.branches[transaction.number, branch.number] = branch
        self.sending.setdefault(hop.id, []).append(branch)

    def _launch(self):
        """Run the branches that this turn has started; those to one next hop share calls where they may."""
        sending, self.sending = self.sending, {}
        for branches in sending.values():
            hop = branches[0].next_hop
            most = self.settings.module.kind(hop.kind).bundle_max if hop.scheme == "http" else 1
            for call in groups(branches, most):
                if len(call) > 1:
                    self.tasks.start_soon(self._run_call, call)
                else:
                    self.tasks.start_soon(self._run_branch, call[0])

    async def _run_call(self, branches):
        try:
            if not await self._recorded(branches):
                outcomes = [Outcome(api.Verdict.MOOT, note="not copied") for _ in branches]
            else:
                outcomes = await self.transports[branches[0].next_hop.scheme].send_many(branches)
        except Exception as error:
            # Danger: as for one branch; those that were written may have run.
            log("fault", where="call", error=repr(error))
            outcomes = [_lost(branch) for branch in branches]
        for branch, outcome in zip(branches, outcomes, strict=True):
            self._branch_ended(branch, outcome)

    async def _run_branch(self, branch):
        transaction = branch.transaction
        if transaction.key in self.notified and transaction.key:
            # Danger: an earlier message of the key that ended by a notice is over once that is answered.
            with anyio.move_on_after(self._seconds_to(branch.ends_us())):
                while transaction.key in self.notified and not self.heir:
                    await anyio.sleep(0.005)
        try:
            if transaction.key in self.notified and transaction.key and not self.heir:
                # Danger: its time is over; a transport would find none to dial in, and blame the partner.
                outcome = Outcome(api.Verdict.MOOT, note="its key waits for a notice")
            elif not await self._recorded([branch]):
                outcome = Outcome(api.Verdict.MOOT, note="not copied")
            else:
                outcome = await self.transports[branch.next_hop.scheme].send(branch)
        except Exception as error:
            # Danger: a transport's fault must neither end the process nor pass for proof that nothing ran.
            log("fault", where="branch", error=repr(error))
            outcome = _lost(branch)
        self._branch_ended(branch, outcome)

    async def _recorded(self, branches) -> bool:
        """With copies, record branches as started and have that copied before their transport is called."""
        if self.copies is None:
            return True
        # Danger: each refusal counts as an attempt; what is not ours, or not copied, for a while would be
        # given up. So the wait is bound by the messages' time, and the partner's time begins behind it.
        until_us = min(self.clock.monotonic(branch.transaction.until_unix_us) for branch in branches)
        while self.copies.barred() and self.clock.now() < until_us and not self.stopping:
            await anyio.sleep(WAIT_S)
        if self.copies.barred():
            return False
        unix_us = self.clock.unix(self.clock.now())
        for branch in branches:
            t = branch.transaction
            if t.live_us or t.number not in self.open:
                continue  # `clear` says why not
            try:
                t.zone = t.zone if t.may_run_us else branch.next_hop.zone
                self.journal.branch_started(t, branch.number, unix_us)
            except JournalFull:
                return False
            branch.recorded = True
        while not await self.copies.settled():
            if self.clock.now() >= until_us or self.stopping:
                return False
            await anyio.sleep(WAIT_S)
        now_us = self.clock.now()
        for branch in branches:
            branch.started_us = now_us
            branch.timeout_us = max(1, min(branch.timeout_us, until_us - now_us))
        return True

    def _clear(self, branch):
        """Asked right before a branch's first byte: empty if it may be written, else why not."""
        # Danger: dialling takes time, and what was allowed when the module decided may not be any more.
        transaction, hop = branch.transaction, branch.next_hop
        why = self._barred(hop)
        if transaction.number not in self.open:
            why = "over"
        elif self.clock.now() >= min(branch.ends_us(), self.clock.monotonic(transaction.until_unix_us)):
            why = "out of time"
        elif transaction.key and transaction.key in self.notified:
            why = "its key waits for a notice"
        elif transaction.live_us and not branch.recorded:
            why = "another branch is out"  # never two copies, whatever the module says
        elif hop.dest != transaction.dest:
            why = "not its partner"
        elif not self._may_repeat(transaction, hop):
            why = "a repeat may take effect there"
        if not why and self.copies:
            # Danger: the lease of this work may have ended while the branch was copied or dialled.
            why = self.copies.barred() or ("" if branch.recorded else "not copied")
        if not why and not branch.recorded:
            try:
                transaction.zone = transaction.zone if transaction.may_run_us else hop.zone
                self.journal.branch_started(transaction, branch.number, self.clock.unix(self.clock.now()))
            except JournalFull as error:
                why = str(error)
        return why

    def _may_repeat(self, t, hop):
        """Whether a further branch does no harm there now, after one that may have run."""
        # Danger: the module chose in time, but a dial may outlast the window in which repeats are dropped.
        cls = t.rules.cls
        if not t.may_run_us or cls.effect is api.Effect.REPEATABLE:
            return True
        in_time = self.clock.unix(self.clock.now()) < t.may_run_us + cls.window_ns // 1000
        near = cls.group is not api.Group.ZONE or hop.zone == t.zone
        return cls.effect is api.Effect.BY_KEY and in_time and near

    def _barred(self, hop):
        """Why nothing may go to a next hop at present, whatever it is."""
        if self.heir:
            return "handed over"
        if self.stopping:
            return "shutting down"
        if not hop.usable:
            return "drains or is gone"
        if self.told_us.get(self._line(hop), 0) > self.clock.now():
            return "told to wait"
        return ""

    def _branch_ended(self, branch, outcome: Outcome):
        transaction, now_us = branch.transaction, self.clock.now()
        del self.branches[transaction.number, branch.number]
        branch.clear = branch.heed = None  # they name it: without them it is freed at once
        if self.heir:
            self.late.append((branch, outcome))
            self.heir.ended(transaction.number, branch.number, outcome)
            return
        self._heed(branch.next_hop, outcome.wait_us, now_us)
        was_open = transaction.number in self.open
        unsent = outcome.verdict is api.Verdict.MOOT and not transaction.live_us
        log(
            "branch",
            id=transaction.id,
            n=branch.number,
            hop=branch.next_hop.id,
            verdict=outcome.verdict.name,
            took_us=now_us - branch.started_us,
            wait_us=outcome.wait_us,
            idle_us=outcome.idle_us,
            note=outcome.note,
        )
        if was_open and outcome.verdict is api.Verdict.OK:
            self._end(transaction, Final(State.DELIVERED))
        elif was_open and outcome.over:
            del self.open[transaction.number]
            self._over(transaction)
        elif was_open and transaction.live_us:
            self._record(
                self.journal.branch_ended, transaction, branch.number, outcome.verdict not in NEVER_RAN
            )
        self.post(
            api.AttemptEnded(
                transaction.number,
                branch.number,
                branch.next_hop.id,
                outcome.verdict,
                (now_us - branch.started_us) * 1000,
                transaction.number not in self.open,
                outcome.wait_us * 1000,
                allowance_left=outcome.left,
                limit_per_s=outcome.limit,
                opened=outcome.opened,
                unsent=unsent,
            )
        )

    def _heed(self, hop, wait_us, now_us):
        if wait_us and self.heir:
            self.heir.heed(hop.id, wait_us)
        if wait_us:
            line = self._line(hop)
            self.told_us[line] = max(self.told_us.get(line, 0), now_us + wait_us)

    def _line(self, hop):
        """What a told wait binds: a partner, or the one next hop where its routes are apart."""
        return hop.id if self.settings.module.kind(hop.kind).routes_apart else hop.dest

    async def _probe(self, hop, started_us):
        self.probes[hop.id] = started_us
        with anyio.move_on_after(PROBE_US / SECOND_US) as limit:
            outcome = await self.transports[hop.scheme].probe(hop, lambda: self._barred(hop))
        if limit.cancelled_caught:
            outcome = Outcome(api.Verdict.TIMEOUT)
        self._probe_ended(hop, started_us, outcome)

    def _probe_ended(self, hop, started_us, outcome):
        self.probes.pop(hop.id, None)
        now_us = self.clock.now()
        self._heed(hop, outcome.wait_us, now_us)
        if self.heir:
            self.heir.probed(hop.id, outcome)
        log("probe", hop=hop.id, verdict=outcome.verdict.name, note=outcome.note)
        took_ns = (now_us - started_us) * 1000
        self.post(api.ProbeEnded(hop.id, outcome.verdict, took_ns, outcome.wait_us * 1000))

    # --- ends -------------------------------------------------------------------------------------

    def _end(self, transaction, final):
        """Give the final answer at once; it is over when its front says that it was heard."""
        del self.open[transaction.number]
        log("final", id=transaction.id, state=final.state.name, after_ms=final.after_ms)
        if final.state is State.DELIVERED and not self.fronts[transaction.front].tells_delivery:
            self._over(transaction)
            return
        transaction.final = final
        self._record(self.journal.final, transaction, final)
        self._owe_notice(transaction)
        self.tasks.start_soon(self._notify, transaction)

    def _owe_notice(self, transaction):
        if self.fronts[transaction.front].over_when_heard:
            self.notified[transaction.key] = self.notified.get(transaction.key, 0) + 1

    async def _notify(self, transaction):
        front = self.fronts[transaction.front]
        if self.copies:
            # Danger: a successor that finds no end in its copy, or took the work over, would give another.
            while self.copies.barred() or not await self.copies.settled():
                await anyio.sleep(WAIT_S)
            if self.ids.get(transaction.id) is not transaction:
                return  # disowned meanwhile: who took it over tells its end
        await front.notify(transaction, transaction.final)
        if front.over_when_heard:
            self._heard(transaction.key)
        self._over(transaction)

    def _heard(self, key):
        self.notified[key] -= 1
        if not self.notified[key]:
            del self.notified[key]

    def _over(self, transaction):
        self._record(self.journal.ended, transaction)
        del self.ids[transaction.id]

    def _record(self, write, *what):
        if self.heir:
            return  # Danger: two writers to one file; the heir records what it hears of
        try:
            write(*what)
        except JournalFull as error:
            log("journal_full", error=str(error))  # the next rewrite holds what memory holds

    def _hand_to_module(self, t, owed=False):
        clock = self.clock
        self.post(
            api.MessageTaken(
                request=t.number,
                cls=0,
                destination=t.dest,
                deadline_ns=clock.monotonic(t.until_unix_us) * 1000,
                key=t.key,
                tenant=self.settings.tenants.get(t.tenant, 0),
                attempts=t.branches,
                may_run_ns=clock.monotonic(t.may_run_us) * 1000 if t.may_run_us else 0,
                may_run_zone=t.zone,
                rule=t.rules.cls,
                max_attempts=t.rules.max_attempts,
                owed=owed,
            )
        )

    # --- from one process to the next -------------------------------------------------------------

    def rest(self, heir) -> dict:
        """Come to rest for an heir, and give what it needs beside the journal, which rests too."""
        self.heir = heir
        self.journal.close()
        return {
            "sender": self.sender,
            "inbox": self.inbox,
            "timers": self.timers,
            "told_us": self.told_us,
            "hops": list(self.next_hops.values()),
            "dests": self.dests,
            "next": next(self.numbers),
            "made": {t.number: t.branches for t in self.open.values()},
            "out": [(*k, b.next_hop, b.started_us, b.timeout_us) for k, b in self.branches.items()],
            "probes": self.probes,
        }

    def resume(self):
        """Serve on, for the heir did not take over."""
        self.heir = None
        self.journal.begin()
        late, self.late = self.late, []
        for branch, outcome in late:
            self.branches[branch.transaction.number, branch.number] = branch
            self._branch_ended(branch, outcome)
        self.wake.set()

    def inherit(self, state: dict):
        """Take over from the process before; the journal has been read."""
        self.sender = state["sender"]
        self.inbox, self.timers = state["inbox"], state["timers"]
        self.told_us, self.dests = state["told_us"], state["dests"]
        self.numbers = count(state["next"])
        self.next_hops = {hop.id: hop for hop in state["hops"]}
        self.journal.begin()
        held = list(self.journal.live.values())
        out = {number for number, *_ in state["out"]}
        coming = {event.request for event in self.inbox if type(event) is api.MessageTaken}
        self._take_up(held, out, coming | self.sender.messages.keys())
        for t in self.open.values():
            t.branches = max(t.branches, state["made"].get(t.number, 0))
        by_number = {t.number: t for t in held}
        for number, n, hop, started_us, timeout_us in state["out"]:
            # One that is over has a branch out all the same: its slot is taken until that ends.
            transaction = by_number.get(number) or _over(number, hop.dest)
            known = self.next_hops.get(hop.id, hop)
            self.branches[number, n] = Branch(transaction, n, known, started_us, timeout_us)
        self.probes = dict(state["probes"])
        log("inherited", held=len(self.open), notices=len(held) - len(self.open), out=len(out))

    def reported(self, number: int, n: int, outcome: Outcome):
        """The process before tells how a branch of its own ended."""
        branch = self.branches.get((number, n))
        if branch is not None:
            self._branch_ended(branch, outcome)

    def reported_wait(self, id_: str, wait_us: int):
        """The process before was told to wait."""
        if id_ in self.next_hops:
            self._heed(self.next_hops[id_], wait_us, self.clock.now())

    def reported_probe(self, id_: str, outcome: Outcome):
        """The process before tells how a probe of its own ended."""
        if id_ in self.probes and id_ in self.next_hops:
            self._probe_ended(self.next_hops[id_], self.probes[id_], outcome)

    def bereft(self, branches, probes):
        """The process before has ended, and what it had out is not told any more."""
        for number, n in branches:
            # Danger: it may have run, or still run.
            self.reported(number, n, Outcome(api.Verdict.RESET, note="its process ended"))
        for id_ in probes:
            self.reported_probe(id_, Outcome(api.Verdict.MOOT, note="its process ended"))

    # --- the end of the process -------------------------------------------------------------------

    async def stop(self):
        """Busy answers from now on; return when all that is out has ended, or time is short."""
        log("stopping", out=len(self.branches), held=len(self.open))
        self.stopping = True
        self.wake.set()
        with anyio.move_on_after(DRAIN_US / SECOND_US):
            await anyio.sleep(LINGER_US / SECOND_US)
            await self.calm.wait()
            while self.notified:
                await anyio.sleep(0.005)


def _lost(branch):
    return Outcome(api.Verdict.RESET if branch.transaction.live_us else api.Verdict.CONNECT_FAILED)


def _over(number, dest):
    return Transaction(number, "", "", "", dest, 0, "", 0)


def _entry(hop, state, cold=False):
    return api.ListEntry(hop.id, hop.dest, hop.zone, hop.kind, state, hop.weight, cold)
