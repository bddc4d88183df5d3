"""Hundreds of clients that stop within a request, or send very many short fields: memory and answers."""

import time

import anyio
import pytest
from pamqp import body, commands, header, heartbeat
from standins import AmqpClient, Client, marshal, running_courier, wait_until

from pinspread import sockets
from pinspread.amqp import frames
from pinspread.resp.parser import MAX_OPTIONS_BYTES
from pinspread.sockets import limiter, read_buffer
from pinspread.testbed import clients

pytestmark = pytest.mark.anyio

BODY = b"x" * 65_000


def publish(*pieces, size=None, headers=None):
    """The frames of a publish whose body comes in these pieces; `size` is what its header announces."""
    properties = commands.Basic.Properties(message_id="m", reply_to="ends", headers=headers)
    announced = header.ContentHeader(0, size or sum(map(len, pieces)), properties)
    parts = [commands.Basic.Publish(0, "", "x"), announced, *map(body.ContentBody, pieces)]
    return b"".join(marshal(part) for part in parts)


@pytest.fixture
def large_frames(monkeypatch):
    """Have the clients ask for frames as large as the courier offers."""
    monkeypatch.setattr(clients, "FRAME_MAX", frames.FRAME_MAX)


@pytest.mark.parametrize("pieces", [1, 3])
async def test_publishes_that_are_never_complete_share_a_limit_of_memory(tmp_path, large_frames, pieces):
    """Guards against a process over its limit of memory by clients that stop half way through a publish."""
    limit = 1 << 20
    step = len(BODY) // pieces
    half = publish(*[BODY[start : start + step] for start in range(0, len(BODY), step)])[:-1000]
    async with running_courier(tmp_path, max_unread_bytes=limit) as courier:
        regular = await AmqpClient.open(courier.amqp)
        stopped = [await AmqpClient.open(courier.amqp) for _ in range(40)]
        for client in stopped:
            await client.wire.write(half)
        front = courier.engine.fronts["amqp"]
        await wait_until(lambda: len(front.sessions) < 40)  # some have been refused
        await anyio.sleep(0.1)
        held = 0
        for session in front.sessions:
            contents = [channel.contents.buffered for channel in session._channels.values()]
            held += sum(contents) + len(session._stream.buffer.data) - read_buffer.MIN_SIZE
        assert 0 < held <= limit and front.limiter.reserved_bytes <= limit
        errors = [(await client.next()).method for client in stopped]
        assert {error.reply_code for error in errors} == {
            320,
            506,
        }  # for want of room, or of its rest in time
        await regular.publish("m1")
        assert isinstance((await regular.next()).method, commands.Basic.Ack)
    assert front.limiter.reserved_bytes == 0


@pytest.mark.parametrize(
    "stopped_at",
    ["a frame", "a method", "its header", "its body", "its body, with heartbeats", "two channels"],
)
async def test_a_publisher_that_stops_within_a_publish_is_closed_in_time(tmp_path, monkeypatch, stopped_at):
    """Guards against memory that a stopped client holds for as long as it stays, and that gets no error."""
    monkeypatch.setattr(limiter, "COMMAND_TIMEOUT_US", 300_000)
    whole = publish(b"x" * 100, b"y" * 100)
    method_only, head_only = marshal(commands.Basic.Publish(0, "", "x")), publish(size=9)
    data = {
        "a frame": method_only[:5],
        "a method": method_only,
        "its header": head_only,
        "two channels": head_only + marshal(commands.Channel.Open(), 2),
    }.get(stopped_at, whole[:-108])  # without its last frame
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp)
        start = time.monotonic()
        await client.wire.write(data)
        if stopped_at == "its body, with heartbeats":
            for _ in range(3):
                await client.wire.write(heartbeat.Heartbeat().marshal())
                await anyio.sleep(0.05)
        closed = (await client.next()).method
        if isinstance(closed, commands.Channel.OpenOk):
            closed = (await client.next()).method
        assert (closed.name, closed.reply_code) == ("Connection.Close", 320)
        assert 0.3 <= time.monotonic() - start < 1.5
        await wait_until(lambda: not courier.engine.fronts["amqp"].sessions)
        assert not courier.engine.fronts["amqp"].limiter.reserved_bytes


async def test_a_slow_publisher_that_goes_on_and_an_idle_one_stay_connected(tmp_path, monkeypatch):
    """Guards against the end of clients whose frames arrive in pieces, but in time."""
    monkeypatch.setattr(limiter, "COMMAND_TIMEOUT_US", 400_000)
    data = heartbeat.Heartbeat().marshal() + publish(b"x", b"y", headers={"class": "unknown"})
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp)
        for start in range(0, len(data), 30):
            await client.wire.write(data[start : start + 30])
            await anyio.sleep(0.02)
        assert (await client.next()).method.name == "Channel.Close"  # the publish as a whole is refused
        await client.wire.write(marshal(commands.Channel.CloseOk()))
        await client.wire.write(heartbeat.Heartbeat().marshal()[:5])
        await anyio.sleep(0.05)
        await client.wire.write(heartbeat.Heartbeat().marshal()[5:])
        await anyio.sleep(1.0)  # longer than the limit for a command
        assert isinstance((await client.ask(commands.Channel.Open())).method, commands.Channel.OpenOk)


async def test_a_head_of_very_many_short_fields_is_refused_before_it_is_decoded(tmp_path, large_frames):
    """Guards against a process that decodes tens of thousands of fields for each publish of a client."""
    fields = {f"{number:x}": None for number in range(9000)}
    async with running_courier(tmp_path) as courier:
        client = await AmqpClient.open(courier.amqp)
        await client.wire.write(publish(size=9, headers=fields)[:100])  # its size is known by now
        closed = (await client.next()).method
        assert (closed.name, closed.reply_code) == ("Connection.Close", 501)
        assert "over 16384" in closed.reply_text
        client = await AmqpClient.open(courier.amqp)  # many fields of a regular size are no fault
        regular = {f"field-{number}": "x" * 40 for number in range(200)}
        await client.publish("m1", **regular)
        assert isinstance((await client.next()).method, commands.Basic.Ack)


async def test_a_long_list_of_short_options_is_refused_before_it_is_split(tmp_path):
    """Guards against answers that come late while options are split that no command can have."""
    options = b"a=," * 30_000
    parts = [b"ENQUEUE", b"0", b"id", options, b"x"]
    command = b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)
    async with running_courier(tmp_path) as courier:
        for _ in range(40):
            connection = await sockets.dial(courier.address)
            await connection.write(command)
            error = await connection.read()
            assert error == b"-ERR options of %d bytes are over %d\r\n" % (len(options), MAX_OPTIONS_BYTES)
            connection.close()
        fitting = ",".join(f"o{number}=" for number in range(500))
        assert await Client(courier.address).enqueue(more="," + fitting) == "+OK\r\n"


async def test_what_is_left_of_a_large_buffer_behind_a_command_still_counts(tmp_path):
    """Guards against memory over the limit by a whole command in front of each that is never complete."""
    half = b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$1\r\na\r\n$1\r\nb\r\n$60000\r\n" + b"x" * 40_000
    long_ping = b"*2\r\n$4\r\nPING\r\n$900\r\n%s\r\n" % (b"x" * 900)
    async with running_courier(tmp_path, max_unread_bytes=400_000) as courier:
        limits = courier.engine.fronts["resp"].limiter
        connections = [await sockets.dial(courier.address) for _ in range(12)]
        for connection in connections:
            await connection.write(half[:10])  # nothing is read in one piece with what follows
            await anyio.sleep(0.01)
            await connection.write(half[10:] + b"x" * 20_000 + b"\r\n" + long_ping + half)
        await anyio.sleep(0.3)
        assert 0 < limits.reserved_bytes <= 400_000
        replies = [connection.sock.recv(1 << 16) for connection in connections]
        waiting = [reply for reply in replies if not reply.endswith(b"-BUSY 1000\r\n")]
        # Each client that was not refused holds a buffer for the 40,000 bytes of its second command.
        assert 0 < len(waiting) * 40_000 <= limits.reserved_bytes
        for connection in connections:
            connection.close()
