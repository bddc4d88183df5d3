"""The platform's discovery: a watch that is opened again whenever it breaks or falls silent."""

import anyio
import orjson

from pinspread.core.log import log
from pinspread.core.transactions import NextHop
from pinspread.interface import ListScope, ListState
from pinspread.net.http import Exchange
from pinspread.net.sockets import dial

SILENT_S = 5.0  # an empty line comes every 2 s
AGAIN_S = 0.2
MOST_LINE = 4 << 20
STATES = {"ready": ListState.READY, "draining": ListState.DRAINING, "gone": ListState.GONE}


class Discovery:
    """Follows the list of endpoints and hands what changes to the core."""

    def __init__(self, address, courier, told):
        self.address = address
        self.courier = courier
        self.told = told
        self.seq = 0

    def start(self):
        """The list as the courier had it last, from its configuration."""
        self._learn(self.told.known, ListScope.CACHED)

    def ask(self):
        """The module asks for the list's changes: the watch brings them anyhow."""
        self.courier.learn(ListScope.DELTA, [])

    async def run(self):
        """Watch until cancelled."""
        while True:
            try:
                await self._watch()
            except (OSError, ValueError, TimeoutError) as error:
                log("watch_broke", error=str(error) or type(error).__name__)
            await anyio.sleep(AGAIN_S)

    async def _watch(self):
        with anyio.fail_after(SILENT_S):
            connection = await dial(self.address)
        try:
            exchange = Exchange(connection)
            with anyio.fail_after(SILENT_S):
                await exchange.request("GET", f"/api/targets?watch=1&from={self.seq}", self.address)
                status, _ = await exchange.response()
            if status != 200:
                raise ValueError(f"discovery answered {status}")
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
                        self._learn(orjson.loads(line))
        finally:
            connection.close()

    def _learn(self, news, scope=None):
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
        self.seq = news["seq"]
        scope = scope or (ListScope.FULL if news.get("whole") else ListScope.DELTA)
        self.courier.learn(scope, hops)
        if hops or scope is not ListScope.DELTA:
            changed = {hop.id: state.name for hop, state in hops} if scope is ListScope.DELTA else len(hops)
            log("list", scope=scope.name, seq=self.seq, hops=changed)
