"""The model of leases that `model_checker` explores: parties, states, and the steps between them.

The parties run `state_machine` itself. A state holds: real time in ticks; each party's clock, which gains or
loses the drift bound against real time at any one tick; the agreed log, as Raft gives it (one order, entries
appended one at a time, never lost once appended); how much of it each voter has applied and when, by its own
clock; requests and answers under way, which stay there: one that is never delivered is lost, one that is
delivered again is doubled, and any order counts; each contender's claim; and what it has checked but not done
yet. A pause is a party that takes no step while others do, for any length, also between its check and its
act. Any voter may decide, as one may that is partitioned off and takes itself for the leader. What is left
out: a voter's hint when to ask again (contenders ask at once, which is harder).

Asserted in every state: at most one contender may act (`may_act` by its own clock); and in every step: the
tokens that the resource accepts never fall. `Rules` replaces parts of the decisions, to show that the check
finds what their absence breaks.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple, TypeVar

from pinspread.leases import state_machine
from pinspread.leases.state_machine import (
    OK,
    Answer,
    Claim,
    Command,
    CommandKind,
    Contender,
    LeaseRecord,
    LeaseTerms,
    Request,
    RequestKind,
)

TASK = "t"
TERMS = LeaseTerms(lease_us=3, drift_us=1, margin_us=0, renew_us=1, retry_us=1)

_Item = TypeVar("_Item")


class AppliedLog(NamedTuple):
    """How much of the log a voter has applied, and when it last did, by its own clock."""

    entries: int
    at: int


class AddressedAnswer(NamedTuple):
    """An answer under way to a contender, by its number."""

    contender: int
    answer: Answer


class PendingProposal(NamedTuple):
    """A request that a voter answers once it applies the log's entry at `log_index`."""

    voter: int
    log_index: int
    request: Request


class ModelState(NamedTuple):
    """One state; all values are hashable.

    Attributes:
        real: Real time, in ticks.
        clocks: The gain over real time of each contender's clock, then of each voter's.
        log: The agreed log.
        applied: What each voter has applied.
        claims: The claim of each contender.
        request_count: How many request ids have been given out.
        requests: The requests that were sent.
        answers: The answers that were sent.
        pending: The requests that are answered when a voter applies its proposal.
        checked: For each contender, the token by which it is about to act, or 0.
        newest_token: The newest token that the resource has accepted.
    """

    real: int
    clocks: tuple[int, ...]
    log: tuple[Command, ...]
    applied: tuple[AppliedLog, ...]
    claims: tuple[Claim, ...]
    request_count: int
    requests: frozenset[Request]
    answers: frozenset[AddressedAnswer]
    pending: frozenset[PendingProposal]
    checked: tuple[int, ...]
    newest_token: int


class Bounds(NamedTuple):
    """How much is explored.

    Attributes:
        contenders: How many contenders there are.
        voters: How many voters there are.
        depth: The most steps from a start.
        log_entries: The most entries in the log.
        requests: The most requests with an id of their own.
        acts: Whether contenders check and act, too.
        drifting_clocks: The most clocks that drift in one run.
        drift: What a clock may gain or lose, in ticks; the terms have the same.
        states: The most states.
        seconds: The longest run.
    """

    contenders: int = 2
    voters: int = 3
    depth: int = 9
    log_entries: int = 3
    requests: int = 3
    acts: bool = False
    drifting_clocks: int = 2
    drift: int = 1
    states: int = 5_000_000
    seconds: float = 600.0


class Rules(NamedTuple):
    """The decisions under test; `fenced` is whether the resource refuses old tokens."""

    evaluate_request: Callable[[LeaseRecord, int, Request, LeaseTerms, int], Command | Answer] = (
        state_machine.evaluate_request
    )
    apply_command: Callable[[LeaseRecord, Command], tuple[LeaseRecord, str]] = state_machine.apply_command
    may_act: Callable[[Claim, LeaseTerms, int], bool] = state_machine.may_act
    fenced: bool = True


Step = tuple[str, ModelState]  # its name, and the state that it leads to


class Model:
    """The states and steps for some bounds, rules and terms."""

    def __init__(self, bounds: Bounds, rules: Rules, terms: LeaseTerms):
        self.bounds = bounds
        self.rules = rules
        self.terms = terms

    # --- states ---------------------------------------------------------------------------------------

    def starts(self) -> Iterator[Step]:
        """Yield where to begin: nobody has asked; or, to reach further, contender 0 was just granted."""
        contenders, voters = self.bounds.contenders, self.bounds.voters
        first = ModelState(
            real=0,
            clocks=(0,) * (contenders + voters),
            log=(),
            applied=(AppliedLog(0, 0),) * voters,
            claims=(Claim(),) * contenders,
            request_count=0,
            requests=frozenset(),
            answers=frozenset(),
            pending=frozenset(),
            checked=(0,) * contenders,
            newest_token=0,
        )
        yield "nobody has asked", first
        claim = Claim(1, self.terms.lease_us, next_request_us=self.terms.renew_us)
        granted = first._replace(
            log=(Command(CommandKind.GRANT, "c0", 0, 1),),
            claims=_replaced(first.claims, 0, claim),
            request_count=1,
            requests=frozenset([Request(RequestKind.ACQUIRE, TASK, "c0", 0, 1)]),
        )
        for informed in range(1, voters + 1):  # voters that have applied the grant by now
            applied = (AppliedLog(1, 0),) * informed + (AppliedLog(0, 0),) * (voters - informed)
            yield f"c0 holds, {informed} know", granted._replace(applied=applied)

    def violation(self, state: ModelState) -> str:
        """Return what is broken in a state; empty if nothing is."""
        able = [
            contender
            for contender, claim in enumerate(state.claims)
            if self.rules.may_act(claim, self.terms, self._contender_time(state, contender))
        ]
        return f"both {able} may act at {state.real}" if len(able) > 1 else ""

    def step_violation(self, before: ModelState, after: ModelState) -> str:
        """Return what is broken by a step, not by the state that it leads to; empty if nothing is."""
        if after.newest_token >= before.newest_token:
            return ""
        return f"the resource took token {after.newest_token} after {before.newest_token}"

    def canonical(self, state: ModelState) -> ModelState:
        """Return one of the states that differ only by which voter is which."""
        contenders = self.bounds.contenders

        def sort_key(voter: int) -> tuple[object, ...]:
            pending = sorted(item[1:] for item in state.pending if item.voter == voter)
            return state.applied[voter], state.clocks[contenders + voter], pending

        voters = sorted(range(self.bounds.voters), key=sort_key)
        place = {voter: index for index, voter in enumerate(voters)}
        return state._replace(
            applied=tuple(state.applied[voter] for voter in voters),
            clocks=state.clocks[:contenders] + tuple(state.clocks[contenders + voter] for voter in voters),
            pending=frozenset(item._replace(voter=place[item.voter]) for item in state.pending),
        )

    def _contender_time(self, state: ModelState, contender: int) -> int:
        return state.real + state.clocks[contender]

    def _voter_time(self, state: ModelState, voter: int) -> int:
        return state.real + state.clocks[self.bounds.contenders + voter]

    def _record(self, log: Iterable[Command]) -> LeaseRecord:
        """Return the record after some commands."""
        record = LeaseRecord()
        for command in log:
            record, _ = self.rules.apply_command(record, command)
        return record

    # --- steps ----------------------------------------------------------------------------------------

    def steps(self, state: ModelState) -> Iterator[Step]:
        """Yield every next state, with the name of the step."""
        yield from self._time_steps(state)
        for contender in range(self.bounds.contenders):
            yield from self._request_steps(state, contender)
            if self.bounds.acts:
                yield from self._act_steps(state, contender)
        yield from self._delivery_steps(state)
        yield from self._answer_steps(state)
        for voter in range(self.bounds.voters):
            if state.applied[voter].entries < len(state.log):
                yield f"apply {voter}", self._apply(state, voter)

    def _time_steps(self, state: ModelState) -> Iterator[Step]:
        later = state._replace(real=state.real + 1)
        yield "tick", later
        if sum(map(bool, state.clocks)) >= self.bounds.drifting_clocks:
            return
        drift = self.bounds.drift
        for party, gain in enumerate(state.clocks):
            if gain == 0:
                yield f"tick, {party} fast", later._replace(clocks=_replaced(state.clocks, party, drift))
                yield f"tick, {party} slow", later._replace(clocks=_replaced(state.clocks, party, -drift))

    def _request_steps(self, state: ModelState, contender: int) -> Iterator[Step]:
        before = state.claims[contender]
        now = self._contender_time(state, contender)
        new_id = state.request_count + 1
        claim, request = state_machine.tick(before, self.terms, Contender(TASK, f"c{contender}"), now, new_id)
        is_new = claim.request_id == new_id
        if claim == before and not request:
            return
        if is_new and state.request_count >= self.bounds.requests:
            return
        requests = state.requests | {request} if request else state.requests
        after = state._replace(
            claims=_replaced(state.claims, contender, claim),
            request_count=state.request_count + is_new,
            requests=requests,
        )
        yield f"ask {contender}", after

    def _act_steps(self, state: ModelState, contender: int) -> Iterator[Step]:
        checked = state.checked[contender]
        claim = state.claims[contender]
        if checked:
            yield f"act {contender}", self._act(state, contender)
        elif self.rules.may_act(claim, self.terms, self._contender_time(state, contender)):
            yield (
                f"check {contender}",
                state._replace(checked=_replaced(state.checked, contender, claim.token)),
            )

    def _act(self, state: ModelState, contender: int) -> ModelState:
        """Have an act reach the resource, which refuses a token older than one that it has accepted."""
        token = state.checked[contender]
        accepted = token >= state.newest_token or not self.rules.fenced
        return state._replace(
            checked=_replaced(state.checked, contender, 0),
            newest_token=token if accepted else state.newest_token,
        )

    def _delivery_steps(self, state: ModelState) -> Iterator[Step]:
        if len(state.log) >= self.bounds.log_entries:
            return
        for request in state.requests:
            for voter in range(self.bounds.voters):
                delivered = self._deliver(state, voter, request)
                yield f"deliver to {voter}", delivered
                proposed = len(delivered.log) > len(state.log)
                if proposed and state.applied[voter].entries == len(state.log):
                    yield f"deliver to {voter}, apply", self._apply(delivered, voter)

    def _deliver(self, state: ModelState, voter: int, request: Request) -> ModelState:
        """Have a voter decide on a request."""
        count, at = state.applied[voter]
        now = self._voter_time(state, voter)
        record = self._record(state.log[:count])
        decision = self.rules.evaluate_request(record, at, request, self.terms, now)
        if isinstance(decision, Answer):
            answer = _addressed(request, decision._replace(retry_after_us=0))
            return state._replace(answers=state.answers | {answer})
        pending = PendingProposal(voter, len(state.log), request)
        return state._replace(log=(*state.log, decision), pending=state.pending | {pending})

    def _answer_steps(self, state: ModelState) -> Iterator[Step]:
        for contender, answer in state.answers:
            before = state.claims[contender]
            now = self._contender_time(state, contender)
            claim = state_machine.apply_answer(before, answer, self.terms, now)
            if claim != before:
                yield (
                    f"answer {contender}",
                    state._replace(claims=_replaced(state.claims, contender, claim)),
                )

    def _apply(self, state: ModelState, voter: int) -> ModelState:
        """Have a voter apply the next entry of the log, and answer the request that led to it."""
        count = state.applied[voter].entries
        before = self._record(state.log[:count])
        record, outcome = self.rules.apply_command(before, state.log[count])
        token = record.token if outcome == OK else 0
        done = {item for item in state.pending if item.voter == voter and item.log_index == count}
        answers = {
            _addressed(item.request, Answer(TASK, item.request.request_id, outcome, token)) for item in done
        }
        applied = AppliedLog(count + 1, self._voter_time(state, voter))
        return state._replace(
            applied=_replaced(state.applied, voter, applied),
            answers=state.answers | answers,
            pending=state.pending - done,
        )


def _replaced(values: tuple[_Item, ...], index: int, value: _Item) -> tuple[_Item, ...]:
    """Return the values with another one at an index."""
    return (*values[:index], value, *values[index + 1 :])


def _addressed(request: Request, answer: Answer) -> AddressedAnswer:
    """Return an answer to the contender that a request is from."""
    return AddressedAnswer(int(request.member.removeprefix("c")), answer)
