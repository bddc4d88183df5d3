"""Reads what only the couriers' logs show: health checks, attempts, and which courier saw which failure."""

import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from pinspread.simulation.engine import SECOND
from pinspread.simulation.recorded_events import recorded
from pinspread.testbed.platform_run import PlatformRun

MICROSECONDS = 1_000_000
# Outcomes that are no failure of an endpoint, in the vocabulary of recordings.
NEUTRAL_OUTCOMES = ("OK", "NOT_SENT", "MOOT")
UNSENT_OUTCOMES = ("NOT_SENT", "MOOT")


class ObservedFailure(NamedTuple):
    """A failed attempt or health check in a courier's log; `at_ns` counts from the scenario's beginning."""

    courier: int
    destination: int
    at_ns: int


def read_logs(run: PlatformRun, logs: Iterable[tuple[int, Path]]) -> None:
    """Record the health checks and attempts of all logs in the run, and check rule `cold`.

    Args:
        run: The finished run.
        logs: The number of each courier and the path of its log.
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
    """The events of a log, in the vocabulary of recordings; a line truncated by a kill is skipped."""
    for line in path.read_bytes().splitlines():
        try:
            event = recorded(orjson.loads(line))
        except orjson.JSONDecodeError:
            continue
        if isinstance(event, dict):
            yield event


def _record_attempt(run: PlatformRun, event: dict[str, Any], began_s: float) -> None:
    """Record the time of an attempt that was sent."""
    started_s = (event["at_us"] - event["took_us"]) / MICROSECONDS - began_s
    at_ns = int(max(0, started_s) * SECOND)
    run.attempt_times_ns.append(at_ns)
    if event["n"]:
        run.retry_times_ns.append(at_ns)


def check_overloads(run: PlatformRun, failures: list[ObservedFailure]) -> None:
    """Check rule `cold`: couriers that saw an outage must not overload the destination while it warms up.

    Which couriers were refused a connection is known only from their logs.
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
