"""Typed access to result.json for comparisons, reports and plots, which do not use its keys themselves."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

Record = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Violation:
    """The first broken rule of a run.

    Attributes:
        reason: What happened.
        at_s: When it happened; None if the run stalled or the time was not recorded.
        record: The violation as result.json holds it.
    """

    reason: str
    at_s: float | None
    record: Record


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """The kind of a fault and the time for which it was active."""

    kind: str
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class RunResult:
    """The measurements of one run. A run that stalled has only its service and broken rules.

    Args:
        record: The measurements as result.json holds them.
    """

    record: Record

    @property
    def service(self) -> float:
        """The service, from 0 to 1; 0 if a rule was broken."""
        return float(self.record["service"])

    @property
    def service_without_rules(self) -> float:
        """The service, from 0 to 1, regardless of broken rules."""
        return float(self.record["service_unbroken"])

    @property
    def broken_rules(self) -> dict[str, int]:
        """Number of violations by rule; rules that were not broken are absent."""
        return dict(self.record["broken"])

    @property
    def first_violation(self) -> Violation:
        """The first violation of a run that broke a rule."""
        listed = self.record.get("breaks") or [{"why": self.record.get("stuck", "")}]
        return Violation(listed[0]["why"], listed[0].get("at_s"), listed[0])

    @property
    def completed(self) -> bool:
        """Whether the run did not stall; only then are the measurements below available."""
        return "parts" in self.record

    def service_part(self, name: str) -> float:
        """Return a part of the service: `whole`, `worst_10s`, `worst_class` or `worst_team`."""
        return float(self.record["parts"][name])

    @property
    def deductions(self) -> dict[str, float]:
        """Deductions from the service, by reason."""
        return dict(self.record["deductions"])

    @property
    def messages(self) -> int:
        """Number of messages that arrived."""
        return int(self.record["messages"])

    @property
    def retries(self) -> int:
        """Number of attempts that were retries."""
        return int(self.record["retries"])

    @property
    def retries_per_message(self) -> float:
        """Retries per message; a run without messages counts as if it had one."""
        return self.retries / max(1, self.messages)

    def latency_ms(self, percentile: int) -> float:
        """Return a percentile of the time to delivery in milliseconds; 0 if nothing was delivered."""
        return float(self.record["latency_all"]["ms"].get(str(percentile), 0.0))

    @property
    def latency_histogram(self) -> str:
        """The times to delivery in microseconds, as an encoded HDR histogram."""
        return str(self.record["latency_all"]["hdr"])

    def per_second(self, name: str) -> list[float]:
        """Return a figure by second: `asked`, `earned`, `first_tries`, `branches` or `retries`."""
        return list(self.record["series"][name])

    @property
    def faults(self) -> list[FaultSpan]:
        """The faults of the scenario."""
        return [
            FaultSpan(fault["kind"], fault["at_s"], fault["until_s"]) for fault in self.record["troubles"]
        ]


@dataclass(frozen=True, slots=True)
class PointResult:
    """The runs of a variant at one value of a sweep.

    Attributes:
        variant: The variant's name.
        value: The value of the sweep; None without a sweep.
        seeds: The seed of each run.
        runs: One run for each seed, in the order of `seeds`.
        world: The model of the fleet under the keys of experiment files; empty if it was not stored.
    """

    variant: str
    value: Any
    seeds: Sequence[int]
    runs: Sequence[RunResult]
    world: Record

    @classmethod
    def from_record(cls, record: Record, seeds: Sequence[int]) -> "PointResult":
        """Return a point of result.json, given the seeds of that file.

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
        """Number of runs that broke a rule."""
        return sum(bool(run.broken_rules) for run in self.runs)


def points_of(result: Record) -> list[PointResult]:
    """Return the points of a result.

    Raises:
        KeyError: A key is missing.
    """
    return [PointResult.from_record(point, result["seeds"]) for point in result["points"]]
