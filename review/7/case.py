"""A broker's DNS-SD record changes its routing key, and payments go on to the old one.

Two partners have a queue each at one broker. The operators change the routing keys in both TXT records: the
first partner moves to a new queue, and the second takes over the first one's. Addresses and names stay.
"""

import asyncio

from standins2.application import free_port, write_file, write_records
from standins2.broker import Broker, Publish
from standins2.case import START_TIMEOUT_S, Case, CouldNotRunError, main
from standins2.clients import Client, Message
from standins2.http import Platform

BEFORE = {1: "queue-a", 2: "queue-b"}  # the routing key of each destination
AFTER = {1: "queue-c", 2: "queue-a"}
MESSAGE_EVERY_S = 0.1
CHANGE_AFTER_S = 5.0
TOLD_S = 6.0  # at the latest, after the change; the records are read every 0.5 s
GRACE_S = 0.25 + 0.05
LENGTH_S = 25.0


def records(port: int, keys: dict[int, str]) -> str:
    """Return the records of both partners at the broker's port."""
    lines = ["host A 127.0.0.1"]
    for destination, key in keys.items():
        name = f"partner{destination}._amqp._tcp"
        lines += [
            f"_amqp._tcp PTR {name}",
            f"{name} SRV 0 0 {port} host",
            f'{name} TXT "dest={destination}" "rate=20" "routing_key={key}"',
        ]
    return "\n".join(lines) + "\n"


class Queues:
    """What the broker got for its queues; it confirms each publish at once."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.destination_of: dict[str, int] = {}  # by message id
        self.changed_s = 0.0
        self.publishes = 0

    def on_publish(self, publish: Publish) -> None:
        """Check a publish against the records, and confirm it."""
        self.publishes += 1
        destination, key = self.destination_of[publish.message_id], publish.routing_key
        self.case.log(f"publish {publish.message_id} for {destination} to {key}, attempt {publish.attempt}")
        after_s = self.case.now() - self.changed_s if self.changed_s else 0.0
        allowed = {AFTER[destination]} if after_s > TOLD_S + GRACE_S else {BEFORE[destination]}
        if 0 < after_s <= TOLD_S + GRACE_S:
            allowed.add(AFTER[destination])
        if key not in allowed:
            owner = [number for number, name in AFTER.items() if name == key]
            self.case.breach(
                f"{after_s:.1f} s after the change, payment {publish.message_id} for destination "
                f"{destination} was published to {key}, which is the queue of destination {owner or 'nobody'}"
            )
        publish.confirm()


async def play(case: Case) -> None:
    """Play the case."""
    queues = Queues(case)
    broker_port = await Broker(queues.on_publish).start()
    platform = Platform([], lambda id_, state: case.log(f"notice {id_} {state}"))
    notices_port, port = await platform.start(), free_port()
    write_records(case.folder, records(broker_port, BEFORE))
    file = write_file(case.folder, port, notices_port)
    courier = case.courier({}, f"serve --app {file}")
    courier.start()
    client = Client(port)
    if not await client.wait_ready(START_TIMEOUT_S):
        raise CouldNotRunError("the courier was not ready in time")
    begin, number = case.now(), 0
    while case.now() - begin < LENGTH_S:
        if case.trouble and not queues.changed_s and case.now() - begin > CHANGE_AFTER_S:
            write_records(case.folder, records(broker_port, AFTER))
            queues.changed_s = case.now()
            case.log("the records have changed")
        message = Message("payment", 1 + number % 2, 20_000)
        queues.destination_of[message.id] = message.destination
        answer = await client.enqueue(message)
        case.log(f"handed in {message.id} for {message.destination}: {answer or 'no answer'}")
        number += 1
        await asyncio.sleep(MESSAGE_EVERY_S)
    if queues.publishes < number // 2:
        raise CouldNotRunError(f"the broker got {queues.publishes} of {number} payments")


main(__file__, play)
