"""The endpoints: their state according to discovery and operators, and their Retry-After times."""

from collections.abc import Iterable

from pinspread.core.context import EngineContext
from pinspread.core.endpoint_blocklist import MAX_ID_LENGTH, EndpointBlocklist
from pinspread.core.log import log
from pinspread.core.messages import Endpoint
from pinspread.errors import JournalFullError, RejectedError
from pinspread.policy.events import EndpointEntry, EndpointsChanged, EndpointState, UpdateScope

NOT_SERVING_RETRY_MS = 1000  # when an operator may repeat a request

RetryAfterScope = int | str  # a destination's number, or an endpoint's id if limits are per endpoint


class EndpointRegistry:
    """Keeps the current state of the endpoints, and reports each change to the policy.

    Attributes:
        endpoints: The endpoints in the endpoint list, by id.
        destinations: All destinations that have been listed, including those without endpoints at present.
        blocklist: The endpoints that operators have disabled.
        retry_after_until_us: When the Retry-After of a destination or endpoint ends, in microseconds of the
            monotonic clock.
    """

    def __init__(self, context: EngineContext) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.destinations: set[int] = set()
        self.blocklist = EndpointBlocklist()
        self.retry_after_until_us: dict[RetryAfterScope, int] = {}
        self._context = context

    # --- the list ---------------------------------------------------------------------------------

    def update(self, scope: UpdateScope, endpoints: Iterable[tuple[Endpoint, EndpointState]]) -> None:
        """Apply a change of the endpoint list, or a whole list.

        Args:
            scope: Whether `endpoints` is a whole list, a cached one or only a change.
            endpoints: The endpoints, with their listed states.
        """
        removed = set(self.endpoints) if scope in (UpdateScope.FULL, UpdateScope.CACHED) else set()
        entries = []
        for reported_endpoint, reported in endpoints:
            state = self.blocklist.effective_state(reported_endpoint.id, reported)
            endpoint = self._merge(reported_endpoint, reported, state)
            entries.append(_entry(endpoint, state))
            if state is EndpointState.REMOVED:
                removed.add(endpoint.id)
            else:
                removed.discard(endpoint.id)
                self._disconnect_if_unusable(endpoint)
        for endpoint_id in removed:
            self._remove(endpoint_id)
        now_us = self._context.clock.now()
        self.retry_after_until_us = {
            scope_: until_us for scope_, until_us in self.retry_after_until_us.items() if until_us > now_us
        }
        self._context.events.post(EndpointsChanged(scope, entries))

    def report_all(self) -> None:
        """Report the whole list, as it is now, to a policy that knows nothing of it."""
        entries = [
            _entry(endpoint, self.blocklist.effective_state(endpoint.id, endpoint.listed))
            for endpoint in self.endpoints.values()
        ]
        self._context.events.post(EndpointsChanged(UpdateScope.CACHED, entries))

    def _merge(self, endpoint: Endpoint, reported: EndpointState, state: EndpointState) -> Endpoint:
        """Return the object that represents an endpoint from now on."""
        endpoint.listed = reported
        endpoint.usable = state is EndpointState.READY
        known = self.endpoints.get(endpoint.id)
        # An attempt that is being connected refers to the object that it started with. If each list replaced
        # the object, the attempt's one would miss all changes after the next, and the check right before the
        # write would not see that the endpoint is draining or blocked.
        if known is not None and known.is_same_as(endpoint):
            known.update_from(endpoint)
            endpoint = known
        elif known is not None:
            known.usable = False  # calls to what the id stood for until now are refused
            if known.scheme != endpoint.scheme:
                self._forget(known)
        self.endpoints[endpoint.id] = endpoint
        self.destinations.add(endpoint.destination)
        return endpoint

    def _remove(self, endpoint_id: str) -> None:
        # Endpoints are replaced under new ids all day: anything kept for removed ones would fill the memory.
        endpoint = self.endpoints.pop(endpoint_id)
        endpoint.usable = False
        self._forget(endpoint)

    def _forget(self, endpoint: Endpoint) -> None:
        if endpoint.scheme in self._context.transports:
            self._context.transports[endpoint.scheme].forget(endpoint)

    def _disconnect_if_unusable(self, endpoint: Endpoint) -> None:
        """Close the idle connections to an endpoint that is not usable; attempts in flight finish."""
        if not endpoint.usable and endpoint.scheme in self._context.transports:
            self._context.transports[endpoint.scheme].disconnect(endpoint)

    def disconnect(self, endpoint_id: str) -> None:
        """Close the idle connections to an endpoint, if it is still listed."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is not None:
            self._context.transports[endpoint.scheme].disconnect(endpoint)

    # --- operators --------------------------------------------------------------------------------

    def load_blocklist(self, ids: Iterable[str]) -> None:
        """Block the endpoints that are blocked according to the journal."""
        self.blocklist = EndpointBlocklist(ids)
        for endpoint in self.endpoints.values():
            if endpoint.id in self.blocklist.ids:
                self._report_state(endpoint)

    async def disable(self, endpoint_id: str) -> bool:
        """Disable an endpoint until it is enabled again; see `ports.EndpointAdmin`."""
        if self._context.successor:
            return await self._context.successor.set_blocked(endpoint_id, True)
        if not self._is_known(endpoint_id):
            return False
        if len(endpoint_id) <= MAX_ID_LENGTH and self.blocklist.block(endpoint_id):
            try:
                self._context.journal.endpoint_blocked(endpoint_id, True)
            except JournalFullError:
                self.blocklist.unblock(endpoint_id)
                raise
            if endpoint_id in self.endpoints:
                self._report_state(self.endpoints[endpoint_id])
        log("endpoint_disabled", endpoint=endpoint_id, disabled=len(self.blocklist.ids))
        return True

    async def enable(self, endpoint_id: str) -> bool:
        """Enable an endpoint again, and treat it as just started; see `ports.EndpointAdmin`."""
        if self._context.successor:
            return await self._context.successor.set_blocked(endpoint_id, False)
        if not self._is_known(endpoint_id):
            return False
        if endpoint_id in self.blocklist.ids:
            self._context.journal.endpoint_blocked(endpoint_id, False)
            self.blocklist.unblock(endpoint_id)
            if endpoint_id in self.endpoints:
                self._report_state(self.endpoints[endpoint_id], restarted=True)
        log("endpoint_enabled", endpoint=endpoint_id, disabled=len(self.blocklist.ids))
        return True

    def _is_known(self, endpoint_id: str) -> bool:
        if not self._context.serving:
            raise RejectedError(NOT_SERVING_RETRY_MS, "not serving yet")
        return endpoint_id in self.endpoints or endpoint_id in self.blocklist.ids

    def _report_state(self, endpoint: Endpoint, restarted: bool = False) -> None:
        """Report the state of an endpoint to the policy after it was blocked or unblocked."""
        state = self.blocklist.effective_state(endpoint.id, endpoint.listed)
        endpoint.usable = state is EndpointState.READY
        self._disconnect_if_unusable(endpoint)
        self._context.events.post(EndpointsChanged(UpdateScope.DELTA, [_entry(endpoint, state, restarted)]))

    # --- what may be called -----------------------------------------------------------------------

    def apply_retry_after(self, endpoint: Endpoint, retry_after_us: int) -> None:
        """Block calls to all endpoints that share this one's limit for `retry_after_us`; 0 does nothing."""
        if not retry_after_us:
            return
        if self._context.successor:
            self._context.successor.apply_retry_after(endpoint.id, retry_after_us)
        scope = self._retry_after_scope(endpoint)
        until_us = self._context.clock.now() + retry_after_us
        self.retry_after_until_us[scope] = max(self.retry_after_until_us.get(scope, 0), until_us)

    def blocked_reason(self, endpoint: Endpoint) -> str:
        """Return why no request of any kind may be sent to an endpoint at present; empty if it may."""
        if self._context.successor:
            return "handed over"
        if self._context.stopping:
            return "shutting down"
        if not endpoint.usable:
            return "draining, disabled or removed"
        if self.retry_after_until_us.get(self._retry_after_scope(endpoint), 0) > self._context.clock.now():
            return "Retry-After"
        return ""

    def _retry_after_scope(self, endpoint: Endpoint) -> RetryAfterScope:
        """Return what a Retry-After applies to: the destination, or the endpoint if it has its own limit."""
        kind = self._context.settings.policy_settings.kind(endpoint.kind)
        return endpoint.id if kind.limits_per_endpoint else endpoint.destination


def _entry(endpoint: Endpoint, state: EndpointState, cold: bool = False) -> EndpointEntry:
    return EndpointEntry(
        endpoint.id, endpoint.destination, endpoint.zone, endpoint.kind, state, endpoint.weight, cold
    )
