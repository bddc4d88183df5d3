"""Discovery writes its lines slowly, and the courier never learns that endpoints drain.

The agent answers each watch at once, but each line takes 1.5 s, in ten pieces. One endpoint of each
destination begins to drain a few seconds after the start.
"""

import asyncio

from standins2.application import free_port
from standins2.case import START_TIMEOUT_S, Case, CouldNotRunError, main
from standins2.clients import Client, Message
from standins2.courier import settings, write_platform_files
from standins2.http import Endpoint, Platform, Request, response

ENDPOINTS = 20
DESTINATIONS = 10
LINE_S = 1.5
DRAIN_AFTER_S = 5.0
TOLD_S = 6.0  # a change counts as told by then
GRACE_S = 0.25 + 0.05
LENGTH_S = 30.0
MESSAGE_EVERY_S = 0.035  # 28 messages a second
SERVICE_S = 0.1


class Fleet:
    """The endpoints, and what they get."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.entries: list[dict] = []
        self.draining: set[str] = set()
        self.drained_s = 0.0
        self.calls = 0

    async def start(self) -> None:
        """Listen for each endpoint."""
        for number in range(ENDPOINTS):
            endpoint = Endpoint(f"s-{number:08x}", number % DESTINATIONS, self._on_call)
            self.entries.append(
                {
                    "host": endpoint.name,
                    "dial": await endpoint.start(),
                    "site": "addis",
                    "class": "small-partner",
                    "block": endpoint.block,
                    "health": "ready",
                    "share": 10.0,
                    "born_ms": 0,
                }
            )

    def drain(self, platform: Platform) -> None:
        """Let one endpoint of each destination drain."""
        changes = [entry | {"health": "draining"} for entry in self.entries[:DESTINATIONS]]
        self.draining = {entry["host"] for entry in changes}
        self.drained_s = self.case.now()
        platform.change(changes)
        self.case.log(f"draining: {sorted(self.draining)}")

    async def _on_call(self, endpoint: Endpoint, request: Request) -> bytes:
        self.calls += 1
        self.case.log(f"call {request.headers.get('request-id')} at {endpoint.name}")
        after_s = self.case.now() - self.drained_s
        if endpoint.name in self.draining and after_s > TOLD_S + GRACE_S:
            self.case.breach(f"{endpoint.name} got a new call {after_s:.2f} s after it began to drain")
        await asyncio.sleep(SERVICE_S)
        return response(200, "OK")


async def play(case: Case) -> None:
    """Play the case."""
    fleet = Fleet(case)
    await fleet.start()
    platform = Platform(fleet.entries, lambda id_, state: case.log(f"notice {id_} {state}"))
    platform.line_s = LINE_S if case.trouble else 0.0
    discovery = f"127.0.0.1:{await platform.start()}"
    port = free_port()
    known = platform.whole()
    courier = case.courier(
        write_platform_files(case.folder, f"127.0.0.1:{port}", discovery, known, settings())
    )
    courier.start()
    client = Client(port)
    if not await client.wait_ready(START_TIMEOUT_S):
        raise CouldNotRunError("the courier was not ready in time")
    begin, number = case.now(), 0
    while case.now() - begin < LENGTH_S:
        if not fleet.draining and case.now() - begin > DRAIN_AFTER_S:
            fleet.drain(platform)
        message = Message("status-update", number % DESTINATIONS, 16_000)
        answer = await client.enqueue(message)
        case.log(f"handed in {message.id} for {message.destination}: {answer or 'no answer'}")
        number += 1
        await asyncio.sleep(MESSAGE_EVERY_S)
    case.log(f"{platform.watches} watches were opened")
    if fleet.calls < number // 2:
        raise CouldNotRunError("the endpoints got few of the messages")


main(__file__, play)
