"""Destinations: endpoints with cores, queues and connection limits; rate limits, outages and slow start.

A destination uses only `now` and `after` of its engine, and answers its callers through `IncomingCall`, so
that the test bed can run it on real time and real sockets.
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


STATES_LOSING_WORK = (ServingState.CRASHED, ServingState.SILENT, ServingState.COLLAPSED)


class CollapseObserver(Protocol):
    """Receives a report of each destination that collapses."""

    def destination_collapsed(self, destination: int, now_ns: int, informed: int, total: int) -> None:
        """Report that a destination was overloaded while it warmed up.

        Args:
            destination: Number of the destination.
            now_ns: Time of the collapse.
            informed: How many of the calls that overloaded it came from instances that knew of its outage.
            total: How many calls overloaded it.
        """
        ...


class Outage(NamedTuple):
    """An outage in progress."""

    until_ns: int
    state: ServingState
    error_share: float
    slow_start: bool  # whether the destination warms up afterwards


class Collapse(NamedTuple):
    """An overload of a destination that was warming up.

    Attributes:
        instances: The sender of each call that caused it, one item a call.
    """

    at_ns: int
    outage_start_ns: int
    outage_end_ns: int
    instances: list[int]


class FixedWindowLimiter:
    """Admits a fixed number of calls in each time window.

    Args:
        window_ns: Length of a window.
        max_calls: Calls that are admitted in each window.
        rejections_count: Whether rejected calls use up the limit too.

    Attributes:
        calls: Calls counted in the current window.
    """

    __slots__ = ("calls", "max_calls", "rejections_count", "window_ns", "window_start_ns")

    def __init__(self, window_ns: int, max_calls: int, rejections_count: bool) -> None:
        self.window_ns = window_ns
        self.max_calls = max_calls
        self.rejections_count = rejections_count
        self.reset()

    def reset(self) -> None:
        """Forget all calls; the windows start at time 0 again."""
        self.window_start_ns = 0
        self.calls = 0

    def acquire(self, now_ns: int) -> int:
        """Count a call; return 0 if it is admitted, else the nanoseconds until the window ends."""
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
    """One destination: its endpoints, its rate limit, its outages and its current capacity.

    Args:
        spec: The destination as drawn for the scenario.
        engine: Supplies the time and schedules function calls.
        model: Supplies the parameters of slow start and of full or silent endpoints.
        observer: Receives a report when the destination collapses.
        first_id: Id of its first endpoint; the ids of the others follow.

    Attributes:
        informed_instances: Instances that saw a call fail in the current or the latest outage.
        collapses: Overloads while it warmed up, in order of time.
        rejected: Number of rejected calls.
        rejected_over_limit: Number of calls rejected because they were over the rate limit.
    """

    def __init__(
        self,
        spec: DestinationSpec,
        engine: Scheduler,
        model: FleetModel,
        observer: CollapseObserver,
        first_id: int,
    ) -> None:
        parameters = model.partners
        self.spec = spec
        self.number = spec.number
        self.engine = engine
        self.observer = observer
        self._accepts_while_silent = model.network.silent_accepts
        full_is_refused = model.network.full_table == "refused"
        self._result_over_limit = ConnectResult.REFUSED if full_is_refused else ConnectResult.OVER_LIMIT
        self._slow_start_fraction = parameters.cold_from
        self._slow_start_ns = int(parameters.warm_s * SECOND)
        self._collapse_multiple = parameters.fall_multiple
        self._collapse_window_ns = int(parameters.fall_s * SECOND)
        self._collapse_slack = parameters.fall_slack
        sizes = zip(spec.cores, spec.queue_limits, spec.connection_limits, strict=True)
        self.endpoints = [Endpoint(id_, self, *size) for id_, size in enumerate(sizes, first_id)]
        self.limiter: FixedWindowLimiter | None = None
        if spec.limit_window_ns:
            self.limiter = FixedWindowLimiter(spec.limit_window_ns, spec.limit_calls, spec.rejections_count)
        self.informed_instances: set[int] = set()
        self.collapses: list[Collapse] = []
        self.rejected = 0
        self.rejected_over_limit = 0
        self._outage_until_ns = 0  # when the current outage ends, for the Retry-After of rejections
        self._error_share = 0.0
        self._warming_since_ns = -1
        self._outages: list[Outage] = []  # that began since the destination was last up
        self._outage_start_ns = 0  # of the current or the latest outage
        self._recent_arrivals: deque[tuple[int, int]] = deque()  # (time, instance) during warm-up

    # --- outages ----------------------------------------------------------------------------------

    def start_outage(
        self, state: ServingState, until_ns: int, error_share: float = 1.0, slow_start: bool = True
    ) -> None:
        """Begin an outage.

        Args:
            state: State of the endpoints; in `STATES_LOSING_WORK` they lose running and queued calls.
            until_ns: When the outage ends; `end_outage` has to be called at that time or later.
            error_share: Share of the calls that fail, if the state is `FAILING`.
            slow_start: Whether the destination warms up afterwards.
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
        self._outage_until_ns = outage.until_ns
        self._error_share = outage.error_share
        self._warming_since_ns = -1
        for endpoint in self.endpoints:
            endpoint.state = outage.state
            if outage.state in STATES_LOSING_WORK:
                self.discard_work(endpoint, reset=outage.state is not ServingState.SILENT)

    def discard_work(self, endpoint: Endpoint, reset: bool) -> None:
        """Drop the running and queued calls of an endpoint; with a reset, its connections end as well."""
        endpoint.incarnation += 1
        queued, endpoint.queue, endpoint.busy = endpoint.queue, deque(), 0
        for owner in endpoint.connection_owners:
            owner.connection_lost(reset)
        if reset:
            for call, _ in queued:
                call.reset()

    def end_outage(self) -> None:
        """End an outage: the destination is up again, unless another outage is still in progress."""
        if self.endpoints[0].state is ServingState.COLLAPSED:
            return
        # The end of one outage must not bring the destination up while another one is still in progress.
        ongoing = [outage for outage in self._outages if outage.until_ns > self.engine.now]
        if ongoing:
            self._enter(ongoing[-1])
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
        """Note that an instance saw a call fail here; ignored unless an outage is in progress."""
        if self.endpoints[0].state is not ServingState.UP:
            self.informed_instances.add(instance)

    # --- slow start -------------------------------------------------------------------------------

    def capacity_fraction(self) -> float:
        """Return the current share of full capacity; it rises linearly while the destination warms up."""
        if self._warming_since_ns < 0:
            return FULL_CAPACITY
        elapsed_ns = self.engine.now - self._warming_since_ns
        if elapsed_ns >= self._slow_start_ns:
            self._warming_since_ns = -1
            return FULL_CAPACITY
        start = self._slow_start_fraction
        return start + (1 - start) * elapsed_ns / self._slow_start_ns

    def _collapses_on_arrival(self, instance: int) -> bool:
        """Count an arrival during warm-up, and return whether it makes the destination collapse.

        Health checks count like calls.
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
        # The budget is that of a whole window, even if the outage ended less than a window ago.
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
        """Return the result of opening a connection to an endpoint; the caller counts the connection."""
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
        """Handle a call whose last byte has arrived.

        Args:
            endpoint: The endpoint that it arrives at.
            call: The call; it receives its result now or later.
            work_ns: Its work at a destination of normal speed and full capacity.
        """
        if endpoint.state is not ServingState.UP and self._handle_during_outage(endpoint.state, call):
            return
        if self._collapses_on_arrival(call.instance):
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

    def _handle_during_outage(self, state: ServingState, call: IncomingCall) -> bool:
        """Handle a call during an outage.

        Returns:
            Whether that ends the call; False for the share that a failing endpoint still serves.
        """
        if state is ServingState.FAILING:
            if call.draws[ERROR_DRAW] >= self._error_share:
                return False
            self.engine.after(FAST_ERROR_NS, call.respond, Outcome.ERROR, 0)
        elif state is ServingState.REJECTING:
            self._reject(call, self._outage_until_ns - self.engine.now)
        elif state is not ServingState.SILENT:
            call.reset()
        return True

    def _reject(self, call: IncomingCall, wait_ns: int) -> None:
        """Reject a call; if the wait is known, a share of the rejections give it as Retry-After."""
        self.rejected += 1
        gives_retry_after = wait_ns > 0 and call.draws[RETRY_AFTER_DRAW] < self.spec.retry_after_share
        call.respond(Outcome.OVERLOADED, wait_ns if gives_retry_after else 0)

    def _start_work(self, endpoint: Endpoint, call: IncomingCall, work_ns: int) -> None:
        endpoint.busy += 1
        call.work_started()
        duration_ns = int(work_ns * self.spec.work_factor / self.capacity_fraction())
        self.engine.after(duration_ns, self._finish_work, endpoint, call, endpoint.incarnation)

    def _finish_work(self, endpoint: Endpoint, call: IncomingCall, incarnation: int) -> None:
        if incarnation != endpoint.incarnation:
            return  # the work was lost with the endpoint's process
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
        The destinations by number, and their endpoints by id; ids start at 1.
    """
    destinations: dict[int, Destination] = {}
    endpoints: dict[int, Endpoint] = {}
    for spec in scenario.destinations:
        destination = Destination(spec, engine, model, observer, len(endpoints) + 1)
        destinations[spec.number] = destination
        endpoints.update((endpoint.id, endpoint) for endpoint in destination.endpoints)
    return destinations, endpoints
