"""Servers whose answers arrive twice, late, in pieces or not at all, as a seed decides; endpoints among them.

Each judged request goes to a `DeliveryLedger` with its true answer. Whatever else is written is none.
"""

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple, Protocol

import anyio
import h11

from pinspread import sockets
from pinspread.testbed.delivery_ledger import DELIVERED_STATUS, DeliveryLedger
from pinspread.testbed.endpoint_stand_in import reset_connection
from pinspread.testbed.stand_ins import (
    Headers,
    HttpStandIn,
    ReceivedRequest,
    encode_response,
    read_request,
)

CALL_PATH = "/events"
FIRST_REFUSAL_STATUS = 300
PAUSE_BETWEEN_PIECES_S = 0.02
SILENCE_S = 60.0


class AnswerFault(Enum):
    """What is wrong with an answer."""

    NONE = auto()
    COPY_AT_NEXT_REQUEST = auto()  # a second copy follows when the connection's next request has been read
    COPY_AT_ONCE = auto()  # a second copy follows in the same write
    COPY_LATER = auto()  # a second copy follows after `COPY_DELAY_S`
    PIECES = auto()  # it is cut within its first line and continued after a pause
    CUT = auto()  # it is cut within its first line, and the connection is closed
    RESET = auto()  # none is written, and the connection is reset
    SILENCE = auto()  # none is written, and the connection stays open
    OTHER_STATUS_AT_NEXT_REQUEST = (
        auto()
    )  # a contradicting answer follows when the next request has been read


COPY_DELAY_S = 0.03


class PlannedAnswer(NamedTuple):
    """What an endpoint does with a call.

    Attributes:
        status: The status of its answer.
        delay_s: How long it works on the call.
        retry_after_s: The Retry-After; 0 for none.
        fault: What is wrong with the answer.
    """

    status: int
    delay_s: float = 0.0
    retry_after_s: float = 0.0
    fault: AnswerFault = AnswerFault.NONE


Plan = Callable[[ReceivedRequest], PlannedAnswer]


@dataclass
class RandomPlan:
    """Draws answers from a seed.

    Attributes:
        seed: The seed of all draws.
        faults: What may be wrong with an answer; each is equally likely.
        fault_share: The share of answers with a fault.
        statuses: The statuses of answers, with their weights.
        delays_s: The least and greatest time of work.
        retry_after_s: The Retry-After of answers with status 429.
    """

    seed: int
    faults: Sequence[AnswerFault] = (AnswerFault.COPY_AT_NEXT_REQUEST,)
    fault_share: float = 0.3
    statuses: tuple[tuple[int, int], ...] = ((200, 60), (503, 30), (429, 5), (500, 5))
    delays_s: tuple[float, float] = (0.01, 0.1)
    retry_after_s: float = 0.1
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Start the stream of random numbers."""
        self._random = random.Random(self.seed)

    def __call__(self, request: ReceivedRequest) -> PlannedAnswer:
        """Draw the answer to the next request."""
        draw = self._random
        names, weights = zip(*self.statuses, strict=True)
        status = draw.choices(names, weights)[0]
        faulty = draw.random() < self.fault_share
        fault = draw.choice(self.faults) if faulty else AnswerFault.NONE
        retry_after_s = self.retry_after_s if status == 429 else 0.0
        return PlannedAnswer(status, draw.uniform(*self.delays_s), retry_after_s, fault)


class JudgedRequest(Protocol):
    """A request whose true answer a ledger records."""

    def answered(self, status: int) -> None:
        """Record that the answer was written."""

    def disconnected(self) -> None:
        """Record that the connection ended."""


class FaultyServer(HttpStandIn):
    """A server that answers as planned and reports its true answers to a ledger.

    Args:
        ledger: Receives the true answers.
        plan: Gives the answer to each judged request.
    """

    def __init__(self, ledger: DeliveryLedger, plan: Plan) -> None:
        super().__init__()
        self._ledger = ledger
        self._plan = plan

    def judge(self, request: ReceivedRequest, connection: sockets.Connection) -> JudgedRequest | None:
        """Report a request to the ledger; None for one that is answered without faults, by `answer`."""
        raise NotImplementedError

    def retry_after_sent(self, seconds: float) -> None:
        """Report that an answer with a Retry-After was written."""

    async def serve(self, connection: sockets.Connection) -> None:
        """Answer the requests of a connection until it ends."""
        self.connections += 1
        self.open.add(connection)
        judged: JudgedRequest | None = None
        held = b""  # is written when the next request has been read
        try:
            async with anyio.create_task_group() as tasks:
                while (received := await read_request(connection)) is not None:
                    wire, request = received
                    self.requests.append(request)
                    if held:
                        await connection.write(held)
                        held = b""
                    judged = self.judge(request, connection)
                    if judged is None:
                        await self._answer_without_faults(connection, wire, request)
                        continue
                    planned = self._plan(request)
                    silent = planned.fault is AnswerFault.SILENCE
                    await self._work(connection, SILENCE_S if silent else planned.delay_s)
                    if planned.fault is AnswerFault.RESET:
                        reset_connection(connection)
                        break
                    held = await self._answer(connection, wire, judged, planned, tasks)
                    if planned.fault is AnswerFault.CUT:
                        break
                tasks.cancel_scope.cancel()
        except* (OSError, h11.RemoteProtocolError):
            pass
        finally:
            if judged is not None:
                judged.disconnected()
            self.open.discard(connection)
            connection.close()

    async def _answer_without_faults(
        self, connection: sockets.Connection, wire: h11.Connection, request: ReceivedRequest
    ) -> None:
        answer = self.reply(request, connection, False)
        response = await answer if isinstance(answer, Awaitable) else answer
        if response is not None:
            await connection.write(encode_response(wire, response))

    async def _work(self, connection: sockets.Connection, seconds: float) -> None:
        """Work on a request; it ends at once when its client disconnects.

        Raises:
            ConnectionResetError: The client has disconnected.
        """
        with anyio.move_on_after(seconds):
            await anyio.wait_readable(connection.sock)
            if connection.is_finished():
                raise ConnectionResetError("the client has disconnected")
            await anyio.sleep(seconds)

    async def _answer(
        self,
        connection: sockets.Connection,
        wire: h11.Connection,
        judged: JudgedRequest,
        planned: PlannedAnswer,
        tasks: anyio.abc.TaskGroup,
    ) -> bytes:
        """Write the answer to a request with its fault; return what is to follow the next request."""
        headers: Headers = [("Retry-After", f"{planned.retry_after_s}")] if planned.retry_after_s else []
        answer = encode_response(wire, (planned.status, headers, b""))
        fault = planned.fault
        if fault is AnswerFault.CUT:
            await connection.write(answer[:11])
            return b""
        if fault is AnswerFault.PIECES:
            await connection.write(answer[:11])
            await anyio.sleep(PAUSE_BETWEEN_PIECES_S)
            answer = answer[11:]
        await connection.write(answer * 2 if fault is AnswerFault.COPY_AT_ONCE else answer)
        judged.answered(planned.status)
        if planned.retry_after_s:
            self.retry_after_sent(planned.retry_after_s)
        if fault is AnswerFault.COPY_LATER:
            tasks.start_soon(_write_later, connection, answer)
        if fault is AnswerFault.COPY_AT_NEXT_REQUEST:
            return answer
        if fault is AnswerFault.OTHER_STATUS_AT_NEXT_REQUEST:
            other = 503 if planned.status < FIRST_REFUSAL_STATUS else DELIVERED_STATUS
            return b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % other
        return b""


class FaultyEndpoint(FaultyServer):
    """An endpoint that takes calls.

    Args:
        ledger: Receives each call and its true answer.
        name: The endpoint's id in the endpoint list.
        destination: The number of its destination.
        plan: Gives the answer to each call.
    """

    def __init__(self, ledger: DeliveryLedger, name: str, destination: int, plan: Plan) -> None:
        super().__init__(ledger, plan)
        ledger.endpoint_listed(name, destination)
        self.name = name

    def judge(self, request: ReceivedRequest, connection: sockets.Connection) -> JudgedRequest | None:
        """Report a call; a health check is not judged."""
        if request.target != CALL_PATH:
            return None
        return self._ledger.call_arrived(
            request.headers["request-id"], self.name, request.received_s, connection.peer_has_left
        )

    def retry_after_sent(self, seconds: float) -> None:
        """Report that an answer with a Retry-After was written."""
        self._ledger.retry_after_sent(self.name, seconds)


async def _write_later(connection: sockets.Connection, data: bytes) -> None:
    await anyio.sleep(COPY_DELAY_S)
    try:
        await connection.write(data)
    except OSError:
        return  # the caller has closed the connection
