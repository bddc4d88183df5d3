"""After discovery was down, couriers ask for the list again too late, and send to endpoints that have gone.

Eight couriers of a fleet of 48 ask one discovery service, as on istanbul-main. It is down for 8 s: watches
end, and calls get 503. Meanwhile one endpoint of each destination begins to drain. It goes 6.6 s after the
service is back, and its address is taken by a new endpoint of another destination.
"""

import asyncio
import json
import secrets
from typing import Any

from standins2.application import free_port
from standins2.case import START_TIMEOUT_S, Case, CouldNotRunError, main
from standins2.clients import Client, Message
from standins2.courier import Courier, write_platform_files
from standins2.http import Platform
from standins2.istanbul import DESTINATIONS, GRACE_S, TOLD_S, Fleet, istanbul_settings

FLEET = 48  # couriers in all; the others are not played
COURIERS = 8
DOWN_AT_S = 5.0
DOWN_S = 8.0
DRAIN_AT_S = 6.0
REPLACED_AT_S = DOWN_AT_S + DOWN_S + TOLD_S + GRACE_S + 0.05
LENGTH_S = 32.0
MESSAGE_EVERY_S = 0.2  # at each courier


async def hand_in(case: Case, fleet: Fleet, port: int) -> None:
    """Hand in messages at one courier until cancelled."""
    client, number = Client(port), 0
    while True:
        message = Message("trade-notice", number % DESTINATIONS, 24_000, tenant="")
        fleet.destination_of[message.id] = message.destination
        answer = await client.enqueue(message)
        case.log(f"handed in {message.id} for {message.destination} at {port}: {answer or 'no answer'}")
        number += 1
        await asyncio.sleep(MESSAGE_EVERY_S)


def start_courier(case: Case, number: int, discovery: str, known: dict[str, Any]) -> tuple[Courier, int]:
    """Start a courier in a folder of its own; return it and its port."""
    folder, port = case.folder / f"n{number}", free_port()
    folder.mkdir()
    environment = write_platform_files(
        folder, f"127.0.0.1:{port}", discovery, known, istanbul_settings(FLEET)
    )
    config = folder / "config.json"
    document = json.loads(config.read_text()) | {"name": f"n{number}", "seed": secrets.token_hex(8)}
    config.write_text(json.dumps(document))
    courier = case.courier(environment | {"RELAY_NAME": f"n{number}"}, folder=folder)
    courier.start()
    return courier, port


async def play(case: Case) -> None:
    """Play the case."""
    fleet = Fleet(case)
    await fleet.start()
    entries = [dict(entry) for entry in fleet.entries]
    platform = Platform(entries, lambda id_, state: case.log(f"notice {id_} {state}"))
    discovery = f"127.0.0.1:{await platform.start()}"
    known = platform.whole()
    started = [start_courier(case, number, discovery, known) for number in range(COURIERS)]
    for _, port in started:
        if not await Client(port).wait_ready(START_TIMEOUT_S):
            raise CouldNotRunError("a courier was not ready in time")
    begin = case.now()
    traffic = [asyncio.create_task(hand_in(case, fleet, port)) for _, port in started]
    await asyncio.sleep(DOWN_AT_S)
    if case.trouble:
        case.log("discovery is down")
        platform.go_down()
    await asyncio.sleep(DRAIN_AT_S - DOWN_AT_S)
    fleet.drain(platform, begin + DOWN_AT_S + DOWN_S + TOLD_S)
    await asyncio.sleep(DOWN_AT_S + DOWN_S - DRAIN_AT_S)
    platform.down = False
    case.log("discovery is up")
    watches = platform.watches
    await asyncio.sleep(REPLACED_AT_S - DOWN_AT_S - DOWN_S)
    case.log(f"{platform.watches - watches} watches were opened since")
    fleet.replace(platform)
    await asyncio.sleep(LENGTH_S - REPLACED_AT_S)
    for task in traffic:
        task.cancel()
    case.log(f"{platform.watches - watches} watches were opened since discovery was up")
    if any(courier.exit_code() is not None for courier, _ in started):
        raise CouldNotRunError("a courier has ended")
    if fleet.calls < len(fleet.destination_of) // 2:
        raise CouldNotRunError("the endpoints got few of the messages")


main(__file__, play)
