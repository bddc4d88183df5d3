"""AMQP sessions: a dialogue that is recorded or compared with its recording, and frames to send in it."""

import re

import anyio
from pamqp import body, commands, frame, header

from pinspread.core.messages import Message

SILENCE_S = 0.1  # without bytes, after which a recording assumes that the program sends nothing more
FRAME_MAX = 4096  # the smallest limit allowed, so that contents of a few kilobytes take several frames
GREETING = b"AMQP\x00\x00\x09\x01"
RANDOM_NAME = re.compile(rb"(amq\.gen-|ctag-)[0-9a-f]{16}")


class Dialogue:
    """A session that is recorded, or compared with its recording at each step."""

    def __init__(self, recorded=None):
        self.recorded = recorded
        self.steps = []
        self.stream = None

    def add_step(self, *values):
        """Add a step to the session; it must be equal to the recorded one, if there is a recording."""
        if self.recorded is not None:
            assert len(self.steps) < len(self.recorded), values
            assert list(values) == self.recorded[len(self.steps)]
        self.steps.append(list(values))

    async def write(self, *data):
        """Write bytes to the program."""
        data = b"".join(data)
        self.add_step("stand-in", data.hex())
        await self.stream.send(data)

    async def read(self):
        """Read the next bytes from the program."""
        data = await (self._read_until_silent() if self.recorded is None else self._read_recorded_size())
        self.add_step("program", RANDOM_NAME.sub(rb"\g<1>0000000000000000", data).hex())

    async def exchange(self, *data):
        """Write bytes to the program, and read its answer."""
        await self.write(*data)
        await self.read()

    async def expect_close(self):
        """Expect that the program closes the connection, without sending anything more."""
        with anyio.fail_after(5):
            try:
                remaining = await self.stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                remaining = b""
        self.add_step("closed", remaining.hex())

    async def expect_silence(self):
        """Expect that the program sends nothing more for now."""
        self.add_step("silent", (await self._read_until_silent()).hex())

    async def _read_until_silent(self):
        data = b""
        while True:
            with anyio.move_on_after(SILENCE_S) as scope:
                try:
                    data += await self.stream.receive()
                except anyio.EndOfStream:
                    return data
            if scope.cancelled_caught:
                return data

    async def _read_recorded_size(self):
        assert len(self.steps) < len(self.recorded)
        size, data = len(self.recorded[len(self.steps)][-1]) // 2, b""
        with anyio.move_on_after(5):
            while len(data) < size:
                try:
                    data += await self.stream.receive(size - len(data))
                except anyio.EndOfStream:
                    break
        return data


def method(payload, channel=1):
    return frame.marshal(payload, channel)


def publish(data=b"x", exchange="", channel=1, properties=None, **headers):
    """A publish with its content."""
    fields = {"class": "payment", "tenant": "north", "dest": 1} | headers
    all_properties = {"headers": fields, "message_id": "m1", "expiration": "60000", "reply_to": "ends"}
    all_properties |= properties or {}
    payload_size = FRAME_MAX - 8
    return b"".join(
        [
            method(commands.Basic.Publish(0, exchange, "partner", False), channel),
            method(header.ContentHeader(0, len(data), commands.Basic.Properties(**all_properties)), channel),
            *(
                method(body.ContentBody(data[offset : offset + payload_size]), channel)
                for offset in range(0, len(data), payload_size)
            ),
        ]
    )


def message(id_, **changes):
    """A message as the engine passes it to the transport and, with its final result, to the front."""
    defaults = {
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
    return Message(**(defaults | changes))
