"""Traffic of a cluster test: clients of every courier, one destination, and the platform.

A share of the messages is published over AMQP, with confirms; their final results are consumed at every
courier. A client that gets no answer submits the same message to the same courier again until its deadline.
The events go to the history, where `ledger` reads them.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from itertools import count

import anyio
import orjson
from anyio.abc import TaskGroup
from pamqp import commands

from pinspread import sockets
from pinspread.testbed.clients import AmqpClient, Client
from pinspread.testbed.cluster_scenario import TrafficScenario
from pinspread.testbed.history import History
from pinspread.testbed.member_configuration import AMQP_PORT, RESP_PORT, Address, ClusterAddresses
from pinspread.testbed.member_process import MemberProcess
from pinspread.testbed.stand_ins import HttpStandIn, ReceivedRequest, Response

CLASS_SHARES = {"payment": 0.4, "booking-change": 0.4, "status-update": 0.2}
ORDERED_CLASS = "booking-change"
LOOP_CLASS = "status-update"
KEYS = 8
ANSWER_TIMEOUT_S = 1.0
RESUBMIT_INTERVAL_S = 0.3
RECONNECT_INTERVAL_S = 0.2
MAX_ANSWER = 200  # characters of a refusal that the history keeps
ACCEPTED = "+OK"
BUSY = "-BUSY"


@dataclass(frozen=True)
class Submission:
    """A message as a client submits it; `key` is the ordering key, 0 for none."""

    id: str
    class_name: str
    key: int = 0


Submit = Callable[[str, Submission, int], Awaitable[str]]


class Traffic:
    """The clients of all couriers, with the destination and the platform as stand-ins.

    Attributes:
        rng: The source of all its random numbers.
        scope: The cancel scope of all its tasks; None until `run` is called.
    """

    def __init__(
        self,
        scenario: TrafficScenario,
        addresses: ClusterAddresses,
        history: History,
        couriers: Sequence[MemberProcess],
    ) -> None:
        self.scenario = scenario
        self.addresses = addresses
        self.history = history
        self.couriers = couriers
        self.rng = random.Random(scenario.seed)
        self.scope: anyio.CancelScope | None = None

    async def run(self, serving: asyncio.Event) -> None:
        """Run the stand-ins, and once `serving` is set the clients, until cancelled."""
        with anyio.CancelScope() as self.scope:
            async with anyio.create_task_group() as tasks:
                self._serve(tasks, self.addresses.destination, HttpStandIn(self._deliver))
                self._serve(tasks, self.addresses.platform, HttpStandIn(self._receive_notifications))
                await serving.wait()
                for courier in self.couriers:
                    if not self.scenario.at or courier.id in self.scenario.at:
                        self._start_clients(tasks, courier)

    @staticmethod
    def _serve(tasks: TaskGroup, address: Address, stand_in: HttpStandIn) -> None:
        sock = sockets.listen(f"{address[0]}:{address[1]}")
        tasks.start_soon(stand_in.run, sock)

    def _start_clients(self, tasks: TaskGroup, courier: MemberProcess) -> None:
        for number in range(self.scenario.loops):
            tasks.start_soon(self._submit_in_loop, courier, number)
        if not self.scenario.loops:
            tasks.start_soon(self._submit_at_rate, tasks, courier)
        if self.scenario.amqp_share:
            tasks.start_soon(self._consume_finals, courier)

    async def _deliver(self, request: ReceivedRequest) -> Response:
        """Answer a call or health check as the destination, and record a delivery."""
        if request.method != "POST":
            return 200, [], b""
        if self.rng.random() < self.scenario.busy_share:
            return 503, [], b""
        self.history.add("partner", "delivered", id=request.body.decode())
        await anyio.sleep(self.scenario.slow_s * self.rng.random())
        return 200, [], b""

    def _receive_notifications(self, request: ReceivedRequest) -> Response:
        """Answer as the platform, and record the final results."""
        for line in request.body.splitlines():
            final = orjson.loads(line)
            self.history.add("platform", "final", id=final["id"], state=final["state"])
        return 204, [], b""

    async def _submit_at_rate(self, tasks: TaskGroup, courier: MemberProcess) -> None:
        """Submit messages as a Poisson process, each from its own client."""
        end_s = anyio.current_time() + self.scenario.for_s
        for serial in count(1):
            if anyio.current_time() >= end_s:
                return
            class_name = self.rng.choices(list(CLASS_SHARES), list(CLASS_SHARES.values()))[0]
            submit = submit_by_amqp if self.rng.random() < self.scenario.amqp_share else submit_by_resp
            key = self.rng.randrange(1, KEYS) if class_name == ORDERED_CLASS else 0
            submission = Submission(f"{courier.id}-{serial}", class_name, key)
            tasks.start_soon(self._submit, submit, courier, submission)
            await anyio.sleep(self.rng.expovariate(self.scenario.rate))

    async def _submit_in_loop(self, courier: MemberProcess, number: int) -> None:
        """Submit messages as one client that waits for each to be settled before it submits the next."""
        end_s = anyio.current_time() + self.scenario.for_s
        for serial in count(1):
            if anyio.current_time() >= end_s:
                return
            submission = Submission(f"{courier.id}-{number}-{serial}", LOOP_CLASS)
            await self._submit(submit_by_resp, courier, submission)

    async def _submit(self, submit: Submit, courier: MemberProcess, submission: Submission) -> None:
        """Submit a message until it is acknowledged or refused, or its deadline is near."""
        deadline_s = anyio.current_time() + self.scenario.deadline_s
        while (left_s := deadline_s - anyio.current_time()) > ANSWER_TIMEOUT_S:
            began_s = anyio.current_time()
            answer = await self._answer(submit(courier.real[0], submission, int(left_s * 1000)))
            if answer.startswith(ACCEPTED):
                took_us = int((anyio.current_time() - began_s) * 1e6)
                fields = {"id": submission.id, "cls": submission.class_name, "key": submission.key}
                self.history.add(courier.id, "acked", **fields, took_us=took_us)
                return
            if answer.startswith(BUSY):
                self.history.add(courier.id, "turned_away", id=submission.id)
            elif answer:
                self.history.add(courier.id, "refused", id=submission.id, said=answer[:MAX_ANSWER])
                return
            await anyio.sleep(RESUBMIT_INTERVAL_S)

    @staticmethod
    async def _answer(submission: Awaitable[str]) -> str:
        """The answer to a submission; empty if none comes within `ANSWER_TIMEOUT_S`."""
        try:
            with anyio.move_on_after(ANSWER_TIMEOUT_S):
                return await submission
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            pass
        return ""

    async def _consume_finals(self, courier: MemberProcess) -> None:
        """Consume the final results of messages published to a courier, over its restarts."""
        while True:
            client = None
            try:
                client = await AmqpClient.open(f"{courier.real[0]}:{AMQP_PORT}", confirms=False)
                await client.consume()
                while True:
                    final, _ = await client.next_final()
                    self.history.add("platform", "final", id=final["id"], state=final["state"])
            except (OSError, TimeoutError):
                await anyio.sleep(RECONNECT_INTERVAL_S)
            finally:
                if client:
                    client.close()


async def submit_by_resp(host: str, submission: Submission, time_left_ms: int) -> str:
    """Submit a message over RESP2 and return the answer."""
    client = Client(f"{host}:{RESP_PORT}")
    id_ = submission.id
    options = f"c={submission.class_name},t=all,d={time_left_ms},k={id_},dest=1"
    try:
        return await client.say("ENQUEUE", str(submission.key), id_, options, id_.encode())
    finally:
        if client.stream is not None:
            with anyio.CancelScope(shield=True):
                await client.stream.aclose()


async def submit_by_amqp(host: str, submission: Submission, time_left_ms: int) -> str:
    """Publish a message over AMQP and wait for its confirm.

    Returns:
        The equivalent answer of RESP2: `ACCEPTED` or `BUSY`; empty if the courier's next method is neither a
        confirm nor a return.
    """
    client = await AmqpClient.open(f"{host}:{AMQP_PORT}")
    id_ = submission.id
    headers = {"key": f"{submission.key:x}", "idempotency-key": id_}
    try:
        await client.publish(id_, submission.class_name, id_.encode(), time_left_ms, tenant="all", **headers)
        method, _, _ = await client.next()
        if isinstance(method, commands.Basic.Ack):
            return ACCEPTED
        return BUSY if isinstance(method, commands.Basic.Return | commands.Basic.Nack) else ""
    finally:
        client.close()
