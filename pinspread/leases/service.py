"""Leases in a running instance: this member's claims on tasks, its calls of them, and its vote if it has one.

Requests and answers are datagrams (`codec`). Every member keeps its claims (`state_machine.tick`,
`apply_answer`, `may_act`). A voter that leads decides on requests (`request_handler`) and has the voters
agree (`raft`). A task with an address is called while its lease is held (`task_calls`).
"""

import random
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import anyio

from pinspread.core.log import log
from pinspread.leases import codec
from pinspread.leases.request_handler import RequestHandler
from pinspread.leases.state_machine import (
    Answer,
    Claim,
    Contender,
    LeaseTerms,
    Request,
    apply_answer,
    may_act,
    release_claim,
    tick,
)
from pinspread.leases.task_calls import LeaseTask, TaskCaller
from pinspread.membership.background import IndependentService
from pinspread.membership.clock import monotonic_us
from pinspread.membership.codec import DatagramError
from pinspread.membership.datagram_socket import Datagram, DatagramSocket
from pinspread.membership.service import MembershipService
from pinspread.sockets import split_address

__all__ = ["WORK_TASK_PREFIX", "LeaseConfig", "LeaseService", "LeaseTask"]

# Before a member's id: the task of acting for what that member has accepted (see `replication`).
WORK_TASK_PREFIX = "work."
_TICK_S = 0.05  # claims are checked at least this often
_RELEASE_TIMEOUT_S = 0.2  # for giving leases back, of the 3.7 s that SIGTERM leaves
_REQUEST_ID_BITS = 62


@dataclass(frozen=True)
class LeaseConfig:
    """What the deploy file's `[leases]` table says.

    Attributes:
        listen: `host:port` that is bound, by UDP and, on a voter, by TCP.
        advertise: `host:port` at which other members reach this one.
        voters: The address of each voter by its id.
        tasks: The tasks of the fleet that this member contends for.
        terms: The times that all parties share.
        election_s: The shortest election time-out of the voters, in seconds.
        folder: Where a voter's log is kept over restarts.
        sync: Whether a voter's log is on the disk before a message speaks of it.
    """

    listen: str
    advertise: str
    voters: dict[str, str]
    tasks: tuple[LeaseTask, ...]
    terms: LeaseTerms
    election_s: float
    folder: str
    sync: bool = False


class LeaseService(IndependentService):
    """A background service of the instance.

    Args:
        config: What the deploy file says.
        membership: Gives this member's id, the fleet's key, the clock and the known members.
        seed: Of the random draws, for tests.
    """

    name = "leases"

    def __init__(self, config: LeaseConfig, membership: MembershipService, seed: int | None = None):
        self.config = config
        self.membership = membership
        self.id = membership.config.id
        self.key = membership.config.fleet_key
        self.rng = random.Random(seed)
        self.claims = {task.name: Claim() for task in config.tasks}
        self.voter_order = sorted(config.voters)  # whom to send requests to, the likely leader first
        self.rng.shuffle(self.voter_order)
        self.counts = {"requests": 0, "answers": 0, "dropped": 0}
        self.handler = RequestHandler(
            self.id,
            config.terms,
            now=self.now,
            fleet=self,
            send_answer=self._send_answer,
        )
        self._socket = DatagramSocket(
            config.listen, send_failed="lease_send_failed", receive_failed="lease_receive_failed"
        )
        self._run_vote: Callable[[], Coroutine[Any, Any, None]] | None = None  # where this member has a vote

    def now(self) -> int:
        """Return this member's time, in microseconds."""
        return self.membership.now()

    # --- for other parts of the instance --------------------------------------------------------------

    def fencing_token(self, task: str) -> int:
        """Return the fencing token of a task that this member may act on now, else 0."""
        claim = self.claims.get(task, Claim())
        return claim.token if may_act(claim, self.config.terms, self.now()) else 0

    def contend(self, task: str) -> None:
        """Contend for a task beside those of the deploy file, from now on."""
        self.claims.setdefault(task, Claim())

    async def withdraw(self, task: str) -> None:
        """Contend for a task no longer, and give its lease back if it is held."""
        claim = self.claims.pop(task, Claim())
        _, request = release_claim(claim, Contender(task, self.id), self._new_request_id())
        if request:
            self._log("lease_given_back", task, claim.token)
            with anyio.move_on_after(_RELEASE_TIMEOUT_S):
                for voter in self.voter_order:
                    await self._send_request(voter, request)

    async def flush_proposals(self) -> None:
        """Let commands that this voter has proposed as the leader be committed before it ends."""
        raft = self.handler.raft
        await anyio.sleep(_RELEASE_TIMEOUT_S if raft and raft.is_leader() else 0)

    def view(self) -> dict[str, Any]:
        """Return what this member holds and, on a voter, the records as it has applied them."""
        now_us = self.now()
        rows = {name: self._claim_view(name, claim, now_us) for name, claim in self.claims.items()}
        raft = self.handler.raft
        view: dict[str, Any] = {"id": self.id, "voter": raft is not None, "counts": self.counts}
        if raft:
            view |= {"leader": raft.leader_id(), "term": raft.term, "sent": dict(raft.sent_counts)}
            for name, record in raft.records.items():
                row = rows.setdefault(name, {"task": name, "mine": 0, "acts_for_ms": 0})
                if record.version:
                    binding_us = self.handler.binding_for_us(name, now_us)
                    row |= codec.record_to_json(record)
                    row["binds_for_ms"] = max(0, binding_us) // 1000 if record.holder else 0
        return view | {"tasks": [rows[name] for name in sorted(rows)]}

    def _claim_view(self, task: str, claim: Claim, now_us: int) -> dict[str, Any]:
        remaining_us = self._remaining_us(claim, now_us) if claim.token else 0
        return {
            "task": task,
            "mine": self.fencing_token(task),
            "acts_for_ms": max(0, remaining_us) // 1000,
        }

    # --- life cycle -----------------------------------------------------------------------------------

    async def open(self) -> None:
        """Bind the sockets.

        Raises:
            OSError: The address cannot be bound.
        """
        await self._socket.open()
        if self.id in self.config.voters:
            await self._open_vote()
        log("leases_up", id=self.id, listen=self.config.listen, voter=self.handler.raft is not None)

    async def _open_vote(self) -> None:
        # Imported here so that a member without a vote does not load the library of the agreement.
        from pinspread.leases.raft import RaftConfig, RaftNode

        host, port = split_address(self.config.listen)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        raft_config = RaftConfig(
            id=self.id,
            listen=self.config.listen,
            voters=self.config.voters,
            key=self.key,
            folder=Path(self.config.folder),
            election_s=self.config.election_s,
            sync=self.config.sync,
        )
        node = RaftNode(raft_config, self.handler.record_applied)
        self.handler.raft = node
        self._run_vote = partial(node.run, listener)

    async def run(self) -> None:
        """Claim and act until cancelled; `open` comes first."""
        async with self._socket, anyio.create_task_group() as tasks:
            if self._run_vote:
                tasks.start_soon(self._run_vote)
            tasks.start_soon(self._receive)
            for task in self.config.tasks:
                if task.address:
                    tasks.start_soon(self._caller(task).run)
            while True:
                for name in list(self.claims):
                    await self._update_claim(name)
                await anyio.sleep(_TICK_S)

    async def announce_departure(self) -> None:
        """Give back what is held, as SIGTERM asks; replication gives back the member's own work."""
        if not self._socket.is_open:
            return
        for name in [name for name in self.claims if name != WORK_TASK_PREFIX + self.id]:
            await self.withdraw(name)
        await self.flush_proposals()

    # --- claims ---------------------------------------------------------------------------------------

    def _new_request_id(self) -> int:
        return self.rng.getrandbits(_REQUEST_ID_BITS) + 1

    def _remaining_us(self, claim: Claim, now_us: int) -> int:
        """For how long this member may act on a claim from now on."""
        return claim.expiry_us - self.config.terms.drift_us - self.config.terms.margin_us - now_us

    def _acts_end_us(self, claim: Claim) -> int:
        """When this member's acts on a claim end, in the machine's time, for the log alone."""
        remaining_us = self._remaining_us(claim, self.now())
        return monotonic_us() + int(remaining_us / self.membership.config.clock_rate)

    async def _update_claim(self, task: str) -> None:
        before = self.claims.get(task)
        if before is None:
            return  # withdrawn while a request for another task was sent
        contender = Contender(task, self.id)
        claim, request = tick(before, self.config.terms, contender, self.now(), self._new_request_id())
        self.claims[task] = claim
        if before.token and not claim.token:
            self._log("lease_lost", task, before.token, why="not renewed in time")
        if request:
            # Only where an unanswered request is sent again: another voter may lead by now. After a hint,
            # which clears `sent_us`, the voter that was just named would come last.
            if request.request_id == before.request_id and before.sent_us:
                self.voter_order.append(self.voter_order.pop(0))
            await self._send_request(self.voter_order[0], request)

    def _handle_answer(self, answer: Answer) -> None:
        before = self.claims.get(answer.task)
        if before is None or not before.request_id or answer.request_id != before.request_id:
            return
        if answer.leader in self.config.voters:
            self.voter_order.remove(answer.leader)
            self.voter_order.insert(0, answer.leader)
            self.claims[answer.task] = before._replace(sent_us=0)  # to be sent at once, to that voter
            return
        claim = self.claims[answer.task] = apply_answer(before, answer, self.config.terms, self.now())
        if claim.token and not before.token:
            self._log("lease_held", answer.task, claim.token, stops_us=self._acts_end_us(claim))
        elif claim.token and claim.expiry_us > before.expiry_us:
            self._log("lease_kept", answer.task, claim.token, stops_us=self._acts_end_us(claim))
        elif before.token and not claim.token:
            self._log("lease_lost", answer.task, before.token, why=answer.reason)

    def _caller(self, task: LeaseTask) -> TaskCaller:
        return TaskCaller(
            task,
            self.id,
            fencing_token=self.fencing_token,
            on_newer_token=self._newer_token_seen,
            log_event=self._log,
        )

    def _newer_token_seen(self, task: str, token: int) -> None:
        """End a claim: another member holds the lease by now, whatever our clock says."""
        self.claims[task] = Claim(next_request_us=self.now() + self.config.terms.retry_us)
        self._log("lease_lost", task, token, why="the resource has seen a newer token")

    # --- the voter's view of the fleet ----------------------------------------------------------------

    @property
    def _records(self) -> Mapping[str, object]:
        return self.handler.raft.records if self.handler.raft else {}

    def is_member(self, member_id: str) -> bool:
        """Return whether the fleet has a member of this id."""
        return member_id in self.membership.member.table

    def is_known_task(self, task: str) -> bool:
        """Return whether a task may be contended for."""
        if any(task == known.name for known in self.config.tasks):
            return True
        if not task.startswith(WORK_TASK_PREFIX):
            return False
        # A voter that was restarted does not know members lost before, whose work goes on all the same.
        return task in self._records or self.is_member(task.removeprefix(WORK_TASK_PREFIX))

    # --- datagrams ------------------------------------------------------------------------------------

    async def _send_request(self, voter: str, request: Request) -> None:
        data = codec.encode_request(request, self.config.advertise, self.key)
        await self._socket.send(data, self.config.voters[voter])

    async def _send_answer(self, address: str, answer: Answer) -> None:
        await self._socket.send(codec.encode_answer(answer, self.key), address)

    async def _receive(self) -> None:
        async with anyio.create_task_group() as answer_tasks:
            self.handler.answer_tasks = answer_tasks
            while True:
                datagram = await self._socket.receive()
                if datagram:
                    await self._handle_datagram(datagram)

    async def _handle_datagram(self, datagram: Datagram) -> None:
        try:
            message = codec.decode(datagram.data, self.key)
        except DatagramError as error:
            self.counts["dropped"] += 1
            log("lease_dropped", source=datagram.source, why=str(error), mono_us=monotonic_us())
            return
        if isinstance(message, Answer):
            self.counts["answers"] += 1
            self._handle_answer(message)
        else:
            self.counts["requests"] += 1
            await self.handler.handle(*message)

    def _log(self, event: str, task: str, token: int, **fields: Any) -> None:
        log(event, seer=self.id, task=task, token=token, mono_us=monotonic_us(), **fields)
