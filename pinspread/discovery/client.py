"""The client of discovery: a watch that is opened again whenever it breaks or falls silent."""

import random
from collections.abc import Mapping
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup

from pinspread.core.engine import DeliveryEngine
from pinspread.core.log import log
from pinspread.core.messages import Endpoint
from pinspread.core.time_units import US_PER_S
from pinspread.discovery.backoff import SMALL_FLEET, reopen_delay_s
from pinspread.discovery.departures import DepartedEndpoints
from pinspread.discovery.endpoint_list import (
    STATES,
    EndpointUpdate,
    LineReader,
    parse_departure,
    parse_endpoint,
    parse_update,
)
from pinspread.discovery.watch import Watch
from pinspread.http.exchange import Exchange
from pinspread.policy.events import EndpointState, UpdateScope
from pinspread.policy.settings import Settings

# What a silent watch misses counts as reported 6 s after it fell silent. An empty line comes every 2 s, so
# these leave time for a second watch that is silent as well.
LINE_TIMEOUT_S = 2.8  # without a complete line a watch has fallen silent
FIRST_LINE_TIMEOUT_S = 1.0  # the same for its first line, which comes at once
RESPONSE_TIMEOUT_S = 1.2  # until its response begins, where each instance has an agent of its own
SHARED_RESPONSE_TIMEOUT_S = 5.0  # and where all ask one service, which works through requests in turn
SHARED_SPREAD_S = 1.5  # over which watches of many that all fell silent are opened again there
OPEN_INTERVAL_S = 0.3  # between watches that are opened while an agent is silent
MAX_OPENING = 4  # that wait for their responses at the same time
MAX_LOGGED_FAILURES = 3  # in a row


class DiscoverySettings(Protocol):
    """The settings that the client uses."""

    @property
    def state(self) -> str:
        """The state folder."""

    @property
    def disk_bytes(self) -> int:
        """How many bytes the folder may take."""

    @property
    def seed(self) -> int:
        """The seed of random choices."""

    @property
    def cached_endpoints(self) -> Any:
        """The endpoint list as the configuration has it."""

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
    """Follows the endpoint list and hands its changes to the engine.

    Args:
        address: Where discovery is, host:port.
        engine: The engine.
        settings: The settings that are in force.

    Attributes:
        sequence: The version of the list that is known; 0 for none.
        first_answer: Set once the list as it is now has been read, or cannot be had.
    """

    def __init__(self, address: str, engine: DeliveryEngine, settings: DiscoverySettings) -> None:
        self.address = address
        self.engine = engine
        self.settings = settings
        self.sequence = 0
        self.first_answer = anyio.Event()
        self._full_wanted = False  # the full list, whatever is known
        self._failures = 0  # watches in a row that did not come up
        self._random = random.Random(settings.seed)
        self._current: Watch | None = None  # the watch that is followed
        self._last_address = ""  # where the last one was up
        self._opening: list[Watch] = []  # those that are not up yet
        self._next_open_us = 0  # when the next may be opened
        self._wake = anyio.Event()
        self._departed = DepartedEndpoints(settings.state, settings.disk_bytes)

    # --- what the engine and the service ask ---------------------------------------------------------

    def start(self) -> None:
        """Hand over the configuration's list, and what was reported as draining or removed since.

        That list may be old, and an agent that is away reports no newer one: without the file, drains that an
        earlier process was notified of would be forgotten, and its messages would go there.

        Raises:
            ValueError: The configuration has no list.
        """
        self._departed.load()
        cached = self.settings.cached_endpoints
        if isinstance(cached, dict) and isinstance(cached.get("hosts"), list):
            cached = self._departed.apply_to(cached)
        self._apply(parse_update(cached), UpdateScope.CACHED)

    def snapshot(self) -> dict[str, str | int]:
        """Return what another process needs to follow on from here."""
        return {"address": self.address, "seq": self.sequence}

    def resume(self, snapshot: dict[str, Any]) -> None:
        """Follow on from where another process was; its engine has handed over the list itself."""
        self._departed.load()
        if snapshot.get("address") == self.address:
            self.sequence = snapshot["seq"]

    def poll(self) -> None:
        """Answer the policy's poll with no change: the watch brings changes anyhow."""
        self.engine.update_endpoints(UpdateScope.DELTA, [])

    def apply_settings(self, settings: DiscoverySettings) -> None:
        """Apply other settings; where kinds or zones differ, the full list is read again."""
        old, self.settings = self.settings, settings
        if (old.kinds, old.zones) != (settings.kinds, settings.zones):
            self._request_full()

    def change_address(self, address: str) -> None:
        """Follow discovery at another address; the old watch goes on until the new one is up."""
        if address != self.address:
            self.address = address
            self.sequence = 0  # the versions there may differ
            self._request_full()

    def _request_full(self) -> None:
        self._full_wanted, self._failures, self._next_open_us = True, 0, 0
        opening, self._opening = self._opening, []
        for watch in opening:
            watch.scope.cancel()
        self._wake.set()

    # --- when watches are opened ---------------------------------------------------------------------

    async def run(self) -> None:
        """Watch until cancelled."""
        self._current, self._opening, self._next_open_us = None, [], 0
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
        """Whether all instances ask one service, rather than an agent of their own."""
        return self.settings.policy_settings.polled_discovery

    def _wait_us(self) -> int:
        """How long no further watch is wanted, in microseconds."""
        now_us: int = self.engine.clock.now()
        watch = self._current
        followed = watch is not None and watch.address == self.address and not self._full_wanted
        if watch is not None and followed and now_us < watch.silent_at_us:
            return watch.silent_at_us - now_us
        max_opening = len({self.address, self._last_address} - {""}) if self._shared else MAX_OPENING
        if len(self._opening) >= max_opening:
            return US_PER_S  # the end of one wakes
        return self._next_open_us - now_us

    def _open(self, tasks: TaskGroup) -> None:
        """Open another watch in addition to those that are there.

        An agent that was silent may answer what waits for it once it is back, or only what is asked from then
        on. Both are met where watches are opened side by side; the old one is followed until then.
        """
        if self._current and not self._full_wanted and not self._opening and not self._failures:
            log("watch_broke", address=self._current.address, error="silent")
        self._next_open_us = self.engine.clock.now() + int(OPEN_INTERVAL_S * US_PER_S)
        addresses = {self.address}
        if self._current is None and self._last_address:
            # The old watch broke before the new address was up: better to follow the old one than none.
            addresses.add(self._last_address)
        for address in addresses:
            watch = Watch(address, self._full_wanted or not self.sequence)
            self._opening.append(watch)
            tasks.start_soon(self._follow, watch)

    async def _follow(self, watch: Watch) -> None:
        with watch.scope:
            try:
                await self._run_watch(watch)
            except (OSError, ValueError) as error:
                self._failed(watch, error)
        if watch in self._opening:
            self._opening.remove(watch)
        if watch is self._current:
            self._current = None
        self._wake.set()

    def _failed(self, watch: Watch, error: OSError | ValueError) -> None:
        """Decide when the next is opened after one that failed by itself."""
        if watch.scope.cancel_called or watch.address != self.address:
            return  # another one has taken its place, or will
        if self._failures < MAX_LOGGED_FAILURES:
            log("watch_broke", address=watch.address, error=str(error) or type(error).__name__)
        self.first_answer.set()
        own_agent = not self._shared  # which is no burden to others
        if own_agent and isinstance(error, TimeoutError):
            self._failures += 1
            return  # the next is open already
        # A service that rejects is asked in turns; the first watch after one that was up is opened soon.
        soon = own_agent and (watch.up or isinstance(error, ConnectionRefusedError))
        instances = 1 if soon else self.settings.policy_settings.senders
        delay_s = reopen_delay_s(self._failures, instances, self._random.random())
        self._next_open_us = self.engine.clock.now() + int(delay_s * US_PER_S)
        self._failures += 1

    def _promote(self, watch: Watch) -> None:
        """Follow a watch whose response has begun, in place of all others.

        Closed before the new one is up, the old watch would leave drains unreported meanwhile.
        """
        watch.up = True
        self._opening.remove(watch)
        moved = watch.address != self.address
        others = self._opening if not moved else [w for w in self._opening if w.address == watch.address]
        for other in [*others, *([self._current] if self._current else ())]:
            other.scope.cancel()
        self._opening = [w for w in self._opening if w not in others]
        self._current = watch
        if not moved:
            self._last_address, self._failures = watch.address, 0
            self._full_wanted = self._full_wanted and not watch.full

    # --- what a watch brings -------------------------------------------------------------------------

    async def _run_watch(self, watch: Watch) -> None:
        try:
            timeout_s = SHARED_RESPONSE_TIMEOUT_S if self._shared else RESPONSE_TIMEOUT_S
            exchange = await watch.request(lambda: self.sequence, timeout_s)
            if watch not in self._opening or (self._current and watch.address != self.address):
                return  # another one is up, or discovery is elsewhere by now
            self._promote(watch)
            await self._read_updates(watch, exchange)
        finally:
            watch.close()

    async def _read_updates(self, watch: Watch, exchange: Exchange) -> None:
        reader = LineReader()
        self._expect_line(watch, FIRST_LINE_TIMEOUT_S)
        while True:
            data = await exchange.read_data()
            if watch is not self._current:
                return  # what an old watch still brings would undo the newer one's list
            if data is None:
                raise ConnectionResetError("ended by discovery")
            for value in reader.feed(data):
                if value is not None:
                    self._apply(parse_update(value), moved=watch.address != self.address)
                self.first_answer.set()  # None, an empty line: nothing has changed
                self._expect_line(watch, LINE_TIMEOUT_S)

    def _expect_line(self, watch: Watch, timeout_s: float) -> None:
        """Set when a watch counts as silent.

        Only complete lines count: half a line, or one that trickles in, says no more than silence. Where all
        ask one service, watches that fall silent in one instant are opened again at random times.
        """
        if self._shared and self.settings.policy_settings.senders > SMALL_FLEET:
            timeout_s += SHARED_SPREAD_S * self._random.random()
        watch.silent_at_us = self.engine.clock.now() + int(timeout_s * US_PER_S)

    def _apply(self, update: EndpointUpdate, scope: UpdateScope | None = None, moved: bool = False) -> None:
        """Hand an update to the engine.

        Args:
            update: The update.
            scope: What it is, if it does not come from a watch.
            moved: It comes from an address that discovery has left: its version says nothing.
        """
        endpoints = self._endpoints(update)
        if not moved:
            self.sequence = update.sequence
        if scope is None:
            scope = UpdateScope.FULL if update.full else UpdateScope.DELTA
        if scope is not UpdateScope.CACHED:
            states = {endpoint.id: state for endpoint, state in endpoints}
            missing = self.engine.endpoints.keys() - states.keys() if scope is UpdateScope.FULL else ()
            self._departed.record(dict.fromkeys(missing, EndpointState.REMOVED) | states)
        self.engine.update_endpoints(scope, endpoints)
        if endpoints or scope is not UpdateScope.DELTA:
            changed = {endpoint.id: state.name for endpoint, state in endpoints}
            shown = changed if scope is UpdateScope.DELTA else len(endpoints)
            log("endpoint_list", scope=scope.name, seq=self.sequence, endpoints=shown)

    def _endpoints(self, update: EndpointUpdate) -> list[tuple[Endpoint, EndpointState]]:
        endpoints = []
        for entry in update.entries:
            try:
                endpoint = parse_endpoint(entry, self.settings.zones, self.settings.kinds)
                endpoints.append((endpoint, STATES[entry["health"]]))
            except (KeyError, TypeError, ValueError) as error:
                log("malformed_endpoint", host=entry, error=repr(error))
                endpoints += self._departure(entry)
        return endpoints

    def _departure(self, entry: object) -> list[tuple[Endpoint, EndpointState]]:
        """What a malformed entry says of an endpoint that is known."""
        departure = parse_departure(entry)
        if departure is None:
            return []
        id_, state = departure
        known = self.engine.endpoints.get(id_)
        return [(known, state)] if known is not None else []
