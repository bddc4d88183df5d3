"""Measures a run by the operators' metrics. The keys of the results are those of result files, and stay.

Service is a weighted sum: 30% the whole run, 40% its worst 10 s, 20% the worst-served class, 10% the
worst-served tenant within its quota. Deductions, in percentage points of service: 2.8 if all messages fail,
and only after their latency objective; 2.4 if as much work is wasted as was requested; 2 for one new
connection per message; 1.4 for one health check per message; 3 for one call per message rejected over a rate
limit. The service of a run that breaks a rule is 0.
"""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, Protocol

import numpy as np
from hdrh.histogram import HdrHistogram
from numpy.typing import ArrayLike, NDArray

from pinspread.policy.events import Outcome
from pinspread.simulation.destination import Destination
from pinspread.simulation.engine import MS, SECOND
from pinspread.simulation.model import FleetModel
from pinspread.simulation.rules import RuleChecker
from pinspread.simulation.scenario import Scenario

WHOLE_SHARE, WORST_SHARE, CLASS_SHARE, TENANT_SHARE = 0.30, 0.40, 0.20, 0.10
WORST_WINDOW_S = 10
LATE_FAILURE_PRICE = 0.028
WASTE_PRICE = 0.024
MAX_WASTE = 2.0  # wasted work counts up to this multiple of the requested work
HANDSHAKE_PRICE = 0.020
HEALTH_CHECK_PRICE = 0.014
REJECTION_PRICE = 0.030
PERCENTILES = (50, 75, 90, 95, 99, 99.9)
FIRST_COUNTED_S = 1
MAX_LISTED_VIOLATIONS = 20
LONGEST_LATENCY_US = 120_000_000
LATENCY_DIGITS = 2


class MeasuredInstance(Protocol):
    """The counters of an instance that are measured."""

    handshakes: int
    health_checks: int
    turns: int


class EventCounter(Protocol):
    """An engine that counts its events."""

    events: int


class MeasuredRun(Protocol):
    """A finished run as `measure` reads it: a `Simulation`, or a run on real sockets."""

    model: FleetModel
    scenario: Scenario
    checker: RuleChecker
    destinations: dict[int, Destination]
    delivered_ns: NDArray[np.int64]
    ended_ns: NDArray[np.int64]
    executions: NDArray[np.int16]
    outcomes: dict[Outcome, int]
    attempt_times_ns: list[int]
    retry_times_ns: list[int]
    rejected: int
    unanswered: int
    work_done_ns: int

    @property
    def engine(self) -> EventCounter:
        """Its engine."""
        ...

    @property
    def instances(self) -> Sequence[MeasuredInstance]:
        """Its instances."""
        ...


class MessageTable(NamedTuple):
    """The data from which service is computed: arrays with an element for each message.

    `age_ns` is the age at delivery; negative if the message was not delivered.
    """

    arrival_ns: NDArray[np.int64]
    class_index: NDArray[np.integer[Any]]
    tenant_index: NDArray[np.integer[Any]]
    within_quota: NDArray[np.bool_]
    age_ns: NDArray[np.int64]


def message_values(model: FleetModel, messages: MessageTable) -> tuple[NDArray[Any], NDArray[Any]]:
    """Return the maximum value and the earned value of each message."""
    class_indices = messages.class_index
    weight = np.array([c.worth for c in model.classes])[class_indices]
    objective_ns = np.array([c.aim_s for c in model.classes])[class_indices] * SECOND
    min_share = np.array([c.late_share for c in model.classes])[class_indices]
    deadline_ns = np.array([c.deadline_s for c in model.classes])[class_indices] * SECOND
    age_ns = messages.age_ns
    # Each further latency objective that passes halves the value, down to the minimum share.
    share = np.maximum(min_share, 0.5 ** np.maximum(0, (age_ns - objective_ns) / objective_ns))
    earned = weight * np.where((age_ns >= 0) & (age_ns <= deadline_ns), share, 0.0)
    quota_factor = np.where(messages.within_quota, 1.0, model.traffic.over_share_worth)
    return weight * quota_factor, earned * quota_factor


def service_parts(model: FleetModel, messages: MessageTable, length_ns: int) -> dict[str, Any]:
    """Return the four parts of service and their weighted sum, each from 0 to 1."""
    possible, earned = message_values(model, messages)
    counted = messages.arrival_ns >= FIRST_COUNTED_S * SECOND

    def ratio(rows: NDArray[np.bool_]) -> float:
        total = possible[rows].sum()
        return float(earned[rows].sum() / total) if total > 0 else 1.0

    classes = {c.name: ratio(counted & (messages.class_index == n)) for n, c in enumerate(model.classes)}
    within_quota = counted & messages.within_quota
    tenants = {t.name: ratio(within_quota & (messages.tenant_index == n)) for n, t in enumerate(model.teams)}
    whole = ratio(counted)
    seconds = messages.arrival_ns[counted] // SECOND
    worst = _worst_window(seconds, possible[counted], earned[counted], seconds_of(length_ns))
    worst_class, worst_tenant = min(classes.values()), min(tenants.values())
    total = (
        WHOLE_SHARE * whole + WORST_SHARE * worst + CLASS_SHARE * worst_class + TENANT_SHARE * worst_tenant
    )
    return {
        "whole": whole,
        "worst_10s": worst,
        "worst_class": worst_class,
        "worst_team": worst_tenant,
        "classes": classes,
        "teams": tenants,
        "total": total,
    }


def _worst_window(
    seconds: NDArray[np.int64], possible: NDArray[Any], earned: NDArray[Any], length_s: int
) -> float:
    """Return the minimum share of the value earned in any 10 s, from the first counted second on."""
    possible_by_second = np.bincount(seconds, possible, minlength=length_s)
    earned_by_second = np.bincount(seconds, earned, minlength=length_s)
    window = np.ones(min(WORST_WINDOW_S, max(1, len(possible_by_second) - FIRST_COUNTED_S)))
    possible_in = np.convolve(possible_by_second[FIRST_COUNTED_S:], window, "valid")
    earned_in = np.convolve(earned_by_second[FIRST_COUNTED_S:], window, "valid")
    used = possible_in > 0
    return float((earned_in[used] / possible_in[used]).min()) if used.any() else 1.0


def seconds_of(length_ns: int) -> int:
    """Return a time in seconds, rounded up; at least 1."""
    return max(1, -(-length_ns // SECOND))


def measure(run: MeasuredRun, violations: Mapping[str, int] | None = None) -> dict[str, Any]:
    """Measure a finished run.

    Args:
        run: The run.
        violations: Counts by rule from another source; they replace the checker's counts of these rules.

    Returns:
        Measurements by key: numbers, strings and containers of them only, and equal for equal runs.
    """
    scenario = run.scenario
    delivered = run.delivered_ns >= 0
    age_ns = np.where(delivered, run.delivered_ns - scenario.arrival_ns, -1)
    messages = MessageTable(
        scenario.arrival_ns, scenario.class_index, scenario.tenant_index, scenario.within_quota, age_ns
    )
    parts = service_parts(run.model, messages, scenario.length_ns)
    deductions = _deductions(run)
    broken = _broken_rules(run) | dict(violations or {})
    net = max(0.0, parts["total"] - sum(deductions.values()))
    class_indices = scenario.class_index
    latencies = {
        traffic_class.name: latency_distribution(age_ns[(class_indices == n) & delivered])
        for n, traffic_class in enumerate(run.model.classes)
    }
    destinations = run.destinations.values()
    return {
        "service": 0.0 if broken else net,
        "service_unbroken": net,
        "parts": parts,
        "deductions": deductions,
        "broken": broken,
        "breaks": run.checker.violations[:MAX_LISTED_VIOLATIONS],
        "messages": len(scenario.arrival_ns),
        "delivered": int(delivered.sum()),
        "in_time": int((delivered & (age_ns <= _objective_ns(run))).sum()),
        "failed": int((~delivered).sum()),
        "payments_twice": _executed_twice(run),
        "branches": len(run.attempt_times_ns),
        "retries": len(run.retry_times_ns),
        "busy": run.rejected,
        "unanswered": run.unanswered,
        "handshakes": sum(instance.handshakes for instance in run.instances),
        "probes": sum(instance.health_checks for instance in run.instances),
        "refused": sum(destination.rejected for destination in destinations),
        "refused_limit": sum(destination.rejected_over_limit for destination in destinations),
        "falls": sum(len(destination.collapses) for destination in destinations),
        "verdicts": {Outcome(o).name.lower(): count for o, count in sorted(run.outcomes.items())},
        "turns": sum(instance.turns for instance in run.instances),
        "events": run.engine.events,
        "latency": latencies,
        "latency_all": latency_distribution(age_ns[delivered]),
        "series": _series(run, messages),
        "troubles": [
            {"kind": f.kind, "at_s": f.at_ns / SECOND, "until_s": f.until_ns / SECOND, "targets": f.targets}
            for f in scenario.faults
        ],
    }


def _objective_ns(run: MeasuredRun) -> NDArray[Any]:
    """Return the latency objective of each message."""
    objectives_ns: NDArray[Any] = np.array([c.aim_s for c in run.model.classes]) * SECOND
    return objectives_ns[run.scenario.class_index]


def _deductions(run: MeasuredRun) -> dict[str, float]:
    scenario = run.scenario
    messages = max(1, len(scenario.arrival_ns))
    failed = run.delivered_ns < 0
    end_age_ns = run.ended_ns - scenario.arrival_ns
    failed_late = failed & ((run.ended_ns < 0) | (end_age_ns > _objective_ns(run)))
    first_work_ns = scenario.work_ns[:, 0]
    requested_ns = float(first_work_ns.sum()) or 1.0
    useful_ns = float(first_work_ns[~failed].sum())
    wasted_ns = max(0.0, run.work_done_ns - useful_ns)
    handshakes = sum(instance.handshakes for instance in run.instances)
    health_checks = sum(instance.health_checks for instance in run.instances)
    rejections = sum(destination.rejected_over_limit for destination in run.destinations.values())
    return {
        "late_failures": LATE_FAILURE_PRICE * float(failed_late.sum()) / messages,
        "waste": WASTE_PRICE * min(wasted_ns / requested_ns, MAX_WASTE),
        "handshakes": HANDSHAKE_PRICE * handshakes / messages,
        "probes": HEALTH_CHECK_PRICE * health_checks / messages,
        "refused": REJECTION_PRICE * rejections / messages,
    }


def _executed_twice(run: MeasuredRun) -> int:
    """Count the messages that may take effect at most once but did so more than once."""
    once = np.array([c.effect == "once" for c in run.model.classes])[run.scenario.class_index]
    return int((run.executions[once] > 1).sum())


def _broken_rules(run: MeasuredRun) -> dict[str, int]:
    broken = {rule: count for rule, count in run.checker.counts.items() if count}
    twice = _executed_twice(run)
    if twice:  # the destinations' own count is independent of the checker's
        broken["repeat"] = max(twice, broken.get("repeat", 0))
    return broken


def _series(run: MeasuredRun, messages: MessageTable) -> dict[str, Any]:
    """Return sums for each second of the run; what happens after its end counts in the last second."""
    length_s = seconds_of(run.scenario.length_ns)

    def by_second(times_ns: ArrayLike, weights: NDArray[Any] | None = None) -> list[float]:
        seconds = np.minimum(np.asarray(times_ns, dtype=np.int64) // SECOND, length_s - 1)
        return [round(float(total), 6) for total in np.bincount(seconds, weights, minlength=length_s)]

    arrival_ns = messages.arrival_ns
    possible, earned = message_values(run.model, messages)
    return {
        "asked": by_second(arrival_ns, possible),
        "earned": by_second(arrival_ns, earned),
        "first_tries": by_second(arrival_ns),
        "branches": by_second(run.attempt_times_ns),
        "retries": by_second(run.retry_times_ns),
        "in_seconds": int((arrival_ns // SECOND).max(initial=0)) + 1,
    }


def latency_distribution(latency_ns: NDArray[np.int64]) -> dict[str, Any]:
    """Return percentiles and mean in milliseconds, and the encoded histogram of microseconds."""
    histogram = HdrHistogram(1, LONGEST_LATENCY_US, LATENCY_DIGITS)
    for latency_us in (latency_ns // 1000).tolist():
        histogram.record_value(max(1, latency_us))
    percentiles = {}
    if len(latency_ns):
        percentiles = {str(p): histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
    return {
        "count": len(latency_ns),
        "ms": percentiles,
        "mean_ms": float(np.mean(latency_ns) / MS) if len(latency_ns) else 0.0,
        "hdr": histogram.encode().decode("ascii"),
    }
