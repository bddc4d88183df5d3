"""Leases while the courier runs: this member's claims on tasks, its acts, and its vote if it has one.

Requests and answers are datagrams as `wire` seals them; a voter that leads judges and proposes them
(`lease.evaluate_request`, `quorum`), every member keeps its claims (`lease.tick`, `heard`, `may_act`). A task with an
address is acted on while it is held: an HTTP POST every `every_us` with the fencing token, checked right
before it is written.
"""

import random
from dataclasses import dataclass
from pathlib import Path

import anyio

from pinspread.core.log import log
from pinspread.leases import state_machine as lease
from pinspread.membership import codec as wire
from pinspread.membership.clock import monotonic_us
from pinspread.sockets import split_address

MAGIC = b"PSL"
TURN_S = 0.05  # claims are looked at, at least this often
ACT_S = 1.0  # for one act: the connection, the call and its answer
GIVE_S = 0.2  # what giving back may take of the 3.7 s of SIGTERM
WORK_TASK_PREFIX = "work."  # and a member's id: who may act for what that courier took on (copying.py)
ASKED, ANSWERED = "lease", "leased"
MOST_TASK = 64  # characters of a name in a datagram


@dataclass(frozen=True)
class LeaseTask:
    """A fleet-wide task; without an address it is held and nothing is called."""

    name: str
    address: str = ""
    every_us: int = 1_000_000


@dataclass(frozen=True)
class LeaseConfig:
    """What the file's `[leases]` says; `voters` is {id: address}, `folder` lasts."""

    listen: str
    advertise: str
    voters: dict
    tasks: tuple
    terms: lease.LeaseTerms
    election_s: float
    folder: str
    sync: bool = False


class LeaseService:
    """A companion of the courier; `membership` gives the id, the fleet's key, the clock and who is known."""

    name = "leases"

    def __init__(self, config: LeaseConfig, membership, seed: int | None = None):
        self.config, self.membership = config, membership
        self.id, self.key = membership.config.id, membership.config.fleet_key
        self.rng = random.Random(seed)
        self.claims = {t.name: lease.Claim() for t in config.tasks}
        self.applied = {}  # task -> when this voter applied its row, by its own clock
        self.asked = sorted(config.voters)  # whom to ask, the likely leader first
        self.rng.shuffle(self.asked)
        self.quorum = None
        self.sock = self.listener = None
        self.sending = anyio.Lock()
        self.counts = {"requests": 0, "answers": 0, "dropped": 0}

    def now(self) -> int:
        return self.membership.now()

    # --- the door -------------------------------------------------------------------------------------

    def fencing_token(self, task: str) -> int:
        """The fencing token if this member may act on the task now, else 0."""
        claim = self.claims.get(task, lease.Claim())
        return claim.token if lease.may_act(claim, self.config.terms, self.now()) else 0

    def view(self) -> dict:
        """What this member holds, and as a voter the rows as it has applied them."""
        now = self.now()
        rows = {}
        for name, claim in self.claims.items():
            left = claim.expiry_us - self.config.terms.drift_us - self.config.terms.margin_us - now
            rows[name] = {"task": name, "mine": self.fencing_token(name), "acts_for_ms": max(0, left) // 1000}
            if not claim.token:
                rows[name]["acts_for_ms"] = 0
        found = {"id": self.id, "voter": self.quorum is not None, "counts": self.counts}
        if self.quorum:
            found |= {"leader": self.quorum.leader_id(), "term": self.quorum.sync.raftCurrentTerm}
            found["sent"] = dict(self.quorum.streams.sent)
            for name, row in self.quorum.table.rows.items():
                rows.setdefault(name, {"task": name, "mine": 0, "acts_for_ms": 0})
                if row.version:
                    waits = lease.binding_until_us(self.config.terms, self.applied.get(name, now)) - now
                    rows[name] |= row._asdict() | {"binds_for_ms": max(0, waits) // 1000 if row.holder else 0}
        return found | {"tasks": [rows[n] for n in sorted(rows)]}

    def attach(self, courier):
        """It needs nothing of the core."""

    async def before_recovery(self):
        """Nothing that is owed depends on it."""

    async def close(self):
        """Likewise."""

    def contend(self, task: str):
        """Contend for a task beside those of the file: the work of a member, `work.ID`."""
        self.claims.setdefault(task, lease.Claim())

    async def withdraw(self, task: str):
        """Contend no longer; what is held is given back."""
        claim = self.claims.pop(task, None)
        _, request = lease.release_claim(claim or lease.Claim(), task, self.id, self._number())
        if request:
            self._note("lease_given_back", task, claim.token)
            with anyio.move_on_after(GIVE_S):
                for voter in self.asked:
                    await self._ask(voter, request)

    def _known(self, task):
        if any(task == t.name for t in self.config.tasks):
            return True
        # Danger: a voter that was started again hears nothing of who was lost before, whose work goes on.
        granted = self.quorum is not None and task in self.quorum.table.rows
        return task.startswith(WORK_TASK_PREFIX) and (
            granted or task.removeprefix(WORK_TASK_PREFIX) in self.membership.member.table
        )

    # --- running --------------------------------------------------------------------------------------

    async def open(self):
        """Bind the sockets; OSError if the address cannot be had."""
        host, port = split_address(self.config.listen)
        self.sock = await anyio.create_udp_socket(local_host=host, local_port=port)
        if self.id in self.config.voters:
            from pinspread.leases.raft import Quorum  # Danger: what is no voter must not load the library

            self.listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
            self.quorum = Quorum(
                self.id,
                self.config.listen,
                self.config.voters,
                self.key,
                Path(self.config.folder),
                self.config.election_s,
                self._applied,
                self.config.sync,
            )
        log("leases_up", id=self.id, listen=self.config.listen, voter=self.quorum is not None)

    async def run(self):
        """Claim and act until cancelled; `open` first."""
        async with self.sock, anyio.create_task_group() as tasks:
            if self.quorum:
                tasks.start_soon(self.quorum.run, self.listener)
            tasks.start_soon(self._hear)
            for task in self.config.tasks:
                if task.address:
                    tasks.start_soon(self._work, task)
            while True:
                for name in list(self.claims):
                    await self._turn(name)
                await anyio.sleep(TURN_S)

    async def announce_departure(self):
        """Give back what is held, as SIGTERM asks; this courier's own work is given back by who copies it."""
        if self.sock is None:
            return
        for name in [n for n in self.claims if n != WORK_TASK_PREFIX + self.id]:
            await self.withdraw(name)
        await self.flush_proposals()

    async def flush_proposals(self):
        """Let entries that this voter leads, and that it proposed itself, be agreed on before its end."""
        await anyio.sleep(GIVE_S if self.quorum and self.quorum.is_leader() else 0)

    def _note(self, event, task, token, **more):
        log(event, seer=self.id, task=task, token=token, mono_us=monotonic_us(), **more)

    def _number(self):
        return self.rng.getrandbits(62) + 1

    # --- the claims -----------------------------------------------------------------------------------

    def _stops_us(self, claim):
        """When this claim's acts end, in the machine's time, for the log alone."""
        left = claim.expiry_us - self.config.terms.drift_us - self.config.terms.margin_us - self.now()
        return monotonic_us() + int(left / self.membership.config.clock_rate)

    async def _turn(self, name):
        before = self.claims.get(name)
        if before is None:
            return  # given up while another was asked for
        claim, request = lease.tick(before, self.config.terms, name, self.id, self.now(), self._number())
        self.claims[name] = claim
        if before.token and not claim.token:
            self._note("lease_lost", name, before.token, why="not renewed in time")
        if request:
            # Danger: rotated after a hint as well, the leader that was just named would be asked last.
            if request.number == before.number and before.sent_us:  # in vain: another may lead by now
                self.asked.append(self.asked.pop(0))
            await self._ask(self.asked[0], request)

    async def _ask(self, voter, request):
        message = {"t": ASKED, **request._asdict(), "at": self.config.advertise}
        await self._send(message, self.config.voters[voter])

    def _answered(self, message):
        answer = lease.Answer(*(message[n] for n in ("task", "number", "why", "token", "wait_us", "leader")))
        before = self.claims.get(answer.task)
        if before is None or not before.number or answer.number != before.number:
            return
        if answer.leader in self.config.voters:
            self.asked.remove(answer.leader)
            self.asked.insert(0, answer.leader)
            self.claims[answer.task] = before._replace(sent_us=0)  # at once, to whom it says
            return
        claim = self.claims[answer.task] = lease.apply_answer(before, answer, self.config.terms, self.now())
        if claim.token and not before.token:
            self._note("lease_held", answer.task, claim.token, stops_us=self._stops_us(claim))
        elif claim.token and claim.expiry_us > before.expiry_us:
            self._note("lease_kept", answer.task, claim.token, stops_us=self._stops_us(claim))
        elif before.token and not claim.token:
            self._note("lease_lost", answer.task, before.token, why=answer.why)

    # --- the voter ------------------------------------------------------------------------------------

    def _applied(self, task, row):
        self.applied[task] = self.now()

    async def _judged(self, message):
        request = lease.Request(*(message[n] for n in ("kind", "task", "member", "token", "number")))
        at, task = message["at"], request.task
        why, leader = "", ""
        if not self.quorum:
            why = "not a voter"
        elif request.kind == lease.RequestKind.ACQUIRE and request.member not in self.membership.member.table:
            # Only of who asks anew: a voter that was just started knows nobody yet, and a refusal would end
            # the claim of a holder that the row knows.
            why = "not a member of the fleet"
        elif not self._known(task):
            why = "no such task"
        elif not self.quorum.is_leader():
            leader = self.quorum.leader_id()
            if not leader or leader == self.id:
                return  # nobody to name: the member asks another
            why = "not the leader"
        if why:
            if not leader:
                self._note("lease_refused", task, request.token, member=request.member, why=why)
            await self._answer(at, lease.Answer(task, request.number, why, leader=leader))
            return
        row = self.quorum.table.rows.get(task, lease.LeaseRecord())
        now = self.now()
        said = lease.evaluate_request(row, self.applied.get(task, now), request, self.config.terms, now)
        if isinstance(said, lease.Answer):
            if request.kind != lease.RequestKind.ACQUIRE:
                self._note("lease_refused", task, request.token, member=request.member, why=said.why)
            await self._answer(at, said)
            return

        def done(row, outcome):
            if outcome != lease.OK:
                self._note("lease_refused", task, request.token, member=request.member, why=outcome)
            else:
                event = {lease.CommandKind.GRANT: "lease_granted", lease.CommandKind.RENEW: "lease_renewed"}
                self._note(
                    event.get(said.kind, "lease_released"),
                    task,
                    row.token,
                    member=request.member,
                    version=row.version,
                )
            token = row.token if outcome == lease.OK else 0
            self.answers.start_soon(self._answer, at, lease.Answer(task, request.number, outcome, token))

        self.quorum.propose(task, said, done)

    async def _answer(self, at, answer):
        await self._send({"t": ANSWERED, **answer._asdict()}, at)

    # --- datagrams ------------------------------------------------------------------------------------

    async def _send(self, message, address):
        try:
            host, port = split_address(address)
            async with self.sending:  # the socket takes one sender at a time
                await self.sock.sendto(wire.encode(message, self.key, MAGIC), host, port)
        except (OSError, ValueError, anyio.ClosedResourceError, anyio.BrokenResourceError) as error:
            # Danger: a lease that cannot be asked for must never end the courier that serves.
            log("lease_unsent", to=str(address)[:100], error=repr(error), mono_us=monotonic_us())

    async def _hear(self):
        async with anyio.create_task_group() as self.answers:
            while True:
                try:
                    data, (source, _) = await self.sock.receive()
                except OSError as error:
                    log("lease_unheard", error=str(error), mono_us=monotonic_us())
                    continue
                try:
                    message = checked(wire.decode(data, self.key, MAGIC))
                except wire.DatagramError as why:
                    self.counts["dropped"] += 1
                    log("lease_dropped", source=source, why=str(why), mono_us=monotonic_us())
                    continue
                if message["t"] == ANSWERED:
                    self.counts["answers"] += 1
                    self._answered(message)
                else:
                    self.counts["requests"] += 1
                    await self._judged(message)

    # --- acts -----------------------------------------------------------------------------------------

    async def _work(self, task):
        """Act on a held task every `every_us` until cancelled."""
        while True:
            await anyio.sleep(task.every_us / 1e6)
            if not self.fencing_token(task.name):
                continue
            try:
                with anyio.fail_after(ACT_S):
                    await self._act(task)
            except (OSError, TimeoutError, ValueError, anyio.EndOfStream, anyio.BrokenResourceError) as error:
                self._note(
                    "lease_act_failed", task.name, self.fencing_token(task.name), error=repr(error)[:200]
                )

    async def _act(self, task):
        host, port = split_address(task.address)
        async with await anyio.connect_tcp(host, port) as stream:
            # Danger: the lease may have ended while the connection was made.
            token = self.fencing_token(task.name)
            if not token:
                return
            head = f"POST /{task.name} HTTP/1.1\r\nHost: {task.address}\r\nFencing-Token: {token}\r\n"
            head += f"Holder: {self.id}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            await stream.send(head.encode())
            status = (await stream.receive(256)).split(b" ")[1:2]
        if status == [b"200"]:
            return
        self._note(
            "lease_act_refused",
            task.name,
            token,
            status=status[0].decode("ascii", "replace") if status else "",
        )
        if status == [b"409"] and self.fencing_token(task.name) == token:
            # A newer token was seen: somebody else holds it by now, whatever our clock says.
            self.claims[task.name] = lease.Claim(next_us=self.now() + self.config.terms.retry_us)
            self._note("lease_lost", task.name, token, why="the resource has seen a newer token")


REQUEST = {"kind": str, "task": str, "member": str, "token": int, "number": int, "at": str}
ANSWER = {"task": str, "number": int, "why": str, "token": int, "wait_us": int, "leader": str}


def checked(message: dict) -> dict:
    """A request or an answer that is well-formed; `Dropped` with the reason otherwise."""
    kind = message.get("t")
    if kind not in (ASKED, ANSWERED):
        raise wire.DatagramError(f"kind {str(kind)[:64]!r}")
    wire.require_fields(message, REQUEST if kind == ASKED else ANSWER)
    if kind == ASKED and message["kind"] not in (
        lease.RequestKind.ACQUIRE,
        lease.RequestKind.RENEW,
        lease.RequestKind.RELEASE,
    ):
        raise wire.DatagramError(f"a request to {message['kind'][:64]!r}")
    numbers = [message[n] for n in ("token", "number", "wait_us") if n in message]
    if min(numbers) < 0 or max(numbers) >= 1 << 63 or len(message["task"]) > MOST_TASK:
        raise wire.DatagramError(f"{kind}: a figure or name out of range")
    return message
