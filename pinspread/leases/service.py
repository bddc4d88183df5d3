"""The lease service of an instance: claims tasks, calls their addresses, and runs the voter if this is one.

Requests and answers are datagrams (`codec`). Every member keeps its claims (`claims`). The voter that leads
decides on requests (`request_handler`), and its decisions are replicated among the voters (`raft`). The
address of a task is called while the task's lease is held (`task_calls`).
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
from pinspread.leases.claims import LeaseClaims, MemberClock
from pinspread.leases.request_handler import RequestHandler
from pinspread.leases.state_machine import Answer, LeaseTerms, Request
from pinspread.leases.task_calls import LeaseTask, TaskCaller
from pinspread.membership.background import IndependentService
from pinspread.membership.clock import monotonic_us
from pinspread.membership.codec import DatagramError
from pinspread.membership.datagram_socket import Datagram, DatagramSocket
from pinspread.membership.service import MembershipService
from pinspread.sockets import split_address

__all__ = ["WORK_TASK_PREFIX", "LeaseConfig", "LeaseService", "LeaseTask"]

# The task named by this prefix and a member's id is to handle the messages that the member has accepted (see
# `replication`).
WORK_TASK_PREFIX = "work."
_TICK_S = 0.05  # claims are checked at least this often
_RELEASE_TIMEOUT_S = 0.2  # to give leases back, within the 3.7 s that a stop by SIGTERM may take


@dataclass(frozen=True)
class LeaseConfig:
    """The settings of the deploy file's `[leases]` table.

    Attributes:
        listen: `host:port` to bind, for UDP and, on a voter, also for TCP.
        advertise: `host:port` at which other members reach this one.
        voters: The address of each voter by its id.
        tasks: The tasks of the fleet that this member contends for.
        terms: The times that all parties share.
        election_s: The minimum election time-out of the voters, in seconds.
        folder: The folder that holds a voter's log over restarts.
        sync: Whether each change of a voter's log is flushed to the disk before any message that depends on
            it is sent.
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
    """The background service that runs the leases of an instance.

    Args:
        config: The settings from the deploy file.
        membership: Provides this member's id, the fleet's key, the clock and the known members.
        seed: The seed of the random numbers, for tests.

    Attributes:
        claims: This member's claims on tasks.
        handler: Decides on the requests of members.
        counts: The number of received datagrams, by kind.
    """

    name = "leases"

    def __init__(self, config: LeaseConfig, membership: MembershipService, seed: int | None = None):
        self.config = config
        self.membership = membership
        self.id = membership.config.id
        self.key = membership.config.fleet_key
        clock = MemberClock(self.now, membership.config.clock_rate)
        self.claims = LeaseClaims(self.id, config.voters, config.terms, clock, random.Random(seed))
        for task in config.tasks:
            self.claims.contend(task.name)
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
        self._run_raft_node: Callable[[], Coroutine[Any, Any, None]] | None = None  # on voters

    def now(self) -> int:
        """Return the time of this member's clock, in microseconds."""
        return self.membership.now()

    # --- for other parts of the instance --------------------------------------------------------------

    def fencing_token(self, task: str) -> int:
        """Return the fencing token of a task if this member may act on it now, else 0."""
        return self.claims.fencing_token(task)

    def contend(self, task: str) -> None:
        """Start to contend for a task in addition to those of the deploy file."""
        self.claims.contend(task)

    async def withdraw(self, task: str) -> None:
        """Stop contending for a task, and give its lease back if it is held."""
        request = self.claims.withdraw(task)
        if request:
            with anyio.move_on_after(_RELEASE_TIMEOUT_S):
                for voter in self.claims.voter_order:
                    await self._send_request(voter, request)

    async def flush_proposals(self) -> None:
        """If this voter leads, wait so that the commands it has proposed can be committed before it ends."""
        raft = self.handler.raft
        await anyio.sleep(_RELEASE_TIMEOUT_S if raft and raft.is_leader() else 0)

    def view(self) -> dict[str, Any]:
        """Return the operators' view: this member's claims and, on a voter, the records it has applied."""
        raft = self.handler.raft
        view: dict[str, Any] = {"id": self.id, "voter": raft is not None, "counts": self.counts}
        rows = self.claims.view()
        if raft:
            view |= {"leader": raft.leader_id(), "term": raft.term, "sent": dict(raft.sent_counts)}
            for task, record in self.handler.view().items():
                rows.setdefault(task, {"task": task, "mine": 0, "acts_for_ms": 0}).update(record)
        return view | {"tasks": [rows[name] for name in sorted(rows)]}

    # --- life cycle -----------------------------------------------------------------------------------

    async def open(self) -> None:
        """Bind the sockets.

        Raises:
            OSError: The address cannot be bound.
        """
        await self._socket.open()
        if self.id in self.config.voters:
            await self._open_raft_node()
        log("leases_up", id=self.id, listen=self.config.listen, voter=self.handler.raft is not None)

    async def _open_raft_node(self) -> None:
        # Imported here so that a member that is not a voter does not load the Raft library.
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
        self._run_raft_node = partial(node.run, listener)

    async def run(self) -> None:
        """Renew the claims and call the tasks until cancelled; `open` must have been called."""
        async with self._socket, anyio.create_task_group() as tasks:
            if self._run_raft_node:
                tasks.start_soon(self._run_raft_node)
            tasks.start_soon(self._receive)
            for task in self.config.tasks:
                if task.address:
                    tasks.start_soon(self._task_caller(task).run)
            while True:
                for name in self.claims.tasks():
                    await self._update_claim(name)
                await anyio.sleep(_TICK_S)

    async def announce_departure(self) -> None:
        """Give back the held leases on SIGTERM; replication gives back that of this member's own work."""
        if not self._socket.is_open:
            return
        for name in self.claims.tasks():
            if name != WORK_TASK_PREFIX + self.id:
                await self.withdraw(name)
        await self.flush_proposals()

    # --- claims ---------------------------------------------------------------------------------------

    async def _update_claim(self, task: str) -> None:
        addressed = self.claims.tick(task)
        if addressed:
            await self._send_request(addressed.voter, addressed.request)

    def _task_caller(self, task: LeaseTask) -> TaskCaller:
        return TaskCaller(
            task,
            self.id,
            fencing_token=self.fencing_token,
            on_newer_token=self.claims.handle_newer_token,
            log_event=self.claims.log_event,
        )

    # --- the voter's view of the fleet ----------------------------------------------------------------

    @property
    def _replicated_records(self) -> Mapping[str, object]:
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
        # A restarted voter does not know members that were lost earlier, but their work still needs a lease.
        return task in self._replicated_records or self.is_member(task.removeprefix(WORK_TASK_PREFIX))

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
            self.claims.handle_answer(message)
        else:
            self.counts["requests"] += 1
            await self.handler.handle(*message)
