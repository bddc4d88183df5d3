"""An exhaustive check of the lease decisions: every order of events for a few parties, up to a depth.

The states of `lease_model` are visited breadth first, each once, so a violation is found by the fewest
possible steps.
"""

import time
from typing import NamedTuple

from pinspread.leases.lease_model import TERMS, Bounds, Model, ModelState, Rules
from pinspread.leases.state_machine import LeaseTerms


class Result(NamedTuple):
    """The result of an exploration.

    Attributes:
        states: The number of visited states.
        depth: The greatest number of steps from an initial state.
        seconds: The time taken.
        complete: Whether all states within the bounds were visited.
        violation: The description of the violation; empty if there is none.
        steps: The names of the steps that lead to the violation.
    """

    states: int
    depth: int
    seconds: float
    complete: bool
    violation: str
    steps: list[str]


class _Violation(NamedTuple):
    """A violated invariant, and the names of the steps that lead to the violation."""

    description: str
    steps: list[str]


class _Exploration:
    """The visited states, and the step by which each was first reached."""

    def __init__(self, model: Model):
        self.model = model
        self.started_s = time.monotonic()
        self.depth = 0
        self.frontier: list[ModelState] = []
        self._came_from: dict[ModelState, tuple[ModelState | None, str]] = {}
        for name, state in model.initial_states():
            self._visit(model.canonical(state), None, name)

    def _visit(self, state: ModelState, origin: ModelState | None, step: str) -> None:
        self._came_from[state] = (origin, step)
        self.frontier.append(state)

    def run(self) -> Result:
        """Visit the states layer by layer; each layer is one step further from the initial states."""
        bounds = self.model.bounds
        while self.frontier and self.depth < bounds.depth:
            self.depth += 1
            layer, self.frontier = self.frontier, []
            for state in layer:
                violation = self._expand(state)
                if violation:
                    return self._result(violation)
                if len(self._came_from) > bounds.states or self._elapsed_s() > bounds.seconds:
                    return self._result(complete=False)
        return self._result()

    def _expand(self, state: ModelState) -> _Violation | None:
        """Visit the successors of a state; return the first violation, if any."""
        for name, successor in self.model.steps(state):
            violated_invariant = self.model.step_violation(state, successor)
            if violated_invariant:
                return _Violation(violated_invariant, [*self._steps_to(state), name])
            canonical = self.model.canonical(successor)
            if canonical in self._came_from:
                continue
            self._visit(canonical, state, name)
            violated_invariant = self.model.violation(canonical)
            if violated_invariant:
                return _Violation(violated_invariant, self._steps_to(canonical))
        return None

    def _steps_to(self, state: ModelState | None) -> list[str]:
        steps = []
        while state is not None:
            state, name = self._came_from[state]
            steps.append(name)
        return steps[::-1]

    def _elapsed_s(self) -> float:
        return time.monotonic() - self.started_s

    def _result(self, violation: _Violation | None = None, complete: bool = True) -> Result:
        description, steps = violation or ("", [])
        elapsed_s = round(self._elapsed_s(), 2)
        return Result(len(self._came_from), self.depth, elapsed_s, complete, description, steps)


def explore(bounds: Bounds | None = None, rules: Rules | None = None, terms: LeaseTerms = TERMS) -> Result:
    """Visit every state within the bounds, or stop at the first violation."""
    return _Exploration(Model(bounds or Bounds(), rules or Rules(), terms)).run()
