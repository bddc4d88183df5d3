"""What a scenario consists of: arrays of messages, destinations as they were drawn, faults at their times."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import numpy as np
from numpy.typing import NDArray

ATTEMPT_DRAWS = 8  # attempts of a message that have random numbers of their own; later ones start over
# What the uniform random numbers of an attempt decide, in the last axis of `Scenario.attempt_draws`.
OUTBOUND_DELAY_DRAW, RETURN_DELAY_DRAW, ERROR_DRAW, RETRY_AFTER_DRAW = range(4)
START_DRAWS = 8  # starts of an instance that have random numbers of their own; later ones start over


@dataclass(slots=True)
class DestinationSpec:
    """What a destination is, drawn once.

    Attributes:
        number: Its number, from 1.
        traffic_share: Its share of the traffic.
        large: Whether it is of the large kind, which has a rate limit.
        work_factor: Times the work of a class that a call makes here.
        cores: Of each endpoint.
        queue_limits: Calls that may wait at each endpoint.
        connection_limits: Connections that each endpoint accepts; 0: any number.
        capacity_per_s: Messages a second that it can do, or that its limit lets through.
        limit_window_ns: The window in which its limit counts; 0: no limit but its capacity.
        limit_calls: Calls in a window.
        rejections_count: Whether rejected calls use the limit up too.
        retry_after_share: Share of its rejections that carry a Retry-After.
        weight: Calls a second, as the endpoint list says.
    """

    number: int
    traffic_share: float
    large: bool
    work_factor: float
    cores: list[int]
    queue_limits: list[int]
    connection_limits: list[int]
    capacity_per_s: float
    limit_window_ns: int = 0
    limit_calls: int = 0
    rejections_count: bool = False
    retry_after_share: float = 0.0
    weight: float = 1.0


@dataclass(slots=True)
class ScheduledFault:
    """A fault with its figures drawn.

    Attributes:
        kind: As in files.
        magnitude: Errors: the share that fails; bursts: times the rate.
        targets: Numbers of destinations, instances or endpoints, by kind.
        batch: Restarts: share of the instances that are down at a time.
        down_ns: Restarts: how long a process is absent, without the time that its start takes.
        slow_start: Outages: whether destinations warm up afterwards.
    """

    kind: str
    at_ns: int
    until_ns: int
    magnitude: float
    targets: list[int]
    batch: float = 0.0
    down_ns: int = 0
    slow_start: bool = True

    @property
    def ends_in_slow_start(self) -> bool:
        """Whether destinations warm up afterwards: not where most calls went through all the time."""
        return self.slow_start and (self.kind != "errors" or self.magnitude > 0.5)

    def restart_times(self, instances: int) -> Iterator[tuple[int, int]]:
        """Yield number and time of each restart, of so many instances: in batches spread over the fault."""
        batches = max(1, round(len(self.targets) / max(1, self.batch * instances)))
        for position, number in enumerate(self.targets):
            offset_ns = (self.until_ns - self.at_ns) * (position % batches) // batches
            yield number, self.at_ns + offset_ns


def _no_delays() -> NDArray[np.float64]:
    return np.zeros(0)


@dataclass(slots=True)
class Scenario:
    """All that a run needs. Message arrays have one row a message, in order of arrival.

    Attributes:
        seed: The seed it was drawn from, which seeds what else is drawn in a run.
        ordering_key: 0: none.
        within_quota: Whether a message is within its tenant's quota.
        work_ns: Work at a destination of the usual speed: [messages, ATTEMPT_DRAWS].
        attempt_draws: Uniform random numbers of attempts: [messages, ATTEMPT_DRAWS, 4].
        client_draws: Uniform random numbers of clients: [messages, 4]; see `clients`.
        instance_share: Each instance's share of the traffic.
        start_draws: Uniform random numbers, how long each start takes: [instances, START_DRAWS].
        delay_ns: The network's delay to each destination, one way.
        submit_delay_ns: How late each message is submitted, where a real load generator is followed.
        size_bytes: Bytes of the bodies, where recorded.
    """

    seed: int
    length_ns: int
    destinations: list[DestinationSpec]
    faults: list[ScheduledFault]
    arrival_ns: NDArray[np.int64]
    class_index: NDArray[np.int16]
    tenant_index: NDArray[np.int16]
    destination: NDArray[np.int32]
    ordering_key: NDArray[np.int64]
    within_quota: NDArray[np.bool_]
    work_ns: NDArray[np.int64]
    attempt_draws: NDArray[np.float32]
    client_draws: NDArray[np.float32]
    instance_share: NDArray[np.float64]
    start_draws: NDArray[np.float64]
    max_concurrent_calls: int = 2
    max_held_messages: int = 8
    delay_ns: NDArray[np.float64] = field(default_factory=_no_delays)
    submit_delay_ns: NDArray[Any] | None = None
    size_bytes: NDArray[np.int64] | None = None
