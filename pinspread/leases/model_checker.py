"""An exhaustive check of the lease decisions: every order of events for some voters and contenders, to a
depth.

The parties run `lease.py` itself. A state holds: real time in ticks; each party's clock, which gains or
loses the drift bound against real time at any one tick; the agreed log, as Raft gives it (one order,
entries appended one at a time, never lost once appended); how much of it each voter has applied and when,
by its own clock; requests and answers under way, which stay there: one that is never delivered is lost, one
that is delivered again is doubled, and any order counts; each contender's claim; and what it has checked
but not done yet. A pause is a party that takes no step while others do, for any length, also between its
check and its act. Any voter may judge, as one may that has been cut off and takes itself for the leader.
Explored breadth first, every state once, so a violation is found with the fewest steps.

Asserted in every state: at most one contender may act (`lease.may_act` by its own clock), and what the
resource takes has tokens that never fall. `Rules` swaps parts of the decisions, to show that the check
finds what their absence breaks. What is left out: a voter's word on when to ask again (contenders ask at
once, which is harder).
"""

import time
from typing import NamedTuple

from pinspread.leases import state_machine as lease

TASK = "t"


class World(NamedTuple):
    """One state; all values are hashable."""

    real: int
    clocks: tuple  # gain over real time of each contender, then of each voter
    log: tuple  # lease.Command entries, agreed
    applied: tuple  # a voter: (entries applied, its clock when it last applied)
    claims: tuple  # lease.Claim of each contender
    numbers: int  # given out so far
    requests: frozenset  # (lease.Request) sent
    answers: frozenset  # (contender, lease.Answer)
    owed: frozenset  # (voter, log index, lease.Request): answered when that voter applies it
    checked: tuple  # a contender: the token by which it is about to act, or 0
    seen: int  # the resource's newest token


class Bounds(NamedTuple):
    """How far to look."""

    contenders: int = 2
    voters: int = 3
    depth: int = 9  # steps
    log: int = 3  # entries at the most
    numbers: int = 3  # requests with a number of their own
    acts: bool = False  # contenders check and act, too
    jumps: int = 2  # clocks that drift in one run
    drift: int = 1  # what a clock may gain or lose; lease.LeaseTerms has the same
    states: int = 5_000_000
    seconds: float = 600.0


class Rules(NamedTuple):
    """The decisions under test."""

    evaluate_request: object = lease.evaluate_request
    apply_command: object = lease.apply_command
    may_act: object = lease.may_act
    fenced: bool = True  # the resource refuses old tokens


TERMS = lease.LeaseTerms(lease_us=3, drift_us=1, margin_us=0, renew_us=1, retry_us=1)


def starts(bounds, terms):
    """Where to begin: nobody has asked; and, so that a depth reaches further, c0 was just granted."""
    n, m = bounds.contenders, bounds.voters
    none, claims = frozenset(), (lease.Claim(),) * n
    first = World(0, (0,) * (n + m), (), ((0, 0),) * m, claims, 0, none, none, none, (0,) * n, 0)
    yield "nobody has asked", first
    log = (lease.Command(lease.CommandKind.GRANT, "c0", 0, 1),)
    held = lease.Claim(1, terms.lease_us, next_us=terms.renew_us)
    asked = frozenset([lease.Request(lease.RequestKind.ACQUIRE, TASK, "c0", 0, 1)])
    for knew in range(1, m + 1):  # voters that have applied the grant by now
        applied = ((1, 0),) * knew + ((0, 0),) * (m - knew)
        yield (
            f"c0 holds, {knew} know",
            first._replace(log=log, applied=applied, claims=put(claims, 0, held), numbers=1, requests=asked),
        )


def row_of(log, count, rules):
    row = lease.LeaseRecord()
    for command in log[:count]:
        row, _ = rules.apply_command(row, command)
    return row


def put(values, at, value):
    return values[:at] + (value,) + values[at + 1 :]


def moves(w: World, terms, bounds, rules):
    """Every next state, with the name of the step."""
    n = bounds.contenders
    yield "tick", w._replace(real=w.real + 1)
    jumped = sum(map(bool, w.clocks))
    for p, gain in enumerate(w.clocks):
        if gain == 0 and jumped < bounds.jumps:
            yield f"tick, {p} fast", w._replace(real=w.real + 1, clocks=put(w.clocks, p, bounds.drift))
            yield f"tick, {p} slow", w._replace(real=w.real + 1, clocks=put(w.clocks, p, -bounds.drift))
    for c in range(n):
        now = w.real + w.clocks[c]
        claim, request = lease.tick(w.claims[c], terms, TASK, f"c{c}", now, w.numbers + 1)
        fresh = claim.number == w.numbers + 1
        if (claim != w.claims[c] or request) and (not fresh or w.numbers < bounds.numbers):
            requests = w.requests | {request} if request else w.requests
            asked = w._replace(claims=put(w.claims, c, claim), numbers=w.numbers + fresh, requests=requests)
            yield f"ask {c}", asked
        if bounds.acts:
            if not w.checked[c] and rules.may_act(w.claims[c], terms, now):
                yield f"check {c}", w._replace(checked=put(w.checked, c, w.claims[c].token))
            if w.checked[c]:
                yield f"act {c}", _act(w, c, rules)
    for request in w.requests:
        for v in range(bounds.voters):
            if len(w.log) < bounds.log:
                judged = _judged(w, v, request, terms, rules, n)
                yield f"deliver to {v}", judged
                if len(judged.log) > len(w.log) and w.applied[v][0] == len(w.log):
                    yield f"deliver to {v}, apply", _applied(judged, v, rules, n)
    for c, answer in w.answers:
        claim = lease.apply_answer(w.claims[c], answer, terms, w.real + w.clocks[c])
        if claim != w.claims[c]:
            yield f"answer {c}", w._replace(claims=put(w.claims, c, claim))
    for v in range(bounds.voters):
        if w.applied[v][0] < len(w.log):
            yield f"apply {v}", _applied(w, v, rules, n)


def _act(w, c, rules):
    """The act reaches the resource, which refuses a token older than one that it has seen."""
    token = w.checked[c]
    taken = token >= w.seen or not rules.fenced
    return w._replace(checked=put(w.checked, c, 0), seen=token if taken else w.seen)


def _judged(w, v, request, terms, rules, n):
    done, at = w.applied[v]
    now = w.real + w.clocks[n + v]
    said = rules.evaluate_request(row_of(w.log, done, rules), at, request, terms, now)
    if isinstance(said, lease.Answer):
        return w._replace(answers=w.answers | {(int(request.member[1:]), said._replace(wait_us=0))})
    return w._replace(log=w.log + (said,), owed=w.owed | {(v, len(w.log), request)})


def _applied(w, v, rules, n):
    done, _ = w.applied[v]
    row, why = rules.apply_command(row_of(w.log, done, rules), w.log[done])
    answers, owed = w.answers, w.owed
    for item in w.owed:
        if item[0] == v and item[1] == done:
            request = item[2]
            token = row.token if why == lease.OK else 0
            answers = answers | {(int(request.member[1:]), lease.Answer(TASK, request.number, why, token))}
            owed = owed - {item}
    return w._replace(
        applied=put(w.applied, v, (done + 1, w.real + w.clocks[n + v])), answers=answers, owed=owed
    )


def wrong(w, terms, bounds, rules):
    """What is broken in a state; empty if nothing is."""
    may = [c for c in range(bounds.contenders) if rules.may_act(w.claims[c], terms, w.real + w.clocks[c])]
    return f"both {may} may act at {w.real}" if len(may) > 1 else ""


def canonical(w: World, bounds):
    """One of the states that differ only by which voter is which."""
    n = bounds.contenders
    voters = sorted(
        range(bounds.voters),
        key=lambda v: (w.applied[v], w.clocks[n + v], sorted(i[1:] for i in w.owed if i[0] == v)),
    )
    place = {v: k for k, v in enumerate(voters)}
    return w._replace(
        applied=tuple(w.applied[v] for v in voters),
        clocks=w.clocks[:n] + tuple(w.clocks[n + v] for v in voters),
        owed=frozenset((place[i[0]], *i[1:]) for i in w.owed),
    )


def explore(bounds=None, rules=None, terms=TERMS):
    """Look at every state within the bounds: {states, depth, seconds, whole, violation, steps}.

    `whole` says that nothing within the bounds was left out; `steps` lead to the violation, if one was found.
    """
    bounds, rules = bounds or Bounds(), rules or Rules()
    began = time.monotonic()
    begins = {canonical(w, bounds): name for name, w in starts(bounds, terms)}
    came_from = {w: (None, name) for w, name in begins.items()}
    layer, depth = list(begins), 0

    def found(violation="", last=None, whole=True, more=()):
        steps = []
        while last is not None:
            last, name = came_from[last]
            steps.append(name)
        return {
            "states": len(came_from),
            "depth": depth,
            "seconds": round(time.monotonic() - began, 2),
            "whole": whole,
            "violation": violation,
            "steps": [*steps[::-1], *more],
        }

    while layer and depth < bounds.depth:
        depth += 1
        ahead = []
        for w in layer:
            for name, raw in moves(w, terms, bounds, rules):
                state = canonical(raw, bounds)
                if raw.seen < w.seen:  # of the step, not of the state, which another way may have led to
                    return found(f"the resource took token {raw.seen} after {w.seen}", w, more=[name])
                if state in came_from:
                    continue
                came_from[state] = (w, name)
                broken = wrong(state, terms, bounds, rules)
                if broken:
                    return found(broken, state)
                ahead.append(state)
            if len(came_from) > bounds.states or time.monotonic() - began > bounds.seconds:
                return found(whole=False)
        layer = ahead
    return found()
