"""A broker hangs, and the courier publishes a message again while its first publish is still out.

The broker reads publishes and does not confirm them for a while, as an endpoint that hangs in the middle of
its work. It confirms everything afterwards.
"""

import asyncio

from standins2.application import free_port, write_file, write_records
from standins2.broker import Broker, Publish
from standins2.case import START_TIMEOUT_S, Case, CouldNotRunError, main
from standins2.clients import Client, Message
from standins2.http import Platform

CLASSES = {"booking-change": 24_000, "status-update": 16_000, "payment": 20_000}  # with their deadlines, ms
MESSAGE_EVERY_S = 0.3
HANG_AFTER_S = 5.0
HANG_S = 12.0  # 9 to 15 s
REST_S = 6.0

RECORDS = """host A 127.0.0.1
_amqp._tcp PTR bank._amqp._tcp
bank._amqp._tcp SRV 0 0 {port} host
bank._amqp._tcp TXT "dest=1" "rate=20"
"""


class Publishes:
    """The publishes that the broker got."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.hangs = False
        self.all: list[Publish] = []

    def on_publish(self, publish: Publish) -> None:
        """Look for an earlier publish of the message that is still out, and confirm this one if it may be."""
        self.case.log(f"publish {publish.message_id}, attempt {publish.attempt}")
        for earlier in self.all:
            out = not earlier.confirmed and earlier.connection.open
            if out and earlier.message_id == publish.message_id:
                self.case.breach(
                    f"{self.case.now():.1f} s: attempt {publish.attempt} of {publish.message_id} arrived "
                    f"while attempt {earlier.attempt} was unconfirmed on an open connection"
                )
        self.all.append(publish)
        if not self.hangs:
            publish.confirm()

    def resume(self) -> None:
        """Confirm all that is unconfirmed."""
        self.hangs = False
        for publish in self.all:
            if not publish.confirmed:
                publish.confirm()


async def play(case: Case) -> None:
    """Play the case."""
    publishes = Publishes(case)
    broker_port = await Broker(publishes.on_publish).start()
    platform = Platform([], lambda id_, state: case.log(f"notice {id_} {state}"))
    notices_port, port = await platform.start(), free_port()
    write_records(case.folder, RECORDS.format(port=broker_port))
    file = write_file(case.folder, port, notices_port)
    courier = case.courier({}, f"serve --app {file}")
    courier.start()
    client = Client(port)
    if not await client.wait_ready(START_TIMEOUT_S):
        raise CouldNotRunError("the courier was not ready in time")
    begin, number, resumed = case.now(), 0, False
    while (passed_s := case.now() - begin) < HANG_AFTER_S + HANG_S + REST_S:
        hangs = case.trouble and HANG_AFTER_S < passed_s < HANG_AFTER_S + HANG_S
        if hangs and not publishes.hangs:
            publishes.hangs = True
            case.log("the broker hangs")
        elif publishes.hangs and not hangs and not resumed:
            resumed = True
            publishes.resume()
            case.log("the broker goes on")
        class_name = list(CLASSES)[number % len(CLASSES)]
        key = f"{number + 1:x}" if class_name == "booking-change" else "0"
        message = Message(class_name, 1, CLASSES[class_name], key)
        answer = await client.enqueue(message)
        case.log(f"handed in {message.id} {class_name}: {answer or 'no answer'}")
        number += 1
        await asyncio.sleep(MESSAGE_EVERY_S)
    if len(publishes.all) < number // 2:
        raise CouldNotRunError(f"the broker got {len(publishes.all)} publishes for {number} messages")


main(__file__, play)
