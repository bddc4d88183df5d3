"""Clients that submit a scenario's messages to real couriers, and resubmit them as the model says."""

from collections.abc import Sequence
from typing import Any

import anyio
from anyio.abc import TaskGroup

from pinspread.simulation.engine import MS, SECOND
from pinspread.simulation.random_streams import random_seed
from pinspread.testbed.clients import Client
from pinspread.testbed.courier_process import CourierProcess
from pinspread.testbed.platform_run import PlatformRun

ANSWER_TIMEOUT_S = 0.4
RETRY_INTERVAL_S = 0.2  # after a submission that no courier answered
RETURNED = "returned"
BODY = b"x" * 200
CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class ClientTraffic:
    """All clients of a run.

    The load is open-loop: a slow answer never delays a later message.
    """

    def __init__(self, run: PlatformRun, couriers: Sequence[CourierProcess], tasks: TaskGroup) -> None:
        self.run = run
        self.couriers = couriers
        self.tasks = tasks

    async def submit_all(self) -> None:
        """Submit each message at its arrival time."""
        for row, at_ns in enumerate(self.run.scenario.arrival_ns.tolist()):
            wait_s = self.run.engine.seconds_until(at_ns)
            if wait_s > 0:
                await anyio.sleep(wait_s)
            self.tasks.start_soon(self._submit, row)

    def on_final(self, notification: dict[str, Any]) -> None:
        """Handle a courier's notification of a final result."""
        run = self.run
        id_, state = notification["id"], notification["state"]
        row = run.row(id_)
        if run.finals.setdefault(id_, state) != state:
            return
        if run.delivered_ns[row] >= 0:
            return
        if state == RETURNED:
            self.tasks.start_soon(self._submit_returned, row, notification.get("after_ms", 0))
        else:
            run.ended_ns[row] = run.engine.now

    async def _submit(self, row: int) -> None:
        """Submit a message until it is accepted, its deadline passes, or its client gives up."""
        run = self.run
        deadline_ns = run.clients.deadline_ns(row)
        courier = None  # the courier of a submission that is still unanswered
        while True:
            left_ns = deadline_ns - run.engine.now
            if left_ns <= 0:
                run.ended_ns[row] = run.engine.now
                return
            # An unanswered submission may have been accepted. Submitted again under another id, or to another
            # courier, it would be a second message, and the client itself would cause a payment to run twice.
            courier = courier or self._select_courier(row)
            if self._message_id(row) in run.finals:
                return  # accepted, and its final result came before the answer
            answer = await self._enqueue(courier, row, left_ns // MS) if courier and courier.ready else ""
            if answer.startswith("+"):
                return
            if not answer.startswith("-BUSY"):
                run.unanswered += 1
                await anyio.sleep(RETRY_INTERVAL_S)
                continue
            courier = None
            run.rejected += 1
            answer_words = answer.split()
            if not await self._wait_before_retry(row, int(answer_words[1]) if len(answer_words) > 1 else 0):
                return

    async def _submit_returned(self, row: int, retry_after_ms: int) -> None:
        if await self._wait_before_retry(row, retry_after_ms):
            await self._submit(row)

    async def _wait_before_retry(self, row: int, retry_after_ms: int) -> bool:
        """Wait as long as the message's client does; false if the client does not submit it again."""
        wait_ns = self.run.clients.retry_delay_ns(row, retry_after_ms * MS)
        if wait_ns is None:
            self.run.ended_ns[row] = self.run.engine.now
            return False
        await anyio.sleep(wait_ns / SECOND)
        return True

    def _select_courier(self, row: int) -> CourierProcess | None:
        """The courier that the message's client uses, or the next one that is ready; None if none is."""
        preferred = self.run.clients.instance_of(row)
        candidates = [*self.couriers[preferred:], *self.couriers[:preferred]]
        return next((courier for courier in candidates if courier.ready), None)

    def _message_id(self, row: int) -> str:
        """The id of a message, which begins with its row; each retry of the client gets another id."""
        run = self.run
        retry_count = int(run.clients.retries[row])
        nonce = random_seed(run.scenario.seed, "id", row) & 0xFFFFFF
        return f"{row:08x}{retry_count:02x}{nonce:06x}"

    def _options(self, row: int, left_ms: int) -> str:
        model, scenario = self.run.model, self.run.scenario
        class_name = model.classes[scenario.class_index[row]].name
        tenant = model.teams[scenario.tenant_index[row]].name
        return f"c={class_name},t={tenant},d={left_ms},k={row:016x},dest={int(scenario.destination[row])}"

    async def _enqueue(self, courier: CourierProcess, row: int, left_ms: int) -> str:
        """Submit a message once and return the answer, which is empty if none came."""
        run = self.run
        id_ = self._message_id(row)
        key = str(int(run.scenario.ordering_key[row]))
        client = (
            courier.idle_clients.pop() if courier.idle_clients else Client(courier.address, reconnect=True)
        )
        run.accepted[id_] = row  # the courier may accept the message even if its answer is lost
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                answer = await client.say("ENQUEUE", key, id_, self._options(row, left_ms), BODY)
        except CONNECTION_ERRORS:
            run.accepted.pop(id_, None)
            if client.stream is not None:
                await client.stream.aclose()
            return ""
        if not answer.startswith("+"):
            run.accepted.pop(id_, None)
        courier.idle_clients.append(client)
        return answer
