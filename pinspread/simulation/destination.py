"""Destinations: endpoints with cores, queues and connection limits; rate limits, outages and slow start.

A destination needs only `now` and `after` of its engine, and answers its callers through `IncomingCall`, so
that the testbed can use it on real time and real sockets.
"""

from collections import deque
from typing import NamedTuple, Protocol

from pinspread.policy.events import Outcome
from pinspread.simulation.endpoint import ConnectResult, Endpoint, IncomingCall, ServingState
from pinspread.simulation.engine import MS, SECOND, Scheduler
from pinspread.simulation.model import FleetModel
from pinspread.simulation.scenario import ERROR_DRAW, RETRY_AFTER_DRAW, DestinationSpec, Scenario

__all__ = ["Collapse", "CollapseObserver", "Destination", "Endpoint", "ServingState", "build_destinations"]

FAST_ERROR_NS = 5 * MS  # how long a failing endpoint takes to answer with an error
NEVER_NS = 1 << 62
FULL_CAPACITY = 1.0


WORK_LOST_IN = (ServingState.CRASHED, ServingState.SILENT, ServingState.COLLAPSED)


class CollapseObserver(Protocol):
    """One that is told of destinations that collapse."""

    def destination_collapsed(self, destination: int, now_ns: int, informed: int, total: int) -> None:
        """A destination was overloaded while it warmed up.

        Args:
            destination: Its number.
            now_ns: When.
            informed: How many of the calls that overloaded it came from instances that knew of its outage.
            total: How many calls that were.
        """
        ...


class Outage(NamedTuple):
    """An outage that is on."""

    until_ns: int
    state: ServingState
    error_share: float
    slow_start: bool  # whether the destination warms up after it


class Collapse(NamedTuple):
    """An overload of a destination that was warming up; `instances` sent the calls that caused it."""

    at_ns: int
    outage_start_ns: int
    outage_end_ns: int
    instances: list[int]


class FixedWindowLimiter:
    """Admits so many calls in each window of time.

    Args:
        window_ns: Length of a window.
        max_calls: Calls that are admitted in each.
        rejections_count: Whether rejected calls use the limit up too.

    Attributes:
        calls: Calls counted in the present window.
    """

    __slots__ = ("calls", "max_calls", "rejections_count", "window_ns", "window_start_ns")

    def __init__(self, window_ns: int, max_calls: int, rejections_count: bool) -> None:
        self.window_ns = window_ns
        self.max_calls = max_calls
        self.rejections_count = rejections_count
        self.reset()

    def reset(self) -> None:
        """Forget all calls; windows start at 0 again."""
        self.window_start_ns = 0
        self.calls = 0

    def acquire(self, now_ns: int) -> int:
        """Count a call; return 0 if it is admitted, else the time until the window ends."""
        if now_ns >= self.window_start_ns + self.window_ns:
            self.window_start_ns += (now_ns - self.window_start_ns) // self.window_ns * self.window_ns
            self.calls = 0
        if self.calls < self.max_calls:
            self.calls += 1
            return 0
        if self.rejections_count:
            self.calls += 1
        return self.window_start_ns + self.window_ns - now_ns


class Destination:
    """One destination: its endpoints, its rate limit, its outages, and its capacity at the moment.

    Args:
        spec: What was drawn for it.
        engine: Its time.
        model: Supplies the figures of slow start and of full or silent endpoints.
        observer: Is told when it collapses.
        first_id: Id of its first endpoint; the others follow.

    Attributes:
        informed_instances: Instances that saw a call fail in the present or the latest outage.
        collapses: Overloads while it warmed up, in order of time.
        rejected: Calls that were rejected.
        rejected_over_limit: Those of them that were over the rate limit.
    """

    def __init__(
        self,
        spec: DestinationSpec,
        engine: Scheduler,
        model: FleetModel,
        observer: CollapseObserver,
        first_id: int,
    ) -> None:
        figures = model.partners
        self.spec = spec
        self.number = spec.number
        self.engine = engine
        self.observer = observer
        self._accepts_while_silent = model.network.silent_accepts
        full_is_refused = model.network.full_table == "refused"
        self._result_over_limit = ConnectResult.REFUSED if full_is_refused else ConnectResult.OVER_LIMIT
        self._slow_start_fraction = figures.cold_from
        self._slow_start_ns = int(figures.warm_s * SECOND)
        self._collapse_multiple = figures.fall_multiple
        self._collapse_window_ns = int(figures.fall_s * SECOND)
        self._collapse_slack = figures.fall_slack
        sizes = zip(spec.cores, spec.queue_limits, spec.connection_limits, strict=True)
        self.endpoints = [Endpoint(id_, self, *size) for id_, size in enumerate(sizes, first_id)]
        self.limiter: FixedWindowLimiter | None = None
        if spec.limit_window_ns:
            self.limiter = FixedWindowLimiter(spec.limit_window_ns, spec.limit_calls, spec.rejections_count)
        self.informed_instances: set[int] = set()
        self.collapses: list[Collapse] = []
        self.rejected = 0
        self.rejected_over_limit = 0
        self._reopens_ns = 0  # while it rejects all: when it no longer does
        self._error_share = 0.0
        self._warming_since_ns = -1
        self._outages: list[Outage] = []  # those that began since it was last up
        self._outage_start_ns = 0  # of the present or the latest outage
        self._recent_arrivals: deque[tuple[int, int]] = deque()  # (time, instance), while it warms up

    # --- outages ----------------------------------------------------------------------------------

    def start_outage(
        self, state: ServingState, until_ns: int, error_share: float = 1.0, slow_start: bool = True
    ) -> None:
        """Begin an outage.

        Args:
            state: What its endpoints do meanwhile; in some states what is in work is lost.
            until_ns: When it ends, if nothing else does; `end_outage` has to be called then.
            error_share: Share of the calls that fail, while it is `FAILING`.
            slow_start: Whether it warms up afterwards.
        """
        if self.endpoints[0].state is ServingState.COLLAPSED:
            return
        if not self._outages:
            self.informed_instances = set()
            self._outage_start_ns = self.engine.now
        outage = Outage(until_ns, state, error_share, slow_start)
        self._outages.append(outage)
        self._enter(outage)

    def _enter(self, outage: Outage) -> None:
        self._reopens_ns = outage.until_ns
        self._error_share = outage.error_share
        self._warming_since_ns = -1
        for endpoint in self.endpoints:
            endpoint.state = outage.state
            if outage.state in WORK_LOST_IN:
                self.discard_work(endpoint, reset=outage.state is not ServingState.SILENT)

    def discard_work(self, endpoint: Endpoint, reset: bool) -> None:
        """Lose what an endpoint works on and queues; with a reset its connections end, too."""
        endpoint.incarnation += 1
        queued, endpoint.queue, endpoint.busy = endpoint.queue, deque(), 0
        for owner in endpoint.connection_owners:
            owner.connection_lost(reset)
        if reset:
            for call, _ in queued:
                call.reset()

    def end_outage(self) -> None:
        """End an outage: the destination is up again, unless another outage is still on."""
        if self.endpoints[0].state is ServingState.COLLAPSED:
            return
        # An outage that ends inside another must not bring the destination up in the middle of that.
        still_on = [outage for outage in self._outages if outage.until_ns > self.engine.now]
        if still_on:
            self._enter(still_on[-1])
            return
        slow_start = any(outage.slow_start for outage in self._outages)
        self._outages.clear()
        for endpoint in self.endpoints:
            endpoint.state = ServingState.UP
        self._warming_since_ns = self.engine.now if slow_start else -1
        self._recent_arrivals.clear()
        if self.limiter is not None:
            self.limiter.reset()

    def record_failure(self, instance: int) -> None:
        """Note that an instance saw a call fail here; it counts only while an outage is on."""
        if self.endpoints[0].state is not ServingState.UP:
            self.informed_instances.add(instance)

    # --- slow start -------------------------------------------------------------------------------

    def capacity_fraction(self) -> float:
        """Share of its full capacity that the destination has now: it rises linearly while it warms up."""
        if self._warming_since_ns < 0:
            return FULL_CAPACITY
        elapsed_ns = self.engine.now - self._warming_since_ns
        if elapsed_ns >= self._slow_start_ns:
            self._warming_since_ns = -1
            return FULL_CAPACITY
        start = self._slow_start_fraction
        return start + (1 - start) * elapsed_ns / self._slow_start_ns

    def _collapses_under(self, instance: int) -> bool:
        """Count an arrival while the destination warms up; return whether it collapses under it.

        Health checks count as calls do.
        """
        if self._warming_since_ns < 0:
            return False
        fraction = self.capacity_fraction()
        recent = self._recent_arrivals
        recent.append((self.engine.now, instance))
        oldest_ns = self.engine.now - self._collapse_window_ns
        while recent[0][0] < oldest_ns:
            recent.popleft()
        if self._warming_since_ns < 0 or self.endpoints[0].state is not ServingState.UP:
            return False
        # The budget is that of the whole window, also right after the outage.
        rate_per_s = self._collapse_multiple * fraction * self.spec.capacity_per_s
        budget = rate_per_s * self._collapse_window_ns / SECOND + self._collapse_slack
        if len(recent) <= budget:
            return False
        self._collapse()
        return True

    def _collapse(self) -> None:
        now_ns = self.engine.now
        instances = [instance for _, instance in self._recent_arrivals]
        self.collapses.append(Collapse(now_ns, self._outage_start_ns, self._warming_since_ns, instances))
        informed = sum(instance in self.informed_instances for instance in instances)
        self.observer.destination_collapsed(self.number, now_ns, informed, len(instances))
        self.start_outage(ServingState.COLLAPSED, NEVER_NS)

    # --- calls ------------------------------------------------------------------------------------

    def connect(self, endpoint: Endpoint) -> ConnectResult:
        """Say what becomes of a new connection to an endpoint; the caller counts it."""
        state = endpoint.state
        if state is ServingState.SILENT and not self._accepts_while_silent:
            return ConnectResult.NO_ANSWER
        if state is ServingState.CRASHED or state is ServingState.COLLAPSED:
            return ConnectResult.REFUSED
        if self._is_full(endpoint):
            for owner in endpoint.connection_owners:
                owner.close_expired()
            if self._is_full(endpoint):
                return self._result_over_limit
        return ConnectResult.ACCEPTED

    @staticmethod
    def _is_full(endpoint: Endpoint) -> bool:
        return 0 < endpoint.connection_limit <= endpoint.connections

    def arrive(self, endpoint: Endpoint, call: IncomingCall, work_ns: int) -> None:
        """Take a call whose last byte has come.

        Args:
            endpoint: Where it arrives.
            call: Is told what becomes of it, now or later.
            work_ns: The work it makes at a destination of the usual speed and full capacity.
        """
        if endpoint.state is not ServingState.UP and self._answered_by_outage(endpoint.state, call):
            return
        if self._collapses_under(call.instance):
            call.reset()
            return
        if self.limiter is not None:
            wait_ns = self.limiter.acquire(self.engine.now)
            if wait_ns:
                self.rejected_over_limit += 1
                self._reject(call, wait_ns)
                return
        if endpoint.busy < endpoint.cores:
            self._start_work(endpoint, call, work_ns)
        elif len(endpoint.queue) < endpoint.queue_limit:
            endpoint.queue.append((call, work_ns))
        else:
            self._reject(call, 0)

    def _answered_by_outage(self, state: ServingState, call: IncomingCall) -> bool:
        """Treat a call as the outage has it; return whether that was all, as some errors spare a share."""
        if state is ServingState.FAILING:
            if call.draws[ERROR_DRAW] >= self._error_share:
                return False
            self.engine.after(FAST_ERROR_NS, call.respond, Outcome.ERROR, 0)
        elif state is ServingState.REJECTING:
            self._reject(call, self._reopens_ns - self.engine.now)
        elif state is not ServingState.SILENT:
            call.reset()
        return True

    def _reject(self, call: IncomingCall, wait_ns: int) -> None:
        """Reject a call; a share of the rejections say how long to stay away, where that is known."""
        self.rejected += 1
        tells = wait_ns > 0 and call.draws[RETRY_AFTER_DRAW] < self.spec.retry_after_share
        call.respond(Outcome.OVERLOADED, wait_ns if tells else 0)

    def _start_work(self, endpoint: Endpoint, call: IncomingCall, work_ns: int) -> None:
        endpoint.busy += 1
        call.work_started()
        duration_ns = int(work_ns * self.spec.work_factor / self.capacity_fraction())
        self.engine.after(duration_ns, self._finish_work, endpoint, call, endpoint.incarnation)

    def _finish_work(self, endpoint: Endpoint, call: IncomingCall, incarnation: int) -> None:
        if incarnation != endpoint.incarnation:
            return  # it was lost with the process
        endpoint.busy -= 1
        call.respond(Outcome.OK, 0)
        while endpoint.queue and endpoint.busy < endpoint.cores:
            queued, work_ns = endpoint.queue.popleft()
            self._start_work(endpoint, queued, work_ns)


def build_destinations(
    scenario: Scenario, engine: Scheduler, model: FleetModel, observer: CollapseObserver
) -> tuple[dict[int, Destination], dict[int, Endpoint]]:
    """Build the destinations of a scenario.

    Returns:
        The destinations by number, and their endpoints by id; ids count from 1.
    """
    destinations: dict[int, Destination] = {}
    endpoints: dict[int, Endpoint] = {}
    for spec in scenario.destinations:
        destination = Destination(spec, engine, model, observer, len(endpoints) + 1)
        destinations[spec.number] = destination
        endpoints.update((endpoint.id, endpoint) for endpoint in destination.endpoints)
    return destinations, endpoints
