"""What only the couriers' logs tell of a run: health checks, attempts without a call, who saw failures."""

import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from pinspread.simulation.engine import SECOND
from pinspread.simulation.recorded_events import recorded
from pinspread.testbed.platform_run import PlatformRun

MICROSECONDS = 1_000_000
# Outcomes that tell nothing of a destination's health, in the words of recordings.
NEUTRAL_OUTCOMES = ("OK", "NOT_SENT", "MOOT")
UNSENT_OUTCOMES = ("NOT_SENT", "MOOT")


class ObservedFailure(NamedTuple):
    """An attempt or health check that a courier saw fail; `at_ns` counts from the scenario's beginning."""

    courier: int
    destination: int
    at_ns: int


def read_logs(run: PlatformRun, logs: Iterable[tuple[int, Path]]) -> None:
    """Take health checks and attempts into the run, and check who knew of outages.

    Args:
        run: The run, which is over.
        logs: Each courier's number and log.
    """
    began_s = time.time() - run.engine.now / SECOND
    run.attempt_times_ns, run.retry_times_ns, run.health_checks = [], [], 0
    failures = []
    for courier, path in logs:
        for event in read_events(path):
            kind, outcome = event.get("event"), event.get("verdict")
            if kind not in ("probe", "branch"):
                continue
            if outcome not in NEUTRAL_OUTCOMES:
                number = run.endpoints[int(event["hop"][1:])].destination.number
                at_ns = int((event["at_us"] / MICROSECONDS - began_s) * SECOND)
                failures.append(ObservedFailure(courier, number, at_ns))
            if kind == "probe":
                run.health_checks += 1
            elif outcome not in UNSENT_OUTCOMES:
                _record_attempt(run, event, began_s)
    check_overloads(run, failures)


def read_events(path: Path) -> Iterator[dict[str, Any]]:
    """The events of a log, in the words of recordings; a line that a kill cut short is left out."""
    for line in path.read_bytes().splitlines():
        try:
            event = recorded(orjson.loads(line))
        except orjson.JSONDecodeError:
            continue
        if isinstance(event, dict):
            yield event


def _record_attempt(run: PlatformRun, event: dict[str, Any], began_s: float) -> None:
    """An attempt that was sent."""
    started_s = (event["at_us"] - event["took_us"]) / MICROSECONDS - began_s
    at_ns = int(max(0, started_s) * SECOND)
    run.attempt_times_ns.append(at_ns)
    if event["n"]:
        run.retry_times_ns.append(at_ns)


def check_overloads(run: PlatformRun, failures: list[ObservedFailure]) -> None:
    """Check rule `cold`: whether couriers that saw an outage overloaded a destination while it warmed up.

    Who was refused a connection is known from the couriers' own logs alone.
    """
    for destination in run.destinations.values():
        for overloaded_ns, down_ns, up_ns, callers in destination.collapses:
            informed = {
                failure.courier
                for failure in failures
                if failure.destination == destination.number and down_ns <= failure.at_ns < up_ns
            }
            informed_calls = sum(caller in informed for caller in callers)
            run.checker.destination_collapsed(destination.number, overloaded_ns, informed_calls, len(callers))
