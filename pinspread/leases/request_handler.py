"""The voter's side of leases: decides on the requests of members, and proposes the commands they lead to."""

from collections.abc import Callable, Coroutine, Mapping
from functools import partial
from typing import Any, Protocol

from anyio.abc import TaskGroup

from pinspread.core.log import log
from pinspread.leases import codec
from pinspread.leases.state_machine import (
    OK,
    Answer,
    Command,
    CommandKind,
    LeaseRecord,
    LeaseTerms,
    Request,
    RequestKind,
    binding_until_us,
    evaluate_request,
)
from pinspread.membership.clock import monotonic_us

_COMMITTED_EVENTS = {
    CommandKind.GRANT: "lease_granted",
    CommandKind.RENEW: "lease_renewed",
    CommandKind.RELEASE: "lease_released",
}
_NO_RECORD = LeaseRecord()

OnApplied = Callable[[LeaseRecord, str], None]
SendAnswer = Callable[[str, Answer], Coroutine[Any, Any, None]]


class ReplicatedRecords(Protocol):
    """The part of the Raft node that a request handler uses: see `raft.RaftNode`."""

    @property
    def records(self) -> Mapping[str, LeaseRecord]:
        """The record of each task, as this voter has applied it."""

    @property
    def term(self) -> int:
        """The Raft term."""

    @property
    def sent_counts(self) -> Mapping[str, int]:
        """How many messages of each kind were sent to other voters."""

    def is_leader(self) -> bool:
        """Return whether this voter believes that it is the leader."""

    def leader_id(self) -> str:
        """Return the id of the leader as far as this voter knows, or an empty string."""

    def propose(self, task: str, command: Command, on_applied: OnApplied) -> None:
        """Append a command to the log; `on_applied` is called once this voter has applied it."""


class Fleet(Protocol):
    """What a request handler needs to know of the fleet: see `service.LeaseService`."""

    def is_member(self, member_id: str) -> bool:
        """Return whether the fleet has a member of this id."""

    def is_known_task(self, task: str) -> bool:
        """Return whether a task may be contended for."""


class RequestHandler:
    """Answers the requests of members. A member that is not a voter refuses all of them.

    Args:
        member_id: The id of this member.
        terms: The times that all parties share.
        now: Returns the time of this member's clock, in microseconds.
        fleet: Tells which members and tasks exist.
        send_answer: Sends an answer to an address.
    """

    def __init__(
        self,
        member_id: str,
        terms: LeaseTerms,
        *,
        now: Callable[[], int],
        fleet: Fleet,
        send_answer: SendAnswer,
    ):
        self.member_id = member_id
        self.terms = terms
        self.raft: ReplicatedRecords | None = None  # set if this member is a voter
        self.applied_us: dict[str, int] = {}  # by task: when its record was applied, by this member's clock
        self.answer_tasks: TaskGroup | None = None  # sends the answers once commands are applied
        self._now = now
        self._fleet = fleet
        self._send_answer = send_answer

    def record_applied(self, task: str, record: LeaseRecord) -> None:
        """Record that this voter has applied a task's record just now."""
        self.applied_us[task] = self._now()

    def view(self) -> dict[str, dict[str, Any]]:
        """Return the operators' view of each task's record, which is empty if no lease was ever granted."""
        records = self.raft.records if self.raft else {}
        now_us = self._now()
        return {task: self._record_view(task, record, now_us) for task, record in records.items()}

    def _record_view(self, task: str, record: LeaseRecord, now_us: int) -> dict[str, Any]:
        if not record.version:
            return {}
        binding_us = binding_until_us(self.terms, self.applied_us.get(task, now_us)) - now_us
        binding_ms = max(0, binding_us) // 1000 if record.holder else 0
        return {**codec.record_to_json(record), "binds_for_ms": binding_ms}

    async def handle(self, request: Request, reply_address: str) -> None:
        """Answer a request, either at once or when the command that it leads to has been applied.

        If this voter is not the leader and knows of none, no answer is sent; the member then tries the next
        voter.
        """
        reason = self._refusal_reason(request)
        if reason or self.raft is None:
            await self._refuse(request, reply_address, reason)
            return
        if not self.raft.is_leader():
            leader = self.raft.leader_id()
            if leader and leader != self.member_id:
                answer = Answer(request.task, request.request_id, "not the leader", leader=leader)
                await self._send_answer(reply_address, answer)
            return
        now_us = self._now()
        record = self.raft.records.get(request.task, _NO_RECORD)
        applied_us = self.applied_us.get(request.task, now_us)
        decision = evaluate_request(record, applied_us, request, self.terms, now_us)
        if isinstance(decision, Answer):
            if request.kind != RequestKind.ACQUIRE:
                self._log_refusal(request, decision.reason)
            await self._send_answer(reply_address, decision)
            return
        on_applied = partial(self._on_command_applied, request, decision.kind, reply_address)
        self.raft.propose(request.task, decision, on_applied)

    def _refusal_reason(self, request: Request) -> str:
        """Return why this member refuses a request without a decision, or an empty string."""
        if self.raft is None:
            return "not a voter"
        if request.kind == RequestKind.ACQUIRE and not self._fleet.is_member(request.member):
            # Renewals and releases are exempt: a voter that has just started knows no members yet, and a
            # refused renewal would end the claim of a lease holder that is in the record.
            return "not a member of the fleet"
        if not self._fleet.is_known_task(request.task):
            return "no such task"
        return ""

    async def _refuse(self, request: Request, reply_address: str, reason: str) -> None:
        self._log_refusal(request, reason)
        await self._send_answer(reply_address, Answer(request.task, request.request_id, reason))

    def _on_command_applied(
        self, request: Request, kind: CommandKind, reply_address: str, record: LeaseRecord, outcome: str
    ) -> None:
        if outcome == OK:
            token = record.token
            event = _COMMITTED_EVENTS[kind]
            self._log(event, request.task, token, member=request.member, version=record.version)
        else:
            token = 0
            self._log_refusal(request, outcome)
        answer = Answer(request.task, request.request_id, outcome, token)
        if self.answer_tasks is None:
            raise RuntimeError("cannot send an answer: LeaseService.run has not started")
        self.answer_tasks.start_soon(self._send_answer, reply_address, answer)

    def _log_refusal(self, request: Request, reason: str) -> None:
        self._log("lease_refused", request.task, request.token, member=request.member, why=reason)

    def _log(self, event: str, task: str, token: int, **fields: Any) -> None:
        log(event, seer=self.member_id, task=task, token=token, mono_us=monotonic_us(), **fields)
