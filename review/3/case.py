"""Case 3: at SIGTERM, commands that were read from a connection get no answer."""

import asyncio
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from common.parties import (
    KILL_AFTER_S,
    LOOPBACK,
    Courier,
    Endpoint,
    Platform,
    Record,
    enqueue,
    play,
    until,
)

COURIERS = 6  # one after another
CLIENTS = 8  # of each courier
AT_ONCE = 80  # commands that a client sends in one write, in one segment of under 8 KiB
ENDED = "end of the stream"
PAUSE_S = 0.005  # of a client between its last answer and the next write
QUIET_S = 1.0  # of normal work before SIGTERM
RUN_S = QUIET_S + KILL_AFTER_S  # clients send until SIGKILL could come


@dataclass
class Client:
    """A client that sends many commands at once on one connection, and the next when all are answered.

    Attributes:
        written: When the last byte of each command was written, by the message's id, of the latest write.
        answers: The answers to the latest write, in its order.
        end: How the connection ended: "" while it is open, "end of the stream", or the error.
    """

    number: int
    port: int
    record: Record
    written: dict[str, float] = field(default_factory=dict)
    answers: list[str] = field(default_factory=list)
    end: str = ""
    total: int = 0
    ended_at: float = 0.0

    async def run(self, until_s: float) -> None:
        """Send until the courier ends the connection, or the time is over."""
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        turn = 0
        try:
            while not self.end and self.record.now() < until_s:
                turn += 1
                await self._send_many(reader, writer, turn)
                await asyncio.sleep(PAUSE_S)
        finally:
            writer.close()

    async def _send_many(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, turn: int) -> None:
        ids = [f"{self.number:02x}{turn:04x}{index:02x}" for index in range(AT_ONCE)]
        self.answers = []
        try:
            writer.write(b"".join(enqueue(id_, "c=status,t=north,d=2000,dest=1", b"x") for id_ in ids))
            self.written = dict.fromkeys(ids, self.record.now())
            while len(self.answers) < len(ids):
                line = await reader.readline()
                if not line:
                    self.end = ENDED
                    break
                self.answers.append(line.decode("latin-1").strip())
        except OSError as error:
            self.end = repr(error)
        self.ended_at = self.record.now()
        self.total += len(self.answers)

    def unanswered(self) -> list[str]:
        """Return the commands that were written and got no answer before the connection ended.

        A write that got no answer at all may have crossed the end of the connection, unread. One that got
        some answers went out in one segment, and the courier has read it, unless it resets the connection.
        """
        return list(self.written)[len(self.answers) :] if self.end == ENDED and self.answers else []


async def case(folder: Path, record: Record, trouble: bool) -> int:
    """Tell one courier after another to end; return whether a command was read there and not answered."""
    for number in range(COURIERS):
        own = folder / f"n{number}"
        own.mkdir()
        code = await one_courier(own, record, trouble)
        if code:
            return code
    return 0


async def one_courier(folder: Path, record: Record, trouble: bool) -> int:
    """Let clients send many commands at once to a courier until it has ended."""
    platform = Platform("p", record)
    endpoint = Endpoint("e1", record, lambda id_: 200, 0.1)
    for party in (platform, endpoint):
        await party.start()
    platform.add("s-1", endpoint.address, 1)
    courier = Courier(folder, platform, record)
    try:
        courier.write()
        await courier.start()
        if not await until(lambda: platform.watches > 0, 5):
            return 2
        return await judge(courier, record, trouble)
    finally:
        courier.kill()
        for party in (platform, endpoint):
            await party.stop()


async def judge(courier: Courier, record: Record, trouble: bool) -> int:
    """Play the clients; count the commands that were read and not answered."""
    until_s = record.now() + RUN_S
    clients = [Client(number, courier.port, record) for number in range(CLIENTS)]
    tasks = [asyncio.create_task(client.run(until_s)) for client in clients]
    await asyncio.sleep(QUIET_S)
    if trouble:
        courier.signal(signal.SIGTERM)
        if not await courier.ended(KILL_AFTER_S):
            courier.signal(signal.SIGKILL)
    await asyncio.gather(*tasks)
    lost = 0
    for client in clients:
        unanswered = client.unanswered()
        lost += len(unanswered)
        waited_ms = [1000 * (client.ended_at - client.written[id_]) for id_ in unanswered]
        record.write(
            f"client {client.number}: {client.total} answers; the last write got {len(client.answers)}"
            f" of {AT_ONCE}, then {client.end or 'nothing more was sent'};"
            f" read and unanswered: {len(unanswered)},"
            f" written {max(waited_ms, default=0):.1f} ms before the end",
            *unanswered[:1],
        )
    refused = courier.logged("the client connection has been closed")
    record.write(
        f"{lost} unanswered; by its log the courier read {refused} commands after it ended the stream"
    )
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
