"""This member's claims on tasks: the leases it holds, its open requests, and the voter it sends them to.

`state_machine` decides how each claim changes. This module stores the claims and logs their changes.
"""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Any, NamedTuple

from pinspread.core.log import log
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
from pinspread.membership.clock import monotonic_us

_REQUEST_ID_BITS = 62


class AddressedRequest(NamedTuple):
    """A request, and the id of the voter to send it to."""

    voter: str
    request: Request


@dataclass(frozen=True)
class MemberClock:
    """This member's clock.

    Attributes:
        now: Returns the time of this clock, in microseconds.
        rate: The speed of this clock relative to the machine's monotonic clock.
    """

    now: Callable[[], int]
    rate: float = 1.0


class LeaseClaims:
    """The claims of one member.

    Args:
        member_id: The id of this member.
        voters: The ids of the voters.
        terms: The times that all parties share.
        clock: The clock of this member.
        rng: Draws the initial order of the voters, and the ids of requests.

    Attributes:
        voter_order: The ids of the voters, starting with the one that is most likely the leader.
    """

    def __init__(
        self,
        member_id: str,
        voters: Collection[str],
        terms: LeaseTerms,
        clock: MemberClock,
        rng: random.Random,
    ):
        self.voter_order = sorted(voters)
        self._member_id = member_id
        self._terms = terms
        self._clock = clock
        self._rng = rng
        self._claims: dict[str, Claim] = {}
        self._rng.shuffle(self.voter_order)

    # --- state ----------------------------------------------------------------------------------------

    def tasks(self) -> list[str]:
        """Return the tasks that this member contends for."""
        return list(self._claims)

    def fencing_token(self, task: str) -> int:
        """Return the fencing token of a task if this member may act on it now, else 0."""
        claim = self._claims.get(task, Claim())
        return claim.token if may_act(claim, self._terms, self._clock.now()) else 0

    def view(self) -> dict[str, dict[str, Any]]:
        """Return the operators' view of each claim, by task."""
        now_us = self._clock.now()
        return {task: self._claim_view(task, claim, now_us) for task, claim in self._claims.items()}

    def _claim_view(self, task: str, claim: Claim, now_us: int) -> dict[str, Any]:
        remaining_us = self._remaining_us(claim, now_us) if claim.token else 0
        return {
            "task": task,
            "mine": self.fencing_token(task),
            "acts_for_ms": max(0, remaining_us) // 1000,
        }

    def _remaining_us(self, claim: Claim, now_us: int) -> int:
        """Return the time left for acting on a claim, in microseconds; negative if it has ended."""
        return claim.expiry_us - self._terms.drift_us - self._terms.margin_us - now_us

    # --- changes --------------------------------------------------------------------------------------

    def contend(self, task: str) -> None:
        """Start to contend for a task."""
        self._claims.setdefault(task, Claim())

    def withdraw(self, task: str) -> Request | None:
        """Stop contending for a task; return the request that gives its lease back, if it is held."""
        claim = self._claims.pop(task, Claim())
        _, request = release_claim(claim, self._contender(task), self._new_request_id())
        if request:
            self.log_event("lease_given_back", task, claim.token)
        return request

    def tick(self, task: str) -> AddressedRequest | None:
        """Expire or renew the claim on a task if that is due now; return the request to send, if any."""
        before = self._claims.get(task)
        if before is None:
            return None  # `withdraw` ran while a request for another task was being sent
        contender, request_id = self._contender(task), self._new_request_id()
        claim, request = tick(before, self._terms, contender, self._clock.now(), request_id)
        self._claims[task] = claim
        if before.token and not claim.token:
            self.log_event("lease_lost", task, before.token, why="not renewed in time")
        if request is None:
            return None
        # An unanswered request is sent again to the next voter, since another one may lead by now. If an
        # answer has named the leader, `sent_us` was cleared: the voter that was just named must stay first.
        if request.request_id == before.request_id and before.sent_us:
            self.voter_order.append(self.voter_order.pop(0))
        return AddressedRequest(self.voter_order[0], request)

    def handle_answer(self, answer: Answer) -> None:
        """Handle a voter's answer; an answer to any request but the open one is ignored."""
        before = self._claims.get(answer.task)
        if before is None or not before.request_id or answer.request_id != before.request_id:
            return
        if answer.leader in self.voter_order:
            self.voter_order.remove(answer.leader)
            self.voter_order.insert(0, answer.leader)
            self._claims[answer.task] = before._replace(sent_us=0)  # send it to that voter at once
            return
        claim = self._claims[answer.task] = apply_answer(before, answer, self._terms, self._clock.now())
        if claim.token and not before.token:
            self.log_event("lease_held", answer.task, claim.token, stops_us=self._act_deadline_us(claim))
        elif claim.token and claim.expiry_us > before.expiry_us:
            self.log_event("lease_kept", answer.task, claim.token, stops_us=self._act_deadline_us(claim))
        elif before.token and not claim.token:
            self.log_event("lease_lost", answer.task, before.token, why=answer.reason)

    def handle_newer_token(self, task: str, token: int) -> None:
        """End a claim whose token the resource refused because another member has held the lease since.

        This member's clock may still show the lease as valid.
        """
        self._claims[task] = Claim(next_request_us=self._clock.now() + self._terms.retry_us)
        self.log_event("lease_lost", task, token, why="the resource has seen a newer token")

    def _contender(self, task: str) -> Contender:
        return Contender(task, self._member_id)

    def _new_request_id(self) -> int:
        return self._rng.getrandbits(_REQUEST_ID_BITS) + 1

    # --- the log --------------------------------------------------------------------------------------

    def _act_deadline_us(self, claim: Claim) -> int:
        """Return until when this member may act on a claim, in the machine's time; only for the log."""
        remaining_us = self._remaining_us(claim, self._clock.now())
        return monotonic_us() + int(remaining_us / self._clock.rate)

    def log_event(self, event: str, task: str, token: int, **fields: Any) -> None:
        """Log an event about a task."""
        log(event, seer=self._member_id, task=task, token=token, mono_us=monotonic_us(), **fields)
