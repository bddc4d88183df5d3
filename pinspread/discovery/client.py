"""The discovery client: keeps a watch open, and opens another whenever it breaks or falls silent."""

import random
from collections.abc import Mapping
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup

from pinspread.core.engine import DeliveryEngine
from pinspread.core.log import log
from pinspread.core.time_units import US_PER_S
from pinspread.discovery.backoff import SMALL_FLEET, reopen_delay_s
from pinspread.discovery.departures import DepartedEndpoints
from pinspread.discovery.endpoint_list import (
    STATES,
    EndpointUpdate,
    LineReader,
    ListedEndpoint,
    parse_departure,
    parse_endpoint,
    parse_update,
)
from pinspread.discovery.ready_endpoints import ReadyEndpoints
from pinspread.discovery.watch import Watch
from pinspread.discovery.watch_set import WatchSet
from pinspread.http.exchange import Exchange
from pinspread.policy.events import EndpointState, UpdateScope
from pinspread.policy.settings import Settings

# A change that a silent watch misses counts as reported to the courier 6 s after the watch fell silent, so
# another watch must be up by then. Discovery sends an empty line every 2 s. These time-outs leave time for a
# second watch that is silent as well.
LINE_TIMEOUT_S = 2.8  # a watch without a complete line for this time is silent
FIRST_LINE_TIMEOUT_S = 1.0  # until the first line, which is sent at once; then another watch is opened beside
STARTING_IDLE_TIMEOUT_S = (
    2.0  # a watch that sends nothing for this time before its first line is complete ends
)
STARTING_TIMEOUT_S = 10.0  # a watch whose first line is not complete after this time ends, though it sends
RESPONSE_TIMEOUT_S = 1.2  # until the response begins, if each instance has a discovery agent of its own
SHARED_RESPONSE_TIMEOUT_S = 5.0  # the same if all share one service, which handles requests in turn
SHARED_SPREAD_S = 1.5  # with a shared service, many silent watches are opened again spread over this time
OPEN_INTERVAL_S = 0.3  # between watches that are opened while an agent is silent
MAX_OPENING = 4  # watches that wait for their responses at the same time
MAX_STARTING = 4  # watches that wait for the rest of their first line at the same time
MAX_LOGGED_FAILURES = 3  # failures in a row that are logged


class DiscoverySettings(Protocol):
    """The settings that the client uses."""

    @property
    def state(self) -> str:
        """The state folder."""

    @property
    def disk_bytes(self) -> int:
        """Maximum size of the state folder in bytes."""

    @property
    def seed(self) -> int:
        """The seed of random choices."""

    @property
    def cached_endpoints(self) -> Any:
        """The endpoint list in the configuration."""

    @property
    def policy_settings(self) -> Settings:
        """The settings of the policy."""

    @property
    def zones(self) -> Mapping[str, int]:
        """The zones' numbers by their names."""

    @property
    def kinds(self) -> Mapping[str, int]:
        """The destination kinds' numbers by their names."""


class DiscoveryClient:
    """Follows the endpoint list and passes its changes to the engine.

    Args:
        address: The address of discovery, host:port.
        engine: The engine.
        settings: The settings in force.

    Attributes:
        sequence: The version of the last list or change that was read; 0 for none.
        first_answer: Set once the current list has been read, or a watch has failed to deliver it.
    """

    def __init__(self, address: str, engine: DeliveryEngine, settings: DiscoverySettings) -> None:
        self.address = address
        self.engine = engine
        self.settings = settings
        self.sequence = 0
        self.first_answer = anyio.Event()
        self._full_requested = False  # the next watch asks for the full list, not only for changes
        self._failures = 0  # watches in a row that failed before their response began
        self._random = random.Random(settings.seed)
        self._watches = WatchSet()
        self._last_address = ""  # the address of the last watch whose response began
        self._next_open_us = 0  # earliest time of the next watch
        self._wake = anyio.Event()
        self._departed = DepartedEndpoints(settings.state, settings.disk_bytes)
        self._ready = ReadyEndpoints(settings.state, settings.disk_bytes)

    # --- calls from the engine and the service -------------------------------------------------------

    def start(self) -> None:
        """Pass the configuration's list to the engine, without endpoints that have drained or left since.

        That list may be old, and an unreachable agent reports no newer one. Without the files in the state
        folder, what an earlier process learned would be forgotten: messages would be sent to draining
        endpoints, or to others that have taken the addresses of removed ones.

        Raises:
            ValueError: The configuration has no valid list.
        """
        self._departed.load()
        cached = self.settings.cached_endpoints
        if isinstance(cached, dict) and isinstance(cached.get("hosts"), list):
            cached = self._departed.apply_to(cached)
        update = parse_update(cached)
        listed = self._endpoints(update)
        endpoints = self._ready.confirmed(listed)
        self._ready.start_from(endpoints)
        # Changes since its version do not name the endpoints of the list that were left out without a reason.
        self.sequence = update.sequence if endpoints == listed else 0
        self._pass_on(UpdateScope.CACHED, endpoints)

    def snapshot(self) -> dict[str, str | int]:
        """Return the state from which another process can continue."""
        return {"address": self.address, "seq": self.sequence}

    def resume(self, discovery_state: dict[str, Any]) -> None:
        """Continue from another process's state; the list itself was transferred with the engine's state."""
        self._departed.load()
        self._ready.start_from((endpoint, endpoint.listed) for endpoint in self.engine.endpoints.values())
        self._ready.save()
        if discovery_state.get("address") == self.address:
            self.sequence = discovery_state["seq"]

    def poll(self) -> None:
        """Answer the policy's poll with no change, because the watch reports changes by itself."""
        self.engine.update_endpoints(UpdateScope.DELTA, [])

    def apply_settings(self, settings: DiscoverySettings) -> None:
        """Apply other settings; if kinds or zones differ, the full list is read again."""
        old, self.settings = self.settings, settings
        if (old.kinds, old.zones) != (settings.kinds, settings.zones):
            self._request_full()

    def change_address(self, address: str) -> None:
        """Follow discovery at another address; the old watch stays until the new one's response begins."""
        if address != self.address:
            self.address = address
            self.sequence = 0  # versions of the list may differ between addresses
            self._request_full()

    def _request_full(self) -> None:
        self._full_requested, self._failures, self._next_open_us = True, 0, 0
        self._watches.end_unproven()
        self._wake.set()

    # --- opening watches -----------------------------------------------------------------------------

    async def run(self) -> None:
        """Keep a watch open until cancelled."""
        self._watches, self._next_open_us = WatchSet(), 0
        async with anyio.create_task_group() as tasks:
            while True:
                wait_us = self._wait_us()
                if wait_us <= 0:
                    self._open(tasks)
                    continue
                with anyio.move_on_after(wait_us / US_PER_S):
                    await self._wake.wait()
                self._wake = anyio.Event()

    @property
    def _shared(self) -> bool:
        """Whether all instances share one discovery service, rather than each having an agent of its own."""
        return self.settings.policy_settings.polled_discovery

    def _wait_us(self) -> int:
        """Return the time until another watch may be needed, in microseconds."""
        now_us: int = self.engine.clock.now()
        watch = self._watches.current
        sufficient = watch is not None and watch.address == self.address and not self._full_requested
        if watch is not None and sufficient and now_us < watch.silent_at_us:
            return watch.silent_at_us - now_us
        starting = [other.began_us for other in self._watches.starting if other.address == self.address]
        if len(starting) >= MAX_STARTING:
            return US_PER_S  # the end of one of them ends this wait early
        if starting and now_us < (slow_at_us := max(starting) + int(FIRST_LINE_TIMEOUT_S * US_PER_S)):
            return slow_at_us - now_us
        max_opening = len({self.address, self._last_address} - {""}) if self._shared else MAX_OPENING
        if len(self._watches.opening) >= max_opening:
            return US_PER_S  # the end of an opening watch ends this wait early
        return self._next_open_us - now_us

    def _open(self, tasks: TaskGroup) -> None:
        """Open another watch in addition to the existing ones.

        An agent that was silent and recovers may answer pending requests, or only later ones. Opening several
        watches in parallel covers both cases; the current watch is followed until one of them responds.
        """
        current, is_first = self._watches.current, not self._watches.unproven and not self._failures
        if current and is_first and not self._full_requested:
            log("watch_broke", address=current.address, error="silent")
        self._next_open_us = self.engine.clock.now() + int(OPEN_INTERVAL_S * US_PER_S)
        addresses = {self.address}
        if current is None and self._last_address:
            # The watch at the old address broke before one at the new address responded. Following the old
            # address is better than following none.
            addresses.add(self._last_address)
        for address in addresses:
            watch = Watch(address, self._full_requested or not self.sequence)
            self._watches.opening.append(watch)
            tasks.start_soon(self._follow, watch)

    async def _follow(self, watch: Watch) -> None:
        with watch.scope:
            try:
                await self._run_watch(watch)
            except (OSError, ValueError) as error:
                self._schedule_after_failure(watch, error)
        self._watches.remove(watch)
        self._wake.set()

    def _schedule_after_failure(self, watch: Watch, error: OSError | ValueError) -> None:
        """Log the failure of a watch, and set the earliest time of the next one."""
        if watch.scope.cancel_called or watch.address != self.address:
            return  # another watch has replaced it, or will
        if self._failures < MAX_LOGGED_FAILURES:
            log("watch_broke", address=watch.address, error=str(error) or type(error).__name__)
        self.first_answer.set()
        own_agent = not self._shared  # requests to it do not slow down other instances
        if (own_agent or watch.up) and isinstance(error, TimeoutError):
            self._failures += 1
            return  # `run` has opened the next watch already
        # With an agent of its own, an instance opens the next watch soon after one that had responded, or
        # after a refused connection. Instances that share a service which rejects them ask it in turns.
        soon = own_agent and (watch.up or isinstance(error, ConnectionRefusedError))
        instances = 1 if soon else self.settings.policy_settings.senders
        delay_s = reopen_delay_s(self._failures, instances, self._random.random())
        self._next_open_us = self.engine.clock.now() + int(delay_s * US_PER_S)
        self._failures += 1

    def _promote(self, watch: Watch) -> None:
        self._watches.promote(watch, self.address)
        if watch.address == self.address:
            self._last_address, self._failures = watch.address, 0
            self._full_requested = self._full_requested and not watch.full

    # --- reading a watch -----------------------------------------------------------------------------

    async def _run_watch(self, watch: Watch) -> None:
        try:
            timeout_s = SHARED_RESPONSE_TIMEOUT_S if self._shared else RESPONSE_TIMEOUT_S
            exchange = await watch.request(lambda: self.sequence, timeout_s)
            if watch not in self._watches.opening or (
                self._watches.current and watch.address != self.address
            ):
                return  # another watch is followed, or the address of discovery has changed
            self._watches.begin(watch, self.engine.clock.now())
            await self._read_updates(watch, exchange)
        finally:
            watch.close()

    async def _read_data(self, watch: Watch, exchange: Exchange) -> bytes | None:
        """Read from a watch; until its first line is complete, only for a limited time.

        Raises:
            TimeoutError: The watch has not sent its first line in time.
        """
        if watch not in self._watches.starting:
            return await exchange.read_data()
        elapsed_s = (self.engine.clock.now() - watch.began_us) / US_PER_S
        with anyio.fail_after(min(STARTING_IDLE_TIMEOUT_S, max(0.0, STARTING_TIMEOUT_S - elapsed_s))):
            return await exchange.read_data()

    async def _read_updates(self, watch: Watch, exchange: Exchange) -> None:
        reader = LineReader()
        latest = 0  # the highest version that this watch has reported
        while True:
            data = await self._read_data(watch, exchange)
            if not self._watches.is_read(watch):
                return  # later data of a replaced watch would undo the newer one's list
            if data is None:
                raise ConnectionResetError("discovery ended the response of the watch")
            for value in reader.feed(data):
                if watch in self._watches.starting:
                    self._promote(watch)
                elif watch.address == self.address and not self._full_requested:
                    self._watches.end_unproven()  # this one was late, not silent
                if value is not None:
                    update = parse_update(value)
                    if update.sequence < latest:
                        self._reject_outdated(update, latest)
                        return
                    latest = update.sequence
                    self._apply(update, moved=watch.address != self.address)
                elif self._ready.unsaved:
                    self._ready.save()
                self.first_answer.set()  # also for None, an empty line: the list has not changed
                self._expect_line(watch, LINE_TIMEOUT_S)

    def _reject_outdated(self, update: EndpointUpdate, latest: int) -> None:
        """End a watch that reports a version behind a later one, and read the full list on another.

        A line that arrives late or again would undo later changes: a draining endpoint would be called.
        If the service counts anew instead, the full list has its current state.
        """
        log("outdated_update", seq=update.sequence, latest=latest, endpoints=len(update.entries))
        self._request_full()

    def _expect_line(self, watch: Watch, timeout_s: float) -> None:
        """Set the time at which a watch counts as silent.

        Only complete lines count: part of a line, or one that arrives in small pieces, is no better than
        silence. With a shared service a random time is added, so that watches of many instances that fall
        silent at once are not all opened again at once.
        """
        if self._shared and self.settings.policy_settings.senders > SMALL_FLEET:
            timeout_s += SHARED_SPREAD_S * self._random.random()
        watch.silent_at_us = self.engine.clock.now() + int(timeout_s * US_PER_S)

    def _apply(self, update: EndpointUpdate, moved: bool = False) -> None:
        """Record an update from a watch, and pass it to the engine.

        Args:
            update: The update.
            moved: The update comes from an old address of discovery, so its version is not kept.
        """
        endpoints = self._endpoints(update)
        if not moved:
            self.sequence = update.sequence
        states = {endpoint.id: state for endpoint, state in endpoints}
        missing = self.engine.endpoints.keys() - states.keys() if update.full else ()
        self._departed.record(dict.fromkeys(missing, EndpointState.REMOVED) | states)
        self._ready.record(update, endpoints)
        self._pass_on(UpdateScope.FULL if update.full else UpdateScope.DELTA, endpoints)

    def _pass_on(self, scope: UpdateScope, endpoints: list[ListedEndpoint]) -> None:
        self.engine.update_endpoints(scope, endpoints)
        if endpoints or scope is not UpdateScope.DELTA:
            changed = {endpoint.id: state.name for endpoint, state in endpoints}
            shown = changed if scope is UpdateScope.DELTA else len(endpoints)
            log("endpoint_list", scope=scope.name, seq=self.sequence, endpoints=shown)

    def _endpoints(self, update: EndpointUpdate) -> list[ListedEndpoint]:
        endpoints = []
        for entry in update.entries:
            try:
                endpoint = parse_endpoint(entry, self.settings.zones, self.settings.kinds)
                endpoints.append((endpoint, STATES[entry["health"]]))
            except (KeyError, TypeError, ValueError) as error:
                log("malformed_endpoint", host=entry, error=repr(error))
                endpoints += self._departure(entry)
        return endpoints

    def _departure(self, entry: object) -> list[ListedEndpoint]:
        """Return the known endpoint that a malformed entry reports as draining or removed, if any."""
        departure = parse_departure(entry)
        if departure is None:
            return []
        id_, state = departure
        known = self.engine.endpoints.get(id_)
        return [(known, state)] if known is not None else []
