"""Leases for tasks of the whole fleet: the decisions alone, with no I/O and no clock; values in, values out.

Three parties keep one rule each. The *record* of a task, agreed on by Raft, says who holds its lease
(`apply_command`). A *voter* decides on requests by its own clock (`evaluate_request`). A *lease holder*, or a
contender that would like to be one, counts what it may do by its own clock, from before it sent its request
(`tick`, `apply_answer`, `may_act`). No clock reading is ever sent.

Times are whole microseconds of the party's own monotonic clock. `LeaseTerms.drift_us` bounds what any one
clock gains or loses against real time in the course of a lease.

Sources: Gray and Cheriton, "Leases" (1989); Burrows, "The Chubby lock service" (2006); for fencing tokens,
Kleppmann, "How to do distributed locking" (2016).
"""

from enum import StrEnum
from typing import NamedTuple

OK = "ok"  # the reason of an answer that grants
FIRST_TOKEN = 1  # the fencing token of the first grant of a task


class CommandKind(StrEnum):
    """What a command of the replicated log does; the values are those in the log."""

    GRANT = "grant"
    RENEW = "renew"
    RELEASE = "release"


class RequestKind(StrEnum):
    """What a member asks of a voter; the values are those on the wire."""

    ACQUIRE = "ask"
    RENEW = "keep"
    RELEASE = "give"


class LeaseTerms(NamedTuple):
    """The times that all parties share; a fleet with different ones is not safe.

    Attributes:
        lease_us: For how long a lease is granted.
        drift_us: What any one clock may gain or lose against real time in the course of a lease.
        margin_us: The longest time between `may_act` and the effect of the act.
        renew_us: A lease is renewed so long after the last request that was granted.
        retry_us: An unanswered request is sent again after this time.
    """

    lease_us: int = 10_000_000
    drift_us: int = 500_000
    margin_us: int = 200_000
    renew_us: int = 3_000_000
    retry_us: int = 500_000


# --- the replicated record --------------------------------------------------------------------------


class LeaseRecord(NamedTuple):
    """The lease of one task, as the replicated log has it.

    Attributes:
        holder: The lease holder's id; empty if there is none.
        token: The fencing token: the version at which the lease was last granted.
        version: Grows with every change.
        request_id: The request that was granted.
    """

    holder: str = ""
    token: int = 0
    version: int = 0
    request_id: int = 0


class Command(NamedTuple):
    """An entry of the replicated log.

    Attributes:
        kind: What to do.
        holder: The member that it is for.
        expected: For a grant, the version of the record that the voter decided on; else the fencing token.
        request_id: For a grant, the request that it answers.
    """

    kind: CommandKind
    holder: str
    expected: int
    request_id: int = 0


def apply_command(record: LeaseRecord, command: Command) -> tuple[LeaseRecord, str]:
    """Return the record after a command, and `OK` or why it was refused; the same on every voter."""
    kind, holder, expected, request_id = command
    if kind == CommandKind.GRANT:
        if record.holder == holder and record.request_id == request_id and record.version:
            return record, OK  # a request that was sent twice is granted once
        if expected != record.version:
            # Without this check a grant would overwrite a renewal that got into the log between the voter's
            # decision and this entry.
            return record, "changed meanwhile"
        return LeaseRecord(holder, record.version + 1, record.version + 1, request_id), OK
    if record.holder != holder or record.token != expected:
        return record, _mismatch(record, holder, expected)
    if kind == CommandKind.RENEW:
        return record._replace(version=record.version + 1), OK
    return LeaseRecord("", record.token, record.version + 1, 0), OK


def _mismatch(record: LeaseRecord, holder: str, token: int) -> str:
    """Return why `holder` does not hold the lease with `token`."""
    if record.holder != holder:
        return "not the holder"
    return f"stale token {token}: it is {record.token}"


# --- the voter --------------------------------------------------------------------------------------


class Request(NamedTuple):
    """What a member asks of a voter.

    Attributes:
        kind: What it asks for.
        task: The task's name.
        member: The id of the member that asks.
        token: Its fencing token, for a renewal or a release.
        request_id: Tells the member's requests apart; the same when a request is sent again.
    """

    kind: RequestKind
    task: str
    member: str
    token: int
    request_id: int


class Answer(NamedTuple):
    """A voter's answer to a request.

    Attributes:
        task: The task's name.
        request_id: The request that is answered.
        reason: `OK`, or why the request is refused.
        token: The fencing token, if it is granted.
        retry_after_us: How long to wait before the next request; 0 where the voter does not know.
        leader: The id of the voter to send the request to instead, or empty.
    """

    task: str
    request_id: int
    reason: str
    token: int = 0
    retry_after_us: int = 0
    leader: str = ""


def binding_until_us(terms: LeaseTerms, applied_us: int) -> int:
    """Return until when a record binds a voter that applied it at `applied_us`, by the voter's clock.

    The lease holder sent its request before this voter applied the record, and stops by its own clock one
    lease after that at the latest. The drift bound covers this voter's clock running fast meanwhile.
    """
    return applied_us + terms.lease_us + terms.drift_us


def evaluate_request(
    record: LeaseRecord, applied_us: int, request: Request, terms: LeaseTerms, now_us: int
) -> Command | Answer:
    """Decide on a request as a voter.

    Args:
        record: The task's record, as this voter has applied it.
        applied_us: When it was applied, by this voter's clock.
        request: The request.
        terms: The times that all parties share.
        now_us: The time, by this voter's clock.

    Returns:
        The command to propose, or the answer that refuses the request.
    """
    if request.kind == RequestKind.ACQUIRE:
        granted_before = record.holder == request.member and record.request_id == request.request_id
        remaining_us = binding_until_us(terms, applied_us) - now_us
        if record.holder and not granted_before and remaining_us > 0:
            return Answer(request.task, request.request_id, f"held by {record.holder}", 0, remaining_us)
        return Command(CommandKind.GRANT, request.member, record.version, request.request_id)
    if record.holder != request.member or record.token != request.token:
        reason = _mismatch(record, request.member, request.token)
        return Answer(request.task, request.request_id, reason)
    kind = CommandKind.RENEW if request.kind == RequestKind.RENEW else CommandKind.RELEASE
    return Command(kind, request.member, request.token)


# --- the lease holder and the contender -------------------------------------------------------------


class Contender(NamedTuple):
    """A member that contends for the lease of a task, or holds it."""

    task: str
    member: str


class Claim(NamedTuple):
    """A contender's side of a lease.

    Attributes:
        token: The fencing token; 0 while it does not hold the lease.
        expiry_us: When the lease ends; it counts from before its request was sent.
        request_id: The request that waits for an answer; 0 if none does.
        requested_us: When that request was sent first.
        sent_us: When that request was sent last.
        next_request_us: When the next request or renewal is due.
    """

    token: int = 0
    expiry_us: int = 0
    request_id: int = 0
    requested_us: int = 0
    sent_us: int = 0
    next_request_us: int = 0


def may_act(claim: Claim, terms: LeaseTerms, now_us: int) -> bool:
    """Return whether the lease holder may act now; to be checked right before each act."""
    return claim.token > 0 and now_us + terms.drift_us + terms.margin_us < claim.expiry_us


def tick(
    claim: Claim, terms: LeaseTerms, contender: Contender, now_us: int, new_request_id: int
) -> tuple[Claim, Request | None]:
    """Do what is due by now.

    Args:
        claim: The contender's claim.
        terms: The times that all parties share.
        contender: Whose claim it is, and on which task.
        now_us: The time, by the contender's clock.
        new_request_id: An unused id, in case a new request is due.

    Returns:
        The claim afterwards, and the request to send, if any.
    """
    if claim.token and now_us >= claim.expiry_us:
        claim = Claim(next_request_us=now_us)  # lost: no voter has answered in time
    if claim.request_id and now_us - claim.requested_us >= terms.lease_us:
        claim = claim._replace(request_id=0, next_request_us=now_us)  # a lease from it would be over by now
    if not claim.request_id:
        if now_us < claim.next_request_us:
            return claim, None
        claim = claim._replace(request_id=new_request_id, requested_us=now_us, sent_us=now_us)
    elif now_us - claim.sent_us < terms.retry_us:
        return claim, None
    else:
        claim = claim._replace(sent_us=now_us)
    kind = RequestKind.RENEW if claim.token else RequestKind.ACQUIRE
    return claim, Request(kind, contender.task, contender.member, claim.token, claim.request_id)


def apply_answer(claim: Claim, answer: Answer, terms: LeaseTerms, now_us: int) -> Claim:
    """Return the claim after an answer; an answer to any other request than the open one changes nothing."""
    if not claim.request_id or answer.request_id != claim.request_id or answer.leader:
        return claim
    if answer.reason == OK:
        if claim.token and answer.token != claim.token:
            return Claim(next_request_us=now_us)
        # The lease counts from before it was asked for, since the answer may have been under way for long.
        expiry_us = claim.requested_us + terms.lease_us
        return Claim(answer.token, expiry_us, next_request_us=claim.requested_us + terms.renew_us)
    delay_us = answer.retry_after_us or terms.retry_us
    return Claim(next_request_us=now_us + delay_us)  # a refused renewal ends the claim at once


def release_claim(claim: Claim, contender: Contender, new_request_id: int) -> tuple[Claim, Request | None]:
    """Stop holding a lease.

    Returns:
        The empty claim, and the request that gives the lease back, if it is held.
    """
    if not claim.token:
        return Claim(), None
    request = Request(RequestKind.RELEASE, contender.task, contender.member, claim.token, new_request_id)
    return Claim(), request
