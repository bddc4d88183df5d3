"""Datagrams and frames of a fleet: those that are incomplete, of another fleet or malformed are dropped."""

import anyio
import anyio.abc
import pytest

from pinspread.leases import codec as lease_codec
from pinspread.leases.state_machine import Request, RequestKind
from pinspread.membership import codec, message_codec, service
from pinspread.membership.config import SwimConfig
from pinspread.membership.framing import ConnectionClosedError, FrameStream

KEY = b"fleet-a"
PING = {"t": "ping", "from": "a", "from_at": "127.0.0.1:1", "inc": 0, "up": [], "seq": 1, "to": "b"}


def damaged(change):
    data = bytearray(codec.encode(PING, KEY))
    change(data)
    return bytes(data)


@pytest.mark.parametrize(
    ("data", "key", "why"),
    [
        (b"", KEY, "shorter"),
        (b"PSX" + codec.encode(PING, KEY)[3:], KEY, "not a datagram"),
        (damaged(lambda d: d.__setitem__(3, 9)), KEY, "version 9"),
        (codec.encode(PING, KEY)[:-1], KEY, "length"),
        (damaged(lambda d: d.__setitem__(-1, d[-1] ^ 1)), KEY, "checksum"),
        (codec.encode(PING, KEY), b"fleet-b", "checksum"),
        (codec.encode([1, 2], KEY), KEY, "not a map"),
        (codec.encode(PING | {"t": "boom"}, KEY), KEY, "kind"),
        (codec.encode(PING | {"seq": "1"}, KEY), KEY, "'seq'"),
        (codec.encode(PING | {"inc": True}, KEY), KEY, "'inc'"),
        (codec.encode(PING | {"inc": -1}, KEY), KEY, "update"),
        (codec.encode(PING | {"up": [["b", "x", 0, "zombie", "a"]]}, KEY), KEY, "update"),
        (codec.encode(PING | {"t": "sync", "reply": True, "table": [["b"]]}, KEY), KEY, "row of the table"),
        (codec.encode(PING | {"t": "ask"}, KEY), KEY, "'to_at'"),
    ],
)
def test_a_datagram_that_is_rejected_says_why(data, key, why):
    with pytest.raises(codec.DatagramError, match=why):
        message_codec.decode_message(data, key)


def test_a_complete_datagram_is_decoded_to_what_was_encoded():
    assert message_codec.to_map(message_codec.decode_message(codec.encode(PING, KEY), KEY)) == PING


def test_a_field_of_another_kind_of_message_is_ignored():
    data = codec.encode(PING | {"to_at": 5}, KEY)
    assert message_codec.to_map(message_codec.decode_message(data, KEY)) == PING


def test_garbage_of_every_length_is_dropped_and_nothing_else_is_raised():
    import random

    rng = random.Random(5)
    good = codec.encode(PING, KEY)
    for n in range(2000):
        data = bytearray(good[: rng.randrange(len(good))]) if n % 2 else bytearray(rng.randbytes(n % 90))
        with pytest.raises(codec.DatagramError):
            message_codec.decode_message(bytes(data), KEY)


def test_a_leave_while_rounds_are_sent_breaks_no_socket():
    async def scenario():
        settings = service.MembershipConfig("a", "127.0.0.1:0", "127.0.0.1:9", (), KEY, SwimConfig())
        membership = service.MembershipService(settings)
        await membership.open()
        datagrams = [("127.0.0.1:9", message_codec.from_map(PING))] * 20
        async with membership._socket, anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(membership._send, datagrams)  # anyio refuses a second sender at a time

    anyio.run(scenario)


@pytest.mark.parametrize(
    ("sent", "error"),
    [
        (b"", ConnectionClosedError),
        (codec.encode({"n": 2}, KEY)[:-1], ConnectionClosedError),  # ends within a frame
        (codec.encode({"n": "x" * 90}, KEY), codec.DatagramError),  # longer than the limit
        (codec.encode({"n": 2}, b"fleet-b"), codec.DatagramError),
    ],
)
def test_a_stream_of_frames_tells_its_end_from_a_frame_that_is_not_accepted(sent, error):
    async def scenario():
        async def serve(stream):
            async with stream:
                await stream.send(codec.encode({"n": 1}, KEY) + sent)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                frames = FrameStream(stream, KEY, codec.MAGIC, 80)
                with anyio.fail_after(5):
                    assert await frames.receive() == {"n": 1}
                    with pytest.raises(error):
                        await frames.receive()
            with pytest.raises(ConnectionClosedError):
                await frames.send({"n": 3})
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


@pytest.mark.parametrize("change", [{"t": []}, {"up": [["b", "x", 0, [], "a"]]}])
def test_a_list_in_place_of_a_string_is_dropped_too(change):
    with pytest.raises(codec.DatagramError):
        message_codec.decode_message(codec.encode(PING | change, KEY), KEY)


INVALID_ADDRESSES = ["nowhere", "", ":7001", "127.0.0.1:", "127.0.0.1:99999", "127.0.0.1:\u00b2", "a\0b:1"]


@pytest.mark.parametrize("address", INVALID_ADDRESSES)
@pytest.mark.parametrize(
    "change",
    [
        lambda address: {"from_at": address},
        lambda address: {"up": [["c", address, 0, "alive", "a"]]},
        lambda address: {"t": "ask", "to_at": address},
        lambda address: {"t": "sync", "reply": False, "table": [["c", address, 0, "alive"]]},
    ],
    ids=["sender", "update", "target", "table"],
)
def test_an_address_that_nothing_can_be_sent_to_is_dropped(change, address):
    with pytest.raises(codec.DatagramError):
        message_codec.decode_message(codec.encode(PING | change(address), KEY), KEY)


@pytest.mark.parametrize("address", INVALID_ADDRESSES)
def test_a_lease_request_that_cannot_be_answered_is_dropped(address):
    request = Request(RequestKind.ACQUIRE, "nightly", "a", 0, 1)
    with pytest.raises(codec.DatagramError):
        lease_codec.decode(lease_codec.encode_request(request, address, KEY), KEY)


@pytest.mark.parametrize("address", ["nowhere", "127.0.0.1:99999"])
def test_membership_goes_on_after_a_datagram_from_no_address(address, capfd):
    async def scenario():
        config = service.MembershipConfig("b", "127.0.0.1:0", "127.0.0.1:9", (), KEY, SwimConfig())
        member = service.MembershipService(config)
        await member.open()
        port = member._socket.socket.extra(anyio.abc.SocketAttribute.local_port)
        async with await anyio.create_udp_socket(local_host="127.0.0.1") as sender:
            own_port = sender.extra(anyio.abc.SocketAttribute.local_port)
            good = PING | {"from_at": f"127.0.0.1:{own_port}"}
            with anyio.fail_after(5):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(member.run)
                    for _ in range(3):  # a closed socket may be noticed only two rounds later
                        await sender.sendto(codec.encode(PING | {"from_at": address}, KEY), "127.0.0.1", port)
                        await sender.sendto(codec.encode(good, KEY), "127.0.0.1", port)
                        await sender.receive()
                    tasks.cancel_scope.cancel()
        assert member.dropped == 3 and member.member.table["a"].address == good["from_at"]

    anyio.run(scenario)
    assert capfd.readouterr().out.count('"event":"member_dropped"') == 3
