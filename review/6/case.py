"""A courier that is killed while discovery is down sends messages to another destination's endpoint.

Half of the endpoints are replaced under new ids. The courier is told of each, and keeps the departures in its
folder. It is killed while discovery is down, and starts with the list that it was configured with.
"""

import asyncio
import random

from standins2.application import free_port
from standins2.case import START_TIMEOUT_S, Case, CouldNotRunError, main
from standins2.clients import Client, Message
from standins2.courier import settings, write_platform_files
from standins2.http import Endpoint, Platform, Request, response

ENDPOINTS = 800  # at most 3,200
DESTINATIONS = 450  # 1.8 endpoints each
REPLACED = 416  # 52% of the endpoints
STEP = 8  # endpoints that are replaced together
STEP_S = 0.55  # 52 steps in 29 s
DOWN_S = 8.0  # discovery is silent so long
MESSAGE_EVERY_S = 0.035  # 28 messages a second
SERVICE_S = 0.1


class Fleet:
    """The endpoints behind their addresses, and what each call met there."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.random = random.Random(7)
        self.entries: list[dict] = []
        self.endpoints: dict[str, Endpoint] = {}  # by address
        self.at_address: dict[str, dict] = {}  # the entry of the endpoint that now has the address
        self.destination_of: dict[str, int] = {}  # by message id
        self.calls = 0

    async def start(self) -> None:
        """Listen at an address for each endpoint."""
        for number in range(ENDPOINTS):
            address = await self._listen()
            self.at_address[address] = self._entry(address, number % DESTINATIONS)
        self.entries = list(self.at_address.values())

    async def _listen(self) -> str:
        endpoint = Endpoint("", 0, self._on_call)
        address = endpoint.name = await endpoint.start()
        self.endpoints[address] = endpoint
        return address

    def _entry(self, address: str, block: int) -> dict:
        return {
            "host": f"s-{self.random.getrandbits(32):08x}",
            "dial": address,
            "site": "addis",
            "class": "small-partner",
            "block": block,
            "health": "ready",
            "share": 10.0,
            "born_ms": 0,
        }

    async def replace(self, leaving: list[dict]) -> list[dict]:
        """Let endpoints that drain go; return the changes.

        Each destination gets a new endpoint for one that has gone. Every second one listens at the address of
        one that has gone, which was of another destination; the other addresses refuse connections.
        """
        changes = []
        blocks = [entry["block"] for entry in leaving]
        for number, (entry, block) in enumerate(zip(leaving, blocks[1:] + blocks[:1], strict=True)):
            entry["health"] = "gone"
            changes.append(dict(entry))
            address = entry["dial"]
            if number % 2:
                self.endpoints.pop(address).stop()
                address = await self._listen()
            new = self.at_address[address] = self._entry(address, block)
            changes.append(dict(new))
        return changes

    async def _on_call(self, endpoint: Endpoint, request: Request) -> bytes:
        here = self.at_address[endpoint.name]
        message_id = request.headers.get("request-id", "")
        destination = self.destination_of.get(message_id)
        self.calls += 1
        self.case.log(f"call {message_id} for {destination} at {here['host']} of {here['block']}")
        if destination != here["block"]:
            self.case.breach(
                f"message {message_id} for destination {destination} was sent to {here['host']}, "
                f"an endpoint of destination {here['block']}"
            )
            return response(400, "Bad Request")
        await asyncio.sleep(SERVICE_S)
        return response(200, "OK")


async def hand_in(case: Case, fleet: Fleet, port: int) -> None:
    """Hand in a message for each destination in turn, until cancelled."""
    client = Client(port)
    for number in range(1_000_000):
        message = Message("status-update", number % DESTINATIONS, 16_000)
        fleet.destination_of[message.id] = message.destination
        answer = await client.enqueue(message)
        case.log(f"handed in {message.id} for {message.destination}: {answer or 'no answer'}")
        await asyncio.sleep(MESSAGE_EVERY_S)


async def replace_endpoints(fleet: Fleet, platform: Platform) -> None:
    """Replace the endpoints in steps: some drain, and go one step later."""
    leaving: list[dict] = []
    for start in range(0, REPLACED + STEP, STEP):
        changes = await fleet.replace(leaving)
        leaving = fleet.entries[start : min(start + STEP, REPLACED)]
        for entry in leaving:
            entry["health"] = "draining"
            changes.append(dict(entry))
        platform.change(changes)
        await asyncio.sleep(STEP_S)


async def play(case: Case) -> None:
    """Play the case."""
    fleet = Fleet(case)
    await fleet.start()
    platform = Platform(
        [dict(entry) for entry in fleet.entries], lambda id_, state: case.log(f"notice {id_} {state}")
    )
    discovery = f"127.0.0.1:{await platform.start()}"
    port = free_port()
    known = platform.whole()
    environment = write_platform_files(
        case.folder, f"127.0.0.1:{port}", discovery, known, settings(calls_out=16)
    )
    courier = case.courier(environment)
    courier.start()
    if not await Client(port).wait_ready(START_TIMEOUT_S):
        raise CouldNotRunError("the courier was not ready in time")
    traffic = asyncio.create_task(hand_in(case, fleet, port))
    await replace_endpoints(fleet, platform)
    await asyncio.sleep(2.0)
    if case.breaches:
        raise CouldNotRunError("a breach before the disruption")
    if case.trouble:
        platform.silent = True
        case.log("discovery is down, SIGKILL")
        courier.kill()
        await asyncio.sleep(0.6)
        courier.start()
        case.log("started again")
        if not await Client(port).wait_ready(START_TIMEOUT_S):
            raise CouldNotRunError("the courier was not ready again in time")
        case.log("ready again")
    await asyncio.sleep(DOWN_S - 1.0)
    platform.silent = False
    case.log("discovery is up")
    await asyncio.sleep(3.0)
    traffic.cancel()
    if not fleet.calls:
        raise CouldNotRunError("no endpoint got a call")
    if courier.exit_code() is not None:
        raise CouldNotRunError("the courier has ended")


main(__file__, play)
