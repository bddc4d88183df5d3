"""The endpoints: what discovery and operators say of them, and for how long they said to wait."""

from collections.abc import Iterable

from pinspread.core.context import EngineContext
from pinspread.core.endpoint_blocklist import MAX_ID_LENGTH, EndpointBlocklist
from pinspread.core.log import log
from pinspread.core.messages import Endpoint
from pinspread.errors import JournalFullError, RejectedError
from pinspread.policy.events import EndpointEntry, EndpointsChanged, EndpointState, UpdateScope

NOT_SERVING_RETRY_MS = 1000  # when an operator may ask again

RetryAfterScope = int | str  # a destination's number, or an endpoint's id where limits are its own


class EndpointRegistry:
    """Keeps the endpoints as they read now, and tells the policy of each change.

    Attributes:
        endpoints: The endpoints that the list names, by id.
        destinations: The destinations that the list has ever named, with endpoints just now or without.
        blocklist: The endpoints that operators have taken out of use.
        retry_after_until_us: Until when a destination or endpoint said to wait, in microseconds of the
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
        """Take in a change of the list, or the whole list: endpoints and their listed states."""
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

    def _merge(self, endpoint: Endpoint, reported: EndpointState, state: EndpointState) -> Endpoint:
        """Return the object that stands for an endpoint from now on."""
        endpoint.listed = reported
        endpoint.usable = state is EndpointState.READY
        known = self.endpoints.get(endpoint.id)
        # An attempt that is being connected holds the object that it began with. If each list replaced it,
        # that object would miss all but the next change: that it drains or is blocked would not be seen right
        # before the write.
        if known is not None and known.same_address_as(endpoint):
            known.update_from(endpoint)
            endpoint = known
        elif known is not None:
            known.usable = False  # it is elsewhere by now
        self.endpoints[endpoint.id] = endpoint
        self.destinations.add(endpoint.destination)
        return endpoint

    def _remove(self, endpoint_id: str) -> None:
        # Endpoints are replaced all day under new ids; what each leaves behind would fill the memory.
        endpoint = self.endpoints.pop(endpoint_id)
        endpoint.usable = False
        if endpoint.scheme in self._context.transports:
            self._context.transports[endpoint.scheme].forget(endpoint)

    def _disconnect_if_unusable(self, endpoint: Endpoint) -> None:
        """Close idle connections that serve nobody any more; what is in flight finishes."""
        if not endpoint.usable and endpoint.scheme in self._context.transports:
            self._context.transports[endpoint.scheme].disconnect(endpoint)

    def disconnect(self, endpoint_id: str) -> None:
        """Close the idle connections to an endpoint, unless it has been removed and they with it."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is not None:
            self._context.transports[endpoint.scheme].disconnect(endpoint)

    # --- operators --------------------------------------------------------------------------------

    def load_blocklist(self, ids: Iterable[str]) -> None:
        """Block the endpoints that the journal says are blocked."""
        self.blocklist = EndpointBlocklist(ids)
        for endpoint in self.endpoints.values():
            if endpoint.id in self.blocklist.ids:
                self._report_state(endpoint)

    async def disable(self, endpoint_id: str) -> bool:
        """Take an endpoint out of use until it is enabled again; see `ports.EndpointAdmin`."""
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
        """Use an endpoint again, as one that has just been started; see `ports.EndpointAdmin`."""
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
        """Tell the policy how an endpoint reads now that it was blocked or unblocked."""
        state = self.blocklist.effective_state(endpoint.id, endpoint.listed)
        endpoint.usable = state is EndpointState.READY
        self._disconnect_if_unusable(endpoint)
        self._context.events.post(EndpointsChanged(UpdateScope.DELTA, [_entry(endpoint, state, restarted)]))

    # --- what binds calls -------------------------------------------------------------------------

    def apply_retry_after(self, endpoint: Endpoint, retry_after_us: int) -> None:
        """Call nothing that shares the endpoint's limit for so many microseconds; 0: no time."""
        if not retry_after_us:
            return
        if self._context.successor:
            self._context.successor.apply_retry_after(endpoint.id, retry_after_us)
        scope = self._retry_after_scope(endpoint)
        until_us = self._context.clock.now() + retry_after_us
        self.retry_after_until_us[scope] = max(self.retry_after_until_us.get(scope, 0), until_us)

    def blocked_reason(self, endpoint: Endpoint) -> str:
        """Return why nothing may go to an endpoint at present, whatever it is; empty if it may."""
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
        """What Retry-After binds: the destination, or one endpoint where limits are each endpoint's own."""
        kind = self._context.settings.policy_settings.kind(endpoint.kind)
        return endpoint.id if kind.limits_per_endpoint else endpoint.destination


def _entry(endpoint: Endpoint, state: EndpointState, cold: bool = False) -> EndpointEntry:
    return EndpointEntry(
        endpoint.id, endpoint.destination, endpoint.zone, endpoint.kind, state, endpoint.weight, cold
    )
