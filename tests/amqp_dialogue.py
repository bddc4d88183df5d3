"""AMQP sessions: a dialogue that is recorded or compared with its recording, and the frames that it needs."""

import re

import anyio
from pamqp import body, commands, frame, header

from pinspread.core.messages import Message

SILENCE_S = 0.1  # after which a recording takes it that the program has said all
FRAME_MAX = 4096  # the least that may be agreed on, so that contents of a few kilobytes take several frames
GREETING = b"AMQP\x00\x00\x09\x01"
RANDOM_NAME = re.compile(rb"(amq\.gen-|ctag-)[0-9a-f]{16}")


class Dialogue:
    """A session that is recorded, or compared with its recording at each step."""

    def __init__(self, recorded=None):
        self.recorded = recorded
        self.steps = []
        self.stream = None

    def step(self, *found):
        """Something that happened, which must be what happened in the recording."""
        if self.recorded is not None:
            assert len(self.steps) < len(self.recorded), found
            assert list(found) == self.recorded[len(self.steps)]
        self.steps.append(list(found))

    async def say(self, *data):
        """Write bytes to the program."""
        data = b"".join(data)
        self.step("stand-in", data.hex())
        await self.stream.send(data)

    async def hear(self):
        """Read what the program says now."""
        data = await (self._until_silent() if self.recorded is None else self._as_much())
        self.step("program", RANDOM_NAME.sub(rb"\g<1>0000000000000000", data).hex())

    async def exchange(self, *data):
        """Write bytes, and read what the program says to them."""
        await self.say(*data)
        await self.hear()

    async def closed(self):
        """The program closes the connection and says nothing more before it."""
        with anyio.fail_after(5):
            try:
                remaining = await self.stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                remaining = b""
        self.step("closed", remaining.hex())

    async def silent(self):
        """The program says nothing more."""
        self.step("silent", (await self._until_silent()).hex())

    async def _until_silent(self):
        data = b""
        while True:
            with anyio.move_on_after(SILENCE_S) as scope:
                try:
                    data += await self.stream.receive()
                except anyio.EndOfStream:
                    return data
            if scope.cancelled_caught:
                return data

    async def _as_much(self):
        assert len(self.steps) < len(self.recorded)
        size, data = len(self.recorded[len(self.steps)][-1]) // 2, b""
        with anyio.move_on_after(5):
            while len(data) < size:
                try:
                    data += await self.stream.receive(size - len(data))
                except anyio.EndOfStream:
                    break
        return data


def method(of, channel=1):
    return frame.marshal(of, channel)


def publish(data=b"x", exchange="", channel=1, properties=None, **headers):
    """A publish with its content."""
    fields = {"class": "payment", "tenant": "north", "dest": 1} | headers
    given = {"headers": fields, "message_id": "m1", "expiration": "60000", "reply_to": "ends"}
    given |= properties or {}
    step = FRAME_MAX - 8
    return b"".join(
        [
            method(commands.Basic.Publish(0, exchange, "partner", False), channel),
            method(header.ContentHeader(0, len(data), commands.Basic.Properties(**given)), channel),
            *(method(body.ContentBody(data[at : at + step]), channel) for at in range(0, len(data), step)),
        ]
    )


def message(id_, **changes):
    """A message as the engine hands it to the front for its final result."""
    given = {
        "number": 1,
        "id": id_,
        "class_name": "payment",
        "tenant": "north",
        "destination": 1,
        "key": 0,
        "idempotency_key": "",
        "deadline_unix_us": 61_000_000,
        "body": b"x",
        "front": "amqp",
        "reply": {"to": "ends"},
    }
    return Message(**(given | changes))
