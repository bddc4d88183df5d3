"""AMQP publishers and a consumer of final results that report to a delivery ledger."""

import random
from itertools import count

import anyio
from pamqp import commands

from pinspread.amqp.errors import AmqpError
from pinspread.testbed.clients import AmqpClient
from pinspread.testbed.delivery_ledger import DeliveryLedger
from pinspread.testbed.ledger_clients import CONNECTION_ERRORS, MS_PER_S, Load, MessageSource

CONFIRM_TIMEOUT_S = 0.4
RECONNECT_S = 0.02
FIRST_KEY = 256  # the keys of publishers differ from those of other clients
NOTIFIED_STATES = ("failed", "returned")
PUBLISHER_ERRORS = (*CONNECTION_ERRORS, AmqpError, AssertionError)


class LedgerPublisher:
    """One publisher, with publisher confirms; it connects again whenever its connection is lost.

    Args:
        number: Its number, which its message ids and keys contain.
        address: The address of the courier's AMQP front, host:port.
        ledger: Receives each message and whether it was confirmed.
        load: What it publishes.
        seed: The seed of its random choices.
    """

    def __init__(self, number: int, address: str, ledger: DeliveryLedger, load: Load, seed: int) -> None:
        self._address = address
        self._ledger = ledger
        self._load = load
        self._random = random.Random(f"{seed}.pause.{number}")
        self._source = MessageSource(f"a{number}", FIRST_KEY + number, load, seed)

    async def run(self) -> None:
        """Publish messages until cancelled."""
        while True:
            try:
                client = await AmqpClient.open(self._address)
            except PUBLISHER_ERRORS:
                await anyio.sleep(RECONNECT_S)
                continue
            try:
                for tag in count(1):
                    await anyio.sleep(self._random.expovariate(1 / self._load.interval_s))
                    await self._publish(client, tag)
            except PUBLISHER_ERRORS:
                continue
            finally:
                client.close()

    async def _publish(self, client: AmqpClient, tag: int) -> None:
        message = self._source.next_message()
        message.ordered_by_ack = False
        self._ledger.submitted(message)
        await client.publish(
            message.id,
            message.class_name,
            for_ms=int(self._load.deadline_s * MS_PER_S),
            dest=message.destination,
            key=message.key,
        )
        with anyio.fail_after(CONFIRM_TIMEOUT_S):
            if await _is_confirmed(client, tag):
                self._ledger.accepted(message.id)


async def _is_confirmed(client: AmqpClient, tag: int) -> bool:
    """Read up to the confirm of a publish, past the message that a rejection returns first."""
    while True:
        method = (await client.next()).method
        if isinstance(method, commands.Basic.Ack | commands.Basic.Nack) and method.delivery_tag == tag:
            return isinstance(method, commands.Basic.Ack)


async def consume_results(address: str, ledger: DeliveryLedger) -> None:
    """Consume the final results of all publishers and acknowledge them, until cancelled."""
    while True:
        try:
            client = await AmqpClient.open(address, confirms=False)
        except PUBLISHER_ERRORS:
            await anyio.sleep(RECONNECT_S)
            continue
        try:
            await client.consume()
            ledger.consumer_connected()
            while True:
                await _take_result(client, ledger)
        except PUBLISHER_ERRORS as error:
            ledger.consumer_lost(repr(error))
        finally:
            client.close()


async def _take_result(client: AmqpClient, ledger: DeliveryLedger) -> None:
    try:
        result, _ = await client.next_final()
    except TimeoutError:
        return  # no result for some seconds
    if result["state"] in NOTIFIED_STATES:
        ledger.notification_arrived(result["id"])
        ledger.notified(result["id"])
