"""The platform's discovery: a watch that is opened again whenever it breaks or falls silent."""

import random

import anyio
import orjson

from pinspread.core.log import log
from pinspread.core.transactions import NextHop
from pinspread.interface import ListScope, ListState
from pinspread.net.http import Exchange
from pinspread.net.sockets import dial

SILENT_S = 5.0  # an empty line comes every 2 s
AGAIN_S = 0.2  # before a watch that broke is opened again, where few couriers share a discovery
FEW = 4  # couriers that may open theirs so often; more take their turns
MOST_STEPS = 2  # in which that wait doubles while no watch comes up
MOST_LINE = 4 << 20
STATES = {"ready": ListState.READY, "draining": ListState.DRAINING, "gone": ListState.GONE}


def again_s(failed: int, couriers: int, chance: float) -> float:
    """Seconds until a watch is opened again that failed that often in a row; chance is 0 to 1."""
    # Danger: a discovery that is overbooked, or was away, is asked by the whole fleet in one instant and then
    # five times a second by each; it turns all away, and nobody learns of anything any more. What a fleet
    # asks for in a second is what few couriers ask for, and less while it is turned away. It could hurt where
    # one courier alone lost its watch: it is blind for seconds.
    fleet = max(1.0, couriers / FEW)
    steps = min(failed, MOST_STEPS) * (1 - 1 / fleet)
    return AGAIN_S * fleet * 2**steps * (0.5 + chance)


class Discovery:
    """Follows the list of endpoints and hands what changes to the core."""

    def __init__(self, address, courier, told):
        self.address = address
        self.courier = courier
        self.told = told
        self.seq = 0
        self.failed = 0  # watches in a row that did not come up
        self.random = random.Random(told.seed)
        self.tasks = None
        self.first = anyio.Event()  # the list as it is now has been read, or can't be had
        self.current = None  # the scope of the task whose watch is followed

    def start(self):
        """The list as the courier had it last, from its configuration."""
        self._learn(self.told.known, ListScope.CACHED)

    def rest(self) -> dict:
        """What another process needs to follow on from here."""
        return {"address": self.address, "seq": self.seq}

    def resume(self, found: dict):
        """Follow on from where another process was; its core has handed over the list itself."""
        if found.get("address") == self.address:
            self.seq = found["seq"]

    def ask(self):
        """The module asks for the list's changes: the watch brings them anyhow."""
        self.courier.learn(ListScope.DELTA, [])

    def settle(self, told):
        """Other settings count from now on; where kinds or zones are others, the whole list is read anew."""
        old, self.told = self.told, told
        if (old.kinds, old.zones) != (told.kinds, told.zones):
            self.seq = 0
            if self.tasks:
                self.tasks.start_soon(self._follow, self.address)

    def move(self, address):
        """Discovery is at another address from now on; the old watch goes on until the new one is up."""
        if address != self.address:
            self.address = address
            self.seq = 0  # the whole list: the versions there may be others
            if self.tasks:
                self.tasks.start_soon(self._follow, address)

    async def run(self):
        """Watch until cancelled."""
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self._follow, self.address)

    async def _follow(self, address):
        with anyio.CancelScope() as scope:
            while address == self.address or self.current is scope:
                try:
                    await self._watch(address, scope)
                except (OSError, ValueError, TimeoutError) as error:
                    log("watch_broke", address=address, error=str(error) or type(error).__name__)
                self.first.set()
                await anyio.sleep(again_s(self.failed, self.told.module.senders, self.random.random()))
                self.failed += 1

    def _up(self, scope):
        """Its watch has been answered: it takes the place of the one before."""
        # Danger: closed before the new one is up, the old watch would leave drains untold meanwhile.
        if self.current is not scope:
            if self.current:
                self.current.cancel()
            self.current = scope

    async def _watch(self, address, scope):
        with anyio.fail_after(SILENT_S):
            connection = await dial(address)
        try:
            exchange = Exchange(connection, most=None)
            with anyio.fail_after(SILENT_S):
                await exchange.request("GET", f"/api/targets?watch=1&from={self.seq}", address)
                status, _ = await exchange.response()
            if status != 200:
                raise ValueError(f"discovery answered {status}")
            self.failed = 0
            if address == self.address:
                self._up(scope)
            held = b""
            while True:
                with anyio.fail_after(SILENT_S):
                    piece = await exchange.data()
                if piece is None:
                    return
                *lines, held = (held + piece).split(b"\n")
                if len(held) > MOST_LINE:
                    raise ValueError("a line without an end")
                for line in lines:
                    if line.strip():
                        self._learn(orjson.loads(line), moved=address != self.address)
                    self.first.set()  # an empty line: nothing has changed
        finally:
            connection.close()

    def _learn(self, news, scope=None, moved=False):
        hops = []
        if not isinstance(news, dict) or not isinstance(news.get("hosts"), list) or "seq" not in news:
            raise ValueError(f"not a list of endpoints: {str(news)[:100]}")
        for host in news["hosts"]:
            try:
                hop = NextHop(
                    id=host["host"],
                    address=host["dial"],
                    dest=host["block"],
                    weight=float(host["share"]),
                    zone=self.told.zones.get(host["site"], 0),
                    kind=self.told.kinds.get(host["class"], 0),
                )
                hops.append((hop, STATES[host["health"]]))
            except (KeyError, TypeError, ValueError) as error:
                log("malformed_host", host=host, error=repr(error))
        if not moved:
            self.seq = news["seq"]
        scope = scope or (ListScope.FULL if news.get("whole") else ListScope.DELTA)
        self.courier.learn(scope, hops)
        if hops or scope is not ListScope.DELTA:
            changed = {hop.id: state.name for hop, state in hops} if scope is ListScope.DELTA else len(hops)
            log("list", scope=scope.name, seq=self.seq, hops=changed)
