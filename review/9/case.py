"""Discovery writes its lines slowly, and the courier never learns of a change.

The courier asks discovery, as on istanbul-main. The service answers each watch at once, but each line takes
1.5 s, in ten pieces. One endpoint of each destination drains, goes 8 s later, and its address is taken by a
new endpoint of another destination.
"""

import asyncio

from standins2.application import free_port
from standins2.case import START_TIMEOUT_S, Case, CouldNotRunError, main
from standins2.clients import Client, Message
from standins2.courier import write_platform_files
from standins2.http import Platform
from standins2.istanbul import DESTINATIONS, TOLD_S, Fleet, istanbul_settings

LINE_S = 1.5
DRAIN_AFTER_S = 5.0
GONE_AFTER_S = 8.0  # behind the drain
LENGTH_S = 30.0
MESSAGE_EVERY_S = 0.035  # 28 messages a second


async def play(case: Case) -> None:
    """Play the case."""
    fleet = Fleet(case)
    await fleet.start()
    entries = [dict(entry) for entry in fleet.entries]
    platform = Platform(entries, lambda id_, state: case.log(f"notice {id_} {state}"))
    platform.line_s = LINE_S if case.trouble else 0.0
    discovery = f"127.0.0.1:{await platform.start()}"
    port = free_port()
    listen, known = f"127.0.0.1:{port}", platform.whole()
    courier = case.courier(write_platform_files(case.folder, listen, discovery, known, istanbul_settings()))
    courier.start()
    client = Client(port)
    if not await client.wait_ready(START_TIMEOUT_S):
        raise CouldNotRunError("the courier was not ready in time")
    begin, number = case.now(), 0
    while (passed_s := case.now() - begin) < LENGTH_S:
        if not fleet.told_s and passed_s > DRAIN_AFTER_S:
            fleet.drain(platform, case.now() + TOLD_S)
        if not fleet.gone and passed_s > DRAIN_AFTER_S + GONE_AFTER_S:
            fleet.replace(platform)
        message = Message("trade-notice", number % DESTINATIONS, 24_000, tenant="")
        fleet.destination_of[message.id] = message.destination
        answer = await client.enqueue(message)
        case.log(f"handed in {message.id} for {message.destination}: {answer or 'no answer'}")
        number += 1
        await asyncio.sleep(MESSAGE_EVERY_S)
    case.log(f"{platform.watches} watches were opened")
    if fleet.calls < number // 2:
        raise CouldNotRunError("the endpoints got few of the messages")


main(__file__, play)
