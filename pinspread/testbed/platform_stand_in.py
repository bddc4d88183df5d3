"""The platform as one courier sees it: endpoint discovery, and the receiver of final results."""

import asyncio
from collections.abc import Callable
from typing import Any, NoReturn

import anyio
import orjson

from pinspread import sockets
from pinspread.simulation.destination import Endpoint
from pinspread.testbed.platform_run import PlatformRun
from pinspread.testbed.stand_ins import Answer, HttpStandIn, ReceivedRequest

READY = "ready"
DRAINING = "draining"
GONE = "gone"
EMPTY_LINE_INTERVAL_S = 2.0
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class PlatformStandIn(HttpStandIn):
    """Discovery and the receiver of notifications for one courier.

    Attributes:
        health: The last health sent to the courier of each endpoint that has changed.
    """

    def __init__(self, run: PlatformRun, courier: int, on_final: Callable[[dict[str, Any]], None]) -> None:
        """Create a stand-in; `on_final` is called with each notification."""
        super().__init__()
        self.run_state = run
        self.courier = courier
        self.on_final = on_final
        self.watchers: set[asyncio.Queue[dict[str, Any]]] = set()
        self.health: dict[int, str] = {}
        self.sequence = 1

    def update(self, endpoint: Endpoint, health: str) -> None:
        """Send a change of an endpoint to the courier's watches."""
        self.sequence += 1
        self.health[endpoint.id] = health
        entry = self._entry(endpoint) | {"health": health}
        for queue in self.watchers:
            queue.put_nowait({"seq": self.sequence, "whole": False, "hosts": [entry]})

    def endpoint_list(self) -> dict[str, Any]:
        """The full endpoint list, in the form that is sent to the courier."""
        hosts = []
        for endpoint in self.run_state.endpoints.values():
            known_from_start = endpoint.id <= self.run_state.initial_endpoints
            health = self.health.get(endpoint.id, READY if known_from_start else GONE)
            if health != GONE:
                hosts.append(self._entry(endpoint) | {"health": health})
        return {"seq": self.sequence, "whole": True, "hosts": hosts}

    def _entry(self, endpoint: Endpoint) -> dict[str, Any]:
        spec = endpoint.destination.spec
        return {
            "host": f"e{endpoint.id}",
            "dial": self.run_state.addresses.endpoint(self.courier, endpoint.id),
            "site": "local",
            "class": "big" if spec.large else "small",
            "block": spec.number,
            "health": READY,
            "share": spec.weight,
            "born_ms": 0,
        }

    def reply(self, request: ReceivedRequest, connection: sockets.Connection, first: bool) -> Answer:
        """Receive notifications, open a watch, or answer with the endpoint list."""
        if request.method == "POST":
            for line in request.body.splitlines():
                self.on_final(orjson.loads(line))
            return 204, [], b""
        if "watch=1" in request.target:
            return self._watch(connection)
        return 200, [], orjson.dumps(self.endpoint_list())

    async def _watch(self, connection: sockets.Connection) -> NoReturn:
        await connection.write(WATCH_HEAD)
        line = orjson.dumps(self.endpoint_list()) + b"\n"
        updates: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.watchers.add(updates)
        try:
            while True:
                await connection.write(b"%x\r\n%s\r\n" % (len(line), line))
                line = b"\n"
                with anyio.move_on_after(EMPTY_LINE_INTERVAL_S):
                    line = orjson.dumps(await updates.get()) + b"\n"
        finally:
            self.watchers.discard(updates)
