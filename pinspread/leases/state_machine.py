"""Leases for fleet-wide tasks: the decisions alone, with no I/O and no clock; values in, values out.

Three parties keep one rule each. The *record* of a task, agreed on by Raft, says who holds its lease
(`apply_command`). A *voter* decides on requests by its own clock (`evaluate_request`). A *lease holder*, or a
contender that would like to be one, counts what it may do by its own clock, from before it sent its request
(`tick`, `apply_answer`, `may_act`). No clock reading is ever sent. Times are whole microseconds of the party's
own monotonic clock; `drift_us` bounds what any one clock gains or loses against real time during a lease.

Sources: Gray and Cheriton, "Leases" (1989); Burrows, "The Chubby lock service" (2006); for fencing tokens,
Kleppmann, "How to do distributed locking" (2016).
"""

from enum import StrEnum
from typing import NamedTuple

OK = "ok"
FIRST_TOKEN = 1  # the token of the first grant of a task


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
    """The figures that all parties share; a fleet with different ones is not safe."""

    lease_us: int = 10_000_000
    drift_us: int = 500_000
    margin_us: int = 200_000  # between the check and the act's effect
    renew_us: int = 3_000_000  # after the last success
    retry_us: int = 500_000  # an unanswered request is sent again


# --- the row, agreed on -----------------------------------------------------------------------------


class LeaseRecord(NamedTuple):
    """One task as the log has it; `version` grows with every change, `token` is the version of the grant."""

    holder: str = ""  # empty: nobody
    token: int = 0
    version: int = 0
    number: int = 0  # of the request that was granted


class Command(NamedTuple):
    """An entry of the log: `arg` is the version judged by (grant) or the token (renew, release)."""

    kind: str
    holder: str
    arg: int
    number: int = 0


def apply_command(row: LeaseRecord, command: Command) -> tuple[LeaseRecord, str]:
    """The row after a command, and OK or why it was refused; the same on every voter."""
    kind, holder, arg, number = command
    if kind == CommandKind.GRANT:
        if row.holder == holder and row.number == number and row.version:
            return row, OK  # asked twice, granted once
        if arg != row.version:
            # Danger: a renewal that came between the voter's judgment and this entry would be run over.
            return row, "changed meanwhile"
        return LeaseRecord(holder, row.version + 1, row.version + 1, number), OK
    if row.holder != holder or row.token != arg:
        return row, f"stale token {arg}: it is {row.token}" if row.holder == holder else "not the holder"
    if kind == CommandKind.RENEW:
        return row._replace(version=row.version + 1), OK
    return LeaseRecord("", row.token, row.version + 1, 0), OK


# --- the voter --------------------------------------------------------------------------------------


class Request(NamedTuple):
    """What a member asks of a voter; `token` counts for RequestKind.RENEW and RequestKind.RELEASE, `number` tells its requests apart."""

    kind: str
    task: str
    member: str
    token: int
    number: int


class Answer(NamedTuple):
    """What a voter says to a request: `why` is OK or a reason; `wait_us` when to ask again, if known."""

    task: str
    number: int
    why: str
    token: int = 0
    wait_us: int = 0
    leader: str = ""  # who to ask instead


def binding_until_us(terms: LeaseTerms, applied_us: int) -> int:
    """Until when a row that this voter applied at `applied_us` binds it, by its own clock.

    The holder asked before this voter applied, and stops by its own clock `lease` after it asked at the
    latest; the drift bound covers this voter's clock running fast meanwhile.
    """
    return applied_us + terms.lease_us + terms.drift_us


def evaluate_request(row: LeaseRecord, applied_us: int, request: Request, terms: LeaseTerms, now_us: int):
    """What a voter makes of a request: the Command to propose, or the Answer that refuses it."""
    if request.kind == RequestKind.ACQUIRE:
        asked_before = row.holder == request.member and row.number == request.number
        left = binding_until_us(terms, applied_us) - now_us
        if row.holder and not asked_before and left > 0:
            return Answer(request.task, request.number, f"held by {row.holder}", 0, left)
        return Command(CommandKind.GRANT, request.member, row.version, request.number)
    if row.holder != request.member:
        return Answer(request.task, request.number, "not the holder")
    if row.token != request.token:
        return Answer(request.task, request.number, f"stale token {request.token}: it is {row.token}")
    return Command(
        CommandKind.RENEW if request.kind == RequestKind.RENEW else CommandKind.RELEASE,
        request.member,
        request.token,
    )


# --- the holder and the contender -------------------------------------------------------------------


class Claim(NamedTuple):
    """A member's side of one task. `token` 0: it holds nothing. `expiry_us` counts from before it asked."""

    token: int = 0
    expiry_us: int = 0
    number: int = 0  # of the request that is out; 0: none is
    asked_us: int = 0  # when that request went out first
    sent_us: int = 0  # and last
    next_us: int = 0  # when to ask or renew next


def may_act(claim: Claim, terms: LeaseTerms, now_us: int) -> bool:
    """Whether the holder may act now; to be checked right before each act."""
    return claim.token > 0 and now_us + terms.drift_us + terms.margin_us < claim.expiry_us


def tick(claim: Claim, terms: LeaseTerms, task: str, member: str, now_us: int, number: int):
    """What is due: the claim and the Request to send, or None. `number` is fresh, in case it is needed."""
    if claim.token and now_us >= claim.expiry_us:
        claim = Claim(next_us=now_us)  # lost: nobody has answered in time
    if claim.number and now_us - claim.asked_us >= terms.lease_us:
        claim = claim._replace(number=0, next_us=now_us)  # what it would give is over by now
    if not claim.number:
        if now_us < claim.next_us:
            return claim, None
        claim = claim._replace(number=number, asked_us=now_us, sent_us=now_us)
    elif now_us - claim.sent_us < terms.retry_us:
        return claim, None
    else:
        claim = claim._replace(sent_us=now_us)
    return claim, Request(
        RequestKind.RENEW if claim.token else RequestKind.ACQUIRE, task, member, claim.token, claim.number
    )


def apply_answer(claim: Claim, answer: Answer, terms: LeaseTerms, now_us: int) -> Claim:
    """The claim after an answer; one to another request than the one that is out changes nothing."""
    if not claim.number or answer.number != claim.number or answer.leader:
        return claim
    if answer.why == OK:
        # Danger: the lease counts from before it was asked for; an answer may have been long under way.
        expiry = claim.asked_us + terms.lease_us
        if claim.token and answer.token != claim.token:
            return Claim(next_us=now_us)
        return Claim(answer.token, expiry, next_us=claim.asked_us + terms.renew_us)
    wait = answer.wait_us or terms.retry_us
    return Claim(next_us=now_us + wait)  # a refused renewal ends the claim at once


def release_claim(claim: Claim, task: str, member: str, number: int):
    """Stop holding: the empty claim, and the Request that gives the lease back, or None."""
    if not claim.token:
        return Claim(), None
    return Claim(), Request(RequestKind.RELEASE, task, member, claim.token, number)
