"""Random results of calls at a site, depending on the fault of their destination."""

import random
from typing import NamedTuple

from decisions.site_scenarios import SiteScenario
from pinspread.policy.events import Outcome

MS, SECOND = 1_000_000, 1_000_000_000


class CallResult(NamedTuple):
    """The result of one call."""

    outcome: Outcome
    elapsed_ns: int
    retry_after_ns: int
    limit_remaining: float
    limit_per_s: float
    opened: bool
    unsent: bool


class SimulatedCalls:
    """Draws the results of calls; `faults` holds the current fault of a destination, by its number."""

    def __init__(self, scenario: SiteScenario, rng: random.Random) -> None:
        self.scenario = scenario
        self.rng = rng
        self.faults: dict[int, str] = {}
        self.recent_calls: dict[int, list[int]] = {}  # destination -> times of the calls in the last second

    def call(self, destination: int, now_ns: int, timeout_ns: int) -> CallResult:
        """Draw the result of a call at this time; destination 0 stands for an endpoint that is not listed."""
        fault = self.faults.get(destination, "none")
        elapsed_ns = int(self.rng.lognormvariate(-2.3, 0.5) * 1000) * MS + MS
        opened = self.rng.random() < 0.2 and self.scenario.reports_opened
        answered = CallResult(Outcome.OK, elapsed_ns, 0, 0.0, 0.0, opened, False)
        if self.scenario.reports_limit or fault in ("limited", "jammed"):
            answered = self.apply_limit(destination, now_ns, fault, answered)
        if answered.outcome is Outcome.OVERLOADED:
            return answered
        return (
            self.cancelled_or_unsent(fault, answered)
            or self.unanswered(destination, fault, answered, timeout_ns)
            or self.failed_by_fault(fault, answered)
            or self.apply_timeout(fault, answered, timeout_ns)
        )

    def apply_limit(self, destination: int, now_ns: int, fault: str, answered: CallResult) -> CallResult:
        """Return the result with a load report, or the rejection of a call over the rate limit."""
        rng = self.rng
        limit_per_s = 6.0 if fault in ("limited", "jammed") else 25.0
        recent = self.recent_calls.setdefault(destination, [])
        recent[:] = [time for time in recent if time > now_ns - SECOND]
        remaining = max(0.0, round(1 - (len(recent) + rng.randrange(3)) / limit_per_s, 3))
        if remaining <= 0:
            if fault == "jammed":
                recent.append(now_ns)
            retry_after_ns = rng.choice((0, 0, 400 * MS)) if fault == "limited" else 0
            reported = limit_per_s if rng.random() < 0.9 else 0.0
            return CallResult(
                Outcome.OVERLOADED, 8 * MS, retry_after_ns, remaining, reported, opened=False, unsent=False
            )
        recent.append(now_ns)
        if not self.scenario.reports_limit and rng.random() < 0.5:
            return answered
        return answered._replace(limit_remaining=remaining, limit_per_s=limit_per_s)

    def cancelled_or_unsent(self, fault: str, answered: CallResult) -> CallResult | None:
        """Return the result of a call that the courier cancelled or did not send; None for other calls."""
        drawn = self.rng.random()
        if drawn < 0.004:
            return answered._replace(outcome=Outcome.CANCELLED, elapsed_ns=5 * MS)
        not_sent = answered._replace(outcome=Outcome.NOT_SENT, elapsed_ns=MS, opened=False)
        if drawn < 0.01:
            return not_sent._replace(unsent=drawn < 0.006)
        if fault == "barred" and self.rng.random() < 0.6:
            return not_sent._replace(unsent=True)
        return None

    def unanswered(
        self, destination: int, fault: str, answered: CallResult, timeout_ns: int
    ) -> CallResult | None:
        """Return the result of a call that cannot connect or gets no answer; None for other calls."""
        if destination == 0 or fault == "refusing":
            return answered._replace(outcome=Outcome.CONNECT_FAILED, elapsed_ns=12 * MS)
        loss = 0.25 if fault == "lossy" else self.scenario.loss
        if fault == "silent" or (loss and self.rng.random() < loss):
            return answered._replace(outcome=Outcome.TIMEOUT, elapsed_ns=timeout_ns)
        return None

    def failed_by_fault(self, fault: str, answered: CallResult) -> CallResult | None:
        """Return the result of a call that the destination's fault makes fail; None for other calls."""
        rng = self.rng
        if fault == "errors" and rng.random() < 0.9:
            return answered._replace(outcome=Outcome.ERROR)
        if fault == "resets" and rng.random() < 0.7:
            half_ns = answered.elapsed_ns // 2
            return answered._replace(outcome=Outcome.RESET, elapsed_ns=half_ns, opened=False)
        overloaded = answered._replace(outcome=Outcome.OVERLOADED, elapsed_ns=9 * MS, opened=False)
        if fault == "shut":
            return overloaded._replace(retry_after_ns=rng.choice((0, 0, 3 * SECOND, 1500 * MS)))
        if fault == "full" and (answered.opened or rng.random() < 0.5):
            reported = self.scenario.reports_limit or answered.opened
            outcome = Outcome.OVERLOADED if reported else Outcome.CONNECT_FAILED
            opened = self.scenario.reports_opened
            return overloaded._replace(outcome=outcome, elapsed_ns=6 * MS, opened=opened)
        return None

    def apply_timeout(self, fault: str, answered: CallResult, timeout_ns: int) -> CallResult:
        """Return the result of an answered call, or a time-out if the answer takes too long."""
        elapsed_ns = answered.elapsed_ns * 12 if fault == "slow" else answered.elapsed_ns
        if elapsed_ns >= timeout_ns:
            return answered._replace(outcome=Outcome.TIMEOUT, elapsed_ns=timeout_ns)
        return answered._replace(elapsed_ns=elapsed_ns)
