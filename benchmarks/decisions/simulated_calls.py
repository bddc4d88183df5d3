"""How calls end at a site, by chance and by the fault of their destination."""

import random
from typing import NamedTuple

from decisions.site_scenarios import SiteScenario
from pinspread.policy.events import Outcome

MS, SECOND = 1_000_000, 1_000_000_000


class CallResult(NamedTuple):
    """How one call ended."""

    outcome: Outcome
    elapsed_ns: int
    retry_after_ns: int
    limit_remaining: float
    limit_per_s: float
    opened: bool
    unsent: bool


class SimulatedCalls:
    """Draws how calls end; `faults` says what is wrong with a destination, by its number."""

    def __init__(self, scenario: SiteScenario, chance: random.Random) -> None:
        self.scenario = scenario
        self.chance = chance
        self.faults: dict[int, str] = {}
        self.recent_calls: dict[int, list[int]] = {}  # destination -> times of the calls in the last second

    def call(self, destination: int, now_ns: int, timeout_ns: int) -> CallResult:
        """How a call at this time ends; destination 0 stands for an endpoint that is not listed."""
        fault = self.faults.get(destination, "none")
        elapsed_ns = int(self.chance.lognormvariate(-2.3, 0.5) * 1000) * MS + MS
        opened = self.chance.random() < 0.2 and self.scenario.reports_opened
        answered = CallResult(Outcome.OK, elapsed_ns, 0, 0.0, 0.0, opened, False)
        if self.scenario.reports_limit or fault in ("limited", "jammed"):
            answered = self.within_limit(destination, now_ns, fault, answered)
        if answered.outcome is Outcome.OVERLOADED:
            return answered
        return (
            self.broken_off(fault, answered)
            or self.unanswered(destination, fault, answered, timeout_ns)
            or self.rejected(fault, answered)
            or self.in_time(fault, answered, timeout_ns)
        )

    def within_limit(self, destination: int, now_ns: int, fault: str, answered: CallResult) -> CallResult:
        """The call with the load report that it brings, or its rejection above the limit."""
        chance = self.chance
        limit_per_s = 6.0 if fault in ("limited", "jammed") else 25.0
        recent = self.recent_calls.setdefault(destination, [])
        recent[:] = [time for time in recent if time > now_ns - SECOND]
        remaining = max(0.0, round(1 - (len(recent) + chance.randrange(3)) / limit_per_s, 3))
        if remaining <= 0:
            if fault == "jammed":
                recent.append(now_ns)
            retry_after_ns = chance.choice((0, 0, 400 * MS)) if fault == "limited" else 0
            reported = limit_per_s if chance.random() < 0.9 else 0.0
            return CallResult(
                Outcome.OVERLOADED, 8 * MS, retry_after_ns, remaining, reported, opened=False, unsent=False
            )
        recent.append(now_ns)
        if not self.scenario.reports_limit and chance.random() < 0.5:
            return answered
        return answered._replace(limit_remaining=remaining, limit_per_s=limit_per_s)

    def broken_off(self, fault: str, answered: CallResult) -> CallResult | None:
        """A call that our own side gave up or never sent."""
        drawn = self.chance.random()
        if drawn < 0.004:
            return answered._replace(outcome=Outcome.CANCELLED, elapsed_ns=5 * MS)
        not_sent = answered._replace(outcome=Outcome.NOT_SENT, elapsed_ns=MS, opened=False)
        if drawn < 0.01:
            return not_sent._replace(unsent=drawn < 0.006)
        if fault == "barred" and self.chance.random() < 0.6:
            return not_sent._replace(unsent=True)
        return None

    def unanswered(
        self, destination: int, fault: str, answered: CallResult, timeout_ns: int
    ) -> CallResult | None:
        """A call that finds nobody, or gets no answer."""
        if destination == 0 or fault == "refusing":
            return answered._replace(outcome=Outcome.CONNECT_FAILED, elapsed_ns=12 * MS)
        loss = 0.25 if fault == "lossy" else self.scenario.loss
        if fault == "silent" or (loss and self.chance.random() < loss):
            return answered._replace(outcome=Outcome.TIMEOUT, elapsed_ns=timeout_ns)
        return None

    def rejected(self, fault: str, answered: CallResult) -> CallResult | None:
        """A call that the fault of the destination lets fail."""
        chance = self.chance
        if fault == "errors" and chance.random() < 0.9:
            return answered._replace(outcome=Outcome.ERROR)
        if fault == "resets" and chance.random() < 0.7:
            half_ns = answered.elapsed_ns // 2
            return answered._replace(outcome=Outcome.RESET, elapsed_ns=half_ns, opened=False)
        overloaded = answered._replace(outcome=Outcome.OVERLOADED, elapsed_ns=9 * MS, opened=False)
        if fault == "shut":
            return overloaded._replace(retry_after_ns=chance.choice((0, 0, 3 * SECOND, 1500 * MS)))
        if fault == "full" and (answered.opened or chance.random() < 0.5):
            reported = self.scenario.reports_limit or answered.opened
            outcome = Outcome.OVERLOADED if reported else Outcome.CONNECT_FAILED
            opened = self.scenario.reports_opened
            return overloaded._replace(outcome=outcome, elapsed_ns=6 * MS, opened=opened)
        return None

    def in_time(self, fault: str, answered: CallResult, timeout_ns: int) -> CallResult:
        """A call that is answered, unless that takes too long."""
        elapsed_ns = answered.elapsed_ns * 12 if fault == "slow" else answered.elapsed_ns
        if elapsed_ns >= timeout_ns:
            return answered._replace(outcome=Outcome.TIMEOUT, elapsed_ns=timeout_ns)
        return answered._replace(elapsed_ns=elapsed_ns)
