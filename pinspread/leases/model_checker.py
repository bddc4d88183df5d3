"""An exhaustive check of the lease decisions: every order of events for some parties, to a depth.

The states of `lease_model` are explored breadth first, each once, so that a violation is found with the
fewest steps.
"""

import time
from typing import NamedTuple

from pinspread.leases.lease_model import TERMS, Bounds, Model, ModelState, Rules
from pinspread.leases.state_machine import LeaseTerms


class Result(NamedTuple):
    """What an exploration has found.

    Attributes:
        states: How many states were visited.
        depth: How many steps from a start they reach.
        seconds: The time taken.
        complete: Whether nothing within the bounds was left out.
        violation: What is broken; empty if nothing is.
        steps: The names of the steps that lead to the violation.
    """

    states: int
    depth: int
    seconds: float
    complete: bool
    violation: str
    steps: list[str]


class _Violation(NamedTuple):
    """What is broken, and the names of the steps that lead to it."""

    description: str
    steps: list[str]


class _Exploration:
    """The states that were visited, and how each was reached first."""

    def __init__(self, model: Model):
        self.model = model
        self.started_s = time.monotonic()
        self.depth = 0
        self.frontier: list[ModelState] = []
        self._came_from: dict[ModelState, tuple[ModelState | None, str]] = {}
        for name, state in model.starts():
            self._visit(model.canonical(state), None, name)

    def _visit(self, state: ModelState, origin: ModelState | None, step: str) -> None:
        self._came_from[state] = (origin, step)
        self.frontier.append(state)

    def run(self) -> Result:
        """Visit the states layer by layer, each a step further from the starts."""
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
        """Visit the next states of one; return the first violation, if any."""
        for name, successor in self.model.steps(state):
            broken = self.model.step_violation(state, successor)
            if broken:
                return _Violation(broken, [*self._steps_to(state), name])
            canonical = self.model.canonical(successor)
            if canonical in self._came_from:
                continue
            self._visit(canonical, state, name)
            broken = self.model.violation(canonical)
            if broken:
                return _Violation(broken, self._steps_to(canonical))
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
    """Visit every state within the bounds, or as far as the first violation."""
    return _Exploration(Model(bounds or Bounds(), rules or Rules(), terms)).run()
