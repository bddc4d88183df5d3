"""An exhaustive check of the lease decisions: every order of events for some parties, to a depth.

The states of `lease_model` are explored breadth first, each once, so that a violation is found with the
fewest steps.
"""

import time
from typing import NamedTuple

from pinspread.leases.lease_model import TERMS, Bounds, Model, Rules, World
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
        self.frontier: list[World] = []
        self._came_from: dict[World, tuple[World | None, str]] = {}
        for name, world in model.starts():
            self._visit(model.canonical(world), None, name)

    def _visit(self, world: World, origin: World | None, step: str) -> None:
        self._came_from[world] = (origin, step)
        self.frontier.append(world)

    def run(self) -> Result:
        """Visit the states layer by layer, each a step further from the starts."""
        bounds = self.model.bounds
        while self.frontier and self.depth < bounds.depth:
            self.depth += 1
            layer, self.frontier = self.frontier, []
            for world in layer:
                violation = self._expand(world)
                if violation:
                    return self._result(violation)
                if len(self._came_from) > bounds.states or self._elapsed_s() > bounds.seconds:
                    return self._result(complete=False)
        return self._result()

    def _expand(self, world: World) -> _Violation | None:
        """Visit the next states of one; return the first violation, if any."""
        for name, raw in self.model.steps(world):
            broken = self.model.step_violation(world, raw)
            if broken:
                return _Violation(broken, [*self._steps_to(world), name])
            state = self.model.canonical(raw)
            if state in self._came_from:
                continue
            self._visit(state, world, name)
            broken = self.model.violation(state)
            if broken:
                return _Violation(broken, self._steps_to(state))
        return None

    def _steps_to(self, world: World | None) -> list[str]:
        steps = []
        while world is not None:
            world, name = self._came_from[world]
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
