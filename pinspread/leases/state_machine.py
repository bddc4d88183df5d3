"""The decisions of leases for tasks of the whole fleet, as pure functions without I/O or a clock.

Three parties follow one rule each. The *record* of a task, replicated by Raft, says who holds its lease
(`apply_command`). A *voter* decides on requests by its own clock (`evaluate_request`). A *lease holder*, or a
contender that wants to become one, counts the lease by its own clock, from before it sent its request
(`tick`, `apply_answer`, `may_act`). No clock reading is ever sent.

Times are whole microseconds of the party's own monotonic clock. `LeaseTerms.drift_us` bounds how much any one
clock gains or loses against real time during a lease.

Sources: Gray and Cheriton, "Leases" (1989); Burrows, "The Chubby lock service" (2006); for fencing tokens,
Kleppmann, "How to do distributed locking" (2016).
"""

from enum import StrEnum
from typing import NamedTuple

OK = "ok"  # the reason in an answer that grants the request
FIRST_TOKEN = 1  # the fencing token of the first grant of a task


class CommandKind(StrEnum):
    """The kinds of commands in the replicated log; the values are stored in the log."""

    GRANT = "grant"
    RENEW = "renew"
    RELEASE = "release"


class RequestKind(StrEnum):
    """The kinds of requests of a member to a voter; the values are sent on the wire."""

    ACQUIRE = "ask"
    RENEW = "keep"
    RELEASE = "give"


class LeaseTerms(NamedTuple):
    """The times that all parties share; they must be the same in the whole fleet for leases to be safe.

    Attributes:
        lease_us: The duration of a lease.
        drift_us: How much any one clock may gain or lose against real time during a lease.
        margin_us: The maximum time between a check by `may_act` and the effect of the act.
        renew_us: The time from sending a request that is granted to the next renewal.
        retry_us: The time after which an unanswered request is sent again.
    """

    lease_us: int = 10_000_000
    drift_us: int = 500_000
    margin_us: int = 200_000
    renew_us: int = 3_000_000
    retry_us: int = 500_000


# --- the replicated record --------------------------------------------------------------------------


class LeaseRecord(NamedTuple):
    """The lease of one task, as it results from the replicated log.

    Attributes:
        holder: The id of the lease holder; empty if there is none.
        token: The fencing token, which is the version at which the lease was last granted.
        version: Incremented by every change.
        request_id: The id of the request that was granted.
    """

    holder: str = ""
    token: int = 0
    version: int = 0
    request_id: int = 0


class Command(NamedTuple):
    """An entry of the replicated log.

    Attributes:
        kind: The kind of the command.
        holder: The id of the member that the command is for.
        expected: For a grant, the version of the record that the voter's decision was based on; for other
            commands, the fencing token.
        request_id: For a grant, the id of the request that it grants.
    """

    kind: CommandKind
    holder: str
    expected: int
    request_id: int = 0


def apply_command(record: LeaseRecord, command: Command) -> tuple[LeaseRecord, str]:
    """Apply a command to a record; the result is the same on every voter.

    Returns:
        The record afterwards, and `OK` or the reason for refusing the command.
    """
    kind, holder, expected, request_id = command
    if kind == CommandKind.GRANT:
        if record.holder == holder and record.request_id == request_id and record.version:
            return record, OK  # a repeated request is granted only once
        if expected != record.version:
            # Without this check, a grant would overwrite a renewal that entered the log after the voter's
            # decision and before this entry.
            return record, "changed meanwhile"
        return LeaseRecord(holder, record.version + 1, record.version + 1, request_id), OK
    if record.holder != holder or record.token != expected:
        return record, _mismatch_reason(record, holder, expected)
    if kind == CommandKind.RENEW:
        return record._replace(version=record.version + 1), OK
    return LeaseRecord("", record.token, record.version + 1, 0), OK


def _mismatch_reason(record: LeaseRecord, holder: str, token: int) -> str:
    """Return the reason why `holder` does not hold the lease with `token`."""
    if record.holder != holder:
        return "not the holder"
    return f"stale token {token}: it is {record.token}"


# --- the voter --------------------------------------------------------------------------------------


class Request(NamedTuple):
    """A member's request to a voter.

    Attributes:
        kind: The kind of the request.
        task: The task's name.
        member: The id of the member that sends the request.
        token: The member's fencing token, for a renewal or a release.
        request_id: Identifies the request; a request that is sent again keeps its id.
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
        request_id: The id of the request that is answered.
        reason: `OK`, or the reason for refusing the request.
        token: The fencing token, if the request is granted.
        retry_after_us: How long to wait before the next request; 0 if the voter does not know.
        leader: The id of the voter to send the request to instead; empty if this voter decided.
    """

    task: str
    request_id: int
    reason: str
    token: int = 0
    retry_after_us: int = 0
    leader: str = ""


def binding_until_us(terms: LeaseTerms, applied_us: int) -> int:
    """Return until when a voter must honour a record that it applied at `applied_us`, by its own clock.

    The lease holder sent its request before this voter applied the record, and stops acting at most one lease
    duration after sending it, by the holder's clock. The drift bound allows for this voter's clock running
    fast in the meantime.
    """
    return applied_us + terms.lease_us + terms.drift_us


def evaluate_request(
    record: LeaseRecord, applied_us: int, request: Request, terms: LeaseTerms, now_us: int
) -> Command | Answer:
    """Decide on a request as a voter.

    Args:
        record: The task's record, as this voter has applied it.
        applied_us: When this voter applied the record, by its own clock.
        request: The request.
        terms: The times that all parties share.
        now_us: The current time, by this voter's clock.

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
        reason = _mismatch_reason(record, request.member, request.token)
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
        token: The fencing token; 0 while the contender does not hold the lease.
        expiry_us: When the lease ends, counted from before its request was sent.
        request_id: The id of the open request, which has no answer yet; 0 if there is none.
        requested_us: When the open request was first sent.
        sent_us: When the open request was last sent; 0 if it is to be sent again at once.
        next_request_us: When the next request or renewal is due.
    """

    token: int = 0
    expiry_us: int = 0
    request_id: int = 0
    requested_us: int = 0
    sent_us: int = 0
    next_request_us: int = 0


def may_act(claim: Claim, terms: LeaseTerms, now_us: int) -> bool:
    """Return whether the lease holder may act now; must be checked right before each act."""
    return claim.token > 0 and now_us + terms.drift_us + terms.margin_us < claim.expiry_us


def tick(
    claim: Claim, terms: LeaseTerms, contender: Contender, now_us: int, new_request_id: int
) -> tuple[Claim, Request | None]:
    """Expire a claim, or request, renew or repeat a request for it, as far as that is due now.

    Args:
        claim: The contender's claim.
        terms: The times that all parties share.
        contender: The contender and the task.
        now_us: The current time, by the contender's clock.
        new_request_id: An unused id, in case a new request is due.

    Returns:
        The claim afterwards, and the request to send, if any.
    """
    if claim.token and now_us >= claim.expiry_us:
        claim = Claim(next_request_us=now_us)  # lost, because no voter answered in time
    if claim.request_id and now_us - claim.requested_us >= terms.lease_us:
        claim = claim._replace(request_id=0, next_request_us=now_us)  # a lease granted for it would be over
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
    """Return the claim after an answer; an answer to any request but the open one is ignored."""
    if not claim.request_id or answer.request_id != claim.request_id or answer.leader:
        return claim
    if answer.reason == OK:
        if claim.token and answer.token != claim.token:
            return Claim(next_request_us=now_us)
        # The lease counts from before the request was sent, since the answer may have been in transit for a
        # long time.
        expiry_us = claim.requested_us + terms.lease_us
        return Claim(answer.token, expiry_us, next_request_us=claim.requested_us + terms.renew_us)
    delay_us = answer.retry_after_us or terms.retry_us
    return Claim(next_request_us=now_us + delay_us)  # a refused renewal also ends the claim at once


def release_claim(claim: Claim, contender: Contender, new_request_id: int) -> tuple[Claim, Request | None]:
    """Give up a claim.

    Returns:
        An empty claim, and the request that gives the lease back, if it is held.
    """
    if not claim.token:
        return Claim(), None
    request = Request(RequestKind.RELEASE, contender.task, contender.member, claim.token, new_request_id)
    return Claim(), request
