"""Clients that submit random messages to a courier's RESP2 front and report them to a delivery ledger."""

import random
import time
from collections.abc import Sequence
from dataclasses import dataclass

import anyio

from pinspread.testbed.clients import Client
from pinspread.testbed.delivery_ledger import ClassRules, DeliveryLedger, SubmittedMessage

ANSWER_TIMEOUT_S = 0.4
MS_PER_S = 1000
MAX_RESTART_S = 8.0  # that a restart and what is notified after it may take
CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
# The rules of the classes of `courier_settings`.
CLASS_RULES = {
    "booking-change": ClassRules(repeat_window_s=25.0, in_order=True),
    "status-update": ClassRules(repeat_window_s=float("inf")),
    "payment": ClassRules(repeat_window_s=0.0),
}


@dataclass(frozen=True)
class Load:
    """What clients submit.

    Attributes:
        clients: How many clients there are; each waits for an answer before its next message, and has its
            own ordering keys.
        interval_s: The mean pause of a client between two messages.
        deadline_s: The time that a message has.
        keys: How many ordering keys a client uses.
        destinations: The numbers of the destinations.
    """

    clients: int = 12
    interval_s: float = 0.15
    deadline_s: float = 3.0
    keys: int = 2
    destinations: Sequence[int] = (1,)


class MessageSource:
    """Draws the messages of one client.

    Args:
        prefix: What the ids begin with.
        number: The client's number, which its keys contain.
        load: What it submits.
        seed: The seed of the draws.
    """

    def __init__(self, prefix: str, number: int, load: Load, seed: int) -> None:
        self._prefix = prefix
        self._number = number
        self._load = load
        self._random = random.Random(f"{seed}.{prefix}")
        self._count = 0

    def next_message(self) -> SubmittedMessage:
        """Draw the next message, which is submitted now."""
        draw = self._random
        self._count += 1
        class_name = draw.choice(list(CLASS_RULES))
        key = f"{self._number + 1:x}{draw.randrange(self._load.keys):x}"
        now_s = time.monotonic()
        return SubmittedMessage(
            id=f"{self._prefix}m{self._count}",
            class_name=class_name,
            key=key if CLASS_RULES[class_name].in_order else "0",
            destination=draw.choice(self._load.destinations),
            submitted_s=now_s,
            deadline_s=now_s + self._load.deadline_s,
        )


class LedgerClient:
    """One client.

    Args:
        number: Its number, which its message ids and keys contain.
        address: The courier's address, host:port.
        ledger: Receives each message and whether it was accepted.
        load: What it submits.
        seed: The seed of its random choices.
    """

    def __init__(self, number: int, address: str, ledger: DeliveryLedger, load: Load, seed: int) -> None:
        self._address = address
        self._ledger = ledger
        self._load = load
        self._random = random.Random(f"{seed}.pause.{number}")
        self._source = MessageSource(f"c{number}", number, load, seed)
        self._client = Client(address, reconnect=True)

    async def run(self) -> None:
        """Submit messages until cancelled."""
        while True:
            await anyio.sleep(self._random.expovariate(1 / self._load.interval_s))
            await self._submit()

    async def _submit(self) -> None:
        message = self._source.next_message()
        self._ledger.submitted(message)
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                answer = await self._client.enqueue(
                    message.class_name,
                    message.id,
                    message.key,
                    int(self._load.deadline_s * MS_PER_S),
                    dest=message.destination,
                )
        except CONNECTION_ERRORS:
            await self._reconnect()
            return
        if answer.startswith("+"):
            self._ledger.accepted(message.id)

    async def _reconnect(self) -> None:
        if self._client.stream is not None:
            with anyio.CancelScope(shield=True):
                await self._client.stream.aclose()
        self._client = Client(self._address, reconnect=True)


async def submit_for(
    seconds: float, address: str, ledger: DeliveryLedger, seed: int, load: Load | None = None
) -> None:
    """Run clients for some seconds, then wait until all that was accepted has ended or is overdue."""
    load = load or Load()
    async with anyio.create_task_group() as tasks:
        for number in range(load.clients):
            tasks.start_soon(LedgerClient(number, address, ledger, load, seed).run)
        await anyio.sleep(seconds)
        tasks.cancel_scope.cancel()
    await wait_until_resolved(ledger, load)


async def wait_until_resolved(ledger: DeliveryLedger, load: Load) -> None:
    """Wait until all accepted messages have ended, or are overdue."""
    overdue_s = time.monotonic() + load.deadline_s + MAX_RESTART_S
    while ledger.unresolved() and time.monotonic() < overdue_s:
        await anyio.sleep(0.02)
