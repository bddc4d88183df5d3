"""The parts of a scenario: arrays of messages, the drawn destinations, and scheduled faults."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import numpy as np
from numpy.typing import NDArray

ATTEMPT_DRAWS = 8  # attempts of a message with their own random numbers; later ones start over with the first
# Indices into the last axis of `Scenario.attempt_draws`, the uniform random numbers of an attempt.
OUTBOUND_DELAY_DRAW, RETURN_DELAY_DRAW, ERROR_DRAW, RETRY_AFTER_DRAW = range(4)
START_DRAWS = 8  # starts of an instance with their own random numbers; later ones start over with the first


@dataclass(slots=True)
class DestinationSpec:
    """The drawn properties of a destination.

    Attributes:
        number: Its number, from 1.
        traffic_share: Its share of the traffic.
        large: Whether it is of the large kind, which has a rate limit.
        work_factor: Factor of the work that a class makes here.
        cores: Cores of each endpoint.
        queue_limits: Calls that may wait at each endpoint.
        connection_limits: Connections that each endpoint accepts; 0 for any number.
        capacity_per_s: Messages per second that it can process, or that its rate limit admits.
        limit_window_ns: Window of its rate limit; 0 if only its capacity limits it.
        limit_calls: Calls that are admitted in a window.
        rejections_count: Whether rejected calls use up the limit too.
        retry_after_share: Share of its rejections that carry a Retry-After.
        weight: Its calls per second according to the endpoint list.
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
    """A fault with its drawn parameters.

    Attributes:
        kind: The kind, as in experiment files.
        magnitude: Errors: the share of calls that fail; bursts: the factor of the rate.
        targets: Numbers of destinations, instances or endpoints, depending on the kind.
        batch: Restarts: share of the instances that are down at a time.
        down_ns: Restarts: how long a process is down, without the duration of its start.
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
        """Whether destinations warm up afterwards; not if at least half of the calls went through."""
        return self.slow_start and (self.kind != "errors" or self.magnitude > 0.5)

    def restart_times(self, instances: int) -> Iterator[tuple[int, int]]:
        """Yield the instance number and time of each restart, in batches spread over the fault."""
        batches = max(1, round(len(self.targets) / max(1, self.batch * instances)))
        for position, number in enumerate(self.targets):
            offset_ns = (self.until_ns - self.at_ns) * (position % batches) // batches
            yield number, self.at_ns + offset_ns


def _no_delays() -> NDArray[np.float64]:
    return np.zeros(0)


@dataclass(slots=True)
class Scenario:
    """The input of a run. Message arrays have one row per message, in order of arrival.

    Attributes:
        seed: The seed it was drawn from; it also seeds the draws during a run.
        ordering_key: 0 for none.
        within_quota: Whether a message is within its tenant's quota.
        work_ns: Work at a destination of normal speed: [messages, ATTEMPT_DRAWS].
        attempt_draws: Uniform random numbers of attempts: [messages, ATTEMPT_DRAWS, 4].
        client_draws: Uniform random numbers of clients: [messages, 4]; see `clients`.
        instance_share: Each instance's share of the traffic.
        start_draws: Uniform random numbers for the duration of each start: [instances, START_DRAWS].
        delay_ns: The network's one-way delay to each destination.
        submit_delay_ns: How late a real load generator submitted each message; None for no delays.
        size_bytes: Sizes of the message bodies, if they were recorded.
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
