"""The model of leases that `model_checker` explores: parties, states, and the steps between them.

The parties run the code of `state_machine`. A state consists of:

- real time in ticks, and each party's clock, which may gain or lose the drift bound against real time once,
  at any tick;
- the replicated log, with the guarantees of Raft: one order, entries appended one at a time, none ever lost;
- how many entries each voter has applied, and when it applied the last one, by its own clock;
- the requests and answers that were sent. They stay in the state, so each may be delivered never (lost), more
  than once (duplicated) and in any order;
- each contender's claim, and the token with which it has passed the check but has not acted yet.

A party is paused while it takes no step and others do; a pause may have any length, and may fall between a
contender's check and its act. Any voter may decide on a request, since a voter that is partitioned off may
still take itself for the leader. The time that a voter tells a contender to wait is not modelled: contenders
send their next request at once, which is the harder case.

Two invariants are checked. In every state, at most one contender may act (`may_act` by its own clock). In
every step, the tokens that the resource accepts do not decrease. `Rules` replaces parts of the decisions, so
that tests can show that the check finds the violations that a missing rule causes.
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
    """How many entries of the log a voter has applied, and when it applied the last one, by its own clock."""

    entries: int
    applied_at: int


class AddressedAnswer(NamedTuple):
    """An answer that was sent, and the number of the contender that it is for."""

    contender: int
    answer: Answer


class PendingProposal(NamedTuple):
    """A request that a voter answers once it has applied the log entry at `log_index`."""

    voter: int
    log_index: int
    request: Request


class ModelState(NamedTuple):
    """One state; all values are hashable.

    Attributes:
        real_time: Real time, in ticks.
        clock_offsets: Clock minus real time, in ticks: first of each contender, then of each voter.
        log: The replicated log.
        applied: How much of the log each voter has applied.
        claims: The claim of each contender.
        request_count: The number of request ids that were used.
        requests: The requests that were sent.
        answers: The answers that were sent.
        pending: The requests that are answered when a voter applies its proposal.
        checked: For each contender, the token with which it is about to act, or 0.
        newest_token: The token that the resource accepted last.
    """

    real_time: int
    clock_offsets: tuple[int, ...]
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
    """The limits of an exploration.

    Attributes:
        contenders: The number of contenders.
        voters: The number of voters.
        depth: The maximum number of steps from an initial state.
        log_entries: The maximum number of log entries.
        requests: The maximum number of requests with different ids.
        acts: Whether the steps include contenders' checks and acts.
        drifting_clocks: The maximum number of clocks that drift in one run.
        drift: How much a clock may gain or lose, in ticks; must equal the drift bound of the terms.
        states: The maximum number of states.
        seconds: The maximum time of an exploration.
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
    """The decisions under test, and whether the resource refuses outdated tokens (`fenced`)."""

    evaluate_request: Callable[[LeaseRecord, int, Request, LeaseTerms, int], Command | Answer] = (
        state_machine.evaluate_request
    )
    apply_command: Callable[[LeaseRecord, Command], tuple[LeaseRecord, str]] = state_machine.apply_command
    may_act: Callable[[Claim, LeaseTerms, int], bool] = state_machine.may_act
    fenced: bool = True


Step = tuple[str, ModelState]  # the name of the step, and the state after it


class Model:
    """The states and steps within given bounds, under given rules and terms."""

    def __init__(self, bounds: Bounds, rules: Rules, terms: LeaseTerms):
        self.bounds = bounds
        self.rules = rules
        self.terms = terms

    # --- states ---------------------------------------------------------------------------------------

    def initial_states(self) -> Iterator[Step]:
        """Yield the initial states.

        In the first, no request was sent yet. In the others, contender 0 has just been granted the lease, so
        that the same depth reaches further; they differ in how many voters have applied the grant.
        """
        contenders, voters = self.bounds.contenders, self.bounds.voters
        initial = ModelState(
            real_time=0,
            clock_offsets=(0,) * (contenders + voters),
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
        yield "no request sent yet", initial
        claim = Claim(1, self.terms.lease_us, next_request_us=self.terms.renew_us)
        granted = initial._replace(
            log=(Command(CommandKind.GRANT, "c0", 0, 1),),
            claims=_replaced(initial.claims, 0, claim),
            request_count=1,
            requests=frozenset([Request(RequestKind.ACQUIRE, TASK, "c0", 0, 1)]),
        )
        for applied_count in range(1, voters + 1):  # voters that have applied the grant
            applied = (AppliedLog(1, 0),) * applied_count + (AppliedLog(0, 0),) * (voters - applied_count)
            yield f"grant to c0 applied by {applied_count} voters", granted._replace(applied=applied)

    def violation(self, state: ModelState) -> str:
        """Return the description of an invariant that a state violates; empty if it violates none."""
        eligible = [
            contender
            for contender, claim in enumerate(state.claims)
            if self.rules.may_act(claim, self.terms, self._contender_time(state, contender))
        ]
        return (
            f"contenders {eligible} may act at the same tick {state.real_time}" if len(eligible) > 1 else ""
        )

    def step_violation(self, before: ModelState, after: ModelState) -> str:
        """Return the description of a violated invariant between two successive states; empty if none is."""
        if after.newest_token >= before.newest_token:
            return ""
        return f"the resource accepted token {after.newest_token} after token {before.newest_token}"

    def canonical(self, state: ModelState) -> ModelState:
        """Return the representative of the states that differ only in how their voters are numbered."""
        contenders = self.bounds.contenders

        def sort_key(voter: int) -> tuple[object, ...]:
            pending = sorted(item[1:] for item in state.pending if item.voter == voter)
            return state.applied[voter], state.clock_offsets[contenders + voter], pending

        voters = sorted(range(self.bounds.voters), key=sort_key)
        new_index = {voter: index for index, voter in enumerate(voters)}
        return state._replace(
            applied=tuple(state.applied[voter] for voter in voters),
            clock_offsets=state.clock_offsets[:contenders]
            + tuple(state.clock_offsets[contenders + voter] for voter in voters),
            pending=frozenset(item._replace(voter=new_index[item.voter]) for item in state.pending),
        )

    def _contender_time(self, state: ModelState, contender: int) -> int:
        return state.real_time + state.clock_offsets[contender]

    def _voter_time(self, state: ModelState, voter: int) -> int:
        return state.real_time + state.clock_offsets[self.bounds.contenders + voter]

    def _record(self, log: Iterable[Command]) -> LeaseRecord:
        """Return the record after all commands of a log."""
        record = LeaseRecord()
        for command in log:
            record, _ = self.rules.apply_command(record, command)
        return record

    # --- steps ----------------------------------------------------------------------------------------

    def steps(self, state: ModelState) -> Iterator[Step]:
        """Yield every possible step from a state."""
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
        later = state._replace(real_time=state.real_time + 1)
        yield "tick", later
        if sum(map(bool, state.clock_offsets)) >= self.bounds.drifting_clocks:
            return
        drift = self.bounds.drift
        for party, offset in enumerate(state.clock_offsets):
            if offset == 0:
                yield (
                    f"tick, {party} fast",
                    later._replace(clock_offsets=_replaced(state.clock_offsets, party, drift)),
                )
                yield (
                    f"tick, {party} slow",
                    later._replace(clock_offsets=_replaced(state.clock_offsets, party, -drift)),
                )

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
        yield f"request of {contender}", after

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
        """Return the state after an act reached the resource, which refuses outdated tokens if `fenced`."""
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
        """Return the state after a voter decided on a request."""
        count, applied_at = state.applied[voter]
        now = self._voter_time(state, voter)
        record = self._record(state.log[:count])
        decision = self.rules.evaluate_request(record, applied_at, request, self.terms, now)
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
        """Return the state after a voter applied the next log entry and answered the request it came from."""
        count = state.applied[voter].entries
        before = self._record(state.log[:count])
        record, outcome = self.rules.apply_command(before, state.log[count])
        token = record.token if outcome == OK else 0
        answered = {item for item in state.pending if item.voter == voter and item.log_index == count}
        answers = {
            _addressed(item.request, Answer(TASK, item.request.request_id, outcome, token))
            for item in answered
        }
        applied = AppliedLog(count + 1, self._voter_time(state, voter))
        return state._replace(
            applied=_replaced(state.applied, voter, applied),
            answers=state.answers | answers,
            pending=state.pending - answered,
        )


def _replaced(values: tuple[_Item, ...], index: int, value: _Item) -> tuple[_Item, ...]:
    """Return the values with the one at an index replaced."""
    return (*values[:index], value, *values[index + 1 :])


def _addressed(request: Request, answer: Answer) -> AddressedAnswer:
    """Address an answer to the contender that sent the request."""
    return AddressedAnswer(int(request.member.removeprefix("c")), answer)
