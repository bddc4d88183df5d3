"""Results of experiments, read from result.json; its keys stand here for comparisons, reports and plots."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

Record = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Violation:
    """The first broken rule of a run.

    Attributes:
        reason: What happened.
        at_s: When; None where the run stalled, or nothing was noted.
        record: The same by its written names.
    """

    reason: str
    at_s: float | None
    record: Record


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """When a fault was in force."""

    kind: str
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class RunResult:
    """The measurements of one run. A run that stalled has no more than service and broken rules.

    Args:
        record: The measurements by their written names.
    """

    record: Record

    @property
    def service(self) -> float:
        """From 0 to 1; 0 where a rule was broken."""
        return float(self.record["service"])

    @property
    def service_without_rules(self) -> float:
        """From 0 to 1, whether or not rules were broken."""
        return float(self.record["service_unbroken"])

    @property
    def broken_rules(self) -> dict[str, int]:
        """How often each rule was broken; rules that were kept are absent."""
        return dict(self.record["broken"])

    @property
    def first_violation(self) -> Violation:
        """The first broken rule; only for a run that broke one."""
        listed = self.record.get("breaks") or [{"why": self.record.get("stuck", "")}]
        return Violation(listed[0]["why"], listed[0].get("at_s"), listed[0])

    @property
    def completed(self) -> bool:
        """Whether it ran to its end, and all of the below was measured."""
        return "parts" in self.record

    def service_part(self, name: str) -> float:
        """A part of the service: `whole`, `worst_10s`, `worst_class` or `worst_team`."""
        return float(self.record["parts"][name])

    @property
    def deductions(self) -> dict[str, float]:
        """What was taken off the service, by reason."""
        return dict(self.record["deductions"])

    @property
    def messages(self) -> int:
        """How many messages arrived."""
        return int(self.record["messages"])

    @property
    def retries(self) -> int:
        """How many attempts were retries."""
        return int(self.record["retries"])

    @property
    def retries_per_message(self) -> float:
        """Retries over messages; 0 without messages."""
        return self.retries / max(1, self.messages)

    def latency_ms(self, percentile: int) -> float:
        """A percentile of the time to delivery, in milliseconds; 0 where nothing was delivered."""
        return float(self.record["latency_all"]["ms"].get(str(percentile), 0.0))

    @property
    def latency_histogram(self) -> str:
        """The times to delivery in microseconds, as an encoded HDR histogram."""
        return str(self.record["latency_all"]["hdr"])

    def per_second(self, name: str) -> list[float]:
        """A figure by second: `asked`, `earned`, `first_tries`, `branches` or `retries`."""
        return list(self.record["series"][name])

    @property
    def faults(self) -> list[FaultSpan]:
        """The faults of the scenario."""
        return [FaultSpan(one["kind"], one["at_s"], one["until_s"]) for one in self.record["troubles"]]


@dataclass(frozen=True, slots=True)
class PointResult:
    """The runs of a variant at one value of a sweep.

    Attributes:
        variant: The variant's name.
        value: The value of the sweep; None without one.
        seeds: The seed of each run.
        runs: One for each seed, in their order.
        world: The model of the fleet, by the keys of experiment files; empty where it was not kept.
    """

    variant: str
    value: Any
    seeds: Sequence[int]
    runs: Sequence[RunResult]
    world: Record

    @classmethod
    def from_record(cls, record: Record, seeds: Sequence[int]) -> "PointResult":
        """A point of result.json, and the seeds of that file.

        Raises:
            KeyError: A key is missing.
        """
        runs = [RunResult(run) for run in record["runs"]]
        return cls(record["variant"], record.get("value"), seeds, runs, record.get("world", {}))

    @property
    def label(self) -> str:
        """Its name in reports and legends: the variant, and the value of the sweep if there is one."""
        return self.variant if self.value is None else f"{self.variant}, {self.value}"

    @property
    def completed_runs(self) -> list[RunResult]:
        """The runs that did not stall."""
        return [run for run in self.runs if run.completed]

    @property
    def broken_count(self) -> int:
        """How many runs broke a rule."""
        return sum(bool(run.broken_rules) for run in self.runs)


def points_of(result: Record) -> list[PointResult]:
    """The points of a result.

    Raises:
        KeyError: A key is missing.
    """
    return [PointResult.from_record(point, result["seeds"]) for point in result["points"]]
